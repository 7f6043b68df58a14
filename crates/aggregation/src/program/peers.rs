//! Heartbeats to the other aggregators: one connection to each, dialed anew while it is not there.

use actix_rt::task::JoinHandle;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Before the next dial: a peer that starts is to hear from us before it decides who is there.
const PAUSE: Duration = Duration::from_millis(500);
/// A write that takes longer is given up.
const WRITE: Duration = Duration::from_secs(2);
/// Nothing is written to us on these connections but a last word.
const PIECE: usize = 256;

/// Ends with its handle.
struct Sender(JoinHandle<()>);

impl Drop for Sender {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The connections to all peers.
pub struct Senders {
    latest: watch::Sender<String>,
    senders: BTreeMap<(String, SocketAddr), Sender>,
}

impl Senders {
    /// No peers yet.
    pub fn none() -> Self {
        Senders { latest: watch::channel(String::new()).0, senders: BTreeMap::new() }
    }

    /// Sends to these, and to no others.
    pub fn configure(&mut self, peers: &BTreeMap<String, SocketAddr>) {
        self.senders.retain(|(name, address), _| peers.get(name) == Some(address));
        for (name, address) in peers {
            let (latest, address) = (self.latest.subscribe(), *address);
            let start = || Sender(actix_rt::spawn(send(address, latest)));
            self.senders.entry((name.clone(), address)).or_insert_with(start);
        }
    }

    /// Sends a heartbeat to all; one that is not reached gets the latest once it is.
    pub fn send(&self, heartbeat: String) {
        self.latest.send_replace(heartbeat);
    }
}

async fn send(address: SocketAddr, mut latest: watch::Receiver<String>) {
    loop {
        if let Err(why) = converse(address, &mut latest).await {
            tracing::debug!("aggregator at {address}: {why}");
        }
        sleep(PAUSE).await;
    }
}

async fn converse(address: SocketAddr, latest: &mut watch::Receiver<String>) -> Result<(), String> {
    let mut stream = whinwall_transport::connect(address).await.map_err(|why| why.to_string())?;
    let (mut reads, mut writes) = stream.split();
    let mut piece = [0; PIECE];
    loop {
        tokio::select! {
            changed = latest.changed() => {
                changed.map_err(|why| why.to_string())?;
                let line = latest.borrow_and_update().clone();
                let written = timeout(WRITE, writes.write_all(line.as_bytes())).await;
                let written = written.map_err(|_| "it reads nothing".to_string())?;
                written.map_err(|why| why.to_string())?;
            }
            read = reads.read(&mut piece) => {
                if read.map_err(|why| why.to_string())? == 0 {
                    return Err("closed by the other side".into());
                }
            }
        }
    }
}
