//! The sizes of the two sites, and the planner's table.

use medlarspur_lib::{
    bundle::TargetState,
    ids::{ServiceName, TargetName},
};
use medlarspur_load::{ServiceSpec, TargetSpec};

/// One service of a site and its number of instances.
#[derive(Debug, Clone)]
pub struct Site {
    pub name: &'static str,
    pub hosts: usize,
    pub slots: u16,
    pub connections: u32,
    pub instances: u16,
    pub balance: u8,
}

pub fn alertdesk() -> Site {
    let balance = 30;
    Site { name: "alertdesk", hosts: 14, slots: 2, connections: 2000, instances: 8, balance }
}

pub fn ingest() -> Site {
    Site { name: "ingest", hosts: 4, ..alertdesk() }
}

pub fn ajanvaraus() -> Site {
    let balance = 70;
    Site { name: "ajanvaraus", hosts: 14, slots: 3, connections: 2000, instances: 7, balance }
}

pub fn todisteet() -> Site {
    Site { name: "todisteet", hosts: 4, ..ajanvaraus() }
}

impl Site {
    /// Returns the service as the gate receives it.
    pub fn service(&self, has_requests: bool) -> ServiceSpec {
        let target = |n| TargetSpec {
            name: TargetName::new(&format!("{}-{n}", self.name)),
            slots: self.slots,
            connections: self.connections,
            weight: 100,
            state: TargetState::Active,
        };
        ServiceSpec {
            name: ServiceName::new(self.name),
            has_requests,
            balance: self.balance,
            targets: (0..self.hosts).map(target).collect(),
        }
    }

    /// Returns the rate of work of `mean` milliseconds that fills all slots, per second.
    pub fn capacity(&self, mean: f64) -> f64 {
        self.hosts as f64 * f64::from(self.slots) * 1000.0 / mean
    }
}

/// Moves at most `moves` buckets from targets above their weight to targets below it.
pub fn rebalance(mut table: Vec<u16>, weights: &[u16], moves: usize) -> Vec<u16> {
    let total: f64 = weights.iter().map(|&w| f64::from(w)).sum();
    if total <= 0.0 {
        return table;
    }
    let size = table.len() as f64;
    let mut excess: Vec<f64> = weights.iter().map(|&w| -f64::from(w) * size / total).collect();
    for &target in &table {
        excess[usize::from(target)] += 1.0;
    }
    for _ in 0..moves {
        let most = (0..excess.len()).max_by(|&a, &b| excess[a].total_cmp(&excess[b])).unwrap_or(0);
        let least = (0..excess.len()).min_by(|&a, &b| excess[a].total_cmp(&excess[b])).unwrap_or(0);
        if excess[most] - excess[least] < 2.0 {
            break;
        }
        let Some(bucket) = table.iter_mut().find(|t| usize::from(**t) == most) else { break };
        *bucket = least as u16;
        excess[most] -= 1.0;
        excess[least] += 1.0;
    }
    table
}
