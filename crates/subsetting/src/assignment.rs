//! The result of subsetting: for every replica the controllers that steer it.

use crate::membership::Membership;
use std::collections::{BTreeMap, BTreeSet};

/// From this many controllers on [`Assignment::size_bound`] holds without exception. With fewer, a replica that finds
/// all controllers but one full is given a second one beyond the bound.
pub const STRICT_BOUND_MIN_CONTROLLERS: usize = 9;

/// A controller's position among the controllers of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// How many controllers steer the replica.
    pub controllers: u32,
    /// Its rank among them in rendezvous order, from 0.
    pub position: u32,
}

/// For every replica the controllers that steer it, in rendezvous order.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    membership: Membership,
    /// Positions in the membership, in rendezvous order.
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

    /// The controllers that it was computed for.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Positions in the membership of the controllers that steer a replica; empty for an unknown replica.
    pub fn controllers_of(&self, replica: &str) -> &[u32] {
        self.by_replica.get(replica).map_or(&[], Vec::as_slice)
    }

    /// The replicas that a controller steers; empty for an unknown controller.
    pub fn subset_of(&self, controller: &str) -> BTreeSet<&str> {
        let Some(index) = self.membership.index(controller) else { return BTreeSet::new() };
        let index = index as u32;
        let steered = self.by_replica.iter().filter(|(_, controllers)| controllers.contains(&index));
        steered.map(|(replica, _)| replica.as_str()).collect()
    }

    /// A controller's position at a replica; none where it does not steer it.
    pub fn position(&self, replica: &str, controller: &str) -> Option<Position> {
        let index = self.membership.index(controller)? as u32;
        let controllers = self.controllers_of(replica);
        let position = controllers.iter().position(|other| *other == index)?;
        Some(Position { controllers: controllers.len() as u32, position: position as u32 })
    }

    /// All replicas with their controllers.
    pub fn replicas(&self) -> impl Iterator<Item = (&str, &[u32])> {
        self.by_replica.iter().map(|(replica, controllers)| (replica.as_str(), controllers.as_slice()))
    }

    /// The number of pairs of a replica and a controller that steers it.
    pub fn pair_count(&self) -> usize {
        self.by_replica.values().map(Vec::len).sum()
    }

    /// No subset is larger (see [`STRICT_BOUND_MIN_CONTROLLERS`]).
    pub fn size_bound(&self) -> usize {
        self.size_bound
    }

    /// The number of pairs of a replica and a controller that are in this assignment and not in a former one.
    pub fn added_pair_count(&self, former: &Assignment) -> usize {
        let added = |(replica, controllers): (&str, &[u32])| {
            let former_names: BTreeSet<_> = former.names_of(replica).collect();
            controllers.iter().filter(|controller| !former_names.contains(&self.name(**controller))).count()
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
