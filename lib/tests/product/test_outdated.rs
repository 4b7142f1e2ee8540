//! Test of a platform that serves old bundles again.

use medlarspur_lib::{
    ids::Version,
    spread::{Check, Spread},
};
use std::{cell::Cell, convert::Infallible, rc::Rc};

/// Accepts any text as a bundle whose version is its length, and counts the
/// checks.
struct CountingCheck(Rc<Cell<u32>>);

impl Check for CountingCheck {
    type Error = Infallible;

    fn check(&self, text: &str) -> Result<Version, Infallible> {
        self.0.set(self.0.get() + 1);
        Ok(Version(text.len() as u64))
    }
}

/// Two replicas of the platform's service may serve different bundles in turn.
/// Guards against checking the old one each time, which would take the readers'
/// CPU time, so that they miss heartbeats and delay new flows.
#[test]
fn an_old_bundle_is_checked_once_however_often_it_is_served() {
    let checks = Rc::new(Cell::new(0));
    let mut spread = Spread::new(CountingCheck(checks.clone()));

    for _ in 0..1000 {
        spread.offer("new bundle").expect("valid");
        spread.offer("old").expect("valid");
    }

    assert_eq!(checks.get(), 2);
    assert_eq!(spread.order().0, Version(10));
}
