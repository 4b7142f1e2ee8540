//! Where one bucket of a service stands.

use super::{HISTORY_DEPTH, SETTLE_TIME, Stamp, TargetId};
use crate::{ids::Version, time::Millis};

/// Where one bucket stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BucketView {
    /// Gets its new flows; `None` while no target takes any.
    pub owner: Option<TargetId>,
    /// What hardly any bucket has. A large site has millions of buckets, and
    /// with room for this in each their table alone would take 205 MB.
    doubt: Option<Box<Doubt>>,
}

/// Why a flow of a bucket may go elsewhere than to its owner.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Doubt {
    pending: Option<PendingMove>,
    history: Vec<EarlierOwner>,
    stamp: Stamp,
}

/// A move that is known and not carried out yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingMove {
    /// The owner to be.
    pub target: TargetId,
    /// Since when it is known here.
    pub since: Millis,
    /// The bundle that causes it. Instances say which bundle they have, so the
    /// move may be carried out early; of plans they don't say it.
    pub version: Option<Version>,
}

/// An earlier owner of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlierOwner {
    /// The target.
    pub target: TargetId,
    /// When this instance saw it lose the bucket.
    pub since: Millis,
    /// Whether it was the owner here, and not only about to become it when the
    /// move was called off: then few flows, if any, were opened at it.
    pub owned: bool,
}

impl BucketView {
    /// A bucket that has always had this owner.
    pub fn settled(owner: Option<TargetId>) -> BucketView {
        BucketView { owner, ..BucketView::default() }
    }

    /// The move that is about to give its new flows to another target.
    pub fn pending(&self) -> Option<PendingMove> {
        self.doubt.as_ref()?.pending
    }

    /// Earlier owners that may hold flows, the latest last. A target appears
    /// more than once when the bucket went to and fro.
    pub fn history(&self) -> &[EarlierOwner] {
        self.doubt.as_ref().map_or(&[], |doubt| &doubt.history)
    }

    /// The bundle and plan by which it last moved: who has told all up to here
    /// has told the bucket's exceptions.
    pub fn stamp(&self) -> Stamp {
        self.doubt.as_ref().map_or(Stamp::default(), |doubt| doubt.stamp)
    }

    /// The targets of the history, each once.
    pub fn distinct_owners(&self) -> impl Iterator<Item = &EarlierOwner> {
        let history = self.history();
        let is_first = move |ix: usize| {
            let target = history[ix].target;
            !history[..ix].iter().any(|earlier| earlier.target == target)
        };
        (0..history.len()).filter(move |&ix| is_first(ix)).map(|ix| &history[ix])
    }

    /// Whether a flow that is not known here may go elsewhere than to the
    /// owner, so that others have to be asked.
    pub fn may_have_exceptions(&self) -> bool {
        self.doubt.is_some()
    }

    /// Whether the move is so fresh that the keepers can't know all.
    pub fn is_settling(&self, now: Millis) -> bool {
        let fresh = |earlier: &EarlierOwner| now.since(earlier.since) < SETTLE_TIME;
        self.pending().is_some() || self.history().last().is_some_and(fresh)
    }

    /// The target that most likely has a flow of which nobody knows. If an
    /// instance went at `orphaned`, that is the bucket's owner of that time,
    /// else the owner before the last move.
    pub fn fallback(&self, orphaned: Millis) -> Option<TargetId> {
        let owners = || self.history().iter().filter(|earlier| earlier.owned);
        if let Some(earlier) = owners().find(|earlier| earlier.since >= orphaned) {
            return Some(earlier.target);
        }
        match self.pending() {
            Some(_) => self.owner,
            None => owners().next_back().map(|earlier| earlier.target).or(self.owner),
        }
    }

    pub(super) fn set_pending(&mut self, pending: Option<PendingMove>) {
        if self.pending() != pending {
            self.edit(|doubt| doubt.pending = pending);
        }
    }

    /// Says that it moved by this stamp; one without doubt has no use for it.
    pub(super) fn set_stamp(&mut self, stamp: Stamp) {
        self.edit(|doubt| doubt.stamp = stamp);
    }

    /// Notes an earlier owner. When there are too many, the oldest that is
    /// named more than once goes first, since its flows are still found by the
    /// other.
    pub(super) fn remember(&mut self, earlier: EarlierOwner) {
        self.edit(|doubt| {
            let history = &mut doubt.history;
            history.push(earlier);
            history.sort_by_key(|earlier| earlier.since);
            if history.len() > HISTORY_DEPTH {
                let again = |ix: &usize| {
                    let target = history[*ix].target;
                    history[*ix + 1..].iter().any(|earlier| earlier.target == target)
                };
                let oldest = (0..history.len()).find(again).unwrap_or(0);
                history.remove(oldest);
            }
        });
    }

    /// Changes the doubt and drops one that has become empty.
    fn edit(&mut self, change: impl FnOnce(&mut Doubt)) {
        let mut doubt = self.doubt.take().unwrap_or_default();
        change(&mut doubt);
        let is_empty = doubt.pending.is_none() && doubt.history.is_empty();
        self.doubt = (!is_empty).then_some(doubt);
    }
}
