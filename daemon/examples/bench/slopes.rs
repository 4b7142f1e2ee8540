//! Costs of an instance's tasks as functions of a size, for `docs/measures/roles.md`.
//!
//! Each process measures a single point. Memory freed by an earlier point would hide the
//! allocations of the next one.

use crate::{
    memory,
    process::{resident, thread_nanos},
    site,
};
use medlarspur_daemon::gate::LoadGate;
use medlarspur_fabric::Outbox;
use medlarspur_lib::{
    bundle::{Bundle, SecretKey, SignedBundle, TrustedKeys, sign},
    forwarder::{AdmitAll, Forwarder},
    ids::{
        DomainName, FlowId, Incarnation, InstanceName, ServiceName, SiteName, TargetName, Version,
    },
    members::{Addresses, Member, MemberState},
    message::{Advert, Message},
    plan,
    question::{Datagram, Question},
    settings::Secret,
    time::Millis,
    view::{Draft, PUBLISH_DELAY, ServiceKey},
};
use medlarspur_operator::Meters;
use medlarspur_platform::{Etag, Http, Platform};
use medlarspur_target::{Http as ProbeHttp, Probe};
use prost::Message as _;
use std::{
    fmt::Write as _,
    hint::black_box,
    io::{BufRead, BufReader, Write as _},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    thread,
    time::{Duration, Instant},
};

const NOW: Millis = Millis(1_000);
/// Numbers of services and members of the largest supported site, for the slopes that depend
/// on two sizes.
const SERVICES: usize = 3_400;
const MEMBERS: usize = 1_000;
/// Number of repetitions, of which the median is taken.
const REPEATS: usize = 5;

/// Measures one point. Returns none if there is no slope of this name.
pub fn measure(name: &str, size: usize) -> Option<f64> {
    Some(match name {
        "flow-memory" => memory::flow_memory(size) as f64,
        "hit-nanos" => memory::hit_nanos(size),
        "kept-memory" => keeper_cost(size).0,
        "kept-nanos" => keeper_cost(size).1,
        "advert-bytes" => advert_bytes(size),
        "view-memory" => view_memory(size),
        "check-memory" => check_memory(size),
        "check-micros" => check_micros(size),
        "install-micros" => install_micros(size),
        "members-micros" => members_micros(SERVICES, size),
        "keepers-micros" => members_micros(size, MEMBERS),
        "follow-micros" => follow_micros(size),
        "duties-micros" => duties_micros(size),
        "question-nanos" => question_nanos(size),
        "probe-micros" => probe_cost(size).0,
        "probe-bytes" => probe_cost(size).1,
        "watch-micros" => watch_cost(size).0,
        "watch-bytes" => watch_cost(size).1,
        _ => return None,
    })
}

fn median(mut round: impl FnMut() -> Duration) -> f64 {
    let mut times: Vec<_> = (0..REPEATS).map(|_| round().as_nanos() as f64).collect();
    times.sort_by(f64::total_cmp);
    times[REPEATS / 2]
}

fn timed<T>(work: impl FnOnce() -> T) -> Duration {
    let start = Instant::now();
    black_box(work());
    start.elapsed()
}

/// Returns the cost of flows received by a keeper: bytes and nanoseconds.
fn keeper_cost(flows: usize) -> (f64, f64) {
    let mut forwarder = Forwarder::new(AdmitAll, 0);
    let mut sent = memory::SentPackets::default();
    forwarder.install(memory::view(), NOW);
    let before = resident();
    let mut time = Duration::ZERO;
    for start in (0..flows).step_by(ADVERT_FLOWS) {
        let advert = advert(start, ADVERT_FLOWS.min(flows - start));
        time += timed(|| forwarder.handle_advert(NOW, &advert));
    }
    sent.outbox = Outbox::new();
    assert_eq!(forwarder.flows().len(), flows, "every flow is kept");
    (resident().saturating_sub(before) as f64, time.as_nanos() as f64)
}

/// Number of flows in an advert at an instance's usual rate of adverts.
const ADVERT_FLOWS: usize = 128;

fn advert(start: usize, count: usize) -> Advert {
    let target = |ix: usize| TargetName::new(&format!("alertdesk-{}", ix % 14));
    let id = |ix: usize| FlowId((ix as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    Advert {
        sender: InstanceName::new("entry-1"),
        service: ServiceName::new("alertdesk"),
        flows: (start..start + count).map(|ix| (id(ix), target(ix))).collect(),
        advertised: None,
    }
}

fn advert_bytes(flows: usize) -> f64 {
    medlarspur_peer::encode(&Message::Advert(advert(0, flows))).encoded_len() as f64
}

/// Returns a signed bundle with this number of services of two targets each, and its keys.
fn bundle(services: usize, version: u64, weight: u16) -> (String, TrustedKeys) {
    let key: SecretKey = "07".repeat(32).parse().expect("any 32 bytes are a key");
    let mut text = format!(
        "version: {version}\nsite: sofia\nseed: 00112233445566778899aabbccddeeff\nservices:\n"
    );
    for ix in 0..services {
        let weight = if ix == 0 { weight } else { 100 };
        let (high, low) = (ix / 250, ix % 250 + 1);
        let _ = write!(
            text,
            "  - name: service-{ix}\n    address: 10.70.{high}.{low}\n    ports: [{{number: 7001, class: feed}}]\n    \
             targets:\n      - {{name: a-{ix}, address: 10.1.{high}.{low}:6080, domain: lozenets, weight: {weight}}}\n      \
             - {{name: b-{ix}, address: 10.2.{high}.{low}:6080, domain: druzhba}}\n"
        );
    }
    let keys = TrustedKeys::new(vec![key.public()]);
    (sign(&text, &key), keys)
}

fn check(text: &str, keys: &TrustedKeys) -> SignedBundle {
    SignedBundle::check(text.as_bytes(), keys, &SiteName::new("sofia")).expect("the bundle is good")
}

fn check_micros(services: usize) -> f64 {
    let (text, keys) = bundle(services, 1, 100);
    eprintln!("{services} services are {} bytes of text", text.len());
    median(|| timed(|| check(&text, &keys))) / 1e3
}

/// Returns the memory of a bundle in force, parsed and as text, in bytes.
fn check_memory(services: usize) -> f64 {
    let (text, keys) = bundle(services, 1, 100);
    let before = resident();
    let signed = check(&text, &keys);
    let after = resident();
    black_box(signed);
    after.saturating_sub(before) as f64
}

fn draft(services: usize) -> Draft {
    let (text, keys) = bundle(services, 1, 100);
    start_draft(&check(&text, &keys).bundle)
}

fn start_draft(bundle: &Arc<Bundle>) -> Draft {
    let mut draft = Draft::first(InstanceName::new("entry-0"), bundle, NOW);
    draft.advance(NOW + PUBLISH_DELAY);
    draft
}

fn view_memory(services: usize) -> f64 {
    let bundle = site::many_services(services);
    let before = resident();
    let mut draft = start_draft(&bundle);
    let view = draft.commit();
    let after = resident();
    black_box((view, draft));
    after.saturating_sub(before) as f64
}

/// Returns the time to put a bundle in force in which one target's weight has changed.
fn install_micros(services: usize) -> f64 {
    let mut draft = draft(services);
    let (light, keys) = bundle(services, 2, 50);
    let (full, _) = bundle(services, 3, 100);
    let both = [check(&light, &keys).bundle, check(&full, &keys).bundle];
    let mut alternating = both.iter().cycle();
    median(|| {
        timed(|| {
            draft.install(alternating.next().unwrap_or(&both[0]), NOW);
            draft.commit()
        })
    }) / 1e3
}

/// Returns the time for which the packet thread stops forwarding to install a view.
fn follow_micros(services: usize) -> f64 {
    let mut draft = draft(services);
    let mut forwarder = Forwarder::new(
        LoadGate::new(1, Meters::new().expect("the metrics are registered once")),
        0,
    );
    let (light, keys) = bundle(services, 2, 50);
    let (full, _) = bundle(services, 3, 100);
    let both = [check(&light, &keys).bundle, check(&full, &keys).bundle];
    let mut alternating = both.iter().cycle();
    median(|| {
        draft.install(alternating.next().unwrap_or(&both[0]), NOW);
        let view = draft.commit().expect("the bundle has changed");
        timed(|| forwarder.install(view, NOW))
    }) / 1e3
}

fn member(ix: usize) -> Member {
    let address = |port| SocketAddrV4::new(Ipv4Addr::from(0x0a03_0000 + ix as u32), port);
    Member {
        name: InstanceName::new(&format!("entry-{ix}")),
        domain: DomainName::new(&format!("domain-{}", ix % 10)),
        incarnation: Incarnation(1),
        state: MemberState::Live,
        addresses: Addresses { packets: address(1), questions: address(2), control: address(3) },
        version: Version(1),
        advertised: 0,
    }
}

/// Returns the time to apply the replacement of one member.
fn members_micros(services: usize, members: usize) -> f64 {
    let mut draft = draft(services);
    let mut all: Vec<_> = (0..members).map(member).collect();
    draft.set_members(all.clone(), NOW);
    let mut next = members;
    median(|| {
        next += 1;
        all[0] = member(next);
        timed(|| {
            draft.set_members(all.clone(), NOW);
            draft.commit()
        })
    }) / 1e3
}

/// Returns the time to determine the services that an instance plans for.
fn duties_micros(members: usize) -> f64 {
    let all: Vec<_> = (0..members).map(member).collect();
    let services: Vec<_> =
        (0..SERVICES).map(|ix| ServiceName::new(&format!("service-{ix}"))).collect();
    let me = &all[0].name;
    let count = || services.iter().filter(|it| plan::is_author(me, it, all.iter())).count();
    median(|| timed(count)) / 1e3
}

fn question_nanos(count: usize) -> f64 {
    let secret = Secret([7; 32]);
    median(|| {
        timed(|| {
            for ix in 0..count {
                let flow = FlowId(ix as u64);
                let question = Question { flow, service: ServiceKey(1), nonce: ix as u32 };
                let bytes = Datagram::Question(question).encode(&secret);
                black_box(Datagram::decode(&bytes, &secret).is_ok());
            }
        })
    })
}

/// Starts an HTTP server that counts the bytes in both directions.
fn serve(answer: String) -> (SocketAddrV4, Arc<AtomicU64>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has free ports");
    let SocketAddr::V4(address) = listener.local_addr().expect("the listener is bound") else {
        unreachable!("the listener is bound to IPv4")
    };
    let bytes = Arc::new(AtomicU64::new(0));
    let counter = bytes.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (answer, counter) = (answer.clone(), counter.clone());
            thread::spawn(move || answer_requests(stream, &answer, &counter));
        }
    });
    (address, bytes)
}

fn answer_requests(mut stream: TcpStream, answer: &str, bytes: &AtomicU64) {
    let _ = stream.set_nodelay(true);
    let Ok(reader) = stream.try_clone() else { return };
    for line in BufReader::new(reader).lines().map_while(Result::ok) {
        bytes.fetch_add(line.len() as u64 + 2, Relaxed);
        if line.is_empty() {
            bytes.fetch_add(answer.len() as u64, Relaxed);
            let _ = stream.write_all(answer.as_bytes());
        }
    }
}

/// Runs `work` on a separate thread and returns its processor time, in microseconds.
fn thread_micros(work: impl FnOnce() + Send + 'static) -> f64 {
    const NAME: &str = "measured";
    let builder = thread::Builder::new().name(NAME.to_owned());
    let run = move || {
        let before = thread_nanos(NAME);
        work();
        (thread_nanos(NAME) - before) as f64 / 1e3
    };
    builder.spawn(run).expect("there are threads left").join().expect("the work ends")
}

/// Returns the cost of probes of a healthy target: microseconds, and bytes above TCP.
fn probe_cost(count: usize) -> (f64, f64) {
    let body = r#"{"slots":2,"connections":1999}"#;
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let (address, bytes) = serve(answer);
    let micros = thread_micros(move || {
        let http = ProbeHttp::new();
        for _ in 0..count {
            assert!(http.probe(address).report.is_some(), "the target is healthy");
        }
    });
    (micros, bytes.load(Relaxed) as f64)
}

/// Returns the cost of watches without changes: microseconds, and bytes above TCP.
fn watch_cost(count: usize) -> (f64, f64) {
    let (address, bytes) = serve("HTTP/1.1 204 No Content\r\n\r\n".to_owned());
    let micros = thread_micros(move || {
        let http = Http::new(address);
        let etag = Etag::new("0123456789abcdef");
        for _ in 0..count {
            let content = http.bundle(Some(&etag), Duration::ZERO).expect("the platform is up");
            assert!(content.is_none(), "nothing has changed");
        }
    });
    (micros, bytes.load(Relaxed) as f64)
}
