//! Operators empty a failure domain while callers use the site.

use crate::marked::{
    count_unanswered, lines_with, site, stop_callers, wait_for_answers, wait_until,
};
use medlarspur_lib::bundle::Class;
use medlarspur_standin::site::{DOMAINS, Site};

/// How many openings the targets of a domain have answered.
fn opened(site: &Site, domain: &str) -> u64 {
    let hosts = (0..site.hosts()).filter(|it| {
        let target = site.target(*it);
        target.is_some_and(|target| target.domain == domain)
    });
    hosts.map(|host| site.opened(host)).sum()
}

/// A failure domain is emptied before its power is worked on. Requests go elsewhere, feeds
/// that are open there go on, and nobody notices; then all is as before.
#[test]
fn an_evacuated_domain_gets_no_new_flow_until_it_is_restored() {
    let domain = DOMAINS[0];
    let mut site = site(8, 3);
    site.add_callers(Class::Feed, 12);
    site.add_callers(Class::Request, 8);
    wait_for_answers(&site, 60);

    site.evacuate(domain);
    let told = |event| move |site: &Site| lines_with(site, &[event, domain]).len() == 3;
    wait_until("all know", || told("domain evacuated")(&site));
    wait_for_answers(&site, 5);
    let before = opened(&site, domain);
    wait_for_answers(&site, 80);
    assert_eq!(opened(&site, domain), before);

    site.restore(domain);
    wait_until("all know", || told("domain restored")(&site));
    wait_until("it is used again", || opened(&site, domain) > before);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}

/// An instance starts while a domain is evacuated. It learns of it with the picture by which
/// it begins to serve.
#[test]
fn an_instance_that_starts_knows_of_evacuations() {
    let domain = DOMAINS[0];
    let mut site = site(8, 1);
    site.evacuate(domain);
    wait_until("it knows", || !lines_with(&site, &["domain evacuated"]).is_empty());

    site.add_instance().expect("an instance");
    site.add_instance().expect("an instance");
    assert!(site.wait_for_rotation(3, crate::marked::TIMEOUT), "they are ready");
    let before = opened(&site, domain);
    site.add_callers(Class::Request, 8);
    wait_for_answers(&site, 80);

    assert_eq!(opened(&site, domain), before);
    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}
