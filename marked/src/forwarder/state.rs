//! State of a target, in addition to its entry.

use crate::{Flow, Health};
use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_load::{limit::InFlight, vacancy::Vacancy};

/// Maximum time between unanswered openings that count together against a target. Where
/// instances come and go, some handshakes end at other instances; at a large site, where an
/// instance opens a flow at a target every few seconds, such openings would add up and make
/// targets look full that are not.
const UNANSWERED_WINDOW: Millis = Millis::secs(2);

/// State of a target, in addition to its entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetState {
    pub(super) health: Health,
    /// Time at which the target was last suspected, if it was not known to be alive since.
    pub(super) suspected_at: Option<Millis>,
    /// Whether the target has capacity for new flows.
    pub(super) vacancy: Vacancy,
    /// Number of unanswered openings since the last accepted one, and the time of the latest.
    pub(super) unanswered: u32,
    pub(super) unanswered_at: Millis,
    /// Whether an opening is unanswered whose caller may have gone.
    pub(super) late_unanswered: bool,
    /// Whether the target has declined openings, rather than only been silent, since it was
    /// found full.
    pub(super) declined: bool,
    /// Whether the last probe was left unanswered.
    pub(super) silent: bool,
    /// Time of the next check whether open flows are still unanswered.
    pub(super) check_at: Option<Millis>,
    /// Time of the last flow that this instance opened there during slow start.
    pub(super) warmed_at: Option<Millis>,
    /// Number of requests in flight.
    pub(super) in_flight: u32,
    /// Number of unanswered openings.
    pub(super) opening: u32,
    /// Number of open feeds without a request in flight.
    pub(super) idle_feeds: u32,
    /// `in_flight` and `opening` together, by level.
    pub(super) work: InFlight,
    /// Number of flows that callers have left idle after a failed request.
    pub(super) left_idle: u32,
    /// Number of all flows there.
    pub(super) flows: u32,
    /// Whether the entry was removed and the target has not been probed since.
    pub(super) unprobed: bool,
}

impl TargetState {
    pub(super) fn new(now: Millis) -> TargetState {
        TargetState {
            health: Health::new(now),
            suspected_at: None,
            vacancy: Vacancy::default(),
            unanswered: 0,
            unanswered_at: now,
            late_unanswered: false,
            declined: false,
            silent: false,
            check_at: None,
            warmed_at: None,
            in_flight: 0,
            opening: 0,
            idle_feeds: 0,
            work: InFlight::default(),
            left_idle: 0,
            flows: 0,
            unprobed: false,
        }
    }

    /// Whether any opening is unanswered, including those whose caller may have gone. This
    /// counts against a target only together with a probe's result: if all openings are held,
    /// there are no others, and a silent, full target would get all late openings and answer
    /// none.
    pub(super) fn has_unanswered(&self) -> bool {
        self.unanswered > 0 || self.late_unanswered
    }

    /// Counts an opening that arrived at `sent` as unanswered.
    pub(super) fn count_unanswered(&mut self, sent: Millis, now: Millis) {
        if self.health.last_accepted() > sent {
            return;
        }
        let is_recent = now.since(self.unanswered_at) < UNANSWERED_WINDOW;
        self.unanswered = if is_recent { self.unanswered + 1 } else { 1 };
        self.unanswered_at = now;
    }

    /// Adds a flow to the counts, or subtracts it if `sign` is -1.
    pub(super) fn account(&mut self, flow: &Flow, sign: i32) {
        if flow.abandoned {
            return;
        }
        self.flows = self.flows.saturating_add_signed(sign);
        if flow.left_idle {
            self.left_idle = self.left_idle.saturating_add_signed(sign);
        }
        if flow.is_opening() || flow.has_pending_request() {
            self.work.adjust(flow.level, sign);
        }
        let field = if flow.is_opening() {
            &mut self.opening
        } else if flow.has_pending_request() {
            &mut self.in_flight
        } else if flow.class == Class::Feed {
            &mut self.idle_feeds
        } else {
            return;
        };
        *field = field.saturating_add_signed(sign);
    }
}
