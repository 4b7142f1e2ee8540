//! The operators' pages match the parsers.

use medlarspur_lib::{
    bundle::Bundle,
    document::{Fault, Report},
    settings::{MarkedSettings, Settings},
};
use std::fs;

fn page(name: &str) -> String {
    let path = format!("{}/../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(path).expect("the page")
}

/// Returns the first example of a page.
fn example(page: &str) -> &str {
    let (_, rest) = page.split_once("```yaml\n").expect("an example");
    rest.split_once("```").expect("its end").0
}

/// Returns the fields that a parser knows, taken from its faults about unknown
/// ones.
fn known_fields(report: &Report) -> Vec<&'static str> {
    let known = report.problems.iter().filter_map(|problem| match problem.fault {
        Fault::UnknownField { known } => Some(known),
        _ => None,
    });
    known.flatten().copied().collect()
}

fn undescribed_fields(page: &str, report: &Report) -> Vec<&'static str> {
    let mut fields = known_fields(report);
    fields.retain(|field| !page.contains(&format!("| `{field}` |")));
    fields
}

#[test]
fn the_example_of_a_bundle_is_valid() {
    let page = page("bundle.md");

    let bundle = Bundle::parse(example(&page)).expect("valid");

    assert_eq!(bundle.services.len(), 2);
}

#[test]
fn every_field_of_a_bundle_is_described() {
    let page = page("bundle.md");
    let text = "{x: 1, limits: {x: 1}, services: [{x: 1, ports: [{x: 1}], targets: [{x: 1}]}]}";

    let report = Bundle::parse(text).expect_err("unknown fields");

    assert!(known_fields(&report).len() > 28);
    assert_eq!(undescribed_fields(&page, &report), Vec::<&str>::new());
}

#[test]
fn the_example_of_settings_is_valid() {
    let page = page("settings.md");

    Settings::parse(example(&page)).expect("valid");
}

#[test]
fn every_setting_is_described() {
    let page = page("settings.md");

    let report = Settings::parse("x: 1").expect_err("an unknown field");

    assert!(known_fields(&report).len() > 10);
    assert_eq!(undescribed_fields(&page, &report), Vec::<&str>::new());
}

#[test]
fn the_example_of_settings_for_marks_is_valid() {
    let page = page("settings-marks.md");

    let settings = MarkedSettings::parse(example(&page)).expect("valid");

    assert_eq!(settings.domain.as_str(), "lozenets");
}

#[test]
fn every_setting_for_marks_is_described() {
    let page = page("settings-marks.md");

    let report = MarkedSettings::parse("unknown: 1\n").expect_err("a fault");

    assert_eq!(undescribed_fields(&page, &report), Vec::<&str>::new());
}
