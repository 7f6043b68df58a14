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
    /// Holds one permit per byte of queued lines.
    queued_bytes: Arc<Semaphore>,
}

impl Bounds {
    /// Limits the number of connections to `max_connections`, and the memory for incomplete lines and for queued lines
    /// to `max_bytes` each. The limit for queued lines is at least the size of the longest line.
    pub fn new(max_connections: usize, max_bytes: usize) -> Self {
        let queued_bytes = max_bytes.clamp(limits::MAX_LINE_BYTES, u32::MAX as usize);
        Bounds {
            max_connections,
            partial_lines: PartialLineBudget::new(max_bytes, max_connections),
            queued_bytes: Arc::new(Semaphore::new(queued_bytes)),
        }
    }

    /// Waits until memory for queued lines is available, and reserves it. Returns `None` if the program is ending.
    pub(crate) async fn reserve_queue_memory(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = bytes.clamp(1, limits::MAX_LINE_BYTES) as u32;
        self.queued_bytes.clone().acquire_many_owned(bytes).await.ok()
    }
}
