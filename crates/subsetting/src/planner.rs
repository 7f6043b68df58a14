//! Computes assignments, and keeps each replica's preference list from one computation to the next.

use crate::assignment::Assignment;
use crate::draft::Draft;
use crate::hashing::{seed, stable_fraction};
use crate::matching::{match_replicas, Proposer};
use crate::membership::Membership;
use crate::parameters::{Parameters, Replica};
use crate::preferences::{Candidate, PreferenceList};
use crate::strata::{canonicalize, demands, group_into_strata, Stratum};
use std::collections::BTreeMap;

/// How much of a replica's order is kept, beyond twice the controllers that it is to have.
const SPARE_CANDIDATES: usize = 16;

/// Computes assignments for one fleet. A change of the registry costs the new replicas' hashes and a matching; a
/// change of the fleet needs a new planner.
#[derive(Debug)]
pub struct Planner {
    membership: Membership,
    parameters: Parameters,
    /// By controller.
    seeds: Vec<u64>,
    /// By controller.
    fractions: Vec<f64>,
    /// Of the replicas of the latest assignment, by id.
    preferences: BTreeMap<String, PreferenceList>,
}

impl Planner {
    /// A planner that has hashed nothing but the controllers' names.
    pub fn new(membership: Membership, parameters: Parameters) -> Self {
        let seeds = membership.names().map(seed).collect();
        let fractions = membership.names().map(stable_fraction).collect();
        Planner { membership, parameters, seeds, fractions, preferences: BTreeMap::new() }
    }

    /// The controllers that it computes for.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The parameters that it computes with.
    pub fn parameters(&self) -> Parameters {
        self.parameters
    }

    /// The assignment for these replicas. Of replicas with the same id one counts.
    pub fn assign(&mut self, replicas: &[Replica]) -> Assignment {
        let replicas = canonicalize(replicas);
        let controllers = self.membership.len();
        let demands = demands(&replicas, controllers, &self.parameters);
        self.renew_preferences(&replicas, &demands);
        let zones = group_into_strata(&replicas, &demands, controllers, |replica| replica.zone);
        let groups = group_into_strata(&replicas, &demands, controllers, |replica| replica.group);
        let mut draft = self.match_zones(&replicas, &demands, &zones);
        draft.fill_to_floors(&zones, Stratum::zone_floor);
        draft.fill_to_floors(&groups, Stratum::group_floor);
        draft.add_missing_controllers();
        let by_replica = replicas.iter().zip(draft.controllers).map(|(replica, mut controllers)| {
            controllers.sort_unstable_by_key(Candidate::sort_key);
            (replica.id.to_string(), controllers.iter().map(|candidate| candidate.controller).collect())
        });
        let size_bound = zones.iter().map(Stratum::largest_capacity).sum();
        Assignment::new(self.membership.clone(), by_replica.collect(), size_bound)
    }

    /// Has preference lists for all these replicas, and for no others.
    fn renew_preferences(&mut self, replicas: &[Replica], demands: &[usize]) {
        let mut former = std::mem::take(&mut self.preferences);
        for (replica, demand) in replicas.iter().zip(demands) {
            let (id, list) = former.remove_entry(replica.id).unwrap_or_else(|| {
                let length = 2 * demand + SPARE_CANDIDATES;
                (replica.id.to_string(), PreferenceList::new(replica.id, &self.seeds, length))
            });
            self.preferences.insert(id, list);
        }
    }

    /// Matches the replicas of each zone with the controllers.
    fn match_zones<'a>(
        &'a mut self,
        replicas: &'a [Replica],
        demands: &[usize],
        zones: &[Stratum],
    ) -> Draft<'a> {
        let (seeds, fractions) = (&self.seeds, &self.fractions);
        let capacities: Vec<Vec<usize>> = zones
            .iter()
            .map(|zone| fractions.iter().map(|fraction| zone.capacity(*fraction)).collect())
            .collect();
        // The lists and the canonical replicas are both sorted by id. Each replica is in one zone, so that each list
        // is taken once.
        let mut lists: Vec<_> = self.preferences.values_mut().map(Some).collect();
        let mut controllers = vec![Vec::new(); replicas.len()];
        let mut zone_of = vec![0; replicas.len()];
        for (zone, stratum) in zones.iter().enumerate() {
            let proposers = stratum.members.iter().filter_map(|member| {
                Some(Proposer::new(replicas[*member].id, lists[*member].take()?, demands[*member]))
            });
            let matched = match_replicas(proposers.collect(), &capacities[zone], seeds);
            for (member, candidates) in stratum.members.iter().zip(matched) {
                zone_of[*member] = zone;
                controllers[*member] = candidates;
            }
        }
        Draft { replicas, seeds, fractions, capacities, zone_of, controllers }
    }
}

impl Assignment {
    /// Computes an assignment once; a [`Planner`] does it repeatedly at a lower cost.
    pub fn compute(membership: &Membership, replicas: &[Replica], parameters: &Parameters) -> Assignment {
        Planner::new(membership.clone(), *parameters).assign(replicas)
    }
}
