//! News about members that still has to be passed on.

use super::{Member, NEIGHBOURS};
use crate::{collections::Map, ids::InstanceName};
use std::collections::BTreeSet;

/// How many rumours one heartbeat carries at most. With eight heartbeats a
/// second and some 80 bytes a rumour this adds 2.6 KB/s at most, even when a
/// failure domain goes or returns and hundreds of members change at once.
pub const MAX_RUMOURS: usize = 4;
/// How often a rumour is passed on: about once on each kept connection, since
/// both of its ends pass it on. Connections lose nothing while they stand, so
/// that this floods the fleet; what a broken one lost is found by the digests.
const REPEATS: u32 = NEIGHBOURS as u32;

/// The names of members with news, each with how often it was passed on.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    sent: Map<InstanceName, u32>,
    /// The same, the least told first: a failure domain's worth of news must
    /// not be sorted anew for each heartbeat.
    order: BTreeSet<(u32, InstanceName)>,
}

impl Rumours {
    /// Marks `name` as news.
    pub(super) fn add(&mut self, name: &InstanceName) {
        self.put(name.clone(), 0);
    }

    fn put(&mut self, name: InstanceName, n: u32) {
        if let Some(before) = self.sent.insert(name.clone(), n) {
            self.order.remove(&(before, name.clone()));
        }
        self.order.insert((n, name));
    }

    /// Takes the least told rumours for one message. A rumour that was told
    /// often enough is dropped.
    pub(super) fn take<'a>(
        &mut self,
        find: impl Fn(&InstanceName) -> Option<&'a Member>,
    ) -> Vec<Member> {
        let picked: Vec<(u32, InstanceName)> =
            self.order.iter().take(MAX_RUMOURS).cloned().collect();
        let updates = picked.iter().filter_map(|(_, name)| find(name).cloned()).collect();
        for (n, name) in picked {
            if n + 1 < REPEATS {
                self.put(name, n + 1);
            } else {
                self.sent.remove(&name);
                self.order.remove(&(n, name));
            }
        }
        updates
    }
}
