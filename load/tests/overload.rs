//! Simulates a service under overload, in virtual time: instances that see only their own
//! work, targets that serve in order of arrival and refuse what their queues can't hold,
//! and callers that retry twice.

use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_load::{
    backlog::{Backlog, Waiting, max_wait},
    limit::{self, ConcurrencyLimit},
    priority::Level,
    random::Random,
};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    ops::Add,
};

/// Round trip from caller to instance to target and back, in milliseconds.
const ROUND_TRIP: u64 = 6;
/// Number of retries of a caller.
const RETRIES: u32 = 2;
/// Fraction of the feeds' requests that open a flow. The others go to the target of their
/// feed.
const NEW_FLOW_FRACTION: f64 = 0.3;

/// The service, its load and its faults.
#[derive(Debug, Clone, Copy)]
pub struct Scene {
    pub instances: usize,
    pub targets: usize,
    /// Number of targets that remain during `gone`, a span in milliseconds.
    pub remaining: usize,
    pub gone: (u64, u64),
    pub slots: usize,
    pub queue: usize,
    /// Requests a second that open a flow each, and requests a second of feeds.
    pub requests: f64,
    pub feeds: f64,
    /// Mean work of a request, in milliseconds.
    pub work: f64,
    pub objective: u64,
    /// Span in which no caller is served. Packets sent then arrive at its end, spread over
    /// the time in which callers repeat their openings.
    pub outage: (u64, u64),
    pub length: u64,
    pub seed: u64,
}

impl Scene {
    /// The site with the shortest latency objectives under ordinary load: seven instances
    /// and 14 targets of two slots.
    pub fn site(seed: u64) -> Scene {
        Scene {
            instances: 7,
            targets: 14,
            remaining: 14,
            gone: (0, 0),
            slots: 2,
            queue: 8,
            requests: 83.0,
            feeds: 292.0,
            work: 32.0,
            objective: 150,
            outage: (0, 0),
            length: 14_000,
            seed,
        }
    }

    /// Eight of its targets are gone for five seconds, and their successors are not known.
    pub fn half_gone(seed: u64) -> Scene {
        Scene { remaining: 6, gone: (4_000, 9_000), ..Scene::site(seed) }
    }

    /// The same with a quarter more requests.
    pub fn more_requests(seed: u64) -> Scene {
        Scene { requests: 104.0, feeds: 365.0, ..Scene::half_gone(seed) }
    }

    /// A site whose requests take two thirds of their latency objective, at a load of 0.7.
    pub fn slow(seed: u64) -> Scene {
        Scene { work: 100.0, requests: 43.0, feeds: 153.0, ..Scene::site(seed) }
    }

    /// The site with the longest work per request, with a fifth more load than capacity,
    /// mostly on open feeds.
    #[allow(dead_code, reason = "the example plays other scenes")]
    pub fn excess(seed: u64) -> Scene {
        Scene { outage: (0, 0), requests: 185.0, feeds: 655.0, ..Scene::outage(seed) }
    }

    /// The site with the longest work per request; no caller is served for 1.7 s.
    pub fn outage(seed: u64) -> Scene {
        Scene {
            instances: 8,
            slots: 3,
            queue: 12,
            work: 60.0,
            objective: 250,
            outage: (4_000, 5_700),
            ..Scene::site(seed)
        }
    }
}

/// Results of the requests that were sent in a span.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Tally {
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Tally {
    /// Returns the refused fraction.
    #[allow(dead_code, reason = "the example measures without it")]
    pub fn fraction_refused(&self) -> f64 {
        f64::from(self.refused) / f64::from((self.in_time + self.late + self.refused).max(1))
    }

    /// Returns the fraction that was answered in time.
    pub fn fraction_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from((self.in_time + self.late + self.refused).max(1))
    }
}

impl Add for Tally {
    type Output = Tally;

    fn add(self, other: Tally) -> Tally {
        Tally {
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            refused: self.refused + other.refused,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Work {
    class: Class,
    sent: u64,
    /// Time of its arrival at its instance.
    arrived: u64,
    instance: usize,
    tries: u32,
    /// Whether it goes to the target of its feed.
    on_feed: bool,
    duration: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Arrive(usize),
    Done(usize, usize),
    Answered(usize, usize),
    Expire(usize),
}

pub struct Simulation {
    scene: Scene,
    is_limited: bool,
    random: Random,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    works: Vec<Work>,
    /// Requests in flight, by instance and target, and those that belong to no feed, by
    /// instance.
    in_flight: Vec<Vec<u32>>,
    requests_in_flight: Vec<u32>,
    limits: Vec<ConcurrencyLimit>,
    backlogs: Vec<Backlog<usize>>,
    queues: Vec<VecDeque<usize>>,
    busy: Vec<usize>,
    answers: Vec<(u64, Class, Option<u64>)>,
}

/// Runs a scene. With `is_limited`, openings wait at the instances.
pub fn play(scene: Scene, is_limited: bool) -> Simulation {
    let mut simulation = Simulation {
        scene,
        is_limited,
        random: Random::new(scene.seed),
        events: BinaryHeap::new(),
        count: 0,
        works: Vec::new(),
        in_flight: vec![vec![0; scene.targets]; scene.instances],
        requests_in_flight: vec![0; scene.instances],
        limits: vec![ConcurrencyLimit::default(); scene.instances],
        backlogs: vec![Backlog::default(); scene.instances],
        queues: vec![VecDeque::new(); scene.targets],
        busy: vec![0; scene.targets],
        answers: Vec::new(),
    };
    simulation.push(0, Event::Request);
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        simulation.handle(event, now);
    }
    simulation
}

impl Simulation {
    /// Returns the results of the requests sent from `from` to `to`.
    pub fn tally(&self, from: u64, to: u64) -> Tally {
        self.tally_where(from, to, |_| true)
    }

    /// Returns the results for one class.
    #[allow(dead_code, reason = "the example measures all classes together")]
    pub fn tally_class(&self, class: Class, from: u64, to: u64) -> Tally {
        self.tally_where(from, to, |it| it == class)
    }

    fn tally_where(&self, from: u64, to: u64, counts: impl Fn(Class) -> bool) -> Tally {
        let mut tally = Tally::default();
        let sent = self.answers.iter().filter(|it| (from..to).contains(&it.0) && counts(it.1));
        for (.., span) in sent {
            match span {
                Some(span) if *span <= self.scene.objective => tally.in_time += 1,
                Some(_) => tally.late += 1,
                None => tally.refused += 1,
            }
        }
        tally
    }

    fn push(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.fraction()).ln()
    }

    fn live_targets(&self, now: u64) -> usize {
        let (from, to) = self.scene.gone;
        if (from..to).contains(&now) { self.scene.remaining } else { self.scene.targets }
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Request => self.issue_request(now),
            Event::Arrive(work) => self.arrive(work, now),
            Event::Done(target, work) => self.done(target, work, now),
            Event::Answered(target, work) => self.answered(target, work, now),
            Event::Expire(instance) => self.expire(instance, now),
        }
    }

    /// Sends the next request and schedules the one after it.
    fn issue_request(&mut self, now: u64) {
        if now > self.scene.length {
            return;
        }
        let (requests, feeds) = (self.scene.requests, self.scene.feeds);
        let is_request = self.random.fraction() < requests / (requests + feeds);
        let on_feed = !is_request && self.random.fraction() >= NEW_FLOW_FRACTION;
        let duration = 0.3 * self.scene.work + self.exponential(0.7 * self.scene.work);
        let instance = (self.random.draw() % self.scene.instances as u64) as usize;
        let class = if is_request { Class::Request } else { Class::Feed };
        let work = Work {
            class,
            sent: now,
            arrived: now,
            instance,
            tries: 0,
            on_feed,
            duration: duration as u64 + 1,
        };
        self.works.push(work);
        let arrival = self.first_seen(now);
        self.push(arrival + ROUND_TRIP / 2, Event::Arrive(self.works.len() - 1));
        let next = now + self.exponential(1000.0 / (requests + feeds)).round() as u64;
        self.push(next, Event::Request);
    }

    /// Returns when an instance first sees a request. Callers repeat an opening after 200
    /// and 600 ms and open a new flow after 1.4 s.
    fn first_seen(&self, sent: u64) -> u64 {
        let (from, to) = self.scene.outage;
        if !(from..to).contains(&sent) {
            return sent;
        }
        let repeats = [200, 600, 1_400, 1_600, 2_000, 2_800, 3_000, 3_400];
        let seen = repeats.into_iter().map(|after| sent + after).find(|at| *at >= to);
        seen.unwrap_or(to)
    }

    fn own_slots(&self, now: u64) -> f32 {
        (self.live_targets(now) * self.scene.slots) as f32 / self.scene.instances as f32
    }

    fn count_in_flight(&self, instance: usize) -> u32 {
        self.in_flight[instance].iter().sum()
    }

    fn in_flight(&self, instance: usize) -> limit::InFlight {
        let requests = self.requests_in_flight[instance];
        let mut work = limit::InFlight::default();
        work.adjust(level(Class::Request), requests as i32);
        work.adjust(level(Class::Feed), (self.count_in_flight(instance) - requests) as i32);
        work
    }

    fn arrive(&mut self, id: usize, now: u64) {
        let work = self.works[id];
        let at = work.instance;
        let is_admitted =
            self.limits[at].admits(level(work.class), self.in_flight(at), Millis(now));
        if !self.is_limited
            || work.on_feed
            || is_admitted && self.backlogs[at].can_bypass(level(work.class))
        {
            return self.begin(id, now);
        }
        let deadline = Millis(now) + max_wait(Millis(self.scene.objective));
        // A repeated opening shows how long its caller has waited; a new flow does not.
        let known = now.saturating_sub(work.sent);
        let sent = if known >= 1_400 { now - (known - 1_400) } else { work.sent };
        let waiting = Waiting { key: id, level: level(work.class), since: Millis(sent), deadline };
        if self.backlogs[at].push(waiting).is_some() {
            return self.refuse(id, now);
        }
        self.push(deadline.0, Event::Expire(at));
        self.release(at, now);
    }

    fn begin(&mut self, id: usize, now: u64) {
        let live = self.live_targets(now);
        let work = &mut self.works[id];
        work.arrived = now;
        let at = work.instance;
        let draw = self.random.draw() as usize;
        let target = match self.works[id].on_feed {
            true => draw % live,
            false => (0..live)
                .map(|it| (it + draw) % live)
                .min_by_key(|it| self.in_flight[at][*it])
                .unwrap_or_default(),
        };
        if self.queues[target].len() >= self.scene.queue {
            return self.refuse(id, now + ROUND_TRIP);
        }
        self.in_flight[at][target] += 1;
        self.requests_in_flight[at] += u32::from(self.works[id].class == Class::Request);
        self.queues[target].push_back(id);
        self.serve(target, now);
    }

    fn serve(&mut self, target: usize, now: u64) {
        while self.busy[target] < self.scene.slots {
            let Some(id) = self.queues[target].pop_front() else { return };
            self.busy[target] += 1;
            let span = self.works[id].duration;
            self.push(now + span, Event::Done(target, id));
        }
    }

    fn done(&mut self, target: usize, id: usize, now: u64) {
        self.busy[target] -= 1;
        self.serve(target, now);
        self.push(now + ROUND_TRIP, Event::Answered(target, id));
    }

    fn answered(&mut self, target: usize, id: usize, now: u64) {
        let work = self.works[id];
        let at = work.instance;
        self.in_flight[at][target] -= 1;
        let (span, objective) = (Millis(now - work.arrived), Millis(self.scene.objective));
        if self.limits[at].record_answer(span, objective, Millis(now)) {
            let (in_flight, own_slots) = (self.count_in_flight(at), self.own_slots(now));
            self.limits[at].adjust(in_flight, own_slots, Millis(now));
        }
        self.requests_in_flight[at] -= u32::from(work.class == Class::Request);
        self.answers.push((work.sent, work.class, Some(now - work.sent)));
        self.release(at, now);
    }

    fn release(&mut self, at: usize, now: u64) {
        while let Some(next) = self.backlogs[at].peek() {
            if !self.limits[at].admits(next.level, self.in_flight(at), Millis(now)) {
                return;
            }
            self.backlogs[at].remove(next.key);
            self.begin(next.key, now);
        }
    }

    fn expire(&mut self, at: usize, now: u64) {
        while let Some(waiting) = self.backlogs[at].pop_expired(Millis(now)) {
            self.refuse(waiting.key, now);
        }
        self.release(at, now);
    }

    fn refuse(&mut self, id: usize, now: u64) {
        let work = &mut self.works[id];
        work.tries += 1;
        work.on_feed = false;
        if work.tries > RETRIES {
            self.answers.push((work.sent, work.class, None));
        } else {
            self.push(now + ROUND_TRIP, Event::Arrive(id));
        }
    }
}

/// Returns the level of a class at a service whose routes have no priority.
fn level(class: Class) -> Level {
    Level::nth(u8::from(class != Class::Request), 2)
}
