//! What callers saw, counted for each service and class.

use crate::{
    client::Outcome,
    task::{BreakCause, End},
};
use medlarspur_lib::{bundle::Class, time::Millis};
use std::collections::BTreeMap;

/// The counts of one service and class.
#[derive(Debug, Default, Clone, serde::Serialize)]
pub struct Row {
    /// The pieces of work that were started.
    pub opened: u64,
    /// Those with the whole right answer, and feeds that the caller ended.
    pub completed: u64,
    /// Those reset, silent or cut short once established.
    pub broken: u64,
    /// Those turned away.
    pub refused: u64,
    /// Those whose opening nobody answered.
    pub unanswered: u64,
    /// Those with an answer that belongs to others.
    pub wrong: u64,
    /// Those that had not ended when the callers stopped.
    pub pending: u64,
    /// The median time to the answer in milliseconds.
    pub p50: u64,
    /// The time within which 99 of 100 had their answer.
    pub p99: u64,
    /// How much work each target answered.
    pub targets: BTreeMap<String, u64>,
    /// The work of the fullest target over the mean of those that answered.
    pub imbalance: f64,
    /// The ids of the work that was turned away, to look for among the runs.
    pub turned: Vec<String>,
    /// Each piece of work that broke.
    pub breaks: Vec<Break>,
    #[serde(skip)]
    latencies: Vec<u64>,
}

/// One piece of work that broke.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Break {
    /// The id of the work.
    pub id: String,
    /// The target that answered, if one did.
    pub target: Option<String>,
    /// How it broke.
    pub cause: BreakCause,
    /// When, in milliseconds since the callers started.
    pub at: Millis,
}

/// All rows, by service and class.
#[derive(Debug, Default, Clone, serde::Serialize)]
pub struct Report {
    /// The rows, by service and class in the spelling of the bundle.
    pub rows: BTreeMap<String, BTreeMap<String, Row>>,
}

impl Report {
    /// Counts a start.
    pub fn record_start(&mut self, service: &str, class: Class) {
        self.row(service, class).opened += 1;
    }

    /// Counts an end.
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

    /// The report with its percentiles and imbalance worked out.
    pub fn with_totals(&self) -> Self {
        let mut report = self.clone();
        report.rows.values_mut().flat_map(BTreeMap::values_mut).for_each(Row::compute_totals);
        report
    }

    /// Every row with its service and class.
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
        let at = |percent: usize| {
            let ix = (self.latencies.len() * percent / 100).min(self.latencies.len().max(1) - 1);
            self.latencies.get(ix).copied().unwrap_or(0)
        };
        (self.p50, self.p99) = (at(50), at(99));
        let most = self.targets.values().max().copied().unwrap_or(0);
        let all = self.targets.values().sum::<u64>();
        self.imbalance = most as f64 * self.targets.len() as f64 / all.max(1) as f64;
    }
}
