//! An instance freezes and wakes. Judges FLOW: an open flow whose host is well is reset by a
//! host that is not its own.

use crate::{
    Verdict,
    caller::Outcome,
    site::{Plan, Route, Site, config, virtual_address},
};
use std::{collections::BTreeMap, net::SocketAddrV4, path::Path, thread, time::Duration};

const PORT: u16 = 443;
const STABLE_MS: u64 = 4_000;
/// Duration of the freeze, less than the pages' 4.0 s.
const FREEZE_MS: u64 = 3_000;
/// Pause between two requests of a flow.
const PAUSE_MS: u64 = 9_000;

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let route = Route {
        port: PORT,
        kind: "non_idempotent",
        service: "alertdesk",
        budget_ms: 2_500,
        objective_ms: 250,
    };
    let plan = Plan {
        zones: &["lozenets", "druzhba"],
        per_zone: 3,
        config: config(7, &[route], &["alertdesk"], 2.0, 0.0),
        services: &[("alertdesk", 5, 2, 20)],
        budget_ms: 2_500,
        seeds: &|ips, port| ips.iter().take(3).map(|ip| SocketAddrV4::new(*ip, port)).collect(),
    };
    let Some((site, _hosts)) = Site::start(folder, &plan) else { return Verdict::NotRun };
    let record = site.record.clone();
    let begin = record.now();
    let node = site.fleet.nodes[1].clone();
    site.sleep_until(begin + 3_000);
    if has_trouble {
        site.fleet.freeze(&node);
    }
    let frozen_at = record.now();
    let callers = site.callers[0].clone();
    let mut opened = 0;
    while record.now() < frozen_at + FREEZE_MS {
        while opened * 1_000 < (record.now() - frozen_at) * 40 {
            callers.open(virtual_address(PORT), &[PAUSE_MS, PAUSE_MS]);
            opened += 1;
        }
        thread::sleep(Duration::from_millis(2));
    }
    if has_trouble {
        site.fleet.wake(&node);
    }
    let woken_at = record.now();
    site.sleep_until(woken_at + 2 * PAUSE_MS + 6_000);
    if !site.all_run() {
        return Verdict::NotRun;
    }
    let tries = callers.tries();
    let mut home = BTreeMap::new();
    let (mut served, mut broken, mut excused) = (0, 0, 0);
    for it in &tries {
        match &it.outcome {
            Outcome::Served(host) => {
                served += 1;
                home.insert((it.key.src, it.key.sport), host.clone());
            }
            Outcome::Cut(Some(by)) => {
                let flow = (it.key.src, it.key.sport);
                let taker = &site.fleet.select("lozenets", it.key).name;
                let is_in_touch = it.sent_at > woken_at + STABLE_MS;
                record.say(&format!(
                    "request {} at {} ms after the wake-up, through {taker}: the flow was open \
                     at {:?} and was reset by {by}",
                    it.id,
                    it.sent_at.saturating_sub(woken_at),
                    home.get(&flow)
                ));
                match is_in_touch {
                    true => broken += 1,
                    false => excused += 1,
                }
            }
            _ => {}
        }
    }
    record.say(&format!(
        "{opened} flows, {served} requests served; open flows reset by a host that is not theirs: \
         {broken} with all machines in touch (FLOW allows 0), {excused} others"
    ));
    if served < 60 {
        return Verdict::NotRun;
    }
    match broken {
        0 => Verdict::Kept,
        _ => Verdict::Broken,
    }
}
