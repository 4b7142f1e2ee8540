//! What was decided or is believed anew, for whoever explains it afterwards.

use crate::{
    FlowKey, Incarnation, Mark, ProbeResult, Refusal, Restored, Revision, Start, Unroutable,
};
use medlarspur_lib::{
    bundle::Class,
    ids::{DomainName, TargetName, Version},
    time::Millis,
};
use medlarspur_load::choice::Tier;
use std::fmt;

/// One decision or change of belief with what decided it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// A new flow was given a target.
    Opened {
        /// The flow.
        flow: FlowKey,
        /// Its target.
        target: Incarnation,
        /// The class of the requests inside.
        class: Class,
        /// How good the target was among those that could take the flow.
        tier: Tier,
        /// Requests and openings under way there, as seen from here.
        work: u32,
        /// How many targets could take the flow.
        candidates: usize,
    },
    /// A new flow waits for room at its service.
    Held {
        /// The flow.
        flow: FlowKey,
        /// The class of the requests inside.
        class: Class,
        /// Requests and openings under way at the service, as seen from here.
        work: u32,
        /// How long answers take there, in hundredths of their goals.
        pressure: u32,
        /// How many flows wait for it already.
        waiting: usize,
    },
    /// A flow that was being opened goes to another target.
    Moved {
        /// The flow.
        flow: FlowKey,
        /// The target that does not answer.
        from: Incarnation,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Why.
        refusal: Refusal,
        /// Its target, if it had one.
        target: Option<Incarnation>,
        /// Since when that target does not answer.
        lost: Option<Millis>,
    },
    /// A packet in mid-flow went nowhere.
    Dropped {
        /// Its flow.
        flow: FlowKey,
        /// Why.
        reason: Unroutable,
        /// Its mark, if it has one.
        mark: Option<Mark>,
    },
    /// A target is asked whether it answers.
    Doubted {
        /// The target.
        target: Incarnation,
        /// The flow whose packet got no answer.
        flow: FlowKey,
        /// How long that packet has waited.
        silent: Millis,
    },
    /// A target does not answer any more.
    Lost {
        /// The target.
        target: Incarnation,
        /// What asking it brought.
        finding: ProbeResult,
        /// How long ago it last showed life.
        silent: Millis,
        /// How many flows it had here.
        flows: usize,
    },
    /// A target takes no openings any more.
    Full {
        /// The target.
        target: Incarnation,
        /// How long ago it last took an opening.
        taken: Millis,
        /// How long ago it last showed life.
        silent: Millis,
        /// How many flows it has here.
        flows: usize,
    },
    /// A full target takes openings again.
    Vacant {
        /// The target.
        target: Incarnation,
    },
    /// A lost target answers again.
    Regained {
        /// The target.
        target: Incarnation,
    },
    /// A target is listed, is about to leave, or was removed.
    Entry {
        /// The target.
        target: Incarnation,
        /// The name under which it is listed.
        name: TargetName,
        /// When it started, by its own clock.
        start: Start,
        /// What became of it.
        state: EntryState,
        /// The revision that says so.
        revision: Revision,
    },
    /// Operators have emptied a failure domain: its targets get no new flows.
    Evacuated {
        /// The failure domain.
        domain: DomainName,
        /// The revision that says so.
        revision: Revision,
        /// How many targets are listed there.
        targets: usize,
    },
    /// Operators have taken that back.
    Restored {
        /// The failure domain.
        domain: DomainName,
        /// The revision that says so, or up to which no evacuation is listed any more.
        revision: Revision,
        /// How many targets are listed there.
        targets: usize,
    },
    /// This instance's failure domain is evacuated and cut off from all others: its targets
    /// get new flows all the same.
    Stranded {
        /// How long ago a target elsewhere last showed life.
        silent: Millis,
    },
    /// That is over.
    Rejoined,
    /// The source came back from a copy.
    Era(Restored),
    /// A config is in force.
    Config {
        /// Its version.
        version: Version,
        /// Its revision.
        revision: Revision,
        /// How many routes it has.
        routes: usize,
    },
}

/// What became of a target's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// It takes new flows.
    Listed,
    /// It keeps its flows and takes no new ones.
    Leaving,
    /// It is not listed any more.
    Removed,
    /// Its entry names no target that could be used.
    Unusable,
    /// A later start under its name is known.
    Replaced,
}

/// The kinds of notes. Their number is bounded apart from each other, so that
/// many of one kind can't push out those of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NoteKind {
    /// [`Note::Opened`].
    Opened,
    /// [`Note::Held`].
    Held,
    /// [`Note::Moved`].
    Moved,
    /// [`Note::Reset`].
    Reset,
    /// [`Note::Dropped`].
    Dropped,
    /// [`Note::Doubted`].
    Doubted,
    /// [`Note::Lost`], [`Note::Regained`], [`Note::Full`] and [`Note::Vacant`].
    Reach,
    /// [`Note::Entry`], [`Note::Config`], [`Note::Evacuated`], [`Note::Restored`],
    /// [`Note::Stranded`], [`Note::Rejoined`] and [`Note::Era`].
    News,
}

impl NoteKind {
    /// All kinds, in the order of their values.
    pub const ALL: [NoteKind; 8] = [
        NoteKind::Opened,
        NoteKind::Held,
        NoteKind::Moved,
        NoteKind::Reset,
        NoteKind::Dropped,
        NoteKind::Doubted,
        NoteKind::Reach,
        NoteKind::News,
    ];

    /// The name under which lines that were left out are counted.
    pub fn name(self) -> &'static str {
        match self {
            NoteKind::Opened => "opened",
            NoteKind::Held => "held",
            NoteKind::Moved => "moved",
            NoteKind::Reset => "reset",
            NoteKind::Dropped => "dropped",
            NoteKind::Doubted => "doubted",
            NoteKind::Reach => "reach",
            NoteKind::News => "news",
        }
    }
}

/// The fields of a line, by the names that `docs/OPERATIONS.md` lists.
pub type Fields = Vec<(&'static str, String)>;

impl Note {
    /// Its kind.
    pub fn kind(&self) -> NoteKind {
        match self {
            Note::Opened { .. } => NoteKind::Opened,
            Note::Held { .. } => NoteKind::Held,
            Note::Moved { .. } => NoteKind::Moved,
            Note::Reset { .. } => NoteKind::Reset,
            Note::Dropped { .. } => NoteKind::Dropped,
            Note::Doubted { .. } => NoteKind::Doubted,
            Note::Lost { .. } | Note::Regained { .. } => NoteKind::Reach,
            Note::Full { .. } | Note::Vacant { .. } => NoteKind::Reach,
            Note::Entry { .. } | Note::Config { .. } => NoteKind::News,
            Note::Evacuated { .. } | Note::Restored { .. } => NoteKind::News,
            Note::Stranded { .. } | Note::Rejoined | Note::Era(_) => NoteKind::News,
        }
    }

    /// What happened, in the words that lines begin with.
    pub fn event(&self) -> &'static str {
        match self {
            Note::Opened { .. } => "flow opened",
            Note::Held { .. } => "flow held",
            Note::Moved { .. } => "flow moved",
            Note::Reset { .. } => "flow reset",
            Note::Dropped { .. } => "packet dropped",
            Note::Doubted { .. } => "target doubted",
            Note::Lost { .. } => "target lost",
            Note::Regained { .. } => "target regained",
            Note::Full { .. } => "target full",
            Note::Vacant { .. } => "target vacant",
            Note::Entry { .. } => "target entry",
            Note::Evacuated { .. } => "domain evacuated",
            Note::Restored { .. } => "domain restored",
            Note::Stranded { .. } => "domain stranded",
            Note::Rejoined => "domain rejoined",
            Note::Era(_) => "platform restored",
            Note::Config { .. } => "config in force",
        }
    }

    /// Its fields; `name` tells what a target is called in lines.
    pub fn fields(&self, name: impl Fn(Incarnation) -> String) -> Fields {
        match self {
            Note::Opened { flow, target, class, tier, work, candidates } => vec![
                ("flow", flow.to_string()),
                ("target", name(*target)),
                ("class", lower(class)),
                ("tier", lower(tier)),
                ("work", work.to_string()),
                ("candidates", candidates.to_string()),
            ],
            Note::Held { flow, class, work, pressure, waiting } => vec![
                ("flow", flow.to_string()),
                ("class", lower(class)),
                ("work", work.to_string()),
                ("pressure", pressure.to_string()),
                ("waiting", waiting.to_string()),
            ],
            Note::Moved { flow, from } => {
                vec![("flow", flow.to_string()), ("from", name(*from))]
            }
            Note::Reset { flow, refusal, target, lost } => {
                let mut fields = vec![("flow", flow.to_string()), ("reason", lower(refusal))];
                fields.extend(target.map(|it| ("target", name(it))));
                fields.extend(lost.map(|it| ("lost_ms", it.to_string())));
                fields
            }
            Note::Dropped { flow, reason, mark } => {
                let mut fields = vec![("flow", flow.to_string()), ("reason", lower(reason))];
                fields.extend(mark.map(|it| ("mark", format!("{:08x}", it.to_wire()))));
                fields
            }
            Note::Doubted { target, flow, silent } => vec![
                ("target", name(*target)),
                ("silent_ms", silent.to_string()),
                ("flow", flow.to_string()),
            ],
            Note::Lost { target, finding, silent, flows } => vec![
                ("target", name(*target)),
                ("finding", lower(finding)),
                ("silent_ms", silent.to_string()),
                ("flows", flows.to_string()),
            ],
            Note::Regained { target } | Note::Vacant { target } => {
                vec![("target", name(*target))]
            }
            Note::Full { target, taken, silent, flows } => vec![
                ("target", name(*target)),
                ("taken_ms", taken.to_string()),
                ("silent_ms", silent.to_string()),
                ("flows", flows.to_string()),
            ],
            Note::Entry { target, start, state, revision, .. } => vec![
                ("target", name(*target)),
                ("start", start.0.to_string()),
                ("state", lower(state)),
                ("revision", revision.to_string()),
            ],
            Note::Evacuated { domain, revision, targets }
            | Note::Restored { domain, revision, targets } => vec![
                ("domain", domain.to_string()),
                ("revision", revision.to_string()),
                ("targets", targets.to_string()),
            ],
            Note::Stranded { silent } => vec![("silent_ms", silent.to_string())],
            Note::Rejoined => Vec::new(),
            Note::Era(it) => vec![
                ("from", it.from.to_string()),
                ("to", it.to.to_string()),
                ("changed", it.changed.to_string()),
                ("unconfirmed", it.unconfirmed.to_string()),
            ],
            Note::Config { version, revision, routes } => vec![
                ("version", version.to_string()),
                ("revision", revision.to_string()),
                ("routes", routes.to_string()),
            ],
        }
    }
}

/// The name of a value in lines: `NoRoute` is `no-route`.
fn lower(value: &impl fmt::Debug) -> String {
    let mut name = String::new();
    for c in format!("{value:?}").chars() {
        if c.is_uppercase() && !name.is_empty() {
            name.push('-');
        }
        name.extend(c.to_lowercase());
    }
    name
}
