//! The simulated load patterns, at the sizes of both sites.

use super::{
    scene::{Fault, Load, Scene},
    site::{Site, ajanvaraus, alertdesk, ingest, todisteet},
};
use medlarspur_lib::bundle::Class;
use std::{net::Ipv4Addr, ops::Range};

/// First byte of the addresses of heavy callers.
pub const HEAVY_CALLER_NETWORK: u32 = 77;
/// Mean durations of a request, an upload and a feed, in milliseconds.
const REQUEST: f64 = 20.0;
const UPLOAD: f64 = 3_000.0;
const FEED: f64 = 30_000.0;
/// Time at which loads and faults begin, in milliseconds.
const START: u64 = 10_000;
/// Time that a scene continues after their end, in milliseconds.
const RECOVERY: u64 = 40_000;

pub fn all() -> Vec<Scene> {
    let mut scenes = Vec::new();
    for site in [alertdesk(), ajanvaraus()] {
        for spray in [true, false] {
            let with_fabric = |scene: Scene| Scene { spray, ..scene };
            scenes.extend([
                with_fabric(requests("burst ×10", &site, 1_000, (0.3, 3.0))),
                with_fabric(requests("saturation ×1.5", &site, 60_000, (0.6, 1.5))),
                with_fabric(requests("saturation ×3", &site, 120_000, (0.6, 3.0))),
                with_fabric(few_callers(&site)),
                with_fabric(mixed(&site)),
                with_fabric(silent(mixed(&site))),
                with_fabric(feeds(&site)),
                with_fabric(fault("slow target", &site, 1, Fault::Slow(20))),
                with_fabric(fault("says idle", &site, 1, Fault::SaysIdle)),
                with_fabric(fault("says full", &site, 1, Fault::SaysFull)),
                with_fabric(fault("sheds", &site, 1, Fault::Shed)),
                with_fabric(fault("all slow", &site, site.hosts, Fault::Slow(50))),
            ]);
        }
    }
    for site in [ingest(), todisteet()] {
        for spray in [true, false] {
            let with_fabric = |scene: Scene| Scene { spray, ..scene };
            scenes.extend([
                with_fabric(uploads("uploads ×1.5", &site, 1.5)),
                with_fabric(uploads("uploads ×3", &site, 3.0)),
                with_fabric(fault("says full", &site, 1, Fault::SaysFull)),
            ]);
        }
    }
    scenes
}

fn scene(name: &'static str, site: &Site, loaded: Range<u64>, loads: Vec<Load>) -> Scene {
    let end = loaded.end + RECOVERY;
    Scene {
        name,
        site: site.clone(),
        loads,
        faults: vec![],
        loaded,
        end,
        spray: true,
        stale: true,
        seed: 42,
    }
}

/// Returns callers of a class at `load_factors` of the capacity outside and inside
/// `loaded`.
fn load(class: Class, site: &Site, loaded: &Range<u64>, load_factors: (f64, f64)) -> Load {
    let (mean, full) = match class {
        Class::Request => (REQUEST, site.capacity(REQUEST)),
        Class::Upload => (UPLOAD, site.capacity(UPLOAD)),
        Class::Feed => (FEED, site.hosts as f64 * f64::from(site.connections) * 1000.0 / FEED),
    };
    Load {
        class,
        rates: (load_factors.0 * full, load_factors.1 * full),
        loaded: loaded.clone(),
        mean,
        callers: 20_000,
        first_address: Ipv4Addr::new(10, 0, 0, 1),
    }
}

pub fn requests(name: &'static str, site: &Site, span: u64, load_factors: (f64, f64)) -> Scene {
    let loaded = START..START + span;
    scene(name, site, loaded.clone(), vec![load(Class::Request, site, &loaded, load_factors)])
}

pub fn few_callers(site: &Site) -> Scene {
    let loaded = START..START + 30_000;
    let others = load(Class::Request, site, &loaded, (0.4, 0.4));
    let few = Load {
        callers: 3,
        first_address: Ipv4Addr::new(HEAVY_CALLER_NETWORK as u8, 0, 0, 1),
        ..load(Class::Request, site, &loaded, (0.0, 1.6))
    };
    scene("few callers ×2", site, loaded, vec![others, few])
}

pub fn mixed(site: &Site) -> Scene {
    let loaded = START..START + 60_000;
    let requests = load(Class::Request, site, &loaded, (0.2, 0.2));
    let uploads = load(Class::Upload, site, &loaded, (0.2, 2.0));
    scene("long uploads ×2", site, loaded, vec![requests, uploads])
}

/// Returns the scene with no target's endpoint answering.
pub fn silent(scene: Scene) -> Scene {
    let faults = vec![(0..scene.site.hosts, Fault::SaysNothing)];
    Scene { name: "long uploads ×2, no reports", faults, ..scene }
}

/// Feeds at three times the connections, beside requests.
pub fn feeds(site: &Site) -> Scene {
    let loaded = START..START + 120_000;
    let requests = load(Class::Request, site, &loaded, (0.2, 0.2));
    let feeds = load(Class::Feed, site, &loaded, (0.3, 3.0));
    scene("feeds ×3", site, loaded, vec![requests, feeds])
}

pub fn uploads(name: &'static str, site: &Site, part: f64) -> Scene {
    let loaded = START..START + 120_000;
    scene(name, site, loaded.clone(), vec![load(Class::Upload, site, &loaded, (0.4, part))])
}

pub fn fault(name: &'static str, site: &Site, targets: usize, fault: Fault) -> Scene {
    let loaded = START..START + 60_000;
    let requests = load(Class::Request, site, &loaded, (0.45, 0.45));
    Scene { faults: vec![(0..targets, fault)], ..scene(name, site, loaded, vec![requests]) }
}
