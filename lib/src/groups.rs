//! Digests over groups of the entries of a set, by which two instances find the
//! few entries in which they differ without listing all.

use crate::members::rank;

/// Number of groups. With this many, a group has a few of some thousand
/// entries, and a request stays near half a kilobyte.
pub const GROUPS: usize = 64;

/// The digests of the groups. Entries have a name and a fingerprint.
#[derive(Debug, Clone)]
pub struct Groups(Vec<u64>);

impl Default for Groups {
    fn default() -> Groups {
        Groups(vec![0; GROUPS])
    }
}

impl Groups {
    /// Adds an entry, or removes one that was added.
    pub fn toggle(&mut self, name: &str, fingerprint: u64) {
        self.0[group(name)] ^= fingerprint;
    }

    /// A single digest over all entries.
    pub fn digest(&self) -> u64 {
        self.0.iter().fold(0, |all, g| all.rotate_left(1) ^ g)
    }

    /// The digests, for a request.
    pub fn to_vec(&self) -> Vec<u64> {
        self.0.clone()
    }

    /// Whether the group of the entry `name` differs from that in `theirs`.
    pub fn differs(&self, theirs: &[u64], name: &str) -> bool {
        let group = group(name);
        theirs.get(group) != Some(&self.0[group])
    }
}

fn group(name: &str) -> usize {
    (rank("group", name) % GROUPS as u64) as usize
}
