//! Sends heartbeats to the other aggregators over one connection to each. Lost connections are established again.

use super::error::ConnectionError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use whinwall_runtime::task::Task;

/// Delay before reconnecting. It is short, so that a peer that starts receives heartbeats before it assigns
/// controllers.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// A write that takes longer ends the connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the read buffer; peers write nothing on these connections but a close reason.
const READ_BUFFER_BYTES: usize = 256;

/// The connections to all peers. Removing an entry closes its connection.
pub struct PeerConnections {
    latest: watch::Sender<String>,
    tasks: BTreeMap<(String, SocketAddr), Task>,
}

impl Default for PeerConnections {
    /// Creates an empty set of connections.
    fn default() -> Self {
        PeerConnections { latest: watch::channel(String::new()).0, tasks: BTreeMap::new() }
    }
}

impl PeerConnections {
    /// Replaces the set of peers that heartbeats are sent to.
    pub fn configure(&mut self, peers: &BTreeMap<String, SocketAddr>) {
        self.tasks.retain(|(name, address), _| peers.get(name) == Some(address));
        for (name, address) in peers {
            let (latest, address) = (self.latest.subscribe(), *address);
            let start = || Task::spawn(send_heartbeats(address, latest));
            self.tasks.entry((name.clone(), address)).or_insert_with(start);
        }
    }

    /// Sends a heartbeat to all peers. A peer without a connection gets the latest one when it is connected.
    pub fn send(&self, heartbeat: String) {
        self.latest.send_replace(heartbeat);
    }
}

async fn send_heartbeats(address: SocketAddr, mut latest: watch::Receiver<String>) {
    loop {
        if let Err(reason) = write_heartbeats(address, &mut latest).await {
            tracing::debug!(peer = %address, %reason, "peer connection lost");
        }
        sleep(RECONNECT_DELAY).await;
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
                // The sender is dropped together with the owner of this task.
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
