//! Estimates derived from the answers that pass through this instance.

use medlarspur_lib::{collections::Map, ids::ServiceName, time::Millis};
use medlarspur_load::{estimate::Estimate, priority::Level, reserve::ElevatedShare};

/// Maximum number of ambiguous handshakes in a row that are left out of the estimate. A
/// handshake is ambiguous if its opening was sent more than once. A few targets that are full
/// at the same time cause fewer.
const MAX_AMBIGUOUS: u32 = 8;

/// Usual handshake and answer times, and the share of the higher levels in the work.
#[derive(Debug, Default)]
pub(super) struct Estimates {
    handshakes: Estimate,
    /// Number of handshakes in a row whose answer may be to either of two openings.
    ambiguous: u32,
    /// Arrival of the latest opening that a target has answered.
    last_answered: Millis,
    services: Map<ServiceName, ServiceEstimates>,
}

#[derive(Debug, Default)]
struct ServiceEstimates {
    answers: Estimate,
    elevated_share: ElevatedShare,
}

impl Estimates {
    /// Adds the handshake of an opening that arrived at `since`. If the opening was sent more
    /// than once, the answer may be to either copy, and one target that leaves the first copy
    /// unanswered would lengthen the timeout of all openings. Distant callers make all
    /// handshakes ambiguous; those count.
    pub(super) fn add_handshake(&mut self, since: Millis, is_resent: bool, now: Millis) {
        self.last_answered = self.last_answered.max(since);
        self.ambiguous = if is_resent { self.ambiguous + 1 } else { 0 };
        if !is_resent || self.ambiguous > MAX_AMBIGUOUS {
            self.handshakes.record(now.since(since));
        }
    }

    /// Adds the answer time of a request on a flow of a level.
    pub(super) fn add_answer(&mut self, service: &ServiceName, level: Level, span: Millis) {
        let service = self.services.entry(service.clone()).or_default();
        service.answers.record(span);
        service.elevated_share.record(level, span);
    }

    /// Whether an opening that arrived later than `since` was answered.
    pub(super) fn has_answered_since(&self, since: Millis) -> bool {
        self.last_answered > since
    }

    /// Upper bound of the usual handshake time, once known.
    pub(super) fn longest_handshake(&self) -> Option<Millis> {
        self.handshakes.upper_bound()
    }

    /// Upper bound of a service's usual answer time, once known.
    pub(super) fn longest_answer(&self, service: &ServiceName) -> Option<Millis> {
        self.services.get(service)?.answers.upper_bound()
    }

    /// Share of the levels above the lowest in the work of a service.
    pub(super) fn elevated_share(&self, service: &ServiceName) -> ElevatedShare {
        self.services.get(service).map(|service| service.elevated_share).unwrap_or_default()
    }

    /// Forgets that share, because the levels of a service's routes have changed.
    pub(super) fn reset_share(&mut self, service: &ServiceName) {
        if let Some(service) = self.services.get_mut(service) {
            service.elevated_share = ElevatedShare::default();
        }
    }

    /// Removes services that no longer exist.
    pub(super) fn retain(&mut self, has_targets: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| has_targets(service));
    }
}
