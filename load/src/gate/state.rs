//! State that the gate keeps for each service and target.

use super::{
    admission,
    opening::{ServiceSpec, TargetSpec},
    placement::{self, FULL_WEIGHT, HoldTime, TargetStats, TargetView},
    queue::Queue,
    refusal::Overload,
    settings::Settings,
    shares::{self, AdmissionRate, ConnectionCount, TokenBucket, UploadDemand},
};
use medlarspur_lib::{bundle::Class, ids::ServiceName, time::Millis};

/// Number of classes.
pub(crate) const CLASSES: usize = 3;
/// Assumed hold time of a slot before any end was seen, by class, in milliseconds.
const INITIAL_HOLDS: [f64; CLASSES] = [1.0, 50.0, 5_000.0];
/// Ratio to the usual hold time from which a target's work counts as longer; smaller
/// differences are noise. Shorter work never counts: a target that sheds answers fast and
/// would get ever more work to shed.
const SLOW_RATIO: f64 = 2.0;
/// Fraction of the upload capacity that is given away at once where requests share the
/// slots. If instances admit one upload too many, both slots of a target are blocked for
/// seconds and requests there are lost.
const SHARED_SLOTS_FRACTION: f64 = 0.5;
/// Pieces of work that each instance gives an idle target at once, whatever their duration.
const MIN_BURST: f64 = 2.0;
/// Probability of admitting an upload at a target that reports *full*, so that a target
/// that always reports it keeps getting some. Where requests share the slots the
/// probability is zero: an idle slot is better than a request behind an upload. A few
/// openings in a hundred are enough to notice that the target works.
const MIN_PROBABILITY: f64 = 0.02;
/// Change of the rate of short work of a target, per piece of work per slot below or above
/// the median.
const CATCH_UP_GAIN: f64 = 0.03;
/// Bounds of that rate factor. A target that always reports *idle* gets a tenth more.
const CATCH_UP_RANGE: (f64, f64) = (0.6, 1.1);

/// Returns the index of a class in arrays by class.
pub(crate) const fn class_index(class: Class) -> usize {
    match class {
        Class::Feed => 0,
        Class::Request => 1,
        Class::Upload => 2,
    }
}

/// A service and the state learnt about it.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    pub(crate) has_requests: bool,
    pub(crate) balance: u8,
    /// Total number of slots of the targets.
    slots: u32,
    pub(crate) targets: Vec<Target>,
    pub(crate) weights: Vec<u16>,
    pub(crate) overload: [Overload; CLASSES],
    pub(crate) holds: [HoldTime; CLASSES],
    pub(crate) admission_rate: AdmissionRate,
    /// Median work per slot, waiting work included.
    pub(crate) load_per_slot: f64,
    /// Whether reports of draining are trusted.
    pub(crate) trusts_draining: bool,
}

impl Service {
    /// Builds a service from the bundle and keeps the learnt state of `old`. Also returns
    /// the queues of removed targets.
    pub(crate) fn new(
        now: Millis,
        spec: ServiceSpec,
        old: Option<Service>,
    ) -> (Service, Vec<Queue>) {
        let is_known = old.is_some();
        let mut old = old.unwrap_or_else(|| Service::empty(spec.name.clone()));
        let mut targets = Vec::with_capacity(spec.targets.len());
        for target in spec.targets {
            let position = old.targets.iter().position(|t| t.spec.name == target.name);
            let target = match position {
                Some(ix) => Target { spec: target, ..old.targets.swap_remove(ix) },
                None => Target::new(now, target, is_known),
            };
            targets.push(target);
        }
        let weights =
            targets.iter().map(|t| t.spec.weight.saturating_mul(FULL_WEIGHT / 100)).collect();
        let orphaned = old.targets.into_iter().flat_map(|t| t.queues).collect();
        let service = Service {
            has_requests: spec.has_requests,
            balance: spec.balance,
            slots: targets.iter().map(|t| u32::from(t.spec.slots)).sum(),
            targets,
            weights,
            ..Service { targets: Vec::new(), ..old }
        };
        (service, orphaned)
    }

    fn empty(name: ServiceName) -> Service {
        Service {
            name,
            has_requests: false,
            balance: 0,
            slots: 0,
            targets: Vec::new(),
            weights: Vec::new(),
            overload: Default::default(),
            holds: [HoldTime::of_service(); CLASSES],
            admission_rate: AdmissionRate::default(),
            load_per_slot: 0.0,
            trusts_draining: true,
        }
    }

    /// Returns the inputs for the shares of the targets.
    pub(crate) fn share_inputs(&self, instances: u16) -> ShareInputs {
        let hold = self.holds[class_index(Class::Request)].least();
        let hold = hold.unwrap_or(INITIAL_HOLDS[class_index(Class::Request)]);
        let request_rate = self.admission_rate.rate(self.slots, hold, instances);
        ShareInputs {
            has_requests: self.has_requests,
            instances,
            load_per_slot: self.load_per_slot,
            request_rate,
        }
    }

    /// Returns the median reported work per slot, so that no single target can speed up or
    /// slow down the whole service. Without reports, returns how much longer than the
    /// shortest flows last.
    fn median_load(&self, now: Millis) -> f64 {
        let reported_load = |t: &Target| {
            let report = t.stats.report(now)?;
            Some(f64::from(report.work) / f64::from(t.spec.slots.max(1)))
        };
        let stretch = || self.holds[class_index(Class::Request)].stretch();
        placement::median(self.targets.iter().filter_map(reported_load)).unwrap_or_else(stretch)
    }

    /// Updates the weights.
    pub(crate) fn update_weights(&mut self, now: Millis) {
        let is_draining = |t: &&Target| t.stats.report(now).is_some_and(|report| report.draining);
        let draining = self.targets.iter().filter(is_draining).count();
        self.trusts_draining = placement::is_draining_plausible(draining, self.targets.len());
        let is_refusing = self.overload[class_index(Class::Request)].is_active(now);
        self.load_per_slot = self.median_load(now);
        self.admission_rate.adjust(now, self.load_per_slot, is_refusing);
        for class in [Class::Request, Class::Upload] {
            let usual = self.usual_hold(class);
            self.targets.iter_mut().for_each(|t| t.holds[class_index(class)].converge(usual));
        }
        let mut views: Vec<TargetView> = self.targets.iter_mut().map(Target::view).collect();
        placement::update_weights(now, self.balance, &mut views, &mut self.weights);
    }

    /// Returns the usual duration of a flow of a class, in milliseconds.
    fn usual_hold(&self, class: Class) -> f64 {
        self.holds[class_index(class)].estimate(INITIAL_HOLDS[class_index(class)])
    }

    /// Returns the cost of a piece of work of a class at a target: 1 for a request, the
    /// duration for an upload, both higher at a slow target.
    pub(crate) fn cost(&self, target: usize, class: Class) -> f64 {
        let usual = self.usual_hold(class);
        let own = self.targets[target].holds[class_index(class)].mean().unwrap_or(usual);
        let times = if own < usual * SLOW_RATIO { 1.0 } else { own / usual };
        if class == Class::Upload { usual * times } else { times }
    }

    /// Returns the cost of each class at a target.
    pub(crate) fn costs(&self, target: usize) -> [f64; CLASSES] {
        [Class::Feed, Class::Request, Class::Upload].map(|class| self.cost(target, class))
    }
}

/// A target and the state learnt about it.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    pub(crate) connections: ConnectionCount,
    pub(crate) request_tokens: TokenBucket,
    pub(crate) upload_tokens: TokenBucket,
    pub(crate) queues: [Queue; CLASSES],
    pub(crate) holds: [HoldTime; CLASSES],
    pub(crate) stats: TargetStats,
    pub(crate) upload_demand: UploadDemand,
    /// Uploads admitted here since the target's last report.
    pub(crate) unreported_uploads: u32,
}

impl Target {
    fn new(now: Millis, spec: TargetSpec, is_new: bool) -> Target {
        Target {
            spec,
            connections: ConnectionCount::new(now),
            request_tokens: TokenBucket::new(now, MIN_BURST),
            upload_tokens: TokenBucket::new(now, MIN_BURST),
            queues: Default::default(),
            holds: Default::default(),
            stats: TargetStats::new(is_new),
            upload_demand: UploadDemand::default(),
            unreported_uploads: 0,
        }
    }

    /// Returns the inputs for the weights.
    fn view(&mut self) -> TargetView<'_> {
        TargetView {
            state: self.spec.state,
            weight: self.spec.weight,
            slots: self.spec.slots,
            hold: self.holds[class_index(Class::Request)].mean(),
            stats: &mut self.stats,
        }
    }

    /// Returns the token bucket and the queue of a class; `None` for feeds, which hold no
    /// slot.
    pub(crate) fn bucket_and_queue(
        &mut self,
        class: Class,
    ) -> Option<(&mut TokenBucket, &mut Queue)> {
        let tokens = match class {
            Class::Feed => return None,
            Class::Request => &mut self.request_tokens,
            Class::Upload => &mut self.upload_tokens,
        };
        Some((tokens, &mut self.queues[class_index(class)]))
    }

    /// Refills both token buckets up to `now`.
    pub(crate) fn refill(
        &mut self,
        now: Millis,
        settings: &Settings,
        share: ShareInputs,
        costs: [f64; CLASSES],
    ) {
        let ShareInputs { has_requests, instances, request_rate, .. } = share;
        let part = 1.0 / f64::from(instances.max(1));
        let slots =
            |class| admission::allowed_slots(settings, has_requests, class, self.spec.slots);
        let (all, long) = (slots(Class::Request), slots(Class::Upload));
        let booking = if has_requests { 1.0 } else { f64::from(settings.booking) / 100.0 };
        let booked = long * part * booking;
        self.upload_tokens.reprice_debt(costs[class_index(Class::Upload)]);
        self.upload_tokens.refill(now, booked, costs[class_index(Class::Upload)]);
        let taken = self.upload_tokens.used_fraction(costs[class_index(Class::Upload)]) * long;
        let free = if has_requests { all - taken } else { all };
        let rate = request_rate * self.catch_up_factor(now, share.load_per_slot);
        self.request_tokens.refill(now, free * rate, costs[class_index(Class::Request)]);
    }

    /// Returns the probability of admitting an upload, from the target's report.
    ///
    /// Without a report, the capacity is what ends in a second if uploads last for `hold`:
    /// accumulated shares would all be spent at once when a burst comes. Uploads that are
    /// shorter than the report interval free capacity for others before the next report.
    pub(crate) fn upload_probability(
        &mut self,
        now: Millis,
        settings: &Settings,
        share: ShareInputs,
        hold: f64,
    ) -> f64 {
        self.upload_demand.record_opening(now);
        let slots =
            admission::allowed_slots(settings, share.has_requests, Class::Upload, self.spec.slots);
        let booking = if share.has_requests { 1.0 } else { f64::from(settings.booking) / 100.0 };
        let free_slots = match self.stats.report(now) {
            Some(report) => {
                let turns = (shares::REPORT_INTERVAL_MS / hold).max(1.0);
                let unreported = f64::from(self.unreported_uploads) / turns;
                (slots * booking - f64::from(report.work) - unreported) * turns
            }
            None if share.has_requests => {
                slots * SHARED_SLOTS_FRACTION * shares::REPORT_INTERVAL_MS / hold
            }
            None => slots * booking * shares::REPORT_INTERVAL_MS / hold,
        };
        if share.has_requests {
            return self
                .upload_demand
                .admit_probability(free_slots * SHARED_SLOTS_FRACTION, share.instances);
        }
        self.upload_demand.admit_probability(free_slots, share.instances).max(MIN_PROBABILITY)
    }

    /// Returns the rate factor of short work at this target, so that a target with a
    /// backlog catches up. A report has little weight: a wrong one must not bring the
    /// target much more work, nor take much away. It has more weight if the others have
    /// capacity and observations confirm it.
    fn catch_up_factor(&self, now: Millis, median_load: f64) -> f64 {
        let Some(report) = self.stats.report(now) else { return 1.0 };
        let own_load = f64::from(report.work) / f64::from(self.spec.slots.max(1));
        let factor = (1.0 + (median_load - own_load) * CATCH_UP_GAIN)
            .clamp(CATCH_UP_RANGE.0, CATCH_UP_RANGE.1);
        let is_behind =
            median_load < shares::IDLE_LOAD && own_load > median_load + shares::TARGET_LOAD;
        if is_behind { factor * self.stats.pace_factor() } else { factor }
    }
}

/// Inputs for an instance's share of a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareInputs {
    /// Whether capacity is reserved for requests.
    pub(crate) has_requests: bool,
    /// Number of instances that are believed to be live.
    pub(crate) instances: u16,
    /// Median work per slot, waiting work included.
    pub(crate) load_per_slot: f64,
    /// Requests per millisecond that are admitted for each slot.
    pub(crate) request_rate: f64,
}
