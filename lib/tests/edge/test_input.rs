//! Input from sockets is either parsed or counted as an error.

use medlarspur_lib::{
    bundle::Protocol,
    ids::FlowId,
    packet::{FlowKey, Packet, PacketKind},
    question::{Answer, Datagram, LookupResult, Question, QuestionError},
    settings::Secret,
    view::{ServiceKey, TargetKey},
};
use proptest::prelude::*;

const SECRET: Secret = Secret([9; 32]);

/// Returns a TCP packet without options from 10.0.0.1:40000 to 10.70.0.1:7001.
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
fn a_syn_is_parsed() {
    let bytes = packet(0x02, b"");

    let packet = Packet::parse(&bytes).expect("a SYN");

    assert_eq!(packet.key().to_string(), "tcp:10.0.0.1:40000:10.70.0.1:7001");
    assert_eq!((packet.kind(), packet.key().protocol), (PacketKind::Open, Protocol::Tcp));
    assert_eq!(packet.sequence_length(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic that ends the packet thread with all its flows.
    /// The port for packets from the fabric accepts datagrams from anyone.
    #[test]
    fn any_bytes_are_a_packet_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..2100)) {
        if let Ok(packet) = Packet::parse(&bytes) {
            prop_assert!(packet.bytes().len() <= bytes.len());
            let _ = (packet.sequence_numbers(), packet.sequence_length(), packet.has_ack());
        }
    }

    /// Damaged and truncated packets pass the first checks more often than
    /// random bytes.
    #[test]
    fn a_damaged_packet_is_a_packet_or_an_error(
        flags in any::<u8>(),
        payload in prop::collection::vec(any::<u8>(), 0..99),
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = packet(flags, &payload);
        for (position, value) in damage {
            let position = position.index(bytes.len());
            bytes[position] = value;
        }
        bytes.truncate(cut.index(bytes.len() + 1));
        if let Ok(packet) = Packet::parse(&bytes) {
            prop_assert!(packet.bytes().len() <= bytes.len());
            let _ = (packet.sequence_numbers(), packet.sequence_length(), packet.has_ack());
        }
    }

    #[test]
    fn an_encoded_datagram_decodes_to_itself(datagram in datagram()) {
        let bytes = datagram.encode(&SECRET);

        prop_assert_eq!(Datagram::decode(&bytes, &SECRET), Ok(datagram));
    }

    /// Guards against forged answers from outside the site, which would send a
    /// caller's packets to a place of the forger's choice.
    #[test]
    fn a_forged_or_damaged_datagram_is_refused(
        datagram in datagram(),
        position in any::<prop::sample::Index>(),
        bit in 0..8u32,
    ) {
        let other = Secret([8; 32]);
        let mut bytes = datagram.encode(&SECRET);
        prop_assert_eq!(Datagram::decode(&bytes, &other), Err(QuestionError::Checksum));

        let position = position.index(bytes.len());
        bytes[position] ^= 1 << bit;
        prop_assert!(Datagram::decode(&bytes, &SECRET).is_err());
    }

    #[test]
    fn any_bytes_are_a_datagram_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        prop_assert!(Datagram::decode(&bytes, &SECRET).is_err());
    }
}

/// Operators copy flows from log lines, which omit the protocol where TCP is
/// the only one.
#[test]
fn a_flow_parses_in_the_form_of_log_lines() {
    let in_log_form: Result<FlowKey, _> = "10.0.0.1:40000>10.70.0.1:7001".parse();
    let in_full: Result<FlowKey, _> = "tcp:10.0.0.1:40000:10.70.0.1:7001".parse();

    assert_eq!(in_log_form.expect("a flow"), in_full.expect("a flow"));
    for wrong in ["10.0.0.1>10.70.0.1:7001", ">", "10.0.0.1:1>", "tcp:10.0.0.1:1>2"] {
        assert!(wrong.parse::<FlowKey>().is_err(), "{wrong}");
    }
}
