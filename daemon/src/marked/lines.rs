//! Writes down decisions, in a bounded number.

use medlarspur_lib::{collections::Map, ids::TargetName, time::Millis};
use medlarspur_load::lines::{Budget, Verdict};
use medlarspur_marked::{Incarnation, Note, NoteKind, Revision};
use std::fmt;

/// The log target of lines on decisions; `docs/OPERATIONS.md` lists their fields.
const TARGET: &str = "decision";

/// What the instance knew when it decided.
#[derive(Debug, Clone, Copy)]
pub struct CatalogState {
    /// Up to which revision it knew all changes.
    pub revision: Revision,
    /// How long ago that was confirmed, if it ever was.
    pub age: Option<Millis>,
}

/// How many starts of targets are remembered by name: those of the size aimed for, with
/// as many that were replaced within their memory. Beyond it all are forgotten, and
/// lines name a target by its number until news of it comes again.
const MAX_NAMES: usize = 20_000;

/// The budgets of all kinds of lines, and the names of targets.
#[derive(Debug)]
pub struct DecisionLog {
    budgets: [Budget; NoteKind::ALL.len()],
    names: Map<Incarnation, TargetName>,
}

impl DecisionLog {
    /// Full budgets.
    pub fn new(now: Millis) -> DecisionLog {
        DecisionLog { budgets: [Budget::new(now); NoteKind::ALL.len()], names: Map::default() }
    }

    /// Writes a note, if its kind's budget has room.
    pub fn write(&mut self, note: &Note, state: CatalogState, now: Millis) {
        if let Note::Entry { target, name, .. } = note {
            self.remember_name(*target, name);
        }
        let kind = note.kind();
        let Verdict::Write { left_out } = self.budgets[kind as usize].take(now) else { return };
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
