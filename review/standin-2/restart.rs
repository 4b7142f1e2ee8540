//! All instances are killed while the store is down. The store comes back at another address, the
//! settings files name it, and all instances get SIGHUP. Judges RECOVER.

use crate::{
    Verdict,
    caller::Outcome,
    site::{Plan, Route, Site, config, free_port, store_address, virtual_address},
};
use std::{net::SocketAddrV4, path::Path};

/// Bound of the site.
const RECOVERY_MS: u64 = 12_000;
/// The store is down for this long, less than the pages' 7.0 s.
const DOWN_MS: u64 = 5_000;
/// Delay after which killed processes are started again.
const RESTART_MS: u64 = 1_000;
/// Time for which requests are judged.
const WATCH_MS: u64 = 15_000;
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
        config: config(7, &[route], &["alertdesk"], 2.0, 0.0),
        services: &[("alertdesk", 4, 2, 39)],
        budget_ms: 2_000,
        seeds: &|ips, port| ips.iter().take(3).map(|ip| SocketAddrV4::new(*ip, port)).collect(),
    };
    let Some((mut site, _hosts)) = Site::start(folder, &plan) else { return Verdict::NotRun };
    let record = site.record.clone();
    let begin = record.now();
    let down_at = begin + 6_000;
    let back_at = down_at + DOWN_MS;
    let judged_at = back_at + RECOVERY_MS;
    let until = judged_at + WATCH_MS;
    for zone in 0..2 {
        site.send_load(zone, virtual_address(PORT), 20, until);
    }
    site.sleep_until(down_at);
    // MOVE=0 is no part of the case: the store comes back at its old address.
    let moves = std::env::var("MOVE").map_or(true, |it| it != "0");
    if has_trouble {
        record.say("the store goes down");
        site.service.take().unwrap().stop();
        site.sleep_until(down_at + 500);
        site.fleet.kill_all();
        site.sleep_until(down_at + 500 + RESTART_MS);
        site.fleet.restart_all();
        site.sleep_until(back_at);
        let address = store_address(if moves { free_port(7) } else { site.store_port });
        site.service = Some(site.store.serve(address));
        let seeds = site.fleet.control_addresses();
        site.fleet.change_settings(address, &seeds[..3]);
        record.say(&format!("the store is up at {address}, which all settings files name"));
        site.fleet.hang_up();
    }
    site.sleep_until(until + 2_500);
    if !site.all_run() {
        return Verdict::NotRun;
    }
    let tries: Vec<_> = site.callers.iter().flat_map(|it| it.tries()).collect();
    let share = |from: u64, to: u64| {
        let sent: Vec<_> =
            tries.iter().filter(|it| (from..to).contains(&it.opened_at)).collect();
        let served = sent.iter().filter(|it| matches!(it.outcome, Outcome::Served(_))).count();
        (served, sent.len())
    };
    let (served_before, before) = share(begin, down_at);
    let (served, sent) = share(judged_at, until);
    let ready = site.fleet.nodes.iter().filter(|it| it.is_in_rotation()).count();
    record.say(&format!(
        "before: {served_before} of {before} requests were served\n\
         sent later than {RECOVERY_MS} ms after the machines and the store were back: {served} of \
         {sent} were served (RECOVER allows no less than a quarter)\n\
         instances in rotation at the end: {ready} of {}",
        site.fleet.nodes.len()
    ));
    if served_before * 4 < before || sent == 0 {
        return Verdict::NotRun;
    }
    match served * 4 < sent {
        true => Verdict::Broken,
        false => Verdict::Kept,
    }
}
