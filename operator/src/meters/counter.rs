//! Counters, whose values are read at a scrape from the place where they are kept.

use super::Family;
use medlarspur_lib::collections::Map;
use opentelemetry::{
    KeyValue,
    metrics::{AsyncInstrument, Meter},
};
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

/// Function that returns the value of one series.
pub(super) type ReadValue = Box<dyn Fn() -> u64 + Send + Sync>;

/// Counter of one series. Cloning it and adding to it is cheap on any thread.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<AtomicU64>);

impl Counter {
    /// Adds `amount`.
    pub fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    pub(super) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The series of one family, each with its label.
type Series = Arc<Mutex<Vec<(&'static str, ReadValue)>>>;

/// All counters of an instance. `handles` holds those that are kept here.
pub(super) struct Counters {
    families: Map<Family, Series>,
    handles: Mutex<Map<(Family, &'static str), Counter>>,
}

impl Counters {
    pub(super) fn new(meter: &Meter) -> Counters {
        let families =
            Family::ALL.into_iter().map(|family| (family, register_family(meter, family)));
        Counters { families: families.collect(), handles: Mutex::default() }
    }

    pub(super) fn counter(&self, family: Family, label: &'static str) -> Counter {
        let mut handles = lock(&self.handles);
        if let Some(counter) = handles.get(&(family, label)) {
            return counter.clone();
        }
        let counter = Counter::default();
        handles.insert((family, label), counter.clone());
        let read = counter.clone();
        self.observe(family, label, Box::new(move || read.get()));
        counter
    }

    pub(super) fn observe(&self, family: Family, label: &'static str, read: ReadValue) {
        lock(&self.families[&family]).push((label, read));
    }
}

fn register_family(meter: &Meter, family: Family) -> Series {
    let series = Series::default();
    let registered = series.clone();
    let observe = move |observer: &dyn AsyncInstrument<u64>| {
        for (label, read) in lock(&registered).iter() {
            observer.observe(read(), &[KeyValue::new(family.label(), *label)]);
        }
    };
    meter
        .u64_observable_counter(family.name())
        .with_description(family.description())
        .with_callback(observe)
        .build();
    series
}

/// Locks a mutex, poisoned or not. A panic in another thread leaves the values intact.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
