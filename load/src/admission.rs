//! Letting in: which class gets which part of a target, and who is let in
//! first when there is not enough.
//!
//! Answers long uploads among short requests, saturation, and a few callers
//! that take most. Without it uploads fill the slots for minutes, and an
//! acknowledgement or a booking commit, the work that matters most, waits
//! behind them; one notices request hold times as long as an upload. So:
//!
//! - *Room for requests.* Uploads and feeds may take a target's slots and
//!   connections only up to the reserve, and of two or more slots always leave
//!   a whole one, since a part of a slot that an upload holds serves nobody. A
//!   service without a request port keeps none.
//! - *Leftovers.* A caller or network above its part of what was admitted
//!   lately, or that comes back early with the retry budget spent, is served
//!   from savings only. It is not shut out: when nobody else comes, savings
//!   grow and it gets them all, so no capacity idles for fairness.
//!
//! Without limits in the bundle, openings are let in up to the targets' slots
//! and connections.

use crate::{
    callers::{Sketch, caller_key, network_key},
    settings::Settings,
};
use medlarspur_lib::{bundle::Class, ids::ServiceIx, time::Millis};
use std::net::Ipv4Addr;

/// Openings in a window that any caller may make, however few others do: the
/// parallel connections of a browser.
const FREE_OPENINGS: f64 = 8.0;
/// The part of a target's connections from which only first-class callers get
/// one.
const SPARE_FRACTION: f64 = 0.5;

/// The window over which a caller's part is judged: a few times what an
/// opening of the class takes, so that one long upload does not make a caller
/// heavy forever and a held feed still counts a while.
pub const fn window(class: Class) -> Millis {
    match class {
        Class::Request => Millis::secs(2),
        Class::Feed | Class::Upload => Millis::secs(60),
    }
}

/// The slots of a target that a class may fill, of its `slots`.
pub fn allowed_slots(settings: &Settings, has_requests: bool, class: Class, slots: u16) -> f64 {
    let all = f64::from(slots);
    match class {
        Class::Upload if has_requests && slots >= 2 => {
            let reserved = (all * f64::from(settings.reserve) / 100.0).ceil().max(1.0);
            (all - reserved).max(0.5)
        }
        Class::Upload if has_requests => all * (1.0 - f64::from(settings.reserve) / 100.0),
        Class::Upload | Class::Request => all,
        Class::Feed => f64::INFINITY,
    }
}

/// Whether a class may take one more connection, with a part of them taken.
pub fn can_take_connection(
    settings: &Settings,
    has_requests: bool,
    class: Class,
    utilization: f64,
    spare_only: bool,
) -> bool {
    let reserved = if has_requests && class != Class::Request { settings.reserve } else { 0 };
    let limit = 1.0 - f64::from(reserved) / 100.0;
    utilization < if spare_only { limit * SPARE_FRACTION } else { limit }
}

/// What callers took lately of one class.
#[derive(Debug, Clone)]
pub struct CallerUsage {
    class: Class,
    sketch: Sketch,
}

impl CallerUsage {
    /// Counts from nothing; `seed` keeps callers from choosing their cells.
    pub fn new(seed: u64, class: Class) -> CallerUsage {
        CallerUsage { class, sketch: Sketch::new(seed, window(class)) }
    }

    /// Whether the caller or its network is above its part of `total`, the
    /// service's admitted openings in the window.
    pub fn is_heavy(
        &mut self,
        now: Millis,
        settings: &Settings,
        service: ServiceIx,
        caller: Ipv4Addr,
        total: f64,
    ) -> bool {
        let allowance = |percent: u8| (total * f64::from(percent) / 100.0).max(FREE_OPENINGS);
        self.sketch.count(now, caller_key(service.0, self.class, caller))
            >= allowance(settings.caller)
            || self.sketch.count(now, network_key(service.0, caller))
                >= allowance(settings.network).max(FREE_OPENINGS * 2.0)
    }

    /// Counts an admitted opening.
    pub fn record_admission(&mut self, now: Millis, service: ServiceIx, caller: Ipv4Addr) {
        self.sketch.add(now, caller_key(service.0, self.class, caller));
        self.sketch.add(now, network_key(service.0, caller));
        self.sketch.add(now, u64::MAX - u64::from(service.0));
    }

    /// The service's admitted openings in the window.
    pub fn total(&mut self, now: Millis, service: ServiceIx) -> f64 {
        self.sketch.count(now, u64::MAX - u64::from(service.0))
    }
}
