//! A replica's controllers in rendezvous order.

use crate::hashing::score;
use std::cmp::Reverse;

/// A controller with its score at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub score: u64,
    /// Position in the membership.
    pub controller: u32,
}

impl Candidate {
    /// Sorts the highest score first.
    pub fn sort_key(&self) -> (Reverse<u64>, u32) {
        (Reverse(self.score), self.controller)
    }
}

/// The head of a replica's rendezvous order. It grows to the whole order when a later position is asked for.
#[derive(Debug)]
pub(crate) struct PreferenceList {
    head: Vec<Candidate>,
}

impl PreferenceList {
    /// The first `length` controllers for a replica; `seeds` are those of all controllers.
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

    /// All controllers for a replica, the most preferred first.
    pub fn complete(replica: &str, seeds: &[u64]) -> Vec<Candidate> {
        PreferenceList::new(replica, seeds, seeds.len()).head
    }

    /// The candidate at a position; none beyond the last controller.
    pub fn candidate(&mut self, position: usize, replica: &str, seeds: &[u64]) -> Option<Candidate> {
        if position >= self.head.len() && self.head.len() < seeds.len() {
            *self = PreferenceList::new(replica, seeds, seeds.len());
        }
        self.head.get(position).copied()
    }
}
