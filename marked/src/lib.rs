//! Forwarding for fabrics that echo marks.
//!
//! Both ends of a flow send back the last mark that they received, so every packet in mid-flow
//! names its own target. Instances therefore need no agreement about flows: no keepers, no
//! questions to peers, no plans. They only have to know the targets and routes ([`Catalog`]),
//! spread updates of them by gossip ([`Fleet`]), choose the target of a new flow, and detect
//! targets that no longer answer (both in [`Forwarder`]).
//!
//! Nothing in this crate does I/O or reads a clock. The design is explained in
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
mod last_copy;
mod mark;
pub mod message;
mod note;
mod segment;
mod update;

pub use catalog::{Catalog, MergeOutcome, Restored};
pub use delta::Delta;
pub use entry::{Entry, Presence};
pub use fleet::{Fleet, Outgoing};
pub use flow::{Flow, Observation, Phase, Verdict};
pub use forwarder::{
    Counts, FlowEvent, Forwarder, ForwarderOptions, Output, Refusal, Span, Unroutable,
};
pub use health::{Health, ProbeResult};
pub use incarnation::{Incarnation, Start};
pub use mark::Mark;
pub use medlarspur_load::priority::Priority;
pub use note::{EntryState, Fields, Note, NoteKind};
pub use segment::{FlowKey, Kind, Segment};
pub use update::{
    Change, Config, Content, FormerTarget, MAX_ERA_LEAD, MAX_SLOTS, Revision, Route, Scope,
    Service, Share, Target, Update, Warmup,
};
