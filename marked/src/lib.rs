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
mod news;
mod note;
mod segment;

pub use catalog::{Catalog, Changed, Restored};
pub use delta::Delta;
pub use entry::{Entry, Presence};
pub use fleet::{Fleet, Outgoing};
pub use flow::{Flow, Observation, Phase};
pub use forwarder::{Counts, Forwarder, ForwarderOptions, Output, Refusal, Span, Unroutable};
pub use health::{Finding, Health};
pub use incarnation::{Incarnation, Start};
pub use mark::Mark;
pub use news::{
    Change, Config, Content, Former, MAX_LEAP, MOST_SLOTS, News, Revision, Route, Scope, Service,
    Share, Target, Warmup,
};
pub use note::{EntryState, Fields, Note, NoteKind};
pub use segment::{FlowKey, Kind, Segment};
