//! Tests that refused callers are informed at once, with a real TCP stack.

use medlarspur_lib::{
    bundle::Class,
    flows::Flow,
    forwarder::{Forwarder, Gate, Opening, Sink, Verdict},
    ids::{FlowId, InstanceName},
    message::Advert,
    question::Datagram,
    time::Millis,
    view::{Draft, PUBLISH_DELAY, TargetId, View},
};
use medlarspur_testutils::{
    bundles::{REQUESTS, SiteBuilder},
    host::{Conn, Host, Stage},
};
use std::net::{Ipv4Addr, SocketAddrV4};

const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nRetry-After: {seconds}\r\n\r\n";
const EXPECTED: &str = "HTTP/1.1 503 Busy\r\nRetry-After: 007\r\n\r\n";

/// A gate that refuses all callers for seven seconds.
struct RefuseAll;

impl Gate for RefuseAll {
    fn open(&mut self, _: Millis, _: &Opening) -> Verdict {
        Verdict::Refuse { after: Millis::secs(7) }
    }

    fn due(&mut self, _: Millis, _: &mut Vec<(FlowId, Verdict)>) {}

    fn retry_after(&self, _: FlowId, _: Option<TargetId>) -> Millis {
        Millis::secs(7)
    }

    fn on_second_packet(&mut self, _: Millis, _: TargetId, _: Class, _: Millis) {}

    fn on_abort(&mut self, _: Millis, _: TargetId) {}

    fn on_close(&mut self, _: Millis, _: FlowId, _: &Flow) {}

    fn set_view(&mut self, _: &View, _: Millis) {}
}

#[derive(Default)]
struct Sent {
    forwarded: usize,
    answers: Vec<Vec<u8>>,
}

impl Sink for Sent {
    fn forward(&mut self, _: SocketAddrV4, _: &[u8]) {
        self.forwarded += 1;
    }

    fn send_to_caller(&mut self, packet: Vec<u8>) {
        self.answers.push(packet);
    }

    fn send_to_peer(&mut self, _: SocketAddrV4, _: Datagram) {}

    fn send_advert(&mut self, _: &InstanceName, _: Advert) {}
}

/// Two instances that refuse all callers, and a caller whose packets reach them
/// in turn.
struct Scene {
    instances: [Forwarder<RefuseAll>; 2],
    caller: Host,
    sent: Sent,
    turn: usize,
}

impl Scene {
    fn new(site: &SiteBuilder) -> Scene {
        let instances = ["one", "two"].map(|name| instance(name, site));
        let caller = Host::new(Ipv4Addr::new(10, 0, 0, 1));
        Scene { instances, caller, sent: Sent::default(), turn: 0 }
    }

    /// Exchanges packets between caller and instances for a second.
    fn run(&mut self) {
        for now in (0..1_000).step_by(5).map(Millis) {
            for packet in self.caller.poll(now) {
                self.turn += 1;
                let instance = &mut self.instances[self.turn % 2];
                instance.handle_packet(PUBLISH_DELAY + now, &packet, &mut self.sent);
            }
            for packet in std::mem::take(&mut self.sent.answers) {
                self.caller.receive(&packet);
            }
        }
    }

    fn call(&mut self) -> Conn {
        let conn = self.caller.connect(40_000, REQUESTS);
        self.run();
        conn
    }
}

fn instance(name: &str, site: &SiteBuilder) -> Forwarder<RefuseAll> {
    let mut draft = Draft::first(InstanceName::new(name), &site.bundle(), Millis(0));
    draft.advance(PUBLISH_DELAY);
    let mut forwarder = Forwarder::new(RefuseAll, 16);
    forwarder.install(draft.commit().expect("a view"), PUBLISH_DELAY);
    forwarder
}

/// Guards against a reset instead of the refusal text with the time to retry. The
/// packets of a refused caller reach different instances, none of which keeps state
/// of it. Without a common SYN cookie the second instance would treat the packet as
/// part of a flow at a target.
#[test]
fn a_refused_caller_gets_the_refusal_text() {
    let mut scene = Scene::new(&SiteBuilder::new(4, 2).refusal(REFUSAL));

    let conn = scene.call();
    scene.caller.send(conn, b"REQ 1\n");
    scene.run();
    let received = scene.caller.recv(conn);
    scene.caller.close(conn);
    scene.run();

    assert_eq!(String::from_utf8_lossy(&received), EXPECTED);
    assert_ne!(scene.caller.stage(conn), Stage::Broken);
    assert_eq!(scene.sent.forwarded, 0);
}

/// Guards against a refused caller that gets no answer and waits for its own
/// timeout, if the service has no refusal text. A reset shows at once that nothing
/// was run.
#[test]
fn a_refused_caller_gets_a_reset_without_refusal_text() {
    let mut scene = Scene::new(&SiteBuilder::new(4, 2));

    let conn = scene.call();

    assert_eq!(scene.caller.stage(conn), Stage::Refused);
    assert_eq!(scene.sent.forwarded, 0);
}
