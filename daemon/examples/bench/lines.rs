//! Processor time of log lines on decisions, in the thread that decides and in the log thread.

use crate::process::thread_nanos;
use log::LevelFilter;
use medlarspur_daemon::{
    logs,
    marked::lines::{CatalogState, DecisionLog},
};
use medlarspur_lib::{bundle::Class, settings::LogForm, time::Millis};
use medlarspur_load::choice::Tier;
use medlarspur_marked::{FlowKey, Incarnation, Note, Revision};
use std::{thread, time::Duration};

/// Number of lines that are written, and of lines that are left out.
const COUNT: u64 = 20_000;
/// Virtual time between two lines, in milliseconds, such that each is within the budget of 100
/// lines a second.
const PAUSE: u64 = 10;

/// Processor time per line, in nanoseconds.
pub struct Costs {
    /// Of the deciding thread, for a written line.
    pub written: u64,
    /// Of the deciding thread, for a line left out.
    pub left_out: u64,
    /// Of the log thread.
    pub writer: u64,
    /// Number of lines lost because the queue was full.
    pub lost: u64,
}

/// Measures the costs. The lines are written to standard output.
pub fn run() -> Costs {
    let sink =
        logs::init_with_sink(LogForm::Text, LevelFilter::Info).expect("the log thread starts");
    let name = thread::current().name().expect("the main thread has a name").to_owned();
    let name = if name == "main" { "bench".to_owned() } else { name };
    let mut lines = DecisionLog::new(Millis(0));
    let before = thread_nanos(&name);
    for nth in 0..COUNT {
        lines.write(&note(nth), state(), Millis(nth * PAUSE));
        if nth % 100 == 99 {
            // The log thread writes every 200 ms; at 10,000 lines a second none is lost.
            thread::sleep(Duration::from_millis(10));
        }
    }
    let written = thread_nanos(&name) - before;
    sink.flush();
    let writer = thread_nanos("log");
    let now = Millis(COUNT * PAUSE);
    let before = thread_nanos(&name);
    for nth in 0..COUNT {
        lines.write(&note(nth), state(), now);
    }
    let left_out = thread_nanos(&name) - before;
    Costs {
        written: written / COUNT,
        left_out: left_out / COUNT,
        writer: writer / COUNT,
        lost: sink.lost(),
    }
}

fn note(nth: u64) -> Note {
    let caller = format!("100.64.0.7:{}", 1_024 + nth % 60_000).parse().expect("a valid address");
    Note::Opened {
        flow: FlowKey { caller, service: "198.18.0.1:8443".parse().expect("a valid address") },
        target: Incarnation(0x7f3a_91c2),
        class: Class::Feed,
        tier: Tier::Good,
        work: 2,
        candidates: 14,
        waited: Millis(0),
    }
}

fn state() -> CatalogState {
    CatalogState { revision: Revision::new(0, 577), age: Some(Millis(64)) }
}
