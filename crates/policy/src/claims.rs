//! Claims: which of several controllers may fill a replica that they share, and when.

use crate::api::SubsetMembership;
use crate::time::{Moment, Span};

/// How long a claim lasts: orders take up to a second to reach all proxies, and reports up to three to tell of it.
pub const CLAIM_EPOCH: Span = Span::ms(4000);
/// The least part of an epoch in which the claimant may act, however late reports are.
pub(crate) const MIN_CLAIM_TIME: Span = Span::ms(1000);
/// The position that holds the claim on a replica in an epoch.
pub fn claimant(lot: u64, epoch: u64, controllers: u32) -> u32 {
    let turn = (u128::from(lot) + u128::from(epoch)) % u128::from(controllers.max(1));
    turn as u32
}

impl SubsetMembership {
    /// Whether this controller holds the claim on the replica at this moment, and may act on it: the epoch's last part,
    /// as long as reports cover more than a period, is for them to catch up.
    pub fn is_claimed(self, lot: u64, now: Moment, stretch: Span) -> bool {
        match self {
            SubsetMembership::Everyone => true,
            SubsetMembership::Others => false,
            SubsetMembership::Subset { controllers: 1, .. } => true,
            SubsetMembership::Subset { controllers, position } => {
                let epoch = now.count_of(CLAIM_EPOCH);
                let since = now - Moment::at_ns(epoch * CLAIM_EPOCH.as_ns());
                claimant(lot, epoch, controllers) == position
                    && since < (CLAIM_EPOCH - stretch).max(MIN_CLAIM_TIME)
            }
        }
    }
}
