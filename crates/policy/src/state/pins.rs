//! Which replica each slice is pinned to: ranges of slices that do not overlap, each under the newest override.

use crate::api::{OverrideId, ReplicaId, SliceId};
use std::collections::BTreeMap;

pub(crate) type Pin = (ReplicaId, OverrideId);
/// By the first slice of each range, its last one and where it belongs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlicePins(BTreeMap<SliceId, (SliceId, Pin)>);

impl SlicePins {
    /// Lays a range over what is there; of ranges that it covers in part, the rest stays.
    pub fn insert(&mut self, first: SliceId, last: SliceId, pin: Pin) {
        if first > last {
            return;
        }
        let before = self.0.range(..first).next_back().map(|(from, (to, pin))| (*from, *to, *pin));
        if let Some((from, to, under)) = before.filter(|(_, to, _)| *to >= first) {
            self.0.insert(from, (first - 1, under));
            if to > last {
                self.0.insert(last + 1, (to, under));
            }
        }
        let covered: Vec<_> =
            self.0.range(first..=last).map(|(from, (to, pin))| (*from, *to, *pin)).collect();
        for (from, to, under) in covered {
            self.0.remove(&from);
            if to > last {
                self.0.insert(last + 1, (to, under));
            }
        }
        self.0.insert(first, (last, pin));
    }

    pub fn get(&self, slice: SliceId) -> Option<Pin> {
        let (_, (last, pin)) = self.0.range(..=slice).next_back()?;
        (slice <= *last).then_some(*pin)
    }

    /// Each range: its first slice, its last one, and where it belongs.
    pub fn ranges(&self) -> impl Iterator<Item = (SliceId, SliceId, Pin)> + '_ {
        self.0.iter().map(|(first, (last, pin))| (*first, *last, *pin))
    }
}
