//! The cases. Each returns 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

use crate::world::{config, ms, Attempt, Ending, RouteSpec, Store, World};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

/// `configApplyMs`, `drainMs`, `stableMs`, `maxStretchMs` and `recoveryS` of the small sites.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(3_000);
const STABLE: Duration = Duration::from_millis(4_000);
const RECOVERY: Duration = Duration::from_secs(12);
/// `historyS` of the store.
const HISTORY_S: u64 = 20;

fn route(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 200, 0, 1), port)
}

/// A route that stays, one that is dropped and one that is added later.
const STAYS: u16 = 443;
const DROPPED: u16 = 8080;
const ADDED: u16 = 8443;

fn spec(port: u16, kind: &'static str, service: &str) -> RouteSpec {
    RouteSpec { address: route(port), kind, service: service.to_owned() }
}

fn first_routes() -> Vec<RouteSpec> {
    vec![spec(STAYS, "idempotent", "desk"), spec(DROPPED, "non_idempotent", "desk")]
}

fn later_routes() -> Vec<RouteSpec> {
    vec![spec(STAYS, "idempotent", "desk"), spec(ADDED, "non_idempotent", "desk")]
}

fn store_address(k: u8) -> SocketAddrV4 {
    // A port that the system gave out a moment ago, so that it is free.
    let listener = std::net::TcpListener::bind((Ipv4Addr::new(127, 30, 0, k), 0)).unwrap();
    SocketAddrV4::new(Ipv4Addr::new(127, 30, 0, k), listener.local_addr().unwrap().port())
}

/// Two hosts of `desk` and one of `intake` in each zone.
const HOSTS: [(&str, usize, u8); 9] = [
    ("desk", 0, 1),
    ("desk", 0, 2),
    ("intake", 0, 3),
    ("desk", 1, 1),
    ("desk", 1, 2),
    ("intake", 1, 3),
    ("desk", 2, 1),
    ("desk", 2, 2),
    ("intake", 2, 3),
];

struct Setting {
    world: Arc<World>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

/// Starts store, hosts and machines with a config, and the traffic 10 s after the machines.
fn set_up(record: &Path, dir: &Path, routes: &[RouteSpec], budget: Duration) -> Option<Setting> {
    let store = Store::new(HISTORY_S);
    let address = store_address(1);
    let world = World::new(dir, record, store, &HOSTS);
    world.store.put("op/config", Some(&config(3, routes, 2_000)));
    for host in &world.hosts {
        world.store.put(&format!("servers/{}", host.name()), Some(&host.entry("ready", 1)));
    }
    world.store.serve(address);
    for node in &world.nodes {
        world.write_settings(node, address);
        world.start_node(node);
    }
    world.start_routers();
    if !world.wait_until_ready(ms(10_000)) {
        world.note("not all machines became ready");
        world.end();
        return None;
    }
    world.note("all machines are ready");
    thread::sleep(ms(3_000));
    let routes = [route(STAYS), route(DROPPED), route(ADDED)];
    let attempts = world.start_consumers(3, &routes, ms(100), budget);
    world.note("traffic starts");
    Some(Setting { world, attempts })
}

/// Counts requests sent between two moments that were handled as only the first config allows.
fn old_config_uses(
    world: &World,
    attempts: &[Attempt],
    from: Instant,
    to: Instant,
) -> (usize, usize, usize) {
    let runs = world.seen.runs.lock().unwrap();
    let inside = || attempts.iter().filter(|it| it.sent >= from && it.sent < to);
    let dropped = inside().filter(|it| it.route.port() == DROPPED && runs.contains_key(&it.id));
    let added =
        inside().filter(|it| it.route.port() == ADDED && it.ending == Ending::ResetBySystem);
    (dropped.count(), added.count(), inside().count())
}

/// Publishes the later config and the departure of one host, and judges what follows.
fn change_and_judge(setting: &Setting, publish: impl FnOnce(&World), watch_for: Duration) -> u8 {
    let Setting { world, attempts, .. } = setting;
    publish(world);
    let acked = Instant::now();
    world.note("config 90 is acknowledged: it drops port 8080 and adds port 8443");
    let leaving = &world.hosts[0];
    world.store.put(&format!("servers/{}", leaving.name()), Some(&leaving.entry("draining", 2)));
    let left = Instant::now();
    world.note(&format!("the store has accepted that {} is draining", leaving.name()));
    thread::sleep(watch_for);
    let end = Instant::now() - ms(1_500);
    world.end();
    let attempts = attempts.lock().unwrap();
    let (dropped, added, all) = old_config_uses(world, &attempts, acked + CONFIG_APPLY, end);
    let last = attempts
        .iter()
        .filter(|it| {
            it.route.port() == ADDED && it.ending == Ending::ResetBySystem && it.sent > acked
        })
        .map(|it| it.sent)
        .max();
    let openings = world.seen.openings.lock().unwrap();
    let late =
        openings.iter().filter(|it| it.host == leaving.name() && it.at > left + DRAIN).count();
    world.note(&format!(
        "of {all} requests sent later than 3 s after the acknowledgement: {dropped} run over the dropped route, {added} refused on the added route"
    ));
    if let Some(last) = last {
        let after = last.duration_since(acked).as_secs_f64();
        world.note(&format!(
            "the added route was last refused {after:.1} s after the acknowledgement"
        ));
    }
    world.note(&format!("openings that reached the draining host later than 3 s: {late}"));
    match (all, dropped + added + late) {
        (0, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}

/// The store goes away and comes back at another address; the settings say so without a signal.
fn silent_settings(record: &Path, dir: &Path, trouble: bool) -> u8 {
    let Some(setting) = set_up(record, dir, &first_routes(), ms(1_500)) else { return NOT_RUN };
    let world = &setting.world;
    thread::sleep(ms(5_000));
    if trouble {
        world.store.stop();
        world.note("the store is down");
        thread::sleep(ms(2_000));
        let address = store_address(2);
        world.nodes.iter().for_each(|node| world.write_settings(node, address));
        world.note("the settings files name another address of the store");
        // For comparison: with the signal the instances take the new address.
        if std::env::var("SIGNAL").is_ok_and(|it| it == "1") {
            world.nodes.iter().for_each(|node| world.signal(node, "HUP"));
            world.note("SIGHUP is sent to all processes");
        }
        thread::sleep(ms(1_000));
        world.store.serve(address);
        world.note("the store is back, with all that it had");
    } else {
        thread::sleep(ms(3_000));
    }
    thread::sleep(STABLE + ms(2_000));
    let publish =
        |world: &World| world.store.put("op/config", Some(&config(90, &later_routes(), 2_000)));
    change_and_judge(&setting, publish, ms(20_000))
}

/// All processes are killed while the store is down, and the settings change with SIGHUP.
fn start_without_store(record: &Path, dir: &Path, trouble: bool) -> u8 {
    let Some(setting) = set_up(record, dir, &first_routes(), ms(1_500)) else { return NOT_RUN };
    let Setting { world, attempts } = &setting;
    thread::sleep(ms(5_000));
    let before = Instant::now();
    let (down, moved) = (ms(1_100), store_address(2));
    if trouble {
        world.store.stop();
        world.note("the store is down");
    }
    world.nodes.iter().for_each(|node| world.kill_node(node));
    world.note("all processes are killed");
    thread::sleep(down);
    world.nodes.iter().for_each(|node| world.start_node(node));
    let back = Instant::now();
    world.note("all processes are started again");
    thread::sleep(ms(2_000));
    if trouble {
        world.nodes.iter().for_each(|node| world.write_settings(node, moved));
        world.store.serve(moved);
        world.note("the store is back at another address, which the settings files name");
        world.nodes.iter().for_each(|node| world.signal(node, "HUP"));
        world.note("SIGHUP is sent to all processes");
    }
    thread::sleep(RECOVERY + ms(12_000));
    let end = Instant::now() - ms(1_500);
    world.end();
    let attempts = attempts.lock().unwrap();
    let share = |from: Instant, to: Instant| {
        let owed: Vec<_> = attempts
            .iter()
            .filter(|it| it.sent >= from && it.sent < to && it.route.port() != ADDED)
            .collect();
        let served = owed.iter().filter(|it| matches!(it.ending, Ending::Served(_))).count();
        (served, owed.len())
    };
    let (served, owed) = share(before - ms(4_000), before);
    world.note(&format!("before the fault {served} of {owed} requests were served"));
    let (later, owed_later) = share(back + RECOVERY, end);
    world.note(&format!(
        "of requests sent later than 12 s after the machines were back, {later} of {owed_later} were served"
    ));
    if served * 4 < owed || owed == 0 || owed_later == 0 {
        return NOT_RUN;
    }
    if later * 4 < owed_later {
        BROKEN
    } else {
        HELD
    }
}

/// Configs of many routes come in quick succession.
fn large_storm(record: &Path, dir: &Path, trouble: bool) -> u8 {
    let with_many = |few: Vec<RouteSpec>| {
        // With the two others 3,400 routes, the number of addresses in the users' stated target.
        let many = (0..3_398u32).map(|nth| RouteSpec {
            address: SocketAddrV4::new(Ipv4Addr::new(127, 201, (nth >> 8) as u8, nth as u8), 443),
            kind: "idempotent",
            service: "desk".to_owned(),
        });
        few.into_iter().chain(many).collect::<Vec<_>>()
    };
    let (first, later) = (with_many(first_routes()), with_many(later_routes()));
    let Some(setting) = set_up(record, dir, &first, ms(1_500)) else { return NOT_RUN };
    thread::sleep(ms(5_000));
    let publish = |world: &World| {
        let last = config(90, &later, 2_000);
        world.note(&format!("a config has {} routes and {} bytes", later.len(), last.len()));
        if trouble {
            // For comparison: another pause between the configs, and twice the span.
            let gap = std::env::var("GAP_MS").ok().and_then(|it| it.parse().ok());
            let (gap, count) = gap.map_or((80, 25), |gap: u64| (gap, 4_000 / gap));
            let begin = Instant::now();
            for nth in 0..count {
                let text = config(4 + nth * 3, &first, 2_001 + nth);
                thread::sleep(ms(gap * nth).saturating_sub(begin.elapsed()));
                world.store.put("op/config", Some(&text));
            }
            let span = begin.elapsed().as_secs_f64();
            world.note(&format!(
                "{count} configs that change time-outs were published in {span:.1} s"
            ));
            thread::sleep(ms(gap));
        }
        world.store.put("op/config", Some(&last));
    };
    change_and_judge(&setting, publish, ms(32_000))
}

pub fn run(case: &str, record: &Path, dir: &Path, trouble: bool) -> u8 {
    match case {
        "silent-settings" => silent_settings(record, dir, trouble),
        "start-without-store" => start_without_store(record, dir, trouble),
        "large-storm" => large_storm(record, dir, trouble),
        _ => NOT_RUN,
    }
}
