//! Checks across the services of a bundle.
//!
//! If two services shared an address and port, or a target, packets of one
//! could reach the other, and callers would get answers of the wrong kind. The
//! checks work on the document and not on parsed values, so that they also
//! cover services with other faults.

use super::parse;
use crate::{
    collections::Map,
    document::{Fault, Fields, Node, Path},
};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Records a fault for each value that must be unique among the services and is
/// not.
pub(super) fn record_duplicates(services: &[Node<'_>]) {
    let mut seen = Seen::default();
    for service in services {
        if let Some(fields) = service.peek_fields() {
            seen.add_service(&fields);
        }
    }
}

#[derive(Default)]
struct Seen {
    services: Unique<String>,
    listeners: Unique<(Ipv4Addr, u64, String)>,
    targets: Unique<String>,
    addresses: Unique<SocketAddrV4>,
}

impl Seen {
    fn add_service(&mut self, service: &Fields<'_>) {
        if let Some((node, name)) = peek_text(service, "name") {
            self.services.insert("the service name", name.to_owned(), name, &node);
        }
        let address = peek_text(service, "address").and_then(|(_, text)| text.parse().ok());
        for port in peek_items(service, "ports") {
            self.add_port(address, &port);
        }
        for target in peek_items(service, "targets") {
            self.add_target(&target);
        }
    }

    fn add_port(&mut self, address: Option<Ipv4Addr>, port: &Node<'_>) {
        let Some(fields) = port.peek_fields() else { return };
        let number = fields.optional("number").and_then(|node| node.peek_integer());
        let (Some(address), Some(number)) = (address, number) else { return };
        let protocol = peek_text(&fields, "protocol").map_or("tcp", |(_, text)| text);
        if parse::parse_protocol(protocol).is_none() {
            return;
        }
        let text = format!("{protocol} {address}:{number}");
        let listener = (address, number, protocol.to_owned());
        self.listeners.insert("the address and port", listener, &text, port);
    }

    fn add_target(&mut self, target: &Node<'_>) {
        let Some(fields) = target.peek_fields() else { return };
        if let Some((node, name)) = peek_text(&fields, "name") {
            self.targets.insert("the target name", name.to_owned(), name, &node);
        }
        let Some((node, text)) = peek_text(&fields, "address") else { return };
        if let Ok(address) = text.parse::<SocketAddrV4>() {
            self.addresses.insert("the target address", address, text, &node);
        }
    }
}

/// Path of the first use of each value.
struct Unique<K>(Map<K, Path>);

impl<K> Default for Unique<K> {
    fn default() -> Self {
        Unique(Map::default())
    }
}

impl<K: Eq + std::hash::Hash> Unique<K> {
    fn insert(&mut self, what: &'static str, key: K, text: &str, node: &Node<'_>) {
        if let Some(other) = self.0.get(&key) {
            let found = text.to_owned();
            node.fail::<()>(Fault::Duplicate { what, found, other: other.clone() });
            return;
        }
        self.0.insert(key, node.path().clone());
    }
}

fn peek_text<'d>(fields: &Fields<'d>, name: &str) -> Option<(Node<'d>, &'d str)> {
    let node = fields.optional(name)?;
    let text = node.peek_text()?;
    Some((node, text))
}

fn peek_items<'d>(fields: &Fields<'d>, name: &str) -> Vec<Node<'d>> {
    fields.optional(name).and_then(|node| node.peek_items()).unwrap_or_default()
}
