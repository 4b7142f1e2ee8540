//! The thread that follows the store, as long as this instance is a reader.

use super::{
    current::Current,
    inbox::{Delivery, Event, Sender},
};
use medlarspur_marked::Revision;
use medlarspur_platform::site::{
    follower::{Follower, Step},
    store::{Http, StoreError},
};
use snafu::Report;
use std::{
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    thread::{self, Thread},
};

/// How many faults of one answer are listed. Another writer may fill the store with
/// entries that can't be used, and each full reading would tell them all again.
const MOST_FAULTS: usize = 20;

/// How calls to the store ended.
#[derive(Debug, Default)]
pub struct Calls {
    /// With an answer.
    pub answered: AtomicU64,
    /// Without one that could be used.
    pub failed: AtomicU64,
    /// Items, or parts of the config, that were not taken.
    pub omitted: AtomicU64,
    /// Fields of the config for which another value was taken.
    pub assumed: AtomicU64,
}

/// Tells the thread whether to read.
#[derive(Debug)]
pub struct Reading {
    calls: Arc<Calls>,
    shared: Arc<Mutex<Order>>,
    thread: Thread,
}

/// What the thread is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    Read,
    /// Read on from there, or from what was read before if that is later.
    ReadFrom(Revision),
    Pause,
}

impl Reading {
    /// Starts the thread for the store that the settings name. With `waits` it
    /// reads only once it is told to.
    pub fn start(current: Arc<Current>, sender: Sender, waits: bool) -> io::Result<Reading> {
        let first = if waits { Order::Pause } else { Order::Read };
        let shared = Arc::new(Mutex::new(first));
        let orders = shared.clone();
        let calls = Arc::<Calls>::default();
        let count = calls.clone();
        let run = move || run(&current, &sender, &orders, &count);
        let thread = thread::Builder::new().name("store".to_owned()).spawn(run)?;
        Ok(Reading { calls, shared, thread: thread.thread().clone() })
    }

    /// How its calls ended.
    pub fn calls(&self) -> Arc<Calls> {
        self.calls.clone()
    }

    /// Goes on reading, from `known` on. Nothing happens if it does already.
    pub fn go_on(&self, known: Revision) {
        let mut order = lock(&self.shared);
        if *order == Order::Pause {
            *order = Order::ReadFrom(known);
            self.thread.unpark();
        }
    }

    /// Reads on from `known`, which is of a later era than what was read. If the store is in an
    /// earlier one, it says so.
    pub fn resume(&self, known: Revision) {
        let mut order = lock(&self.shared);
        if *order != Order::Pause {
            *order = Order::ReadFrom(known);
        }
    }

    /// Stops reading after the call under way.
    pub fn pause(&self) {
        *lock(&self.shared) = Order::Pause;
    }

    /// Cuts a pause between calls short.
    pub fn hurry(&self) {
        self.thread.unpark();
    }
}

fn lock(shared: &Mutex<Order>) -> MutexGuard<'_, Order> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What to do now. A revision to read on from is taken once, under one lock, so
/// that a pause which is ordered meanwhile stays.
fn take(orders: &Mutex<Order>) -> Order {
    let mut order = lock(orders);
    match *order {
        Order::ReadFrom(_) => std::mem::replace(&mut *order, Order::Read),
        order => order,
    }
}

fn run(current: &Current, sender: &Sender, orders: &Mutex<Order>, calls: &Calls) {
    let mut address = current.store();
    let mut follower = Follower::new(Http::new(address));
    let mut reachable = None;
    loop {
        match take(orders) {
            Order::Read => {}
            Order::ReadFrom(known) => follower.resume(known),
            Order::Pause => {
                thread::park();
                continue;
            }
        }
        if current.store() != address {
            address = current.store();
            follower = Follower::new(Http::new(address));
        }
        let step = follower.step(rand::random());
        let counter = if step.error.is_none() { &calls.answered } else { &calls.failed };
        counter.fetch_add(1, Relaxed);
        let assumed = step.faults.iter().filter(|it| it.is_assumed()).count();
        calls.assumed.fetch_add(assumed as u64, Relaxed);
        calls.omitted.fetch_add((step.faults.len() - assumed) as u64, Relaxed);
        if note(&step, &mut reachable) {
            current.reload();
        }
        let event = match step.news {
            Some(news) => Event::Read { news, fell_back: step.fell_back },
            None => Event::Unread,
        };
        match sender.send(event) {
            Delivery::Taken => {}
            Delivery::Full => {
                log::warn!("store: news is read again, the inbox is full");
                follower.start_over();
            }
            Delivery::Ended => return,
        }
        if !step.pause.is_zero() {
            thread::park_timeout(step.pause);
        }
    }
}

/// Logs what was not taken, and when the store is lost or regained; answers
/// whether it was lost just now.
fn note(step: &Step, reachable: &mut Option<bool>) -> bool {
    for fault in step.faults.iter().take(MOST_FAULTS) {
        let outcome = if fault.is_assumed() { "taken with a default" } else { "not taken" };
        log::warn!("store: {outcome}: {}", Report::from_error(fault));
    }
    let others = step.faults.len().saturating_sub(MOST_FAULTS);
    if others > 0 {
        log::warn!("store: {others} more faults, not listed");
    }
    let is_reachable =
        matches!(step.error, None | Some(StoreError::Compacted | StoreError::Restored));
    if *reachable == Some(is_reachable) {
        return false;
    }
    *reachable = Some(is_reachable);
    match &step.error {
        Some(error) if !is_reachable => log::warn!("store: lost: {}", Report::from_error(error)),
        _ => log::info!("store: reached"),
    }
    !is_reachable
}
