//! Passes on how requests end to the decisions that depend on it.

use super::{Forwarder, Output, Span, waiting};
use crate::{FlowKey, Incarnation};
use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_load::outcome::Outcome;

/// The end of a request, or the first answer to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestEnd {
    /// The flow of the request.
    pub(super) key: FlowKey,
    /// The target that worked on it.
    pub(super) target: Incarnation,
    /// The class of the request.
    pub(super) class: Class,
    /// Time from the first data of the request to the first of the answer, or until now if
    /// there was none.
    pub(super) span: Millis,
    /// How it ended.
    pub(super) outcome: Outcome,
}

impl Forwarder {
    /// Records the end of a request in the estimates and in the limit of its service.
    pub(super) fn record_outcome(&mut self, end: RequestEnd, now: Millis, out: &mut impl Output) {
        let Some(entry) = self.catalog.entry(end.target) else { return };
        let service = entry.target.service.clone();
        out.measure(&service, end.class, Span::Answer(end.span));
        let level = self.level(&service, end.class, &end.key);
        self.estimates.add_answer(&service, level, end.span);
        let objective = self.catalog.route(end.key.service).and_then(waiting::objective);
        if let Some(objective) = objective {
            self.record_answer(&service, objective, end.span, now);
        }
    }
}
