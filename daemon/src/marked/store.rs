//! The thread that follows the store.

use super::{
    current::Current,
    inbox::{Event, Sender},
};
use medlarspur_platform::site::{
    follower::{Follower, Step},
    store::{Http, StoreError},
};
use snafu::Report;
use std::{io, sync::Arc, thread};

/// Starts to follow the store that the settings name.
pub fn start(current: Arc<Current>, sender: Sender) -> io::Result<()> {
    let run = move || {
        let mut address = current.store();
        let mut follower = Follower::new(Http::new(address));
        let mut reachable = None;
        loop {
            let step = follower.step(rand::random());
            let is_lost = note(&step, &mut reachable);
            let news = step.news.filter(|news| !news.changes.is_empty());
            if let Some(news) = news
                && !sender.send(Event::News(news))
            {
                log::warn!("store: news is read again, the inbox is full");
                follower.start_over();
            }
            thread::sleep(step.pause);
            if is_lost {
                current.reload();
            }
            if current.store() != address {
                address = current.store();
                follower = Follower::new(Http::new(address));
            }
        }
    };
    thread::Builder::new().name("store".to_owned()).spawn(run)?;
    Ok(())
}

/// Logs what was not taken, and when the store is lost or regained; answers
/// whether it was lost just now.
fn note(step: &Step, reachable: &mut Option<bool>) -> bool {
    for fault in &step.faults {
        log::warn!("store: an item is not taken: {}", Report::from_error(fault));
    }
    let is_reachable = matches!(step.error, None | Some(StoreError::Compacted));
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
