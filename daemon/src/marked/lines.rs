//! Rate-limited log of the forwarder's decisions.

use medlarspur_lib::{collections::Map, ids::TargetName, time::Millis};
use medlarspur_load::lines::{LineBudget, LineVerdict};
use medlarspur_marked::{Incarnation, Note, NoteKind, Revision};
use std::fmt;

/// Log target of decisions. `docs/OPERATIONS.md` lists the fields of their lines.
const TARGET: &str = "decision";

/// State of the catalog on which a decision is based.
#[derive(Debug, Clone, Copy)]
pub struct CatalogState {
    /// Revision up to which all changes are known.
    pub revision: Revision,
    /// Time since the catalog was last confirmed; none if it never was.
    pub age: Option<Millis>,
}

/// Maximum number of incarnations whose names are remembered: those of the largest supported
/// site, and as many that were replaced while they are remembered. At the limit all names are
/// forgotten, and lines identify a target by its number until its next update.
const MAX_NAMES: usize = 20_000;

/// Log of decisions, with a rate limit for each kind of line.
#[derive(Debug)]
pub struct DecisionLog {
    budgets: [LineBudget; NoteKind::ALL.len()],
    names: Map<Incarnation, TargetName>,
}

impl DecisionLog {
    /// Creates a log with full budgets.
    pub fn new(now: Millis) -> DecisionLog {
        DecisionLog { budgets: [LineBudget::new(now); NoteKind::ALL.len()], names: Map::default() }
    }

    /// Logs a note, unless the budget of its kind is exhausted.
    pub fn write(&mut self, note: &Note, state: CatalogState, now: Millis) {
        if let Note::Entry { target, name, .. } = note {
            self.remember_name(*target, name);
        }
        let kind = note.kind();
        let LineVerdict::Write { left_out } = self.budgets[kind as usize].take(now) else { return };
        if left_out > 0 {
            log::warn!(target: TARGET, kind = kind.name(), count = left_out; "lines left out");
        }
        let name = |target: Incarnation| {
            self.names.get(&target).map_or_else(|| target.to_string(), TargetName::to_string)
        };
        let mut fields = note.fields(name);
        fields.push(("known", state.revision.to_string()));
        fields.extend(state.age.map(|age| ("age_ms", age.to_string())));
        log(note.event(), &fields);
    }

    fn remember_name(&mut self, target: Incarnation, name: &TargetName) {
        if self.names.len() >= MAX_NAMES {
            self.names.clear();
        }
        self.names.insert(target, name.clone());
    }
}

fn log(event: impl fmt::Display, fields: &[(&'static str, String)]) {
    let fields: Vec<(&str, &str)> =
        fields.iter().map(|(name, value)| (*name, value.as_str())).collect();
    log::logger().log(
        &log::Record::builder()
            .level(log::Level::Info)
            .target(TARGET)
            .args(format_args!("{event}"))
            .key_values(&fields)
            .build(),
    );
}
