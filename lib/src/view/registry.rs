//! Local ids of targets, which stay the same across bundles.
//!
//! A flow outlives the bundle in which it was opened, and its target may have
//! another position in the next bundle or be gone. Entries are never removed:
//! they cost some hundred bytes each, and an instance is replaced long before
//! that adds up.

use crate::{
    bundle::{Service, Target},
    collections::Map,
    ids::{ServiceName, TargetName},
};
use siphasher::sip::SipHasher13;
use std::{hash::Hasher as _, net::SocketAddrV4, sync::Arc};

number! {
    /// A target on this instance, valid while the process runs.
    TargetId: u32,
    /// A target in messages: a hash of its service, name and address, equal on
    /// all instances. A target that comes back under another address is another
    /// target, since its connections are gone.
    TargetKey: u64,
    /// A service in questions between instances: a hash of its name.
    ServiceKey: u32,
}

impl ServiceKey {
    /// Computes the key of the service with this name.
    pub fn of(name: &ServiceName) -> ServiceKey {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_str().as_bytes());
        ServiceKey(hasher.finish() as u32)
    }
}

/// The data of a target that the packet path needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Its key in messages.
    pub key: TargetKey,
    /// Its only service.
    pub service: ServiceName,
    /// Its name in the bundle.
    pub name: TargetName,
    /// The address at which it receives encapsulated packets.
    pub address: SocketAddrV4,
}

/// All targets that were ever in a bundle on this instance.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    entries: Vec<Arc<TargetEntry>>,
    ids: Map<TargetKey, TargetId>,
    names: Map<(ServiceName, TargetName), TargetId>,
}

impl Registry {
    /// The target with this id.
    #[inline]
    pub fn get(&self, id: TargetId) -> &TargetEntry {
        &self.entries[id.0 as usize]
    }

    /// Returns the id of a target that a message names.
    pub fn find_by_key(&self, key: TargetKey) -> Option<TargetId> {
        self.ids.get(&key).copied()
    }

    /// Returns the id of the target that last had this name in the service.
    pub fn find_by_name(&self, service: &ServiceName, name: &TargetName) -> Option<TargetId> {
        self.names.get(&(service.clone(), name.clone())).copied()
    }

    /// All targets, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &TargetEntry> {
        self.entries.iter().map(|entry| entry.as_ref())
    }

    /// Returns the id of a target of the bundle, and assigns one if it has
    /// none.
    pub fn intern(&mut self, service: &Service, target: &Target) -> TargetId {
        let key = key(service, target);
        let next = TargetId(self.entries.len() as u32);
        let id = *self.ids.entry(key).or_insert(next);
        self.names.insert((service.name.clone(), target.name.clone()), id);
        if id == next {
            self.entries.push(Arc::new(TargetEntry {
                key,
                service: service.name.clone(),
                name: target.name.clone(),
                address: target.address,
            }));
        }
        id
    }
}

fn key(service: &Service, target: &Target) -> TargetKey {
    let mut hasher = SipHasher13::new();
    hasher.write(service.name.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(target.name.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(&target.address.ip().octets());
    hasher.write_u16(target.address.port());
    TargetKey(hasher.finish())
}
