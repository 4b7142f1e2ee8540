//! What an instance learns from the answers that it hears.

use medlarspur_lib::{bundle::Class, collections::Map, ids::ServiceName, time::Millis};
use medlarspur_load::{estimate::Estimate, reserve::Mix};

/// How many handshakes in a row whose opening was sent again say nothing of how long
/// handshakes take. A few targets that are full at once make fewer.
const MAX_AMBIGUOUS: u32 = 8;

/// How long things take, and which part of the work is that of requests.
#[derive(Debug, Default)]
pub(super) struct Estimates {
    handshakes: Estimate,
    /// How many handshakes in a row may have been answers to either of two openings.
    ambiguous: u32,
    /// When the latest opening came that a target has answered.
    last_answered: Millis,
    services: Map<ServiceName, ServiceEstimates>,
}

#[derive(Debug, Default)]
struct ServiceEstimates {
    answers: Estimate,
    mix: Mix,
}

impl Estimates {
    /// Takes in the end of a handshake whose opening came at `since`. Where that was sent
    /// more than once, the answer may be to either, and a target that leaves the first
    /// unanswered would make all openings wait longer. Callers who are far make all of
    /// them so; then they count.
    pub(super) fn add_handshake(&mut self, since: Millis, is_resent: bool, now: Millis) {
        self.last_answered = self.last_answered.max(since);
        self.ambiguous = if is_resent { self.ambiguous + 1 } else { 0 };
        if !is_resent || self.ambiguous > MAX_AMBIGUOUS {
            self.handshakes.hear(now.since(since));
        }
    }

    /// Takes in that a service's answer to a class took that long.
    pub(super) fn add_answer(&mut self, service: &ServiceName, class: Class, span: Millis) {
        let service = self.services.entry(service.clone()).or_default();
        service.answers.hear(span);
        service.mix.hear(class, span);
    }

    /// Whether an opening was answered that came after that.
    pub(super) fn has_answered_since(&self, since: Millis) -> bool {
        self.last_answered > since
    }

    /// The longest handshake that is usual, once it is known.
    pub(super) fn longest_handshake(&self) -> Option<Millis> {
        self.handshakes.bound()
    }

    /// The longest time that answers of a service usually take, once it is known.
    pub(super) fn longest_answer(&self, service: &ServiceName) -> Option<Millis> {
        self.services.get(service)?.answers.bound()
    }

    /// Which part of the work of a service is that of requests.
    pub(super) fn mix(&self, service: &ServiceName) -> Mix {
        self.services.get(service).map(|service| service.mix).unwrap_or_default()
    }

    /// Forgets services that are gone.
    pub(super) fn retain(&mut self, is_there: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| is_there(service));
    }
}
