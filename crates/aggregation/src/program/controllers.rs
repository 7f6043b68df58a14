//! Connections to controllers: each has a task that dials, writes what is to be said, and notes signs of life.

use actix_rt::task::JoinHandle;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// What waits for one controller; a turn a second is written, so a controller that takes this long reads nothing.
const UNWRITTEN: usize = 4;
/// What waits for the loop, of all controllers.
const EVENTS: usize = 1024;
/// A write that takes longer is given up.
const WRITE: Duration = Duration::from_secs(5);
/// A heartbeat has some twenty bytes.
const PIECE: usize = 1024;

/// What happened at a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Happened {
    /// The dial succeeded.
    Connected,
    /// The controller said something: it is alive.
    Answered,
    /// The dial failed, or the connection ended.
    Lost,
}

struct Link {
    number: u64,
    to: mpsc::Sender<String>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type LinkEvent = (String, u64, Happened);

/// All connections to controllers; each ends with its entry.
pub struct Links {
    links: BTreeMap<String, Link>,
    events: mpsc::Sender<LinkEvent>,
    happened: mpsc::Receiver<LinkEvent>,
    next: u64,
    /// Batches of lines that found no room.
    pub dropped: u64,
}

impl Links {
    /// None yet.
    pub fn none() -> Self {
        let (events, happened) = mpsc::channel(EVENTS);
        Links { links: BTreeMap::new(), events, happened, next: 0, dropped: 0 }
    }

    /// Begins to dial; a former connection ends.
    pub fn connect(&mut self, controller: &str, address: SocketAddr) {
        self.next += 1;
        let (number, events) = (self.next, self.events.clone());
        let (to, lines) = mpsc::channel(UNWRITTEN);
        let task = actix_rt::spawn(serve(controller.to_string(), number, address, lines, events));
        self.links.insert(controller.into(), Link { number, to, task });
    }

    /// Ends a connection or a dial.
    pub fn disconnect(&mut self, controller: &str) {
        self.links.remove(controller);
    }

    /// Writes lines; false where the controller reads too slowly, and its connection is ended.
    pub fn send(&mut self, controller: &str, lines: String) -> bool {
        let Some(link) = self.links.get(controller) else { return true };
        if link.to.try_send(lines).is_ok() {
            return true;
        }
        self.dropped += 1;
        self.links.remove(controller);
        false
    }

    /// What happens next; what a connection of the past still says is left out.
    pub async fn happens(&mut self) -> (String, Happened) {
        loop {
            // This end has a sender, so there is always a next one.
            let Some((controller, number, happened)) = self.happened.recv().await else {
                std::future::pending().await
            };
            if self.links.get(&controller).is_none_or(|link| link.number != number) {
                continue;
            }
            if happened == Happened::Lost {
                self.links.remove(&controller);
            }
            return (controller, happened);
        }
    }
}

async fn serve(
    controller: String,
    number: u64,
    address: SocketAddr,
    lines: mpsc::Receiver<String>,
    events: mpsc::Sender<LinkEvent>,
) {
    let say = async |happened| events.send((controller.clone(), number, happened)).await.is_ok();
    if let Err(why) = converse(address, lines, &say).await {
        tracing::debug!("governor {controller}: {why}");
    }
    say(Happened::Lost).await;
}

async fn converse(
    address: SocketAddr,
    mut lines: mpsc::Receiver<String>,
    say: &impl AsyncFn(Happened) -> bool,
) -> Result<(), String> {
    let mut stream = whinwall_transport::connect(address).await.map_err(|why| why.to_string())?;
    if !say(Happened::Connected).await {
        return Ok(());
    }
    let (mut reads, mut writes) = stream.split();
    let mut piece = [0; PIECE];
    loop {
        tokio::select! {
            text = lines.recv() => {
                let Some(text) = text else { return Ok(()) };
                let written = timeout(WRITE, writes.write_all(text.as_bytes())).await;
                let written = written.map_err(|_| "it reads nothing".to_string())?;
                written.map_err(|why| why.to_string())?;
            }
            read = reads.read(&mut piece) => {
                if read.map_err(|why| why.to_string())? == 0 {
                    return Err("closed by the other side".into());
                }
                if !say(Happened::Answered).await {
                    return Ok(());
                }
            }
        }
    }
}
