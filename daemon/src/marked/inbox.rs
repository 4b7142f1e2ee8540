//! Channel to a thread that also polls sockets: a bounded queue and a pipe to wake it.

use super::pictures::Command;
use medlarspur_lib::status::{MarkedExplanation, MarkedStatus};
use medlarspur_marked::{FlowKey, Incarnation, ProbeResult, Revision, Update};
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

/// Maximum number of queued values. The receiver empties the inbox in each round. If the inbox
/// is full, an update is dropped and read or pulled again.
const CAPACITY: usize = 256;

/// Event for the main thread.
#[derive(Debug)]
pub enum Event {
    /// An update was read from the store, possibly without changes.
    StoreRead {
        /// The update.
        update: Update,
        /// Whether the store is in an earlier era than was known.
        fell_back: bool,
    },
    /// The store could not be read.
    StoreFailed,
    /// An update was pulled from another instance.
    Pulled {
        /// The instance that sent it.
        from: SocketAddrV4,
        /// The update.
        update: Update,
    },
    /// Another instance requests the changes since a revision.
    PullRequested {
        /// The revision that it knows.
        known: Revision,
        /// The thread that sends the answer.
        reply: Sender<Command>,
    },
    /// A pull from this instance failed.
    PullFailed(SocketAddrV4),
    /// A target's probe has ended with this result.
    Probed(Incarnation, ProbeResult),
    /// An operator's query.
    Operator(OperatorQuery),
}

/// An operator's query, with a channel for the answer that has capacity for it.
#[derive(Debug)]
pub enum OperatorQuery {
    /// Returns the state of the instance.
    Status(SyncSender<MarkedStatus>),
    /// Explains the decision on a flow.
    Explain(FlowKey, SyncSender<MarkedExplanation>),
}

/// Outcome of sending a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The value is in the inbox.
    Queued,
    /// The inbox is full; the value is dropped.
    Full,
    /// The receiver is gone, because the process ends.
    Closed,
}

/// Receiving end of a channel. The main thread's inbox receives [`Event`]s.
#[derive(Debug)]
pub struct Inbox<T = Event> {
    events: Receiver<T>,
    wake: OwnedFd,
}

/// Sending end of a channel.
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

/// Creates a channel.
pub fn channel<T>() -> io::Result<(Sender<T>, Inbox<T>)> {
    let (events, inbox) = sync_channel(CAPACITY);
    let (wake, writer) = pipe2(OFlag::O_NONBLOCK | OFlag::O_CLOEXEC)?;
    let sender = Sender { events, wake: Arc::new(writer) };
    Ok((sender, Inbox { events: inbox, wake }))
}

impl<T> Inbox<T> {
    /// Descriptor that becomes readable when a value is queued.
    pub fn wake_fd(&self) -> BorrowedFd<'_> {
        self.wake.as_fd()
    }

    /// Removes and returns the queued values.
    pub fn drain(&self) -> impl Iterator<Item = T> {
        let _ = self.drain_pipe();
        self.events.try_iter()
    }

    /// Whether all senders are gone.
    pub fn is_closed(&self) -> bool {
        self.drain_pipe() == Ok(0)
    }

    /// Empties the pipe. Returns the number of bytes of the last read, 0 if the pipe is closed.
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
    /// Sends a value without waiting, and wakes the receiver.
    pub fn send(&self, event: T) -> Delivery {
        let sent = match self.events.try_send(event) {
            Ok(()) => Delivery::Queued,
            Err(TrySendError::Full(_)) => Delivery::Full,
            Err(TrySendError::Disconnected(_)) => Delivery::Closed,
        };
        // A full pipe is readable already, so the receiver wakes without another byte.
        if let Err(error) = write(&self.wake, &[0])
            && error != Errno::EAGAIN
        {
            log::warn!("inbox: waking the receiver failed: {error}");
        }
        sent
    }

    /// Wakes the receiver when one of these signals arrives. Otherwise it would notice the
    /// signal only with the next packet.
    pub fn wake_on(&self, signals: &[i32]) -> io::Result<()> {
        for signal in signals {
            pipe::register(*signal, self.wake.try_clone()?)?;
        }
        Ok(())
    }
}
