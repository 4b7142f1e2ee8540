//! The decisions put together for the packet path of one instance.

use crate::{
    admission::{self, Takers},
    callers::caller_key,
    counts::{Counts, Reason},
    opening::{Closing, Opening, ServiceSpec, Signal, Verdict},
    placement,
    queue::{Line, Newcomer},
    random::Random,
    refusal,
    retry::{Budget, Decision, Memory},
    settings::Settings,
    state::{CLASSES, Service, Target, at},
};
use medlarspur_lib::{
    bundle::{Class, TargetState},
    collections::Map,
    ids::{FlowId, ServiceIx, TargetIx},
    time::Millis,
};

/// Uploads whose opening is remembered to learn how long uploads take. They
/// outlive the memory of decisions; when this is full, samples are lost.
const UPLOADS: usize = 8_192;

/// All decisions under load of one instance. It belongs to one thread.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    instances: u16,
    services: Vec<Service>,
    memory: Memory,
    budget: Budget,
    takers: [Takers; CLASSES],
    uploads: Map<FlowId, Millis>,
    random: Random,
    lines: Vec<Place>,
    orphans: Vec<FlowId>,
    ticked: Option<Millis>,
    counts: Counts,
}

/// Where a line of waiting openings stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Place {
    service: usize,
    target: usize,
    class: Class,
}

impl Gate {
    /// A gate that knows no service yet. `seed` differs for each instance, so
    /// that no two spread their refusals alike.
    pub fn new(settings: Settings, seed: u64) -> Gate {
        let mut random = Random::new(seed);
        let classes = [Class::Feed, Class::Request, Class::Upload];
        let takers = classes.map(|class| Takers::new(random.draw(), class));
        Gate {
            settings,
            instances: 1,
            services: Vec::new(),
            memory: Memory::new(),
            budget: Budget::new(),
            takers,
            uploads: Map::default(),
            random,
            lines: Vec::new(),
            orphans: Vec::new(),
            ticked: None,
            counts: Counts::default(),
        }
    }

    /// Decides by other settings from now on.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes over a bundle's services, in its order. What was learnt of a
    /// service or target stays with its name; openings that wait for a target
    /// that is gone are turned away by the next [`Gate::collect_verdicts`].
    pub fn set_services(&mut self, now: Millis, services: Vec<ServiceSpec>) {
        let old = std::mem::take(&mut self.services);
        let mut old: Map<_, _> = old.into_iter().map(|s| (s.name.clone(), s)).collect();
        let mut gone: Vec<Line> = Vec::new();
        for load in services {
            let same = old.remove(&load.name);
            let (service, lines) = Service::new(now, load, same);
            gone.extend(lines);
            self.services.push(service);
        }
        gone.extend(old.into_values().flat_map(|s| s.targets).flat_map(|t| t.lines));
        self.orphans.extend(gone.iter().flat_map(Line::flows));
        self.find_lines();
    }

    /// Says that a target gets no new work from now on. Openings that wait for
    /// it are turned away by the next [`Gate::collect_verdicts`].
    pub fn mark_leaving(&mut self, service: ServiceIx, target: TargetIx) {
        if let Some(target) = self.target(service, target) {
            target.load.state = TargetState::Leaving;
        }
    }

    /// Says how many instances are believed live, this one included.
    pub fn set_instances(&mut self, instances: u16) {
        self.instances = instances.max(1);
    }

    /// Decides on the first packet of a flow that the instance does not know.
    pub fn open(&mut self, now: Millis, opening: &Opening) -> Verdict {
        if let Some(verdict) = self.repeated(now, opening) {
            return verdict;
        }
        let place = Place {
            service: usize::from(opening.service.0),
            target: usize::from(opening.target.0),
            class: opening.class,
        };
        let known =
            self.services.get(place.service).is_some_and(|s| place.target < s.targets.len());
        if !known {
            self.counts.refuse(opening.class, Reason::Leaving);
            return Verdict::Refuse { after: refusal::SHORTEST };
        }
        let newcomer = self.newcomer(now, opening);
        match self.decide(now, place, &newcomer) {
            Ok(None) => {
                self.admit(now, place, &newcomer);
                Verdict::Admit
            }
            Ok(Some(until)) => {
                self.counts.waited[at(place.class)] += 1;
                self.memory.keep(now, opening.flow, Decision::Waiting(until));
                Verdict::Wait { until }
            }
            Err(reason) => Verdict::Refuse { after: self.refuse(now, place, &newcomer, reason) },
        }
    }

    /// Gives the final verdicts that have become known for openings that wait.
    /// Costs next to nothing while none wait; call it after each batch and at
    /// least every few milliseconds.
    pub fn collect_verdicts(&mut self, now: Millis, out: &mut Vec<(FlowId, Verdict)>) {
        for flow in self.orphans.drain(..) {
            let after = refusal::SHORTEST;
            self.memory.keep(now, flow, Decision::Refused(now + after));
            out.push((flow, Verdict::Refuse { after }));
        }
        let mut ix = 0;
        while ix < self.lines.len() {
            let place = self.lines[ix];
            self.serve(now, place, out);
            if self.line(place).is_empty() {
                self.lines.swap_remove(ix);
            } else {
                ix += 1;
            }
        }
        self.tick(now);
    }

    /// Takes note of the end of a flow, whoever opened it.
    pub fn record_closing(&mut self, now: Millis, closing: &Closing) {
        let class = at(closing.class);
        let admitted = match closing.class {
            Class::Upload => {
                self.memory.end(closing.flow);
                self.uploads.remove(&closing.flow)
            }
            Class::Feed | Class::Request => self.memory.end(closing.flow),
        };
        let Some(service) = self.services.get_mut(usize::from(closing.service.0)) else { return };
        let Some(target) = service.targets.get_mut(usize::from(closing.target.0)) else { return };
        if closing.class == Class::Request {
            service.pace.end(now);
            target.seen.end(now);
        }
        target.connections.close();
        if let Some(admitted) = admitted {
            let hold = now.since(admitted);
            target.holds[class].add(hold);
            service.holds[class].add(hold);
        }
    }

    /// Takes note of something seen or heard of a target.
    pub fn record_signal(
        &mut self,
        now: Millis,
        service: ServiceIx,
        target: TargetIx,
        signal: Signal,
    ) {
        let instances = self.instances;
        let Some(target) = self.target(service, target) else { return };
        match signal {
            Signal::Established { .. } => target.seen.follow(now),
            Signal::Reset => target.seen.reset(now),
            Signal::NoReport => {}
            Signal::Report(told) => {
                target.seen.tell(now, told);
                target.unheard = 0;
                let limit = target.load.connections;
                target.connections.told(now, told.connections, limit, instances);
            }
        }
    }

    /// How much new work each target of a service should get, in thousandths
    /// of a full weight; advice for the planner, renewed once a second.
    pub fn weights(&self, service: ServiceIx) -> &[u16] {
        self.services.get(usize::from(service.0)).map_or(&[], |s| &s.weights)
    }

    /// How often each outcome came about since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The same answer for an opening that was decided before.
    fn repeated(&mut self, now: Millis, opening: &Opening) -> Option<Verdict> {
        let decision = self.memory.find(now, opening.flow)?;
        self.counts.repeated += 1;
        Some(match decision {
            Decision::Admitted(_) => {
                if let Some(target) = self.target(opening.service, opening.target) {
                    target.seen.open(now);
                }
                Verdict::Admit
            }
            Decision::Waiting(until) => Verdict::Wait { until },
            Decision::Refused(until) => Verdict::Refuse { after: until.since(now) },
        })
    }

    fn newcomer(&mut self, now: Millis, opening: &Opening) -> Newcomer {
        let Opening { flow, caller, service, class, .. } = *opening;
        let takers = &mut self.takers[at(class)];
        let total = takers.total(now, service);
        let heavy = takers.heavy(now, &self.settings, service, caller, total);
        let overload = &self.services[usize::from(service.0)].overload[at(class)];
        let early =
            overload.lasts(now) && self.budget.early(now, caller_key(service.0, class, caller));
        Newcomer { flow, caller, heavy, early }
    }

    /// Whether the opening goes now, until when it waits, or why it can't.
    fn decide(
        &mut self,
        now: Millis,
        place: Place,
        newcomer: &Newcomer,
    ) -> Result<Option<Millis>, Reason> {
        let Place { class, .. } = place;
        let spent = newcomer.early && !self.budget.allows();
        let leftover = newcomer.heavy || spent;
        let settings = &self.settings;
        let service = &mut self.services[place.service];
        let share = service.share(self.instances);
        let costs = service.costs(place.target);
        let cost = costs[at(class)];
        let target = &mut service.targets[place.target];
        if placement::leaving(now, target.load.state, &target.seen, service.believed) {
            return Err(Reason::Leaving);
        }
        let scarce = if newcomer.heavy { Reason::Heavy } else { Reason::Early };
        let taken = target.connections.taken(target.load.connections, self.instances);
        if !admission::connection(settings, share.requests, class, taken, leftover) {
            return Err(if leftover { scarce } else { Reason::Connections });
        }
        target.earn(now, settings, share, costs);
        if class == Class::Upload {
            let chance = target.chance(now, settings, share, cost);
            if self.random.fraction() >= chance {
                return Err(Reason::Slots);
            }
        }
        let Some((ledger, line)) = target.ledger(class) else { return Ok(None) };
        if ledger.spent(cost) < 0.5 {
            line.relax();
        }
        if ledger.allows(cost, leftover) {
            ledger.pay(cost);
            return Ok(None);
        }
        if leftover {
            return Err(scarce);
        }
        let first = line.is_empty();
        let patience = settings.patience;
        let until = line.join(now, *newcomer, ledger.delay(), patience).ok_or(Reason::Slots)?;
        ledger.pay(cost);
        if first {
            self.lines.push(place);
        }
        Ok(Some(until))
    }

    fn admit(&mut self, now: Millis, place: Place, newcomer: &Newcomer) {
        let service = &mut self.services[place.service];
        service.overload[at(place.class)].admit(now);
        let target = &mut service.targets[place.target];
        target.connections.open();
        target.seen.open(now);
        if place.class == Class::Request {
            target.seen.begin(now);
        }
        if place.class == Class::Upload {
            target.unheard += 1;
            if self.uploads.len() >= UPLOADS {
                self.uploads.clear();
            }
            self.uploads.insert(newcomer.flow, now);
        }
        let ix = ServiceIx(place.service as u16);
        self.takers[at(place.class)].admit(now, ix, newcomer.caller);
        self.budget.admit(newcomer.early, self.settings.retries);
        self.memory.keep(now, newcomer.flow, Decision::Admitted(now));
        self.counts.admitted[at(place.class)] += 1;
    }

    fn refuse(&mut self, now: Millis, place: Place, newcomer: &Newcomer, reason: Reason) -> Millis {
        let full = matches!(reason, Reason::Slots | Reason::Connections);
        let overload = &mut self.services[place.service].overload[at(place.class)];
        let after = overload.refuse(now, full, &mut self.random);
        let key = caller_key(place.service as u16, place.class, newcomer.caller);
        self.budget.told(key, now + after);
        self.memory.keep(now, newcomer.flow, Decision::Refused(now + after));
        self.counts.refuse(place.class, reason);
        after
    }

    /// Lets in those of one line whose time has come, or turns all away if
    /// its target has begun to leave.
    fn serve(&mut self, now: Millis, place: Place, out: &mut Vec<(FlowId, Verdict)>) {
        let service = &self.services[place.service];
        let target = &service.targets[place.target];
        if placement::leaving(now, target.load.state, &target.seen, service.believed) {
            while let Some(next) = self.line(place).give_up() {
                if self.waits(now, next.who.flow) {
                    let after = self.refuse(now, place, &next.who, Reason::Leaving);
                    out.push((next.who.flow, Verdict::Refuse { after }));
                }
            }
        }
        while let Some(next) = self.line(place).take(now) {
            if self.waits(now, next.who.flow) {
                self.admit(now, place, &next.who);
                out.push((next.who.flow, Verdict::Admit));
            }
        }
    }

    /// Whether the caller of a flow that waited still wants it.
    fn waits(&self, now: Millis, flow: FlowId) -> bool {
        matches!(self.memory.find(now, flow), Some(Decision::Waiting(_)))
    }

    fn tick(&mut self, now: Millis) {
        if self.ticked.is_some_and(|at| now.since(at) < placement::TICK) {
            return;
        }
        self.ticked = Some(now);
        for service in &mut self.services {
            service.advise(now);
        }
    }

    fn find_lines(&mut self) {
        self.lines.clear();
        for (service, s) in self.services.iter().enumerate() {
            for (target, t) in s.targets.iter().enumerate() {
                for class in [Class::Request, Class::Upload] {
                    if !t.lines[at(class)].is_empty() {
                        self.lines.push(Place { service, target, class });
                    }
                }
            }
        }
    }

    fn line(&mut self, place: Place) -> &mut Line {
        &mut self.services[place.service].targets[place.target].lines[at(place.class)]
    }

    fn target(&mut self, service: ServiceIx, target: TargetIx) -> Option<&mut Target> {
        let service = self.services.get_mut(usize::from(service.0))?;
        service.targets.get_mut(usize::from(target.0))
    }
}
