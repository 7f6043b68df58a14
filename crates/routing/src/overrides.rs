//! Operators' overrides, between their registry, which knows replicas by name, and the policy, which knows ids.

use super::replica_names::ReplicaNames;
use whinwall_management_api::ask::Shown;
use whinwall_overrides::book::FileOrder;
use whinwall_overrides::{Bounds, Clerk, Kind, Override, Reading};
use whinwall_policy::api::{OverrideId, OverrideSpec, OverrideStatus};
use whinwall_policy::time::Moment;
use whinwall_policy::Policy;

/// The overrides part of the operators' file.
#[derive(Clone, Debug)]
pub struct OverrideConfig {
    /// The bounds on overrides.
    pub bounds: Bounds,
    /// The overrides that the file has itself.
    pub orders: Vec<FileOrder>,
    /// Whether overrides are stored on disk; those in the store arrive later.
    pub has_store: bool,
}

/// The overrides in force, and what the policy knows of them.
pub(crate) struct Overrides {
    /// Decides on requests for overrides.
    pub clerk: Clerk,
    /// What the policy was given last.
    applied: Vec<(OverrideId, OverrideSpec)>,
}

impl Overrides {
    /// No overrides yet.
    pub fn start(now: Moment, reading: &Reading, config: &OverrideConfig) -> Self {
        let clerk = Clerk::start(now, reading, config.bounds.clone(), config.has_store);
        Overrides { clerk, applied: Vec::new() }
    }

    /// Gives the policy the overrides in force, where they, or the id of a replica, have changed. A replica without
    /// an id is none yet.
    pub fn apply_to_policy(&mut self, now: Moment, names: &ReplicaNames, policy: &mut Policy) {
        self.clerk.has_changed();
        let spec = |one: &Override| {
            let replica = names.id(one.kind.replica())?;
            let spec = match one.kind {
                Kind::Weight { factor, .. } => OverrideSpec::Weight { replica, factor },
                Kind::Out { .. } => OverrideSpec::Out { replica },
                Kind::Pin { first, last, .. } => OverrideSpec::Pin { first, last, replica },
            };
            Some((one.number, spec))
        };
        let specs: Vec<_> = self.clerk.book().standing().filter_map(spec).collect();
        if specs != self.applied {
            policy.set_overrides(now, &specs);
            self.applied = specs;
        }
    }

    /// An override as the management API shows it.
    pub fn shown(&self, policy: &Policy, one: &Override) -> Shown {
        let heeded =
            one.stands().then(|| policy.override_status(one.number).unwrap_or(OverrideStatus::Absent));
        Shown { one: one.clone(), heeded }
    }

    /// When the overrides change by the passing of time, no sooner than the last call's answer.
    pub fn due_at(&self) -> Option<Moment> {
        self.clerk.next()
    }
}
