//! Detects whether a target has a free connection, from the openings that it accepts or
//! leaves unanswered.
//!
//! Handles targets that run out of connections. Each holds a limited number of flows, feeds
//! stay for minutes, and a full target answers neither openings nor probes while it serves
//! its open flows. No instance knows how many flows the others have there, and the
//! configured limit may be wrong or missing.
//!
//! Without this detection, openings go to a full target as readily as to others, and each
//! caller waits until some other timeout. Or the target is taken for dead and the flows
//! that it serves are reset; their callers return as new flows and fill the next target.
//!
//! New flows avoid a target as soon as it leaves an opening unanswered. Its connections
//! become free when flows end, and an instance sees the ends of the flows that it carries:
//! for each it may open one flow. A connection that a flow leaves is reserved for its level
//! and higher ones. A feed of a lower level would hold it for as long as hundreds of
//! requests, and flows that operators rank higher find no connection while feeds take them.
//!
//! If an instance sees no end, it probes the target after a pause that doubles, and then
//! tries one opening at a time: when a connection becomes free, all instances may see it
//! and would send a burst. The lowest level needs several probe answers in a row, since a
//! single one mostly shows the connection of a request that has just ended at another
//! instance.

use crate::priority::{Level, MAX_LEVELS};
use medlarspur_lib::time::Millis;

/// First pause. A few requests end in that time, and a target that was only late for a
/// moment is avoided no longer than this.
const MIN_PAUSE: Millis = Millis(500);
/// Longest pause of an instance of a small fleet. Of 25 feeds that stay for 17 s, one and a
/// half end in that time.
const MAX_PAUSE: Millis = Millis(1_000);
/// Number of instances that may probe a full target at that rate. Each probe takes a
/// connection of the target for a moment, so the instances of a larger fleet probe less
/// often.
const BASE_FLEET_SIZE: u64 = 8;
/// Number of openings in a row that a target must accept before it counts as free. A few
/// accepted openings may only use connections that other flows have just left.
const ACCEPTED_TO_FREE: u32 = 8;

/// Number of probe answers in a row after which a flow of a level above the lowest, or of
/// the lowest, is tried at a full target. Free capacity over six seconds is more than a
/// connection that another flow has just left.
const PROBES_FOR_ELEVATED: u32 = 1;
const PROBES_FOR_LOWEST: u32 = 6;

/// Whether a target has a free connection, as far as is known.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Vacancy(Option<Full>);

/// State of a target that left an opening unanswered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Full {
    /// Time of the next probe.
    next_probe: Millis,
    pause: Millis,
    /// Number of flows that have ended since then, by level. Each may be replaced by one of
    /// its level or a higher one.
    freed: [u32; MAX_LEVELS],
    /// Number of probe answers since then; with enough of them one opening may be tried.
    probe_answers: u32,
    /// Number of openings accepted since then.
    accepted: u32,
}

impl Vacancy {
    /// Records an unanswered opening, or an unanswered probe after one. Returns whether the
    /// target was not known to be full.
    pub fn record_unanswered(&mut self, now: Millis) -> bool {
        let Some(full) = &mut self.0 else {
            self.0 = Some(Full::new(now));
            return true;
        };
        if full.probe_answers > 0 || full.next_probe <= now {
            full.back_off(now, MAX_PAUSE);
        }
        let Full { next_probe, pause, .. } = *full;
        self.0 = Some(Full { next_probe, pause, ..Full::new(now) });
        false
    }

    /// Records an accepted opening. Returns whether the target thereby counts as free
    /// again.
    pub fn record_accepted(&mut self, level: Level) -> bool {
        let Some(full) = &mut self.0 else { return false };
        full.use_connection(level);
        full.accepted += 1;
        let is_free = full.accepted >= ACCEPTED_TO_FREE;
        if is_free {
            self.0 = None;
        }
        is_free
    }

    /// Records the end of a flow of a level at the target.
    pub fn record_flow_end(&mut self, level: Level) {
        if let Some(full) = &mut self.0 {
            full.freed[level.rank()] += 1;
        }
    }

    /// Records a probe answer, which shows at least one free connection.
    pub fn record_probe_answer(&mut self) {
        if let Some(full) = &mut self.0 {
            full.probe_answers += 1;
        }
    }

    /// Records a probe that is sent now by one of `instances` instances, and schedules the
    /// next one after the pause.
    pub fn record_probe(&mut self, now: Millis, instances: usize) {
        let Some(full) = &mut self.0 else { return };
        if full.next_probe <= now {
            full.back_off(now, max_pause(instances));
        } else {
            full.next_probe = now + full.pause;
        }
    }

    /// Returns whether one more flow of a level may be opened while `opening` flows are being
    /// opened. If it may, flows of any higher level may as well.
    pub fn can_open(&self, level: Level, opening: u32) -> bool {
        let Some(full) = &self.0 else { return true };
        let freed: u32 = full.freed[level.rank()..].iter().sum();
        let needed_answers =
            if level.is_elevated() { PROBES_FOR_ELEVATED } else { PROBES_FOR_LOWEST };
        opening < freed || full.probe_answers >= needed_answers && opening == 0
    }

    /// Returns the same at a target where callers have left `abandoned` flows idle after a
    /// failed attempt. Each holds a connection until it has been idle for long, so while the
    /// target is full, the connections that others leave are kept for levels above the lowest.
    /// Retries of the lowest level would take them all.
    pub fn can_open_beside(&self, abandoned: u32, level: Level, opening: u32) -> bool {
        let Some(full) = self.0.as_ref().filter(|_| abandoned > 0 && !level.is_elevated()) else {
            return self.can_open(level, opening);
        };
        full.probe_answers >= PROBES_FOR_LOWEST && opening == 0
    }

    /// Returns whether the target has left openings unanswered since it last had a free
    /// connection.
    pub fn is_full(&self) -> bool {
        self.0.is_some()
    }

    /// Returns when a full target should be probed next.
    pub fn next_probe(&self) -> Option<Millis> {
        self.0.map(|full| full.next_probe)
    }
}

impl Full {
    fn new(now: Millis) -> Full {
        let pause = MIN_PAUSE;
        Full {
            next_probe: now + pause,
            pause,
            freed: [0; MAX_LEVELS],
            probe_answers: 0,
            accepted: 0,
        }
    }

    /// Doubles the pause up to `max_pause` and starts it now.
    fn back_off(&mut self, now: Millis, max_pause: Millis) {
        self.pause = max_pause.min(self.pause + self.pause).max(self.pause);
        self.next_probe = now + self.pause;
    }

    /// Accounts for a flow of a level that took a connection: one of its own level if there
    /// is one, so that those of lower levels remain for all that may use them.
    fn use_connection(&mut self, level: Level) {
        let mut freed = self.freed[level.rank()..].iter_mut();
        match freed.find(|count| **count > 0) {
            Some(count) => *count -= 1,
            None if level.is_elevated() => {}
            None => self.probe_answers = 0,
        }
    }
}

fn max_pause(instances: usize) -> Millis {
    let instances = (instances as u64).max(BASE_FLEET_SIZE);
    Millis(MAX_PAUSE.0 * instances / BASE_FLEET_SIZE)
}
