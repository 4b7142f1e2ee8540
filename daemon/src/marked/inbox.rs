//! What threads hand to one that also waits for sockets, with a way to wake it.

use super::pictures::Command;
use medlarspur_lib::status::{MarkedExplanation, MarkedStatus};
use medlarspur_marked::{Finding, FlowKey, Incarnation, News, Revision};
use nix::{
    errno::Errno,
    fcntl::OFlag,
    unistd::{pipe2, read, write},
};
use signal_hook::low_level::pipe;
use std::{
    io,
    net::SocketAddrV4,
    os::fd::{AsFd, BorrowedFd, OwnedFd},
    sync::{
        Arc,
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
};

/// How many values may wait. Their receiver empties the inbox in each round; if it does not
/// come to that, news is read again.
const CAPACITY: usize = 256;

/// A value for the main thread.
#[derive(Debug)]
pub enum Event {
    /// News that was read from the store, maybe without any change.
    StoreRead {
        /// The news.
        update: News,
        /// Whether the store is in an earlier era than was believed.
        fell_back: bool,
    },
    /// The store could not be read.
    StoreFailed,
    /// What another instance has told when it was asked.
    Pulled {
        /// Who told it.
        from: SocketAddrV4,
        /// What it told.
        update: News,
    },
    /// Another instance asks for what has changed since a revision.
    PullRequested {
        /// What it knows.
        known: Revision,
        /// Where the answer goes.
        reply: Sender<Command>,
    },
    /// An instance that was asked has told nothing.
    PullFailed(SocketAddrV4),
    /// What asking a target brought.
    Probed(Incarnation, Finding),
    /// An operator asks.
    Operator(OperatorQuery),
}

/// What operators ask, each with where the answer goes; it has room for it.
#[derive(Debug)]
pub enum OperatorQuery {
    /// For the state of the instance.
    Status(SyncSender<MarkedStatus>),
    /// Where a flow goes and why.
    Explain(FlowKey, SyncSender<MarkedExplanation>),
}

/// What became of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// It waits in the inbox.
    Queued,
    /// The inbox has no room for it.
    Full,
    /// The receiver has ended, and the process ends.
    Closed,
}

/// The receiver's end; the main thread's takes [`Event`]s.
#[derive(Debug)]
pub struct Inbox<T = Event> {
    events: Receiver<T>,
    wake: OwnedFd,
}

/// The other threads' end.
#[derive(Debug)]
pub struct Sender<T = Event> {
    events: SyncSender<T>,
    wake: Arc<OwnedFd>,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Sender<T> {
        Sender { events: self.events.clone(), wake: self.wake.clone() }
    }
}

/// Makes both ends.
pub fn channel<T>() -> io::Result<(Sender<T>, Inbox<T>)> {
    let (events, inbox) = sync_channel(CAPACITY);
    let (wake, writer) = pipe2(OFlag::O_NONBLOCK | OFlag::O_CLOEXEC)?;
    let sender = Sender { events, wake: Arc::new(writer) };
    Ok((sender, Inbox { events: inbox, wake }))
}

impl<T> Inbox<T> {
    /// Becomes readable when something waits.
    pub fn wake_fd(&self) -> BorrowedFd<'_> {
        self.wake.as_fd()
    }

    /// Takes what waits.
    pub fn drain(&self) -> impl Iterator<Item = T> {
        let _ = self.drain_pipe();
        self.events.try_iter()
    }

    /// Whether all senders are gone, so that nothing comes any more.
    pub fn is_closed(&self) -> bool {
        self.drain_pipe() == Ok(0)
    }

    /// Empties the pipe; answers how many bytes came last, which is none once it has ended.
    fn drain_pipe(&self) -> nix::Result<usize> {
        let mut bytes = [0; 64];
        loop {
            match read(&self.wake, &mut bytes) {
                Ok(count) if count == bytes.len() => {}
                result => return result,
            }
        }
    }
}

impl<T> Sender<T> {
    /// Hands a value over without waiting.
    pub fn send(&self, event: T) -> Delivery {
        let sent = match self.events.try_send(event) {
            Ok(()) => Delivery::Queued,
            Err(TrySendError::Full(_)) => Delivery::Full,
            Err(TrySendError::Disconnected(_)) => Delivery::Closed,
        };
        // A full pipe wakes the receiver as well as one more byte would.
        if let Err(error) = write(&self.wake, &[0])
            && error != Errno::EAGAIN
        {
            log::warn!("inbox: the receiver can't be woken: {error}");
        }
        sent
    }

    /// Wakes the receiver when one of these signals comes, which would
    /// otherwise be noticed with the next packet only.
    pub fn wake_on(&self, signals: &[i32]) -> io::Result<()> {
        for signal in signals {
            pipe::register(*signal, self.wake.try_clone()?)?;
        }
        Ok(())
    }
}
