//! Rumours: updates of members that are still to be propagated by gossip.

use super::{Member, NEIGHBOURS};
use crate::{collections::Map, ids::InstanceName};
use std::collections::BTreeSet;

/// Maximum number of rumours in one heartbeat. With eight heartbeats a second
/// and some 80 bytes a rumour this adds 2.6 KB/s at most, even if a failure
/// domain goes or returns and hundreds of members change at once.
pub const MAX_RUMOURS: usize = 4;
/// Number of times that a rumour is sent: about once on each connection, since
/// both ends send it. An open connection loses nothing, so this floods the
/// fleet. Losses of a broken connection are found by comparing digests.
const MAX_SENDS: u32 = NEIGHBOURS as u32;

/// The names of members with updates, each with the number of times that it was
/// sent.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    sent: Map<InstanceName, u32>,
    /// The same, ordered by that number, so that the hundreds of updates of a
    /// failure domain are not sorted again for each heartbeat.
    by_count: BTreeSet<(u32, InstanceName)>,
}

impl Rumours {
    /// Adds an update of `name`.
    pub(super) fn add(&mut self, name: &InstanceName) {
        self.put(name.clone(), 0);
    }

    fn put(&mut self, name: InstanceName, n: u32) {
        if let Some(before) = self.sent.insert(name.clone(), n) {
            self.by_count.remove(&(before, name.clone()));
        }
        self.by_count.insert((n, name));
    }

    /// Takes the rumours for one message, those sent least often first. A
    /// rumour that was sent [`MAX_SENDS`] times is dropped.
    pub(super) fn take<'a>(
        &mut self,
        find: impl Fn(&InstanceName) -> Option<&'a Member>,
    ) -> Vec<Member> {
        let picked: Vec<(u32, InstanceName)> =
            self.by_count.iter().take(MAX_RUMOURS).cloned().collect();
        let updates = picked.iter().filter_map(|(_, name)| find(name).cloned()).collect();
        for (n, name) in picked {
            if n + 1 < MAX_SENDS {
                self.put(name, n + 1);
            } else {
                self.sent.remove(&name);
                self.by_count.remove(&(n, name));
            }
        }
        updates
    }
}
