//! Targets that have no room for another flow, and how they are told from dead ones.

use super::fixtures::{
    FEED, Instance, REQUEST, flow, incremental, middle, millis, segment, target,
};
use medlarspur_lib::status::TargetUse;
use medlarspur_marked::{Content, FlowKey, Incarnation, Kind, Note, ProbeResult, Refusal};

/// Two targets, of which the first has an open feed, and answers take 40 ms.
fn two() -> (Instance, FlowKey, Incarnation) {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    instance.record_answers(FEED, 20, 40);
    let key = flow(1, FEED);
    let at = instance.establish(key, 100);
    (instance, key, at)
}

fn silent(instance: &mut Instance, at: Incarnation, now: u64) {
    instance.forwarder.answer(at, ProbeResult::Silent, millis(now), &mut instance.out);
}

/// Opens flows until one goes to `at`.
fn open_at(
    instance: &mut Instance,
    at: Incarnation,
    numbers: std::ops::Range<u16>,
    now: u64,
) -> FlowKey {
    let mut keys = numbers.map(|number| flow(number, REQUEST));
    keys.find(|key| instance.open(*key, now) == at).expect("one goes there")
}

/// Opens flows until one goes elsewhere; answers it and its target.
fn open_other(
    instance: &mut Instance,
    at: Incarnation,
    numbers: std::ops::Range<u16>,
    now: u64,
) -> (FlowKey, Incarnation) {
    let mut keys = numbers.map(|number| flow(number, REQUEST));
    let mut opened = keys.by_ref().map(|key| (key, instance.open(key, now)));
    opened.find(|(_, to)| *to != at).expect("one goes elsewhere")
}

/// The target of a flow's record.
fn goes(instance: &Instance, key: FlowKey) -> Option<Incarnation> {
    let name = instance.forwarder.explain(&key, None, millis(0)).target?.name;
    instance.forwarder.catalog().latest(&name).map(|entry| entry.target.incarnation)
}

fn usage(instance: &Instance, at: Incarnation, now: u64) -> TargetUse {
    instance.usage(flow(9_999, FEED), at, now)
}

/// Guards against flows of a full target that are reset as if it were dead.
#[test]
fn a_target_that_answers_open_flows_and_no_openings_keeps_its_flows() {
    let (mut instance, feed, at) = two();
    let opening = open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.packet(middle(feed, at, 1001, 500, 100), 1_040);
    instance.packet(middle(feed, at, 1101, 700, 0), 1_090);

    silent(&mut instance, at, 1_330);

    assert!(instance.out.resets.is_empty());
    assert_ne!(instance.last_target(), at, "what was being opened went elsewhere");
    assert_eq!(usage(&instance, at, 1_340), TargetUse::Full);
    for number in 40..60 {
        assert_ne!(instance.open(flow(number, FEED), 1_340), at);
    }
    instance.packet(middle(feed, at, 1101, 700, 100), 1_400);
    assert_eq!(instance.last_target(), at);
    let told = |note: &Note| matches!(note, Note::Full { target, .. } if *target == at);
    assert_eq!(instance.out.notes.iter().filter(|note| told(note)).count(), 1);
    assert!(instance.forwarder.explain(&opening, None, millis(1_400)).target.is_some());
}

/// Guards against flows that are reset though nothing is asked on them.
#[test]
fn quiet_flows_of_a_silent_target_are_left_alone() {
    let (mut instance, _, at) = two();
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.establish(flow(90, REQUEST), 1_100);

    silent(&mut instance, at, 1_330);
    for now in (1_340..9_000).step_by(20) {
        instance.tick(now);
    }

    assert!(instance.out.resets.is_empty());
}

/// Guards against callers who wait at a dead target that could be taken for full.
#[test]
fn a_dead_target_is_left_by_its_open_flows_at_once() {
    let (mut instance, feed, at) = two();
    instance.packet(middle(feed, at, 1001, 500, 100), 1_000);
    open_at(&mut instance, at, 10..30, 1_010);
    instance.tick(1_040);
    instance.packet(middle(feed, at, 1001, 500, 100), 1_200);
    instance.establish(flow(90, REQUEST), 1_250);

    silent(&mut instance, at, 1_340);

    assert_eq!(instance.out.resets.len(), 1);
    assert_eq!(instance.out.resets[0].0, feed);
    assert_eq!(instance.out.resets[0].2, Refusal::TargetLost);
    assert_eq!(usage(&instance, at, 1_350), TargetUse::Lost);
}

/// Guards against quiet feeds of a dead target that each have to find it out.
#[test]
fn the_first_unanswered_feed_of_a_silent_target_frees_all() {
    let (mut instance, feed, at) = two();
    let other = flow(2, FEED);
    instance.packet(middle(other, at, 1001, 500, 0), 200);
    instance.packet(middle(other, at, 1001, 500, 100), 210);
    instance.packet(middle(other, at, 1101, 700, 0), 260);
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.establish(flow(90, REQUEST), 1_100);
    silent(&mut instance, at, 1_330);
    assert!(instance.out.resets.is_empty());

    instance.packet(middle(feed, at, 1001, 500, 100), 2_000);
    instance.packet(middle(feed, at, 1001, 500, 100), 2_200);
    instance.tick(2_249);
    assert!(instance.out.resets.is_empty());
    instance.tick(2_250);

    let mut reset: Vec<_> = instance.out.resets.iter().map(|(key, ..)| *key).collect();
    reset.sort();
    assert_eq!(reset, [feed, other]);
}

/// Guards against flows reset by an instance that started into a crowd and hears little.
#[test]
fn without_knowing_how_long_answers_take_it_waits_longer() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    let key = flow(1, FEED);
    let at = instance.establish(key, 0);
    instance.packet(middle(key, at, 1001, 500, 100), 100);
    instance.packet(middle(key, at, 1001, 500, 100), 300);
    instance.establish(flow(90, REQUEST), 400);

    silent(&mut instance, at, 600);

    assert!(instance.out.resets.is_empty());
    instance.tick(1_099);
    assert!(instance.out.resets.is_empty());
    instance.tick(1_100);
    assert_eq!(instance.out.resets.len(), 1);
}

/// Its entry went as well, which that of a full target doesn't.
#[test]
fn a_silent_target_whose_entry_went_is_lost() {
    let (mut instance, feed, at) = two();
    let name = instance.forwarder.catalog().entry(at).expect("known").target.name.clone();
    instance.learn(incremental(200, Content::Removed(name)), 1_000);
    instance.establish(flow(90, REQUEST), 1_100);

    silent(&mut instance, at, 1_300);

    assert_eq!(instance.out.resets.iter().map(|it| it.0).collect::<Vec<_>>(), [feed]);
}

/// Guards against callers who wait though all targets are known to be full.
#[test]
fn when_all_are_full_callers_are_refused_at_once() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let feed = flow(1, FEED);
    let at = instance.establish(feed, 0);
    let opening = flow(2, REQUEST);
    instance.open(opening, 1_000);
    instance.tick(1_030);
    instance.packet(middle(feed, at, 1001, 500, 100), 1_050);
    instance.packet(middle(feed, at, 1101, 700, 0), 1_100);

    silent(&mut instance, at, 1_330);
    instance.packet(segment(flow(3, REQUEST), Kind::Open), 1_340);

    let refused: Vec<_> = instance.out.resets.iter().map(|it| (it.0, it.2)).collect();
    assert_eq!(refused, [(opening, Refusal::Full), (flow(3, REQUEST), Refusal::Full)]);
}

/// Guards against a crowd of openings for the one place that became free.
#[test]
fn a_full_target_is_tried_by_one_opening_at_a_time() {
    let (mut instance, _, at) = two();
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.forwarder.answer(at, ProbeResult::Declines, millis(1_330), &mut instance.out);
    instance.out.probed.clear();
    instance.tick(1_830);
    assert!(instance.out.probed.contains(&at), "it is asked again after 500 ms");

    instance.forwarder.answer(at, ProbeResult::Answers, millis(1_835), &mut instance.out);
    let trial = open_at(&mut instance, at, 100..120, 1_840);
    for number in 120..140 {
        assert_ne!(instance.open(flow(number, FEED), 1_845), at, "one at a time");
    }
    instance.tick(1_870);
    instance.tick(1_931);

    assert_ne!(
        instance.forwarder.explain(&trial, None, millis(1_871)).target.map(|it| it.name),
        instance.forwarder.catalog().entry(at).map(|it| it.target.name.clone())
    );
    assert_eq!(usage(&instance, at, 1_871), TargetUse::Full);
    instance.out.probed.clear();
    instance.tick(2_900);
    assert!(!instance.out.probed.contains(&at), "the pause has doubled");
    instance.tick(2_931);
    assert!(instance.out.probed.contains(&at));
}

/// Guards against a place that stays empty until the next question.
#[test]
fn the_place_of_a_flow_that_ended_is_filled() {
    let (mut instance, feed, at) = two();
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.forwarder.answer(at, ProbeResult::Declines, millis(1_033), &mut instance.out);

    let mut end = middle(feed, at, 1001, 500, 0);
    end.kind = Kind::Close;
    instance.packet(end, 1_100);
    let next = open_at(&mut instance, at, 100..120, 1_110);
    instance.packet(middle(next, at, 1001, 500, 0), 1_118);

    for number in 120..140 {
        assert_ne!(instance.open(flow(number, FEED), 1_120), at, "one for one");
    }
}

/// Guards against feeds that take each place that a request leaves.
#[test]
fn what_a_request_leaves_is_kept_for_requests() {
    let (mut instance, _, at) = two();
    let request = open_at(&mut instance, at, 200..220, 500);
    instance.packet(middle(request, at, 1001, 500, 100), 508);
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.forwarder.answer(at, ProbeResult::Declines, millis(1_033), &mut instance.out);
    let mut end = middle(request, at, 1101, 700, 0);
    end.kind = Kind::Close;
    instance.packet(end, 1_100);

    for number in 100..120 {
        assert_ne!(instance.open(flow(number, FEED), 1_110), at);
    }
    open_at(&mut instance, at, 120..140, 1_120);
}

#[test]
fn a_target_that_takes_openings_again_is_free() {
    let (mut instance, _, at) = two();
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.forwarder.answer(at, ProbeResult::Declines, millis(1_330), &mut instance.out);
    instance.forwarder.answer(at, ProbeResult::Answers, millis(1_835), &mut instance.out);

    for round in 0..8 {
        assert_eq!(usage(&instance, at, 1_840), TargetUse::Full);
        let key = open_at(&mut instance, at, 100 + round * 50..150 + round * 50, 1_840);
        instance.packet(middle(key, at, 1001, 500, 0), 1_850);
    }

    assert_eq!(usage(&instance, at, 1_860), TargetUse::Good);
    let told = |note: &Note| matches!(note, Note::Vacant { target } if *target == at);
    assert_eq!(instance.out.notes.iter().filter(|note| told(note)).count(), 1);
    assert_eq!(instance.forwarder.count_full(), 0);
}

/// Guards against a lost target that stays out of use after its entry has come back.
#[test]
fn a_lost_target_that_is_listed_again_is_asked() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let it = target(1, "desk");
    let at = it.incarnation;
    instance.forwarder.answer(at, ProbeResult::Gone, millis(1_000), &mut instance.out);
    instance.learn(incremental(200, Content::Removed(it.name.clone())), 1_100);
    instance.tick(3_000);
    instance.out.probed.clear();

    instance.learn(incremental(201, Content::Target(it)), 4_000);
    instance.tick(4_500);

    assert_eq!(instance.out.probed, [at]);
    instance.forwarder.answer(at, ProbeResult::Answers, millis(4_510), &mut instance.out);
    assert_eq!(instance.open(flow(5, FEED), 4_520), at);
}

/// Guards against a target that all instances ask in the moment when a cut ends.
#[test]
fn instances_ask_a_target_that_is_listed_again_one_after_the_other() {
    let it = target(1, "desk");
    let at = it.incarnation;
    let mut instances: Vec<Instance> =
        (0..160).map(|seed| Instance::with_seed(std::slice::from_ref(&it), seed)).collect();
    for instance in &mut instances {
        instance.forwarder.answer(at, ProbeResult::Gone, millis(1_000), &mut instance.out);
        instance.learn(incremental(200, Content::Removed(it.name.clone())), 1_100);
        instance.tick(3_000);
        instance.out.probed.clear();
        instance.learn(incremental(201, Content::Target(it.clone())), 4_000);
    }

    let mut most = 0;
    for now in (4_000..=4_500).step_by(10) {
        let mut asked = 0;
        for instance in &mut instances {
            instance.tick(now);
            asked += instance.out.probed.drain(..).count();
        }
        most = most.max(asked);
    }

    assert!(most <= 16, "{most} of 160 at once");
}

/// Guards against openings of far callers that are all sent twice.
#[test]
fn openings_of_far_callers_are_given_the_time_that_they_take() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    for number in 0..20 {
        let key = flow(number, REQUEST);
        let at = instance.open(key, u64::from(number) * 100);
        instance.packet(middle(key, at, 1001, 500, 0), u64::from(number) * 100 + 64);
    }
    instance.out = Default::default();

    instance.open(flow(50, REQUEST), 5_000);
    instance.tick(5_070);

    assert!(instance.out.probed.is_empty());
    assert_eq!(instance.out.sent.len(), 1);
    instance.tick(5_150);
    assert_eq!(instance.out.probed.len(), 1, "not for ever");
}

/// Guards against a wait for a silent target where it has said that it has no room.
#[test]
fn a_target_that_declines_questions_and_openings_is_full_at_once() {
    let (mut instance, _, at) = two();
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);

    instance.forwarder.answer(at, ProbeResult::Declines, millis(1_033), &mut instance.out);

    assert_eq!(usage(&instance, at, 1_034), TargetUse::Full);
    assert_ne!(instance.last_target(), at, "what was being opened went elsewhere");
    assert!(instance.out.resets.is_empty());
}

/// A connection is reset on the way. No opening is unanswered, so that says nothing.
#[test]
fn a_declined_question_alone_leaves_a_target_in_use() {
    let (mut instance, feed, at) = two();
    instance.packet(middle(feed, at, 1001, 500, 100), 1_000);
    instance.packet(middle(feed, at, 1001, 500, 100), 1_200);

    instance.forwarder.answer(at, ProbeResult::Declines, millis(1_210), &mut instance.out);

    assert_eq!(usage(&instance, at, 1_600), TargetUse::Good);
}

/// Guards against the last flows of a leaving target, which stops listening before they end.
#[test]
fn a_leaving_target_that_refuses_questions_keeps_its_flows() {
    let (mut instance, feed, at) = two();
    let mut leaving = instance.forwarder.catalog().entry(at).expect("known").target.clone();
    leaving.leaving = true;
    instance.learn(incremental(200, Content::Target(leaving)), 500);
    instance.packet(middle(feed, at, 1001, 500, 100), 1_000);

    instance.forwarder.answer(at, ProbeResult::Gone, millis(1_020), &mut instance.out);

    assert!(instance.out.resets.is_empty());
    instance.packet(middle(feed, at, 1101, 700, 0), 1_060);
    assert_eq!(instance.last_target(), at);
}

/// It answers questions, which take one connection for a moment, and no openings.
#[test]
fn openings_that_stay_unanswered_at_a_living_target_go_elsewhere() {
    let (mut instance, _, at) = two();
    let first = open_at(&mut instance, at, 200..230, 1_000);
    let second = open_at(&mut instance, at, 230..300, 1_000);
    instance.tick(1_030);
    instance.forwarder.answer(at, ProbeResult::Answers, millis(1_032), &mut instance.out);
    for it in [target(1, "desk"), target(2, "desk")] {
        instance.forwarder.answer(
            it.incarnation,
            ProbeResult::Answers,
            millis(1_033),
            &mut instance.out,
        );
    }
    let other = open_other(&mut instance, at, 300..900, 1_040);
    instance.packet(middle(other.0, other.1, 1001, 500, 0), 1_048);

    instance.tick(1_062);

    assert_eq!(usage(&instance, at, 1_063), TargetUse::Full);
    for key in [first, second] {
        assert_ne!(goes(&instance, key), Some(at));
    }
}

/// Guards against openings moved by an instance that hears no ends of handshakes any more.
#[test]
fn openings_stay_where_they_are_while_no_later_one_is_answered() {
    let (mut instance, _, at) = two();
    let first = open_at(&mut instance, at, 200..230, 1_000);
    open_at(&mut instance, at, 230..300, 1_000);
    instance.tick(1_030);
    instance.forwarder.answer(at, ProbeResult::Answers, millis(1_032), &mut instance.out);

    for now in (1_040..1_400).step_by(10) {
        instance.tick(now);
    }

    assert_eq!(usage(&instance, at, 1_400), TargetUse::Good);
    assert_eq!(goes(&instance, first), Some(at));
}

/// Guards against longer waits at full targets because some handshakes took a second opening.
#[test]
fn openings_that_were_sent_twice_do_not_make_others_wait_longer() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    for number in 0..40 {
        let (key, now) = (flow(number, REQUEST), u64::from(number) * 200);
        let at = instance.open(key, now);
        let late = number % 3 == 0;
        if late {
            instance.tick(now + 30);
        }
        let end = if late { now + 38 } else { now + 8 };
        instance.packet(middle(key, at, 1001, 500, 0), end);
    }
    instance.out = Default::default();

    instance.open(flow(50, REQUEST), 9_000);
    instance.tick(9_030);

    assert_eq!(instance.out.probed.len(), 1);
}

/// Guards against targets of a large site that look full by openings added up over a day.
#[test]
fn openings_that_are_unanswered_seconds_apart_say_nothing_together() {
    let (mut instance, feed, at) = two();
    let opening = |instance: &mut Instance, numbers, now| {
        let key = open_at(instance, at, numbers, now);
        instance.tick(now + 30);
        for it in [target(1, "desk"), target(2, "desk")] {
            let answers = ProbeResult::Answers;
            instance.forwarder.answer(it.incarnation, answers, millis(now + 33), &mut instance.out);
        }
        let other = open_other(instance, at, 400..900, now + 40);
        instance.packet(middle(other.0, other.1, 1001, 500, 0), now + 48);
        instance.tick(now + 62);
        key
    };
    opening(&mut instance, 200..230, 1_000);

    let second = opening(&mut instance, 1_000..1_300, 4_000);

    assert_eq!(usage(&instance, at, 4_070), TargetUse::Good);
    assert_eq!(goes(&instance, second), Some(at));
    assert!(instance.forwarder.explain(&feed, None, millis(4_070)).target.is_some());
}

/// How often one of so many instances asks a full target from the second half-minute on.
fn questions(instances: usize) -> usize {
    let (mut instance, _, at) = two();
    instance.forwarder.set_near(instances);
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.forwarder.answer(at, ProbeResult::Declines, millis(1_031), &mut instance.out);
    for now in (1_340..60_000).step_by(20) {
        if now == 30_000 {
            instance.out.probed.clear();
        }
        let before = instance.out.probed.len();
        instance.tick(now);
        if instance.out.probed.len() > before {
            instance.forwarder.answer(
                at,
                ProbeResult::Declines,
                millis(now + 1),
                &mut instance.out,
            );
        }
    }
    instance.out.probed.len()
}

/// Guards against a full target whose last places go to the questions of hundreds of instances.
#[test]
fn an_instance_of_a_large_fleet_asks_a_full_target_seldom() {
    let alone = questions(1);

    assert!((25..=31).contains(&alone), "once a second: {alone}");
    assert!(questions(80) <= alone / 8, "{}", questions(80));
}
