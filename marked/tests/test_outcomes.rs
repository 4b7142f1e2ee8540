//! Tests how the outcomes of requests are told from the packets of their callers.

use crate::fixtures::*;
use medlarspur_lib::{collections::Map, ids::DomainName, settings::Capabilities};
use medlarspur_load::outcome::Outcome;
use medlarspur_marked::{
    Content, FlowKey, Forwarder, ForwarderOptions, Incarnation, Kind, Note, Scope, Span,
};

/// Length of an answer by which a target fails or rejects a request.
const FAILURE: u32 = 213;
/// Length of a full answer.
const FULL: u32 = 840;

/// An instance with one target, whose requests have a latency objective of 250 ms.
fn instance(capabilities: Capabilities) -> Instance {
    let options = ForwarderOptions {
        domain: DomainName::new("north"),
        regions: Map::default(),
        capabilities,
        seed: 7,
    };
    let mut instance = Instance { forwarder: Forwarder::new(options), out: Decisions::default() };
    let mut config = config(1);
    config.routes.iter_mut().for_each(|route| route.objective = Some(millis(250)));
    let changes =
        vec![change(1, Content::Config(config)), change(2, Content::Target(target(1, "desk")))];
    instance.learn(update(100, Scope::Snapshot, changes), 0);
    instance.out = Decisions::default();
    instance
}

fn classifying() -> Instance {
    instance(Capabilities { health: true, pressure: false })
}

/// A flow with a target, and the numbers of its next request.
#[derive(Clone, Copy)]
struct Caller {
    key: FlowKey,
    target: Incarnation,
    seq: u32,
    ack: u32,
}

impl Caller {
    /// Opens a flow.
    fn connect(it: &mut Instance, number: u16, now: u64) -> Caller {
        let key = flow(number, REQUEST);
        let target = it.establish(key, now);
        Caller { key, target, seq: 1001, ack: 500 }
    }

    /// Sends a request of 100 bytes.
    fn request(&mut self, it: &mut Instance, now: u64) {
        it.packet(middle(self.key, self.target, self.seq, self.ack, 100), now);
        self.seq += 100;
    }

    /// Acknowledges `count` more bytes of the answer.
    fn acknowledge(&mut self, it: &mut Instance, count: u32, now: u64) {
        self.ack += count;
        it.packet(middle(self.key, self.target, self.seq, self.ack, 0), now);
    }
}

/// A classifying instance that has learnt from full answers on one flow, which ended before
/// 10 s.
fn learnt() -> Instance {
    let mut it = classifying();
    let mut caller = Caller::connect(&mut it, 1, 0);
    for nth in 0..80 {
        caller.request(&mut it, 100 + nth * 100);
        caller.acknowledge(&mut it, FULL, 120 + nth * 100);
    }
    let mut end = middle(caller.key, caller.target, caller.seq, caller.ack, 0);
    end.kind = Kind::Abort;
    it.packet(end, 9_000);
    it.tick(9_900);
    it.out = Decisions::default();
    it
}

/// Number of requests with an outcome.
fn count(it: &Instance, outcome: Outcome) -> u64 {
    it.forwarder.counts().requests[outcome as usize]
}

fn answer_times(it: &Instance) -> Vec<u64> {
    let times = it.out.spans.iter().filter_map(|(_, _, span)| match span {
        Span::Answer(span) => Some(span.0),
        _ => None,
    });
    times.collect()
}

/// Guards against targets that look fast because they fail: their answers must not enter the
/// answer times.
#[test]
fn a_short_answer_counts_as_failed_and_not_as_fast() {
    let mut it = learnt();
    let mut caller = Caller::connect(&mut it, 2, 10_000);
    caller.request(&mut it, 10_100);
    caller.acknowledge(&mut it, FAILURE, 10_105);

    it.tick(10_300);
    assert_eq!(count(&it, Outcome::Failed), 0, "more of the answer may follow");
    it.tick(10_450);

    assert_eq!(count(&it, Outcome::Failed), 1);
    assert_eq!(answer_times(&it), []);
    let Some(Note::Failed { target, length, span, .. }) = it.out.notes.last() else {
        panic!("no note of the failure");
    };
    assert_eq!((*target, *length, *span), (caller.target, FAILURE, millis(5)));
}

/// Guards against served answers that count late, or with the time of their last byte.
#[test]
fn a_long_answer_is_served_at_once_with_the_time_of_its_first_byte() {
    let mut it = learnt();
    let before = count(&it, Outcome::Served);
    let mut caller = Caller::connect(&mut it, 2, 10_000);
    caller.request(&mut it, 10_100);
    caller.acknowledge(&mut it, 200, 10_120);
    assert_eq!(answer_times(&it), []);

    caller.acknowledge(&mut it, FULL - 200, 10_140);

    assert_eq!(answer_times(&it), [20]);
    assert_eq!(count(&it, Outcome::Served), before + 1);
}

/// Guards against hanging targets that are never noticed because nothing of them is seen.
#[test]
fn a_request_without_an_answer_counts_as_unanswered_once() {
    let mut it = learnt();
    let mut caller = Caller::connect(&mut it, 2, 10_000);
    caller.request(&mut it, 10_100);

    (10_150..12_000).step_by(50).for_each(|now| it.tick(now));

    assert_eq!(count(&it, Outcome::Unanswered), 1);
    let Some(Note::Unanswered { target, waited, .. }) = it.out.notes.last() else {
        panic!("no note of the request");
    };
    assert_eq!((*target, *waited), (caller.target, millis(500)));
    // A late answer is slow, and the limit must learn of it.
    caller.acknowledge(&mut it, FULL, 12_100);
    assert_eq!(answer_times(&it), [2_000]);
    assert_eq!(count(&it, Outcome::Unanswered), 1);
}

/// Guards against requests that seem unanswered because this process did not run while their
/// answers arrived.
#[test]
fn a_late_check_says_nothing_about_a_request() {
    let mut it = learnt();
    let mut caller = Caller::connect(&mut it, 2, 10_000);
    caller.request(&mut it, 10_100);

    it.tick(13_000);
    caller.acknowledge(&mut it, FULL, 13_001);
    it.tick(13_500);

    assert_eq!(count(&it, Outcome::Unanswered), 0);
}

/// Guards against a changed behaviour where no capability calls for outcomes.
#[test]
fn without_a_capability_each_answer_counts_at_its_first_byte() {
    let mut it = instance(Capabilities::default());
    let mut caller = Caller::connect(&mut it, 2, 10_000);
    for nth in 0..50 {
        caller.request(&mut it, 10_100 + nth * 100);
        caller.acknowledge(&mut it, FAILURE, 10_105 + nth * 100);
        caller.acknowledge(&mut it, 10, 10_110 + nth * 100);
    }
    caller.request(&mut it, 20_000);

    assert_eq!(it.forwarder.deadline(), None);
    it.tick(25_000);

    assert_eq!(answer_times(&it), [5; 50]);
    assert_eq!(it.forwarder.counts().requests, [0; 4]);
}
