//! Targets, routes and packets for tests, and an output that records all decisions.

use medlarspur_lib::{
    bundle::Class,
    ids::{DomainName, RegionName, ServiceName, TargetName, Version},
    settings::Capabilities,
    status::TargetUse,
    time::Millis,
};
use medlarspur_load::priority::Level;
use medlarspur_marked::{
    Change, Config, Content, FlowEvent, FlowKey, Forwarder, ForwarderOptions, Incarnation, Kind,
    Mark, Note, Output, Refusal, Revision, Route, Scope, Segment, Service, Share, Span, Start,
    Target, Update,
};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Service address for feeds to `desk`.
pub const FEED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
/// Service address for requests to `desk`.
pub const REQUEST: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);
/// Service address for uploads to `ingest`.
pub const UPLOAD: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 8443);

/// Times at which callers send the copies of an opening and at which they give up, counted from
/// the opening, in milliseconds.
pub const COPIES: [u64; 4] = [0, 200, 600, 1_400];

pub fn millis(millis: u64) -> Millis {
    Millis(millis)
}

/// Name of target `number`.
pub fn name(number: u64) -> TargetName {
    TargetName::new(&format!("i-{:08x}", 0x7000_0000 + number))
}

/// Target `number` of a service, at its own address.
pub fn target(number: u64, service: &str) -> Target {
    started(number, service, 1_700_000_000_000)
}

/// Target `number`, started at the given time of its own clock.
pub fn started(number: u64, service: &str, start: u64) -> Target {
    let (name, start) = (name(number), Start(start));
    Target {
        incarnation: Incarnation::new(&name, start),
        name,
        start,
        service: ServiceName::new(service),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 64, number as u8), 8080),
        domain: DomainName::new("north"),
        slots: 2,
        leaving: false,
        cold: Millis(0),
        writes: 1,
    }
}

pub fn route(address: SocketAddrV4, class: Class, service: &str) -> Route {
    let share = Share { service: ServiceName::new(service), weight: 1 };
    Route {
        address,
        class,
        priority: None,
        objective: None,
        shares: vec![share],
        regions: Vec::new(),
    }
}

/// Properties of a service in a config.
pub fn service(name: &str) -> Service {
    Service { name: ServiceName::new(name), health: "/health".into(), warmup: None }
}

pub fn config(version: u64) -> Config {
    Config {
        version: Version(version),
        routes: vec![
            route(FEED, Class::Feed, "desk"),
            route(REQUEST, Class::Request, "desk"),
            route(UPLOAD, Class::Upload, "ingest"),
        ],
        services: vec![service("desk"), service("ingest")],
        idle: Millis::secs(15),
        omitted: 0,
    }
}

pub fn change(revision: u64, content: Content) -> Change {
    Change { revision: Revision::new(0, revision), content }
}

pub fn update(revision: u64, scope: Scope, changes: Vec<Change>) -> Update {
    Update::new(Revision::new(0, revision), scope, changes)
}

/// A snapshot with the config at revision 1 and the targets from revision 2 on.
pub fn snapshot(targets: &[Target]) -> Update {
    let mut changes = vec![change(1, Content::Config(config(1)))];
    let targets = targets.iter().cloned().zip(2..);
    changes.extend(targets.map(|(target, revision)| change(revision, Content::Target(target))));
    update(100, Scope::Snapshot, changes)
}

/// An update of one item, which follows the revision before.
pub fn incremental(revision: u64, content: Content) -> Update {
    update(
        revision,
        Scope::Incremental(Revision::new(0, revision - 1)),
        vec![change(revision, content)],
    )
}

/// The flow of caller `number` to a service address.
pub fn flow(number: u16, service: SocketAddrV4) -> FlowKey {
    FlowKey { caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), number), service }
}

pub fn segment(key: FlowKey, kind: Kind) -> Segment {
    let repeated_after = millis(if kind == Kind::Open { COPIES[1] } else { 0 });
    Segment { key, kind, seq: 1000, ack: 0, len: 0, mark: None, repeated_after }
}

/// The opening packet of a flow of which `nth` copies were sent before.
pub fn copy(key: FlowKey, nth: usize) -> Segment {
    let repeated_after = millis(COPIES[nth + 1] - COPIES[nth]);
    Segment { repeated_after, ..segment(key, Kind::Open) }
}

/// Records the output of a forwarder.
#[derive(Debug, Default)]
pub struct Decisions {
    /// Packets that were forwarded.
    pub sent: Vec<(Incarnation, Mark, Vec<u8>)>,
    /// Flows that were reset.
    pub resets: Vec<(FlowKey, u32, Refusal)>,
    /// Targets that were probed.
    pub probed: Vec<Incarnation>,
    /// Notes of decisions.
    pub notes: Vec<Note>,
    /// Measured times.
    pub spans: Vec<(ServiceName, Class, Span)>,
    /// Counted events of flows, by service and rank of the level.
    pub counted: Vec<(ServiceName, usize, FlowEvent)>,
    reset: Option<(FlowKey, u32)>,
}

impl Output for Decisions {
    fn forward(&mut self, target: &Target, mark: Mark, packet: &[u8]) {
        self.sent.push((target.incarnation, mark, packet.to_vec()));
    }

    fn reset(&mut self, flow: &FlowKey, seq: u32) {
        self.reset = Some((*flow, seq));
    }

    fn measure(&mut self, service: &ServiceName, class: Class, span: Span) {
        self.spans.push((service.clone(), class, span));
    }

    fn count(&mut self, service: &ServiceName, level: Level, event: FlowEvent) {
        self.counted.push((service.clone(), level.rank(), event));
    }

    fn note(&mut self, note: Note) {
        // The note that follows a reset contains its reason.
        if let Note::Reset { flow, refusal, .. } = &note {
            let (reset, seq) = self.reset.take().expect("the reset comes first");
            assert_eq!(reset, *flow);
            self.resets.push((reset, seq, *refusal));
        }
        self.notes.push(note);
    }

    fn probe(&mut self, target: &Target, _path: &str) {
        self.probed.push(target.incarnation);
    }
}

/// A forwarder with its recorded output.
pub struct Instance {
    pub forwarder: Forwarder,
    pub out: Decisions,
}

impl Instance {
    pub fn new(targets: &[Target]) -> Instance {
        Instance::with_seed(targets, 7)
    }

    /// Creates an instance with a seed for random choices.
    pub fn with_seed(targets: &[Target], seed: u64) -> Instance {
        Instance::create("north", targets, seed)
    }

    /// Creates an instance in a failure domain.
    pub fn in_domain(domain: &str, targets: &[Target]) -> Instance {
        Instance::create(domain, targets, 7)
    }

    fn create(domain: &str, targets: &[Target], seed: u64) -> Instance {
        let places = [("north", "here"), ("centre", "here"), ("south", "there")];
        let regions =
            places.map(|(domain, region)| (DomainName::new(domain), RegionName::new(region)));
        let regions = regions.into_iter().collect();
        let options = ForwarderOptions {
            domain: DomainName::new(domain),
            regions,
            capabilities: Capabilities::default(),
            seed,
        };
        let mut instance =
            Instance { forwarder: Forwarder::new(options), out: Decisions::default() };
        instance.learn(snapshot(targets), 0);
        instance.out.probed.clear();
        instance
    }

    pub fn learn(&mut self, update: Update, now: u64) {
        self.forwarder.apply_update(update, millis(now), &mut self.out);
    }

    pub fn packet(&mut self, segment: Segment, now: u64) {
        self.delayed_packet(segment, 0, now);
    }

    /// Handles a packet that waited in the socket for `queued`.
    pub fn delayed_packet(&mut self, segment: Segment, queued: u64, now: u64) {
        let (queued, now) = (millis(queued), millis(now));
        self.forwarder.handle_packet(&segment, b"packet", queued, now, &mut self.out);
    }

    /// Sends the opening packet of a flow. Returns the target that it went to.
    pub fn open(&mut self, key: FlowKey, now: u64) -> Incarnation {
        self.packet(segment(key, Kind::Open), now);
        self.last_target()
    }

    /// Opens a flow and lets its target answer. Returns the target.
    pub fn establish(&mut self, key: FlowKey, now: u64) -> Incarnation {
        let target = self.open(key, now);
        self.packet(middle(key, target, 1001, 500, 0), now + 5);
        target
    }

    /// Lets `count` requests be answered after `span` each, so that the usual time of answers is
    /// known.
    pub fn record_answers(&mut self, service: SocketAddrV4, count: u16, span: u64) {
        for number in 0..count {
            let key = flow(60_000 + number, service);
            let target = self.establish(key, 0);
            self.packet(middle(key, target, 1001, 500, 100), 0);
            self.packet(middle(key, target, 1101, 600, 0), span);
            let mut end = middle(key, target, 1101, 600, 0);
            end.kind = Kind::Abort;
            self.packet(end, span);
        }
        self.out = Decisions::default();
    }

    pub fn tick(&mut self, now: u64) {
        self.forwarder.tick(millis(now), &mut self.out);
    }

    /// Whether a target can take a flow that is opened now, and if not, the reason.
    pub fn usage(&self, key: FlowKey, at: Incarnation, now: u64) -> TargetUse {
        let explained = self.forwarder.explain(&key, None, millis(now));
        let name = &self.forwarder.catalog().entry(at).expect("known").target.name;
        explained.candidates.iter().find(|it| it.name == *name).expect("a candidate").usage
    }

    /// Target of the last forwarded packet.
    pub fn last_target(&self) -> Incarnation {
        self.out.sent.last().expect("a packet was sent on").0
    }
}

/// A packet in mid-flow, with the mark of `target`.
pub fn middle(key: FlowKey, target: Incarnation, seq: u32, ack: u32, len: u16) -> Segment {
    let mark = Some(Mark::new(target, &key));
    Segment { seq, ack, len, mark, ..segment(key, Kind::Continue) }
}
