//! The result: for every replica the controllers that steer it.

use crate::membership::Membership;
use crate::planner::{Parameters, Planner, Replica};
use std::collections::{BTreeMap, BTreeSet};

/// A controller's place among the controllers of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// How many controllers steer the replica.
    pub controllers: u32,
    /// This one's rank among them in rendezvous order, from 0 on.
    pub position: u32,
}

/// For every replica the controllers that steer it, in rendezvous order.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    membership: Membership,
    by_replica: BTreeMap<String, Vec<u32>>,
    size_bound: usize,
}

impl Assignment {
    /// The whole computation at once; [`Planner`] does it repeatedly at a lower cost.
    pub fn compute(membership: &Membership, replicas: &[Replica], parameters: &Parameters) -> Assignment {
        Planner::new(membership.clone(), *parameters).assign(replicas)
    }

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
        let holds = |controllers: &Vec<u32>| controllers.contains(&(index as u32));
        let held = self.by_replica.iter().filter(|(_, controllers)| holds(controllers));
        held.map(|(replica, _)| replica.as_str()).collect()
    }

    /// A controller's place at a replica; none where it does not steer it.
    pub fn position(&self, replica: &str, controller: &str) -> Option<Position> {
        let index = self.membership.index(controller)? as u32;
        let controllers = self.controllers_of(replica);
        let position = controllers.iter().position(|one| *one == index)?;
        Some(Position { controllers: controllers.len() as u32, position: position as u32 })
    }

    /// All replicas with their controllers.
    pub fn replicas(&self) -> impl Iterator<Item = (&str, &[u32])> {
        self.by_replica.iter().map(|(replica, controllers)| (replica.as_str(), controllers.as_slice()))
    }

    /// The number of pairs of a replica and a controller that steers it.
    pub fn pairs(&self) -> usize {
        self.by_replica.values().map(Vec::len).sum()
    }

    /// No subset is larger (see [`crate::STRICT_BOUND_FROM`]).
    pub fn size_bound(&self) -> usize {
        self.size_bound
    }

    /// How many pairs of a replica and a controller are in this assignment and not in the other.
    pub fn pairs_beyond(&self, other: &Assignment) -> usize {
        let beyond = |(replica, controllers): (&str, &[u32])| {
            let theirs: BTreeSet<_> = other.names_of(replica).collect();
            controllers.iter().filter(|controller| !theirs.contains(&self.name(**controller))).count()
        };
        self.replicas().map(beyond).sum()
    }

    fn names_of(&self, replica: &str) -> impl Iterator<Item = Option<&str>> {
        self.controllers_of(replica).iter().map(|controller| self.name(*controller))
    }

    fn name(&self, controller: u32) -> Option<&str> {
        self.membership.name(controller as usize)
    }
}
