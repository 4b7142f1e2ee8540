//! Forwarding where the fabric returns a mark.
//!
//! Both ends of a flow send back the last mark that they received, so a packet
//! in mid-flow says by itself where it goes. Instances then need no agreement
//! on flows at all: no keepers, no questions, no plans. What remains is to
//! know the targets and the routes ([`Catalog`]), to pass on news of them
//! ([`Fleet`]), to choose the target of a new flow, and to notice targets that
//! no longer answer ([`Forwarder`]).
//!
//! Nothing here does I/O or reads a clock. The reasons are in
//! `docs/design/programs.md` and `docs/design/marks.md`.

mod catalog;
mod delta;
mod entry;
mod evacuation;
mod fleet;
mod flow;
mod forwarder;
mod health;
mod incarnation;
mod mark;
pub mod message;
mod note;
mod segment;
mod update;

pub use catalog::{Catalog, MergeOutcome, Restored};
pub use delta::Delta;
pub use entry::{Entry, Presence};
pub use fleet::{Fleet, Outgoing};
pub use flow::{Flow, Phase, Seen};
pub use forwarder::{Counts, Forwarder, Output, Refusal, Span, Tuning, Unroutable};
pub use health::{Health, ProbeResult};
pub use incarnation::{Incarnation, Start};
pub use mark::Mark;
pub use note::{EntryState, Fields, Note, NoteKind};
pub use segment::{FlowKey, Kind, Segment};
pub use update::{
    Change, Config, Content, FormerTarget, MAX_ERA_LEAD, MAX_SLOTS, Revision, Route, Scope,
    Service, Share, Target, Update, Warmup,
};
