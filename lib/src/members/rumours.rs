//! News about members that still has to be passed on.

use super::{Member, NEIGHBOURS};
use crate::{collections::Map, ids::InstanceName};

/// How many rumours one heartbeat carries at most. With eight heartbeats a
/// second and some 80 bytes a rumour this adds 3 KB/s at most, even when a
/// failure domain goes and hundreds of members change at once.
pub const MAX_RUMOURS: usize = 5;
/// How often a rumour is passed on: about once to each neighbour and each who
/// has this one as a neighbour. Connections lose nothing while they stand, so
/// that this floods the fleet; what a broken one lost is found by the digests.
const REPEATS: u32 = 2 * NEIGHBOURS as u32;

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
        find: impl Fn(&InstanceName) -> Option<&'a Member>,
    ) -> Vec<Member> {
        if self.sent.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<(u32, InstanceName)> =
            self.sent.iter().map(|(name, n)| (*n, name.clone())).collect();
        order.sort_unstable();
        order.truncate(MAX_RUMOURS);
        let told: Vec<Member> = order.iter().filter_map(|(_, name)| find(name).cloned()).collect();
        for (n, name) in order {
            if n + 1 >= REPEATS {
                self.sent.remove(&name);
            } else {
                self.sent.insert(name, n + 1);
            }
        }
        told
    }
}
