//! `top`: shows rates of instances at intervals.

use crate::{
    client::Client,
    error::{Code, CommandError, NoInstanceSnafu},
    flags::Top,
    output::{self, Table, or_dash},
    scrape::Counters,
};
use medlarspur_lib::status::{Life, Status};
use serde::Serialize;
use snafu::ensure;
use std::{
    io::{self, IsTerminal},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Seconds between rounds without `--interval`.
const DEFAULT_INTERVAL_SECS: u64 = 2;
/// Escape sequences that clear a terminal and move to its first line.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// One instance in one round. Rates are per second; the first round has none.
#[derive(Serialize)]
struct Row {
    address: SocketAddr,
    name: Option<String>,
    life: Option<Life>,
    bundle: Option<u64>,
    flows: Option<u64>,
    packets: Option<u64>,
    opened: Option<u64>,
    drops: Option<u64>,
}

/// An instance, and its counters in the last round with the time of reading.
struct WatchedInstance {
    address: SocketAddr,
    last: Option<(Instant, Counters)>,
}

pub fn run(flags: &Top) -> Result<Code, CommandError> {
    ensure!(!flags.addresses.is_empty(), NoInstanceSnafu);
    let client = Client::new();
    let interval = Duration::from_secs(flags.interval.unwrap_or(DEFAULT_INTERVAL_SECS));
    let watch = |address: &SocketAddr| WatchedInstance { address: *address, last: None };
    let mut watched: Vec<WatchedInstance> = flags.addresses.iter().map(watch).collect();
    let mut round = 0;
    loop {
        let rows: Vec<Row> = watched.iter_mut().map(|watched| watched.next_row(&client)).collect();
        print(flags, &rows)?;
        round += 1;
        if flags.rounds.is_some_and(|rounds| round >= rounds) {
            return Ok(exit_code(&rows));
        }
        thread::sleep(interval);
    }
}

fn exit_code(rows: &[Row]) -> Code {
    if rows.iter().all(|row| row.name.is_some()) { Code::Done } else { Code::Instance }
}

impl WatchedInstance {
    fn next_row(&mut self, client: &Client) -> Row {
        let status: Option<Status> = client.get_json(self.address, "/status").ok();
        let metrics = client.get_text(self.address, "/metrics").ok();
        let counters = metrics.map(|text| (Instant::now(), Counters::parse(&text)));
        let rate = |counter: fn(&Counters) -> u64| {
            let ((then, old), (now, new)) = (self.last?, counters?);
            let secs = now.duration_since(then).as_secs_f64().max(f64::MIN_POSITIVE);
            Some((counter(&new).saturating_sub(counter(&old)) as f64 / secs) as u64)
        };
        let status = status.as_ref();
        let row = Row {
            address: self.address,
            name: status.map(|status| status.name.to_string()),
            life: status.map(|status| status.life),
            bundle: status.and_then(|status| Some(status.bundle.as_ref()?.version.0)),
            flows: status.map(|status| status.flows),
            packets: rate(|counters| counters.packets),
            opened: rate(|counters| counters.opened),
            drops: rate(|counters| counters.drops),
        };
        self.last = counters;
        row
    }
}

fn print(flags: &Top, rows: &[Row]) -> Result<(), CommandError> {
    if flags.json {
        return output::print_json(&rows);
    }
    if io::stdout().is_terminal() {
        output::print_line(CLEAR_SCREEN);
    }
    let mut table = Table::new(&[
        "INSTANCE",
        "ADDRESS",
        "LIFE",
        "BUNDLE",
        "FLOWS",
        "PACKETS/S",
        "FLOWS/S",
        "DROPS/S",
    ]);
    for row in rows {
        table.add_row(vec![
            row.name.clone().unwrap_or_else(|| "unreachable".to_owned()),
            row.address.to_string(),
            or_dash(row.life),
            or_dash(row.bundle),
            or_dash(row.flows),
            or_dash(row.packets),
            or_dash(row.opened),
            or_dash(row.drops),
        ]);
    }
    table.print();
    Ok(())
}
