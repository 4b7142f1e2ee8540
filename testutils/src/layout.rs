//! Writes the bundle of a test site.

use medlarspur_lib::bundle::{self, Class, SecretKey, TargetState};
use std::{
    fmt::Write,
    net::{Ipv4Addr, SocketAddrV4},
};

/// Content of a site's bundle.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Name of the site.
    pub site: String,
    /// Version of the bundle.
    pub version: u64,
    /// The services.
    pub services: Vec<ServiceLayout>,
}

/// A service of a [`Layout`].
#[derive(Debug, Clone)]
pub struct ServiceLayout {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: Ipv4Addr,
    /// Its TCP ports.
    pub ports: Vec<(u16, Class)>,
    /// Maximum silence of a healthy flow in seconds.
    pub keepalive: u64,
    /// Answer to refused callers; `None` for a reset.
    pub refusal: Option<String>,
    /// Its targets.
    pub targets: Vec<TargetLayout>,
}

/// A target of a [`Layout`].
#[derive(Debug, Clone)]
pub struct TargetLayout {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Address for packets from instances.
    pub address: SocketAddrV4,
    /// Address of its health and load endpoints.
    pub probe: Option<SocketAddrV4>,
    /// Whether it takes new flows.
    pub state: TargetState,
}

impl Layout {
    /// Returns the bundle's text without a signature.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing into a string can't fail.
        let _ = self.write(&mut text);
        text
    }

    /// Returns the bundle's text, signed with `key`.
    pub fn signed(&self, key: &SecretKey) -> String {
        bundle::sign(&self.text(), key)
    }

    /// Sets the state of a target and increments the version.
    pub fn set_state(&mut self, target: &str, state: TargetState) {
        let targets = self.services.iter_mut().flat_map(|service| &mut service.targets);
        targets.filter(|other| other.name == target).for_each(|other| other.state = state);
        self.version += 1;
    }

    fn write(&self, text: &mut String) -> std::fmt::Result {
        writeln!(text, "version: {}\nsite: {}", self.version, self.site)?;
        writeln!(text, "seed: 00112233445566778899aabbccddeeff\nservices:")?;
        self.services.iter().try_for_each(|service| service.write(text))
    }
}

impl ServiceLayout {
    fn write(&self, text: &mut String) -> std::fmt::Result {
        writeln!(text, "  - name: {}\n    address: {}", self.name, self.address)?;
        writeln!(text, "    keepalive: {}s", self.keepalive)?;
        if let Some(refusal) = &self.refusal {
            writeln!(text, "    refusal: {refusal:?}")?;
        }
        writeln!(text, "    ports:")?;
        for (number, class) in &self.ports {
            let class = format!("{class:?}").to_lowercase();
            writeln!(text, "      - {{number: {number}, protocol: tcp, class: {class}}}")?;
        }
        writeln!(text, "    targets:")?;
        self.targets.iter().try_for_each(|target| target.write(text))
    }
}

impl TargetLayout {
    fn write(&self, text: &mut String) -> std::fmt::Result {
        let state = format!("{:?}", self.state).to_lowercase();
        writeln!(text, "      - name: {}\n        address: {}", self.name, self.address)?;
        writeln!(text, "        domain: {}\n        state: {state}", self.domain)?;
        self.probe.map_or(Ok(()), |probe| writeln!(text, "        probe: {probe}"))
    }
}
