//! Decides whether a bundle may be taken, for the spread of bundles.

use medlarspur_lib::{
    bundle::{Bundle, Keys, Refusal, Signed},
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
    keys: Keys,
    site: SiteName,
    checked: RefCell<Option<Signed>>,
    in_force: RefCell<Option<Arc<Bundle>>>,
    meters: Meters,
}

impl Checker {
    /// Trusts `keys` for bundles of `site`, and counts what comes of each.
    pub fn new(keys: Keys, site: SiteName, meters: Meters) -> Checker {
        Checker { keys, site, checked: RefCell::default(), in_force: RefCell::default(), meters }
    }

    /// Counts what came of a bundle.
    pub fn count_outcome(&self, outcome: &'static str) {
        self.meters.count(Family::Bundles, outcome).add(1);
    }

    fn verify(&self, text: &str) -> Result<Signed, Refusal> {
        let signed = Signed::check(text.as_bytes(), &self.keys, &self.site)?;
        if let Some(in_force) = self.in_force.borrow().as_ref() {
            signed.follows(in_force)?;
        }
        Ok(signed)
    }

    /// The values of a text that has just passed.
    pub fn take_checked(&self, text: &SignedText) -> Option<Signed> {
        let signed = self.checked.take().filter(|signed| signed.digest == text.digest)?;
        self.in_force.replace(Some(signed.bundle.clone()));
        Some(signed)
    }
}

impl Check for &Checker {
    type Error = Refusal;

    fn check(&self, text: &str) -> Result<Version, Refusal> {
        let signed =
            self.verify(text).inspect_err(|refusal| self.count_outcome(refusal.reason()))?;
        let version = signed.bundle.version;
        self.checked.replace(Some(signed));
        Ok(version)
    }
}
