//! Runs the override store on a thread of its own, as its calls block. Requests are queued, and each gets a reply.

use crate::{OverrideStore, StoreContents, StoreError, WriteBatch};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::time::Duration;

/// The capacity of the request queue. The caller has one write in flight at a time, so a full queue is an error.
const MAX_QUEUED_REQUESTS: usize = 4;
/// The time between retries to open the store after a failure.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_secs(1);
const THREAD_NAME: &str = "override-store";

/// A reply of the storage thread.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The store is open and has these contents.
    Opened(StoreContents),
    /// The store cannot be opened; the thread retries.
    Unavailable(StoreError),
    /// A write has finished.
    Written {
        /// The serial number of the write.
        serial: u64,
        /// `Ok` if the batch is on disk.
        outcome: Result<(), StoreError>,
    },
}

/// The request was not queued, as the queue is full or the thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("override store queue is full or its thread has ended")]
pub struct RequestNotQueued;

enum StoreRequest {
    Open,
    Write { serial: u64, batch: WriteBatch },
}

/// Sends requests to the storage thread, which ends when all senders are dropped.
#[derive(Clone)]
pub struct StorageThread(SyncSender<StoreRequest>);

impl StorageThread {
    /// Starts the thread. It calls `on_reply` for each reply and serves no other request until that call returns.
    ///
    /// # Errors
    /// The operating system cannot start a thread.
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

    /// Requests the contents of the store. The reply with the contents is sent once the store can be opened.
    ///
    /// # Errors
    /// [`RequestNotQueued`].
    pub fn request_open(&self) -> Result<(), RequestNotQueued> {
        self.send(StoreRequest::Open)
    }

    /// Requests a write. Its reply carries `serial`.
    ///
    /// # Errors
    /// [`RequestNotQueued`]; no reply is sent.
    pub fn request_write(&self, serial: u64, batch: WriteBatch) -> Result<(), RequestNotQueued> {
        self.send(StoreRequest::Write { serial, batch })
    }

    fn send(&self, request: StoreRequest) -> Result<(), RequestNotQueued> {
        self.0.try_send(request).map_err(|error| match error {
            TrySendError::Full(_) | TrySendError::Disconnected(_) => RequestNotQueued,
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
