//! A small model of callers, targets and instances that decide separately, in virtual time.
//! It has openings, answers, work and ends, and no packets.

pub mod host;
pub mod outcome;
pub mod scene;
pub mod scenes;
pub mod site;
pub mod work;

use self::{
    host::{Host, Job},
    outcome::Outcome,
    scene::{Fault, Policy, Scene},
    work::{State, Work, flow},
};
use medlarspur_lib::{
    bundle::Class,
    ids::{FlowId, ServiceIx, TargetIx},
    time::Millis,
};
use medlarspur_load::{Closing, Gate, Opening, Settings, Signal, Verdict, random::Random};
use std::{cmp::Reverse, collections::BinaryHeap};

/// Number of buckets of the table.
const BUCKETS: usize = 1024;
/// Number of buckets that the planner moves per second: about 1 %.
const MOVES_PER_SECOND: usize = 10;
/// Round trip from caller to instance to target and back, in milliseconds.
const ROUND_TRIP: u64 = 9;
/// Lag of the oldest table in use behind the newest, in seconds.
const MAX_TABLE_LAG: usize = 3;
/// One of this many answers is lost, and the caller repeats its opening.
const LOST_ANSWER_INTERVAL: u64 = 1000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { load: usize },
    Attempt { work: usize },
    Repeat { work: usize, tries: u32 },
    Finish { target: usize },
    Close { target: usize, work: usize, flow: u64, instance: usize },
    Establish { target: usize, instance: usize },
    Refresh { target: usize },
    Report { target: usize, instance: usize },
    Plan,
    Step,
}

/// One run of a scene under a policy.
pub struct Model<'a> {
    scene: &'a Scene,
    policy: Policy,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    random: Random,
    gates: Vec<Gate>,
    hosts: Vec<Host>,
    tables: Vec<Vec<u16>>,
    works: Vec<Work>,
    turn: Vec<usize>,
    outcome: Outcome,
}

impl<'a> Model<'a> {
    /// Runs the scene to its end.
    pub fn play(scene: &'a Scene, policy: Policy) -> Outcome {
        let mut model = Model::new(scene, policy);
        model.start();
        while let Some(Reverse((at, _, event))) = model.events.pop() {
            if at > scene.end {
                break;
            }
            model.now = at;
            model.handle(event);
        }
        model.outcome.works = std::mem::take(&mut model.works);
        model.outcome
    }

    fn new(scene: &'a Scene, policy: Policy) -> Model<'a> {
        let site = &scene.site;
        let mut gates = Vec::new();
        for ix in 0..site.instances {
            let mut gate = Gate::new(Settings::default(), scene.seed * 1000 + u64::from(ix));
            gate.set_instances(if policy == Policy::NoShares { 1 } else { site.instances });
            gate.set_services(Millis(0), vec![site.service(scene.has_requests())]);
            gates.push(gate);
        }
        let hosts = (0..site.hosts).map(|_| Host::new(site.slots, site.connections)).collect();
        let table = (0..BUCKETS).map(|b| (b % site.hosts) as u16).collect();
        Model {
            scene,
            policy,
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            random: Random::new(scene.seed),
            gates,
            hosts,
            tables: vec![table],
            works: Vec::new(),
            turn: (0..usize::from(site.instances)).collect(),
            outcome: Outcome::new(site.hosts),
        }
    }

    fn start(&mut self) {
        for load in 0..self.scene.loads.len() {
            self.schedule(1, Event::Arrive { load });
        }
        for target in 0..self.hosts.len() {
            self.schedule(target as u64 * 37, Event::Refresh { target });
            for instance in 0..self.gates.len() {
                let spread = if self.scene.stale { instance * 119 } else { 0 };
                self.schedule(
                    (target * 37 + spread) as u64 % 1000,
                    Event::Report { target, instance },
                );
            }
        }
        self.schedule(1000, Event::Plan);
        self.schedule(1, Event::Step);
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + after, self.count, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { load } => self.arrive(load),
            Event::Attempt { work } => self.attempt(work),
            Event::Repeat { work, tries } => {
                if self.works[work].is_open && self.works[work].tries == tries {
                    self.send(work);
                }
            }
            Event::Finish { target } => self.finish(target),
            Event::Close { target, work, flow, instance } => {
                self.hosts[target].connections -= 1;
                self.close(target, work, flow, instance);
            }
            Event::Establish { target, instance } => {
                let signal = Signal::Established { after: None };
                self.gates[instance].record_signal(
                    Millis(self.now),
                    ServiceIx(0),
                    TargetIx(target as u16),
                    signal,
                );
            }
            Event::Refresh { target } => self.refresh(target),
            Event::Report { target, instance } => self.report(target, instance),
            Event::Plan => self.plan(),
            Event::Step => self.step(),
        }
    }

    fn arrive(&mut self, load: usize) {
        let load_ix = load;
        let load = &self.scene.loads[load_ix];
        let rate = load.rate(self.now);
        if rate > 0.0 {
            let caller = load.caller(&mut self.random);
            let size = (-(1.0 - self.random.fraction()).ln() * load.mean).max(1.0) as u64;
            self.works.push(Work {
                class: load.class,
                caller,
                start: self.now,
                size,
                tries: 0,
                runs: 0,
                state: State::Trying,
                last_try: self.now,
                is_open: false,
                reached_target: false,
                target: 0,
            });
            self.attempt(self.works.len() - 1);
        }
        let next = -(1.0 - self.random.fraction()).ln() * 1000.0 / rate.max(1.0);
        // Several may arrive in one millisecond. The fraction is rounded at random.
        let whole = next as u64 + u64::from(self.random.fraction() < next.fract());
        self.schedule(whole, Event::Arrive { load: load_ix });
    }

    /// Opens a new connection for the work, from another port and thus with another flow.
    fn attempt(&mut self, work: usize) {
        let now = self.now;
        let next = &mut self.works[work];
        next.tries += 1;
        next.last_try = now;
        next.is_open = true;
        next.reached_target = false;
        self.send(work);
    }

    /// Sends the opening packet, which may be a repetition.
    fn send(&mut self, ix: usize) {
        let instance = (self.random.draw() % self.gates.len() as u64) as usize;
        let flow = flow(ix, self.works[ix].tries);
        let target = self.target(instance, flow);
        self.works[ix].target = target;
        let work = &self.works[ix];
        let opening = Opening {
            flow: FlowId(flow),
            caller: work.caller,
            service: ServiceIx(0),
            class: work.class,
            target: TargetIx(target as u16),
        };
        let tries = work.tries;
        match self.policy.admits(&mut self.gates[instance], Millis(self.now), &opening) {
            Verdict::Admit => self.deliver(ix, target, instance),
            Verdict::Wait { .. } => self.schedule(1000, Event::Repeat { work: ix, tries }),
            Verdict::Refuse { after } => self.refused(ix, after),
        }
    }

    fn target(&mut self, instance: usize, flow: u64) -> usize {
        match self.policy {
            Policy::RoundRobin => {
                self.turn[instance] += 1;
                self.turn[instance] % self.hosts.len()
            }
            Policy::HashOnly => flow as usize % self.hosts.len(),
            _ => {
                let lag = if self.scene.stale { instance % (MAX_TABLE_LAG + 1) } else { 0 };
                let table = self.tables.len().saturating_sub(1 + lag);
                usize::from(self.tables[table][flow as usize % BUCKETS])
            }
        }
    }

    fn refused(&mut self, ix: usize, after: Millis) {
        let work = &mut self.works[ix];
        // A connected caller ignores a reset or a second handshake answer, whose sequence
        // numbers don't fit.
        if !work.is_open {
            self.outcome.ignored += 1;
            return;
        }
        self.outcome.record_refusal(self.now - work.last_try);
        self.outcome.false_refusals += u64::from(work.runs > 0);
        self.outcome.crossed += u64::from(work.reached_target);
        let back = after.0 + self.random.draw() % 10;
        self.retry(ix, back);
    }

    /// Tries again after a while, unless the caller gives up before that.
    fn retry(&mut self, ix: usize, after: u64) {
        let work = &mut self.works[ix];
        work.is_open = false;
        if self.now + after >= work.start + self.scene.patience(work.class) {
            work.state = State::Failed;
        } else {
            self.schedule(after, Event::Attempt { work: ix });
        }
    }

    fn deliver(&mut self, ix: usize, target: usize, instance: usize) {
        let work = &self.works[ix];
        let (tries, class) = (work.tries, work.class);
        if !work.is_open {
            return;
        }
        self.outcome.record_placement(self.now, target);
        let is_shedding = self.scene.fault(self.now, target) == Some(Fault::Shed);
        let lost = self.random.draw().is_multiple_of(LOST_ANSWER_INTERVAL);
        if is_shedding && self.random.draw().is_multiple_of(2) || self.hosts[target].is_full() {
            self.outcome.overrun += 1;
            self.retry(ix, 1000);
            return;
        }
        self.works[ix].reached_target = true;
        if lost {
            self.schedule(1000, Event::Repeat { work: ix, tries });
            return;
        }
        let observer = if self.scene.spray { self.random_instance() } else { instance };
        self.schedule(ROUND_TRIP, Event::Establish { target, instance: observer });
        self.hosts[target].connections += 1;
        self.works[ix].is_open = false;
        self.works[ix].runs += 1;
        self.outcome.double_runs += u64::from(self.works[ix].runs > 1);
        if class == Class::Feed {
            let wait = self.now + ROUND_TRIP - self.works[ix].last_try;
            self.works[ix].state = State::Done { wait };
            let (flow, instance) =
                (flow(ix, tries), if self.scene.spray { self.random_instance() } else { instance });
            self.schedule(self.works[ix].size, Event::Close { target, work: ix, flow, instance });
            return;
        }
        self.hosts[target].queue.push_back(Job { work: ix, instance });
        self.start_work(target);
    }

    /// Starts as much queued work as there are free slots.
    fn start_work(&mut self, target: usize) {
        while let Some(job) = self.hosts[target].take() {
            let speed = self.scene.speed(self.now, target);
            let work = &mut self.works[job.work];
            let late = self.now + ROUND_TRIP > work.start + self.scene.patience(work.class);
            if work.state == State::Trying {
                let wait = self.now + ROUND_TRIP - work.last_try;
                work.state = if late { State::Failed } else { State::Done { wait } };
            }
            let took = ((work.size as f64 / speed) as u64).max(1);
            self.outcome.record_work(self.now, took, work);
            let instance = if self.scene.spray { self.random_instance() } else { job.instance };
            let flow = flow(job.work, self.works[job.work].tries);
            self.schedule(took, Event::Finish { target });
            self.schedule(
                took + ROUND_TRIP,
                Event::Close { target, work: job.work, flow, instance },
            );
        }
    }

    fn finish(&mut self, target: usize) {
        self.hosts[target].busy -= 1;
        self.start_work(target);
    }

    fn close(&mut self, target: usize, work: usize, flow: u64, instance: usize) {
        let closing = Closing {
            flow: FlowId(flow),
            service: ServiceIx(0),
            class: self.works[work].class,
            target: TargetIx(target as u16),
        };
        self.gates[instance].record_closing(Millis(self.now), &closing);
    }

    /// Updates the report of a target's endpoint once a second.
    fn refresh(&mut self, target: usize) {
        let fault = self.scene.fault(self.now, target);
        self.hosts[target].refresh(fault);
        self.schedule(1000, Event::Refresh { target });
    }

    /// Each instance queries each endpoint once a second, at its own time.
    fn report(&mut self, target: usize, instance: usize) {
        if !self.scene.stale {
            let fault = self.scene.fault(self.now, target);
            self.hosts[target].refresh(fault);
        }
        let signal = match self.scene.fault(self.now, target) {
            Some(Fault::SaysNothing) => Signal::NoReport,
            _ => Signal::Report(self.hosts[target].report),
        };
        self.gates[instance].record_signal(
            Millis(self.now),
            ServiceIx(0),
            TargetIx(target as u16),
            signal,
        );
        self.schedule(1000, Event::Report { target, instance });
    }

    /// The first instance plans with its own weights; the others receive the table late.
    fn plan(&mut self) {
        let weights = self.gates[0].weights(ServiceIx(0)).to_vec();
        let table = self.tables[self.tables.len() - 1].clone();
        self.tables.push(site::rebalance(table, &weights, MOVES_PER_SECOND));
        self.schedule(1000, Event::Plan);
    }

    fn step(&mut self) {
        let mut out = Vec::new();
        for instance in 0..self.gates.len() {
            self.gates[instance].collect_verdicts(Millis(self.now), &mut out);
            for (flow, verdict) in out.drain(..) {
                let ix = (flow.0 >> 16 & 0xffff_ffff) as usize;
                if u64::from(self.works[ix].tries) != flow.0 >> 48 {
                    continue;
                }
                match verdict {
                    Verdict::Admit => {
                        let target = self.works[ix].target;
                        self.deliver(ix, target, instance);
                    }
                    Verdict::Refuse { after } => self.refused(ix, after),
                    Verdict::Wait { .. } => {}
                }
            }
        }
        self.schedule(1, Event::Step);
    }

    fn random_instance(&mut self) -> usize {
        (self.random.draw() % self.gates.len() as u64) as usize
    }
}
