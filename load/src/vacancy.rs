//! Whether a target has room for one more flow, learnt from the openings that it takes
//! and leaves unanswered.
//!
//! Answers the pattern that targets run out of connections: each holds a bounded number
//! of flows, feeds stay for minutes, and one that is full probe_answers neither openings nor
//! questions, while it serves the flows that it has. No instance knows how many flows
//! the others have there, and what operators write about it may be wrong or absent.
//!
//! Without it, openings go on to the full target as readily as to others, and each
//! caller waits until something else gives up; or the target is taken for dead, and the
//! flows that it serves are reset. Their callers come back as new flows and fill the
//! next one.
//!
//! A target that leaves an opening unanswered is left at once. Places become free there
//! when flows end, and an instance sees the ends of those that it carries: for each it may
//! open one in its place. What a request leaves is kept for requests: a feed would hold
//! the place for as long as hundreds of them, and requests, which operators rank first and
//! which can't be repeated, found no place at all while feeds did. Where no end is seen,
//! the target is asked after a pause that doubles, and tried by one opening at a time:
//! when a place becomes free, all instances may see it, and would send a crowd for it. A
//! feed waits for several probe_answers in a row, since the place that one answer shows is mostly
//! that of a request which has just ended at another instance.

use medlarspur_lib::{bundle::Class, time::Millis};

/// The first pause: a few requests end meanwhile, and a target that was only late for a
/// moment is missed for no longer.
const MIN_PAUSE: Millis = Millis(500);
/// The longest pause of an instance of a small fleet. Of 25 feeds that stay for 17 s, one and
/// a half end meanwhile.
const MAX_PAUSE: Millis = Millis(1_000);
/// How many instances may ask a full target at that pace. Each question takes a connection of
/// the target for a moment, so the instances of a larger fleet ask less often.
const BASE_FLEET_SIZE: u64 = 8;
/// How many openings in a row must be taken before the target counts as free again: a
/// few may be freed that somebody has just left.
const ACCEPTED_TO_FREE: u32 = 8;

/// How many questions in a row a full target must answer before a request or a feed is
/// tried there. Six seconds in which there is room are no place that somebody just left.
const PROBES_FOR_REQUEST: u32 = 1;
const PROBES_FOR_FEED: u32 = 6;

/// Whether a target has room, as far as it is known.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Vacancy(Option<Full>);

/// What is known of a target that left an opening unanswered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Full {
    /// When it is asked whether it has room.
    next_probe: Millis,
    pause: Millis,
    /// How many freed were left since, and may be filled; of requests, by requests only.
    freed: u32,
    freed_by_requests: u32,
    /// How many questions it has answered since, so that one opening may be tried.
    probe_answers: u32,
    /// How many openings it has taken since.
    accepted: u32,
}

impl Vacancy {
    /// An opening stayed unanswered, or a question after it did. Answers whether that is
    /// new.
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

    /// An opening was taken. Answers whether the target counts as free again by that.
    pub fn record_accepted(&mut self, class: Class) -> bool {
        let Some(full) = &mut self.0 else { return false };
        full.use_connection(class);
        full.accepted += 1;
        let is_free = full.accepted >= ACCEPTED_TO_FREE;
        if is_free {
            self.0 = None;
        }
        is_free
    }

    /// A flow there has ended.
    pub fn record_flow_end(&mut self, class: Class) {
        let Some(full) = &mut self.0 else { return };
        match class {
            Class::Request => full.freed_by_requests += 1,
            Class::Feed | Class::Upload => full.freed += 1,
        }
    }

    /// It probe_answers questions again, so it has room for one at least.
    pub fn record_probe_answer(&mut self) {
        if let Some(full) = &mut self.0 {
            full.probe_answers += 1;
        }
    }

    /// It is asked now, by one of so many instances, and need not be again before the pause
    /// is over once more.
    pub fn record_probe(&mut self, now: Millis, instances: usize) {
        let Some(full) = &mut self.0 else { return };
        if full.next_probe <= now {
            full.back_off(now, max_pause(instances));
        } else {
            full.next_probe = now + full.pause;
        }
    }

    /// Whether one more may be opened there while `opening` are under way.
    pub fn can_open(&self, class: Class, opening: u32) -> bool {
        let Some(full) = &self.0 else { return true };
        let (freed_for_class, needed_answers) = match class {
            Class::Request => (full.freed_by_requests, PROBES_FOR_REQUEST),
            Class::Feed | Class::Upload => (0, PROBES_FOR_FEED),
        };
        opening < full.freed + freed_for_class
            || full.probe_answers >= needed_answers && opening == 0
    }

    /// Whether it has left openings unanswered since it was last known to have room.
    pub fn is_full(&self) -> bool {
        self.0.is_some()
    }

    /// When a full target should be asked whether it has room.
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
            freed: 0,
            freed_by_requests: 0,
            probe_answers: 0,
            accepted: 0,
        }
    }

    /// Has the pause that begins now be twice as long as the last one, up to the longest.
    fn back_off(&mut self, now: Millis, max_pause: Millis) {
        self.pause = max_pause.min(self.pause + self.pause).max(self.pause);
        self.next_probe = now + self.pause;
    }

    /// A flow of a class has taken a place.
    fn use_connection(&mut self, class: Class) {
        match class {
            Class::Request if self.freed_by_requests > 0 => self.freed_by_requests -= 1,
            _ if self.freed > 0 => self.freed -= 1,
            Class::Request => {}
            Class::Feed | Class::Upload => self.probe_answers = 0,
        }
    }
}

fn max_pause(instances: usize) -> Millis {
    let instances = (instances as u64).max(BASE_FLEET_SIZE);
    Millis(MAX_PAUSE.0 * instances / BASE_FLEET_SIZE)
}
