//! Datagrams that are collected and sent in batches.

use medlarspur_fabric::{MAX_BATCH, MemoryWire, Outbox};
use proptest::prelude::*;
use std::net::{Ipv4Addr, SocketAddrV4};

fn target(ix: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1000 + ix as u16)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn datagrams_are_sent_complete_and_in_order(sizes in prop::collection::vec(1..1500usize, 0..3 * MAX_BATCH)) {
        let mut outbox = Outbox::new();
        let mut wire = MemoryWire::default();
        let datagrams: Vec<_> =
            sizes.iter().enumerate().map(|(ix, &size)| (target(ix), vec![ix as u8; size])).collect();

        for (to, bytes) in &datagrams {
            outbox.push(*to, bytes);
        }
        let sent = outbox.flush(&mut wire);

        prop_assert_eq!(sent, datagrams.len());
        prop_assert!(outbox.is_empty());
        prop_assert_eq!(wire.take_sent(), datagrams);
    }
}
