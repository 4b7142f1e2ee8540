//! Decisions and changes of state that are written to the log.

use crate::{
    FlowKey, Incarnation, Mark, ProbeResult, Refusal, Restored, Revision, Start, Unroutable,
};
use medlarspur_lib::{
    bundle::Class,
    ids::{DomainName, TargetName, Version},
    time::Millis,
};
use medlarspur_load::{
    choice::Tier,
    outlier::{Evidence, Readmission},
    priority::Level,
};
use std::fmt;

/// One decision or change of state, with what led to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// A target was chosen for a new flow.
    Opened {
        /// Key of the flow.
        flow: FlowKey,
        /// The chosen target.
        target: Incarnation,
        /// The class of the requests inside.
        class: Class,
        /// Rank of the target among the candidates.
        tier: Tier,
        /// Requests and openings in flight at the target, as seen by this instance.
        work: u32,
        /// Number of targets that could take the flow.
        candidates: usize,
        /// Time since the opening packet arrived.
        waited: Millis,
    },
    /// A new flow is held until its service has capacity.
    Held {
        /// Key of the flow.
        flow: FlowKey,
        /// The class of the requests inside.
        class: Class,
        /// Level of the flow at the service.
        level: Level,
        /// Requests and openings in flight at the service, as seen by this instance.
        work: u32,
        /// Answer time of the service in hundredths of the latency objective.
        pressure: u32,
        /// Number of flows already held for the service.
        waiting: usize,
    },
    /// A flow whose handshake had not ended was moved to another target.
    Moved {
        /// Key of the flow.
        flow: FlowKey,
        /// The target that did not answer.
        from: Incarnation,
    },
    /// A flow was reset.
    Reset {
        /// Key of the flow.
        flow: FlowKey,
        /// Reason of the reset.
        refusal: Refusal,
        /// The flow's target, if it had one.
        target: Option<Incarnation>,
        /// Time for which that target has been lost.
        lost: Option<Millis>,
        /// Level of a flow that was refused because its service was busy.
        level: Option<Level>,
    },
    /// A packet in mid-flow was dropped.
    Dropped {
        /// Key of the packet's flow.
        flow: FlowKey,
        /// Reason of the drop.
        reason: Unroutable,
        /// The packet's mark, if it has one.
        mark: Option<Mark>,
    },
    /// An opening packet was dropped because its caller had sent another copy or given up.
    Superseded {
        /// Key of the packet's flow.
        flow: FlowKey,
        /// Time since the packet arrived.
        waited: Millis,
    },
    /// A target answered that it failed, or that it had no capacity.
    Failed {
        /// The target.
        target: Incarnation,
        /// Flow of the request.
        flow: FlowKey,
        /// Length of the answer in bytes.
        length: u32,
        /// Time from the request to the first byte of the answer.
        span: Millis,
    },
    /// A target did not answer a request in time.
    Unanswered {
        /// The target.
        target: Incarnation,
        /// Flow of the request.
        flow: FlowKey,
        /// Time since the request.
        waited: Millis,
    },
    /// A target is suspected and probed.
    Suspected {
        /// The suspected target.
        target: Incarnation,
        /// Flow whose packet was not answered.
        flow: FlowKey,
        /// Time for which that packet has been unanswered.
        silent: Millis,
    },
    /// A target was found not to answer.
    Lost {
        /// The lost target.
        target: Incarnation,
        /// Result of the probe.
        result: ProbeResult,
        /// Time since the target was last known to be alive.
        silent: Millis,
        /// Number of its flows here.
        flows: usize,
    },
    /// A target no longer accepts openings.
    Full {
        /// The full target.
        target: Incarnation,
        /// Time since it last accepted an opening.
        taken: Millis,
        /// Time since it was last known to be alive.
        silent: Millis,
        /// Number of its flows here.
        flows: usize,
    },
    /// A full target accepts openings again.
    Vacant {
        /// The target.
        target: Incarnation,
    },
    /// A target fails more requests than its peers and gets no new flows for a while.
    Excluded {
        /// The target.
        target: Incarnation,
        /// Time until a new flow may try it.
        pause: Millis,
        /// What led to the exclusion.
        evidence: Evidence,
        /// Number of its flows here, which go on.
        flows: u32,
    },
    /// An excluded target gets new flows again.
    Readmitted {
        /// The target.
        target: Incarnation,
        /// Duration of the exclusion.
        after: Millis,
        /// Reason of its end.
        cause: Readmission,
        /// What is known about the target.
        evidence: Evidence,
    },
    /// A lost target answers again.
    Regained {
        /// The target.
        target: Incarnation,
    },
    /// The entry of a target changed.
    Entry {
        /// The target.
        target: Incarnation,
        /// Name of the entry.
        name: TargetName,
        /// Start of the target by its own clock.
        start: Start,
        /// State of the entry.
        state: EntryState,
        /// Revision of the change.
        revision: Revision,
    },
    /// Operators evacuated a failure domain: its targets get no new flows.
    Evacuated {
        /// The evacuated domain.
        domain: DomainName,
        /// Revision of the change.
        revision: Revision,
        /// Number of targets listed in the domain.
        targets: usize,
    },
    /// Operators ended the evacuation of a failure domain.
    EvacuationEnded {
        /// The domain.
        domain: DomainName,
        /// Revision of the change, or of the snapshot in which the evacuation is no longer
        /// listed.
        revision: Revision,
        /// Number of targets listed in the domain.
        targets: usize,
    },
    /// This instance's failure domain is evacuated and partitioned from all others: its targets
    /// get new flows despite the evacuation.
    Stranded {
        /// Time since a target in another domain was last known to be alive.
        silent: Millis,
    },
    /// The failure domain is no longer partitioned, or no longer evacuated.
    Rejoined,
    /// The store came back from a copy.
    StoreRestored(Restored),
    /// A config came into force.
    Config {
        /// Version of the config.
        version: Version,
        /// Revision of the config.
        revision: Revision,
        /// Number of its routes.
        routes: usize,
    },
}

/// State of a target's entry. The log prints the variant names in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// The target takes new flows.
    Listed,
    /// The target keeps its flows and takes no new ones.
    Leaving,
    /// The entry is no longer listed.
    Removed,
    /// The entry names no usable target.
    Unusable,
    /// A later start under the same name is known.
    Replaced,
}

/// Kinds of notes. Each kind has its own limit on the number of log lines, so that many notes
/// of one kind can't displace those of another.
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
    /// [`Note::Dropped`] and [`Note::Superseded`].
    Dropped,
    /// [`Note::Suspected`].
    Suspected,
    /// [`Note::Failed`] and [`Note::Unanswered`].
    Outcome,
    /// [`Note::Lost`], [`Note::Regained`], [`Note::Full`], [`Note::Vacant`], [`Note::Excluded`]
    /// and [`Note::Readmitted`].
    Reach,
    /// [`Note::Entry`], [`Note::Config`], [`Note::Evacuated`], [`Note::EvacuationEnded`],
    /// [`Note::Stranded`], [`Note::Rejoined`] and [`Note::StoreRestored`].
    News,
}

impl NoteKind {
    /// All kinds, in the order of their values.
    pub const ALL: [NoteKind; 9] = [
        NoteKind::Opened,
        NoteKind::Held,
        NoteKind::Moved,
        NoteKind::Reset,
        NoteKind::Dropped,
        NoteKind::Suspected,
        NoteKind::Outcome,
        NoteKind::Reach,
        NoteKind::News,
    ];

    /// The name under which omitted lines of this kind are counted.
    pub fn name(self) -> &'static str {
        match self {
            NoteKind::Opened => "opened",
            NoteKind::Held => "held",
            NoteKind::Moved => "moved",
            NoteKind::Reset => "reset",
            NoteKind::Dropped => "dropped",
            NoteKind::Suspected => "doubted",
            NoteKind::Outcome => "outcomes",
            NoteKind::Reach => "reach",
            NoteKind::News => "news",
        }
    }
}

/// The fields of a log line, under the names listed in `docs/OPERATIONS.md`.
pub type Fields = Vec<(&'static str, String)>;

impl Note {
    /// The kind of the note.
    pub fn kind(&self) -> NoteKind {
        match self {
            Note::Opened { .. } => NoteKind::Opened,
            Note::Held { .. } => NoteKind::Held,
            Note::Moved { .. } => NoteKind::Moved,
            Note::Reset { .. } => NoteKind::Reset,
            Note::Dropped { .. } | Note::Superseded { .. } => NoteKind::Dropped,
            Note::Suspected { .. } => NoteKind::Suspected,
            Note::Failed { .. } | Note::Unanswered { .. } => NoteKind::Outcome,
            Note::Lost { .. } | Note::Regained { .. } => NoteKind::Reach,
            Note::Full { .. } | Note::Vacant { .. } => NoteKind::Reach,
            Note::Excluded { .. } | Note::Readmitted { .. } => NoteKind::Reach,
            Note::Entry { .. } | Note::Config { .. } => NoteKind::News,
            Note::Evacuated { .. } | Note::EvacuationEnded { .. } => NoteKind::News,
            Note::Stranded { .. } | Note::Rejoined | Note::StoreRestored(_) => NoteKind::News,
        }
    }

    /// The event with which the log line begins.
    pub fn event(&self) -> &'static str {
        match self {
            Note::Opened { .. } => "flow opened",
            Note::Held { .. } => "flow held",
            Note::Moved { .. } => "flow moved",
            Note::Reset { .. } => "flow reset",
            Note::Dropped { .. } | Note::Superseded { .. } => "packet dropped",
            Note::Suspected { .. } => "target doubted",
            Note::Failed { .. } => "request failed",
            Note::Unanswered { .. } => "request unanswered",
            Note::Lost { .. } => "target lost",
            Note::Regained { .. } => "target regained",
            Note::Full { .. } => "target full",
            Note::Vacant { .. } => "target vacant",
            Note::Excluded { .. } => "target excluded",
            Note::Readmitted { .. } => "target readmitted",
            Note::Entry { .. } => "target entry",
            Note::Evacuated { .. } => "domain evacuated",
            Note::EvacuationEnded { .. } => "domain restored",
            Note::Stranded { .. } => "domain stranded",
            Note::Rejoined => "domain rejoined",
            Note::StoreRestored(_) => "platform restored",
            Note::Config { .. } => "config in force",
        }
    }

    /// The fields of the log line; `name` returns the name of a target.
    pub fn fields(&self, name: impl Fn(Incarnation) -> String) -> Fields {
        match self {
            Note::Opened { flow, target, class, tier, work, candidates, waited } => vec![
                ("flow", flow.to_string()),
                ("target", name(*target)),
                ("class", lower(class)),
                ("tier", lower(tier)),
                ("work", work.to_string()),
                ("candidates", candidates.to_string()),
                ("waited_ms", waited.to_string()),
            ],
            Note::Held { flow, class, level, work, pressure, waiting } => vec![
                ("flow", flow.to_string()),
                ("class", lower(class)),
                ("level", level.rank().to_string()),
                ("work", work.to_string()),
                ("pressure", pressure.to_string()),
                ("waiting", waiting.to_string()),
            ],
            Note::Moved { flow, from } => {
                vec![("flow", flow.to_string()), ("from", name(*from))]
            }
            Note::Reset { flow, refusal, target, lost, level } => {
                let mut fields = vec![("flow", flow.to_string()), ("reason", lower(refusal))];
                fields.extend(target.map(|it| ("target", name(it))));
                fields.extend(lost.map(|it| ("lost_ms", it.to_string())));
                fields.extend(level.map(|it| ("level", it.rank().to_string())));
                fields
            }
            Note::Dropped { flow, reason, mark } => {
                let mut fields = vec![("flow", flow.to_string()), ("reason", lower(reason))];
                fields.extend(mark.map(|it| ("mark", format!("{:08x}", it.to_wire()))));
                fields
            }
            Note::Superseded { flow, waited } => vec![
                ("flow", flow.to_string()),
                ("reason", "superseded".to_owned()),
                ("waited_ms", waited.to_string()),
            ],
            Note::Suspected { target, flow, silent } => vec![
                ("target", name(*target)),
                ("silent_ms", silent.to_string()),
                ("flow", flow.to_string()),
            ],
            Note::Failed { target, flow, length, span } => vec![
                ("target", name(*target)),
                ("length", length.to_string()),
                ("answered_ms", span.to_string()),
                ("flow", flow.to_string()),
            ],
            Note::Unanswered { target, flow, waited } => vec![
                ("target", name(*target)),
                ("waited_ms", waited.to_string()),
                ("flow", flow.to_string()),
            ],
            Note::Lost { target, result, silent, flows } => vec![
                ("target", name(*target)),
                ("finding", lower(result)),
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
            Note::Excluded { target, pause, evidence, flows } => {
                let mut fields = vec![("target", name(*target)), ("pause_ms", pause.to_string())];
                fields.extend(evidence_fields(evidence));
                fields.push(("flows", flows.to_string()));
                fields
            }
            Note::Readmitted { target, after, cause, evidence } => {
                let mut fields = vec![
                    ("target", name(*target)),
                    ("reason", lower(cause)),
                    ("after_ms", after.to_string()),
                ];
                fields.extend(evidence_fields(evidence));
                fields
            }
            Note::Entry { target, start, state, revision, .. } => vec![
                ("target", name(*target)),
                ("start", start.0.to_string()),
                ("state", lower(state)),
                ("revision", revision.to_string()),
            ],
            Note::Evacuated { domain, revision, targets }
            | Note::EvacuationEnded { domain, revision, targets } => vec![
                ("domain", domain.to_string()),
                ("revision", revision.to_string()),
                ("targets", targets.to_string()),
            ],
            Note::Stranded { silent } => vec![("silent_ms", silent.to_string())],
            Note::Rejoined => Vec::new(),
            Note::StoreRestored(it) => vec![
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

/// Recent outcomes at a target, as served and bad ones with a slash between.
fn evidence_fields(evidence: &Evidence) -> [(&'static str, String); 3] {
    [
        ("own", evidence.own.to_string()),
        ("others", evidence.others.to_string()),
        ("reporters", evidence.reporters.to_string()),
    ]
}

/// Returns the name of a value in log lines: `NoRoute` becomes `no-route`.
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
