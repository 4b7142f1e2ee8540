//! Tests that no packet reaches a target of another service.

use medlarspur_lib::{
    bundle::Protocol,
    forwarder::{ASK_TIMEOUT, Sink},
    ids::{InstanceName, ServiceName, TargetName},
    message::Advert,
    packet::FlowKey,
    question::{Answer, Datagram, LookupResult, Question},
};
use medlarspur_testutils::{
    bundles::{FEEDS, SiteBuilder},
    fleet::{Fleet, Network},
    traffic::{SegmentKind, segment},
};
use std::net::SocketAddrV4;

/// Packets and questions that an instance has sent.
#[derive(Debug, Default)]
struct Sent {
    packets: Vec<SocketAddrV4>,
    questions: Vec<Question>,
}

impl Sink for Sent {
    fn forward(&mut self, target: SocketAddrV4, _: &[u8]) {
        self.packets.push(target);
    }

    fn send_to_caller(&mut self, _: Vec<u8>) {}

    fn send_to_peer(&mut self, _: SocketAddrV4, datagram: Datagram) {
        if let Datagram::Question(question) = datagram {
            self.questions.push(question);
        }
    }

    fn send_advert(&mut self, _: &InstanceName, _: Advert) {}
}

fn feed() -> FlowKey {
    let caller = "10.0.0.1:20000".parse().expect("an address");
    FlowKey { protocol: Protocol::Tcp, caller, service: FEEDS }
}

/// Guards against packets at a target of another service. An instance that has
/// slept asks for the target of a feed, and a faulty peer answers with a target of
/// the ingest service, which would take a subscriber's acknowledgement for part of
/// an upload.
#[test]
fn a_wrong_answer_leads_to_no_target_of_another_service() {
    let mut fleet = Fleet::new(4, 2, &SiteBuilder::new(4, 4).bundle(), Network::default());
    let now = fleet.now;
    let forwarder = &mut fleet.nodes[0].forwarder;
    let registry = forwarder.view().expect("a view").registry.clone();
    let ingest = registry.find_by_name(&ServiceName::new("ingest"), &TargetName::new("ingest-0"));
    let wrong = registry.get(ingest.expect("a target")).key;
    let mut sent = Sent::default();
    forwarder.distrust(now);
    forwarder.handle_packet(now, &segment(&feed(), SegmentKind::Continue), &mut sent);

    let question = sent.questions[0].clone();
    let answer =
        Answer { flow: question.flow, nonce: question.nonce, result: LookupResult::Known(wrong) };
    forwarder.handle_datagram(now, FEEDS, Datagram::Answer(answer), &mut sent);
    forwarder.handle_packet(now, &segment(&feed(), SegmentKind::Continue), &mut sent);
    let before = std::mem::take(&mut sent.packets);
    forwarder.tick(now + ASK_TIMEOUT, &mut sent);

    assert_eq!(before, []);
    assert_eq!(forwarder.counters().crossed, 1);
    assert_eq!(sent.packets.len(), 2);
    let view = forwarder.view().expect("a view");
    let alerts = &view.bundle.services[0].targets;
    assert!(sent.packets.iter().all(|to| alerts.iter().any(|target| target.address == *to)));
}
