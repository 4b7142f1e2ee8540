//! The last copy of a caller's opening packet that arrived here.
//!
//! Routers may pass the next copy to another instance, which makes its own choice of a target. If
//! two targets answer, the caller continues with the sequence numbers of the first answer but
//! puts the mark of the last one into its packets. An opening is therefore only acted on while its
//! answer still reaches the caller before the next copy is sent; from then on that copy decides.

use crate::Segment;
use medlarspur_lib::time::Millis;

/// Time within which the answer to an opening reaches its caller. A round trip through caller and
/// target takes up to 12 ms if failure domains are 1.4 ms apart and callers 3 ms away.
pub(crate) const ANSWER_TIME: Millis = Millis(30);

/// Arrival of a copy, and time at which its caller sends the next one or gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LastCopy {
    arrived: Millis,
    next: Millis,
}

impl LastCopy {
    /// Creates the state of an opening packet that waited in the socket for `queued`.
    pub(crate) fn new(segment: &Segment, queued: Millis, now: Millis) -> LastCopy {
        let arrived = now.since(queued);
        LastCopy { arrived, next: arrived + segment.repeated_after }
    }

    /// Time since the copy arrived.
    pub(crate) fn age(self, now: Millis) -> Millis {
        now.since(self.arrived)
    }

    /// Whether an answer to an opening sent now may reach the caller only after it has sent the
    /// next copy.
    pub(crate) fn is_superseded(self, now: Millis) -> bool {
        now + ANSWER_TIME > self.next
    }

    /// Whether the next copy should have arrived here. Since it has not, it went to another
    /// instance, or the caller has gone.
    pub(crate) fn is_followed_elsewhere(self, now: Millis) -> bool {
        now > self.next + ANSWER_TIME
    }
}
