//! The owner, the pending move and the earlier owners of a bucket.

use super::{HISTORY_DEPTH, SETTLE_TIME, Stamp, TargetId};
use crate::{ids::Version, time::Millis};

/// The state of one bucket of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BucketView {
    /// The target of new flows; `None` while no target takes any.
    pub owner: Option<TargetId>,
    /// The moves of the bucket, if any. Boxed because hardly any bucket has
    /// moved: a large site has millions of buckets, and with this inline their
    /// table alone would take 205 MB.
    record: Option<Box<MoveRecord>>,
}

/// The moves by which a flow of the bucket may go elsewhere than to its owner.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct MoveRecord {
    pending: Option<PendingMove>,
    history: Vec<EarlierOwner>,
    stamp: Stamp,
}

/// A move that is known and not carried out yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingMove {
    /// The next owner.
    pub target: TargetId,
    /// The time at which this instance learned of the move.
    pub since: Millis,
    /// The version of the bundle that causes the move, or `None` for a plan.
    /// Instances report which bundle they have, so the move may be carried out
    /// early; they don't report plans.
    pub version: Option<Version>,
}

/// An earlier owner of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlierOwner {
    /// The target that owned the bucket.
    pub target: TargetId,
    /// The time at which this instance saw it lose the bucket.
    pub since: Millis,
    /// Whether it was the owner in this instance's view. Otherwise it was only
    /// about to become the owner when the move was cancelled, and hardly any
    /// flows were opened at it.
    pub owned: bool,
}

impl BucketView {
    /// Creates a bucket that has always had this owner.
    pub fn settled(owner: Option<TargetId>) -> BucketView {
        BucketView { owner, ..BucketView::default() }
    }

    /// The move that is about to give the bucket's new flows to another target.
    pub fn pending(&self) -> Option<PendingMove> {
        self.record.as_ref()?.pending
    }

    /// Earlier owners that may hold flows, the latest last. A target appears
    /// several times if the bucket went back and forth.
    pub fn history(&self) -> &[EarlierOwner] {
        self.record.as_ref().map_or(&[], |record| &record.history)
    }

    /// The stamp of the bucket's last move. An instance that has advertised up
    /// to this stamp has advertised the bucket's exceptions.
    pub fn stamp(&self) -> Stamp {
        self.record.as_ref().map_or(Stamp::default(), |record| record.stamp)
    }

    /// The earlier owners, each target once.
    pub fn distinct_owners(&self) -> impl Iterator<Item = &EarlierOwner> {
        let history = self.history();
        let is_first = move |ix: usize| {
            let target = history[ix].target;
            !history[..ix].iter().any(|earlier| earlier.target == target)
        };
        (0..history.len()).filter(move |&ix| is_first(ix)).map(|ix| &history[ix])
    }

    /// Whether an unknown flow may go elsewhere than to the owner, so that
    /// peers have to be asked about it.
    pub fn may_have_exceptions(&self) -> bool {
        self.record.is_some()
    }

    /// Whether the last move is so recent that the keepers may not know all
    /// exceptions yet.
    pub fn is_settling(&self, now: Millis) -> bool {
        let fresh = |earlier: &EarlierOwner| now.since(earlier.since) < SETTLE_TIME;
        self.pending().is_some() || self.history().last().is_some_and(fresh)
    }

    /// The target that most likely has a flow that no instance knows. If an
    /// instance has gone at `orphaned_since`, this is the bucket's owner at
    /// that time, otherwise the owner before the last move.
    pub fn fallback(&self, orphaned_since: Millis) -> Option<TargetId> {
        let owners = || self.history().iter().filter(|earlier| earlier.owned);
        if let Some(earlier) = owners().find(|earlier| earlier.since >= orphaned_since) {
            return Some(earlier.target);
        }
        match self.pending() {
            Some(_) => self.owner,
            None => owners().next_back().map(|earlier| earlier.target).or(self.owner),
        }
    }

    pub(super) fn set_pending(&mut self, pending: Option<PendingMove>) {
        if self.pending() != pending {
            self.edit(|record| record.pending = pending);
        }
    }

    /// Sets the stamp of the last move; discarded if the bucket has never
    /// moved.
    pub(super) fn set_stamp(&mut self, stamp: Stamp) {
        self.edit(|record| record.stamp = stamp);
    }

    /// Adds an earlier owner. If there are too many, the oldest entry of a
    /// target that has a later one is dropped first, since its flows are still
    /// found by the later entry.
    pub(super) fn add_earlier(&mut self, earlier: EarlierOwner) {
        self.edit(|record| {
            let history = &mut record.history;
            history.push(earlier);
            history.sort_by_key(|earlier| earlier.since);
            if history.len() > HISTORY_DEPTH {
                let repeated = |ix: &usize| {
                    let target = history[*ix].target;
                    history[*ix + 1..].iter().any(|earlier| earlier.target == target)
                };
                let oldest = (0..history.len()).find(repeated).unwrap_or(0);
                history.remove(oldest);
            }
        });
    }

    /// Changes the record of moves, and drops it if it has become empty.
    fn edit(&mut self, change: impl FnOnce(&mut MoveRecord)) {
        let mut record = self.record.take().unwrap_or_default();
        change(&mut record);
        let is_empty = record.pending.is_none() && record.history.is_empty();
        self.record = (!is_empty).then_some(record);
    }
}
