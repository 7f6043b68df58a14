//! Stable matching of the replicas of one zone with controllers of bounded capacity (deferred acceptance of Gale and
//! Shapley). Both sides rank by the same score, so there is one stable result, whatever the order of the proposals.

use crate::planner::{Candidate, Order};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One replica that proposes to controllers in its order.
struct Proposer<'a> {
    order: &'a mut Order,
    id: &'a str,
    next: usize,
    open: usize,
}

/// What a controller holds; the replica with the lowest score is displaced first.
type Held = BinaryHeap<Reverse<(u64, usize)>>;

/// The controllers of each replica, given as its id, its order and how many controllers it is to have. A replica gets
/// fewer only where every other controller is full.
pub(crate) fn stable(
    replicas: Vec<(&str, &mut Order, usize)>,
    capacities: &[usize],
    seeds: &[u64],
) -> Vec<Vec<Candidate>> {
    let mut held: Vec<Held> = capacities.iter().map(|_| Held::new()).collect();
    let mut proposers: Vec<_> =
        replicas.into_iter().map(|(id, order, open)| Proposer { order, id, next: 0, open }).collect();
    let mut waiting: Vec<usize> = (0..proposers.len()).collect();
    while let Some(index) = waiting.pop() {
        while proposers[index].open > 0 {
            let proposer = &mut proposers[index];
            let Some(candidate) = proposer.order.candidate(proposer.next, proposer.id, seeds) else { break };
            proposer.next += 1;
            let controller = candidate.controller as usize;
            let proposal = Reverse((candidate.score, index));
            let full = held[controller].len() >= capacities[controller];
            if full && held[controller].peek().is_none_or(|lowest| proposal >= *lowest) {
                continue;
            }
            held[controller].push(proposal);
            proposers[index].open -= 1;
            if full {
                let Some(Reverse((_, displaced))) = held[controller].pop() else { continue };
                proposers[displaced].open += 1;
                waiting.push(displaced);
            }
        }
    }
    let mut result = vec![Vec::new(); proposers.len()];
    for (controller, held) in held.into_iter().enumerate() {
        for Reverse((score, index)) in held {
            result[index].push(Candidate { score, controller: controller as u32 });
        }
    }
    result
}
