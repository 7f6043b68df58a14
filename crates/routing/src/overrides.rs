//! Operators' overrides: translates the overrides in force, which name replicas, into those of the policy, which uses
//! ids.

use super::replica_names::ReplicaNames;
use whinwall_management_api::messages::ListedOverride;
use whinwall_overrides::{
    ClockReading, ConfiguredOverride, Override, OverrideKind, OverrideLimits, OverrideManager,
};
use whinwall_policy::api::{OverrideNumber, OverrideSpec, OverrideStatus};
use whinwall_policy::time::Moment;
use whinwall_policy::Policy;

/// The override configuration in the operators' file.
#[derive(Clone, Debug)]
pub struct OverrideConfig {
    /// The limits on overrides.
    pub limits: OverrideLimits,
    /// The overrides that the file itself contains.
    pub configured: Vec<ConfiguredOverride>,
    /// True if overrides are persisted; the stored ones arrive later.
    pub has_store: bool,
}

/// The overrides, and those that the policy was last given.
pub(crate) struct Overrides {
    /// Handles requests for overrides and their expiry.
    pub manager: OverrideManager,
    /// The overrides that the policy was last given.
    applied: Vec<(OverrideNumber, OverrideSpec)>,
}

impl Overrides {
    /// Creates the state without overrides.
    pub fn new(now: Moment, reading: &ClockReading, config: &OverrideConfig) -> Self {
        let limits = config.limits.clone();
        let manager = if config.has_store {
            OverrideManager::with_store(now, reading, limits)
        } else {
            OverrideManager::in_memory(now, reading, limits)
        };
        Overrides { manager, applied: Vec::new() }
    }

    /// Passes the overrides in force to the policy if they, or the ids of their replicas, have changed. An override
    /// whose replica has no id is omitted until the replica has one.
    pub fn apply_to_policy(&mut self, now: Moment, names: &ReplicaNames, policy: &mut Policy) {
        self.manager.take_changed();
        let spec = |entry: &Override| {
            let replica = names.id(entry.kind.replica())?;
            let spec = match entry.kind {
                OverrideKind::Weight { factor, .. } => OverrideSpec::Weight { replica, factor },
                OverrideKind::Out { .. } => OverrideSpec::OutOfService { replica },
                OverrideKind::Pin { first, last, .. } => OverrideSpec::Pin { first, last, replica },
            };
            Some((entry.number, spec))
        };
        let specs: Vec<_> = self.manager.registry().active().filter_map(spec).collect();
        if specs != self.applied {
            policy.set_overrides(now, &specs);
            self.applied = specs;
        }
    }

    /// An override as the management API lists it.
    pub fn listed_override(&self, policy: &Policy, entry: &Override) -> ListedOverride {
        let status =
            entry.is_active().then(|| policy.override_status(entry.number).unwrap_or(OverrideStatus::Absent));
        ListedOverride { entry: entry.clone(), status }
    }

    /// The time at which the overrides next change without a request, for instance when one expires.
    pub fn due_at(&self) -> Option<Moment> {
        self.manager.next_tick_at()
    }
}
