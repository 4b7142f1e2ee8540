//! News about members that still has to be passed on.

use super::Member;
use crate::{collections::Map, ids::InstanceName};

/// How many rumours one heartbeat carries at most. With twelve heartbeats a
/// second and some 80 bytes a rumour this stays near half of a node's 8 KB/s
/// even when a failure domain goes and hundreds of members change at once.
pub const MAX_RUMOURS: usize = 6;
/// Times that a rumour is passed on, for each doubling of the fleet. Three
/// is what epidemic protocols use so that the chance to miss one is small;
/// what is missed all the same is found by the members digest.
const REPEATS: u32 = 3;

/// The names of members with news, each with how often it was passed on.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    sent: Map<InstanceName, u32>,
}

impl Rumours {
    /// Marks `name` as news.
    pub(super) fn add(&mut self, name: &InstanceName) {
        self.sent.insert(name.clone(), 0);
    }

    /// Takes the least told rumours for one message, `fleet` being the number
    /// of members. A rumour that was told often enough is dropped.
    pub(super) fn take<'a>(
        &mut self,
        fleet: usize,
        find: impl Fn(&InstanceName) -> Option<&'a Member>,
    ) -> Vec<Member> {
        if self.sent.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<(u32, InstanceName)> =
            self.sent.iter().map(|(name, n)| (*n, name.clone())).collect();
        order.sort_unstable();
        order.truncate(MAX_RUMOURS);
        let limit = REPEATS * (fleet + 1).ilog2().max(1);
        let told: Vec<Member> = order.iter().filter_map(|(_, name)| find(name).cloned()).collect();
        for (n, name) in order {
            if n + 1 >= limit {
                self.sent.remove(&name);
            } else {
                self.sent.insert(name, n + 1);
            }
        }
        told
    }
}
