//! Connections to controllers. Each has a task that connects, writes report lines and reports answers.

use super::error::ConnectionError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;
use whinwall_runtime::task::Task;

/// Maximum number of pending batches per controller. One batch is sent per second, so a controller that is this many
/// batches behind has stopped reading.
const MAX_UNWRITTEN_BATCHES: usize = 4;
/// Maximum number of queued events of all controllers.
const MAX_QUEUED_EVENTS: usize = 1024;
/// A write that takes longer ends the connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the read buffer; an answer to a ping has about 20 bytes.
const READ_BUFFER_BYTES: usize = 1024;

/// An event of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEvent {
    /// The connection was established.
    Connected,
    /// The controller sent data, so it is alive.
    Answered,
    /// The attempt to connect failed, or the connection ended.
    Lost,
}

/// An event with the number of its connection.
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

/// All connections to controllers. Removing an entry closes its connection.
pub struct ControllerConnections {
    connections: BTreeMap<String, Connection>,
    events: mpsc::Sender<NumberedEvent>,
    queued_events: mpsc::Receiver<NumberedEvent>,
    last_number: u64,
    /// Number of batches dropped because the queue of a controller was full.
    pub dropped_batches: u64,
}

impl ControllerConnections {
    /// Creates an empty set of connections.
    pub fn new() -> Self {
        let (events, queued_events) = mpsc::channel(MAX_QUEUED_EVENTS);
        let connections = BTreeMap::new();
        ControllerConnections { connections, events, queued_events, last_number: 0, dropped_batches: 0 }
    }

    /// Starts to connect to a controller. A previous connection is closed.
    pub fn connect(&mut self, controller: &str, address: SocketAddr) {
        self.last_number += 1;
        let (number, events) = (self.last_number, self.events.clone());
        let (lines, queued_lines) = mpsc::channel(MAX_UNWRITTEN_BATCHES);
        let task = Task::spawn(run_connection(controller.to_string(), number, address, queued_lines, events));
        self.connections.insert(controller.into(), Connection { number, lines, _task: task });
    }

    /// Closes the connection to a controller, or aborts the attempt to connect.
    pub fn disconnect(&mut self, controller: &str) {
        self.connections.remove(controller);
    }

    /// Queues lines for a controller. If its queue is full, closes the connection and returns false.
    pub fn send(&mut self, controller: &str, lines: String) -> bool {
        let Some(connection) = self.connections.get(controller) else { return true };
        if connection.lines.try_send(lines).is_ok() {
            return true;
        }
        self.dropped_batches += 1;
        self.connections.remove(controller);
        false
    }

    /// Waits for the next event. Events of replaced or closed connections are skipped.
    pub async fn next_event(&mut self) -> (String, ConnectionEvent) {
        loop {
            // `self` holds a sender, so the channel is never closed.
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

async fn run_connection(
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
