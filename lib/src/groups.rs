//! Digests over a set, one a group of its entries, so that two instances find
//! the few entries in which they differ without listing all.

use crate::members::rank;

/// Into how many groups entries are hashed: enough that a difference leads to
/// a few entries of some thousand, and few enough that a request stays near
/// half a kilobyte.
pub const GROUPS: usize = 64;

/// The digests of a set whose entries have a name and a fingerprint.
#[derive(Debug, Clone)]
pub struct Groups(Vec<u64>);

impl Default for Groups {
    fn default() -> Groups {
        Groups(vec![0; GROUPS])
    }
}

impl Groups {
    /// Adds an entry, or takes one away that was added.
    pub fn toggle(&mut self, name: &str, fingerprint: u64) {
        self.0[group(name)] ^= fingerprint;
    }

    /// One digest over all.
    pub fn digest(&self) -> u64 {
        self.0.iter().fold(0, |all, g| all.rotate_left(1) ^ g)
    }

    /// The digests, for a request.
    pub fn to_vec(&self) -> Vec<u64> {
        self.0.clone()
    }

    /// Whether the entry `name` is in a group that differs from `theirs`.
    pub fn differs(&self, theirs: &[u64], name: &str) -> bool {
        let group = group(name);
        theirs.get(group) != Some(&self.0[group])
    }
}

fn group(name: &str) -> usize {
    (rank("group", name) % GROUPS as u64) as usize
}
