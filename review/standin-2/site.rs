//! What the cases have in common: addresses, ports, the config, and a site that is up.

use crate::{
    caller::Callers,
    fleet::{Fleet, Ports},
    host::{Host, Run, Spec},
    record::Record,
    set_caller_port,
    store::Store,
};
use std::{
    collections::BTreeMap,
    fs,
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

/// Time that the instances may take to become ready.
const READY_LIMIT_MS: u64 = 15_000;

/// A route of the config.
pub struct Route {
    pub port: u16,
    pub kind: &'static str,
    pub service: &'static str,
    pub budget_ms: u64,
    pub objective_ms: u64,
}

/// The address that callers connect to.
pub fn virtual_address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 40, 0, 1), port)
}

/// The config as the operator writes it.
pub fn config(version: u64, routes: &[Route], services: &[&str], cold_s: f64, rate: f64) -> String {
    let routes = routes.iter().map(|it| {
        let Route { port, kind, service, budget_ms, objective_ms } = it;
        format!(
            "{{\"name\":\"r-{port}\",\"host\":\"127.40.0.1\",\"prefix\":\"/{port}/\",\
             \"type\":\"{kind}\",\"timeoutMs\":{budget_ms},\"sloMs\":{objective_ms},\
             \"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2}}"
        )
    });
    let routes: Vec<String> = routes.collect();
    let services = services.iter().map(|it| {
        format!(
            "{{\"name\":\"{it}\",\"healthPath\":\"/health\",\"maxConns\":2000,\
             \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":{cold_s:.1},\"coldPerS\":{rate:.1}}}"
        )
    });
    let services: Vec<String> = services.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A site that is up.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub store_port: u16,
    pub fleet: Arc<Fleet>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub callers: Vec<Callers>,
    pub stop: Arc<AtomicBool>,
    host_port: u16,
    host_count: u8,
}

/// How to bring a site up.
pub struct Plan<'a> {
    pub zones: &'a [&'a str],
    pub per_zone: usize,
    pub config: String,
    /// Service, hosts in each zone, slots and work of a request.
    pub services: &'a [(&'a str, usize, usize, u64)],
    pub budget_ms: u64,
    pub seeds: &'a dyn Fn(&[Ipv4Addr], u16) -> Vec<SocketAddrV4>,
}

impl Site {
    /// Starts everything and waits until all instances are in rotation.
    pub fn start(folder: &Path, plan: &Plan<'_>) -> Option<(Site, Vec<Host>)> {
        let record = Record::create(&folder.join("record.txt"));
        let ports = Ports {
            datagrams: free_port(0),
            ready: free_port(1),
            control: free_port(2),
            metrics: free_port(3),
        };
        set_caller_port(ports.datagrams);
        let (store_port, host_port) = (free_port(4), free_port(5));
        let store = Store::default();
        store.serve(store_address(store_port));
        store.put("op/config", &plan.config);
        let runs = Arc::<Mutex<Vec<Run>>>::default();
        let stop = Arc::<AtomicBool>::default();
        let work = scratch_folder();
        let seeds = |addresses: &[Ipv4Addr]| (plan.seeds)(addresses, ports.control);
        let fleet = Fleet::start(
            plan.zones,
            plan.per_zone,
            ports,
            store_address(store_port),
            &seeds,
            work,
            &record,
        );
        let fleet = Arc::new(fleet);
        let mut site = Site {
            record: record.clone(),
            store,
            store_port,
            fleet,
            runs,
            callers: Vec::new(),
            stop,
            host_port,
            host_count: 0,
        };
        let mut hosts = Vec::new();
        for (service, count, slots, work) in plan.services {
            for zone in plan.zones {
                for _ in 0..*count {
                    hosts.push(site.start_host(service, zone, *slots, *work, 0));
                }
            }
        }
        while !site.fleet.are_ready() {
            if record.now() > READY_LIMIT_MS {
                record.say("the instances do not become ready");
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        for (nth, zone) in plan.zones.iter().enumerate() {
            let callers =
                Callers::start(nth, zone, plan.budget_ms, &site.fleet, &record, &site.stop);
            site.callers.push(callers);
        }
        record.say("all instances are in rotation");
        Some((site, hosts))
    }

    pub fn start_host(
        &mut self,
        service: &str,
        zone: &str,
        slots: usize,
        work_ms: u64,
        cold_ms: u64,
    ) -> Host {
        self.host_count += 1;
        let ip = Ipv4Addr::new(127, 30, 0, self.host_count);
        let spec = Spec {
            id: format!("i-{:08x}", 0x7f3a_9100 + u32::from(self.host_count)),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: SocketAddrV4::new(ip, self.host_port),
            slots,
            work_ms,
            cold_ms,
        };
        Host::start(spec, &self.store, &self.record, &self.runs)
    }

    /// Opens flows in each zone at a rate until a time.
    pub fn send_load(&self, nth: usize, route: SocketAddrV4, per_s: u64, until: u64) {
        let (callers, record) = (self.callers[nth].clone(), self.record.clone());
        let stop = self.stop.clone();
        thread::spawn(move || {
            let start = record.now();
            let mut sent = 0;
            while record.now() < until && !stop.load(SeqCst) {
                while sent * 1_000 < (record.now() - start) * per_s {
                    callers.open(route, &[]);
                    sent += 1;
                }
                thread::sleep(Duration::from_millis(2));
            }
        });
    }

    /// Largest number of requests that a host got in one second while it was cold. Counted are
    /// requests that were sent and arrived inside a second that begins with one of them. Each
    /// host is given with the time at which it became cold.
    pub fn most_while_cold(&self, hosts: &[(&Host, u64)], cold_ms: u64, limit: f64) -> usize {
        let tries: Vec<_> = self.callers.iter().flat_map(|it| it.tries()).collect();
        let sent: BTreeMap<&str, u64> =
            tries.iter().map(|it| (it.id.as_str(), it.opened_at)).collect();
        let runs = self.runs.lock().unwrap().clone();
        let mut most = 0;
        for (host, cold_at) in hosts {
            let cold = *cold_at..cold_at + cold_ms;
            let mut times: Vec<(u64, u64)> = runs
                .iter()
                .filter(|it| it.host == host.spec.id && cold.contains(&it.opened_at))
                .filter_map(|it| Some((*sent.get(it.id.as_str())?, it.opened_at)))
                .collect();
            times.sort_unstable();
            let within = |from: u64| {
                times.iter().filter(|(sent, at)| *sent >= from && *at < from + 1_000).count()
            };
            let counts = times.iter().map(|(sent, _)| (within(*sent), *sent));
            let (count, from) = counts.max().unwrap_or_default();
            most = most.max(count);
            self.record.say(&format!(
                "cold host {}: {} requests while cold, at most {count} in one second, from {} ms \
                 on (FAILBACK allows {limit})",
                host.spec.id,
                times.len(),
                from.saturating_sub(*cold_at)
            ));
        }
        most
    }

    pub fn sleep_until(&self, at: u64) {
        thread::sleep(Duration::from_millis(at.saturating_sub(self.record.now())));
    }

    /// Whether all instances still run.
    pub fn all_run(&self) -> bool {
        let ended = self.fleet.ended();
        ended.iter().for_each(|it| self.record.say(&format!("instance {it} has ended")));
        ended.is_empty()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
        self.fleet.end();
    }
}

pub fn store_address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 50, 0, 1), port)
}

/// A port that is free at all addresses of a site.
pub fn free_port(nth: u16) -> u16 {
    let base = 20_000 + (std::process::id() as u16 % 1_000) * 10 + nth;
    let is_free = |port: &u16| {
        let ips = (1..=40).flat_map(|last| {
            [10, 20, 30].map(|group| Ipv4Addr::new(127, group, 0, last))
        });
        let ips = ips.chain([Ipv4Addr::new(127, 50, 0, 1)]);
        ips.into_iter().all(|ip| {
            UdpSocket::bind((ip, *port)).is_ok() && TcpListener::bind((ip, *port)).is_ok()
        })
    };
    (0..400).map(|step| base + step * 10 % 10_000).find(is_free).expect("a port is free")
}

/// A temporary folder for the settings and logs of the instances.
fn scratch_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("medlarspur-review-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}
