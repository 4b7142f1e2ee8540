//! Connections over the loopback.

use crate::fixtures::{Authority, eventually, heartbeat, refusing_address, start_peer};
use medlarspur_lib::message::{Message, PieceRequest, Pieces};
use medlarspur_peer::{
    MAX_BATCH_BYTES,
    generated::{Batch, Envelope, Heartbeat, envelope, peer_client::PeerClient},
};
use std::time::Duration;
use tonic::{Code, transport::Endpoint};

const WAIT: Duration = Duration::from_secs(30);

#[test]
fn messages_arrive_over_plain_connections() {
    let (a, b) = (start_peer("gromovestnik", None), start_peer("gromovestnik", None));

    a.send(b.addr(), heartbeat(3));

    assert_eq!(b.recv_timeout(WAIT), Some(heartbeat(3)));
    assert_eq!(a.counters().sent[0].messages, 1);
    assert_eq!(a.counters().sent, b.counters().received);
}

#[test]
fn messages_arrive_over_mutual_tls() {
    let authority = Authority::new();
    let a = start_peer("gromovestnik", Some(authority.issue()));
    let b = start_peer("gromovestnik", Some(authority.issue()));

    a.send(b.addr(), heartbeat(3));
    b.send(a.addr(), heartbeat(2));

    assert_eq!(b.recv_timeout(WAIT), Some(heartbeat(3)));
    assert_eq!(a.recv_timeout(WAIT), Some(heartbeat(2)));
}

/// Guards against accepting messages from a sender without a certificate of the site.
#[test]
fn untrusted_peers_are_refused_over_tls() {
    let authority = Authority::new();
    let b = start_peer("gromovestnik", Some(authority.issue()));
    let mut untrusted_keys = Authority::new().issue();
    untrusted_keys.authority = authority.issue().authority;
    let untrusted = start_peer("gromovestnik", Some(untrusted_keys));
    let plain = start_peer("gromovestnik", None);

    untrusted.send(b.addr(), heartbeat(0));
    plain.send(b.addr(), heartbeat(0));

    assert!(eventually(|| untrusted.counters().failed == 1 && plain.counters().failed == 1));
    assert_eq!(b.try_recv(), None);
}

/// Guards against accepting messages from another site.
#[test]
fn batch_from_another_site_is_refused_and_counted() {
    let (a, b) = (start_peer("katsastusaikavirasto", None), start_peer("gromovestnik", None));

    a.send(b.addr(), heartbeat(0));

    assert!(eventually(|| b.counters().foreign == 1 && a.counters().failed == 1));
    assert_eq!(b.try_recv(), None);
}

/// Sends a batch. Returns the status code of the call.
fn exchange(to: std::net::SocketAddrV4, batch: Batch) -> Code {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let endpoint = Endpoint::from_shared(format!("http://{to}")).expect("an address");
        let channel = endpoint.connect().await.expect("it listens");
        PeerClient::new(channel)
            .exchange(batch)
            .await
            .map_or_else(|status| status.code(), |_| Code::Ok)
    })
}

/// Guards against accepting an invalid message, such as a heartbeat without a sender from a
/// faulty version.
#[test]
fn malformed_batch_is_refused_and_counted() {
    let b = start_peer("gromovestnik", None);
    let broken = Envelope { message: Some(envelope::Message::Heartbeat(Heartbeat::default())) };
    let batch = Batch { site: "gromovestnik".into(), messages: vec![broken] };

    let code = exchange(b.addr(), batch);

    assert_eq!(code, Code::InvalidArgument);
    assert_eq!(b.counters().malformed, 1);
    assert_eq!(b.try_recv(), None);
}

/// Guards against batches so large that they take the memory that flows need.
#[test]
fn oversize_batch_is_refused_and_counted() {
    let b = start_peer("gromovestnik", None);
    let text = "x".repeat(MAX_BATCH_BYTES + 1);
    let pieces = Pieces { sender: b.addr(), digest: [0; 32], pieces: vec![(0, text.into())] };
    let messages = vec![medlarspur_peer::encode(&Message::Pieces(pieces))];

    let code = exchange(b.addr(), Batch { site: "gromovestnik".into(), messages });

    assert_eq!(code, Code::OutOfRange);
    assert_eq!(b.counters().oversize, 1);
    assert_eq!(b.try_recv(), None);
}

/// Guards against a network thread that waits for an unreachable peer, so that messages to
/// the others are delayed.
#[test]
fn unreachable_peer_does_not_delay_others() {
    let (a, b) = (start_peer("gromovestnik", None), start_peer("gromovestnik", None));
    let (_stream, unreachable) = refusing_address();
    let request = Message::PieceRequest(PieceRequest {
        sender: a.addr(),
        digest: [1; 32],
        runs: vec![(0, 9)],
    });

    a.send(unreachable, heartbeat(0));
    a.send(b.addr(), request.clone());

    assert_eq!(b.recv_timeout(WAIT), Some(request));
    assert!(eventually(|| a.counters().failed >= 1));
}
