//! Verification of bundles received from the platform and from peers.

use medlarspur_lib::{
    bundle::{Bundle, BundleError, SignedBundle, TrustedKeys},
    ids::{SiteName, Version},
    spread::{Check, SignedText},
};
use medlarspur_operator::{Family, Meters};
use std::{cell::RefCell, sync::Arc};

/// Verifies bundles against the settings and the bundle in force.
///
/// The last bundle that passed is kept in parsed form, so that it is parsed only once.
/// No earlier one is kept: a platform that serves old bundles, which pass and never come
/// into force, would fill the memory with them.
pub struct Checker {
    keys: TrustedKeys,
    site: SiteName,
    checked: RefCell<Option<SignedBundle>>,
    in_force: RefCell<Option<Arc<Bundle>>>,
    meters: Meters,
}

impl Checker {
    /// Creates a checker that trusts `keys` for bundles of `site` and counts outcomes in
    /// `meters`.
    pub fn new(keys: TrustedKeys, site: SiteName, meters: Meters) -> Checker {
        Checker { keys, site, checked: RefCell::default(), in_force: RefCell::default(), meters }
    }

    /// Counts a bundle by its outcome, a label of the metric.
    pub fn count_outcome(&self, outcome: &'static str) {
        self.meters.counter(Family::Bundles, outcome).add(1);
    }

    fn verify(&self, text: &str) -> Result<SignedBundle, BundleError> {
        let signed = SignedBundle::check(text.as_bytes(), &self.keys, &self.site)?;
        if let Some(in_force) = self.in_force.borrow().as_ref() {
            signed.check_can_replace(in_force)?;
        }
        Ok(signed)
    }

    /// Takes the parsed bundle of a text if it is the last one that passed, and records it
    /// as the bundle in force.
    pub fn take_checked(&self, text: &SignedText) -> Option<SignedBundle> {
        let signed = self.checked.take().filter(|signed| signed.digest == text.digest)?;
        self.in_force.replace(Some(signed.bundle.clone()));
        Some(signed)
    }
}

impl Check for &Checker {
    type Error = BundleError;

    fn check(&self, text: &str) -> Result<Version, BundleError> {
        let signed =
            self.verify(text).inspect_err(|refusal| self.count_outcome(refusal.reason()))?;
        let version = signed.bundle.version;
        self.checked.replace(Some(signed));
        Ok(version)
    }
}
