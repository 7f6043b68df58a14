//! Heartbeats to the other aggregators: one connection to each, dialled again while it is lost.

use super::error::ConnectionError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use whinwall_runtime::task::Task;

/// Before the next dial: a peer that starts is to hear from this one before it decides who is there.
const DIAL_INTERVAL: Duration = Duration::from_millis(500);
/// A write that takes longer is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Nothing is written to this side of these connections but a close reason.
const READ_BUFFER_BYTES: usize = 256;

/// The connections to all peers; each ends with its entry.
pub struct PeerConnections {
    latest: watch::Sender<String>,
    tasks: BTreeMap<(String, SocketAddr), Task>,
}

impl Default for PeerConnections {
    /// No peers yet.
    fn default() -> Self {
        PeerConnections { latest: watch::channel(String::new()).0, tasks: BTreeMap::new() }
    }
}

impl PeerConnections {
    /// Sends to these peers, and to no others.
    pub fn configure(&mut self, peers: &BTreeMap<String, SocketAddr>) {
        self.tasks.retain(|(name, address), _| peers.get(name) == Some(address));
        for (name, address) in peers {
            let (latest, address) = (self.latest.subscribe(), *address);
            let start = || Task::spawn(send_heartbeats(address, latest));
            self.tasks.entry((name.clone(), address)).or_insert_with(start);
        }
    }

    /// Sends a heartbeat to all; a peer that is not reached gets the latest once it is.
    pub fn send(&self, heartbeat: String) {
        self.latest.send_replace(heartbeat);
    }
}

async fn send_heartbeats(address: SocketAddr, mut latest: watch::Receiver<String>) {
    loop {
        if let Err(reason) = write_heartbeats(address, &mut latest).await {
            tracing::debug!(peer = %address, %reason, "peer connection lost");
        }
        sleep(DIAL_INTERVAL).await;
    }
}

async fn write_heartbeats(
    address: SocketAddr,
    latest: &mut watch::Receiver<String>,
) -> Result<(), ConnectionError> {
    let mut stream = whinwall_transport::connect(address).await?;
    let (mut reads, mut writes) = stream.split();
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        tokio::select! {
            changed = latest.changed() => {
                // The sender ends with the task's owner.
                changed.map_err(|_| ConnectionError::Closed)?;
                let line = latest.borrow_and_update().clone();
                let written = timeout(WRITE_TIMEOUT, writes.write_all(line.as_bytes())).await;
                written.map_err(|_| ConnectionError::WriteTimedOut)??;
            }
            read = reads.read(&mut buffer) => {
                if read? == 0 {
                    return Err(ConnectionError::Closed);
                }
            }
        }
    }
}
