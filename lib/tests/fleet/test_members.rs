//! Who is believed to be live.

use crate::net::Net;
use medlarspur_lib::{members::MemberState, time::Millis};

/// An instance is killed. Its peers have to notice, or they would go on
/// sending it questions; callers would wait for each.
#[test]
fn killed_instance_is_found_dead() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));
    net.nodes[3].up = false;

    net.run(Millis::secs(12));

    for watcher in [0, 1, 2, 4, 5, 6, 7] {
        assert_eq!(net.seen(watcher, 3).map(|m| m.state), Some(MemberState::Dead));
    }
}

/// An instance is replaced under its old name, with an empty memory. The
/// belief that the old one is dead must not exclude the new one.
#[test]
fn replaced_instance_is_live_again() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));
    net.nodes[3].up = false;
    net.run(Millis::secs(12));

    net.restart(3);
    net.run(Millis::secs(10));

    assert!(net.all_live());
    assert!(net.nodes[3].ready.is_some());
}
