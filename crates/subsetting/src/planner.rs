//! Computes assignments, and keeps each replica's order of controllers from one computation to the next.

use crate::assignment::Assignment;
use crate::hashing::{lot, score, seed};
use crate::matching;
use crate::membership::Membership;
use crate::strata::{canonical, demands, strata, Stratum};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Each replica has so many controllers where the fleet has them: one that fails leaves no replica without.
pub const FEWEST_CONTROLLERS: usize = 2;
/// From so many controllers on [`Assignment::size_bound`] holds without exception; with fewer, a replica that finds
/// all controllers but one full is given a second one beyond the bound.
pub const STRICT_BOUND_FROM: usize = 9;
/// The part of a replica's order that is kept, beyond twice the controllers that it is to have.
const SPARE_CANDIDATES: usize = 16;

/// What subsets need to know of a replica (from the registry).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replica<'a> {
    /// Unique in the registry.
    pub id: &'a str,
    /// Subsets are spread over zones.
    pub zone: &'a str,
    /// A kind, cell or service; subsets have replicas of each group that is large enough for all controllers.
    pub group: &'a str,
    /// The listed size; a replica of twice the size has twice the controllers.
    pub weight: f64,
}

/// Why parameters can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParametersError {
    /// A controller would steer nothing.
    #[error("a subset of 0 replicas steers nothing")]
    EmptySubset,
}

/// Validated parameters of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parameters {
    /// Wished replicas a controller.
    pub subset_size: usize,
}

impl Parameters {
    /// Checks the parameters.
    pub fn new(subset_size: usize) -> Result<Self, ParametersError> {
        if subset_size == 0 {
            return Err(ParametersError::EmptySubset);
        }
        Ok(Parameters { subset_size })
    }
}

/// A controller with its score at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub score: u64,
    pub controller: u32,
}

impl Candidate {
    /// Sorts the highest score first.
    fn rank(&self) -> (Reverse<u64>, u32) {
        (Reverse(self.score), self.controller)
    }
}

/// The head of a replica's rendezvous order; it grows to the whole order where that is asked for.
#[derive(Debug)]
pub(crate) struct Order {
    head: Vec<Candidate>,
}

impl Order {
    fn new(replica: &str, seeds: &[u64], length: usize) -> Self {
        let scored = seeds.iter().enumerate();
        let candidate = |(controller, seed): (usize, &u64)| Candidate {
            score: score(replica, *seed),
            controller: controller as u32,
        };
        let mut head: Vec<_> = scored.map(candidate).collect();
        if length < head.len() {
            head.select_nth_unstable_by_key(length, Candidate::rank);
            head.truncate(length);
            head.shrink_to_fit();
        }
        head.sort_unstable_by_key(Candidate::rank);
        Order { head }
    }

    /// The candidate at a position; none beyond the last controller.
    pub fn candidate(&mut self, position: usize, replica: &str, seeds: &[u64]) -> Option<Candidate> {
        if position >= self.head.len() && self.head.len() < seeds.len() {
            *self = Order::new(replica, seeds, seeds.len());
        }
        self.head.get(position).copied()
    }
}

/// Computes assignments for one fleet. A change of the registry costs the new replicas' hashes and a matching; a
/// change of the fleet needs a new planner.
#[derive(Debug)]
pub struct Planner {
    membership: Membership,
    parameters: Parameters,
    seeds: Vec<u64>,
    lots: Vec<f64>,
    /// Of the replicas that the latest assignment was computed for.
    orders: BTreeMap<String, Order>,
}

impl Planner {
    /// Nothing is hashed yet but the controllers' names.
    pub fn new(membership: Membership, parameters: Parameters) -> Self {
        let seeds = membership.names().map(seed).collect();
        let lots = membership.names().map(lot).collect();
        Planner { membership, parameters, seeds, lots, orders: BTreeMap::new() }
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
        let replicas = canonical(replicas);
        let controllers = self.membership.len();
        let demands = demands(&replicas, controllers, &self.parameters);
        self.renew_orders(&replicas, &demands);
        let zones = strata(&replicas, &demands, controllers, |replica| replica.zone);
        let groups = strata(&replicas, &demands, controllers, |replica| replica.group);
        let mut draft = self.matched(&replicas, &demands, &zones);
        draft.fill(&zones, Stratum::zone_floor);
        draft.fill(&groups, Stratum::group_floor);
        draft.complete();
        let size_bound = zones.iter().map(Stratum::largest_capacity).sum();
        let by_replica = replicas.iter().zip(draft.controllers);
        let by_replica = by_replica.map(|(replica, mut controllers)| {
            controllers.sort_unstable_by_key(Candidate::rank);
            (replica.id.to_string(), controllers.iter().map(|candidate| candidate.controller).collect())
        });
        Assignment::new(self.membership.clone(), by_replica.collect(), size_bound)
    }

    /// Orders for all these replicas, and for no others.
    fn renew_orders(&mut self, replicas: &[Replica], demands: &[usize]) {
        let mut former = std::mem::take(&mut self.orders);
        for (replica, demand) in replicas.iter().zip(demands) {
            let (id, order) = former.remove_entry(replica.id).unwrap_or_else(|| {
                let length = 2 * demand + SPARE_CANDIDATES;
                (replica.id.to_string(), Order::new(replica.id, &self.seeds, length))
            });
            self.orders.insert(id, order);
        }
    }

    /// Zone by zone.
    fn matched<'a>(&'a mut self, replicas: &'a [Replica], demands: &[usize], zones: &[Stratum]) -> Draft<'a> {
        let (seeds, lots) = (&self.seeds, &self.lots);
        let capacities: Vec<Vec<usize>> =
            zones.iter().map(|zone| lots.iter().map(|lot| zone.capacity(*lot)).collect()).collect();
        // Both are sorted by id.
        let mut orders: Vec<_> = self.orders.values_mut().map(Some).collect();
        let mut controllers = vec![Vec::new(); replicas.len()];
        let mut zone_of = vec![0; replicas.len()];
        for (zone, stratum) in zones.iter().enumerate() {
            let proposers = stratum
                .members
                .iter()
                .filter_map(|member| Some((replicas[*member].id, orders[*member].take()?, demands[*member])));
            let matched = matching::stable(proposers.collect(), &capacities[zone], seeds);
            for (member, held) in stratum.members.iter().zip(matched) {
                zone_of[*member] = zone;
                controllers[*member] = held;
            }
        }
        Draft { replicas, seeds, lots, capacities, zone_of, controllers }
    }
}

/// An assignment on its way.
struct Draft<'a> {
    replicas: &'a [Replica<'a>],
    seeds: &'a [u64],
    lots: &'a [f64],
    /// By zone and controller.
    capacities: Vec<Vec<usize>>,
    /// By replica.
    zone_of: Vec<usize>,
    /// By replica, unsorted.
    controllers: Vec<Vec<Candidate>>,
}

impl Draft<'_> {
    /// How many replicas of each zone each controller has.
    fn sizes(&self) -> Vec<Vec<usize>> {
        let mut sizes = vec![vec![0; self.seeds.len()]; self.capacities.len()];
        for (zone, controllers) in self.zone_of.iter().zip(&self.controllers) {
            controllers.iter().for_each(|candidate| sizes[*zone][candidate.controller as usize] += 1);
        }
        sizes
    }

    /// A controller below its floor of a stratum takes the replicas that rank highest at it, within its capacity.
    fn fill(&mut self, strata: &[Stratum], floor: fn(&Stratum, f64) -> usize) {
        let mut sizes = self.sizes();
        for stratum in strata {
            let mut held = vec![0; self.seeds.len()];
            for member in &stratum.members {
                self.controllers[*member]
                    .iter()
                    .for_each(|candidate| held[candidate.controller as usize] += 1);
            }
            for (controller, held) in held.into_iter().enumerate() {
                let floor = floor(stratum, self.lots[controller]);
                if held < floor {
                    self.take(controller, stratum, floor - held, &mut sizes);
                }
            }
        }
    }

    fn take(&mut self, controller: usize, stratum: &Stratum, mut wanted: usize, sizes: &mut [Vec<usize>]) {
        let ranked = |member: &usize| {
            let score = score(self.replicas[*member].id, self.seeds[controller]);
            (Candidate { score, controller: controller as u32 }, *member)
        };
        let mut ranked: Vec<_> = stratum.members.iter().map(ranked).collect();
        ranked.sort_unstable_by_key(|(candidate, member)| (candidate.rank(), *member));
        for (candidate, member) in ranked {
            let zone = self.zone_of[member];
            let full = sizes[zone][controller] >= self.capacities[zone][controller];
            if wanted == 0 {
                break;
            }
            if !full && !self.controllers[member].contains(&candidate) {
                self.controllers[member].push(candidate);
                sizes[zone][controller] += 1;
                wanted -= 1;
            }
        }
    }

    /// A replica with too few controllers, as all others are full, gets the first of its order all the same.
    fn complete(&mut self) {
        let fewest = self.seeds.len().min(FEWEST_CONTROLLERS);
        for (replica, controllers) in self.replicas.iter().zip(&mut self.controllers) {
            if controllers.len() < fewest {
                let order = Order::new(replica.id, self.seeds, self.seeds.len()).head;
                let missing = order.into_iter().filter(|candidate| !controllers.contains(candidate));
                let missing: Vec<_> = missing.take(fewest - controllers.len()).collect();
                controllers.extend(missing);
            }
        }
    }
}
