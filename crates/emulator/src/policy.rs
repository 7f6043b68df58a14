//! Who decides where an request goes: the real controllers by their tables, or one of some plain ways to compare
//! with.

use crate::replica::{Replica, State};
use crate::ReplicaIx;
use whinwall_policy::random::Random;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The real reducers and decisions.
    Governed,
    /// Tables stay as they were at the start, nobody decides anything.
    HandsOff,
    /// Each slice on the replica that a hash of both puts first among those listed.
    Hashing,
    /// Of two drawn among those listed, the one with less of the proxy's own work out.
    TwoChoices,
    /// The least loaded by its true state, which nobody knows: an upper bound, but for keys.
    LeastLoaded,
}

fn hash(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_mul(0xc2b2_ae3d_27d4_eb4f);
    x ^= x >> 29;
    x.wrapping_mul(0x1656_67b1_9e37_79f9) ^ x >> 32
}

/// Where a plain way sends an request of this slice; `out` is the proxy's own work at each replica.
pub fn pick(
    policy: Policy,
    slice: usize,
    listed: &[bool],
    replicas: &[Replica],
    out: &dyn Fn(ReplicaIx) -> u32,
    random: &mut Random,
) -> Option<ReplicaIx> {
    let open: Vec<ReplicaIx> = (0..replicas.len()).filter(|at| listed[*at]).collect();
    let draw = |random: &mut Random| open.get((random.draw() * open.len() as f64) as usize).copied();
    match policy {
        Policy::Governed | Policy::HandsOff => None,
        Policy::Hashing => open.iter().copied().max_by_key(|at| hash(slice as u64 + 1, *at as u64 + 1)),
        Policy::TwoChoices => {
            let (one, other) = (draw(random)?, draw(random)?);
            Some(if out(one) <= out(other) { one } else { other })
        }
        Policy::LeastLoaded => {
            let up = open
                .iter()
                .copied()
                .filter(|at| replicas[*at].state == State::Up && replicas[*at].failing == 0.0);
            up.min_by_key(|at| replicas[*at].burden())
        }
    }
}
