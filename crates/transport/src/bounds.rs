//! Limits shared by all connections to the program's listening address.

use super::framing::PartialLineBudget;
use super::limits;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Limits on the connections to the program's listening address. Clones share the same limits.
#[derive(Clone)]
pub struct Bounds {
    pub(crate) max_connections: usize,
    pub(crate) partial_lines: PartialLineBudget,
    /// Holds one permit per byte of queued long lines.
    queued_long_bytes: Arc<Semaphore>,
    /// Holds one permit per byte of queued short lines. They do not wait for long ones, which may come from hundreds of
    /// connections at once.
    queued_short_bytes: Arc<Semaphore>,
}

/// The longest line that counts as short: any line of an unauthenticated peer, and any usual report.
const MAX_SHORT_LINE_BYTES: usize = limits::MAX_UNAUTHENTICATED_LINE_BYTES;
/// The divisor of the memory limit for queued short lines.
const SHORT_LINES_DIVISOR: usize = 4;
/// The memory limit for queued long lines. It is a few lines only, as all other input waits while they are decoded.
const MAX_QUEUED_LONG_BYTES: usize = 2 * limits::MAX_LINE_BYTES;

impl Bounds {
    /// Limits the number of connections to `max_connections`, the memory for incomplete lines to `max_bytes`, and that for
    /// queued short lines to a quarter of it, but at least to the size of the longest one.
    pub fn new(max_connections: usize, max_bytes: usize) -> Self {
        let short_bytes = (max_bytes / SHORT_LINES_DIVISOR).clamp(MAX_SHORT_LINE_BYTES, u32::MAX as usize);
        Bounds {
            max_connections,
            partial_lines: PartialLineBudget::new(max_bytes, max_connections),
            queued_long_bytes: Arc::new(Semaphore::new(MAX_QUEUED_LONG_BYTES)),
            queued_short_bytes: Arc::new(Semaphore::new(short_bytes)),
        }
    }

    /// Waits until memory for queued lines is available, and reserves it. Returns `None` if the program is ending.
    pub(crate) async fn reserve_queue_memory(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let queued_bytes =
            if bytes <= MAX_SHORT_LINE_BYTES { &self.queued_short_bytes } else { &self.queued_long_bytes };
        let bytes = bytes.clamp(1, limits::MAX_LINE_BYTES) as u32;
        queued_bytes.clone().acquire_many_owned(bytes).await.ok()
    }
}
