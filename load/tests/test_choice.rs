//! Tests the choice of a target for a new flow.

use medlarspur_lib::bundle::Class;
use medlarspur_load::{
    choice::{Candidate, Demand, Tier, choose},
    priority::Level,
    random::Random,
};

/// Flows of a service whose routes have no priority.
const REQUEST: Demand = Demand { class: Class::Request, level: Level::nth(0, 2) };
const FEED: Demand = Demand { class: Class::Feed, level: Level::nth(1, 2) };
const UPLOAD: Demand = Demand { class: Class::Upload, level: Level::nth(1, 2) };

fn idle() -> Candidate {
    Candidate {
        tier: Tier::Good,
        slots: 2,
        in_flight: 0,
        opening: 0,
        idle_feeds: 0,
        cold: false,
        same_domain: true,
        reserved: false,
        outside_subset: false,
    }
}

#[test]
fn no_target_is_chosen_without_candidates() {
    assert_eq!(choose(&[], FEED, 1), None);
}

#[test]
fn the_target_with_the_least_work_per_slot_is_chosen() {
    let busy = Candidate { in_flight: 2, ..idle() };
    let large = Candidate { in_flight: 2, slots: 8, ..idle() };

    assert_eq!(choose(&[busy, large, busy], REQUEST, 0), Some(1));
}

#[test]
fn openings_count_as_work() {
    let opening = Candidate { opening: 1, ..idle() };

    assert_eq!(choose(&[opening, idle()], REQUEST, 0), Some(1));
}

/// A request that is not idempotent is answered where a slot is free now. Open idle feeds
/// hardly delay it; a request in flight does.
#[test]
fn idle_feeds_count_less_than_work() {
    let feeds = Candidate { idle_feeds: 5, ..idle() };
    let works = Candidate { in_flight: 1, ..idle() };

    assert_eq!(choose(&[works, feeds], REQUEST, 0), Some(1));
}

/// Guards against preferring an idle target that has just started, which takes longer for all
/// work.
#[test]
fn a_cold_target_is_chosen_only_when_others_are_busy() {
    let cold = Candidate { cold: true, ..idle() };
    let busy = Candidate { in_flight: 4, ..idle() };

    assert_eq!(choose(&[cold, idle()], FEED, 0), Some(1));
    assert_eq!(choose(&[cold, busy], FEED, 0), Some(0));
}

/// Guards against new flows to a failure domain that is cut off and whose targets don't
/// answer here. However idle they look, they are used only if no other target can take
/// the flow.
#[test]
fn a_doubtful_target_is_the_last_choice() {
    let doubtful = Candidate { tier: Tier::Doubtful, ..idle() };
    let unlisted = Candidate { tier: Tier::Unlisted, in_flight: 9, ..idle() };
    let busy = Candidate { in_flight: 9, ..idle() };

    assert_eq!(choose(&[doubtful, unlisted, busy], FEED, 0), Some(2));
    assert_eq!(choose(&[doubtful, unlisted], FEED, 0), Some(1));
    assert_eq!(choose(&[doubtful], FEED, 0), Some(0));
}

/// An upload carries 80 kB to its target, a request of a feed hardly anything.
#[test]
fn uploads_stay_in_their_domain_unless_it_is_crowded() {
    let far = Candidate { same_domain: false, ..idle() };
    let busy = Candidate { in_flight: 2, ..idle() };
    let crowded = Candidate { in_flight: 6, ..idle() };

    assert_eq!(choose(&[busy, far], UPLOAD, 0), Some(0));
    assert_eq!(choose(&[busy, far], REQUEST, 0), Some(1));
    assert_eq!(choose(&[crowded, far], UPLOAD, 0), Some(1));
}

#[test]
fn equal_targets_are_chosen_equally_often() {
    let candidates = [idle(); 10];
    let mut random = Random::new(5);
    let mut counts = [0; 10];
    for _ in 0..10_000 {
        counts[choose(&candidates, FEED, random.draw()).expect("one")] += 1;
    }

    assert!(counts.iter().all(|count| (900..1100).contains(count)), "{counts:?}");
}

/// Guards against requests that wait behind feeds, which send requests whatever the
/// instances decide. Targets without feeds are left to requests.
#[test]
fn feeds_leave_reserved_targets_to_requests_while_others_have_capacity() {
    let reserved = Candidate { reserved: true, ..idle() };
    let busy = Candidate { in_flight: 2, ..idle() };

    assert_eq!(choose(&[reserved, Candidate { idle_feeds: 5, ..idle() }], FEED, 0), Some(1));
    assert_eq!(choose(&[reserved, busy], FEED, 0), Some(0));
    assert_eq!(choose(&[reserved, Candidate { idle_feeds: 5, ..idle() }], REQUEST, 0), Some(0));
}
