//! An instance's share of a target's slots and connections.
//!
//! Answers saturation where every instance decides alone. Eight instances
//! stand before a target with two slots: a whole slot each would overrun it
//! four times, none each would leave it idle. A share is therefore a *time
//! average*: [`Ledger`] earns slot-milliseconds at the instance's fraction of
//! the slots and pays for each admitted work what such work held a slot for
//! lately. Without it a target's backlog grows until callers give up on work
//! that then runs for nobody; one notices hold times that grow while goodput
//! falls.
//!
//! A fabric that sprays packets shows the end of a flow to any instance. The
//! ledger therefore needs no ends of its own flows, and [`Connections`] counts
//! openings here less ends seen here *of any flow*: each instance's count is
//! off by a random walk, their sum is exact.

use medlarspur_lib::time::Millis;

/// How much of the target's time may be saved up while nothing comes. The
/// backlog that a burst makes in a target is bounded by this; at 100 ms half
/// load waited, at 1000 ms a burst kept a target behind for a second.
const SAVINGS: f64 = 250.0;

/// Slot-milliseconds that an instance may still spend on a target.
#[derive(Debug, Clone)]
pub struct Ledger {
    rate: f64,
    depth: f64,
    credit: f64,
    at: Millis,
}

impl Ledger {
    /// An untouched ledger that may at once spend `depth` pieces of work.
    pub fn new(now: Millis, depth: f64) -> Ledger {
        Ledger { rate: 0.0, depth, credit: f64::MAX, at: now }
    }

    /// Earns up to `now` at `rate` slots, keeping at most the savings.
    pub fn earn(&mut self, now: Millis, rate: f64, cost: f64) {
        let span = now.since(self.at).0 as f64;
        self.at = now.max(self.at);
        self.rate = rate;
        self.credit = (self.credit + rate * span).min(self.cap(cost));
    }

    /// Pays for one admitted piece of work.
    pub fn pay(&mut self, cost: f64) {
        self.credit -= cost;
    }

    /// Whether work may be let in now. Scarce work only gets what is left
    /// over: the upper half of the savings.
    pub fn allows(&self, cost: f64, leftover: bool) -> bool {
        if leftover { self.credit >= self.cap(cost) / 2.0 } else { self.credit >= 0.0 }
    }

    /// How long until work may be let in, after all that was paid for.
    pub fn delay(&self) -> Millis {
        if self.credit >= 0.0 {
            return Millis(0);
        }
        if self.rate <= 0.0 {
            return Millis(u64::MAX);
        }
        Millis((-self.credit / self.rate).ceil() as u64)
    }

    /// The part of the savings that is spent, from 0 to 1.
    pub fn spent(&self, cost: f64) -> f64 {
        (1.0 - self.credit / self.cap(cost)).clamp(0.0, 1.0)
    }

    fn cap(&self, cost: f64) -> f64 {
        (self.rate * SAVINGS).max(cost * self.depth)
    }
}

/// The lowest and the highest booking that is tried.
const BOOKINGS: (f64, f64) = (1.25, 16.0);
/// Where booking starts, and where it goes back to while there is room.
const FIRST: f64 = 4.0;
/// Hold times below this many times the unhurried ones leave slots idle.
const IDLE: f64 = 2.0;
/// Hold times above this many times the unhurried ones are mostly waiting.
const WAITING: f64 = 3.0;
/// How fast the booking changes in a second.
const STEP: f64 = 1.1;
/// How fast the unhurried hold time is forgotten in a second, so that work
/// that has become longer for good is not taken for waiting for ever.
const FORGET: f64 = 1.005;

/// How much work is given to a target at once, in multiples of its slots.
///
/// A flow lasts longer than its work holds a slot: it takes its round trips,
/// and an edge that sees no answers can't tell the two apart. With one flow
/// for each slot, slots idle during round trips; with too many, work waits in
/// the target. So the booking grows while work is turned away and flows are
/// hardly longer than without load, and shrinks when they are much longer.
#[derive(Debug, Clone)]
pub struct Booking {
    factor: f64,
    unhurried: f64,
}

impl Booking {
    /// Starts in the middle.
    pub fn new() -> Booking {
        Booking { factor: FIRST, unhurried: f64::MAX }
    }

    /// The multiple of the slots that may be given to a target.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Adjusts to how long flows lately took; called once a second.
    pub fn adjust(&mut self, hold: Option<f64>, busy: bool) {
        let Some(hold) = hold else { return };
        self.unhurried = (self.unhurried * FORGET).min(hold);
        let goal = match hold / self.unhurried {
            _ if !busy => self.factor + (FIRST - self.factor) * (STEP - 1.0),
            ratio if ratio < IDLE => self.factor * STEP,
            ratio if ratio > WAITING => self.factor / STEP,
            _ => self.factor,
        };
        self.factor = goal.clamp(BOOKINGS.0, BOOKINGS.1);
    }
}

impl Default for Booking {
    fn default() -> Booking {
        Booking::new()
    }
}

/// How far a target's word may be from the own count to be believed, as a
/// part of its connections. The random walk of a day stays within it; a
/// target that always says zero does not.
const BELIEVED: f64 = 0.3;
/// How much of the difference one report corrects, so that a lagging report
/// cannot make the count swing.
const CORRECTION: f64 = 0.1;
/// How long a new count takes a target's word for it: an instance that just
/// started has seen no openings and would fill the target a second time.
const UNSURE: Millis = Millis::secs(30);

/// This instance's part of the connections that a target holds.
#[derive(Debug, Clone)]
pub struct Connections {
    count: f64,
    since: Millis,
}

impl Connections {
    /// Starts to count at `now`.
    pub fn new(now: Millis) -> Connections {
        Connections { count: 0.0, since: now }
    }

    /// Counts an opening.
    pub fn open(&mut self) {
        self.count += 1.0;
    }

    /// Counts the end of a flow, whoever opened it.
    pub fn close(&mut self) {
        self.count -= 1.0;
    }

    /// Takes in what the target says, as far as it can be true.
    pub fn told(&mut self, now: Millis, connections: u32, limit: u32, instances: u16) {
        let part = f64::from(connections) / f64::from(instances.max(1));
        let room = f64::from(limit) / f64::from(instances.max(1));
        if now.since(self.since) < UNSURE {
            self.count = self.count.max(part.min(room));
        } else if (part - self.count).abs() <= room * BELIEVED {
            self.count += (part - self.count) * CORRECTION;
        }
    }

    /// The part of this instance's room that is taken, from 0 to about 1.
    pub fn taken(&self, limit: u32, instances: u16) -> f64 {
        let room = f64::from(limit) / f64::from(instances.max(1));
        if room <= 0.0 { 1.0 } else { self.count.max(0.0) / room }
    }
}
