//! The admission decisions of one instance, combined for the packet path.

pub mod admission;
mod counts;
mod opening;
pub mod placement;
pub mod queue;
pub mod refusal;
pub mod retry;
mod settings;
pub mod shares;
mod state;

pub use counts::Counts;
pub use opening::{Closing, LoadReport, Opening, ServiceSpec, Signal, TargetSpec, Verdict};
pub use settings::Settings;

use crate::{callers::caller_key, random::Random};
use admission::CallerUsage;
use counts::Reason;
use medlarspur_lib::{
    bundle::{Class, TargetState},
    collections::Map,
    ids::{FlowId, ServiceIx, TargetIx},
    time::Millis,
};
use queue::{Queue, Requester};
use retry::{Decision, DecisionCache, RetryBudget};
use state::{CLASSES, Service, Target, class_index};

/// Maximum number of uploads whose opening time is kept to learn how long uploads take.
/// Uploads outlast the decision cache. When the limit is reached, samples are lost.
const MAX_UPLOADS: usize = 8_192;

/// All decisions under load of one instance. It belongs to one thread.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    instances: u16,
    services: Vec<Service>,
    decisions: DecisionCache,
    retry_budget: RetryBudget,
    usage: [CallerUsage; CLASSES],
    upload_starts: Map<FlowId, Millis>,
    random: Random,
    /// Queues in which openings wait.
    active_queues: Vec<QueueId>,
    /// Waiting openings whose target was removed.
    orphaned: Vec<FlowId>,
    last_tick: Option<Millis>,
    counts: Counts,
}

/// Identifies the queue of one class at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct QueueId {
    service: usize,
    target: usize,
    class: Class,
}

impl Gate {
    /// Returns a gate without services. `seed` differs for each instance, so that instances
    /// refuse different openings and spread retry times differently.
    pub fn new(settings: Settings, seed: u64) -> Gate {
        let mut random = Random::new(seed);
        let classes = [Class::Feed, Class::Request, Class::Upload];
        let usage = classes.map(|class| CallerUsage::new(random.draw(), class));
        Gate {
            settings,
            instances: 1,
            services: Vec::new(),
            decisions: DecisionCache::new(),
            retry_budget: RetryBudget::new(),
            usage,
            upload_starts: Map::default(),
            random,
            active_queues: Vec::new(),
            orphaned: Vec::new(),
            last_tick: None,
            counts: Counts::default(),
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Installs the services of a bundle, in its order.
    ///
    /// State learnt about a service or target is kept by name. Openings that wait for a
    /// removed target are refused by the next [`Gate::collect_verdicts`].
    pub fn set_services(&mut self, now: Millis, services: Vec<ServiceSpec>) {
        let old = std::mem::take(&mut self.services);
        let mut old: Map<_, _> = old.into_iter().map(|s| (s.name.clone(), s)).collect();
        let mut gone: Vec<Queue> = Vec::new();
        for spec in services {
            let previous = old.remove(&spec.name);
            let (service, queues) = Service::new(now, spec, previous);
            gone.extend(queues);
            self.services.push(service);
        }
        gone.extend(old.into_values().flat_map(|s| s.targets).flat_map(|t| t.queues));
        self.orphaned.extend(gone.iter().flat_map(Queue::flows));
        self.index_active_queues();
    }

    /// Stops new work for a target. Openings that wait for it are refused by the next
    /// [`Gate::collect_verdicts`].
    pub fn mark_leaving(&mut self, service: ServiceIx, target: TargetIx) {
        if let Some(target) = self.target(service, target) {
            target.spec.state = TargetState::Leaving;
        }
    }

    /// Sets the number of instances that are believed to be live, including this one.
    pub fn set_instances(&mut self, instances: u16) {
        self.instances = instances.max(1);
    }

    /// Decides on the first packet of a flow that the instance does not know.
    pub fn open(&mut self, now: Millis, opening: &Opening) -> Verdict {
        if let Some(verdict) = self.earlier_verdict(now, opening) {
            return verdict;
        }
        let id = QueueId {
            service: usize::from(opening.service.0),
            target: usize::from(opening.target.0),
            class: opening.class,
        };
        let is_known = self.services.get(id.service).is_some_and(|s| id.target < s.targets.len());
        if !is_known {
            self.counts.refuse(opening.class, Reason::Leaving);
            return Verdict::Refuse { after: refusal::MIN_WAIT };
        }
        let requester = self.requester(now, opening);
        match self.decide(now, id, &requester) {
            Ok(None) => {
                self.admit(now, id, &requester);
                Verdict::Admit
            }
            Ok(Some(until)) => {
                self.counts.waited[class_index(id.class)] += 1;
                self.decisions.insert(now, opening.flow, Decision::Waiting(until));
                Verdict::Wait { until }
            }
            Err(reason) => Verdict::Refuse { after: self.refuse(now, id, &requester, reason) },
        }
    }

    /// Appends the final verdicts of waiting openings that are due.
    ///
    /// It costs almost nothing while no opening waits. Call it after each batch and at
    /// least every few milliseconds.
    pub fn collect_verdicts(&mut self, now: Millis, out: &mut Vec<(FlowId, Verdict)>) {
        for flow in self.orphaned.drain(..) {
            let after = refusal::MIN_WAIT;
            self.decisions.insert(now, flow, Decision::Refused(now + after));
            out.push((flow, Verdict::Refuse { after }));
        }
        let mut ix = 0;
        while ix < self.active_queues.len() {
            let id = self.active_queues[ix];
            self.serve_queue(now, id, out);
            if self.queue(id).is_empty() {
                self.active_queues.swap_remove(ix);
            } else {
                ix += 1;
            }
        }
        self.tick(now);
    }

    /// Records the end of a flow, whichever instance opened it.
    pub fn record_closing(&mut self, now: Millis, closing: &Closing) {
        let class = class_index(closing.class);
        let admitted = match closing.class {
            Class::Upload => {
                self.decisions.remove(closing.flow);
                self.upload_starts.remove(&closing.flow)
            }
            Class::Feed | Class::Request => self.decisions.remove(closing.flow),
        };
        let Some(service) = self.services.get_mut(usize::from(closing.service.0)) else { return };
        let Some(target) = service.targets.get_mut(usize::from(closing.target.0)) else { return };
        if closing.class == Class::Request {
            service.admission_rate.record_end(now);
            target.stats.record_end(now);
        }
        target.connections.record_close();
        if let Some(admitted) = admitted {
            let hold = now.since(admitted);
            target.holds[class].add(hold);
            service.holds[class].add(hold);
        }
    }

    /// Records a signal about a target.
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
            Signal::Established { .. } => target.stats.record_established(now),
            Signal::Reset => target.stats.record_reset(now),
            Signal::NoReport => {}
            Signal::Report(report) => {
                target.stats.record_report(now, report);
                target.unreported_uploads = 0;
                let limit = target.spec.connections;
                target.connections.reconcile(now, report.connections, limit, instances);
            }
        }
    }

    /// Returns how much new work each target of a service should get, in thousandths of a
    /// full weight. The weights are advice for the planner, updated once a second.
    pub fn weights(&self, service: ServiceIx) -> &[u16] {
        self.services.get(usize::from(service.0)).map_or(&[], |s| &s.weights)
    }

    /// Returns the number of decisions by outcome since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the earlier verdict of a repeated opening.
    fn earlier_verdict(&mut self, now: Millis, opening: &Opening) -> Option<Verdict> {
        let decision = self.decisions.get(now, opening.flow)?;
        self.counts.repeated += 1;
        Some(match decision {
            Decision::Admitted(_) => {
                if let Some(target) = self.target(opening.service, opening.target) {
                    target.stats.record_opening(now);
                }
                Verdict::Admit
            }
            Decision::Waiting(until) => Verdict::Wait { until },
            Decision::Refused(until) => Verdict::Refuse { after: until.since(now) },
        })
    }

    fn requester(&mut self, now: Millis, opening: &Opening) -> Requester {
        let Opening { flow, caller, service, class, .. } = *opening;
        let usage = &mut self.usage[class_index(class)];
        let total = usage.total(now, service);
        let is_heavy = usage.is_heavy(now, &self.settings, service, caller, total);
        let overload = &self.services[usize::from(service.0)].overload[class_index(class)];
        let is_early = overload.is_active(now)
            && self.retry_budget.is_early(now, caller_key(service.0, class, caller));
        Requester { flow, caller, is_heavy, is_early }
    }

    /// Returns `None` to admit the opening now, the time of its release if it waits, or the
    /// reason of the refusal.
    fn decide(
        &mut self,
        now: Millis,
        id: QueueId,
        requester: &Requester,
    ) -> Result<Option<Millis>, Reason> {
        let QueueId { class, .. } = id;
        let is_over_budget = requester.is_early && !self.retry_budget.has_tokens();
        let spare_only = requester.is_heavy || is_over_budget;
        let settings = &self.settings;
        let service = &mut self.services[id.service];
        let share = service.share_inputs(self.instances);
        let costs = service.costs(id.target);
        let cost = costs[class_index(class)];
        let target = &mut service.targets[id.target];
        if placement::is_leaving(now, target.spec.state, &target.stats, service.trusts_draining) {
            return Err(Reason::Leaving);
        }
        let spare_reason = if requester.is_heavy { Reason::Heavy } else { Reason::Early };
        let utilization = target.connections.utilization(target.spec.connections, self.instances);
        if !admission::can_take_connection(
            settings,
            share.has_requests,
            class,
            utilization,
            spare_only,
        ) {
            return Err(if spare_only { spare_reason } else { Reason::Connections });
        }
        target.refill(now, settings, share, costs);
        if class == Class::Upload {
            let probability = target.upload_probability(now, settings, share, cost);
            if self.random.fraction() >= probability {
                return Err(Reason::Slots);
            }
        }
        let Some((tokens, queue)) = target.bucket_and_queue(class) else { return Ok(None) };
        if tokens.used_fraction(cost) < 0.5 {
            queue.mark_relieved();
        }
        if tokens.can_spend(cost, spare_only) {
            tokens.spend(cost);
            return Ok(None);
        }
        if spare_only {
            return Err(spare_reason);
        }
        let was_empty = queue.is_empty();
        let max_wait = settings.patience;
        let until = queue.push(now, *requester, tokens.delay(), max_wait).ok_or(Reason::Slots)?;
        tokens.spend(cost);
        if was_empty {
            self.active_queues.push(id);
        }
        Ok(Some(until))
    }

    fn admit(&mut self, now: Millis, id: QueueId, requester: &Requester) {
        let service = &mut self.services[id.service];
        service.overload[class_index(id.class)].record_admission(now);
        let target = &mut service.targets[id.target];
        target.connections.record_opening();
        target.stats.record_opening(now);
        if id.class == Class::Request {
            target.stats.record_start(now);
        }
        if id.class == Class::Upload {
            target.unreported_uploads += 1;
            if self.upload_starts.len() >= MAX_UPLOADS {
                self.upload_starts.clear();
            }
            self.upload_starts.insert(requester.flow, now);
        }
        let ix = ServiceIx(id.service as u16);
        self.usage[class_index(id.class)].record_admission(now, ix, requester.caller);
        self.retry_budget.record_admission(requester.is_early, self.settings.retries);
        self.decisions.insert(now, requester.flow, Decision::Admitted(now));
        self.counts.admitted[class_index(id.class)] += 1;
    }

    fn refuse(
        &mut self,
        now: Millis,
        id: QueueId,
        requester: &Requester,
        reason: Reason,
    ) -> Millis {
        let out_of_capacity = matches!(reason, Reason::Slots | Reason::Connections);
        let overload = &mut self.services[id.service].overload[class_index(id.class)];
        let after = overload.record_refusal(now, out_of_capacity, &mut self.random);
        let key = caller_key(id.service as u16, id.class, requester.caller);
        self.retry_budget.record_refusal(key, now + after);
        self.decisions.insert(now, requester.flow, Decision::Refused(now + after));
        self.counts.refuse(id.class, reason);
        after
    }

    /// Admits the openings of one queue that are due, or refuses all of them if the target
    /// is leaving.
    fn serve_queue(&mut self, now: Millis, id: QueueId, out: &mut Vec<(FlowId, Verdict)>) {
        let service = &self.services[id.service];
        let target = &service.targets[id.target];
        if placement::is_leaving(now, target.spec.state, &target.stats, service.trusts_draining) {
            while let Some(next) = self.queue(id).pop() {
                if self.is_waiting(now, next.requester.flow) {
                    let after = self.refuse(now, id, &next.requester, Reason::Leaving);
                    out.push((next.requester.flow, Verdict::Refuse { after }));
                }
            }
        }
        while let Some(next) = self.queue(id).pop_due(now) {
            if self.is_waiting(now, next.requester.flow) {
                self.admit(now, id, &next.requester);
                out.push((next.requester.flow, Verdict::Admit));
            }
        }
    }

    /// Returns whether a flow still waits: its caller has not closed it.
    fn is_waiting(&self, now: Millis, flow: FlowId) -> bool {
        matches!(self.decisions.get(now, flow), Some(Decision::Waiting(_)))
    }

    fn tick(&mut self, now: Millis) {
        if self.last_tick.is_some_and(|at| now.since(at) < placement::WEIGHT_INTERVAL) {
            return;
        }
        self.last_tick = Some(now);
        for service in &mut self.services {
            service.update_weights(now);
        }
    }

    fn index_active_queues(&mut self) {
        self.active_queues.clear();
        for (service, s) in self.services.iter().enumerate() {
            for (target, t) in s.targets.iter().enumerate() {
                for class in [Class::Request, Class::Upload] {
                    if !t.queues[class_index(class)].is_empty() {
                        self.active_queues.push(QueueId { service, target, class });
                    }
                }
            }
        }
    }

    fn queue(&mut self, id: QueueId) -> &mut Queue {
        &mut self.services[id.service].targets[id.target].queues[class_index(id.class)]
    }

    fn target(&mut self, service: ServiceIx, target: TargetIx) -> Option<&mut Target> {
        let service = self.services.get_mut(usize::from(service.0))?;
        service.targets.get_mut(usize::from(target.0))
    }
}
