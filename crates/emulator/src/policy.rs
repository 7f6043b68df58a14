//! Routing policies: the routing tables of the production controllers, and simple policies for comparison.

use crate::replica::{Replica, ReplicaState};
use crate::ReplicaIndex;
use whinwall_policy::random::Random;

/// A routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Routing tables that the production controllers maintain.
    Controlled,
    /// The initial routing tables, which never change.
    StaticTables,
    /// Rendezvous hashing: each slice is served by the listed replica with the highest hash of slice and replica.
    Hashing,
    /// Of two listed replicas drawn at random, the one with fewer outstanding requests of the proxy.
    TwoChoices,
    /// The healthy listed replica with the least outstanding work. This value is not available to proxies in
    /// production, so the policy is an upper bound for the others, except that it makes no use of key caches.
    LeastLoaded,
}

impl Policy {
    /// Returns true if proxies route by routing tables.
    pub fn uses_tables(self) -> bool {
        matches!(self, Policy::Controlled | Policy::StaticTables)
    }
}

fn hash(slice: u64, replica: u64) -> u64 {
    let mixed = slice.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ replica.wrapping_mul(0xc2b2_ae3d_27d4_eb4f);
    let folded = mixed ^ (mixed >> 29);
    folded.wrapping_mul(0x1656_67b1_9e37_79f9) ^ (folded >> 32)
}

/// Picks a replica for a request of this slice by a policy without routing tables. Returns `None` for policies with
/// tables, and if no listed replica qualifies. `outstanding` returns the number of outstanding requests of the proxy
/// at a replica.
pub fn pick(
    policy: Policy,
    slice: usize,
    is_listed: &[bool],
    replicas: &[Replica],
    outstanding: &dyn Fn(ReplicaIndex) -> u32,
    random: &mut Random,
) -> Option<ReplicaIndex> {
    let listed: Vec<ReplicaIndex> = (0..replicas.len()).filter(|replica| is_listed[*replica]).collect();
    let draw = |random: &mut Random| listed.get((random.draw() * listed.len() as f64) as usize).copied();
    match policy {
        Policy::Controlled | Policy::StaticTables => None,
        Policy::Hashing => {
            listed.iter().copied().max_by_key(|replica| hash(slice as u64 + 1, *replica as u64 + 1))
        }
        Policy::TwoChoices => {
            let (first, second) = (draw(random)?, draw(random)?);
            Some(if outstanding(first) <= outstanding(second) { first } else { second })
        }
        Policy::LeastLoaded => {
            let is_healthy = |replica: &ReplicaIndex| {
                replicas[*replica].state == ReplicaState::Up && replicas[*replica].error_share == 0.0
            };
            let healthy = listed.iter().copied().filter(is_healthy);
            healthy.min_by_key(|replica| replicas[*replica].outstanding_work())
        }
    }
}
