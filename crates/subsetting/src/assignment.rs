//! The result of subsetting: the controllers that steer each replica.

use crate::membership::Membership;
use std::collections::{BTreeMap, BTreeSet};

/// The minimum number of controllers for which [`Assignment::size_bound`] is strict. In a smaller fleet, a replica for
/// which all controllers but one are full is assigned to a second controller even if that exceeds the bound.
pub const STRICT_BOUND_MIN_CONTROLLERS: usize = 9;

/// The rank of a controller among the controllers of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The number of controllers that steer the replica.
    pub controllers: u32,
    /// The controller's rank among them in rendezvous order, starting at 0.
    pub position: u32,
}

/// The controllers of every replica, in rendezvous order.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    membership: Membership,
    /// Replica id to positions in the membership, in rendezvous order.
    by_replica: BTreeMap<String, Vec<u32>>,
    size_bound: usize,
}

impl Assignment {
    pub(crate) fn new(
        membership: Membership,
        by_replica: BTreeMap<String, Vec<u32>>,
        size_bound: usize,
    ) -> Self {
        Assignment { membership, by_replica, size_bound }
    }

    /// The membership that the assignment was computed for.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the membership positions of the controllers that steer a replica; empty for an unknown replica.
    pub fn controllers_of(&self, replica: &str) -> &[u32] {
        self.by_replica.get(replica).map_or(&[], Vec::as_slice)
    }

    /// Returns the replicas that a controller steers; empty for an unknown controller.
    pub fn subset_of(&self, controller: &str) -> BTreeSet<&str> {
        let Some(index) = self.membership.index(controller) else { return BTreeSet::new() };
        let index = index as u32;
        let steered = self.by_replica.iter().filter(|(_, controllers)| controllers.contains(&index));
        steered.map(|(replica, _)| replica.as_str()).collect()
    }

    /// Returns the controller's rank at a replica, or `None` if it does not steer the replica.
    pub fn position(&self, replica: &str, controller: &str) -> Option<Position> {
        let index = self.membership.index(controller)? as u32;
        let controllers = self.controllers_of(replica);
        let position = controllers.iter().position(|other| *other == index)?;
        Some(Position { controllers: controllers.len() as u32, position: position as u32 })
    }

    /// Iterates over all replicas and the membership positions of their controllers.
    pub fn replicas(&self) -> impl Iterator<Item = (&str, &[u32])> {
        self.by_replica.iter().map(|(replica, controllers)| (replica.as_str(), controllers.as_slice()))
    }

    /// Returns the number of (replica, controller) pairs in the assignment.
    pub fn pair_count(&self) -> usize {
        self.by_replica.values().map(Vec::len).sum()
    }

    /// Returns the upper bound of the subset size (see [`STRICT_BOUND_MIN_CONTROLLERS`] for the exception).
    pub fn size_bound(&self) -> usize {
        self.size_bound
    }

    /// Returns the number of (replica, controller) pairs that are in this assignment but not in the previous one.
    pub fn added_pair_count(&self, previous: &Assignment) -> usize {
        let added = |(replica, controllers): (&str, &[u32])| {
            let previous_names: BTreeSet<_> = previous.names_of(replica).collect();
            controllers.iter().filter(|controller| !previous_names.contains(&self.name(**controller))).count()
        };
        self.replicas().map(added).sum()
    }

    fn names_of(&self, replica: &str) -> impl Iterator<Item = Option<&str>> {
        self.controllers_of(replica).iter().map(|controller| self.name(*controller))
    }

    fn name(&self, controller: u32) -> Option<&str> {
        self.membership.name(controller as usize)
    }
}
