//! Scenes: loads over time, faults of targets, and the policies that are compared.

use super::site::Site;
use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_load::{Gate, Opening, Verdict, random::Random};
use std::{net::Ipv4Addr, ops::Range};

/// Rules by which openings are placed and admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// All decisions of this crate.
    Gate,
    /// Placement by this crate's weights; everything is admitted.
    NoAdmission,
    /// Each instance uses the targets in turn; everything is admitted.
    RoundRobin,
    /// A hash selects the target; everything is admitted.
    HashOnly,
    /// Each instance admits up to the whole capacity of a target.
    NoShares,
}

impl Policy {
    pub const ALL: [Policy; 5] =
        [Policy::Gate, Policy::NoAdmission, Policy::RoundRobin, Policy::HashOnly, Policy::NoShares];

    pub fn name(self) -> &'static str {
        match self {
            Policy::Gate => "medlarspur",
            Policy::NoAdmission => "no admission",
            Policy::RoundRobin => "round robin",
            Policy::HashOnly => "hash only",
            Policy::NoShares => "limits without shares",
        }
    }

    /// Asks the gate, or admits everything.
    pub fn admits(self, gate: &mut Gate, now: Millis, opening: &Opening) -> Verdict {
        match self {
            Policy::Gate | Policy::NoShares => gate.open(now, opening),
            Policy::NoAdmission | Policy::RoundRobin | Policy::HashOnly => Verdict::Admit,
        }
    }
}

/// A fault of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Works at this percentage of its speed.
    Slow(u8),
    /// Resets half of the openings.
    Shed,
    /// Its endpoint always reports idle.
    SaysIdle,
    /// Its endpoint always reports full.
    SaysFull,
    /// Its endpoint does not answer.
    SaysNothing,
}

/// Callers of one class.
#[derive(Debug, Clone)]
pub struct Load {
    pub class: Class,
    /// Openings a second outside and inside the loaded time.
    pub rates: (f64, f64),
    pub loaded: Range<u64>,
    /// Mean duration of the work in milliseconds.
    pub mean: f64,
    /// Number of callers, from the first address on.
    pub callers: u32,
    pub first_address: Ipv4Addr,
}

impl Load {
    pub fn rate(&self, now: u64) -> f64 {
        if self.loaded.contains(&now) { self.rates.1 } else { self.rates.0 }
    }

    /// Returns a random caller. Callers are spread over as many networks.
    pub fn caller(&self, random: &mut Random) -> Ipv4Addr {
        let ix = (random.draw() % u64::from(self.callers)) as u32;
        Ipv4Addr::from(u32::from(self.first_address) + ix * 251)
    }
}

/// A load pattern at a site, with faults.
#[derive(Debug, Clone)]
pub struct Scene {
    pub name: &'static str,
    pub site: Site,
    pub loads: Vec<Load>,
    pub faults: Vec<(Range<usize>, Fault)>,
    /// Time of the load or fault, in milliseconds.
    pub loaded: Range<u64>,
    pub end: u64,
    /// Whether each packet goes to any instance, or all packets of a flow to one.
    pub spray: bool,
    /// Whether reports and tables reach the instances late.
    pub stale: bool,
    pub seed: u64,
}

impl Scene {
    /// Returns whether the service has a request port.
    pub fn has_requests(&self) -> bool {
        self.loads.iter().any(|l| l.class == Class::Request)
    }

    /// Returns the time after which a caller gives up, in milliseconds.
    pub fn patience(&self, class: Class) -> u64 {
        match class {
            Class::Request | Class::Feed => 10_000,
            Class::Upload => 30_000,
        }
    }

    pub fn fault(&self, now: u64, target: usize) -> Option<Fault> {
        if !self.loaded.contains(&now) {
            return None;
        }
        self.faults.iter().find(|(targets, _)| targets.contains(&target)).map(|(_, fault)| *fault)
    }

    pub fn speed(&self, now: u64, target: usize) -> f64 {
        match self.fault(now, target) {
            Some(Fault::Slow(percent)) => f64::from(percent) / 100.0,
            _ => 1.0,
        }
    }

    /// Returns the slot-milliseconds of the targets while loaded.
    pub fn capacity(&self) -> f64 {
        let span = (self.loaded.end - self.loaded.start) as f64;
        self.site.hosts as f64 * f64::from(self.site.slots) * span
    }
}
