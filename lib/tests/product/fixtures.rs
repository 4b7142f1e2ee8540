//! Texts and keys for the tests.

use medlarspur_lib::{
    bundle::{SecretKey, TrustedKeys},
    ids::SiteName,
};

/// Returns a small bundle without faults.
pub fn bundle_text() -> String {
    "\
version: 7
site: sofia
seed: 00112233445566778899aabbccddeeff
services:
  - name: alertdesk
    address: 10.70.0.1
    ports:
      - {number: 7001, class: feed}
      - {number: 7002, protocol: udp, class: request}
    targets:
      - name: alert-1
        address: 10.1.0.1:6080
        domain: lozenets
        probe: 10.1.0.1:8080
      - name: alert-2
        address: 10.1.0.2:6080
        domain: druzhba
        weight: 50
        state: leaving
  - name: ingest
    address: 10.70.0.2
    ports: [{number: 7001, class: upload}]
    buckets: 64
    keepalive: 2m
    refusal: \"busy {seconds}\"
    balance: 80
    targets: [{name: in-1, address: 10.1.0.3:6080, domain: obelya, slots: 3, connections: 10}]
"
    .to_owned()
}

/// Returns settings of an instance without faults.
pub fn settings_text() -> String {
    format!(
        "\
site: sofia
name: entry-1
domain: lozenets
packets: 127.0.0.1:0
questions: 127.0.0.1:0
control: 127.0.0.1:0
operator: 127.0.0.1:0
fabric: 127.0.0.1:4000
platform: 127.0.0.1:4001
keys: [{}]
secret: {}
",
        key(1).public(),
        "ab".repeat(32)
    )
}

/// Returns key pair number `seed`.
pub fn key(seed: u8) -> SecretKey {
    hex_of(seed).parse().expect("any 32 bytes are a secret key")
}

/// Returns a set that trusts only key pair number 1.
pub fn keys() -> TrustedKeys {
    TrustedKeys::new(vec![key(1).public()])
}

/// Returns the site of [`bundle_text`].
pub fn site() -> SiteName {
    SiteName::new("sofia")
}

fn hex_of(seed: u8) -> String {
    format!("{seed:02x}").repeat(32)
}
