//! What the gate keeps of each service and target.

use crate::{
    admission,
    opening::{ServiceSpec, TargetSpec},
    placement::{self, FULL_WEIGHT, HoldTime, TargetStats, TargetView},
    queue::Queue,
    refusal::Overload,
    settings::Settings,
    shares::{self, AdmissionRate, ConnectionCount, TokenBucket, UploadDemand},
};
use medlarspur_lib::{bundle::Class, ids::ServiceName, time::Millis};

/// How many classes there are.
pub(crate) const CLASSES: usize = 3;
/// What work is taken to hold a slot for before any end was seen, by class.
const INITIAL_HOLDS: [f64; CLASSES] = [1.0, 50.0, 5_000.0];
/// How much longer than usual a target's work must seem to count as longer;
/// below that it is noise. Shorter never counts: a target that sheds answers
/// fast, and would be given ever more to shed.
const SLOW_RATIO: f64 = 2.0;
/// The part of the room for uploads that is given away at once where requests
/// share the slots. Instances that let in one upload too many block both slots
/// of a target for seconds, and requests there are lost.
const SHARED_SLOTS_FRACTION: f64 = 0.5;
/// How many pieces of work an idle target is given at once by each instance,
/// however long they are.
const MIN_BURST: f64 = 2.0;
/// The chance with which an upload gets in at a target that says *full*; one
/// that always says so keeps getting some. Where requests share its slots it
/// gets none: rather an idle slot than a request behind an upload. A few openings in a
/// hundred are enough to notice that it works.
const MIN_PROBABILITY: f64 = 0.02;
/// How much more or less short work a target gets for each piece of work for
/// a slot that it has less or more than the median.
const CATCH_UP_GAIN: f64 = 0.03;
/// The bounds of that. A target that always says *idle* gets a tenth more.
const CATCH_UP_RANGE: (f64, f64) = (0.6, 1.1);

/// Where a class stands in arrays by class.
pub(crate) const fn class_index(class: Class) -> usize {
    match class {
        Class::Feed => 0,
        Class::Request => 1,
        Class::Upload => 2,
    }
}

/// A service and what was learnt of it.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    pub(crate) has_requests: bool,
    pub(crate) balance: u8,
    /// The slots of all targets together.
    slots: u32,
    pub(crate) targets: Vec<Target>,
    pub(crate) weights: Vec<u16>,
    pub(crate) overload: [Overload; CLASSES],
    pub(crate) holds: [HoldTime; CLASSES],
    pub(crate) admission_rate: AdmissionRate,
    pub(crate) load_per_slot: f64,
    /// Whether targets that say they drain are believed.
    pub(crate) trusts_draining: bool,
}

impl Service {
    /// Takes over the bundle's word, and what `old` knew of the same service.
    /// Gives back the lines of targets that are gone.
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

    /// What the shares of its targets follow from.
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

    /// The median of what targets say of their work for each slot, so that no
    /// single one can speed up or slow down the whole service; without reports,
    /// how much longer than ever flows last.
    fn median_load(&self, now: Millis) -> f64 {
        let reported_load = |t: &Target| {
            let report = t.stats.report(now)?;
            Some(f64::from(report.work) / f64::from(t.spec.slots.max(1)))
        };
        let stretch = || self.holds[class_index(Class::Request)].stretch();
        placement::median(self.targets.iter().filter_map(reported_load)).unwrap_or_else(stretch)
    }

    /// Renews the weights.
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

    /// How long a flow of a class usually lasts, in milliseconds.
    fn usual_hold(&self, class: Class) -> f64 {
        self.holds[class_index(class)].estimate(INITIAL_HOLDS[class_index(class)])
    }

    /// What a piece of work of a class costs at a target: a request counts as
    /// one, an upload as the time that it lasts, both more if it is slow.
    pub(crate) fn cost(&self, target: usize, class: Class) -> f64 {
        let usual = self.usual_hold(class);
        let own = self.targets[target].holds[class_index(class)].mean().unwrap_or(usual);
        let times = if own < usual * SLOW_RATIO { 1.0 } else { own / usual };
        if class == Class::Upload { usual * times } else { times }
    }

    /// What each class costs at a target.
    pub(crate) fn costs(&self, target: usize) -> [f64; CLASSES] {
        [Class::Feed, Class::Request, Class::Upload].map(|class| self.cost(target, class))
    }
}

/// A target and what was learnt of it.
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
    /// Uploads let in here since the target last spoke.
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

    /// What the weights are worked out from.
    fn view(&mut self) -> TargetView<'_> {
        TargetView {
            state: self.spec.state,
            weight: self.spec.weight,
            slots: self.spec.slots,
            hold: self.holds[class_index(Class::Request)].mean(),
            stats: &mut self.stats,
        }
    }

    /// The ledger that a class is paid from, and its line; feeds hold no slot.
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

    /// Brings both ledgers up to `now`.
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

    /// The chance with which an upload gets in by the target's own word.
    /// Without one, the room is what ends in a second if uploads last for
    /// `hold`: saved up shares would all be spent at once when a crowd comes.
    /// Uploads shorter than that leave room for others before the target
    /// speaks again.
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

    /// How much faster or slower than the others the target gets short work,
    /// so that one that fell behind catches up. Its word counts for little: a
    /// wrong one may not bring it much more, nor take much away. If the others
    /// have room and what is seen of it bears it out, it counts more.
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

/// What an instance's part of a target follows from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareInputs {
    /// Whether room is kept for requests.
    pub(crate) has_requests: bool,
    /// How many instances are believed live.
    pub(crate) instances: u16,
    /// The median work for each slot, work that waits included.
    pub(crate) load_per_slot: f64,
    /// Requests a millisecond that are let in for each slot.
    pub(crate) request_rate: f64,
}
