//! Slices whose routing table or admission rates differ from what the proxies were sent.

use crate::api::SliceId;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// How soon a difference has to be sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// The table has no endpoint that may be used: it can't wait.
    NoEndpoint,
    /// An owner must be left.
    Urgent,
    /// A move or an admission rate.
    Normal,
    /// Only a standby endpoint: it can wait for all else.
    StandbyOnly,
}

/// Slices to be sent, the most urgent first, then the one that has waited longest. A slice is there at most once.
#[derive(Default)]
pub(crate) struct PendingSlices {
    order: BTreeSet<(Priority, Moment, SliceId)>,
    by_slice: BTreeMap<SliceId, (Priority, Moment)>,
}

impl PendingSlices {
    /// Adds a slice. One that is there keeps its age, and gets the more urgent of both priorities.
    pub(crate) fn mark(&mut self, slice: SliceId, priority: Priority, now: Moment) {
        let (previous, since) = self.by_slice.get(&slice).copied().unwrap_or((priority, now));
        let priority = previous.min(priority);
        self.order.remove(&(previous, since, slice));
        self.order.insert((priority, since, slice));
        self.by_slice.insert(slice, (priority, since));
    }

    /// Removes a slice, if it is there.
    pub(crate) fn clear(&mut self, slice: SliceId) {
        if let Some((priority, since)) = self.by_slice.remove(&slice) {
            self.order.remove(&(priority, since, slice));
        }
    }

    /// The slices in the order in which they are to be sent.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Priority, SliceId)> + '_ {
        self.order.iter().map(|(priority, _, slice)| (*priority, *slice))
    }

    /// Whether a slice waits that is more urgent than this.
    pub(crate) fn has_more_urgent_than(&self, priority: Priority) -> bool {
        self.order.first().is_some_and(|(first, ..)| *first < priority)
    }
}
