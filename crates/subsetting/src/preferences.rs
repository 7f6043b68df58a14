//! The controllers in the rendezvous order of a replica.

use crate::hashing::score;
use std::cmp::Reverse;

/// A controller and its score at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub score: u64,
    /// Position in the membership.
    pub controller: u32,
}

impl Candidate {
    /// Returns a key that sorts the highest score first.
    pub fn sort_key(&self) -> (Reverse<u64>, u32) {
        (Reverse(self.score), self.controller)
    }
}

/// The first candidates of the rendezvous order of a replica. The complete order is computed when a position beyond
/// them is requested.
#[derive(Debug)]
pub(crate) struct PreferenceList {
    head: Vec<Candidate>,
}

impl PreferenceList {
    /// Computes the first `length` candidates for a replica. `seeds` are the seeds of all controllers.
    pub fn new(replica: &str, seeds: &[u64], length: usize) -> Self {
        let candidate = |(controller, seed): (usize, &u64)| Candidate {
            score: score(replica, *seed),
            controller: controller as u32,
        };
        let mut head: Vec<_> = seeds.iter().enumerate().map(candidate).collect();
        if length < head.len() {
            head.select_nth_unstable_by_key(length, Candidate::sort_key);
            head.truncate(length);
            head.shrink_to_fit();
        }
        head.sort_unstable_by_key(Candidate::sort_key);
        PreferenceList { head }
    }

    /// Returns all controllers for a replica, the most preferred first.
    pub fn complete(replica: &str, seeds: &[u64]) -> Vec<Candidate> {
        PreferenceList::new(replica, seeds, seeds.len()).head
    }

    /// Returns the candidate at a position, or `None` beyond the last controller.
    pub fn candidate(&mut self, position: usize, replica: &str, seeds: &[u64]) -> Option<Candidate> {
        if position >= self.head.len() && self.head.len() < seeds.len() {
            *self = PreferenceList::new(replica, seeds, seeds.len());
        }
        self.head.get(position).copied()
    }
}
