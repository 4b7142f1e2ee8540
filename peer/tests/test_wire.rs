//! The wire format of messages.

use crate::fixtures::{addr, heartbeat, member};
use medlarspur_lib::{
    ids::{Bucket, FlowId, InstanceName, ServiceName, TargetName, Version},
    message::{
        Advert, BundleDelta, BundleOutline, BundleRequest, History, HistoryEntry, HistoryRequest,
        Leave, MembersAnswer, MembersRequest, Message, Piece, PieceRequest, Pieces, PlanRequest,
        ServicePlan,
    },
};
use medlarspur_peer::{decode, encode};
use proptest::prelude::*;
use prost::Message as _;

fn target() -> impl Strategy<Value = TargetName> {
    (0..20u8).prop_map(|n| TargetName::new(&format!("alertdesk-{n:02}")))
}

fn bucket() -> impl Strategy<Value = Bucket> {
    any::<u16>().prop_map(Bucket)
}

fn text() -> impl Strategy<Value = std::sync::Arc<str>> {
    "[a-z: \n]{20,200}".prop_map(Into::into)
}

fn bundle_message() -> impl Strategy<Value = Message> {
    let piece = prop_oneof![
        (0..4_000u32, 1..4_000u32).prop_map(|(first, count)| Piece::Copy { first, count }),
        text().prop_map(Piece::Text),
    ];
    let digest = any::<[u8; 32]>;
    prop_oneof![
        any::<Option<[u8; 32]>>()
            .prop_map(|base| Message::BundleRequest(BundleRequest { sender: addr(6082), base })),
        (any::<u32>(), digest(), digest(), proptest::collection::vec(piece, 0..9)).prop_map(
            |(version, digest, base, pieces)| Message::BundleDelta(BundleDelta {
                version: Version(version.into()),
                digest,
                base,
                pieces,
            })
        ),
        (digest(), proptest::collection::vec(any::<u64>(), 0..99)).prop_map(|(digest, pieces)| {
            Message::BundleOutline(BundleOutline {
                sender: addr(6082),
                version: Version(9),
                digest,
                pieces,
            })
        }),
        (digest(), proptest::collection::vec((0..4_000u32, 1..99u32), 0..9)).prop_map(
            |(digest, runs)| {
                Message::PieceRequest(PieceRequest { sender: addr(6082), digest, runs })
            }
        ),
        (digest(), proptest::collection::vec((0..4_000u32, text()), 0..9)).prop_map(
            |(digest, pieces)| { Message::Pieces(Pieces { sender: addr(6082), digest, pieces }) }
        ),
    ]
}

fn table_message() -> impl Strategy<Value = Message> {
    let service = || ServiceName::new("alertdesk");
    let author = || InstanceName::new("lozenets-1");
    let flows = proptest::collection::vec((any::<u64>().prop_map(FlowId), target()), 0..99);
    let entry = (bucket(), target(), 0..100_000u64, any::<bool>())
        .prop_map(|(bucket, target, age, owned)| HistoryEntry { bucket, target, age, owned });
    let entries = proptest::collection::vec(entry, 0..99);
    prop_oneof![
        proptest::collection::vec(any::<u64>(), 64)
            .prop_map(|groups| Message::PlanRequest(PlanRequest { sender: addr(6082), groups })),
        (any::<u32>(), proptest::collection::vec((bucket(), target()), 0..99)).prop_map(
            move |(n, moves)| {
                Message::Plan(ServicePlan {
                    service: service(),
                    sequence: n.into(),
                    author: author(),
                    moves,
                })
            }
        ),
        (flows, any::<Option<u32>>()).prop_map(move |(flows, advertised)| {
            let advertised = advertised.map(u64::from);
            Message::Advert(Advert { sender: author(), service: service(), flows, advertised })
        }),
        entries.prop_map(move |owners| Message::History(History { service: service(), owners })),
        Just(Message::HistoryRequest(HistoryRequest { sender: addr(6082) })),
        Just(Message::Leave(Leave { sender: author(), incarnation: member(1).incarnation })),
    ]
}

fn any_message() -> impl Strategy<Value = Message> {
    let request = MembersRequest { sender: addr(6082), groups: vec![7; 64] };
    let answer = |n| MembersAnswer { members: (0..n).map(member).collect() };
    prop_oneof![
        Just(Message::MembersRequest(request)),
        (0..20u64).prop_map(move |n| Message::MembersAnswer(answer(n))),
        (0..20u64).prop_map(heartbeat),
        bundle_message(),
        table_message()
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn encoded_message_decodes_to_the_same(message in any_message()) {
        prop_assert_eq!(decode(encode(&message)), Ok(message));
    }

    /// Guards against estimates that are far off. Rate limits and measurements of the fleet use
    /// them, so the budget of 8 KB/s would be exceeded unnoticed.
    #[test]
    fn estimated_size_is_close_to_the_encoded_size(message in any_message()) {
        let encoded = encode(&message).encoded_len();
        let estimated = message.size();

        prop_assert!(estimated.abs_diff(encoded) <= 24 + encoded / 5, "{estimated} for {encoded}");
    }
}
