//! Questions, answers and adverts of peers.

use super::{Forwarder, Gate, Sink};
use crate::{
    bundle::Class,
    flows::{Certainty, Flow},
    message::Advert,
    question::{Answer, Datagram, LookupResult, Question, QuestionError},
    time::Millis,
};
use std::net::SocketAddrV4;

impl<G: Gate> Forwarder<G> {
    /// Handles a datagram from a peer.
    pub fn handle_datagram(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        datagram: Datagram,
        sink: &mut impl Sink,
    ) {
        match datagram {
            Datagram::Question(question) => self.answer_question(now, from, question, sink),
            Datagram::Answer(answer) => self.handle_answer(now, answer, sink),
        }
    }

    /// Counts a datagram that could not be decoded.
    pub fn count_refused_datagram(&mut self, error: QuestionError) {
        self.counters.refused_datagrams[error as usize] += 1;
    }

    fn answer_question(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        q: Question,
        sink: &mut impl Sink,
    ) {
        self.counters.questions += 1;
        // Without an answer, the peer would wait until its timeout.
        let result = match &self.view {
            Some(view) => self.keeper.look_up(view, &self.flows, &q, now),
            None => LookupResult::Unknown,
        };
        let answer = Answer { flow: q.flow, nonce: q.nonce, result };
        sink.send_to_peer(from, Datagram::Answer(answer));
    }

    /// Records the flows of a peer's advert; this instance is one of their
    /// keepers.
    pub fn handle_advert(&mut self, now: Millis, advert: &Advert) {
        let Some(view) = &self.view else { return };
        self.counters.adverts += 1;
        for (id, name) in &advert.flows {
            if let Some(target) = view.registry.find_by_name(&advert.service, name) {
                // The class matters only for flows that were admitted here.
                self.flows.record(*id, Flow::new(target, Certainty::Advertised, Class::Feed, now));
            }
        }
        self.keeper.record_advert(view, advert);
        self.keeper.record_progress(advert);
    }
}
