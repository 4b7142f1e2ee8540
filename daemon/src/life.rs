//! The life cycle of an instance as a typestate: starting → serving → leaving → stopped.
//!
//! Each stage offers only the transitions that are valid in it. An instance can't be
//! stopped, for example, before it has left.

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

/// Interval at which the conditions for the next stage are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time without packets after which a leaving instance may stop. The fabric learns
/// with a delay that an instance leaves, and keeps sending to it until then.
const IDLE_TIME: Millis = Millis(2_000);

/// Minimum duration of leaving. Peers must learn of it, and the flows that only this
/// instance knows must be advertised to their keepers, before they are lost.
const MIN_DRAIN_TIME: Millis = Millis(3_000);

/// Maximum duration of leaving, even if packets still arrive.
const MAX_DRAIN_TIME: Millis = Millis(30_000);

/// Waits for a bundle; forwards nothing yet.
#[derive(Debug)]
pub struct Starting;

/// Forwards packets.
#[derive(Debug)]
pub struct Serving;

/// Forwards the packets that still arrive and advertises its exceptions to keepers.
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
    /// Starts the life cycle. `shutdown` is set by a signal.
    pub fn start(
        shared: Arc<Shared>,
        shutdown: Arc<AtomicBool>,
        clock: Clock,
    ) -> Lifecycle<Starting> {
        Lifecycle { shared, shutdown, clock, stage: PhantomData }
    }

    /// Waits until a bundle is in force or shutdown is requested.
    pub fn wait_for_bundle(self) -> Lifecycle<Serving> {
        while self.shared.stage() == Stage::Starting && !self.shutdown.load(Relaxed) {
            thread::sleep(POLL_INTERVAL);
        }
        self.transition()
    }
}

impl Lifecycle<Serving> {
    /// Waits until shutdown is requested.
    pub fn wait_for_shutdown(self) -> Lifecycle<Leaving> {
        while !self.shutdown.load(Relaxed) {
            thread::sleep(POLL_INTERVAL);
        }
        self.shared.set_stage(Stage::Leaving);
        self.transition()
    }
}

impl Lifecycle<Leaving> {
    /// Waits until packets have stopped arriving and all exceptions have been advertised
    /// to keepers, then stops the threads.
    pub fn drain(self) {
        let started = self.clock.now();
        loop {
            let now = self.clock.now();
            let last_packet = Millis(self.shared.last_packet.load(Relaxed));
            let elapsed = now.since(started);
            if elapsed >= MAX_DRAIN_TIME
                || elapsed >= MIN_DRAIN_TIME
                    && now.since(last_packet) >= IDLE_TIME
                    && self.shared.advertised_all.load(Relaxed)
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
