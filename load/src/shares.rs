//! An instance's share of a target's slots and connections.
//!
//! Answers saturation where every instance decides alone. Eight instances
//! stand before a target with two slots: a whole slot each would overrun it
//! four times, none each would leave it idle. A share is therefore a *time
//! average*: a [`Ledger`] earns at the rate of the share and pays for each
//! admitted work. Without it a target's backlog grows until callers give up on
//! work that then runs for nobody; one notices hold times that grow while
//! goodput falls.
//!
//! Short work earns by [`Pace`], which follows the ends that come. Long work
//! earns its part of the slots and pays the time that such work holds one;
//! [`Asked`] thins it out by what targets say. [`Connections`] counts openings
//! here less ends seen here *of any flow*: a fabric that sprays packets shows
//! the end of a flow to any instance, so each count is off by a random walk,
//! and their sum is exact.

use medlarspur_lib::time::Millis;

/// For how many milliseconds a share may be saved up while nothing comes. In
/// the model, 100 ms turned callers away by chance for 13–17 s after an
/// overload where 200 ms did for 7–8 s, and a burst of ten times waited for
/// 214 ms at the median with 100 ms and 357 ms with 200 ms.
const SAVINGS: f64 = 150.0;

/// What an instance may still spend on a target, in the unit of its costs.
#[derive(Debug, Clone)]
pub struct Ledger {
    rate: f64,
    depth: f64,
    credit: f64,
    price: f64,
    at: Millis,
}

impl Ledger {
    /// An untouched ledger that may at once spend `depth` pieces of work.
    pub fn new(now: Millis, depth: f64) -> Ledger {
        Ledger { rate: 0.0, depth, credit: f64::MAX, price: 0.0, at: now }
    }

    /// Earns up to `now` at `rate` a millisecond, keeping at most the savings.
    pub fn earn(&mut self, now: Millis, rate: f64, cost: f64) {
        let span = now.since(self.at).0 as f64;
        self.at = now.max(self.at);
        self.rate = rate;
        self.credit = (self.credit + rate * span).min(self.cap(cost));
    }

    /// Reckons what work that was let in still owes by what such work is now
    /// known to cost. Otherwise work let in at a first assumption that was far
    /// too high keeps idle slots closed for as long as that would have taken.
    pub fn reprice(&mut self, cost: f64) {
        if self.credit < 0.0 && self.price > 0.0 {
            self.credit *= cost / self.price;
        }
        self.price = cost;
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

/// Half-life of the count of ends, in milliseconds: long enough to see some
/// hundred ends at a few hundred a second, short enough to follow a change.
const HALF_LIFE: f64 = 1_000.0;
/// How many flows for each slot are let in while nothing is overloaded. A flow
/// lasts longer than its work holds a slot, by its round trips; with fewer, callers are
/// turned away by chance for long after an overload.
const FREE: f64 = 2.5;
/// Work for each slot, work that waits included, that an overloaded target is
/// kept at. Some must wait, or slots idle while reports are a second old.
pub(crate) const GOAL: f64 = 10.0;
/// Below this, slots are about to idle.
pub(crate) const IDLE: f64 = 3.0;
/// How much more than what ends is let in then.
const PROBE: f64 = 1.3;
/// How much less is let in for each piece of work above the goal. Reports lag
/// by a second, in which a slot ends fifty short pieces of work, so that a
/// stronger correction swings.
const CORRECT: f64 = 0.01;
/// The least that is let in, as a part of the free rate: with nothing let in,
/// nothing would end, and the pace would never rise again.
const LEAST: f64 = 0.1;
/// How many ticks in a row slots must idle for the limit to go.
const QUIET: u8 = 2;

/// How fast short work is let in: as fast as such work ends.
///
/// Neither the time that work holds a slot nor the number of flows in progress
/// is known here: an edge that sees no answers can't tell work from round
/// trips, and under a spraying fabric an instance sees few ends of its own
/// flows, so a limit on flows in progress follows a late and noisy estimate
/// and swings. But while targets are
/// saturated, ends come at their capacity, whoever opened the flows; and each
/// instance sees its part of them under either fabric. That part is its share.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    ended: f64,
    at: Millis,
    limited: bool,
    gain: f64,
    quiet: u8,
}

impl Pace {
    /// Counts an end, whoever opened the flow.
    pub fn end(&mut self, now: Millis) {
        self.decay(now);
        self.ended += 1.0;
    }

    /// Adjusts to the work for each slot, work that waits included; called
    /// once a second. `busy` says that work is being turned away.
    pub fn adjust(&mut self, now: Millis, backlog: f64, busy: bool) {
        self.decay(now);
        self.quiet = if backlog < IDLE / 2.0 { self.quiet.saturating_add(1) } else { 0 };
        if busy || backlog > GOAL {
            self.limited = true;
        }
        if self.quiet >= QUIET {
            self.limited = false;
        }
        self.gain = if backlog < IDLE {
            PROBE
        } else {
            1.0 + ((GOAL - backlog) * CORRECT).clamp(-0.3, 0.05)
        };
    }

    /// Openings a millisecond that this instance lets in for each slot, of
    /// `slots` in the service and work that lasts `hold`.
    pub fn rate(&self, slots: u32, hold: f64, instances: u16) -> f64 {
        let free = FREE / hold / f64::from(instances.max(1));
        if !self.limited {
            return free;
        }
        let ends = self.ended * std::f64::consts::LN_2 / HALF_LIFE;
        (ends * self.gain / f64::from(slots.max(1))).clamp(free * LEAST, free)
    }

    fn decay(&mut self, now: Millis) {
        let span = now.since(self.at).0;
        if span > 0 {
            self.at = now;
            self.ended *= (-(span as f64) / HALF_LIFE).exp2();
        }
    }
}

/// How often a target is asked, in milliseconds.
pub(crate) const REPORT: f64 = 1_000.0;
/// Half-life of the count of openings, in milliseconds: some uploads long.
const ASKED_HALF_LIFE: f64 = 5_000.0;

/// How many openings of long work ask for a target here.
///
/// Long work outlasts the lag of reports, so what a target says is of use: it
/// has room for two more. But all instances hear that at once, and each would
/// let in two. Taking the others to be asked as often as itself, an instance
/// lets each opening in with the chance that makes two of all of them.
#[derive(Debug, Clone, Default)]
pub struct Asked {
    count: f64,
    at: Millis,
}

impl Asked {
    /// Counts an opening.
    pub fn ask(&mut self, now: Millis) {
        let span = now.since(self.at).0 as f64;
        self.at = now;
        self.count = self.count * (-span / ASKED_HALF_LIFE).exp2() + 1.0;
    }

    /// The chance with which to let one in, so that about `room` get in at all
    /// `instances` together until the target speaks again.
    pub fn chance(&self, room: f64, instances: u16) -> f64 {
        let rate = self.count * std::f64::consts::LN_2 / ASKED_HALF_LIFE;
        let expected = rate * REPORT * f64::from(instances.max(1));
        (room / expected.max(1.0)).clamp(0.0, 1.0)
    }
}

/// How far a target's word may be from the own count to be believed, as a
/// part of its connections. Of 250 feeds that last an hour, 250 begin and end in
/// an hour, so that a count is off by about 22 (the root of 500) after it; a
/// target that always says zero is farther off once it matters.
const BELIEVED: f64 = 0.3;
/// How much of the difference one report corrects, so that a lagging report
/// cannot make the count swing.
const CORRECTION: f64 = 0.1;
/// The same if it is not believed. Openings that nobody answered have no end
/// that passes here; what they left would close a target that shed for a while
/// for ever.
const DOUBTED: f64 = 0.01;
/// How long a new count takes a target's word for it: an instance that just
/// started has seen no openings and would fill the target a second time.
const UNSURE: Millis = Millis::secs(30);
/// The part of the room up to which a report can raise the count. One whose endpoint always says
/// *full* must not be closed to all by that.
const UNSURE_TAKEN: f64 = 0.7;

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
        let high = part.min(room * UNSURE_TAKEN);
        if now.since(self.since) < UNSURE {
            self.count = self.count.max(high);
            return;
        }
        let goal = if part < self.count { part } else { high.max(self.count) };
        let believed = (goal - self.count).abs() <= room * BELIEVED;
        let step = if believed { CORRECTION } else { DOUBTED };
        self.count += (goal - self.count) * step;
    }

    /// The part of this instance's room that is taken, from 0 to about 1.
    pub fn taken(&self, limit: u32, instances: u16) -> f64 {
        let room = f64::from(limit) / f64::from(instances.max(1));
        if room <= 0.0 { 1.0 } else { self.count.max(0.0) / room }
    }
}
