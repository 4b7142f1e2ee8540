//! What a forwarder knows of a target besides its entry.

use crate::{Flow, Health};
use medlarspur_lib::{bundle::Class, time::Millis};

/// What is known of a target besides its entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct State {
    pub(super) health: Health,
    pub(super) doubted: Option<Millis>,
    pub(super) working: u32,
    pub(super) opening: u32,
    pub(super) feeds: u32,
}

impl State {
    pub(super) fn new(now: Millis) -> State {
        State { health: Health::new(now), doubted: None, working: 0, opening: 0, feeds: 0 }
    }

    /// Adds or takes away what a flow means for its target.
    pub(super) fn account(&mut self, flow: &Flow, sign: i32) {
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
