//! What an instance learns from the answers that it hears.

use medlarspur_lib::{bundle::Class, collections::Map, ids::ServiceName, time::Millis};
use medlarspur_load::{estimate::Estimate, reserve::RequestShare};

/// How many handshakes in a row whose opening was sent again say nothing of how long
/// handshakes take. A few targets that are full at once make fewer.
const MOST_AMBIGUOUS: u32 = 8;

/// How long things take, and which part of the work is that of requests.
#[derive(Debug, Default)]
pub(super) struct Heard {
    handshakes: Estimate,
    /// How many handshakes in a row may have been answers to either of two openings.
    ambiguous: u32,
    /// When the latest opening came that a target has answered.
    answered: Millis,
    services: Map<ServiceName, Service>,
}

#[derive(Debug, Default)]
struct Service {
    answers: Estimate,
    mix: RequestShare,
}

impl Heard {
    /// Takes in the end of a handshake whose opening came at `since`. Where that was sent
    /// more than once, the answer may be to either, and a target that leaves the first
    /// unanswered would make all openings wait longer. Callers who are far make all of
    /// them so; then they count.
    pub(super) fn handshake(&mut self, since: Millis, is_resent: bool, now: Millis) {
        self.answered = self.answered.max(since);
        self.ambiguous = if is_resent { self.ambiguous + 1 } else { 0 };
        if !is_resent || self.ambiguous > MOST_AMBIGUOUS {
            self.handshakes.record(now.since(since));
        }
    }

    /// Takes in that a service's answer to a class took that long.
    pub(super) fn answer(&mut self, service: &ServiceName, class: Class, span: Millis) {
        let service = self.services.entry(service.clone()).or_default();
        service.answers.record(span);
        service.mix.record(class, span);
    }

    /// Whether an opening was answered that came after that.
    pub(super) fn answered_since(&self, since: Millis) -> bool {
        self.answered > since
    }

    /// The longest handshake that is usual, once it is known.
    pub(super) fn longest_handshake(&self) -> Option<Millis> {
        self.handshakes.upper_bound()
    }

    /// The longest time that answers of a service usually take, once it is known.
    pub(super) fn longest_answer(&self, service: &ServiceName) -> Option<Millis> {
        self.services.get(service)?.answers.upper_bound()
    }

    /// Which part of the work of a service is that of requests.
    pub(super) fn mix(&self, service: &ServiceName) -> RequestShare {
        self.services.get(service).map(|service| service.mix).unwrap_or_default()
    }

    /// Forgets services that are gone.
    pub(super) fn retain(&mut self, is_there: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| is_there(service));
    }
}
