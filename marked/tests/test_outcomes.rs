//! Tests how the outcomes of requests are told from the packets of their callers.

use crate::fixtures::*;
use medlarspur_lib::{collections::Map, ids::DomainName, settings::Capabilities};
use medlarspur_load::{outcome::Outcome, random::Random};
use medlarspur_marked::{
    Content, FlowKey, Forwarder, ForwarderOptions, Incarnation, Note, Scope, Span,
};
use std::collections::VecDeque;

/// Length of a full answer.
const FULL: u32 = 840;

/// An instance with one target, whose requests have a latency objective of 250 ms.
fn instance(health: bool) -> Instance {
    let options = ForwarderOptions {
        domain: DomainName::new("north"),
        regions: Map::default(),
        capabilities: Capabilities { health, pressure: false },
        seed: 7,
    };
    let mut it = Instance { forwarder: Forwarder::new(options), out: Decisions::default() };
    let mut config = config(1);
    config.routes.iter_mut().for_each(|route| route.objective = Some(millis(250)));
    let target = Content::Target(target(1, "desk"));
    let changes = vec![change(1, Content::Config(config)), change(2, target)];
    it.learn(update(100, Scope::Snapshot, changes), 0);
    it
}

/// A flow with a target, and the numbers of its next request.
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
        Caller { key, target: it.establish(key, now), seq: 1001, ack: 500 }
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

/// An instance that has learnt the lengths of answers, and a caller with a request at 10,100 ms.
fn learnt() -> (Instance, Caller) {
    let mut it = instance(true);
    let mut caller = Caller::connect(&mut it, 1, 0);
    for nth in 0..80 {
        caller.request(&mut it, 100 + nth * 100);
        caller.acknowledge(&mut it, FULL, 120 + nth * 100);
    }
    it.tick(9_000);
    it.out = Decisions::default();
    caller.request(&mut it, 10_100);
    (it, caller)
}

/// Number of requests with an outcome.
fn count(it: &Instance, outcome: Outcome) -> u64 {
    it.forwarder.counts().requests[outcome as usize]
}

fn answer_times(it: &Instance) -> Vec<u64> {
    let time = |span: &Span| if let Span::Answer(span) = span { Some(span.0) } else { None };
    it.out.spans.iter().filter_map(|(_, _, span)| time(span)).collect()
}

/// Guards against targets that look fast because they fail.
#[test]
fn a_short_answer_counts_as_failed_and_not_as_fast() {
    let (mut it, mut caller) = learnt();
    caller.acknowledge(&mut it, 213, 10_105);
    it.tick(10_400);
    assert_eq!(count(&it, Outcome::Failed), 0, "more of the answer may follow");

    it.tick(10_450);

    let (target, flow) = (caller.target, caller.key);
    let note = Note::Failed { target, flow, length: 213, span: millis(5) };
    assert_eq!(it.out.notes, [note]);
    assert_eq!(count(&it, Outcome::Failed), 1);
    assert_eq!(answer_times(&it), []);
}

/// Guards against served answers that count late, or with the time of their last byte.
#[test]
fn a_long_answer_is_served_at_once_with_the_time_of_its_first_byte() {
    let (mut it, mut caller) = learnt();
    caller.acknowledge(&mut it, 200, 10_120);
    assert_eq!(answer_times(&it), []);

    caller.acknowledge(&mut it, FULL - 200, 10_140);

    assert_eq!(answer_times(&it), [20]);
}

/// Guards against hanging targets that go unnoticed because nothing of them is seen, and against
/// a limit that does not see slow answers.
#[test]
fn a_request_without_an_answer_counts_as_unanswered_once() {
    let (mut it, mut caller) = learnt();

    (10_150..12_000).step_by(50).for_each(|now| it.tick(now));
    caller.acknowledge(&mut it, FULL, 12_100);

    let (target, flow) = (caller.target, caller.key);
    assert_eq!(it.out.notes, [Note::Unanswered { target, flow, waited: millis(500) }]);
    assert_eq!(count(&it, Outcome::Unanswered), 1);
    assert_eq!(answer_times(&it), [2_000]);
}

/// Guards against requests that seem unanswered because this process did not run while their
/// answers arrived.
#[test]
fn a_late_check_says_nothing_about_a_request() {
    let (mut it, mut caller) = learnt();

    it.tick(13_000);
    caller.acknowledge(&mut it, FULL, 13_001);

    assert_eq!(count(&it, Outcome::Unanswered), 0);
}

/// Guards against a changed behaviour where no capability calls for outcomes.
#[test]
fn without_a_capability_each_answer_counts_at_its_first_byte() {
    let mut it = instance(false);
    let mut caller = Caller::connect(&mut it, 2, 10_000);
    for nth in 0..50 {
        caller.request(&mut it, 10_100 + nth * 100);
        caller.acknowledge(&mut it, 213, 10_105 + nth * 100);
    }
    caller.request(&mut it, 20_000);

    assert_eq!(it.forwarder.deadline(), None);
    assert_eq!(answer_times(&it), [5; 50]);
    assert_eq!(it.forwarder.counts().requests, [0; 4]);
}

/// Whether an event happens that happens to one packet in fifty.
fn is_rare(random: &mut Random) -> bool {
    random.draw().is_multiple_of(50)
}

/// Delay of a packet that is sent again after 200 ms, doubling, while it is lost.
fn resent(random: &mut Random) -> u64 {
    (0..6).take_while(|_| is_rare(random)).map(|nth| 200 << nth).sum()
}

/// Times and amounts of the acknowledgements of an answer, for every second packet and the last.
/// Some are lost, some repeated, and any is delayed by up to 4 ms.
fn acknowledgements(random: &mut Random, length: u32, start: u64) -> Vec<(u64, u32)> {
    let packets = length.div_ceil(1_200);
    let (mut received, mut events) = (start, Vec::new());
    for packet in 1..=packets {
        received = received.max(start + u64::from(packet) / 4 + resent(random));
        let is_last = packet == packets;
        let at = received + random.draw() % 5 + if is_last { resent(random) } else { 0 };
        let is_sent = packet % 2 == 0 && !is_rare(random);
        let copies = u32::from(is_sent || is_last) * (1 + u32::from(is_rare(random)));
        let acked = (packet * 1_200).min(length);
        events.extend((0..copies).map(|copy| (at + u64::from(copy) * 7, acked)));
    }
    events.sort_unstable();
    events
}

/// Number of served and of failed requests by outcome.
type Rates = [[u64; 4]; 2];

/// Plays 6,500 requests, of which every tenth after the first 500 fails. Their callers leave the
/// flow; other flows carry further requests after 20 ms or 2 s. Every fortieth request passes
/// through another instance, and of every fortieth half of the acknowledgements do.
fn measure(lengths: impl Fn(&mut Random) -> u32) -> Rates {
    let (mut it, mut random, mut now) = (instance(true), Random::new(5), 10_000);
    let mut caller = Caller::connect(&mut it, 1_000, now);
    // Whether each request that has not ended fails, in order, and the requests that have ended.
    let (mut truths, mut ended, mut rates) = (VecDeque::new(), [0; 4], Rates::default());
    let mut compare = |it: &Instance, truths: &mut VecDeque<bool>| {
        for (outcome, count) in it.forwarder.counts().requests.into_iter().enumerate() {
            for _ in ended[outcome]..count {
                let fails = truths.pop_front().expect("each request ends once");
                rates[usize::from(fails)][outcome] += 1;
            }
            ended[outcome] = count;
        }
    };
    for number in 1_001..7_501 {
        let fails = number > 1_500 && random.draw().is_multiple_of(10);
        let length = if fails { 213 + (random.draw() % 2) as u32 } else { lengths(&mut random) };
        let route = random.draw() % 40;
        let mut events = acknowledgements(&mut random, length, now + 20);
        match route {
            0 => caller.seq += 100,
            _ => {
                caller.request(&mut it, now);
                compare(&it, &mut truths);
                truths.push_back(fails);
            }
        }
        events.retain(|_| route > 1 || route == 1 && random.draw().is_multiple_of(2));
        let leaves = fails || random.draw().is_multiple_of(20);
        // A caller that leaves waits until a request without an answer has ended here.
        let pause = [20, 2_000, 7_000][if leaves { 2 } else { (random.draw() % 2) as usize }];
        let end = events.last().map_or(now, |(at, _)| *at) + pause;
        let mut events = events.into_iter().peekable();
        for at in now..=end {
            while let Some((_, count)) = events.next_if(|(due, _)| *due == at) {
                let ack = caller.ack + count;
                it.packet(middle(caller.key, caller.target, caller.seq, ack, 0), at);
                compare(&it, &mut truths);
            }
            if at % 50 == 0 {
                it.tick(at);
                compare(&it, &mut truths);
            }
        }
        (now, caller.ack) = (end, caller.ack + length);
        if leaves {
            caller = Caller::connect(&mut it, number, now);
        }
    }
    rates
}

/// Guards against full answers that count as failures, and against failures that count as fast
/// answers, when packets are lost, repeated and reordered or pass elsewhere. Where lengths tell
/// nothing, it guards against a guess.
#[test]
fn outcomes_are_told_apart_despite_lost_repeated_and_reordered_packets() {
    let normal = |random: &mut Random| (0..12).map(|_| random.fraction()).sum::<f64>() - 6.0;
    let similar = measure(|random| 831 + (random.draw() % 28) as u32);
    let log_normal = measure(|random| 271 + (400.0 * normal(random).exp()) as u32);
    let short = measure(|random| 190 + (random.draw() % 50) as u32);
    let any = measure(|random| 60_000f64.powf(random.fraction()) as u32 + 1);

    println!("similar {similar:?}, log-normal {log_normal:?}, short {short:?}, any {any:?}");
    for [served, failed] in [similar, log_normal, short, any] {
        assert!(served[Outcome::Failed as usize] <= 5 && served[Outcome::Unanswered as usize] < 60);
        assert_eq!(failed[Outcome::Served as usize], 0);
    }
    for [served, failed] in [similar, log_normal] {
        assert!(served[Outcome::Served as usize] > 5_000, "{served:?}");
        assert!(failed[Outcome::Failed as usize] > 500, "{failed:?}");
        assert!(failed[Outcome::Unknown as usize] <= 5, "{failed:?}");
    }
}
