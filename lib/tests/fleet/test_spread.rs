//! The bundle in force across the fleet.

use crate::net::{Net, VersionCheck, member, text};
use medlarspur_lib::{
    control::Event,
    ids::{DomainName, Version},
    message::{BundleDelta, BundleRequest, Message, Piece},
    spread::{Spread, TextError, diff, digest, rebuild, split},
    time::Millis,
};
use proptest::prelude::*;
use std::sync::Arc;

fn settled(n: usize) -> Net {
    let mut net = Net::new(n, 4, 1);
    net.run(Millis::secs(10));
    assert!(net.all_have(&text(1, 4)));
    net
}

#[test]
fn bundle_reaches_all_of_a_static_fleet() {
    let mut net = settled(8);
    assert!(net.all_live());
    assert!(net.nodes.iter().all(|n| n.ready.is_some()));

    net.platform = Some(text(2, 4));
    net.run(Millis::secs(1));

    assert!(net.all_have(&text(2, 4)));
    assert!(net.never_reverted());
}

#[test]
fn two_instances_per_domain_read_the_platform() {
    let mut net = settled(24);

    net.run(Millis::secs(5));

    for d in 0..4 {
        let readers = net.nodes.iter().skip(d).step_by(4).filter(|n| n.reading).count();
        assert_eq!(readers, 2);
    }
}

/// Guards against following a platform that falls back to an older copy of
/// itself. Callers would be sent by a withdrawn bundle.
#[test]
fn stale_platform_brings_nothing_back() {
    let mut net = settled(8);
    net.platform = Some(text(3, 4));
    net.run(Millis::secs(2));

    net.platform = Some(text(2, 4));
    net.run(Millis::secs(20));

    assert!(net.all_have(&text(3, 4)));
    assert!(net.never_reverted());
}

/// Guards against a replaced instance that serves from a withdrawn bundle,
/// because the platform returns an older one. Its memory is empty, so only its
/// peers have the later bundle.
#[test]
fn restarted_instance_serves_from_the_highest_bundle_only() {
    let mut net = settled(8);
    net.platform = Some(text(3, 4));
    net.run(Millis::secs(2));
    net.platform = Some(text(2, 4));

    net.restart(5);
    net.run(Millis::secs(10));

    let node = &net.nodes[5];
    let ready = node.ready.expect("the instance becomes ready");
    let serving = node.accepted.iter().rfind(|(at, _)| *at <= ready).expect("a bundle is in force");
    assert_eq!(serving.1.version, Version(3));
    assert!(net.all_have(&text(3, 4)));
}

/// Guards against a replaced instance that is ready on the first answer. The
/// network is slow: the stale platform answers at once and the peers a second
/// later, so it would serve from the withdrawn bundle for that second.
#[test]
fn restarted_instance_waits_for_slow_peers() {
    let mut net = settled(8);
    net.platform = Some(text(3, 4));
    net.run(Millis::secs(2));
    net.platform = Some(text(2, 4));

    net.faults.delay = 600;
    net.restart(5);
    net.run(Millis::secs(20));

    let node = &net.nodes[5];
    assert_eq!(node.accepted.first().map(|(_, t)| t.version), Some(Version(2)));
    let last = node.accepted.last().expect("a bundle is in force");
    assert_eq!(last.1.version, Version(3));
    assert!(node.ready.is_some_and(|ready| ready >= last.0));
}

/// Guards against an instance that can serve no caller because it was replaced
/// while the platform is down. Only its peers can give it the bundle.
#[test]
fn restarted_instance_learns_the_bundle_from_peers_alone() {
    let mut net = settled(8);
    net.platform = Some(text(2, 3_000));
    net.run(Millis::secs(3));
    net.platform = None;

    net.restart(5);
    net.run(Millis::secs(10));

    assert!(net.nodes[5].ready.is_some());
    assert!(net.all_have(&text(2, 3_000)));
}

/// Guards against an instance that reports itself ready without a bundle, as it
/// has neither platform nor peers. It would be given packets that it can't
/// forward.
#[test]
fn instance_without_platform_and_peers_is_not_ready() {
    let mut net = Net::new(1, 1, 1);
    net.platform = None;

    net.run(Millis::secs(60));

    assert_eq!(net.nodes[0].ready, None);
}

/// Guards against a fleet that stays with two bundles of one version. Two
/// operators publish at once, both as version 2, and the platform returns
/// either to different readers. The operators must see it, or one would believe
/// that the wrong bundle is in force.
#[test]
fn two_contents_under_one_version_converge_and_are_flagged() {
    let mut net = settled(8);
    net.platform = None;
    let (a, b) = (text(2, 5), text(2, 6));
    net.event(0, Event::PlatformBundle(a.clone()));
    net.event(1, Event::PlatformBundle(b.clone()));

    net.run(Millis::secs(5));

    let winner = if digest(&a) > digest(&b) { a } else { b };
    assert!(net.all_have(&winner));
    assert!(net.never_reverted());
    assert!(net.nodes.iter().any(|n| n.controller.spread().conflict == Some(Version(2))));
}

/// Guards against a failure domain that stays behind because it was cut off
/// while a bundle was published, so that no push reached it. After healing only
/// heartbeats show that it is behind.
#[test]
fn cut_off_domain_catches_up_after_healing() {
    let mut net = settled(8);
    net.partitioned.insert(DomainName::new("d1"));
    net.run(Millis::secs(2));
    net.platform = None;
    net.event(0, Event::PlatformBundle(text(2, 4)));
    net.run(Millis::secs(60));
    assert!(!net.all_have(&text(2, 4)));

    net.partitioned.clear();
    net.run(Millis::secs(8));

    assert!(net.all_have(&text(2, 4)));
    assert!(net.all_live());
}

/// Guards against a fleet that reverts to the old bundle of an instance that
/// was frozen while many bundles were published and claims its own on waking.
#[test]
fn woken_instance_reverts_nobody_and_catches_up() {
    let mut net = settled(8);
    net.nodes[2].asleep = true;
    for version in 2..20 {
        net.platform = Some(text(version, 4));
        net.run(Millis::secs(2));
    }
    net.platform = None;

    net.nodes[2].asleep = false;
    net.run(Millis::secs(8));

    assert_eq!(net.nodes[2].slept, 1);
    assert!(net.all_have(&text(19, 4)));
    assert!(net.never_reverted());
}

#[test]
fn delta_carries_only_changes() {
    let base = text(1, 400);
    let next = base.replace("address: 198.51.100.17\n", "address: 203.0.113.17\n");

    let ops = diff(&base, &next);

    let fresh: usize = ops.iter().map(|op| if let Piece::Text(t) = op { t.len() } else { 0 }).sum();
    assert!(fresh < 100, "{fresh} bytes");
    assert_eq!(rebuild(&base, &ops).expect("the delta fits its base"), next);
}

/// Guards against a peer without the base text that answers with a delta to a
/// text that the requester lacks, or with a megabyte in one message.
#[test]
fn unknown_base_is_answered_by_an_outline() {
    let mut spread = Spread::new(VersionCheck);
    spread.offer(&text(1, 9)).expect("accepted");
    let addr = member(0, 1, 1).addresses.control;

    let answer = spread.answer_request(&BundleRequest { sender: addr, base: Some([7; 32]) }, addr);

    let Some(Message::BundleOutline(outline)) = answer else { panic!("{answer:?}") };
    assert_eq!(outline.pieces.len(), split(&text(1, 9)).len());
}

/// Guards against a faulty peer that announces a bundle and sends a delta that
/// rebuilds to another text. That text must not come into force, and must not
/// keep out the announced one when a correct peer sends it.
#[test]
fn wrong_delta_is_refused_and_the_right_one_accepted() {
    let mut spread = Spread::new(VersionCheck);
    let (base, next) = (text(1, 4), text(2, 4));
    spread.offer(&base).expect("accepted");
    let right = BundleDelta {
        version: Version(2),
        digest: digest(&next),
        base: digest(&base),
        pieces: diff(&base, &next),
    };
    let wrong = BundleDelta { pieces: vec![Piece::Text("version: 2\n".into())], ..right.clone() };
    let far =
        BundleDelta { pieces: vec![Piece::Copy { first: 3, count: u32::MAX }], ..right.clone() };

    assert!(matches!(spread.apply_delta(&wrong), Err(TextError::Digest)));
    assert!(matches!(spread.apply_delta(&far), Err(TextError::OutOfRange { .. })));
    assert!(spread.apply_delta(&right).expect("accepted").is_some());
}

fn any_text() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        Just("- a\n"),
        Just("  - name: b\n"),
        Just("    x\n"),
        Just("é\r\n"),
        Just("\n"),
        Just("  - ")
    ];
    proptest::collection::vec(line, 0..40).prop_map(|lines| lines.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a rebuilt text with a byte too many or too few. Its
    /// signature would not hold, and the change would be in force on the
    /// readers of the platform only.
    #[test]
    fn any_text_rebuilds_byte_for_byte(base in any_text(), next in any_text()) {
        prop_assert_eq!(split(&next).concat(), next.as_str());
        prop_assert_eq!(rebuild(&base, &diff(&base, &next)).expect("the delta fits its base"), next);
    }

    /// Guards against instances with different bundles after the platform,
    /// peers and two operators offered the same bundles in different order,
    /// some repeatedly.
    #[test]
    fn bundle_in_force_does_not_depend_on_order(
        offers in proptest::collection::vec((1u64..5, 1usize..5), 1..12),
        turn in 0usize..12,
    ) {
        let texts: Vec<Arc<str>> = offers.iter().map(|(v, n)| text(*v, *n)).collect();
        let mut turned = texts.clone();
        turned.rotate_left(turn % texts.len());
        turned.reverse();
        let held = |texts: &[Arc<str>]| {
            let mut spread = Spread::new(VersionCheck);
            let mut last = spread.order();
            for text in texts {
                spread.offer(text).expect("the text passes the check");
                assert!(spread.order() >= last, "reverted to an older bundle");
                last = spread.order();
            }
            last
        };

        prop_assert_eq!(held(&texts), held(&turned));
    }
}
