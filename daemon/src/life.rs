//! The life of an instance as a type: starting → serving → leaving → stopped.
//!
//! Each stage has only the steps that make sense in it, so that, say, an
//! instance can't be stopped without having left.

use crate::{
    clock::Clock,
    shared::{Shared, Stage},
};
use medlarspur_lib::time::Millis;
use std::{
    marker::PhantomData,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    thread,
    time::Duration,
};

/// How often a stage looks whether it is over.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long no packet may have come before a leaving instance is done. The
/// fabric learns late that an instance leaves and goes on sending until then.
const IDLE_TIME: Millis = Millis(2_000);

/// How long leaving takes at least: peers have to hear of it, and keepers to
/// be told, before what only this instance knows is gone.
const MIN_DRAIN_TIME: Millis = Millis(3_000);

/// How long leaving takes at most, whatever still comes.
const MAX_DRAIN_TIME: Millis = Millis(30_000);

/// Learns the bundle; forwards nothing yet.
#[derive(Debug)]
pub struct Starting;

/// Forwards.
#[derive(Debug)]
pub struct Serving;

/// Forwards what still comes and hands over.
#[derive(Debug)]
pub struct Leaving;

/// An instance in the stage `S`.
#[derive(Debug)]
pub struct Lifecycle<S> {
    shared: Arc<Shared>,
    shutdown: Arc<AtomicBool>,
    clock: Clock,
    stage: PhantomData<S>,
}

impl Lifecycle<Starting> {
    /// Begins a life. `shutdown` is set by a signal.
    pub fn start(
        shared: Arc<Shared>,
        shutdown: Arc<AtomicBool>,
        clock: Clock,
    ) -> Lifecycle<Starting> {
        Lifecycle { shared, shutdown, clock, stage: PhantomData }
    }

    /// Waits until there is a bundle in force, or the instance shall shutdown.
    pub fn wait_for_bundle(self) -> Lifecycle<Serving> {
        while self.shared.stage() == Stage::Starting && !self.shutdown.load(Relaxed) {
            thread::sleep(POLL_INTERVAL);
        }
        self.transition()
    }
}

impl Lifecycle<Serving> {
    /// Waits until the instance shall shutdown.
    pub fn wait_for_shutdown(self) -> Lifecycle<Leaving> {
        while !self.shutdown.load(Relaxed) {
            thread::sleep(POLL_INTERVAL);
        }
        self.shared.set_stage(Stage::Leaving);
        self.transition()
    }
}

impl Lifecycle<Leaving> {
    /// Waits until packets have stopped coming and the keepers were told all,
    /// and ends the threads.
    pub fn drain(self) {
        let started = self.clock.now();
        loop {
            let now = self.clock.now();
            let last_packet = Millis(self.shared.last_packet.load(Relaxed));
            let elapsed = now.since(started);
            if elapsed >= MAX_DRAIN_TIME
                || elapsed >= MIN_DRAIN_TIME
                    && now.since(last_packet) >= IDLE_TIME
                    && self.shared.keepers_updated.load(Relaxed)
            {
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.shared.stop.store(true, Relaxed);
        self.shared.set_stage(Stage::Stopped);
    }
}

impl<S> Lifecycle<S> {
    fn transition<T>(self) -> Lifecycle<T> {
        Lifecycle {
            shared: self.shared,
            shutdown: self.shutdown,
            clock: self.clock,
            stage: PhantomData,
        }
    }
}
