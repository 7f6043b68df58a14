//! Who decides where an op goes: the real governors by their tables, or one of some plain ways to compare
//! with.

use crate::server::{Server, State};
use crate::ServerIx;
use whinwall_policy::chance::Chance;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The real reducers and decisions.
    Governed,
    /// Tables stay as they were at the start, nobody decides anything.
    HandsOff,
    /// Each slice on the server that a hash of both puts first among those listed.
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

/// Where a plain way sends an op of this slice; `out` is the proxy's own work at each server.
pub fn pick(
    policy: Policy,
    slice: usize,
    listed: &[bool],
    servers: &[Server],
    out: &dyn Fn(ServerIx) -> u32,
    chance: &mut Chance,
) -> Option<ServerIx> {
    let open: Vec<ServerIx> = (0..servers.len()).filter(|at| listed[*at]).collect();
    let draw = |chance: &mut Chance| open.get((chance.draw() * open.len() as f64) as usize).copied();
    match policy {
        Policy::Governed | Policy::HandsOff => None,
        Policy::Hashing => open.iter().copied().max_by_key(|at| hash(slice as u64 + 1, *at as u64 + 1)),
        Policy::TwoChoices => {
            let (one, other) = (draw(chance)?, draw(chance)?);
            Some(if out(one) <= out(other) { one } else { other })
        }
        Policy::LeastLoaded => {
            let up = open
                .iter()
                .copied()
                .filter(|at| servers[*at].state == State::Up && servers[*at].failing == 0.0);
            up.min_by_key(|at| servers[*at].burden())
        }
    }
}
