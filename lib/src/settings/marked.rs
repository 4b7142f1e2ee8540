//! The settings of an instance whose fabric returns marks.

use super::parse::{check_distinct, parse_log_form, parse_peers, parse_remote, parse_socket};
use crate::{
    document::{self, Fault, Lines, Node, Report},
    ids::{DomainName, InstanceName, RegionName},
    settings::LogForm,
    time::Millis,
};
use std::net::SocketAddrV4;

/// The greatest length of the settings in bytes; far above any real ones.
const MAX_SETTINGS_SIZE: usize = 1 << 16;
const FIELDS: &[&str] = &[
    "agreement",
    "name",
    "domain",
    "packets",
    "ready",
    "metrics",
    "callers",
    "store",
    "control",
    "peers",
    "regions",
    "grace",
    "log",
];
const REGION_FIELDS: &[&str] = &["domain", "region"];
/// The value of `agreement` that these settings have.
const MARKS: &str = "marks";
/// How long an instance that was told to leave is let live if the settings
/// don't say; that of the users' platform.
const DEFAULT_GRACE: Millis = Millis::secs(6);

value! {
    /// The checked settings of an instance whose fabric returns marks.
    pub struct MarkedSettings {
        /// Its name, unique at the site.
        pub name: InstanceName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Where it takes callers' packets, by UDP.
        pub packets: SocketAddrV4,
        /// Where it says whether it is ready, by HTTP.
        pub ready: SocketAddrV4,
        /// Where it serves metrics, by HTTP; not at all without.
        pub metrics: Option<SocketAddrV4>,
        /// The port at which callers take packets; that of `packets` without.
        pub callers: u16,
        /// Where the store is that config and targets are read from, by HTTP.
        pub store: SocketAddrV4,
        /// Where it talks to other instances, by UDP and TCP; it reads all by
        /// itself without.
        pub control: Option<SocketAddrV4>,
        /// Control addresses of some instances, by which to find the others.
        pub peers: Vec<SocketAddrV4>,
        /// The region of each failure domain, as far as it is known.
        pub regions: Vec<DomainRegion>,
        /// How long after it was told to leave it is killed.
        pub grace: Millis,
        /// The form of log lines.
        pub log: LogForm,
    }
}

value! {
    /// Where a failure domain is.
    pub struct DomainRegion {
        /// The failure domain.
        pub domain: DomainName,
        /// Its region.
        pub region: RegionName,
    }
}

impl MarkedSettings {
    /// Whether a text holds settings of this kind, and not those of an instance
    /// whose fabric returns nothing.
    pub fn is_declared_in(text: &str) -> bool {
        let line = text.lines().find_map(|line| line.strip_prefix("agreement:"));
        line.is_some_and(|value| value.trim().trim_matches(['"', '\'']) == MARKS)
    }

    /// Reads and checks the text of settings.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text, each with its line and what to do.
    pub fn parse(text: &str) -> Result<MarkedSettings, Report> {
        document::read(text, MAX_SETTINGS_SIZE, Lines::Find, parse_settings)
    }
}

fn parse_settings(top: &Node<'_>) -> Option<MarkedSettings> {
    let fields = top.fields(FIELDS)?;
    let agreement = fields.required("agreement");
    let agreement =
        agreement.and_then(|node| node.parse_with("marks", |text| (text == MARKS).then_some(())));
    let name = |field| fields.required(field).and_then(|node| node.name());
    let (instance, domain) = (name("name"), name("domain"));
    let listen = |field| fields.required(field).and_then(|node| parse_socket(&node));
    let (packets, ready) = (listen("packets"), listen("ready"));
    let metrics = fields.parse_optional("metrics", parse_socket);
    check_distinct(&fields, "metrics", ready, metrics.flatten(), "ready");
    let callers = fields.parse_optional("callers", |node| node.integer_as(1..=65_535));
    let store = fields.required("store").and_then(|node| parse_remote(&node));
    let control = fields.parse_optional("control", parse_socket);
    let peers = fields.parse_or("peers", Vec::new(), parse_peers);
    let regions = fields.parse_or("regions", Vec::new(), parse_regions);
    let grace = fields
        .parse_or("grace", DEFAULT_GRACE, |node| node.duration(Millis(100)..=Millis::secs(600)));
    let log = fields
        .parse_or("log", LogForm::Text, |node| node.parse_with("text or json", parse_log_form));
    agreement?;
    Some(MarkedSettings {
        name: InstanceName::new(instance?),
        domain: DomainName::new(domain?),
        packets: packets?,
        ready: ready?,
        metrics: metrics?,
        callers: callers?.unwrap_or(packets?.port()),
        store: store?,
        control: control?,
        peers: peers?,
        regions: regions?,
        grace: grace?,
        log: log?,
    })
}

fn parse_regions(node: &Node<'_>) -> Option<Vec<DomainRegion>> {
    let mut known = Vec::<DomainRegion>::new();
    for item in node.items()? {
        let fields = item.fields(REGION_FIELDS)?;
        let domain = fields.required("domain")?;
        let (name, region) = (domain.name(), fields.required("region")?.name());
        let (name, region) = (DomainName::new(name?), RegionName::new(region?));
        if known.iter().any(|it| it.domain == name) {
            let other = document::Path::default().field("regions");
            let found = name.to_string();
            return domain.fail(Fault::Duplicate { what: "the failure domain", found, other });
        }
        known.push(DomainRegion { domain: name, region });
    }
    Some(known)
}
