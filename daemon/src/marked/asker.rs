//! Asks targets whether they answer, each on a thread of its own.

use super::inbox::{Delivery, Event, Sender};
use medlarspur_marked::{Incarnation, Target};
use medlarspur_platform::site::health;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    thread,
};

/// How many targets may be asked at once. When a failure domain is cut off, all
/// of its targets are in doubt in the same moment.
const MOST: usize = 64;
/// The thread needs room for one answer's head.
const STACK: usize = 64 << 10;

/// Asks targets.
#[derive(Debug, Clone)]
pub struct Asker {
    sender: Sender,
    running: Arc<AtomicUsize>,
}

impl Asker {
    /// One that hands what it finds to the main thread.
    pub fn new(sender: Sender) -> Asker {
        Asker { sender, running: Arc::default() }
    }

    /// Asks without waiting for the answer. A question too many is left out:
    /// the next doubt asks again.
    pub fn ask(&self, target: &Target, path: &str) {
        if self.running.fetch_add(1, Relaxed) >= MOST {
            self.running.fetch_sub(1, Relaxed);
            log::warn!("ask: {} is not asked, {MOST} others are", target.incarnation);
            return;
        }
        let (asker, path) = (self.clone(), path.to_owned());
        let (incarnation, address) = (target.incarnation, target.address);
        let name = target.name.clone();
        let run = move || {
            let finding = health::ask(&name, address, &path);
            asker.report(incarnation, finding);
            asker.running.fetch_sub(1, Relaxed);
        };
        let thread = thread::Builder::new().name("ask".to_owned()).stack_size(STACK);
        if let Err(error) = thread.spawn(run) {
            self.running.fetch_sub(1, Relaxed);
            log::warn!("ask: {incarnation} is not asked: {error}");
        }
    }

    fn report(&self, incarnation: Incarnation, finding: medlarspur_marked::Finding) {
        if self.sender.send(Event::Found(incarnation, finding)) == Delivery::Full {
            log::warn!("ask: what {incarnation} answered is lost, the inbox is full");
        }
    }
}
