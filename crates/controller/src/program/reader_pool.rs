//! The reader pool, as its owner on the event loop's thread sees it: it assigns connections to readers, restores the
//! order of each connection's batches, and supervises the readers. What a stopped reader leaves behind is closed.

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

/// Abandoned threads that may still run, for each reader.
const MAX_ABANDONED_PER_READER: usize = 4;
/// Connections that may wait for one reader.
const ARRIVAL_QUEUE: usize = 64;
/// Batches that may wait for the owner; each is a fraction of a millisecond's work.
pub const BATCH_QUEUE: usize = 64;
/// A chunk that is missing for longer is with a reader that has stopped.
const CHUNK_TIMEOUT: Span = Span::ms(1000);

struct Reader {
    /// Incremented by the thread as long as it runs.
    heartbeat: Arc<AtomicU64>,
    arrivals: mpsc::Sender<AcceptedConnection>,
    thread: JoinHandle<()>,
}

/// What the pool serves, and with what.
pub struct PoolConfig {
    /// The number of reader threads.
    pub readers: usize,
    /// The clock of the decisions.
    pub clock: Clock,
    /// What all connections together may cost.
    pub bounds: Bounds,
    /// Where the ends of connections are announced.
    pub inbox: InputSender,
    /// Where the work is counted.
    pub metrics: Arc<ReaderMetrics>,
    /// Called at each stage of the work.
    pub hook: StageHook,
}

/// The owner's side of the readers.
pub struct ReaderPool {
    context: ReaderContext,
    readers: Vec<Reader>,
    /// Threads that were replaced and still run: each may hold a runtime and a chunk.
    abandoned: Vec<JoinHandle<()>>,
    partitioner: Partitioner,
    liveness: LivenessMonitor,
    reorder: ReorderBuffer<ReportBatch>,
    /// A second descriptor of each connection, which can be closed though its reader has stopped.
    sockets: BTreeMap<ConnectionId, std::net::TcpStream>,
    names: watch::Sender<Arc<ReportNames>>,
}

/// How much a pool holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSize {
    /// Open connections.
    pub connections: usize,
    /// Batches that wait for an earlier one of their connection.
    pub early_batches: usize,
}

/// What happened to the readers of a pool.
#[derive(Debug)]
pub enum PoolEvent {
    /// A reader makes no progress; so many connections were closed.
    ReaderStalled {
        /// The reader.
        reader: ReaderId,
        /// How many connections it had.
        connections: usize,
    },
    /// A reader's thread has ended; so many connections were closed.
    ReaderDied {
        /// The reader.
        reader: ReaderId,
        /// How many connections it had.
        connections: usize,
    },
    /// A reader has a new thread.
    ReaderRestarted {
        /// The reader.
        reader: ReaderId,
    },
    /// A reader has no new thread yet.
    ReaderNotRestarted {
        /// The reader.
        reader: ReaderId,
        /// The error of the system.
        error: std::io::Error,
    },
    /// A stopped reader has chunks of so many other connections, which were closed.
    ChunksOverdue {
        /// How many connections.
        connections: usize,
    },
    /// These connections were closed; what they sent and was not applied is lost, and their peers send it again.
    ConnectionsLost(Vec<ConnectionId>),
}

impl ReaderPool {
    /// Starts the readers; the receiver yields their batches, in any order.
    ///
    /// # Errors
    /// Where a thread cannot be started.
    pub fn start(config: PoolConfig) -> std::io::Result<(Self, mpsc::Receiver<ReportBatch>)> {
        let PoolConfig { readers, clock, bounds, inbox, metrics, hook } = config;
        let (chunk_sender, chunks) = async_channel::bounded(limits::MAX_QUEUED_CHUNKS);
        let (batches, batch_receiver) = mpsc::channel(BATCH_QUEUE);
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
        let (arrivals, arrival_receiver) = mpsc::channel(ARRIVAL_QUEUE);
        let heartbeat = Arc::new(AtomicU64::new(0));
        let (context, counter) = (self.context.clone(), heartbeat.clone());
        let thread = std::thread::Builder::new()
            .name(format!("reader-{reader}"))
            .spawn(move || run_reader(reader, context, arrival_receiver, counter))?;
        Ok(Reader { heartbeat, arrivals, thread })
    }

    /// Abandoned threads may block for long, but their number is bounded.
    fn may_start_reader(&mut self) -> bool {
        self.abandoned.retain(|thread| !thread.is_finished());
        self.abandoned.len() < self.readers.len() * MAX_ABANDONED_PER_READER
    }

    /// Hands a connection to a reader; false where none takes it.
    fn assign(&mut self, arrival: AcceptedConnection) -> bool {
        let id = arrival.id;
        let Ok(socket) = arrival.stream.try_clone() else { return false };
        let Some(reader) = self.partitioner.assign(id) else { return false };
        if self.readers[reader].arrivals.try_send(arrival).is_err() {
            self.partitioner.remove(id);
            return false;
        }
        self.reorder.open_connection(id);
        self.sockets.insert(id, socket);
        true
    }

    /// How much the pool holds now.
    pub fn size(&self) -> PoolSize {
        let reorder = self.reorder.size();
        PoolSize {
            connections: self.sockets.len().max(reorder.connections),
            early_batches: reorder.early_chunks,
        }
    }

    /// Gives the readers new names to decode with.
    pub fn publish_names(&self, names: ReportNames) {
        self.names.send_replace(Arc::new(names));
    }

    /// The version of the names that the readers decode with.
    pub fn names_version(&self) -> u64 {
        self.names.borrow().version
    }

    /// Takes a batch from a reader, and returns those of its connection that are ready, in order.
    pub fn accept_batch(&mut self, now: Moment, batch: ReportBatch) -> ReadyChunks<ReportBatch> {
        let (from, number) = (batch.info.from, batch.info.number);
        self.partitioner.add_bytes(from, batch.info.bytes);
        self.reorder.insert_chunk(now, from, number, batch)
    }

    /// The connection has ended after so many chunks.
    pub fn end_connection(&mut self, now: Moment, id: ConnectionId, chunks: u64) -> ReadyChunks<ReportBatch> {
        self.partitioner.remove(id);
        self.sockets.remove(&id);
        self.reorder.end_connection(now, id, chunks)
    }

    fn close_connections(&mut self, ids: Vec<ConnectionId>) -> PoolEvent {
        for id in &ids {
            self.reorder.abandon_connection(*id);
            self.partitioner.remove(*id);
            if let Some(socket) = self.sockets.remove(id) {
                // It fails where the peer has closed the connection already.
                _ = socket.shutdown(Shutdown::Both);
            }
        }
        PoolEvent::ConnectionsLost(ids)
    }

    /// Replaces readers that have stopped and closes their connections, so that no peer waits for what they hold.
    pub fn supervise(&mut self, now: Moment) -> Vec<PoolEvent> {
        let mut events = Vec::new();
        self.liveness.begin_check(now);
        self.partitioner.decay_load();
        for reader in 0..self.readers.len() {
            let heartbeat = self.readers[reader].heartbeat.load(Ordering::Relaxed);
            let is_running = !self.readers[reader].thread.is_finished();
            match self.liveness.check(now, reader, heartbeat, is_running) {
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
            // Where every thread blocks, more of them would only pile up.
            self.liveness.postpone_restart(now, reader);
            return None;
        }
        match self.start_reader(reader) {
            Ok(new) => {
                let former = std::mem::replace(&mut self.readers[reader], new);
                self.abandoned.push(former.thread);
                self.partitioner.enable(reader);
                Some(PoolEvent::ReaderRestarted { reader })
            }
            Err(error) => Some(PoolEvent::ReaderNotRestarted { reader, error }),
        }
    }

    fn stop_reader(&mut self, reader: ReaderId, stopped: ReaderEvent) -> [PoolEvent; 2] {
        self.context.metrics.count_reader_event(reader, stopped);
        // It gets no more connections; its thread ends as soon as it makes progress.
        let (closed, _) = mpsc::channel(1);
        self.readers[reader].arrivals = closed;
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

/// The listener's handle of the pool, on the owner's thread.
pub struct PoolHandle(pub Rc<RefCell<ReaderPool>>);

impl listener::Readers for PoolHandle {
    fn hand_over(&self, arrival: AcceptedConnection) -> bool {
        self.0.borrow_mut().assign(arrival)
    }
}
