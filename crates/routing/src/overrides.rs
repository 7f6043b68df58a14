//! Operators' overrides, between their registry, which knows replicas by name, and the policy, which knows ids.

use super::replica_names::ReplicaNames;
use whinwall_management_api::messages::ListedOverride;
use whinwall_overrides::{
    ClockReading, ConfiguredOverride, Override, OverrideKind, OverrideLimits, OverrideManager,
};
use whinwall_policy::api::{OverrideNumber, OverrideSpec, OverrideStatus};
use whinwall_policy::time::Moment;
use whinwall_policy::Policy;

/// The overrides part of the operators' file.
#[derive(Clone, Debug)]
pub struct OverrideConfig {
    /// The bounds on overrides.
    pub limits: OverrideLimits,
    /// The overrides that the file has itself.
    pub configured: Vec<ConfiguredOverride>,
    /// Whether overrides are stored on disk; those in the store arrive later.
    pub has_store: bool,
}

/// The overrides in force, and what the policy knows of them.
pub(crate) struct Overrides {
    /// Decides on requests for overrides, and when they end.
    pub manager: OverrideManager,
    /// What the policy was given last.
    applied: Vec<(OverrideNumber, OverrideSpec)>,
}

impl Overrides {
    /// No overrides yet.
    pub fn start(now: Moment, reading: &ClockReading, config: &OverrideConfig) -> Self {
        let limits = config.limits.clone();
        let manager = if config.has_store {
            OverrideManager::with_store(now, reading, limits)
        } else {
            OverrideManager::in_memory(now, reading, limits)
        };
        Overrides { manager, applied: Vec::new() }
    }

    /// Gives the policy the overrides in force, where they, or the id of a replica, have changed. A replica without
    /// an id is none yet.
    pub fn apply_to_policy(&mut self, now: Moment, names: &ReplicaNames, policy: &mut Policy) {
        self.manager.take_changed();
        let spec = |one: &Override| {
            let replica = names.id(one.kind.replica())?;
            let spec = match one.kind {
                OverrideKind::Weight { factor, .. } => OverrideSpec::Weight { replica, factor },
                OverrideKind::Out { .. } => OverrideSpec::OutOfService { replica },
                OverrideKind::Pin { first, last, .. } => OverrideSpec::Pin { first, last, replica },
            };
            Some((one.number, spec))
        };
        let specs: Vec<_> = self.manager.registry().active().filter_map(spec).collect();
        if specs != self.applied {
            policy.set_overrides(now, &specs);
            self.applied = specs;
        }
    }

    /// An override as the management API shows it.
    pub fn shown(&self, policy: &Policy, one: &Override) -> ListedOverride {
        let status =
            one.is_active().then(|| policy.override_status(one.number).unwrap_or(OverrideStatus::Absent));
        ListedOverride { entry: one.clone(), status }
    }

    /// When the overrides change by the passing of time, no sooner than at the last call.
    pub fn due_at(&self) -> Option<Moment> {
        self.manager.next_tick_at()
    }
}
