//! The wire without a socket.

use medlarspur_fabric::{Batch, Datagram, MAX_BATCH, MAX_DATAGRAM, MemoryWire, Wire};
use proptest::prelude::*;
use std::{net::SocketAddrV4, time::Duration};

fn target() -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 5555)
}

#[test]
fn sent_datagrams_are_kept_in_order() {
    let mut wire = MemoryWire::default();

    let first = Datagram { to: target(), bytes: b"one" };
    let second = Datagram { to: target(), bytes: b"two" };
    let sent = wire.send(&[first, second]);

    assert_eq!(sent, 2);
    let expected = vec![(target(), b"one".to_vec()), (target(), b"two".to_vec())];
    assert_eq!(wire.take_sent(), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_datagram_is_received_or_counted(sizes in prop::collection::vec(0..2 * MAX_DATAGRAM, 0..200)) {
        let mut wire = MemoryWire::default();
        sizes.iter().for_each(|&size| wire.push_incoming(&vec![7; size]));

        let mut batch = Batch::new();
        let mut received = Vec::new();
        while wire.receive(&mut batch, Duration::ZERO).unwrap() > 0 {
            prop_assert!(batch.len() <= MAX_BATCH);
            received.extend(batch.iter().map(|it| it.bytes.len()));
        }

        let fits = |&size: &usize| (1..=MAX_DATAGRAM).contains(&size);
        prop_assert_eq!(received, sizes.iter().copied().filter(fits).collect::<Vec<_>>());
        let counts = wire.counts();
        prop_assert_eq!(counts.received + counts.oversize + counts.empty, sizes.len() as u64);
    }
}
