//! Warnings about a valid bundle, for operators who review it before signing.

use super::{Bundle, Service, TargetState};
use crate::ids::ServiceName;
use std::fmt;

/// A property of a valid bundle that may not be intended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Warning {
    /// All callers of a service are refused, because each of its targets is
    /// leaving or evacuated.
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
    /// Returns properties that may not be intended.
    pub fn warnings(&self) -> Vec<Warning> {
        let without_active = self.services.iter().filter(|service| has_no_active_target(service));
        without_active.map(|it| Warning::NoActiveTarget { service: it.name.clone() }).collect()
    }
}

fn has_no_active_target(service: &Service) -> bool {
    service.targets.iter().all(|target| target.state != TargetState::Active)
}
