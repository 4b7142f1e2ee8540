//! Exports the counters of the packet path.
//!
//! The packet thread counts in plain integers of its own and publishes copies. A scrape
//! reads the copies, so other threads can't slow down counting.

use super::{Family, Meters};
use medlarspur_lib::{forwarder::Counters, packet::PacketError, question::QuestionError};
use std::sync::Arc;

/// Family and label of a series, and the function that reads its value.
type Series = (Family, &'static str, fn(&Counters) -> u64);

const SERIES: [Series; 20] = [
    (Family::Packets, "received", |counters| counters.packets),
    (Family::Packets, "forwarded", |counters| counters.forwarded),
    (Family::Packets, "known", |counters| counters.hits),
    (Family::Packets, "unknown", |counters| counters.misses),
    (Family::Flows, "opened", |counters| counters.opened),
    (Family::Flows, "refused", |counters| counters.refused),
    (Family::Flows, "expired", |counters| counters.expired),
    (Family::Drops, "no-bundle", |counters| counters.no_bundle),
    (Family::Drops, "no-service", |counters| counters.no_service),
    (Family::Drops, "no-target", |counters| counters.no_target),
    (Family::Drops, "crossed", |counters| counters.crossed),
    (Family::Drops, "syn-with-data", |counters| counters.syn_with_data),
    (Family::Drops, "after-sleep", |counters| counters.after_sleep),
    (Family::Drops, "overflow", |counters| counters.overflow),
    (Family::Pauses, "healed", |counters| counters.healed),
    (Family::Questions, "asked", |counters| counters.asked),
    (Family::Questions, "found", |counters| counters.found),
    (Family::Questions, "denied", |counters| counters.denied),
    (Family::Questions, "guessed", |counters| counters.guessed),
    (Family::Questions, "answered", |counters| counters.questions),
];

impl Meters {
    /// Exports the counters of the packet path. Each scrape calls `read` for them.
    pub fn observe_forwarder(&self, read: impl Fn() -> Arc<Counters> + Send + Sync + 'static) {
        let read = Arc::new(read);
        for (family, label, value) in SERIES {
            let read = read.clone();
            self.observe_counter(family, label, move || value(&read()));
        }
        for error in PacketError::ALL {
            let read = read.clone();
            self.observe_counter(Family::Drops, error.label(), move || {
                read().malformed[error as usize]
            });
        }
        for error in QuestionError::ALL {
            let read = read.clone();
            self.observe_counter(Family::Drops, question_error_label(error), move || {
                read().refused_datagrams[error as usize]
            });
        }
        let (adverts, sleeps) = (read.clone(), read);
        self.observe_counter(Family::Messages, "advert-taken", move || adverts().adverts);
        self.observe_counter(Family::Pauses, "slept", move || sleeps().slept);
    }
}

/// Returns the drop reason of a refused datagram from a peer. It differs from the reasons
/// for packets of callers.
fn question_error_label(error: QuestionError) -> &'static str {
    match error {
        QuestionError::Length => "question-length",
        QuestionError::Checksum => "question-checksum",
        QuestionError::Kind => "question-kind",
    }
}
