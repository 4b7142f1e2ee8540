//! Decides whether a bundle may be taken, for the spread of bundles.

use medlarspur_lib::{
    bundle::{Bundle, BundleError, SignedBundle, TrustedKeys},
    ids::{SiteName, Version},
    spread::{Check, SignedText},
};
use medlarspur_operator::{Family, Meters};
use std::{cell::RefCell, sync::Arc};

/// Checks bundles against the settings and the bundle in force, and keeps the
/// values of the last one that passed, so that they are parsed only once. One
/// that passed and did not come into force must not be kept: a platform that
/// serves old bundles would fill the memory with them.
pub struct Checker {
    keys: TrustedKeys,
    site: SiteName,
    passed: RefCell<Option<SignedBundle>>,
    force: RefCell<Option<Arc<Bundle>>>,
    meters: Meters,
}

impl Checker {
    /// Trusts `keys` for bundles of `site`, and counts what comes of each.
    pub fn new(keys: TrustedKeys, site: SiteName, meters: Meters) -> Checker {
        Checker { keys, site, passed: RefCell::default(), force: RefCell::default(), meters }
    }

    /// Counts what came of a bundle.
    pub fn count(&self, outcome: &'static str) {
        self.meters.count(Family::Bundles, outcome).add(1);
    }

    fn signed(&self, text: &str) -> Result<SignedBundle, BundleError> {
        let signed = SignedBundle::check(text.as_bytes(), &self.keys, &self.site)?;
        if let Some(force) = self.force.borrow().as_ref() {
            signed.check_can_replace(force)?;
        }
        Ok(signed)
    }

    /// The values of a text that has just passed.
    pub fn take(&self, text: &SignedText) -> Option<SignedBundle> {
        let signed = self.passed.take().filter(|signed| signed.digest == text.digest)?;
        self.force.replace(Some(signed.bundle.clone()));
        Some(signed)
    }
}

impl Check for &Checker {
    type Error = BundleError;

    fn check(&self, text: &str) -> Result<Version, BundleError> {
        let signed = self.signed(text).inspect_err(|refusal| self.count(refusal.reason()))?;
        let version = signed.bundle.version;
        self.passed.replace(Some(signed));
        Ok(version)
    }
}
