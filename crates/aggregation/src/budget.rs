//! Which lines go to a controller in a report period, where not all of them fit into its byte budget.
//!
//! Where all fit, all go. Else the oldest go first, as many as have to so that each goes once within the maximum
//! window, and the rest of the budget is for those that changed most.

use whinwall_policy::time::Moment;

/// A line that could go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its length.
    pub bytes: usize,
    /// The start of the time that it covers.
    pub begins: Moment,
    /// By how much it differs from the last line of its key.
    pub change: f64,
}

/// What goes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Choice {
    /// Positions of candidates, in ascending order.
    pub chosen: Vec<usize>,
    /// Whether some have to wait.
    pub is_stretched: bool,
}

/// Chooses lines of no more than `budget` bytes. `periods` is the number of report periods within which each key
/// has to have its turn.
pub fn choose(candidates: &[Candidate], budget: usize, periods: usize) -> Choice {
    let total: usize = candidates.iter().map(|candidate| candidate.bytes).sum();
    if total <= budget {
        return Choice { chosen: (0..candidates.len()).collect(), is_stretched: false };
    }
    // Oldest first.
    let mut waiting: Vec<usize> = (0..candidates.len()).collect();
    waiting.sort_by_key(|at| candidates[*at].begins);
    let turn = total.div_ceil(periods.max(1));
    let (mut chosen, mut used) = (Vec::new(), 0);
    while let Some(at) = waiting.first().copied() {
        let bytes = candidates[at].bytes;
        if used >= turn || used + bytes > budget {
            break;
        }
        used += bytes;
        chosen.push(waiting.remove(0));
    }
    waiting.sort_by(|a, b| candidates[*b].change.total_cmp(&candidates[*a].change));
    for at in waiting {
        if used + candidates[at].bytes <= budget {
            used += candidates[at].bytes;
            chosen.push(at);
        }
    }
    chosen.sort_unstable();
    Choice { chosen, is_stretched: true }
}
