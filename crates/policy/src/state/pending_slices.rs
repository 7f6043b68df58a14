//! Slices whose routing table or admission rates differ from what the proxies were sent.

use crate::api::SliceId;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// The urgency of a difference, most urgent first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// The table has no usable endpoint; the change can't wait.
    NoEndpoint,
    /// An owner must be replaced.
    Urgent,
    /// A slice is moved by rebalancing, or an admission rate changes.
    Normal,
    /// Only a standby endpoint changes; everything else is sent first.
    StandbyOnly,
}

/// Slices to be sent, in the order of urgency, then of waiting time. Each slice is contained at most once.
#[derive(Default)]
pub(crate) struct PendingSlices {
    order: BTreeSet<(Priority, Moment, SliceId)>,
    by_slice: BTreeMap<SliceId, (Priority, Moment)>,
}

impl PendingSlices {
    /// Adds a slice. If it is already pending, it keeps its waiting time and gets the more urgent of both
    /// priorities.
    pub(crate) fn mark(&mut self, slice: SliceId, priority: Priority, now: Moment) {
        let (previous, since) = self.by_slice.get(&slice).copied().unwrap_or((priority, now));
        let priority = previous.min(priority);
        self.order.remove(&(previous, since, slice));
        self.order.insert((priority, since, slice));
        self.by_slice.insert(slice, (priority, since));
    }

    /// Removes a slice, if it is pending.
    pub(crate) fn clear(&mut self, slice: SliceId) {
        if let Some((priority, since)) = self.by_slice.remove(&slice) {
            self.order.remove(&(priority, since, slice));
        }
    }

    /// Returns the slices in the order in which they are to be sent.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Priority, SliceId)> + '_ {
        self.order.iter().map(|(priority, _, slice)| (*priority, *slice))
    }

    /// Returns true if a slice of a more urgent priority is pending.
    pub(crate) fn has_more_urgent_than(&self, priority: Priority) -> bool {
        self.order.first().is_some_and(|(first, ..)| *first < priority)
    }
}
