//! The reader pool. It runs on the event loop thread, assigns connections to readers, restores the order of the
//! batches of each connection, and supervises the readers. The connections of a stopped reader are closed.

use super::metrics::{PoolBacklog, ReaderMetrics};
use super::reader::{run_reader, ReaderContext, ReportBatch, StageHook};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::sync::{mpsc, watch};
use whinwall_ingest::liveness::{LivenessMonitor, ReaderEvent};
use whinwall_ingest::partition::Partitioner;
use whinwall_ingest::reorder::{ReadyChunks, ReorderBuffer};
use whinwall_ingest::ReaderId;
use whinwall_policy::time::{Moment, Span};
use whinwall_routing::report_names::ReportNames;
use whinwall_runtime::clock::Clock;
use whinwall_transport::connection::{AcceptedConnection, ChunkSender};
use whinwall_transport::{limits, listener, Bounds, ConnectionId, InputSender};

/// Maximum number of abandoned threads that are still running, per reader of the pool.
const MAX_ABANDONED_PER_READER: usize = 4;
/// Capacity of the queue of new connections of one reader.
const MAX_QUEUED_CONNECTIONS: usize = 64;
/// Capacity of the queue of decoded batches; the event loop handles one in a fraction of a millisecond.
pub const MAX_QUEUED_BATCHES: usize = 64;
/// Time after which a missing chunk is assumed to be held by a stopped reader.
const CHUNK_TIMEOUT: Span = Span::ms(1000);

struct Reader {
    /// Incremented periodically by the thread while it makes progress.
    heartbeat: Arc<AtomicU64>,
    new_connections: mpsc::Sender<AcceptedConnection>,
    thread: JoinHandle<()>,
}

/// The configuration of a reader pool.
pub struct PoolConfig {
    /// The number of reader threads.
    pub readers: usize,
    /// The clock that arrival times are taken from.
    pub clock: Clock,
    /// Limits on the number of connections and on the memory of all connections together.
    pub bounds: Bounds,
    /// Receives the ends of connections.
    pub inbox: InputSender,
    /// The metrics of the readers.
    pub metrics: Arc<ReaderMetrics>,
    /// Called at each stage of a reader's work.
    pub hook: StageHook,
}

/// A pool of reader threads.
pub struct ReaderPool {
    context: ReaderContext,
    readers: Vec<Reader>,
    /// Replaced threads that are still running. Each may hold a runtime and a chunk.
    abandoned: Vec<JoinHandle<()>>,
    partitioner: Partitioner,
    liveness: LivenessMonitor,
    reorder: ReorderBuffer<ReportBatch>,
    /// A duplicated descriptor of each connection, used to close it when its reader has stopped.
    sockets: BTreeMap<ConnectionId, std::net::TcpStream>,
    names: watch::Sender<Arc<ReportNames>>,
}

/// The number of connections and early batches of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSize {
    /// Open connections.
    pub connections: usize,
    /// Batches that wait for an earlier batch of their connection.
    pub early_batches: usize,
}

/// An event found while supervising the readers of a pool.
#[derive(Debug)]
pub enum PoolEvent {
    /// A reader makes no progress; its connections were closed.
    ReaderStalled {
        /// The reader.
        reader: ReaderId,
        /// Number of closed connections.
        connections: usize,
    },
    /// The thread of a reader has terminated; its connections were closed.
    ReaderDied {
        /// The reader.
        reader: ReaderId,
        /// Number of closed connections.
        connections: usize,
    },
    /// A new thread was started for a reader.
    ReaderRestarted {
        /// The reader.
        reader: ReaderId,
    },
    /// Starting a new thread for a reader failed.
    ReaderNotRestarted {
        /// The reader.
        reader: ReaderId,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A stopped reader holds chunks of further connections; these connections were closed.
    ChunksOverdue {
        /// Number of closed connections.
        connections: usize,
    },
    /// These connections were closed. Input that was not applied yet is lost; the peers send it again.
    ConnectionsLost(Vec<ConnectionId>),
}

impl ReaderPool {
    /// Starts the readers. The returned receiver yields their batches in no particular order.
    ///
    /// # Errors
    /// If a thread cannot be started.
    pub fn start(config: PoolConfig) -> std::io::Result<(Self, mpsc::Receiver<ReportBatch>)> {
        let PoolConfig { readers, clock, bounds, inbox, metrics, hook } = config;
        let (chunk_sender, chunks) = async_channel::bounded(limits::MAX_QUEUED_CHUNKS);
        let (batches, batch_receiver) = mpsc::channel(MAX_QUEUED_BATCHES);
        let (names, names_receiver) = watch::channel(Arc::new(ReportNames::default()));
        let context = ReaderContext {
            clock,
            bounds,
            names: names_receiver,
            chunks,
            chunk_queue: ChunkSender { chunks: chunk_sender },
            batches,
            inbox,
            hook,
            metrics,
        };
        let mut pool = ReaderPool {
            context,
            readers: Vec::new(),
            abandoned: Vec::new(),
            partitioner: Partitioner::new(readers),
            liveness: LivenessMonitor::new(readers, clock.now()),
            reorder: ReorderBuffer::new(CHUNK_TIMEOUT),
            sockets: BTreeMap::new(),
            names,
        };
        for reader in 0..readers {
            let reader = pool.start_reader(reader)?;
            pool.readers.push(reader);
        }
        Ok((pool, batch_receiver))
    }

    fn start_reader(&self, reader: ReaderId) -> std::io::Result<Reader> {
        let (new_connections, connection_receiver) = mpsc::channel(MAX_QUEUED_CONNECTIONS);
        let heartbeat = Arc::new(AtomicU64::new(0));
        let (context, counter) = (self.context.clone(), heartbeat.clone());
        let thread = std::thread::Builder::new()
            .name(format!("reader-{reader}"))
            .spawn(move || run_reader(reader, context, connection_receiver, counter))?;
        Ok(Reader { heartbeat, new_connections, thread })
    }

    /// Returns true if another thread may be started. Abandoned threads may block for a long time, so their number is
    /// limited.
    fn may_start_reader(&mut self) -> bool {
        self.abandoned.retain(|thread| !thread.is_finished());
        self.abandoned.len() < self.readers.len() * MAX_ABANDONED_PER_READER
    }

    /// Assigns a connection to a reader. Returns false if no reader can accept it.
    fn assign(&mut self, accepted: AcceptedConnection) -> bool {
        let id = accepted.id;
        let Ok(socket) = accepted.stream.try_clone() else { return false };
        let Some(reader) = self.partitioner.assign(id) else { return false };
        if self.readers[reader].new_connections.try_send(accepted).is_err() {
            self.partitioner.remove(id);
            return false;
        }
        self.reorder.open_connection(id);
        self.sockets.insert(id, socket);
        true
    }

    /// Returns the current size of the pool.
    pub fn size(&self) -> PoolSize {
        let reorder = self.reorder.size();
        PoolSize {
            connections: self.sockets.len().max(reorder.connections),
            early_batches: reorder.early_chunks,
        }
    }

    /// Publishes the names that the readers use to decode reports.
    pub fn publish_names(&self, names: ReportNames) {
        self.names.send_replace(Arc::new(names));
    }

    /// Returns the version of the published names.
    pub fn names_version(&self) -> u64 {
        self.names.borrow().version
    }

    /// Accepts a batch from a reader, and returns the batches of its connection that are ready, in order.
    pub fn accept_batch(&mut self, now: Moment, batch: ReportBatch) -> ReadyChunks<ReportBatch> {
        let (from, number) = (batch.info.from, batch.info.number);
        self.partitioner.add_bytes(from, batch.info.bytes);
        self.reorder.insert_chunk(now, from, number, batch)
    }

    /// Records that a connection has ended after `chunk_count` chunks, and returns its batches that are ready.
    pub fn end_connection(
        &mut self,
        now: Moment,
        id: ConnectionId,
        chunk_count: u64,
    ) -> ReadyChunks<ReportBatch> {
        self.partitioner.remove(id);
        self.sockets.remove(&id);
        self.reorder.end_connection(now, id, chunk_count)
    }

    fn close_connections(&mut self, ids: Vec<ConnectionId>) -> PoolEvent {
        for id in &ids {
            self.reorder.abandon_connection(*id);
            self.partitioner.remove(*id);
            if let Some(socket) = self.sockets.remove(id) {
                // Fails if the peer has already closed the connection.
                _ = socket.shutdown(Shutdown::Both);
            }
        }
        PoolEvent::ConnectionsLost(ids)
    }

    /// Closes the connections of readers that have stopped, so that their peers reconnect instead of waiting, and
    /// restarts these readers.
    pub fn supervise(&mut self, now: Moment) -> Vec<PoolEvent> {
        let mut events = Vec::new();
        self.liveness.begin_check(now);
        self.partitioner.decay_load();
        for reader in 0..self.readers.len() {
            let heartbeat = self.readers[reader].heartbeat.load(Ordering::Relaxed);
            let is_running = !self.readers[reader].thread.is_finished();
            match self.liveness.check_reader(now, reader, heartbeat, is_running) {
                None => {}
                Some(ReaderEvent::RestartDue) => events.extend(self.restart_reader(now, reader)),
                Some(stopped) => events.extend(self.stop_reader(reader, stopped)),
            }
        }
        let overdue = self.reorder.take_overdue(now);
        if !overdue.is_empty() {
            events.push(PoolEvent::ChunksOverdue { connections: overdue.len() });
            events.push(self.close_connections(overdue));
        }
        self.update_metrics();
        events
    }

    fn restart_reader(&mut self, now: Moment, reader: ReaderId) -> Option<PoolEvent> {
        if !self.may_start_reader() {
            // If all threads block, starting more would only accumulate blocked threads.
            self.liveness.postpone_restart(now, reader);
            return None;
        }
        match self.start_reader(reader) {
            Ok(new) => {
                let replaced = std::mem::replace(&mut self.readers[reader], new);
                self.abandoned.push(replaced.thread);
                self.partitioner.enable(reader);
                Some(PoolEvent::ReaderRestarted { reader })
            }
            Err(error) => Some(PoolEvent::ReaderNotRestarted { reader, error }),
        }
    }

    fn stop_reader(&mut self, reader: ReaderId, stopped: ReaderEvent) -> [PoolEvent; 2] {
        self.context.metrics.count_reader_event(reader, stopped);
        // Dropping the sender prevents new connections, and ends the thread as soon as it makes progress.
        let (closed, _) = mpsc::channel(1);
        self.readers[reader].new_connections = closed;
        let lost = self.partitioner.disable(reader);
        let connections = lost.len();
        let event = match stopped {
            ReaderEvent::Died => PoolEvent::ReaderDied { reader, connections },
            _ => PoolEvent::ReaderStalled { reader, connections },
        };
        [event, self.close_connections(lost)]
    }

    fn update_metrics(&self) {
        let backlog = PoolBacklog {
            queued_chunks: self.context.chunks.len(),
            early_batches: self.reorder.size().early_chunks,
            late_batches: self.reorder.late_chunks(),
        };
        self.context.metrics.set_backlog(backlog, |reader| self.partitioner.connections_of(reader));
    }
}

/// The handle that the listener uses to assign connections to the pool, on the event loop thread.
pub struct PoolHandle(pub Rc<RefCell<ReaderPool>>);

impl listener::Readers for PoolHandle {
    fn hand_over(&self, accepted: AcceptedConnection) -> bool {
        self.0.borrow_mut().assign(accepted)
    }
}
