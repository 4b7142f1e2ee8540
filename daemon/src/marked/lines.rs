//! Writes down decisions, in a bounded number.

use medlarspur_lib::time::Millis;
use medlarspur_load::lines::{Budget, Verdict};
use medlarspur_marked::{Note, NoteKind, Revision};
use std::fmt;

/// The log target of lines on decisions; `docs/OPERATIONS.md` lists their fields.
const TARGET: &str = "decision";

/// What the instance knew when it decided.
#[derive(Debug, Clone, Copy)]
pub struct Picture {
    /// Up to which revision it knew all changes.
    pub revision: Revision,
    /// How long ago that was confirmed, if it ever was.
    pub age: Option<Millis>,
}

/// The budgets of all kinds of lines.
#[derive(Debug)]
pub struct Lines {
    budgets: [Budget; NoteKind::ALL.len()],
}

impl Lines {
    /// Full budgets.
    pub fn new(now: Millis) -> Lines {
        Lines { budgets: [Budget::new(now); NoteKind::ALL.len()] }
    }

    /// Writes a note, if its kind's budget has room.
    pub fn write(&mut self, note: &Note, picture: Picture, now: Millis) {
        let kind = note.kind();
        let Verdict::Write { left_out } = self.budgets[kind as usize].take(now) else { return };
        if left_out > 0 {
            log::warn!(target: TARGET, kind = kind.name(), count = left_out; "lines left out");
        }
        let mut fields = note.fields();
        fields.push(("known", picture.revision.0.to_string()));
        fields.extend(picture.age.map(|age| ("age_ms", age.to_string())));
        log(note.event(), &fields);
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
