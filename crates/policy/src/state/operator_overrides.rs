//! The operators' overrides.

use crate::api::{OverrideNumber, OverrideSpec, OverrideStatus, ReplicaId};
use crate::state::slice_pins::SlicePins;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::take;

/// All overrides by id, and the slices that they pin.
#[derive(Default)]
pub(crate) struct OperatorOverrides {
    pub entries: BTreeMap<OverrideNumber, OverrideEntry>,
    pub pins: SlicePins,
}

/// An override and its status.
pub(crate) struct OverrideEntry {
    pub spec: OverrideSpec,
    pub status: OverrideStatus,
    /// The time at which a rule last suspended the override.
    pub suspended_at: Option<Moment>,
}

impl OperatorOverrides {
    /// Replaces all overrides, given oldest first. Overrides that are already known keep their status.
    pub(crate) fn replace(&mut self, overrides: &[(OverrideNumber, OverrideSpec)]) {
        let mut previous = take(&mut self.entries);
        self.pins = SlicePins::default();
        for (id, spec) in overrides {
            if let OverrideSpec::Pin { first, last, replica } = *spec {
                self.pins.insert(first, last, (replica, *id));
            }
            let unchanged = previous.remove(id).filter(|known| known.spec == *spec);
            let new = || OverrideEntry { spec: *spec, status: OverrideStatus::Absent, suspended_at: None };
            self.entries.insert(*id, unchanged.unwrap_or_else(new));
        }
    }

    /// Returns the replicas that overrides take out of service.
    pub(crate) fn replicas_out_of_service(&self) -> BTreeSet<ReplicaId> {
        let out_of_service = |entry: &OverrideEntry| match entry.spec {
            OverrideSpec::OutOfService { replica } => Some(replica),
            OverrideSpec::Weight { .. } | OverrideSpec::Pin { .. } => None,
        };
        self.entries.values().filter_map(out_of_service).collect()
    }
}
