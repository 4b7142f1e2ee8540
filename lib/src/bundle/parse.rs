//! Parsing and checking of a bundle's YAML text.

use super::{Bundle, Class, Limits, Port, Protocol, Seed, Service, Target, TargetState, check};
use crate::{
    document::{self, Fault, Lines, Node, Report},
    ids::{DomainName, ServiceName, SiteName, TargetName, Version},
    time::Millis,
};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

/// Maximum length of a bundle in bytes. The platform's service stores no larger
/// values.
pub const MAX_BUNDLE_SIZE: usize = 1 << 20;
/// Default number of buckets of a service.
const DEFAULT_BUCKETS: u16 = 1024;
/// Maximum number of buckets of a service. It limits the size of an instance's
/// tables.
const MAX_BUCKETS: u64 = 1 << 15;
/// Minimum number of buckets per target. With fewer, one bucket too many is
/// more than an eighth of a target's share.
const MIN_BUCKETS_PER_TARGET: u64 = 8;
/// Default maximum time between two packets of a flow.
const DEFAULT_KEEPALIVE: Millis = Millis::secs(30);
/// Maximum length of the text for refused callers, in bytes. It has to fit into
/// one segment.
const MAX_REFUSAL: usize = 1024;
/// Default weight of imbalance: broken flows and imbalance weigh the same.
const DEFAULT_BALANCE: u8 = 50;
/// Weight of a target with a full share of new flows.
const DEFAULT_WEIGHT: u16 = 100;
const DEFAULT_SLOTS: u16 = 2;
const DEFAULT_CONNECTIONS: u32 = 2000;

const BUNDLE_FIELDS: &[&str] = &["version", "site", "seed", "services", "limits", "evacuated"];
const LIMIT_FIELDS: &[&str] = &["reserve", "caller", "network", "booking", "patience", "retries"];
const SERVICE_FIELDS: &[&str] =
    &["name", "address", "ports", "buckets", "keepalive", "refusal", "balance", "targets"];
const PORT_FIELDS: &[&str] = &["number", "protocol", "class"];
const TARGET_FIELDS: &[&str] =
    &["name", "address", "domain", "weight", "slots", "connections", "state", "probe"];

impl Bundle {
    /// Parses and checks the text of a bundle.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text, each with its line and advice.
    pub fn parse(text: &str) -> Result<Bundle, Report> {
        document::read(text, MAX_BUNDLE_SIZE, Lines::Find, parse_bundle)
    }

    /// Like [`Bundle::parse`], but doesn't look up the lines of faults. A
    /// faulty text then takes no longer than a valid one.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn parse_without_lines(text: &str) -> Result<Bundle, Report> {
        document::read(text, MAX_BUNDLE_SIZE, Lines::Skip, parse_bundle)
    }
}

fn parse_bundle(top: &Node<'_>) -> Option<Bundle> {
    let fields = top.fields(BUNDLE_FIELDS)?;
    let version = fields.required("version").and_then(|node| node.integer(1..=u64::MAX));
    let site = fields.required("site").and_then(|node| node.name());
    let seed = fields.required("seed").and_then(|node| parse_seed(&node));
    let services = fields.required("services").and_then(|node| parse_services(&node));
    let limits = fields.parse_or("limits", Limits::default(), parse_limits);
    let parsed = services.as_deref().unwrap_or_default();
    let evacuated = fields.parse_or("evacuated", Vec::new(), |node| parse_evacuated(node, parsed));
    let evacuated = evacuated?;
    let services = services?.into_iter().map(|service| evacuate_targets(service, &evacuated));
    Some(Bundle {
        version: Version(version?),
        site: SiteName::new(site?),
        seed: seed?,
        services: services.collect(),
        limits: limits?,
        evacuated,
    })
}

/// Parses the evacuated failure domains. Each must have a target: with a
/// misspelt name the intended domain would stay in use.
fn parse_evacuated(node: &Node<'_>, services: &[Arc<Service>]) -> Option<Vec<DomainName>> {
    let targets = || services.iter().flat_map(|service| &service.targets);
    let mut found = Vec::<DomainName>::new();
    for item in node.items()? {
        let domain = DomainName::new(item.name()?);
        if found.contains(&domain) {
            let (found, other) = (domain.to_string(), node.path().clone());
            return item.fail(Fault::Duplicate { what: "the failure domain", found, other });
        }
        // If a service has a fault, the list is empty and the domains are unknown.
        if !services.is_empty() && targets().all(|target| target.domain != domain) {
            return item.fail(Fault::NoTargetInDomain { found: domain.to_string() });
        }
        found.push(domain);
    }
    Some(found)
}

/// Marks active targets of evacuated domains as evacuated. Leaving targets take
/// no new flows in any case.
fn evacuate_targets(service: Arc<Service>, evacuated: &[DomainName]) -> Arc<Service> {
    let is_evacuated =
        |target: &Target| target.state == TargetState::Active && evacuated.contains(&target.domain);
    if !service.targets.iter().any(is_evacuated) {
        return service;
    }
    let mut service = Arc::unwrap_or_clone(service);
    for target in service.targets.iter_mut().filter(|it| is_evacuated(it)) {
        target.state = TargetState::Evacuated;
    }
    Arc::new(service)
}

fn parse_limits(node: &Node<'_>) -> Option<Limits> {
    let fields = node.fields(LIMIT_FIELDS)?;
    let reserve = fields.parse_optional("reserve", |node| node.integer_as(0..=90));
    let caller = fields.parse_optional("caller", |node| node.integer_as(1..=100));
    let network = fields.parse_optional("network", |node| node.integer_as(1..=100));
    let booking = fields.parse_optional("booking", |node| node.integer_as(100..=400));
    let patience =
        fields.parse_optional("patience", |node| node.duration(Millis(0)..=Millis::secs(5)));
    let retries = fields.parse_optional("retries", |node| node.integer_as(0..=100));
    Some(Limits {
        reserve: reserve?,
        caller: caller?,
        network: network?,
        booking: booking?,
        patience: patience?,
        retries: retries?,
    })
}

fn parse_seed(node: &Node<'_>) -> Option<Seed> {
    node.parse_with("32 hexadecimal digits", |text| {
        let mut seed = [0; 16];
        hex::decode_to_slice(text, &mut seed).ok().map(|()| Seed(seed))
    })
}

fn parse_services(node: &Node<'_>) -> Option<Vec<Arc<Service>>> {
    let nodes = node.non_empty_items()?;
    if nodes.len() > usize::from(u16::MAX) {
        let max = u16::MAX.to_string();
        let found = format!("{} services", nodes.len());
        return node.fail(Fault::OutOfRange { found, min: "1".into(), max });
    }
    check::record_duplicates(&nodes);
    collect_all(nodes.iter().map(|node| parse_service(node).map(Arc::new)))
}

fn parse_service(node: &Node<'_>) -> Option<Service> {
    let fields = node.fields(SERVICE_FIELDS)?;
    let name = fields.required("name").and_then(|node| node.name());
    let address = fields.required("address").and_then(|node| parse_unicast(&node));
    let ports = fields.required("ports").and_then(|node| parse_ports(&node));
    let targets = fields.required("targets").and_then(|node| parse_targets(&node));
    let count = targets.as_ref().map_or(0, Vec::len);
    let buckets = match fields.optional("buckets") {
        Some(node) => parse_buckets(&node, count),
        None => default_buckets(node, count),
    };
    let keepalive = fields.parse_or("keepalive", DEFAULT_KEEPALIVE, |node| {
        node.duration(Millis::secs(1)..=Millis::secs(3600))
    });
    let refusal = fields.parse_optional("refusal", parse_refusal);
    let balance = fields.parse_or("balance", DEFAULT_BALANCE, |node| node.integer_as(0..=100));
    Some(Service {
        name: ServiceName::new(name?),
        address: address?,
        ports: ports?,
        buckets: buckets?,
        keepalive: keepalive?,
        refusal: refusal?,
        balance: balance?,
        targets: targets?,
    })
}

fn parse_unicast(node: &Node<'_>) -> Option<Ipv4Addr> {
    node.parse_with("an IPv4 address of one host, such as 10.70.0.1", |text| {
        text.parse().ok().filter(is_unicast)
    })
}

fn is_unicast(address: &Ipv4Addr) -> bool {
    !address.is_unspecified() && !address.is_multicast() && !address.is_broadcast()
}

fn min_buckets(targets: usize) -> u64 {
    (targets as u64).saturating_mul(MIN_BUCKETS_PER_TARGET).next_power_of_two()
}

fn parse_buckets(node: &Node<'_>, targets: usize) -> Option<u16> {
    let found = node.integer(MIN_BUCKETS_PER_TARGET..=MAX_BUCKETS)?;
    if !found.is_power_of_two() {
        return node.fail(Fault::NotPowerOfTwo { found });
    }
    check_buckets(node, found, targets)
}

fn default_buckets(service: &Node<'_>, targets: usize) -> Option<u16> {
    check_buckets(service, u64::from(DEFAULT_BUCKETS), targets)
}

fn check_buckets(node: &Node<'_>, found: u64, targets: usize) -> Option<u16> {
    let min = min_buckets(targets);
    if found < min {
        return node.fail(Fault::TooFewBuckets { found, targets, min });
    }
    u16::try_from(found).ok()
}

fn parse_refusal(node: &Node<'_>) -> Option<Arc<str>> {
    let text = node.text()?;
    if text.is_empty() || text.len() > MAX_REFUSAL {
        let found = format!("{} bytes", text.len());
        let max = format!("{MAX_REFUSAL} bytes");
        return node.fail(Fault::OutOfRange { found, min: "1 byte".into(), max });
    }
    Some(text.into())
}

fn parse_ports(node: &Node<'_>) -> Option<Vec<Port>> {
    let nodes = node.non_empty_items()?;
    collect_all(nodes.iter().map(parse_port))
}

fn parse_port(node: &Node<'_>) -> Option<Port> {
    let fields = node.fields(PORT_FIELDS)?;
    let number = fields.required("number").and_then(|node| node.integer_as(1..=65535));
    let protocol = fields
        .parse_or("protocol", Protocol::Tcp, |node| node.parse_with("tcp or udp", parse_protocol));
    let class = fields
        .required("class")
        .and_then(|node| node.parse_with("feed, request or upload", parse_class));
    Some(Port { number: number?, protocol: protocol?, class: class? })
}

pub(super) fn parse_protocol(text: &str) -> Option<Protocol> {
    match text {
        "tcp" => Some(Protocol::Tcp),
        "udp" => Some(Protocol::Udp),
        _ => None,
    }
}

fn parse_class(text: &str) -> Option<Class> {
    match text {
        "feed" => Some(Class::Feed),
        "request" => Some(Class::Request),
        "upload" => Some(Class::Upload),
        _ => None,
    }
}

fn parse_targets(node: &Node<'_>) -> Option<Vec<Target>> {
    let nodes = node.non_empty_items()?;
    collect_all(nodes.iter().map(parse_target))
}

fn parse_target(node: &Node<'_>) -> Option<Target> {
    let fields = node.fields(TARGET_FIELDS)?;
    let name = fields.required("name").and_then(|node| node.name());
    let address = fields.required("address").and_then(|node| parse_socket(&node));
    let domain = fields.required("domain").and_then(|node| node.name());
    let weight = fields.parse_or("weight", DEFAULT_WEIGHT, |node| node.integer_as(1..=1000));
    let slots = fields.parse_or("slots", DEFAULT_SLOTS, |node| node.integer_as(1..=65535));
    let connections =
        fields.parse_or("connections", DEFAULT_CONNECTIONS, |node| node.integer_as(1..=10_000_000));
    let state = fields.parse_or("state", TargetState::Active, |node| {
        node.parse_with("active or leaving", parse_state)
    });
    let probe = fields.parse_optional("probe", parse_socket);
    Some(Target {
        name: TargetName::new(name?),
        address: address?,
        domain: DomainName::new(domain?),
        weight: weight?,
        slots: slots?,
        connections: connections?,
        state: state?,
        probe: probe?,
    })
}

pub(super) fn parse_socket(node: &Node<'_>) -> Option<SocketAddrV4> {
    node.parse_with("an IPv4 address and port, such as 10.1.0.1:6080", |text| {
        let address: SocketAddrV4 = text.parse().ok()?;
        (is_unicast(address.ip()) && address.port() != 0).then_some(address)
    })
}

fn parse_state(text: &str) -> Option<TargetState> {
    match text {
        "active" => Some(TargetState::Active),
        "leaving" => Some(TargetState::Leaving),
        _ => None,
    }
}

/// Returns all values, or `None` if any is missing. Visits all of them in
/// either case, so that the faults of all are recorded.
fn collect_all<T>(values: impl Iterator<Item = Option<T>>) -> Option<Vec<T>> {
    let values: Vec<Option<T>> = values.collect();
    values.into_iter().collect()
}
