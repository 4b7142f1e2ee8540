//! What a forwarder knows of a target besides its entry.

use crate::{Flow, Health};
use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_load::vacancy::Vacancy;

/// Within which time openings must be unanswered to speak together against a target. Where
/// instances come and go, the ends of some handshakes go by others; at a large site, where
/// an instance opens a flow at a target every few seconds, such openings would add up, and
/// targets look full that are not.
const UNANSWERED_WINDOW: Millis = Millis::secs(2);

/// What is known of a target besides its entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetState {
    pub(super) health: Health,
    pub(super) doubted_at: Option<Millis>,
    /// Whether it has room for new flows.
    pub(super) vacancy: Vacancy,
    /// How many openings there are unanswered since the last one that was taken, and when
    /// the latest of them was found to be.
    pub(super) unanswered: u32,
    pub(super) unanswered_at: Millis,
    /// Whether an opening there is unanswered whose caller may have gone.
    pub(super) late_unanswered: bool,
    /// Whether it has declined openings, and not only been silent, since it was found full.
    pub(super) declined: bool,
    /// Whether the last question there stayed without an answer.
    pub(super) silent: bool,
    /// When to look whether its open flows are still unanswered.
    pub(super) check_at: Option<Millis>,
    /// When this instance opened a flow there last while it was slow.
    pub(super) warmed_at: Option<Millis>,
    pub(super) working: u32,
    pub(super) opening: u32,
    pub(super) feeds: u32,
    /// Of `working` and `opening`, flows of requests.
    pub(super) requests: u32,
    /// All flows there.
    pub(super) flows: u32,
    /// Whether its entry went and it was not asked since.
    pub(super) unprobed: bool,
}

impl TargetState {
    pub(super) fn new(now: Millis) -> TargetState {
        TargetState {
            health: Health::new(now),
            doubted_at: None,
            vacancy: Vacancy::default(),
            unanswered: 0,
            unanswered_at: now,
            late_unanswered: false,
            declined: false,
            silent: false,
            check_at: None,
            warmed_at: None,
            working: 0,
            opening: 0,
            feeds: 0,
            requests: 0,
            flows: 0,
            unprobed: false,
        }
    }

    /// Whether any opening there is unanswered, be it one whose caller may have gone. That
    /// speaks against a target only together with what asking it brings: where everybody
    /// waits here, there are no other openings, and a full target that is silent would
    /// swallow all that is opened late.
    pub(super) fn has_unanswered(&self) -> bool {
        self.unanswered > 0 || self.late_unanswered
    }

    /// Notes that an opening which came at `sent` is unanswered.
    pub(super) fn count_unanswered(&mut self, sent: Millis, now: Millis) {
        if self.health.taken() > sent {
            return;
        }
        let is_recent = now.since(self.unanswered_at) < UNANSWERED_WINDOW;
        self.unanswered = if is_recent { self.unanswered + 1 } else { 1 };
        self.unanswered_at = now;
    }

    /// Adds or takes away what a flow means for its target.
    pub(super) fn account(&mut self, flow: &Flow, sign: i32) {
        if flow.abandoned {
            return;
        }
        self.flows = self.flows.saturating_add_signed(sign);
        let is_work = flow.is_opening() || flow.has_pending_request();
        if is_work && flow.class == Class::Request {
            self.requests = self.requests.saturating_add_signed(sign);
        }
        let field = if flow.is_opening() {
            &mut self.opening
        } else if flow.has_pending_request() {
            &mut self.working
        } else if flow.class == Class::Feed {
            &mut self.feeds
        } else {
            return;
        };
        *field = field.saturating_add_signed(sign);
    }
}
