//! Tests of the evacuation of a failure domain while callers use the site.

use crate::marked::{
    count_unanswered, lines_with, site, stop_callers, wait_for_answers, wait_until,
};
use medlarspur_lib::bundle::Class;
use medlarspur_standin::site::{DOMAINS, Site};

/// Returns the number of openings that the targets of a domain have answered.
fn opened(site: &Site, domain: &str) -> u64 {
    let hosts = (0..site.host_count()).filter(|it| {
        let target = site.target(*it);
        target.is_some_and(|target| target.domain == domain)
    });
    hosts.map(|host| site.opened_flows(host)).sum()
}

/// Guards against new flows in an evacuated domain, against cutting the feeds that are open
/// there, and against leaving the domain unused after the evacuation has ended.
#[test]
fn an_evacuated_domain_gets_no_new_flow_until_the_evacuation_ends() {
    let domain = DOMAINS[0];
    let mut site = site(8, 3);
    site.add_callers(Class::Feed, 12);
    site.add_callers(Class::Request, 8);
    wait_for_answers(&site, 60);

    site.evacuate(domain);
    let is_logged = |event| move |site: &Site| lines_with(site, &[event, domain]).len() == 3;
    wait_until("all instances log the evacuation", || is_logged("domain evacuated")(&site));
    wait_for_answers(&site, 5);
    let before = opened(&site, domain);
    wait_for_answers(&site, 80);
    assert_eq!(opened(&site, domain), before);

    site.end_evacuation(domain);
    wait_until("all instances log its end", || is_logged("domain restored")(&site));
    wait_until("the domain is used again", || opened(&site, domain) > before);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}

/// Guards against an instance that starts during an evacuation and serves before it knows of it.
#[test]
fn an_instance_that_starts_knows_of_evacuations() {
    let domain = DOMAINS[0];
    let mut site = site(8, 1);
    site.evacuate(domain);
    wait_until("the instance logs the evacuation", || {
        !lines_with(&site, &["domain evacuated"]).is_empty()
    });

    site.add_instance().expect("an instance");
    site.add_instance().expect("an instance");
    assert!(site.wait_for_rotation(3, crate::marked::TIMEOUT), "the new instances are ready");
    let before = opened(&site, domain);
    site.add_callers(Class::Request, 8);
    wait_for_answers(&site, 80);

    assert_eq!(opened(&site, domain), before);
    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}
