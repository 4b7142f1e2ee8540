//! Class limits within a target, and priority among callers when capacity is short.
//!
//! Handles long uploads mixed with short requests, saturation, and a few callers that take
//! most of the load. Without these rules uploads fill the slots for minutes, and
//! acknowledgements and booking commits, the most important work, wait behind them: request
//! hold times grow to the length of an upload.
//!
//! - *Capacity reserved for requests.* Uploads and feeds may use a target's slots and
//!   connections only up to the reserve. Of two or more slots at least one whole slot stays
//!   free, because the rest of a slot that an upload holds is of no use. A service without a
//!   request port reserves nothing.
//! - *Spare capacity.* A caller or network that exceeds its share of the recently admitted
//!   openings, or that retries early with the retry budget spent, gets only the spare
//!   tokens of the token bucket. It is not locked out: without other callers, tokens
//!   accumulate and it gets them all, so fairness leaves no capacity idle.
//!
//! Without limits in the bundle, openings are admitted up to the targets' slots and
//! connections.

use super::settings::Settings;
use crate::callers::{Sketch, caller_key, network_key};
use medlarspur_lib::{bundle::Class, ids::ServiceIx, time::Millis};
use std::net::Ipv4Addr;

/// Openings in a window that any caller may make, however few others make: the parallel
/// connections of a browser.
const FREE_OPENINGS: f64 = 8.0;
/// Fraction of a target's usable connections above which spare-only callers get none.
const SPARE_FRACTION: f64 = 0.5;

/// Returns the window over which a caller's share is measured.
///
/// It spans a few times the duration of an opening of the class, so that one long upload
/// does not mark a caller as heavy forever and a held feed still counts for a while.
pub const fn window(class: Class) -> Millis {
    match class {
        Class::Request => Millis::secs(2),
        Class::Feed | Class::Upload => Millis::secs(60),
    }
}

/// Returns how many of a target's `slots` a class may fill.
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

/// Returns whether a class may take one more connection at the given `utilization` of the
/// target's connections.
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

/// Recent openings of one class, by caller and network.
#[derive(Debug, Clone)]
pub struct CallerUsage {
    class: Class,
    sketch: Sketch,
}

impl CallerUsage {
    /// Returns empty counts. `seed` prevents callers from choosing their cells in the
    /// sketch.
    pub fn new(seed: u64, class: Class) -> CallerUsage {
        CallerUsage { class, sketch: Sketch::new(seed, window(class)) }
    }

    /// Returns whether the caller or its network exceeds its share of `total`, the admitted
    /// openings of the service in the window.
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

    /// Returns the number of the service's admitted openings in the window.
    pub fn total(&mut self, now: Millis, service: ServiceIx) -> f64 {
        self.sketch.count(now, u64::MAX - u64::from(service.0))
    }
}
