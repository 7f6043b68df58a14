//! Computes assignments and caches the preference list of each replica between computations.

use crate::assignment::Assignment;
use crate::draft::Draft;
use crate::hashing::{seed, stable_fraction};
use crate::matching::{match_replicas, Proposer};
use crate::membership::Membership;
use crate::parameters::{Parameters, Replica};
use crate::preferences::{Candidate, PreferenceList};
use crate::strata::{canonicalize, demands, group_into_strata, Stratum};
use std::collections::BTreeMap;

/// Cached candidates per replica in addition to twice its demand.
const SPARE_CANDIDATES: usize = 16;

/// Computes assignments for one fleet. After a change of the registry only the hashes of new replicas and the matching
/// are computed. A change of the fleet requires a new planner.
#[derive(Debug)]
pub struct Planner {
    membership: Membership,
    parameters: Parameters,
    /// Hash seeds, indexed by controller.
    seeds: Vec<u64>,
    /// Stable fractions, indexed by controller.
    fractions: Vec<f64>,
    /// Preference lists of the replicas of the latest assignment, by replica id.
    preferences: BTreeMap<String, PreferenceList>,
}

impl Planner {
    /// Creates a planner without cached preference lists.
    pub fn new(membership: Membership, parameters: Parameters) -> Self {
        let seeds = membership.names().map(seed).collect();
        let fractions = membership.names().map(stable_fraction).collect();
        Planner { membership, parameters, seeds, fractions, preferences: BTreeMap::new() }
    }

    /// Returns the membership that assignments are computed for.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the parameters that assignments are computed with.
    pub fn parameters(&self) -> Parameters {
        self.parameters
    }

    /// Computes the assignment for these replicas. Duplicate ids are counted once.
    pub fn assign(&mut self, replicas: &[Replica]) -> Assignment {
        let replicas = canonicalize(replicas);
        let controllers = self.membership.len();
        let demands = demands(&replicas, controllers, &self.parameters);
        self.update_preferences(&replicas, &demands);
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

    /// Adds the preference lists of new replicas and removes those of replicas that are no longer listed.
    fn update_preferences(&mut self, replicas: &[Replica], demands: &[usize]) {
        let mut previous = std::mem::take(&mut self.preferences);
        for (replica, demand) in replicas.iter().zip(demands) {
            let (id, list) = previous.remove_entry(replica.id).unwrap_or_else(|| {
                let length = 2 * demand + SPARE_CANDIDATES;
                (replica.id.to_string(), PreferenceList::new(replica.id, &self.seeds, length))
            });
            self.preferences.insert(id, list);
        }
    }

    /// Matches the replicas of each zone with controllers.
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
        // The preference lists and the canonical replicas are both sorted by id. Each replica is in exactly one zone,
        // so each list is taken once.
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
    /// Computes a single assignment. For repeated computations, [`Planner`] is cheaper.
    pub fn compute(membership: &Membership, replicas: &[Replica], parameters: &Parameters) -> Assignment {
        Planner::new(membership.clone(), *parameters).assign(replicas)
    }
}
