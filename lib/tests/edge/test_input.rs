//! Whatever arrives at the sockets is read or counted, and nothing else.

use medlarspur_lib::{
    bundle::Protocol,
    ids::FlowId,
    packet::{FlowKey, Mark, Packet},
    question::{Answer, Datagram, LookupResult, Question, QuestionError},
    settings::Secret,
    view::{ServiceKey, TargetKey},
};
use proptest::prelude::*;

const SECRET: Secret = Secret([9; 32]);

/// A TCP packet without options, from 10.0.0.1:40000 to 10.70.0.1:7001.
fn packet(flags: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0; 40];
    bytes[0] = 0x45;
    bytes[9] = 6;
    bytes[12..16].copy_from_slice(&[10, 0, 0, 1]);
    bytes[16..20].copy_from_slice(&[10, 70, 0, 1]);
    bytes[20..22].copy_from_slice(&40_000u16.to_be_bytes());
    bytes[22..24].copy_from_slice(&7001u16.to_be_bytes());
    bytes[32] = 0x50;
    bytes[33] = flags;
    bytes.extend_from_slice(payload);
    let total = bytes.len() as u16;
    bytes[2..4].copy_from_slice(&total.to_be_bytes());
    bytes
}

fn result() -> impl Strategy<Value = LookupResult> {
    prop_oneof![
        any::<u64>().prop_map(|key| LookupResult::Known(TargetKey(key))),
        Just(LookupResult::Unknown),
        any::<bool>().prop_map(|empty| LookupResult::NoException { empty }),
    ]
}

fn datagram() -> impl Strategy<Value = Datagram> {
    let flow = any::<u64>().prop_map(FlowId);
    prop_oneof![
        (flow.clone(), any::<u32>(), any::<u32>()).prop_map(|(flow, service, nonce)| {
            Datagram::Question(Question { flow, service: ServiceKey(service), nonce })
        }),
        (flow, any::<u32>(), result()).prop_map(|(flow, nonce, result)| Datagram::Answer(Answer {
            flow,
            nonce,
            result
        })),
    ]
}

#[test]
fn a_packet_is_read_as_far_as_forwarding_needs() {
    let bytes = packet(0x02, b"");

    let packet = Packet::parse(&bytes).expect("a SYN");

    assert_eq!(packet.key().to_string(), "tcp:10.0.0.1:40000:10.70.0.1:7001");
    assert_eq!((packet.mark(), packet.key().protocol), (Mark::Open, Protocol::Tcp));
    assert_eq!(packet.length(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Anybody can send anything to the port that takes packets from the
    /// fabric. A panic there would end the packet thread with all its flows.
    #[test]
    fn any_bytes_are_a_packet_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..2100)) {
        if let Ok(packet) = Packet::parse(&bytes) {
            prop_assert!(packet.bytes().len() <= bytes.len());
            let _ = (packet.numbers(), packet.length(), packet.acknowledges());
        }
    }

    /// Damaged and cut packets are more likely to get past the first checks
    /// than random bytes.
    #[test]
    fn a_damaged_packet_is_a_packet_or_an_error(
        flags in any::<u8>(),
        payload in prop::collection::vec(any::<u8>(), 0..99),
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = packet(flags, &payload);
        for (place, value) in damage {
            let place = place.index(bytes.len());
            bytes[place] = value;
        }
        bytes.truncate(cut.index(bytes.len() + 1));
        if let Ok(packet) = Packet::parse(&bytes) {
            prop_assert!(packet.bytes().len() <= bytes.len());
            let _ = (packet.numbers(), packet.length(), packet.acknowledges());
        }
    }

    #[test]
    fn a_peer_reads_what_a_peer_wrote(datagram in datagram()) {
        let bytes = datagram.encode(&SECRET);

        prop_assert_eq!(Datagram::decode(&bytes, &SECRET), Ok(datagram));
    }

    /// Somebody outside the site answers a question. Believed, the answer
    /// would send a caller's packets where the forger wants them.
    #[test]
    fn a_forged_or_damaged_datagram_is_refused(
        datagram in datagram(),
        place in any::<prop::sample::Index>(),
        bit in 0..8u32,
    ) {
        let other = Secret([8; 32]);
        let mut bytes = datagram.encode(&SECRET);
        prop_assert_eq!(Datagram::decode(&bytes, &other), Err(QuestionError::Checksum));

        let place = place.index(bytes.len());
        bytes[place] ^= 1 << bit;
        prop_assert!(Datagram::decode(&bytes, &SECRET).is_err());
    }

    #[test]
    fn any_bytes_are_a_datagram_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        prop_assert!(Datagram::decode(&bytes, &SECRET).is_err());
    }
}

/// Whoever is on call copies flows from log lines, which write them without a protocol
/// where there is only one.
#[test]
fn a_flow_is_read_as_lines_write_it() {
    let by_lines: Result<FlowKey, _> = "10.0.0.1:40000>10.70.0.1:7001".parse();
    let in_full: Result<FlowKey, _> = "tcp:10.0.0.1:40000:10.70.0.1:7001".parse();

    assert_eq!(by_lines.expect("a flow"), in_full.expect("a flow"));
    for wrong in ["10.0.0.1>10.70.0.1:7001", ">", "10.0.0.1:1>", "tcp:10.0.0.1:1>2"] {
        assert!(wrong.parse::<FlowKey>().is_err(), "{wrong}");
    }
}
