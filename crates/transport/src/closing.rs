//! How a connection learns that it is to close: the program ends, or the listener needs its place.

use super::limits;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use whinwall_serving::shutdown::ShutdownSignal;

/// The end of a listener with its connections.
#[derive(Clone)]
pub struct ConnectionShutdown {
    /// Says when.
    pub signal: ShutdownSignal,
    /// The line that an unauthenticated peer gets whose line was read in part.
    pub notice: Arc<str>,
}

impl ConnectionShutdown {
    /// For a listener that ends with its task.
    pub fn never() -> Self {
        ConnectionShutdown { signal: ShutdownSignal::never(), notice: Arc::from("") }
    }
}

/// Why and until when a connection closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Closing {
    /// Whether the listener needs its place.
    pub is_eviction: bool,
    /// What was read is answered until then.
    pub deadline: Instant,
}

/// Completes when a connection is to close.
pub(crate) struct ClosingSignal {
    pub evicted: oneshot::Receiver<()>,
    pub shutdown: ConnectionShutdown,
}

impl ClosingSignal {
    /// Waits until the connection is to close; not to be called again then.
    pub async fn closing(&mut self) -> Closing {
        tokio::select! {
            biased;
            deadline = self.shutdown.signal.closing() => Closing { is_eviction: false, deadline },
            _ = &mut self.evicted => {
                Closing { is_eviction: true, deadline: Instant::now() + limits::CLOSE_TIMEOUT }
            }
        }
    }
}
