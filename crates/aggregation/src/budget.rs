//! Selection of the lines that are sent to a controller in a report period within its byte budget.
//!
//! If all lines fit, all are sent. Else the oldest lines are selected first, as many as needed to send each key once
//! within the maximum window. The rest of the budget goes to the lines with the largest change.

use whinwall_policy::time::Moment;

/// A line that could be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Length of the line in bytes.
    pub bytes: usize,
    /// Start of the window that the line covers.
    pub window_start: Moment,
    /// Weighted difference from the values of the previous line of the same key.
    pub change: f64,
}

/// The selected lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Selection {
    /// Indexes of the selected candidates, in ascending order.
    pub selected: Vec<usize>,
    /// True if some candidates did not fit into the budget.
    pub is_over_budget: bool,
}

/// Selects lines of at most `budget` bytes in total. `periods` is the number of report periods within which each key
/// must be sent.
pub fn select_lines(candidates: &[Candidate], budget: usize, periods: usize) -> Selection {
    let total: usize = candidates.iter().map(|candidate| candidate.bytes).sum();
    if total <= budget {
        return Selection { selected: (0..candidates.len()).collect(), is_over_budget: false };
    }
    // Oldest first.
    let mut waiting: Vec<usize> = (0..candidates.len()).collect();
    waiting.sort_by_key(|index| candidates[*index].window_start);
    let oldest_share = total.div_ceil(periods.max(1));
    let (mut selected, mut used) = (Vec::new(), 0);
    while let Some(index) = waiting.first().copied() {
        let bytes = candidates[index].bytes;
        if used >= oldest_share || used + bytes > budget {
            break;
        }
        used += bytes;
        selected.push(waiting.remove(0));
    }
    waiting.sort_by(|a, b| candidates[*b].change.total_cmp(&candidates[*a].change));
    for index in waiting {
        if used + candidates[index].bytes <= budget {
            used += candidates[index].bytes;
            selected.push(index);
        }
    }
    selected.sort_unstable();
    Selection { selected, is_over_budget: true }
}
