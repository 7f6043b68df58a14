//! An intermediate assignment. After the matching, controllers are added until all floors (minimum numbers of replicas
//! of a zone or group in a subset) are met or the controllers are full.

use crate::hashing::score;
use crate::parameters::{Replica, MIN_CONTROLLERS_PER_REPLICA};
use crate::preferences::{Candidate, PreferenceList};
use crate::strata::Stratum;

/// The number of replicas of each zone in each subset, indexed by zone and controller.
type SubsetSizes = Vec<Vec<usize>>;

/// The controllers assigned to each replica so far.
pub(crate) struct Draft<'a> {
    pub replicas: &'a [Replica<'a>],
    /// Hash seeds, indexed by controller.
    pub seeds: &'a [u64],
    /// Stable fractions, indexed by controller.
    pub fractions: &'a [f64],
    /// Maximum number of replicas, indexed by zone and controller.
    pub capacities: Vec<Vec<usize>>,
    /// Zone index, indexed by replica.
    pub zone_of: Vec<usize>,
    /// Unsorted candidates, indexed by replica.
    pub controllers: Vec<Vec<Candidate>>,
}

impl Draft<'_> {
    fn subset_sizes(&self) -> SubsetSizes {
        let mut sizes = vec![vec![0; self.seeds.len()]; self.capacities.len()];
        for (zone, controllers) in self.zone_of.iter().zip(&self.controllers) {
            for candidate in controllers {
                sizes[*zone][candidate.controller as usize] += 1;
            }
        }
        sizes
    }

    /// Raises each controller to its floor in each stratum. Adds the replicas with the highest scores for the
    /// controller, up to its capacity.
    pub fn fill_to_floors(&mut self, strata: &[Stratum], floor_of: fn(&Stratum, f64) -> usize) {
        let mut sizes = self.subset_sizes();
        for stratum in strata {
            for (controller, count) in self.count_members(stratum).into_iter().enumerate() {
                let floor = floor_of(stratum, self.fractions[controller]);
                if count < floor {
                    self.add_replicas(controller, stratum, floor - count, &mut sizes);
                }
            }
        }
    }

    /// Returns the number of replicas of a stratum that each controller has.
    fn count_members(&self, stratum: &Stratum) -> Vec<usize> {
        let mut counts = vec![0; self.seeds.len()];
        for candidate in stratum.members.iter().flat_map(|member| &self.controllers[*member]) {
            counts[candidate.controller as usize] += 1;
        }
        counts
    }

    fn add_replicas(
        &mut self,
        controller: usize,
        stratum: &Stratum,
        mut missing: usize,
        sizes: &mut SubsetSizes,
    ) {
        let scored = |member: &usize| {
            let score = score(self.replicas[*member].id, self.seeds[controller]);
            (Candidate { score, controller: controller as u32 }, *member)
        };
        let mut scored: Vec<_> = stratum.members.iter().map(scored).collect();
        scored.sort_unstable_by_key(|(candidate, member)| (candidate.sort_key(), *member));
        for (candidate, member) in scored {
            if missing == 0 {
                break;
            }
            let zone = self.zone_of[member];
            let is_full = sizes[zone][controller] >= self.capacities[zone][controller];
            if !is_full && !self.controllers[member].contains(&candidate) {
                self.controllers[member].push(candidate);
                sizes[zone][controller] += 1;
                missing -= 1;
            }
        }
    }

    /// Adds controllers to replicas that have fewer than the minimum because the other controllers are full. The most
    /// preferred controllers are added even if that exceeds their capacity.
    pub fn add_missing_controllers(&mut self) {
        let min_controllers = self.seeds.len().min(MIN_CONTROLLERS_PER_REPLICA);
        for (replica, controllers) in self.replicas.iter().zip(&mut self.controllers) {
            if controllers.len() < min_controllers {
                let preferred = PreferenceList::complete(replica.id, self.seeds).into_iter();
                let missing: Vec<_> = preferred
                    .filter(|candidate| !controllers.contains(candidate))
                    .take(min_controllers - controllers.len())
                    .collect();
                controllers.extend(missing);
            }
        }
    }
}
