//! What all connections to the program's own address may cost together.

use super::framing::PartialLineBudget;
use super::limits;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bounds on the connections to the program's own address; clones share them.
#[derive(Clone)]
pub struct Bounds {
    pub(crate) max_connections: usize,
    pub(crate) partial_lines: PartialLineBudget,
    /// One permit for each byte of queued lines.
    queued_bytes: Arc<Semaphore>,
}

impl Bounds {
    /// So many connections, and so many bytes each of incomplete lines and of queued lines. The longest line
    /// always fits.
    pub fn new(max_connections: usize, max_bytes: usize) -> Self {
        let queued_bytes = max_bytes.clamp(limits::MAX_LINE_BYTES, u32::MAX as usize);
        Bounds {
            max_connections,
            partial_lines: PartialLineBudget::new(max_bytes, max_connections),
            queued_bytes: Arc::new(Semaphore::new(queued_bytes)),
        }
    }

    /// Waits for the memory of a queued line. None once the program ends.
    pub(crate) async fn reserve_queued(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = bytes.clamp(1, limits::MAX_LINE_BYTES) as u32;
        self.queued_bytes.clone().acquire_many_owned(bytes).await.ok()
    }
}
