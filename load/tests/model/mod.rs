//! A small model of callers, targets and instances that decide separately, in
//! virtual time. It knows openings, answers, work and ends; no packets.

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

/// Buckets of the model's table.
const BUCKETS: usize = 1024;
/// Buckets that the planner moves a second: about 1 %.
const MOVES: usize = 10;
/// From caller to instance to target and back, in milliseconds.
const TRIP: u64 = 9;
/// How many seconds the oldest table in use is behind the newest.
const LAG: usize = 3;
/// One in so many answers is lost, so that the caller repeats its opening.
const LOST: u64 = 1000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { load: usize },
    Try { work: usize },
    Repeat { work: usize, tries: u32 },
    Finish { target: usize },
    Close { target: usize, work: usize, flow: u64, by: usize },
    Follow { target: usize, by: usize },
    Refresh { target: usize },
    Report { target: usize, by: usize },
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
    /// Plays the scene to its end.
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
            gate.set_services(Millis(0), vec![site.service(scene.requests())]);
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
            self.at(1, Event::Arrive { load });
        }
        for target in 0..self.hosts.len() {
            self.at(target as u64 * 37, Event::Refresh { target });
            for by in 0..self.gates.len() {
                let spread = if self.scene.stale { by * 119 } else { 0 };
                self.at((target * 37 + spread) as u64 % 1000, Event::Report { target, by });
            }
        }
        self.at(1000, Event::Plan);
        self.at(1, Event::Step);
    }

    fn at(&mut self, after: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + after, self.count, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { load } => self.arrive(load),
            Event::Try { work } => self.attempt(work),
            Event::Repeat { work, tries } => {
                if self.works[work].open && self.works[work].tries == tries {
                    self.send(work);
                }
            }
            Event::Finish { target } => self.finish(target),
            Event::Close { target, work, flow, by } => {
                self.hosts[target].connections -= 1;
                self.close(target, work, flow, by);
            }
            Event::Follow { target, by } => {
                let signal = Signal::Established { after: None };
                self.gates[by].record_signal(
                    Millis(self.now),
                    ServiceIx(0),
                    TargetIx(target as u16),
                    signal,
                );
            }
            Event::Refresh { target } => self.refresh(target),
            Event::Report { target, by } => self.report(target, by),
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
                tried: self.now,
                open: false,
                sent: false,
                target: 0,
            });
            self.attempt(self.works.len() - 1);
        }
        let next = -(1.0 - self.random.fraction()).ln() * 1000.0 / rate.max(1.0);
        // Several may arrive in one millisecond; the fraction is carried by chance.
        let whole = next as u64 + u64::from(self.random.fraction() < next.fract());
        self.at(whole, Event::Arrive { load: load_ix });
    }

    /// A new connection for the work: another port, so another flow.
    fn attempt(&mut self, work: usize) {
        let now = self.now;
        let next = &mut self.works[work];
        next.tries += 1;
        next.tried = now;
        next.open = true;
        next.sent = false;
        self.send(work);
    }

    /// Sends the opening packet, which may be a repetition.
    fn send(&mut self, ix: usize) {
        let by = (self.random.draw() % self.gates.len() as u64) as usize;
        let flow = flow(ix, self.works[ix].tries);
        let target = self.target(by, flow);
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
        match self.policy.admits(&mut self.gates[by], Millis(self.now), &opening) {
            Verdict::Admit => self.deliver(ix, target, by),
            Verdict::Wait { .. } => self.at(1000, Event::Repeat { work: ix, tries }),
            Verdict::Refuse { after } => self.refused(ix, after),
        }
    }

    fn target(&mut self, by: usize, flow: u64) -> usize {
        match self.policy {
            Policy::RoundRobin => {
                self.turn[by] += 1;
                self.turn[by] % self.hosts.len()
            }
            Policy::HashOnly => flow as usize % self.hosts.len(),
            _ => {
                let lag = if self.scene.stale { by % (LAG + 1) } else { 0 };
                let table = self.tables.len().saturating_sub(1 + lag);
                usize::from(self.tables[table][flow as usize % BUCKETS])
            }
        }
    }

    fn refused(&mut self, ix: usize, after: Millis) {
        let work = &mut self.works[ix];
        // A caller that is connected ignores a reset or a second handshake
        // answer, whose sequence numbers don't fit.
        if !work.open {
            self.outcome.ignored += 1;
            return;
        }
        self.outcome.refusal(self.now - work.tried);
        self.outcome.false_refusals += u64::from(work.runs > 0);
        self.outcome.crossed += u64::from(work.sent);
        let back = after.0 + self.random.draw() % 10;
        self.retry(ix, back);
    }

    /// Tries again after a while, if the caller has that long.
    fn retry(&mut self, ix: usize, after: u64) {
        let work = &mut self.works[ix];
        work.open = false;
        if self.now + after >= work.start + self.scene.patience(work.class) {
            work.state = State::Failed;
        } else {
            self.at(after, Event::Try { work: ix });
        }
    }

    fn deliver(&mut self, ix: usize, target: usize, by: usize) {
        let work = &self.works[ix];
        let (tries, class) = (work.tries, work.class);
        if !work.open {
            return;
        }
        self.outcome.placed(self.now, target);
        let sheds = self.scene.fault(self.now, target) == Some(Fault::Shed);
        let lost = self.random.draw().is_multiple_of(LOST);
        if sheds && self.random.draw().is_multiple_of(2) || self.hosts[target].full() {
            self.outcome.overrun += 1;
            self.retry(ix, 1000);
            return;
        }
        self.works[ix].sent = true;
        if lost {
            self.at(1000, Event::Repeat { work: ix, tries });
            return;
        }
        let seen = if self.scene.spray { self.any() } else { by };
        self.at(TRIP, Event::Follow { target, by: seen });
        self.hosts[target].connections += 1;
        self.works[ix].open = false;
        self.works[ix].runs += 1;
        self.outcome.double_runs += u64::from(self.works[ix].runs > 1);
        if class == Class::Feed {
            let wait = self.now + TRIP - self.works[ix].tried;
            self.works[ix].state = State::Done { wait };
            let (flow, by) = (flow(ix, tries), if self.scene.spray { self.any() } else { by });
            self.at(self.works[ix].size, Event::Close { target, work: ix, flow, by });
            return;
        }
        self.hosts[target].queue.push_back(Job { work: ix, by });
        self.work(target);
    }

    /// Starts as much queued work as there are free slots.
    fn work(&mut self, target: usize) {
        while let Some(job) = self.hosts[target].take() {
            let speed = self.scene.speed(self.now, target);
            let work = &mut self.works[job.work];
            let late = self.now + TRIP > work.start + self.scene.patience(work.class);
            if work.state == State::Trying {
                let wait = self.now + TRIP - work.tried;
                work.state = if late { State::Failed } else { State::Done { wait } };
            }
            let took = ((work.size as f64 / speed) as u64).max(1);
            self.outcome.worked(self.now, took, work);
            let by = if self.scene.spray { self.any() } else { job.by };
            let flow = flow(job.work, self.works[job.work].tries);
            self.at(took, Event::Finish { target });
            self.at(took + TRIP, Event::Close { target, work: job.work, flow, by });
        }
    }

    fn finish(&mut self, target: usize) {
        self.hosts[target].busy -= 1;
        self.work(target);
    }

    fn close(&mut self, target: usize, work: usize, flow: u64, by: usize) {
        let closing = Closing {
            flow: FlowId(flow),
            service: ServiceIx(0),
            class: self.works[work].class,
            target: TargetIx(target as u16),
        };
        self.gates[by].record_closing(Millis(self.now), &closing);
    }

    /// What the endpoint of a target says changes once a second.
    fn refresh(&mut self, target: usize) {
        let fault = self.scene.fault(self.now, target);
        self.hosts[target].refresh(fault);
        self.at(1000, Event::Refresh { target });
    }

    /// Each instance asks each endpoint once a second, at its own time.
    fn report(&mut self, target: usize, by: usize) {
        if !self.scene.stale {
            let fault = self.scene.fault(self.now, target);
            self.hosts[target].refresh(fault);
        }
        let told = match self.scene.fault(self.now, target) {
            Some(Fault::SaysNothing) => Signal::NoReport,
            _ => Signal::Report(self.hosts[target].told),
        };
        self.gates[by].record_signal(Millis(self.now), ServiceIx(0), TargetIx(target as u16), told);
        self.at(1000, Event::Report { target, by });
    }

    /// The first instance plans by its own advice; the others follow late.
    fn plan(&mut self) {
        let weights = self.gates[0].weights(ServiceIx(0)).to_vec();
        let table = self.tables[self.tables.len() - 1].clone();
        self.tables.push(site::rebalance(table, &weights, MOVES));
        self.at(1000, Event::Plan);
    }

    fn step(&mut self) {
        let mut out = Vec::new();
        for by in 0..self.gates.len() {
            self.gates[by].collect_verdicts(Millis(self.now), &mut out);
            for (flow, verdict) in out.drain(..) {
                let ix = (flow.0 >> 16 & 0xffff_ffff) as usize;
                if u64::from(self.works[ix].tries) != flow.0 >> 48 {
                    continue;
                }
                match verdict {
                    Verdict::Admit => {
                        let target = self.works[ix].target;
                        self.deliver(ix, target, by);
                    }
                    Verdict::Refuse { after } => self.refused(ix, after),
                    Verdict::Wait { .. } => {}
                }
            }
        }
        self.at(1, Event::Step);
    }

    fn any(&mut self) -> usize {
        (self.random.draw() % self.gates.len() as u64) as usize
    }
}
