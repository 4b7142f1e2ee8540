//! Parsing and checking of the settings' YAML text.

use super::{LogForm, Secret, Settings, Tls};
use crate::{
    bundle::{PublicKey, TrustedKeys},
    document::{self, Fault, Fields, Lines, Node, Report},
    ids::{DomainName, InstanceName, SiteName},
};
use std::{net::SocketAddrV4, path::PathBuf};

/// Maximum length of the settings in bytes, far more than real settings need.
const MAX_SETTINGS_SIZE: usize = 1 << 16;

const FIELDS: &[&str] = &[
    "site",
    "name",
    "domain",
    "packets",
    "questions",
    "control",
    "operator",
    "fabric",
    "platform",
    "keys",
    "peers",
    "secret",
    "tls",
    "log",
];
const TLS_FIELDS: &[&str] = &["ca", "certificate", "key"];

impl Settings {
    /// Parses and checks the text of the settings.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text, each with its line and advice.
    pub fn parse(text: &str) -> Result<Settings, Report> {
        document::read(text, MAX_SETTINGS_SIZE, Lines::Find, parse_settings)
    }
}

fn parse_settings(top: &Node<'_>) -> Option<Settings> {
    let fields = top.fields(FIELDS)?;
    let name = |field| fields.required(field).and_then(|node| node.name());
    let (site, instance, domain) = (name("site"), name("name"), name("domain"));
    let listen = |field| fields.required(field).and_then(|node| parse_socket(&node));
    let (packets, questions) = (listen("packets"), listen("questions"));
    let (control, operator) = (listen("control"), listen("operator"));
    check_distinct(&fields, "questions", packets, questions, "packets");
    check_distinct(&fields, "operator", control, operator, "control");
    let remote = |field| fields.required(field).and_then(|node| parse_remote(&node));
    let (fabric, platform) = (remote("fabric"), remote("platform"));
    let keys = fields.required("keys").and_then(|node| parse_keys(&node));
    let peers = fields.parse_or("peers", Vec::new(), parse_peers);
    let secret = fields.required("secret").and_then(|node| parse_secret(&node));
    let tls = fields.parse_optional("tls", parse_tls);
    let log = fields
        .parse_or("log", LogForm::Text, |node| node.parse_with("text or json", parse_log_form));
    Some(Settings {
        site: SiteName::new(site?),
        name: InstanceName::new(instance?),
        domain: DomainName::new(domain?),
        packets: packets?,
        questions: questions?,
        control: control?,
        operator: operator?,
        fabric: fabric?,
        platform: platform?,
        keys: keys?,
        peers: peers?,
        secret: secret?,
        tls: tls?,
        log: log?,
    })
}

/// Records a fault if two listeners of the same protocol have the same address.
/// Otherwise the daemon would start and fail only when it binds the second one.
pub(super) fn check_distinct(
    fields: &Fields<'_>,
    name: &str,
    first: Option<SocketAddrV4>,
    second: Option<SocketAddrV4>,
    other: &str,
) {
    let (Some(first), Some(second)) = (first, second) else { return };
    if first != second || first.port() == 0 {
        return;
    }
    if let Some(node) = fields.optional(name) {
        let other = document::Path::default().field(other);
        let found = second.to_string();
        node.fail::<()>(Fault::Duplicate { what: "the address", found, other });
    }
}

pub(super) fn parse_socket(node: &Node<'_>) -> Option<SocketAddrV4> {
    node.parse("an IPv4 address and port, such as 10.0.0.1:6080")
}

pub(super) fn parse_remote(node: &Node<'_>) -> Option<SocketAddrV4> {
    node.parse_with("an IPv4 address and a port other than 0, such as 10.0.0.1:6080", |text| {
        let address: SocketAddrV4 = text.parse().ok()?;
        (!address.ip().is_unspecified() && address.port() != 0).then_some(address)
    })
}

fn parse_keys(node: &Node<'_>) -> Option<TrustedKeys> {
    let keys = node.non_empty_items()?.into_iter().map(|node| {
        node.parse::<PublicKey>("a public key, 64 hexadecimal digits from `medlarspur key new`")
    });
    let keys: Vec<Option<PublicKey>> = keys.collect();
    keys.into_iter().collect::<Option<_>>().map(TrustedKeys::new)
}

pub(super) fn parse_peers(node: &Node<'_>) -> Option<Vec<SocketAddrV4>> {
    let peers: Vec<Option<SocketAddrV4>> = node.items()?.iter().map(parse_remote).collect();
    peers.into_iter().collect()
}

fn parse_secret(node: &Node<'_>) -> Option<Secret> {
    node.parse_secret("64 hexadecimal digits", |text| {
        let mut secret = [0; 32];
        hex::decode_to_slice(text, &mut secret).ok().map(|()| Secret(secret))
    })
}

fn parse_tls(node: &Node<'_>) -> Option<Tls> {
    let fields = node.fields(TLS_FIELDS)?;
    let file = |field| fields.required(field).and_then(|node| parse_file(&node));
    let (ca, certificate, key) = (file("ca"), file("certificate"), file("key"));
    Some(Tls { ca: ca?, certificate: certificate?, key: key? })
}

fn parse_file(node: &Node<'_>) -> Option<PathBuf> {
    node.parse_with("the path of a file", |text| (!text.is_empty()).then(|| text.into()))
}

pub(super) fn parse_log_form(text: &str) -> Option<LogForm> {
    match text {
        "text" => Some(LogForm::Text),
        "json" => Some(LogForm::Json),
        _ => None,
    }
}
