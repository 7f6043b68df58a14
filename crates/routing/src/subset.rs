//! Computes the subset of replicas that this controller steers when subsetting is enabled. The only inputs are the
//! fleet's names and the registry, so that controllers with the same inputs compute the same subsets.

use std::hash::{DefaultHasher, Hash, Hasher};
use whinwall_management_api::messages::SubsettingStatus;
use whinwall_operator_config::{SubsettingConfig, UnknownMember};
use whinwall_policy::api::SubsetMembership;
use whinwall_policy::time::{Moment, Span};
use whinwall_subsetting::{Assignment, Membership, MembershipError, Parameters, Planner, Position, Replica};

/// The minimum time between two computations. Each takes about 10 ms at 650 controllers and 2,200 replicas. Changes
/// of the registry in between are batched, so that a zone whose replicas return one at a time costs 1% of a core.
const MIN_COMPUTE_INTERVAL: Span = Span::ms(1000);

/// Subsets are computed at once if more than 1 / `IMMEDIATE_COMPUTE_DIVISOR` of the listed replicas are unassigned.
const IMMEDIATE_COMPUTE_DIVISOR: usize = 16;

/// The fleet in the operators' file, and the name of this controller in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    own_name: String,
    membership: Membership,
    parameters: Parameters,
    aggregators: usize,
    bytes_per_second: u64,
}

/// The reason why a configuration is invalid for this controller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FleetError {
    /// The controller's own name is not in the configuration.
    #[error(transparent)]
    Unknown(#[from] UnknownMember),
    /// The names do not form a valid fleet.
    #[error("<subsetting>: {0}")]
    Membership(#[from] MembershipError),
}

impl Fleet {
    /// The fleet of this configuration.
    ///
    /// # Errors
    ///
    /// Fails if the controller's own name is not in the configuration, or the names do not form a valid fleet.
    pub fn new(config: &SubsettingConfig, own_name: &str) -> Result<Self, FleetError> {
        config.controller(own_name)?;
        Ok(Fleet {
            own_name: own_name.to_string(),
            membership: config.membership()?,
            parameters: config.parameters(),
            aggregators: config.aggregators.len(),
            bytes_per_second: config.bytes_per_second,
        })
    }

    /// The inputs that must be equal in all controllers for them to compute the same subsets.
    fn shared_inputs(&self) -> (&Membership, Parameters) {
        (&self.membership, self.parameters)
    }
}

/// The latest assignment of replicas to controllers, and the inputs of the next one.
#[derive(Debug)]
pub(crate) struct Subsets {
    fleet: Fleet,
    planner: Planner,
    assignment: Assignment,
    /// The fingerprint of the registry that the assignment was computed from; `None` if it must be recomputed even if
    /// the registry has not changed.
    fingerprint: Option<u64>,
    computed_at: Option<Moment>,
    own_replicas: usize,
    listed_replicas: usize,
}

impl Subsets {
    /// Starts with an empty assignment.
    pub fn new(fleet: Fleet) -> Self {
        let mut planner = Planner::new(fleet.membership.clone(), fleet.parameters);
        let assignment = planner.assign(&[]);
        Subsets {
            fleet,
            planner,
            assignment,
            fingerprint: None,
            computed_at: None,
            own_replicas: 0,
            listed_replicas: 0,
        }
    }

    /// Applies a new configuration; the assignment stays until the next computation. Returns true if the members or
    /// the size of the subsets changed.
    pub fn reconfigure(&mut self, fleet: Fleet) -> bool {
        let changed = self.fleet.shared_inputs() != fleet.shared_inputs();
        if changed {
            self.planner = Planner::new(fleet.membership.clone(), fleet.parameters);
            self.fingerprint = None;
        }
        self.fleet = fleet;
        changed
    }

    /// The time at which to compute subsets after a change of the registry that lists these replicas: at once if many
    /// are unassigned, as after a start, otherwise [`MIN_COMPUTE_INTERVAL`] after the last computation, together with
    /// the changes until then.
    pub fn compute_at<'a>(&self, now: Moment, listed: impl Iterator<Item = &'a str>) -> Moment {
        let unassigned = listed.filter(|replica| self.assignment.controllers_of(replica).is_empty()).count();
        let is_immediate = unassigned * IMMEDIATE_COMPUTE_DIVISOR > self.listed_replicas;
        self.computed_at.filter(|_| !is_immediate).map_or(now, |at| now.max(at + MIN_COMPUTE_INTERVAL))
    }

    /// Computes the assignment if the registry or the fleet changed. Returns true if it was computed.
    pub fn compute(&mut self, now: Moment, registry: &[Replica]) -> bool {
        let fingerprint = Some(fingerprint(registry));
        if self.fingerprint == fingerprint {
            return false;
        }
        self.assignment = self.planner.assign(registry);
        self.own_replicas = self.assignment.subset_of(&self.fleet.own_name).len();
        (self.fingerprint, self.computed_at, self.listed_replicas) = (fingerprint, Some(now), registry.len());
        true
    }

    /// The controllers that steer a replica. A replica that is not assigned yet is treated as steered by other
    /// controllers.
    pub fn membership(&self, replica: &str) -> SubsetMembership {
        match self.assignment.position(replica, &self.fleet.own_name) {
            Some(Position { controllers, position }) => SubsetMembership::Subset { controllers, position },
            None => SubsetMembership::OtherControllers,
        }
    }

    /// The status for the management API.
    pub fn status(&self) -> SubsettingStatus {
        SubsettingStatus {
            controllers: self.fleet.membership.len(),
            aggregators: self.fleet.aggregators,
            subset_size: self.fleet.parameters.subset_size,
            own_replicas: self.own_replicas,
            listed_replicas: self.listed_replicas,
            report_budget_bytes_per_second: self.fleet.bytes_per_second,
        }
    }
}

/// A hash of the registry; registries with the same fingerprint are treated as equal.
fn fingerprint(registry: &[Replica]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for Replica { id, zone, group, weight } in registry {
        (id, zone, group, weight.to_bits()).hash(&mut hasher);
    }
    hasher.finish()
}
