//! The replica that each slice is pinned to, as ranges of slices that do not overlap, each with its newest
//! override.

use crate::api::{OverrideNumber, ReplicaId, SliceId};
use std::collections::BTreeMap;

/// The replica that a range of slices is pinned to, and the override that pins it.
type Pin = (ReplicaId, OverrideNumber);

/// The last slice and the pin of each range, by its first slice.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SlicePins(BTreeMap<SliceId, (SliceId, Pin)>);

impl SlicePins {
    /// Inserts a range and replaces the overlapping parts of existing ranges.
    pub(crate) fn insert(&mut self, first: SliceId, last: SliceId, pin: Pin) {
        if first > last {
            return;
        }
        let before = self.0.range(..first).next_back().map(|(from, (to, pin))| (*from, *to, *pin));
        if let Some((from, to, covered_pin)) = before.filter(|(_, to, _)| *to >= first) {
            self.0.insert(from, (first - 1, covered_pin));
            if to > last {
                self.0.insert(last + 1, (to, covered_pin));
            }
        }
        let covered: Vec<_> =
            self.0.range(first..=last).map(|(from, (to, pin))| (*from, *to, *pin)).collect();
        for (from, to, covered_pin) in covered {
            self.0.remove(&from);
            if to > last {
                self.0.insert(last + 1, (to, covered_pin));
            }
        }
        self.0.insert(first, (last, pin));
    }

    /// Returns the pin of a slice, if it has one.
    pub(crate) fn get(&self, slice: SliceId) -> Option<Pin> {
        let (_, (last, pin)) = self.0.range(..=slice).next_back()?;
        (slice <= *last).then_some(*pin)
    }

    /// Returns the first slice, the last slice and the pin of each range.
    pub(crate) fn ranges(&self) -> impl Iterator<Item = (SliceId, SliceId, Pin)> + '_ {
        self.0.iter().map(|(first, (last, pin))| (*first, *last, *pin))
    }
}
