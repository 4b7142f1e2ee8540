//! Results of the callers' work, by service and class.

use crate::{
    client::Outcome,
    task::{BreakCause, End},
};
use medlarspur_lib::{bundle::Class, time::Millis};
use std::collections::BTreeMap;

/// Results for one service and class.
#[derive(Debug, Default, Clone, serde::Serialize)]
pub struct Row {
    /// Number of pieces of work that were started.
    pub opened: u64,
    /// Number with a complete and correct answer, and of feeds that the caller ended.
    pub completed: u64,
    /// Number that were reset, silent or truncated after they were established.
    pub broken: u64,
    /// Number that were refused.
    pub refused: u64,
    /// Number whose SYN was not answered.
    pub unanswered: u64,
    /// Number with an answer that belongs to other work, or with wrong content.
    pub wrong: u64,
    /// Number that had not ended when the callers stopped.
    pub pending: u64,
    /// Median latency in milliseconds.
    pub p50: u64,
    /// 99th percentile of the latency in milliseconds.
    pub p99: u64,
    /// Number of pieces of work that each target answered, by name.
    pub targets: BTreeMap<String, u64>,
    /// Answered work of the busiest target, divided by the mean of all targets that answered.
    pub imbalance: f64,
    /// Ids of the refused work. No target may have run any of it.
    pub turned: Vec<String>,
    /// The work that broke.
    pub breaks: Vec<Break>,
    #[serde(skip)]
    latencies: Vec<u64>,
}

/// A piece of work that broke.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Break {
    /// Id of the work.
    pub id: String,
    /// Name of the target that answered, if any.
    pub target: Option<String>,
    /// Cause of the break.
    pub cause: BreakCause,
    /// Time of the break, in milliseconds since the callers' start.
    pub at: Millis,
}

/// Results of all services and classes.
#[derive(Debug, Default, Clone, serde::Serialize)]
pub struct Report {
    /// Results by service, then by class as spelled in the bundle.
    pub rows: BTreeMap<String, BTreeMap<String, Row>>,
}

impl Report {
    /// Records the start of a piece of work.
    pub fn record_start(&mut self, service: &str, class: Class) {
        self.row(service, class).opened += 1;
    }

    /// Records the end of a piece of work.
    pub fn record_end(&mut self, outcome: Outcome) {
        let row = self.row(&outcome.work.service, outcome.work.class);
        match outcome.end {
            End::Completed => row.completed += 1,
            End::Broken(cause) => {
                row.broken += 1;
                let Outcome { work, target, at, .. } = &outcome;
                let (id, target) = (work.id.clone(), target.clone());
                row.breaks.push(Break { id, target, cause, at: *at });
            }
            End::Unanswered => row.unanswered += 1,
            End::Wrong => row.wrong += 1,
            End::Refused => {
                row.refused += 1;
                row.turned.push(outcome.work.id);
            }
        }
        if let Some(target) = outcome.target {
            *row.targets.entry(target).or_default() += 1;
        }
        row.latencies.extend(outcome.latency.map(|latency| latency.0));
    }

    /// Returns the report with `pending`, percentiles and imbalance computed.
    pub fn with_totals(&self) -> Self {
        let mut report = self.clone();
        report.rows.values_mut().flat_map(BTreeMap::values_mut).for_each(Row::compute_totals);
        report
    }

    /// Iterates over service, class and row.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str, &Row)> {
        self.rows.iter().flat_map(|(service, classes)| {
            classes.iter().map(move |(class, row)| (service.as_str(), class.as_str(), row))
        })
    }

    fn row(&mut self, service: &str, class: Class) -> &mut Row {
        let classes = self.rows.entry(service.to_owned()).or_default();
        classes.entry(format!("{class:?}").to_lowercase()).or_default()
    }
}

impl Row {
    fn compute_totals(&mut self) {
        let ended = self.completed + self.broken + self.refused + self.unanswered + self.wrong;
        self.pending = self.opened - ended;
        self.latencies.sort_unstable();
        let percentile = |percent: usize| {
            let ix = (self.latencies.len() * percent / 100).min(self.latencies.len().max(1) - 1);
            self.latencies.get(ix).copied().unwrap_or(0)
        };
        (self.p50, self.p99) = (percentile(50), percentile(99));
        let most = self.targets.values().max().copied().unwrap_or(0);
        let all = self.targets.values().sum::<u64>();
        self.imbalance = most as f64 * self.targets.len() as f64 / all.max(1) as f64;
    }
}
