//! Claims: which of the controllers that share a replica may move slices there by the ordinary path, and when.
//!
//! In each epoch exactly one of a replica's controllers holds the claim on it, in rotation. Nothing is exchanged between
//! processes: all controllers work out the same claims from the replica's stable hash and the time.

use crate::api::SubsetMembership;
use crate::time::{Moment, Span};

/// How long a claim lasts: commands take up to a second to reach all proxies, and reports up to three to show their effect
/// (docs/design/subsets-decisions.md).
pub const CLAIM_EPOCH: Span = Span::ms(4000);
/// The least part of an epoch in which the holder of the claim may act, however late reports are.
const MIN_CLAIM_TIME: Span = Span::ms(1000);

/// The position, among so many controllers, that holds the claim on a replica in an epoch.
pub fn claim_holder(stable_hash: u64, epoch: u64, controllers: u32) -> u32 {
    let position = (u128::from(stable_hash) + u128::from(epoch)) % u128::from(controllers.max(1));
    position as u32
}

impl SubsetMembership {
    /// Whether this controller holds the claim on the replica at this moment, and may act on it. `window_excess` is how much
    /// more than a report period the reports cover: the holder rests for that long at the end of the epoch, so that the
    /// reports show to the next one what was moved.
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
