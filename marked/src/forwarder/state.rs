//! What a forwarder knows of a target besides its entry.

use crate::{Flow, Health};
use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_load::vacancy::Vacancy;

/// Within which time openings must be unanswered to speak together against a target. Where
/// instances come and go, the ends of some handshakes go by others; at a large site, where
/// an instance opens a flow at a target every few seconds, such openings would add up, and
/// targets look full that are not.
const TOGETHER: Millis = Millis::secs(2);

/// What is known of a target besides its entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct State {
    pub(super) health: Health,
    pub(super) doubted: Option<Millis>,
    /// Whether it has room for new flows.
    pub(super) vacancy: Vacancy,
    /// How many openings there are unanswered since the last one that was taken, and when
    /// the latest of them was found to be.
    pub(super) refused: u32,
    pub(super) refused_at: Millis,
    /// Whether an opening there is unanswered whose caller may have gone.
    pub(super) unsure: bool,
    /// Whether it has declined openings, and not only been silent, since it was found full.
    pub(super) declined: bool,
    /// Whether the last question there stayed without an answer.
    pub(super) silent: bool,
    /// When to look whether its open flows are still unanswered.
    pub(super) check: Option<Millis>,
    /// When this instance opened a flow there last while it was slow.
    pub(super) warmed: Option<Millis>,
    pub(super) working: u32,
    pub(super) opening: u32,
    pub(super) feeds: u32,
    /// Of `working` and `opening`, flows of requests.
    pub(super) requests: u32,
    /// All flows there.
    pub(super) flows: u32,
    /// Whether its entry went and it was not asked since.
    pub(super) unasked: bool,
}

impl State {
    pub(super) fn new(now: Millis) -> State {
        State {
            health: Health::new(now),
            doubted: None,
            vacancy: Vacancy::default(),
            refused: 0,
            refused_at: now,
            unsure: false,
            declined: false,
            silent: false,
            check: None,
            warmed: None,
            working: 0,
            opening: 0,
            feeds: 0,
            requests: 0,
            flows: 0,
            unasked: false,
        }
    }

    /// Whether any opening there is unanswered, be it one whose caller may have gone. That
    /// speaks against a target only together with what asking it brings: where everybody
    /// waits here, there are no other openings, and a full target that is silent would
    /// swallow all that is opened late.
    pub(super) fn is_declining(&self) -> bool {
        self.refused > 0 || self.unsure
    }

    /// Notes that an opening which came at `sent` is unanswered.
    pub(super) fn refuse(&mut self, sent: Millis, now: Millis) {
        if self.health.last_accepted() > sent {
            return;
        }
        let is_together = now.since(self.refused_at) < TOGETHER;
        self.refused = if is_together { self.refused + 1 } else { 1 };
        self.refused_at = now;
    }

    /// Adds or takes away what a flow means for its target.
    pub(super) fn account(&mut self, flow: &Flow, sign: i32) {
        if flow.abandoned {
            return;
        }
        self.flows = self.flows.saturating_add_signed(sign);
        let is_work = flow.is_opening() || flow.is_waiting();
        if is_work && flow.class == Class::Request {
            self.requests = self.requests.saturating_add_signed(sign);
        }
        let field = if flow.is_opening() {
            &mut self.opening
        } else if flow.is_waiting() {
            &mut self.working
        } else if flow.class == Class::Feed {
            &mut self.feeds
        } else {
            return;
        };
        *field = field.saturating_add_signed(sign);
    }
}
