//! The keepers of the exceptions of each bucket, computed identically by all
//! instances.
//!
//! A keeper receives adverts of the flows of a moved bucket that go elsewhere
//! than to the bucket's present owner. A service has at most
//! [`SERVICE_KEEPERS`] keepers, and each bucket uses two of them. After a
//! change, an instance reports to each keeper that it has advertised all its
//! exceptions. With so few keepers this takes a handful of messages, however
//! large the fleet. See `docs/design/keepers.md`.

use crate::{
    ids::{Bucket, DomainName, InstanceName, ServiceName},
    members::{Member, MemberState},
};
use siphasher::sip::SipHasher13;
use std::hash::Hasher as _;

/// Maximum number of keepers of one service.
pub const SERVICE_KEEPERS: usize = 4;

/// The keepers of one service, the highest ranked first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Keepers(Vec<InstanceName>);

impl Keepers {
    /// Chooses keepers by rendezvous hash among the live and suspect members.
    /// Consecutive keepers are in different failure domains where possible, so
    /// that the two keepers of a bucket are not lost together.
    pub fn choose(service: &ServiceName, members: &[Member]) -> Keepers {
        let mut ranked: Vec<_> = members
            .iter()
            .filter(|member| matches!(member.state, MemberState::Live | MemberState::Suspect))
            .map(|member| (score(service, &member.name), member))
            .collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));
        let mut chosen = Vec::new();
        let mut last: Option<&DomainName> = None;
        while chosen.len() < SERVICE_KEEPERS && !ranked.is_empty() {
            let other = ranked.iter().position(|(_, member)| Some(&member.domain) != last);
            let (_, member) = ranked.remove(other.unwrap_or(0));
            last = Some(&member.domain);
            chosen.push(member.name.clone());
        }
        Keepers(chosen)
    }

    /// The two keepers of a bucket, or fewer in a very small fleet.
    pub fn of(&self, bucket: Bucket) -> impl Iterator<Item = &InstanceName> {
        let count = self.0.len();
        let first = usize::from(bucket.0) % count.max(1);
        (0..count.min(2)).map(move |step| &self.0[(first + step) % count])
    }

    /// All keepers of the service.
    pub fn all(&self) -> &[InstanceName] {
        &self.0
    }
}

fn score(service: &ServiceName, instance: &InstanceName) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(service.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(instance.as_str().as_bytes());
    hasher.finish()
}
