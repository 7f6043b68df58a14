//! Stable matching of the replicas of one zone with controllers of limited capacity (Gale-Shapley deferred acceptance).
//! Both sides rank by the same score, so the stable matching is unique and does not depend on the order of proposals.

use crate::preferences::{Candidate, PreferenceList};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A replica that proposes to controllers in preference order.
pub(crate) struct Proposer<'a> {
    id: &'a str,
    preferences: &'a mut PreferenceList,
    next_position: usize,
    missing_controllers: usize,
}

impl<'a> Proposer<'a> {
    /// Creates a proposer that needs `demand` controllers.
    pub fn new(id: &'a str, preferences: &'a mut PreferenceList, demand: usize) -> Self {
        Proposer { id, preferences, next_position: 0, missing_controllers: demand }
    }

    fn next_candidate(&mut self, seeds: &[u64]) -> Option<Candidate> {
        let candidate = self.preferences.candidate(self.next_position, self.id, seeds)?;
        self.next_position += 1;
        Some(candidate)
    }
}

/// Score and index of a replica, reversed so that the lowest score is at the top of the heap.
type Proposal = Reverse<(u64, usize)>;

/// A controller and the proposals it has accepted so far.
struct Acceptor {
    capacity: usize,
    accepted: BinaryHeap<Proposal>,
}

/// The response of a controller to a proposal.
enum Response {
    Accepted,
    /// Accepted; replaces the replica with this index.
    Displaced(usize),
    Rejected,
}

impl Acceptor {
    fn consider(&mut self, proposal: Proposal) -> Response {
        if self.accepted.len() < self.capacity {
            self.accepted.push(proposal);
            return Response::Accepted;
        }
        match self.accepted.peek_mut() {
            Some(mut lowest) if proposal < *lowest => {
                let Reverse((_, displaced)) = std::mem::replace(&mut *lowest, proposal);
                Response::Displaced(displaced)
            }
            _ => Response::Rejected,
        }
    }
}

/// Returns the controllers of each replica, unsorted. A replica gets fewer than its demand only if all other
/// controllers are full.
pub(crate) fn match_replicas(
    mut proposers: Vec<Proposer>,
    capacities: &[usize],
    seeds: &[u64],
) -> Vec<Vec<Candidate>> {
    let acceptor = |capacity: &usize| Acceptor { capacity: *capacity, accepted: BinaryHeap::new() };
    let mut acceptors: Vec<Acceptor> = capacities.iter().map(acceptor).collect();
    let mut unmatched: Vec<usize> = (0..proposers.len()).collect();
    while let Some(index) = unmatched.pop() {
        while proposers[index].missing_controllers > 0 {
            let Some(candidate) = proposers[index].next_candidate(seeds) else { break };
            let proposal = Reverse((candidate.score, index));
            match acceptors[candidate.controller as usize].consider(proposal) {
                Response::Rejected => {}
                Response::Accepted => proposers[index].missing_controllers -= 1,
                Response::Displaced(displaced) => {
                    proposers[index].missing_controllers -= 1;
                    proposers[displaced].missing_controllers += 1;
                    unmatched.push(displaced);
                }
            }
        }
    }
    collect_matches(acceptors, proposers.len())
}

fn collect_matches(acceptors: Vec<Acceptor>, replicas: usize) -> Vec<Vec<Candidate>> {
    let mut matches = vec![Vec::new(); replicas];
    for (controller, acceptor) in acceptors.into_iter().enumerate() {
        for Reverse((score, index)) in acceptor.accepted {
            matches[index].push(Candidate { score, controller: controller as u32 });
        }
    }
    matches
}
