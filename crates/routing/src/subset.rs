//! Which replicas this controller steers, where each controller of the fleet steers a subset of them. It is computed from
//! the fleet's names and the registry alone, so that controllers with the same knowledge compute the same subsets.

use std::hash::{DefaultHasher, Hash, Hasher};
use whinwall_management_api::messages::SubsettingStatus;
use whinwall_operator_config::{SubsettingConfig, UnknownMember};
use whinwall_policy::api::SubsetMembership;
use whinwall_policy::time::{Moment, Span};
use whinwall_subsetting::{Assignment, Membership, MembershipError, Parameters, Planner, Position, Replica};

/// The time between two computations, each of some 10 ms at 650 controllers and 2,200 replicas. Changes of the registry
/// are taken together meanwhile: a zone that comes back one replica at a time costs 1% of a core.
const MIN_COMPUTE_INTERVAL: Span = Span::ms(1000);

/// Where more than one in so many of the known replicas are new at once, they do not wait.
const MANY_REPLICAS_DIVISOR: usize = 16;

/// The fleet that the operators' file names, as one of its controllers sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    own_name: String,
    membership: Membership,
    parameters: Parameters,
    aggregators: usize,
    bytes_per_second: u64,
}

/// Why a configuration cannot be that of this controller's fleet.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FleetError {
    /// The controller itself is not named.
    #[error(transparent)]
    Unknown(#[from] UnknownMember),
    /// The names are not a valid fleet.
    #[error("<subsetting>: {0}")]
    Membership(#[from] MembershipError),
}

impl Fleet {
    /// The fleet of this configuration.
    ///
    /// # Errors
    ///
    /// Fails where the controller's own name is not in it, or the names are not a valid fleet.
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

    /// What all controllers must agree on for computing the same.
    fn plan(&self) -> (&Membership, Parameters) {
        (&self.membership, self.parameters)
    }
}

/// The latest assignment of replicas to controllers, and what the next one needs.
#[derive(Debug)]
pub(crate) struct Subsets {
    fleet: Fleet,
    planner: Planner,
    assignment: Assignment,
    /// Of the registry that it was computed from; none where it has to be computed anew in any case.
    fingerprint: Option<u64>,
    computed_at: Option<Moment>,
    own_replicas: usize,
    listed_replicas: usize,
}

impl Subsets {
    /// Nothing is assigned before the first computation.
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

    /// Takes over a new configuration; the assignment stays until the next computation. True where the members or the
    /// size of subsets changed.
    pub fn reconfigure(&mut self, fleet: Fleet) -> bool {
        let changed = self.fleet.plan() != fleet.plan();
        if changed {
            self.planner = Planner::new(fleet.membership.clone(), fleet.parameters);
            self.fingerprint = None;
        }
        self.fleet = fleet;
        changed
    }

    /// When subsets are to be computed for a change of the registry that lists these replicas: at once where many are
    /// new, as at a start, or else together with the changes that follow.
    pub fn compute_at<'a>(&self, now: Moment, listed: impl Iterator<Item = &'a str>) -> Moment {
        let unassigned = listed.filter(|replica| self.assignment.controllers_of(replica).is_empty()).count();
        let are_many = unassigned * MANY_REPLICAS_DIVISOR > self.listed_replicas;
        self.computed_at.filter(|_| !are_many).map_or(now, |at| now.max(at + MIN_COMPUTE_INTERVAL))
    }

    /// Computes the assignment where the registry or the fleet changed. True where it did.
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

    /// Which controllers steer a replica. One that is not assigned yet is left to others until it is.
    pub fn membership(&self, replica: &str) -> SubsetMembership {
        match self.assignment.position(replica, &self.fleet.own_name) {
            Some(Position { controllers, position }) => SubsetMembership::Subset { controllers, position },
            None => SubsetMembership::OtherControllers,
        }
    }

    /// What the management API shows.
    pub fn status(&self) -> SubsettingStatus {
        SubsettingStatus {
            controllers: self.fleet.membership.len(),
            aggregators: self.fleet.aggregators,
            subset_size: self.fleet.parameters.subset_size,
            own_replicas: self.own_replicas,
            listed_replicas: self.listed_replicas,
            bytes_per_second: self.fleet.bytes_per_second,
        }
    }
}

/// Registries with the same fingerprint are taken for the same.
fn fingerprint(registry: &[Replica]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for Replica { id, zone, group, weight } in registry {
        (id, zone, group, weight.to_bits()).hash(&mut hasher);
    }
    hasher.finish()
}
