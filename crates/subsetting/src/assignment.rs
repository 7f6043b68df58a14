//! The result: for every replica the governors that steer it.

use crate::membership::Membership;
use crate::planner::{Parameters, Planner, Replica};
use std::collections::{BTreeMap, BTreeSet};

/// A governor's place among the governors of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// How many governors steer the replica.
    pub governors: u32,
    /// This one's rank among them in rendezvous order, from 0 on.
    pub position: u32,
}

/// For every replica the governors that steer it, in rendezvous order.
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

    /// The governors that it was computed for.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Positions in the membership of the governors that steer a replica; empty for an unknown replica.
    pub fn governors_of(&self, replica: &str) -> &[u32] {
        self.by_replica.get(replica).map_or(&[], Vec::as_slice)
    }

    /// The replicas that a governor steers; empty for an unknown governor.
    pub fn subset_of(&self, governor: &str) -> BTreeSet<&str> {
        let Some(index) = self.membership.index(governor) else { return BTreeSet::new() };
        let holds = |governors: &Vec<u32>| governors.contains(&(index as u32));
        let held = self.by_replica.iter().filter(|(_, governors)| holds(governors));
        held.map(|(replica, _)| replica.as_str()).collect()
    }

    /// A governor's place at a replica; none where it does not steer it.
    pub fn position(&self, replica: &str, governor: &str) -> Option<Position> {
        let index = self.membership.index(governor)? as u32;
        let governors = self.governors_of(replica);
        let position = governors.iter().position(|one| *one == index)?;
        Some(Position { governors: governors.len() as u32, position: position as u32 })
    }

    /// All replicas with their governors.
    pub fn replicas(&self) -> impl Iterator<Item = (&str, &[u32])> {
        self.by_replica.iter().map(|(replica, governors)| (replica.as_str(), governors.as_slice()))
    }

    /// The number of pairs of a replica and a governor that steers it.
    pub fn pairs(&self) -> usize {
        self.by_replica.values().map(Vec::len).sum()
    }

    /// No subset is larger (see [`crate::STRICT_BOUND_FROM`]).
    pub fn size_bound(&self) -> usize {
        self.size_bound
    }

    /// How many pairs of a replica and a governor are in this assignment and not in the other.
    pub fn pairs_beyond(&self, other: &Assignment) -> usize {
        let beyond = |(replica, governors): (&str, &[u32])| {
            let theirs: BTreeSet<_> = other.names_of(replica).collect();
            governors.iter().filter(|governor| !theirs.contains(&self.name(**governor))).count()
        };
        self.replicas().map(beyond).sum()
    }

    fn names_of(&self, replica: &str) -> impl Iterator<Item = Option<&str>> {
        self.governors_of(replica).iter().map(|governor| self.name(*governor))
    }

    fn name(&self, governor: u32) -> Option<&str> {
        self.membership.name(governor as usize)
    }
}
