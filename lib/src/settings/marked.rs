//! Settings of an instance whose fabric returns marks.

use super::parse::{check_distinct, parse_log_form, parse_peers, parse_remote, parse_socket};
use crate::{
    document::{self, Fault, Lines, Node, Report},
    ids::{DomainName, InstanceName, RegionName},
    settings::LogForm,
    time::Millis,
};
use std::net::SocketAddrV4;

/// Maximum length of the settings in bytes, far more than real settings need.
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
    "capabilities",
    "grace",
    "log",
];
const REGION_FIELDS: &[&str] = &["domain", "region"];
/// Value of `agreement` in these settings.
const MARKS: &str = "marks";
/// Default grace period, the same as that of the users' platform.
const DEFAULT_GRACE: Millis = Millis::secs(6);

value! {
    /// Checked settings of an instance whose fabric returns marks.
    pub struct MarkedSettings {
        /// Name of the instance, unique at the site.
        pub name: InstanceName,
        /// Failure domain of the instance.
        pub domain: DomainName,
        /// UDP address at which it receives callers' packets.
        pub packets: SocketAddrV4,
        /// HTTP address at which it reports whether it is ready.
        pub ready: SocketAddrV4,
        /// HTTP address at which it serves metrics. Without one it serves none.
        pub metrics: Option<SocketAddrV4>,
        /// Port to which callers send packets. Defaults to the port of
        /// `packets`.
        pub callers: u16,
        /// HTTP address of the store from which config and targets are read.
        pub store: SocketAddrV4,
        /// UDP and TCP address for communication with other instances. Without
        /// one the instance reads everything from the store itself.
        pub control: Option<SocketAddrV4>,
        /// Control addresses of some instances, through which the others are
        /// found.
        pub peers: Vec<SocketAddrV4>,
        /// Regions of the failure domains, as far as they are known.
        pub regions: Vec<DomainRegion>,
        /// Optional decisions that are on.
        pub capabilities: Capabilities,
        /// Time between the request to leave and the kill of the instance.
        pub grace: Millis,
        /// Form of log lines.
        pub log: LogForm,
    }
}

value! {
    /// Optional decisions of an instance, each on if the list `capabilities` names it.
    #[derive(Default, Copy)]
    pub struct Capabilities {
        /// `health`: targets that fail more than others of their service get no new flows.
        pub health: bool,
        /// `pressure`: flows that exceed what targets take wait or are refused by priority.
        pub pressure: bool,
    }
}

value! {
    /// Region of a failure domain.
    pub struct DomainRegion {
        /// The failure domain.
        pub domain: DomainName,
        /// Its region.
        pub region: RegionName,
    }
}

impl MarkedSettings {
    /// Returns whether a text holds settings of this kind, rather than those of
    /// an instance whose fabric doesn't return marks.
    pub fn is_declared_in(text: &str) -> bool {
        let line = text.lines().find_map(|line| line.strip_prefix("agreement:"));
        line.is_some_and(|value| value.trim().trim_matches(['"', '\'']) == MARKS)
    }

    /// Parses and checks the text of the settings.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text, each with its line and advice.
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
    let capabilities = fields.parse_or("capabilities", Capabilities::default(), parse_capabilities);
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
        capabilities: capabilities?,
        grace: grace?,
        log: log?,
    })
}

/// Reads the list of capabilities. Platforms may name more than this program knows; those have no
/// effect.
fn parse_capabilities(node: &Node<'_>) -> Option<Capabilities> {
    let mut capabilities = Capabilities::default();
    for item in node.items()? {
        match item.text()? {
            "health" => capabilities.health = true,
            "pressure" => capabilities.pressure = true,
            _ => {}
        }
    }
    Some(capabilities)
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
