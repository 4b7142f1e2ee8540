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
const LOOK: Duration = Duration::from_millis(50);

/// How long no packet may have come before a leaving instance is done. The
/// fabric learns late that an instance leaves and goes on sending until then.
const QUIET: Millis = Millis(2_000);

/// How long leaving takes at least: peers have to hear of it, and keepers to
/// be told, before what only this instance knows is gone.
const LEAST: Millis = Millis(3_000);

/// How long leaving takes at most, whatever still comes.
const LIMIT: Millis = Millis(30_000);

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
pub struct Life<S> {
    shared: Arc<Shared>,
    leave: Arc<AtomicBool>,
    clock: Clock,
    stage: PhantomData<S>,
}

impl Life<Starting> {
    /// Begins a life. `leave` is set by a signal.
    pub fn begin(shared: Arc<Shared>, leave: Arc<AtomicBool>, clock: Clock) -> Life<Starting> {
        Life { shared, leave, clock, stage: PhantomData }
    }

    /// Waits until there is a bundle in force, or the instance shall leave.
    pub fn serve(self) -> Life<Serving> {
        while self.shared.stage() == Stage::Starting && !self.leave.load(Relaxed) {
            thread::sleep(LOOK);
        }
        self.turn()
    }
}

impl Life<Serving> {
    /// Waits until the instance shall leave.
    pub fn leave(self) -> Life<Leaving> {
        while !self.leave.load(Relaxed) {
            thread::sleep(LOOK);
        }
        self.shared.enter(Stage::Leaving);
        self.turn()
    }
}

impl Life<Leaving> {
    /// Waits until packets have stopped coming and the keepers were told all,
    /// and ends the threads.
    pub fn stop(self) {
        let began = self.clock.now();
        loop {
            let now = self.clock.now();
            let heard = Millis(self.shared.heard.load(Relaxed));
            let spent = now.since(began);
            if spent >= LIMIT
                || spent >= LEAST && now.since(heard) >= QUIET && self.shared.told.load(Relaxed)
            {
                break;
            }
            thread::sleep(LOOK);
        }
        self.shared.stop.store(true, Relaxed);
        self.shared.enter(Stage::Stopped);
    }
}

impl<S> Life<S> {
    fn turn<T>(self) -> Life<T> {
        Life { shared: self.shared, leave: self.leave, clock: self.clock, stage: PhantomData }
    }
}
