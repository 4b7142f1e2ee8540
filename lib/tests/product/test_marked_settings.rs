//! Tests of the settings of an instance whose fabric returns marks.

use expect_test::expect;
use medlarspur_lib::settings::{Capabilities, DomainRegion, LogForm, MarkedSettings};

const VALID: &str = "\
agreement: marks
name: edge-north-1
domain: north
packets: 10.1.0.10:8172
ready: 10.1.0.10:8167
store: 10.200.1.7:8169
grace: 6s
";

#[test]
fn valid_settings_keep_their_values() {
    let settings = MarkedSettings::parse(VALID).expect("valid");

    assert_eq!((settings.name.as_str(), settings.domain.as_str()), ("edge-north-1", "north"));
    assert_eq!(settings.callers, 8172, "callers take packets at the same port");
    assert_eq!((settings.grace.0, settings.log, settings.metrics), (6_000, LogForm::Text, None));
}

#[test]
fn one_report_lists_all_faults() {
    let text = VALID.replace("grace: 6s", "grace: soon\nmetrics: 10.1.0.10:8167\ncolour: red");
    let text =
        text.replace("10.200.1.7:8169", "store.example:1").replace("name: edge", "nam: edge");

    let report = MarkedSettings::parse(&text).expect_err("faults");

    expect![[r#"
        line 1: (top): the field `name` is missing; add `name:`
        line 2: nam: unknown field; remove it, or use one of agreement, name, domain, packets, ready, metrics, callers, store, control, peers, regions, capabilities, grace, log
        line 6: store: `store.example:1` does not fit; write an IPv4 address and a port other than 0, such as 10.0.0.1:6080
        line 7: grace: `soon` does not fit; write a span of time with its unit, such as 500ms, 30s, 5m or 1h
        line 8: metrics: the address `10.1.0.10:8167` is already used at ready; change or remove it here or at ready
        line 9: colour: unknown field; remove it, or use one of agreement, name, domain, packets, ready, metrics, callers, store, control, peers, regions, capabilities, grace, log"#]].assert_eq(&report.to_string());
}

#[test]
fn regions_of_failure_domains_are_read() {
    let text = format!(
        "{VALID}regions:\n  - domain: north\n    region: here\n  - domain: south\n    region: there\n"
    );

    let settings = MarkedSettings::parse(&text).expect("valid");

    let names = |it: &DomainRegion| (it.domain.to_string(), it.region.to_string());
    let found: Vec<_> = settings.regions.iter().map(names).collect();
    let expected = [("north", "here"), ("south", "there")];
    assert_eq!(found, expected.map(|(domain, region)| (domain.to_owned(), region.to_owned())));
}

/// Guards against a failure domain in two regions: requests that must stay in
/// one of them could leave it.
#[test]
fn a_failure_domain_has_one_region() {
    let text = format!(
        "{VALID}regions:\n  - domain: north\n    region: here\n  - domain: north\n    region: there\n"
    );

    let report = MarkedSettings::parse(&text).expect_err("a fault");

    expect!["line 11: regions[1].domain: the failure domain `north` is already used at regions; change or remove it here or at regions"].assert_eq(&report.to_string());
}

#[test]
fn the_agreement_field_declares_the_kind_of_settings() {
    assert!(MarkedSettings::is_declared_in(VALID));
    assert!(MarkedSettings::is_declared_in("name: a\nagreement: \"marks\"\n"));
    assert!(!MarkedSettings::is_declared_in("site: sofia\nname: entry-1\n"));
}

/// Guards against settings of a newer platform that an older program refuses.
#[test]
fn unknown_capabilities_have_no_effect() {
    let text = VALID.to_owned() + "capabilities: [base, health, other]\n";

    let settings = MarkedSettings::parse(&text).expect("valid");

    assert_eq!(settings.capabilities, Capabilities { health: true, pressure: false });
}
