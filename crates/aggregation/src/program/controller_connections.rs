//! Connections to controllers: each has a task that dials, writes report lines, and notes answers.

use super::error::ConnectionError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;
use whinwall_runtime::task::Task;

/// Batches that wait for one controller; one a second is written, so a controller that takes this long reads nothing.
const MAX_UNWRITTEN_BATCHES: usize = 4;
/// Events of all controllers that wait for the event loop.
const MAX_QUEUED_EVENTS: usize = 1024;
/// A write that takes longer is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// An answer to a ping has some twenty bytes.
const READ_BUFFER_BYTES: usize = 1024;

/// What happened at a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEvent {
    /// The dial succeeded.
    Connected,
    /// The controller wrote something: it is alive.
    Answered,
    /// The dial failed, or the connection ended.
    Lost,
}

/// An event, with the connection that it is of.
struct NumberedEvent {
    controller: String,
    number: u64,
    event: ConnectionEvent,
}

struct Connection {
    number: u64,
    lines: mpsc::Sender<String>,
    _task: Task,
}

/// All connections to controllers; each ends with its entry.
pub struct ControllerConnections {
    connections: BTreeMap<String, Connection>,
    events: mpsc::Sender<NumberedEvent>,
    queued_events: mpsc::Receiver<NumberedEvent>,
    last_number: u64,
    /// Batches of lines that found no room.
    pub dropped_batches: u64,
}

impl ControllerConnections {
    /// None yet.
    pub fn new() -> Self {
        let (events, queued_events) = mpsc::channel(MAX_QUEUED_EVENTS);
        let connections = BTreeMap::new();
        ControllerConnections { connections, events, queued_events, last_number: 0, dropped_batches: 0 }
    }

    /// Begins to dial; a former connection ends.
    pub fn connect(&mut self, controller: &str, address: SocketAddr) {
        self.last_number += 1;
        let (number, events) = (self.last_number, self.events.clone());
        let (lines, queued_lines) = mpsc::channel(MAX_UNWRITTEN_BATCHES);
        let task = Task::spawn(serve(controller.to_string(), number, address, queued_lines, events));
        self.connections.insert(controller.into(), Connection { number, lines, _task: task });
    }

    /// Ends a connection or a dial.
    pub fn disconnect(&mut self, controller: &str) {
        self.connections.remove(controller);
    }

    /// Writes lines; false where the controller reads too slowly, and its connection is ended.
    pub fn send(&mut self, controller: &str, lines: String) -> bool {
        let Some(connection) = self.connections.get(controller) else { return true };
        if connection.lines.try_send(lines).is_ok() {
            return true;
        }
        self.dropped_batches += 1;
        self.connections.remove(controller);
        false
    }

    /// The next event; those of former connections are left out.
    pub async fn next_event(&mut self) -> (String, ConnectionEvent) {
        loop {
            // This end holds a sender, so there is always a next one.
            let Some(NumberedEvent { controller, number, event }) = self.queued_events.recv().await else {
                std::future::pending().await
            };
            if self.connections.get(&controller).is_none_or(|connection| connection.number != number) {
                continue;
            }
            if event == ConnectionEvent::Lost {
                self.connections.remove(&controller);
            }
            return (controller, event);
        }
    }
}

async fn serve(
    controller: String,
    number: u64,
    address: SocketAddr,
    lines: mpsc::Receiver<String>,
    events: mpsc::Sender<NumberedEvent>,
) {
    let notify = async |event| {
        let event = NumberedEvent { controller: controller.clone(), number, event };
        events.send(event).await.is_ok()
    };
    if let Err(reason) = write_lines(address, lines, &notify).await {
        tracing::debug!(controller, %reason, "controller connection lost");
    }
    notify(ConnectionEvent::Lost).await;
}

async fn write_lines(
    address: SocketAddr,
    mut lines: mpsc::Receiver<String>,
    notify: &impl AsyncFn(ConnectionEvent) -> bool,
) -> Result<(), ConnectionError> {
    let mut stream = whinwall_transport::connect(address).await?;
    if !notify(ConnectionEvent::Connected).await {
        return Ok(());
    }
    let (mut reads, mut writes) = stream.split();
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        tokio::select! {
            text = lines.recv() => {
                let Some(text) = text else { return Ok(()) };
                let written = timeout(WRITE_TIMEOUT, writes.write_all(text.as_bytes())).await;
                written.map_err(|_| ConnectionError::WriteTimedOut)??;
            }
            read = reads.read(&mut buffer) => {
                if read? == 0 {
                    return Err(ConnectionError::Closed);
                }
                if !notify(ConnectionEvent::Answered).await {
                    return Ok(());
                }
            }
        }
    }
}
