//! Claims decide which of the controllers that share a replica may move slices to it by regular rebalancing, and
//! when.
//!
//! In each epoch exactly one of a replica's controllers holds the claim on it, in rotation. No messages are
//! exchanged: all controllers compute the same claims from the replica's stable hash and the time.

use crate::api::SubsetMembership;
use crate::time::{Moment, Span};

/// The duration of a claim. Commands take up to 1 s to reach all proxies, and reports take up to 3 s to show their
/// effect (docs/design/subsets-decisions.md).
pub const CLAIM_EPOCH: Span = Span::ms(4000);
/// The minimum time per epoch in which the holder of the claim may act, however late reports are.
const MIN_CLAIM_TIME: Span = Span::ms(1000);

/// Returns the position (from 0 to `controllers - 1`) of the controller that holds the claim on a replica in an
/// epoch.
pub fn claim_holder(stable_hash: u64, epoch: u64, controllers: u32) -> u32 {
    let position = (u128::from(stable_hash) + u128::from(epoch)) % u128::from(controllers.max(1));
    position as u32
}

impl SubsetMembership {
    /// Returns true if this controller holds the claim on the replica at `now` and may act on it. `window_excess`
    /// is the time by which the reports' window exceeds a report period. The holder does not act during the last
    /// `window_excess` of the epoch, so that the reports show its moves to the next holder.
    pub fn is_claimed(self, stable_hash: u64, now: Moment, window_excess: Span) -> bool {
        match self {
            SubsetMembership::AllControllers => true,
            SubsetMembership::OtherControllers => false,
            SubsetMembership::Subset { controllers: 1, .. } => true,
            SubsetMembership::Subset { controllers, position } => {
                let epoch = now.elapsed_periods(CLAIM_EPOCH);
                let since_start = now - Moment::at_ns(epoch * CLAIM_EPOCH.as_ns());
                let active_time = (CLAIM_EPOCH - window_excess).max(MIN_CLAIM_TIME);
                claim_holder(stable_hash, epoch, controllers) == position && since_start < active_time
            }
        }
    }
}
