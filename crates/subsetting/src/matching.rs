//! Stable matching of the replicas of one zone with controllers of bounded capacity (deferred acceptance of Gale and
//! Shapley). Both sides rank by the same score, so there is one stable result, whatever the order of the proposals.

use crate::preferences::{Candidate, PreferenceList};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A replica that proposes to controllers in the order of its preferences.
pub(crate) struct Proposer<'a> {
    id: &'a str,
    preferences: &'a mut PreferenceList,
    next_position: usize,
    missing_controllers: usize,
}

impl<'a> Proposer<'a> {
    /// A replica that is to have so many controllers.
    pub fn new(id: &'a str, preferences: &'a mut PreferenceList, demand: usize) -> Self {
        Proposer { id, preferences, next_position: 0, missing_controllers: demand }
    }

    fn next_candidate(&mut self, seeds: &[u64]) -> Option<Candidate> {
        let candidate = self.preferences.candidate(self.next_position, self.id, seeds)?;
        self.next_position += 1;
        Some(candidate)
    }
}

/// Score and index of a replica; the one with the lowest score is at the top of a heap.
type Proposal = Reverse<(u64, usize)>;

/// What one controller has accepted so far.
struct Acceptor {
    capacity: usize,
    accepted: BinaryHeap<Proposal>,
}

/// A controller's answer to a proposal.
enum Answer {
    Accepted,
    /// Accepted in place of the replica of this index.
    Displaced(usize),
    Rejected,
}

impl Acceptor {
    fn consider(&mut self, proposal: Proposal) -> Answer {
        if self.accepted.len() < self.capacity {
            self.accepted.push(proposal);
            return Answer::Accepted;
        }
        match self.accepted.peek_mut() {
            Some(mut lowest) if proposal < *lowest => {
                let Reverse((_, displaced)) = std::mem::replace(&mut *lowest, proposal);
                Answer::Displaced(displaced)
            }
            _ => Answer::Rejected,
        }
    }
}

/// The controllers of each replica, in no order. A replica gets fewer than it is to have only where every other
/// controller is full.
pub(crate) fn match_replicas(
    mut proposers: Vec<Proposer>,
    capacities: &[usize],
    seeds: &[u64],
) -> Vec<Vec<Candidate>> {
    let acceptor = |capacity: &usize| Acceptor { capacity: *capacity, accepted: BinaryHeap::new() };
    let mut acceptors: Vec<Acceptor> = capacities.iter().map(acceptor).collect();
    let mut waiting: Vec<usize> = (0..proposers.len()).collect();
    while let Some(index) = waiting.pop() {
        while proposers[index].missing_controllers > 0 {
            let Some(candidate) = proposers[index].next_candidate(seeds) else { break };
            let proposal = Reverse((candidate.score, index));
            match acceptors[candidate.controller as usize].consider(proposal) {
                Answer::Rejected => {}
                Answer::Accepted => proposers[index].missing_controllers -= 1,
                Answer::Displaced(displaced) => {
                    proposers[index].missing_controllers -= 1;
                    proposers[displaced].missing_controllers += 1;
                    waiting.push(displaced);
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
