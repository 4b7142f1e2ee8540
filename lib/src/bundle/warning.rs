//! What holds in a bundle and may not be meant, for people who sign one off.

use super::{Bundle, Service, TargetState};
use crate::ids::ServiceName;
use std::fmt;

/// Something that instances take and operators may not have meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Warning {
    /// All callers of a service are refused: each of its targets leaves or is in an
    /// evacuated failure domain.
    NoActiveTarget {
        /// The service.
        service: ServiceName,
    },
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Warning::NoActiveTarget { service } = self;
        write!(f, "no target of {service} takes new flows: all leave or are evacuated")
    }
}

impl Bundle {
    /// What may not be meant.
    pub fn warnings(&self) -> Vec<Warning> {
        let without_active = self.services.iter().filter(|service| has_no_active_target(service));
        without_active.map(|it| Warning::NoActiveTarget { service: it.name.clone() }).collect()
    }
}

fn has_no_active_target(service: &Service) -> bool {
    service.targets.iter().all(|target| target.state != TargetState::Active)
}
