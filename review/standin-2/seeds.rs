//! Instances start while all seeds are stale; the settings files then name live seeds, without a
//! signal. Later the hosts of a failure domain come back cold. Judges FAILBACK.

use crate::{
    Verdict,
    caller::Outcome,
    host::Host,
    site::{Plan, Route, Site, config, store_address, virtual_address},
};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
};

/// `coldPerS`, `coldStartS`, `coldOverrun` and `coldSlack`.
const RATE: f64 = 10.0;
const COLD_MS: u64 = 2_000;
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Instances in each failure domain.
const PER_ZONE: usize = 6;
/// Hosts in each failure domain.
const HOSTS: usize = 4;
/// The hosts are down for less than the 5.8 s of the pages.
const DOWN_MS: u64 = 4_500;
/// Work of a request, as that of `alert-ack` (39 ms).
const WORK_MS: u64 = 39;
const PORT: u16 = 443;

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let route = Route {
        port: PORT,
        kind: "non_idempotent",
        service: "alertdesk",
        budget_ms: 2_000,
        objective_ms: 200,
    };
    // Machines that are gone. Nothing listens at these addresses.
    let stale = |_: &[Ipv4Addr], port: u16| -> Vec<SocketAddrV4> {
        (1..=3).map(|last| SocketAddrV4::new(Ipv4Addr::new(127, 10, 9, last), port)).collect()
    };
    let live = |ips: &[Ipv4Addr], port: u16| -> Vec<SocketAddrV4> {
        ips.iter().take(3).map(|ip| SocketAddrV4::new(*ip, port)).collect()
    };
    let plan = Plan {
        zones: &["lozenets", "druzhba"],
        per_zone: PER_ZONE,
        config: config(7, &[route], &["alertdesk"], COLD_MS as f64 / 1_000.0, RATE),
        services: &[("alertdesk", HOSTS, 2, WORK_MS)],
        budget_ms: 2_000,
        seeds: if has_trouble { &stale } else { &live },
    };
    let Some((mut site, hosts)) = Site::start(folder, &plan) else { return Verdict::NotRun };
    let record = site.record.clone();
    let begin = record.now();
    if has_trouble {
        site.sleep_until(begin + 3_000);
        let seeds = site.fleet.control_addresses();
        site.fleet.change_settings(store_address(site.store_port), &seeds[..3]);
        record.say("all settings files name live seeds, without a signal");
    }
    site.sleep_until(begin + 20_000);
    let until = begin + 42_000;
    for zone in 0..2 {
        site.send_load(zone, virtual_address(PORT), 150, until);
    }
    site.sleep_until(begin + 23_000);
    let gone: Vec<_> = hosts.iter().filter(|it| it.spec.zone == "lozenets").collect();
    record.say("the hosts of lozenets go down");
    gone.iter().for_each(|it| it.crash());
    site.sleep_until(begin + 23_000 + 2_310);
    gone.iter().for_each(|it| it.remove_entry());
    site.sleep_until(begin + 23_000 + DOWN_MS);
    record.say("they come back together, cold");
    let cold: Vec<_> =
        (0..HOSTS).map(|_| site.start_host("alertdesk", "lozenets", 2, WORK_MS, COLD_MS)).collect();
    site.sleep_until(until + 2_500);
    let all_run = site.all_run();
    let tries: Vec<_> = site.callers.iter().flat_map(|it| it.tries()).collect();
    let is_early = |at: u64| at < begin + 23_000;
    let served = tries
        .iter()
        .filter(|it| is_early(it.opened_at) && matches!(it.outcome, Outcome::Served(_)))
        .count();
    record.say(&format!("{served} requests were served before the hosts went down"));
    if served < 500 || !all_run {
        return Verdict::NotRun;
    }
    let limit = RATE * OVERRUN + SLACK;
    let hosts: Vec<(&Host, u64)> = cold.iter().map(|it| (it, it.started)).collect();
    let most = site.most_while_cold(&hosts, COLD_MS, limit);
    match most as f64 > limit {
        true => Verdict::Broken,
        false => Verdict::Kept,
    }
}
