//! What the gate keeps of each service and target.

use crate::{
    admission,
    opening::{ServiceSpec, TargetSpec},
    placement::{self, FULL, Hold, Seen, View},
    queue::Line,
    refusal::Overload,
    settings::Settings,
    shares::{self, Asked, Connections, Ledger, Pace},
};
use medlarspur_lib::{bundle::Class, ids::ServiceName, time::Millis};

/// How many classes there are.
pub(crate) const CLASSES: usize = 3;
/// What work is taken to hold a slot for before any end was seen, by class.
const FIRST_HOLDS: [f64; CLASSES] = [1.0, 50.0, 5_000.0];
/// How much longer than usual a target's work must seem to count as longer;
/// below that it is noise. Shorter never counts: a target that sheds answers
/// fast, and would be given ever more to shed.
const SLOWER: f64 = 2.0;
/// The part of the room for uploads that is given away at once where requests
/// share the slots. Instances that let in one upload too many block both slots
/// of a target for seconds, and requests there are lost.
const CAUTION: f64 = 0.5;
/// How many pieces of work an idle target is given at once by each instance,
/// however long they are.
const DEPTH: f64 = 2.0;
/// The chance with which an upload gets in at a target that says *full*; one
/// that always says so keeps getting some. Where requests share its slots it
/// gets none: rather an idle slot than a request behind an upload. A few openings in a
/// hundred are enough to notice that it works.
const DOUBT: f64 = 0.02;
/// How much more or less short work a target gets for each piece of work for
/// a slot that it has less or more than the median.
const CATCH_UP: f64 = 0.03;
/// The bounds of that. A target that always says *idle* gets a tenth more.
const TRIM: (f64, f64) = (0.6, 1.1);

/// Where a class stands in arrays by class.
pub(crate) const fn at(class: Class) -> usize {
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
    pub(crate) requests: bool,
    pub(crate) balance: u8,
    /// The slots of all targets together.
    slots: u32,
    pub(crate) targets: Vec<Target>,
    pub(crate) weights: Vec<u16>,
    pub(crate) overload: [Overload; CLASSES],
    pub(crate) holds: [Hold; CLASSES],
    pub(crate) pace: Pace,
    pub(crate) backlog: f64,
    /// Whether targets that say they drain are believed.
    pub(crate) believed: bool,
}

impl Service {
    /// Takes over the bundle's word, and what `old` knew of the same service.
    /// Gives back the lines of targets that are gone.
    pub(crate) fn new(
        now: Millis,
        load: ServiceSpec,
        old: Option<Service>,
    ) -> (Service, Vec<Line>) {
        let known = old.is_some();
        let mut old = old.unwrap_or_else(|| Service::empty(load.name.clone()));
        let mut targets = Vec::with_capacity(load.targets.len());
        for load in load.targets {
            let same = old.targets.iter().position(|t| t.load.name == load.name);
            let target = match same {
                Some(ix) => Target { load, ..old.targets.swap_remove(ix) },
                None => Target::new(now, load, known),
            };
            targets.push(target);
        }
        let weights = targets.iter().map(|t| t.load.weight.saturating_mul(FULL / 100)).collect();
        let gone = old.targets.into_iter().flat_map(|t| t.lines).collect();
        let service = Service {
            requests: load.has_requests,
            balance: load.balance,
            slots: targets.iter().map(|t| u32::from(t.load.slots)).sum(),
            targets,
            weights,
            ..Service { targets: Vec::new(), ..old }
        };
        (service, gone)
    }

    fn empty(name: ServiceName) -> Service {
        Service {
            name,
            requests: false,
            balance: 0,
            slots: 0,
            targets: Vec::new(),
            weights: Vec::new(),
            overload: Default::default(),
            holds: [Hold::of_service(); CLASSES],
            pace: Pace::default(),
            backlog: 0.0,
            believed: true,
        }
    }

    /// What the shares of its targets follow from.
    pub(crate) fn share(&self, instances: u16) -> Share {
        let hold = self.holds[at(Class::Request)].least();
        let hold = hold.unwrap_or(FIRST_HOLDS[at(Class::Request)]);
        let pace = self.pace.rate(self.slots, hold, instances);
        Share { requests: self.requests, instances, backlog: self.backlog, pace }
    }

    /// The median of what targets say of their work for each slot, so that no
    /// single one can speed up or slow down the whole service; without reports,
    /// how much longer than ever flows last.
    fn median(&self, now: Millis) -> f64 {
        let told = |t: &Target| {
            let told = t.seen.told(now)?;
            Some(f64::from(told.work) / f64::from(t.load.slots.max(1)))
        };
        let guess = || self.holds[at(Class::Request)].stretch();
        placement::median(self.targets.iter().filter_map(told)).unwrap_or_else(guess)
    }

    /// Renews the weights.
    pub(crate) fn advise(&mut self, now: Millis) {
        let told = |t: &&Target| t.seen.told(now).is_some_and(|told| told.draining);
        let draining = self.targets.iter().filter(told).count();
        self.believed = placement::drains_believed(draining, self.targets.len());
        let busy = self.overload[at(Class::Request)].lasts(now);
        self.backlog = self.median(now);
        self.pace.adjust(now, self.backlog, busy);
        for class in [Class::Request, Class::Upload] {
            let usual = self.usual(class);
            self.targets.iter_mut().for_each(|t| t.holds[at(class)].relax(usual));
        }
        let mut views: Vec<View> = self.targets.iter_mut().map(Target::view).collect();
        placement::advise(now, self.balance, &mut views, &mut self.weights);
    }

    /// How long a flow of a class usually lasts, in milliseconds.
    fn usual(&self, class: Class) -> f64 {
        self.holds[at(class)].guess(FIRST_HOLDS[at(class)])
    }

    /// What a piece of work of a class costs at a target: a request counts as
    /// one, an upload as the time that it lasts, both more if it is slow.
    pub(crate) fn cost(&self, target: usize, class: Class) -> f64 {
        let usual = self.usual(class);
        let own = self.targets[target].holds[at(class)].mean().unwrap_or(usual);
        let times = if own < usual * SLOWER { 1.0 } else { own / usual };
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
    pub(crate) load: TargetSpec,
    pub(crate) connections: Connections,
    pub(crate) requests: Ledger,
    pub(crate) uploads: Ledger,
    pub(crate) lines: [Line; CLASSES],
    pub(crate) holds: [Hold; CLASSES],
    pub(crate) seen: Seen,
    pub(crate) asked: Asked,
    /// Uploads let in here since the target last spoke.
    pub(crate) unheard: u32,
}

impl Target {
    fn new(now: Millis, load: TargetSpec, cold: bool) -> Target {
        Target {
            load,
            connections: Connections::new(now),
            requests: Ledger::new(now, DEPTH),
            uploads: Ledger::new(now, DEPTH),
            lines: Default::default(),
            holds: Default::default(),
            seen: Seen::new(cold),
            asked: Asked::default(),
            unheard: 0,
        }
    }

    /// What the weights are worked out from.
    fn view(&mut self) -> View<'_> {
        View {
            state: self.load.state,
            weight: self.load.weight,
            slots: self.load.slots,
            hold: self.holds[at(Class::Request)].mean(),
            seen: &mut self.seen,
        }
    }

    /// The ledger that a class is paid from, and its line; feeds hold no slot.
    pub(crate) fn ledger(&mut self, class: Class) -> Option<(&mut Ledger, &mut Line)> {
        let ledger = match class {
            Class::Feed => return None,
            Class::Request => &mut self.requests,
            Class::Upload => &mut self.uploads,
        };
        Some((ledger, &mut self.lines[at(class)]))
    }

    /// Brings both ledgers up to `now`.
    pub(crate) fn earn(
        &mut self,
        now: Millis,
        settings: &Settings,
        share: Share,
        costs: [f64; CLASSES],
    ) {
        let Share { requests, instances, pace, .. } = share;
        let part = 1.0 / f64::from(instances.max(1));
        let slots = |class| admission::slots(settings, requests, class, self.load.slots);
        let (all, long) = (slots(Class::Request), slots(Class::Upload));
        let booking = if requests { 1.0 } else { f64::from(settings.booking) / 100.0 };
        let booked = long * part * booking;
        self.uploads.reprice(costs[at(Class::Upload)]);
        self.uploads.earn(now, booked, costs[at(Class::Upload)]);
        let taken = self.uploads.spent(costs[at(Class::Upload)]) * long;
        let free = if requests { all - taken } else { all };
        let pace = pace * self.trim(now, share.backlog);
        self.requests.earn(now, free * pace, costs[at(Class::Request)]);
    }

    /// The chance with which an upload gets in by the target's own word.
    /// Without one, the room is what ends in a second if uploads last for
    /// `hold`: saved up shares would all be spent at once when a crowd comes.
    /// Uploads shorter than that leave room for others before the target
    /// speaks again.
    pub(crate) fn chance(
        &mut self,
        now: Millis,
        settings: &Settings,
        share: Share,
        hold: f64,
    ) -> f64 {
        self.asked.ask(now);
        let slots = admission::slots(settings, share.requests, Class::Upload, self.load.slots);
        let booking = if share.requests { 1.0 } else { f64::from(settings.booking) / 100.0 };
        let room = match self.seen.told(now) {
            Some(told) => {
                let turns = (shares::REPORT / hold).max(1.0);
                let unheard = f64::from(self.unheard) / turns;
                (slots * booking - f64::from(told.work) - unheard) * turns
            }
            None if share.requests => slots * CAUTION * shares::REPORT / hold,
            None => slots * booking * shares::REPORT / hold,
        };
        if share.requests {
            return self.asked.chance(room * CAUTION, share.instances);
        }
        self.asked.chance(room, share.instances).max(DOUBT)
    }

    /// How much faster or slower than the others the target gets short work,
    /// so that one that fell behind catches up. Its word counts for little: a
    /// wrong one may not bring it much more, nor take much away. If the others
    /// have room and what is seen of it bears it out, it counts more.
    fn trim(&self, now: Millis, usual: f64) -> f64 {
        let Some(told) = self.seen.told(now) else { return 1.0 };
        let backlog = f64::from(told.work) / f64::from(self.load.slots.max(1));
        let trim = (1.0 + (usual - backlog) * CATCH_UP).clamp(TRIM.0, TRIM.1);
        let behind = usual < shares::IDLE && backlog > usual + shares::GOAL;
        if behind { trim * self.seen.slowdown() } else { trim }
    }
}

/// What an instance's part of a target follows from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    /// Whether room is kept for requests.
    pub(crate) requests: bool,
    /// How many instances are believed live.
    pub(crate) instances: u16,
    /// The median work for each slot, work that waits included.
    pub(crate) backlog: f64,
    /// Requests a millisecond that are let in for each slot.
    pub(crate) pace: f64,
}
