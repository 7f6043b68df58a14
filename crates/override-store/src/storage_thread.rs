//! The override store on a thread of its own, as it blocks: requests are queued, and each has a reply.

use crate::{OverrideStore, StoreContents, StoreError, WriteBatch};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::time::Duration;

/// The most requests that wait. The caller has one write in flight at a time, so a full queue is an error.
const MAX_QUEUED_REQUESTS: usize = 4;
/// How often opening the store is retried after a failure.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_secs(1);
const THREAD_NAME: &str = "override-store";

/// What the storage thread replies.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The store is open, and holds this.
    Opened(StoreContents),
    /// The store cannot be opened; the thread retries.
    Unavailable(StoreError),
    /// A write has ended.
    Written {
        /// The serial number of the write.
        serial: u64,
        /// Whether it succeeded.
        outcome: Result<(), StoreError>,
    },
}

/// The request was not queued: too many wait, or the thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the override store's queue is full")]
pub struct QueueFull;

enum StoreRequest {
    Open,
    Write { serial: u64, batch: WriteBatch },
}

/// The sender of requests to the storage thread, which ends when all senders are dropped.
#[derive(Clone)]
pub struct StorageThread(SyncSender<StoreRequest>);

impl StorageThread {
    /// Starts the thread. `on_reply` is called on it and delays it for as long as it blocks.
    ///
    /// # Errors
    /// The system cannot start a thread.
    pub fn spawn(
        store: OverrideStore,
        on_reply: impl Fn(StoreReply) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (sender, requests) = sync_channel(MAX_QUEUED_REQUESTS);
        std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || serve_requests(store, &requests, on_reply))?;
        Ok(StorageThread(sender))
    }

    /// Requests the contents of the store. They are sent once the store can be opened.
    ///
    /// # Errors
    /// [`QueueFull`].
    pub fn request_open(&self) -> Result<(), QueueFull> {
        self.send(StoreRequest::Open)
    }

    /// Requests a write; its reply has this serial number.
    ///
    /// # Errors
    /// [`QueueFull`]; there will be no reply.
    pub fn request_write(&self, serial: u64, batch: WriteBatch) -> Result<(), QueueFull> {
        self.send(StoreRequest::Write { serial, batch })
    }

    fn send(&self, request: StoreRequest) -> Result<(), QueueFull> {
        self.0.try_send(request).map_err(|error| match error {
            TrySendError::Full(_) | TrySendError::Disconnected(_) => QueueFull,
        })
    }
}

fn serve_requests(
    mut store: OverrideStore,
    requests: &Receiver<StoreRequest>,
    on_reply: impl Fn(StoreReply),
) {
    let mut has_open_failed = false;
    loop {
        let request = match requests.recv_timeout(OPEN_RETRY_INTERVAL) {
            Ok(request) => request,
            Err(RecvTimeoutError::Timeout) if has_open_failed => StoreRequest::Open,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        on_reply(match request {
            StoreRequest::Open => {
                let opened = store.open();
                has_open_failed = opened.is_err();
                opened.map_or_else(StoreReply::Unavailable, StoreReply::Opened)
            }
            StoreRequest::Write { serial, batch } => {
                StoreReply::Written { serial, outcome: store.write(&batch) }
            }
        });
    }
}
