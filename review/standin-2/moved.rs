//! The store goes down and comes back at another address, and the settings files of the
//! instances are changed without a signal. Judges CONFIG and DRAIN.

use crate::{
    Verdict,
    caller::Outcome,
    site::{Plan, Route, Site, config, free_port, store_address, virtual_address},
};
use std::{net::SocketAddrV4, path::Path};

/// Bounds of the site, in milliseconds.
const CONFIG_APPLY_MS: u64 = 3_000;
const DRAIN_MS: u64 = 3_000;
/// The store is down for this long, less than the pages' 7.0 s.
const DOWN_MS: u64 = 5_000;
/// Time from the store's return to the judged changes, five times `stableMs` and more than
/// `maxStretchMs`.
const SETTLE_MS: u64 = 20_000;
const WATCH_MS: u64 = 18_000;

const KEPT: u16 = 443;
const DROPPED: u16 = 444;
const ADDED: u16 = 445;

fn route(port: u16) -> Route {
    let kind = "non_idempotent";
    Route { port, kind, service: "alertdesk", budget_ms: 2_000, objective_ms: 200 }
}

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let services = ["alertdesk"];
    let plan = Plan {
        zones: &["lozenets", "druzhba"],
        per_zone: 3,
        config: config(7, &[route(KEPT), route(DROPPED)], &services, 2.0, 0.0),
        services: &[("alertdesk", 4, 2, 39)],
        budget_ms: 2_000,
        seeds: &|ips, port| ips.iter().take(3).map(|ip| SocketAddrV4::new(*ip, port)).collect(),
    };
    let Some((mut site, hosts)) = Site::start(folder, &plan) else { return Verdict::NotRun };
    let record = site.record.clone();
    let begin = record.now();
    let changed_at = begin + 4_000 + DOWN_MS + SETTLE_MS;
    let until = changed_at + WATCH_MS;
    for zone in 0..2 {
        for port in [KEPT, DROPPED] {
            site.send_load(zone, virtual_address(port), 10, until);
        }
    }
    site.sleep_until(begin + 4_000);
    if has_trouble {
        record.say("the store goes down");
        site.service.take().unwrap().stop();
        site.sleep_until(begin + 4_000 + DOWN_MS);
        let address = store_address(free_port(7));
        site.service = Some(site.store.serve(address));
        let seeds: Vec<SocketAddrV4> = site.fleet.control_addresses();
        site.fleet.change_settings(address, &seeds[..3]);
        record.say(&format!(
            "the store is up at {address}, which all settings files name, without a signal"
        ));
    }
    site.sleep_until(changed_at);
    let is_written =
        site.store.put("op/config", &config(12, &[route(KEPT), route(ADDED)], &services, 2.0, 0.0));
    let config_at = record.now();
    record.say("config 12 is acknowledged: it adds route 445 and drops route 444");
    let leaving = [&hosts[0], &hosts[4]];
    let is_reported = leaving.iter().all(|it| it.drain());
    let drain_at = record.now();
    for host in leaving {
        record.say(&format!("the report that host {} is draining is acknowledged", host.spec.id));
    }
    if !is_written || !is_reported {
        record.say("the store did not take a write");
        return Verdict::NotRun;
    }
    for zone in 0..2 {
        site.send_load(zone, virtual_address(ADDED), 10, until);
    }
    site.sleep_until(until + 2_500);
    let all_run = site.all_run();
    let tries: Vec<_> = site.callers.iter().flat_map(|it| it.tries()).collect();
    let served_before =
        tries.iter().filter(|it| it.opened_at < begin + 4_000 && is_served(&it.outcome)).count();
    record.say(&format!("{served_before} requests were served before the store went down"));
    if served_before < 100 || !all_run {
        return Verdict::NotRun;
    }
    let late: Vec<_> =
        tries.iter().filter(|it| it.opened_at > config_at + CONFIG_APPLY_MS).collect();
    let count = |port: u16, is: &dyn Fn(&Outcome) -> bool| {
        late.iter().filter(|it| it.key.dport == port && is(&it.outcome)).count()
    };
    let dropped_run = count(DROPPED, &is_served);
    let added_refused = count(ADDED, &|it| matches!(it, Outcome::Refused | Outcome::Unopened));
    let (added_run, kept_run) = (count(ADDED, &is_served), count(KEPT, &is_served));
    let runs = site.runs.lock().unwrap().clone();
    let drained = runs
        .iter()
        .filter(|it| leaving.iter().any(|host| host.spec.id == it.host))
        .filter(|it| it.opened_at > drain_at + DRAIN_MS)
        .count();
    record.say(&format!(
        "sent later than {CONFIG_APPLY_MS} ms after the acknowledgement of config 12:\n  \
         route 443, kept: {kept_run} run\n  \
         route 444, dropped: {dropped_run} run (CONFIG allows 0)\n  \
         route 445, added: {added_run} run, {added_refused} refused or unanswered (CONFIG allows 0)\n\
         requests that reached a draining host later than {DRAIN_MS} ms after the \
         acknowledgement: {drained} (DRAIN allows 0)"
    ));
    match dropped_run + added_refused + drained {
        0 => Verdict::Kept,
        _ => Verdict::Broken,
    }
}

fn is_served(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Served(_))
}
