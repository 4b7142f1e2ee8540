//! Costs of each role at the target size, computed from the slopes.

use crate::slopes::{Slopes, SlopesError};
use std::fmt::Write;

const NODES: f64 = 1_000.0;
const DOMAINS: f64 = 10.0;
const HOSTS: f64 = 5_600.0;
const ADDRESSES: f64 = 3_400.0;
const FLOWS: f64 = 18e6;
const CHANGES: f64 = 4_000.0;
const DAY: f64 = 86_400.0;
/// Members that join or leave on an ordinary day: 28 die and are replaced, 660
/// leave and return.
const TURNOVER: f64 = 2.0 * (28.0 + 660.0);
/// Number of keepers of a service, and of a bucket.
const KEEPERS: (f64, f64) = (4.0, 2.0);
/// Number of readers and of probers in each failure domain.
const PER_DOMAIN: f64 = 2.0;
/// Time between two probes of a target, and duration of a watch, in seconds.
const PROBE_PERIOD: f64 = 2.0;
const WATCH_WAIT: f64 = 25.0;
/// Bytes that gRPC and mutual TLS add to a message, from the example
/// `call_cost` of `medlarspur-peer`.
const CALL_OVERHEAD: f64 = 181.0;
/// Size in bytes of a bundle's text for a service with two targets.
const SERVICE_TEXT: f64 = 247.0;

/// Carrier of the repair after a partition, which is not part of the steady traffic.
const REPAIR: &str = "bounded rumours";

/// Required limits of the control work on a node.
const CORE: Limit = Limit { max: 1.8, unit: Unit::Core };
const MEMORY: Limit = Limit { max: 256e6, unit: Unit::Bytes };
const TRAFFIC: Limit = Limit { max: 8e3, unit: Unit::Rate };
const LATENCY: Limit = Limit { max: 4_000.0, unit: Unit::Millis };
/// Required limit of the platform's calls per second, for all readers together.
const CALLS: Limit = Limit { max: 2_000.0, unit: Unit::Calls };

#[derive(Debug, Clone, Copy)]
pub struct Limit {
    max: f64,
    unit: Unit,
}

#[derive(Debug, Clone, Copy)]
enum Unit {
    Core,
    Bytes,
    Rate,
    Millis,
    Calls,
}

impl Unit {
    fn format(self, value: f64) -> String {
        match self {
            Unit::Core => format!("{value:.3} % of a core"),
            Unit::Bytes => format!("{:.1} MB", value / 1e6),
            Unit::Rate => format!("{value:.0} B/s"),
            Unit::Millis => format!("{value:.3} ms"),
            Unit::Calls => format!("{value:.1} calls/s"),
        }
    }
}

/// A cost of a role.
pub struct Row {
    role: &'static str,
    cost: &'static str,
    value: f64,
    limit: Limit,
    carrier: &'static str,
}

/// Converts a day's work in microseconds to a percentage of a core.
fn core_share(micros: f64) -> f64 {
    micros / 1e6 / DAY * 100.0
}

/// Returns the costs of all roles.
pub fn rows(slopes: &Slopes) -> Result<Vec<Row>, SlopesError> {
    let parts = [forwarder, keeper, reader, bundle, member, target, totals];
    let rows: Result<Vec<_>, _> = parts.iter().map(|part| part(slopes)).collect();
    Ok(rows?.into_iter().flatten().collect())
}

fn row(
    role: &'static str,
    cost: &'static str,
    value: f64,
    limit: Limit,
    carrier: &'static str,
) -> Row {
    Row { role, cost, value, limit, carrier }
}

fn forwarder(s: &Slopes) -> Result<Vec<Row>, SlopesError> {
    let role = "forwarder";
    let one = s.at("flow-memory", FLOWS / NODES)?;
    let domain = s.at("flow-memory", FLOWS / DOMAINS)?;
    let all = s.at("flow-memory", FLOWS)?;
    let tables = s.at("view-memory", ADDRESSES)?;
    let pause = s.at("follow-micros", ADDRESSES)? / 1e3;
    let answer = s.at("question-nanos", 1e3)? / 1e9;
    let entries = "24-byte entries keyed by a hash";
    Ok(vec![
        row(role, "flow table, a flow stays at one instance", one, MEMORY, entries),
        row(role, "flow table, packets sprayed in a failure domain", domain, MEMORY, entries),
        row(role, "flow table, packets sprayed over all", all, MEMORY, entries),
        row(role, "the view's tables", tables, MEMORY, "1,024 buckets a service"),
        row(
            role,
            "packets wait while a view is taken",
            pause,
            LATENCY,
            "unchanged services are shared",
        ),
        row(role, "a question written and read", answer, LATENCY, "one datagram each way"),
    ])
}

fn keeper(s: &Slopes) -> Result<Vec<Row>, SlopesError> {
    let role = "keeper";
    let flows = FLOWS / HOSTS * KEEPERS.1 / KEEPERS.0;
    let empty = s.at("advert-bytes", 0.0)?;
    let each = s.at("advert-bytes", 1.0)? - empty;
    let message = empty + CALL_OVERHEAD;
    let memory = s.at("kept-memory", flows)?;
    let day = CHANGES / DAY * KEEPERS.0 * message;
    Ok(vec![
        row(
            role,
            "flows of a leaving host, if in one second",
            flows * each,
            TRAFFIC,
            "exceptions only, paced at the sender",
        ),
        row(role, "memory of these flows", memory, MEMORY, "the flow table"),
        row(
            role,
            "\"told all\" of every instance after a change, if in one second",
            NODES * message,
            TRAFFIC,
            "one message an instance and keeper",
        ),
        row(role, "the same, mean of a day", day, TRAFFIC, "4 keepers a service"),
    ])
}

fn reader(s: &Slopes) -> Result<Vec<Row>, SlopesError> {
    let role = "platform reader";
    let whole = SERVICE_TEXT * ADDRESSES * CHANGES / DAY;
    let idle = s.at("watch-bytes", 2.0)? / WATCH_WAIT;
    let calls = PER_DOMAIN * DOMAINS * (2.0 / WATCH_WAIT + CHANGES / DAY);
    Ok(vec![
        row(
            role,
            "bundles read whole, mean of a day",
            whole,
            TRAFFIC,
            "2 readers a failure domain",
        ),
        row(role, "watches without news", idle, TRAFFIC, "long polls of 25 s"),
        row(
            "platform",
            "calls of all readers",
            calls,
            CALLS,
            "20 readers at any size of the fleet",
        ),
    ])
}

fn bundle(s: &Slopes) -> Result<Vec<Row>, SlopesError> {
    let role = "every node";
    let values = s.at("check-memory", ADDRESSES)?;
    let check = s.at("check-micros", ADDRESSES)?;
    Ok(vec![
        row(role, "text and values of the bundle", values, MEMORY, "shared strings"),
        row(
            role,
            "checking a bundle's text, a day's changes",
            core_share(CHANGES * check),
            CORE,
            "whole text, one parse",
        ),
        row(role, "the same, one change", check / 1e3, LATENCY, "whole text, one parse"),
        row(
            role,
            "putting it in force, a day's changes",
            install(s)?,
            CORE,
            "only changed services are dealt",
        ),
    ])
}

/// Percentage of a core for putting a day's changes in force.
fn install(s: &Slopes) -> Result<f64, SlopesError> {
    let micros = s.at("install-micros", ADDRESSES)? + s.at("follow-micros", ADDRESSES)?;
    Ok(core_share(CHANGES * micros))
}

fn member(s: &Slopes) -> Result<Vec<Row>, SlopesError> {
    let role = "member";
    let beats = s.at("steady-bytes", NODES)?;
    let work = s.at("steady-micros", NODES)? / 1e4;
    let memory = s.at("member-memory", NODES)?;
    let change = s.at("change-bytes", NODES)? * CHANGES / DAY;
    let healing = s.at("heal-bytes", NODES)?;
    let last = s.at("change-millis", NODES)?;
    let keepers = core_share(TURNOVER * s.at("members-micros", NODES)?);
    let duties = core_share(DAY * s.at("duties-micros", NODES)?);
    let few = "a bounded number of neighbours";
    Ok(vec![
        row(
            "plan author",
            "seeing which services to plan for",
            duties,
            CORE,
            "one higher rank is enough",
        ),
        row(
            role,
            "keepers chosen anew, an ordinary day",
            keepers,
            CORE,
            "only when a member comes or goes",
        ),
        row(role, "heartbeats and what they carry", beats, TRAFFIC, few),
        row(role, "the same in processor time", work, CORE, few),
        row(role, "the controller's memory", memory, MEMORY, "one entry a member"),
        row(
            role,
            "after a failure domain was cut off, until all know all",
            healing,
            TRAFFIC,
            REPAIR,
        ),
        row(role, "changes spread, mean of a day", change, TRAFFIC, "pieces that differ"),
        row(role, "a change reaches the last node", last, LATENCY, "pushed along the neighbours"),
    ])
}

/// Number of probes that a node makes per second.
fn probes() -> f64 {
    HOSTS * PER_DOMAIN / (NODES / DOMAINS) / PROBE_PERIOD
}

fn target(s: &Slopes) -> Result<Vec<Row>, SlopesError> {
    let bytes = probes() * s.at("probe-bytes", 1e3)? / 1e3;
    let work = probes() * s.at("probe-micros", 1e3)? / 1e3 / 1e4;
    Ok(vec![
        row(
            "target",
            "probes of a node's targets",
            bytes,
            TRAFFIC,
            "2 probers a failure domain, every 2 s",
        ),
        row("target", "the same in processor time", work, CORE, "8 threads"),
    ])
}

/// Returns the total costs of a node that is not a reader, with packets sprayed over
/// the instances of a failure domain.
fn totals(s: &Slopes) -> Result<Vec<Row>, SlopesError> {
    let rows = [bundle(s)?, member(s)?, target(s)?].into_iter().flatten();
    let (mut core, mut traffic) = (0.0, 0.0);
    for row in rows {
        match row.limit.unit {
            Unit::Core => core += row.value,
            Unit::Rate if row.carrier != REPAIR => traffic += row.value,
            _ => {}
        }
    }
    let flows = s.at("flow-memory", FLOWS / DOMAINS)?;
    let memory = flows + s.at("view-memory", ADDRESSES)? + s.at("check-memory", ADDRESSES)?;
    let all = "see the rows above";
    Ok(vec![
        row("together", "memory, packets sprayed in a failure domain", memory, MEMORY, all),
        row("together", "processor time", core, CORE, all),
        row("together", "traffic", traffic, TRAFFIC, all),
    ])
}

/// Returns the costs as a Markdown table, in which costs above their limit are marked.
pub fn table(rows: &[Row]) -> String {
    let mut text = "| role | cost at the target size | value | limit | | carried by |\n|---|---|---|---|---|---|\n".to_owned();
    for Row { role, cost, value, limit, carrier } in rows {
        let mark = if *value > limit.max { "**over**" } else { "within" };
        let (value, max) = (limit.unit.format(*value), limit.unit.format(limit.max));
        let _ = writeln!(text, "| {role} | {cost} | {value} | {max} | {mark} | {carrier} |");
    }
    text
}
