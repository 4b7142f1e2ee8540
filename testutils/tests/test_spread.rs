//! Tests of how fabrics spread packets over instances.

use medlarspur_lib::collections::Set;
use medlarspur_testutils::{
    packet::{Kind, PacketHeader},
    spread::{Mode, Picker},
};
use std::net::{Ipv4Addr, SocketAddrV4};

fn flow(port: u16) -> PacketHeader {
    let end = |last, port| SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), port);
    PacketHeader { src: end(1, port), dst: end(2, 80), kind: Kind::Segment }
}

/// Returns the names of the instances of 1000 flows.
fn picks(mode: Mode, names: &[&'static str]) -> Vec<&'static str> {
    let mut picker = Picker::new(mode, 1);
    (0..1000).map(|port| names[picker.pick(names, &flow(port)).unwrap()]).collect()
}

#[test]
fn all_modes_use_all_instances() {
    for mode in [Mode::Spray, Mode::Hash, Mode::Reshuffle] {
        let picks = picks(mode, &["a", "b", "c", "d"]);

        let fewest = ["a", "b", "c", "d"].map(|name| picks.iter().filter(|&&p| p == name).count());
        assert!(fewest.into_iter().all(|count| count > 180), "{mode:?} {fewest:?}");
    }
}

#[test]
fn spray_sends_one_flow_to_many() {
    let mut picker = Picker::new(Mode::Spray, 1);

    let used = (0..100).map(|_| picker.pick(&["a", "b", "c"], &flow(1))).collect::<Set<_>>();

    assert_eq!(used.len(), 3);
}

#[test]
fn hash_moves_only_flows_of_the_removed_instance() {
    let before = picks(Mode::Hash, &["a", "b", "c", "d"]);
    let after = picks(Mode::Hash, &["a", "b", "d"]);

    let moved = before.iter().zip(&after).filter(|(b, a)| b != a && **b != "c").count();
    assert_eq!(moved, 0);
}

#[test]
fn reshuffle_moves_flows_of_all_instances() {
    let before = picks(Mode::Reshuffle, &["a", "b", "c", "d"]);
    let after = picks(Mode::Reshuffle, &["a", "b", "d"]);

    let moved = before.iter().zip(&after).filter(|(b, a)| b != a && **b != "c").count();
    assert!(moved > 300, "{moved}");
}
