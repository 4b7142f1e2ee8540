//! All instances are killed just before the evacuation of a failure domain is taken back, and
//! start again just after. The domain's hosts are cold then. Judges FAILBACK.

use crate::{
    Verdict,
    caller::Outcome,
    host::Host,
    site::{Plan, Route, Site, config, virtual_address},
};
use std::{net::SocketAddrV4, path::Path};

/// `coldPerS`, `coldStartS`, `coldOverrun` and `coldSlack`.
const RATE: f64 = 10.0;
const COLD_MS: u64 = 2_000;
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Duration of the evacuation, less than the pages' 11.7 s.
const EVACUATION_MS: u64 = 10_000;
/// Delay after which killed processes are started again.
const RESTART_MS: u64 = 1_000;
/// Time from the end of the evacuation to the start of the processes.
const LATE_MS: u64 = 50;
const PORT: u16 = 443;

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let route = Route {
        port: PORT,
        kind: "non_idempotent",
        service: "alertdesk",
        budget_ms: 2_000,
        objective_ms: 200,
    };
    let plan = Plan {
        zones: &["lozenets", "druzhba"],
        per_zone: 3,
        config: config(7, &[route], &["alertdesk"], COLD_MS as f64 / 1_000.0, RATE),
        services: &[("alertdesk", 4, 2, 20)],
        budget_ms: 2_000,
        seeds: &|ips, port| ips.iter().take(3).map(|ip| SocketAddrV4::new(*ip, port)).collect(),
    };
    let Some((site, hosts)) = Site::start(folder, &plan) else { return Verdict::NotRun };
    let record = site.record.clone();
    let begin = record.now();
    let ended_at = begin + 10_000 + EVACUATION_MS;
    let until = ended_at + 8_000;
    for zone in 0..2 {
        site.send_load(zone, virtual_address(PORT), 150, until);
    }
    site.sleep_until(begin + 10_000);
    site.store.put("op/evacuate/lozenets", "{}");
    record.say("the evacuation of lozenets is acknowledged");
    if has_trouble {
        site.sleep_until(ended_at + LATE_MS - RESTART_MS);
        site.fleet.kill_all();
    }
    site.sleep_until(ended_at);
    site.store.delete("op/evacuate/lozenets");
    let cold: Vec<&Host> = hosts.iter().filter(|it| it.spec.zone == "lozenets").collect();
    cold.iter().for_each(|it| it.turn_cold(ended_at + COLD_MS));
    record.say("it is taken back; the hosts of lozenets are cold");
    if has_trouble {
        site.sleep_until(ended_at + LATE_MS);
        site.fleet.restart_all();
    }
    site.sleep_until(until + 2_500);
    let tries: Vec<_> = site.callers.iter().flat_map(|it| it.tries()).collect();
    let served = tries
        .iter()
        .filter(|it| it.opened_at < begin + 9_000 && matches!(it.outcome, Outcome::Served(_)))
        .count();
    record.say(&format!("{served} requests were served before the evacuation"));
    if served < 500 || !site.all_run() {
        return Verdict::NotRun;
    }
    let limit = RATE * OVERRUN + SLACK;
    let cold: Vec<(&Host, u64)> = cold.into_iter().map(|it| (it, ended_at)).collect();
    match site.most_while_cold(&cold, COLD_MS, limit) as f64 > limit {
        true => Verdict::Broken,
        false => Verdict::Kept,
    }
}
