//! The bundle in force across the fleet.

use crate::net::{Net, text};
use medlarspur_lib::time::Millis;

#[test]
fn bundle_reaches_all_of_a_static_fleet() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));
    assert!(net.all_have(&text(1, 4)));
    assert!(net.all_live());
    assert!(net.nodes.iter().all(|n| n.ready.is_some()));

    net.platform = Some(text(2, 4));
    net.run(Millis::secs(1));

    assert!(net.all_have(&text(2, 4)));
    assert!(net.never_back());
}
