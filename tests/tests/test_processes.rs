//! Tests of failures of whole processes, with instances as child processes.

use medlarspur_lib::{
    bundle::{Class, TargetState},
    status::{BundleStatus, Status},
};
use medlarspur_testutils::{
    caller::{Callers, Settings, Stream},
    platform::Fault,
    profile::TargetCounts,
    report::Row,
    site::{Site, site_services},
    spread::Mode,
    web,
};
use nix::sys::signal::Signal;
use std::{
    collections::BTreeMap,
    env,
    net::SocketAddrV4,
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

/// Timeout of every wait; far longer than needed on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which the fabric still sends to an instance that is gone.
const LIST_LAG: Duration = Duration::from_millis(500);
/// Time in which every feed carries some lines and their acknowledgements.
const FEED_TIME: Duration = Duration::from_secs(2);
/// Time in which a target must still accept connections after the bundle in which it leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const FEEDS: u64 = 60;

/// A site with a fabric that sprays packets, and its callers.
struct Trial {
    site: Site,
    callers: Callers,
}

/// Returns the path of the daemon, which `cargo test --workspace` builds into the
/// parent of the tests' folder.
fn program() -> PathBuf {
    let own = env::current_exe().expect("the path of the test");
    let folder = own.ancestors().nth(2).expect("the folder of the build");
    let program = folder.join("medlarspurd");
    assert!(program.exists(), "{program:?} is missing; build the daemon first");
    program
}

fn stream(service: &str, class: Class, remote: &str, rate: f64, total: u64) -> Stream {
    let (service, remote) = (service.into(), remote.parse().expect("an address"));
    Stream { service, class, remote, rate, total, size: 50_000, hold: 3_600_000 }
}

/// Starts the instances and the callers, and waits until all feeds were started.
fn trial(instances: usize) -> Trial {
    web::silence_logs();
    let mut site =
        Site::start(&program(), Mode::Spray, &site_services(4, 3)).expect("the site starts");
    for _ in 0..instances {
        site.join().expect("an instance joins");
    }
    let streams = vec![
        stream("alertdesk", Class::Feed, "10.70.0.1:7001", 60.0, FEEDS),
        stream("alertdesk", Class::Request, "10.70.0.1:7002", 20.0, 0),
        stream("ingest", Class::Upload, "10.70.0.2:7003", 8.0, 0),
    ];
    let callers = Callers::start(Settings::new(site.fabric.callers), streams).expect("callers");
    let started =
        || callers.report().iter().any(|(_, class, row)| class == "feed" && row.opened == FEEDS);
    wait_until("all feeds are started", started);
    Trial { site, callers }
}

impl Trial {
    /// Stops the callers and checks what must hold after every failure: each feed and
    /// upload was completed, nothing ran twice, no packet reached a target of the other
    /// service, and no SYN reached a target that has left.
    fn conclude(self) {
        let report = self.callers.stop(TIMEOUT);
        for (service, class, row) in report.iter() {
            assert_eq!(failures(row), [0; 3], "{service} {class}: {row:?}");
            assert!(row.completed > 0, "{service} {class}: {row:?}");
        }
        assert_eq!(report.rows["alertdesk"]["feed"].completed, FEEDS, "{report:?}");
        let counts: Vec<TargetCounts> =
            self.site.targets.list.iter().map(|target| target.counts()).collect();
        let mut runs = BTreeMap::<&str, u32>::new();
        for (id, count) in counts.iter().flat_map(|counts| &counts.runs) {
            *runs.entry(id).or_default() += count;
        }
        assert!(runs.values().all(|&count| count == 1), "{runs:?}");
        let turned = report.iter().flat_map(|(_, _, row)| &row.turned);
        assert_eq!(turned.filter(|id| runs.contains_key(id.as_str())).count(), 0);
        assert_eq!(counts.iter().map(|counts| counts.strays).sum::<u64>(), 0);
        assert_eq!(counts.iter().map(|counts| counts.late).sum::<u64>(), 0);
        let stored = counts.iter().map(|counts| counts.stored).sum::<u64>();
        assert_eq!(stored, report.rows["ingest"]["upload"].completed);
    }

    fn operators(&self) -> Vec<SocketAddrV4> {
        self.site.instances.iter().map(|instance| instance.operator).collect()
    }
}

fn failures(row: &Row) -> [u64; 3] {
    [row.broken, row.wrong, row.pending]
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

fn bundle(operator: SocketAddrV4) -> BundleStatus {
    let mut answer = ureq::get(format!("http://{operator}/status")).call().expect("an answer");
    let text = answer.body_mut().read_to_string().expect("text");
    let status: Status = serde_json::from_str(&text).expect("a status");
    status.bundle.expect("a bundle in force")
}

fn wait_for_version(operators: &[SocketAddrV4], version: u64) {
    wait_until("all instances have the version", || {
        operators.iter().all(|it| bundle(*it).version.0 == version)
    });
}

/// Checks for some time that all instances keep the version.
fn assert_version_stays(operators: &[SocketAddrV4], version: u64) {
    let start = Instant::now();
    while start.elapsed() < FEED_TIME {
        for operator in operators {
            assert_eq!(bundle(*operator).version.0, version);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Guards against feeds that break when the host of an instance loses power. The
/// fabric still sends it a third of all packets for a while, and what only that
/// instance knew is lost. If another one guesses a flow's target wrong, the user
/// gets a reset and loses the feed.
#[test]
fn a_killed_instance_breaks_no_feed() {
    let mut trial = trial(3);

    trial.site.kill().expect("the instance is killed");
    thread::sleep(LIST_LAG);
    wait_until("the killed instance is gone", || {
        trial.site.remove_ended();
        trial.site.instances.len() == 2
    });
    thread::sleep(FEED_TIME);

    trial.conclude();
}

/// Guards against an instance that uses an old bundle after its host has suspended
/// it. A target leaves meanwhile, and the instance wakes up with old packets in its
/// socket. By the old bundle, feeds would break, or a request that another instance
/// has already sent to a target would run a second time.
#[test]
fn a_frozen_instance_takes_the_newer_bundle() {
    let mut trial = trial(3);
    let operators = trial.operators();

    trial.site.instances[1].signal(Signal::SIGSTOP).expect("the instance is suspended");
    trial.site.publish_leaving("alertdesk-1");
    wait_for_version(&[operators[0], operators[2]], 2);
    thread::sleep(DRAIN_TIME);
    trial.site.drain("alertdesk-1");
    trial.site.instances[1].signal(Signal::SIGCONT).expect("the instance is resumed");

    wait_for_version(&operators, 2);
    assert_version_stays(&operators, 2);
    trial.conclude();
}

/// Guards against the return of an old bundle when the platform's configuration
/// service has an outage and is restored from an old copy. A target that has left
/// would get new work, and flows of its buckets would break. An instance that
/// starts during the outage can get the bundle only from its peers.
#[test]
fn an_outage_of_the_platform_changes_nothing() {
    let mut trial = trial(2);
    let old = trial.site.signed();
    trial.site.publish_leaving("alertdesk-1");
    wait_for_version(&trial.operators(), 2);
    thread::sleep(DRAIN_TIME);
    trial.site.drain("alertdesk-1");

    trial.site.platform.set_fault(Fault { down: true, ..Fault::default() });
    trial.site.join().expect("the instance gets the bundle from its peers");
    let operators = trial.operators();
    assert_version_stays(&operators, 2);
    trial.site.platform.publish(&old);
    trial.site.platform.set_fault(Fault::default());
    let calls = trial.site.platform.calls().bundle;
    wait_until("the old bundle is read", || trial.site.platform.calls().bundle > calls + 3);

    assert_version_stays(&operators, 2);
    trial.conclude();
}

/// Guards against instances with different bundles after two operators published at
/// once under the same version. The platform gives one bundle to some readers and
/// the other to the rest. Without agreement one flow would be sent to two targets.
/// Operators must see the conflict, because one of their changes is not in force.
#[test]
fn concurrent_publications_converge_on_one_bundle() {
    let mut trial = trial(3);
    let operators = trial.operators();
    let mut other = trial.site.layout.clone();
    trial.site.layout.set_state("alertdesk-2", TargetState::Leaving);
    let second = trial.site.signed();
    other.set_state("alertdesk-1", TargetState::Leaving);
    trial.site.layout = other;

    trial.site.platform.set_fault(Fault { second: Some(second), ..Fault::default() });
    trial.site.platform.publish(&trial.site.signed());

    let agreed = || {
        let bundles: Vec<_> = operators.iter().map(|operator| bundle(*operator)).collect();
        let alike = |it: &BundleStatus| it.version.0 == 2 && it.digest == bundles[0].digest;
        bundles.iter().all(|it| alike(it) && it.conflict)
    };
    wait_until("the instances agree and show the conflict", agreed);
    let digest = bundle(operators[0]).digest;
    assert_version_stays(&operators, 2);
    assert!(operators.iter().all(|operator| bundle(*operator).digest == digest));
    trial.conclude();
}

/// Guards against uploads that break, and have to be sent again, when an instance
/// leaves for an update while they pass through it.
#[test]
fn a_leaving_instance_breaks_no_upload() {
    let mut trial = trial(3);

    trial.site.leave().expect("the instance gets the signal");
    wait_until("the leaving instance has ended", || {
        trial.site.remove_ended();
        trial.site.instances.len() == 2
    });
    thread::sleep(FEED_TIME);

    trial.conclude();
}
