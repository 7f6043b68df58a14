//! The signal on which a connection must close, because of the shutdown or an eviction by the listener.

use super::limits;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use whinwall_serving::shutdown::ShutdownSignal;

/// The shutdown of a listener and its connections.
#[derive(Clone)]
pub struct ConnectionShutdown {
    /// The signal that starts the shutdown.
    pub signal: ShutdownSignal,
    /// The line sent to an unauthenticated peer whose last line was received but not answered; empty for none.
    pub notice: Arc<str>,
}

impl ConnectionShutdown {
    /// Returns a shutdown that never starts, for a listener that ends when its task is dropped.
    pub fn never() -> Self {
        ConnectionShutdown { signal: ShutdownSignal::never(), notice: Arc::from("") }
    }
}

/// The reason for closing a connection, and the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Closing {
    /// True if the listener evicts the connection; false for a shutdown.
    pub is_eviction: bool,
    /// The deadline for the replies to the lines that were read.
    pub deadline: Instant,
}

/// Notifies a connection that it must close.
pub(crate) struct ClosingSignal {
    pub evicted: oneshot::Receiver<()>,
    pub shutdown: ConnectionShutdown,
}

impl ClosingSignal {
    /// Waits until the connection must close. Must not be called again after it has returned.
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
