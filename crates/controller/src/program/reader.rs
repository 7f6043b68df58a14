//! A reader: a thread that reads the connections assigned to it, and decodes chunks of complete lines. All readers
//! share one queue of chunks, so a chunk may be decoded by another reader than the one that read it. A batch holds
//! the complete result of a chunk; there are no partial batches.

use super::metrics::ReaderMetrics;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit};
use whinwall_ingest::aggregate::ReportAggregator;
use whinwall_ingest::ReaderId;
use whinwall_policy::api::Report;
use whinwall_policy::time::Moment;
use whinwall_protocol::collector::{self, Message};
use whinwall_protocol::InvalidMessage;
use whinwall_routing::report_names::ReportNames;
use whinwall_runtime::clock::Clock;
use whinwall_transport::connection::{self, AcceptedConnection, ChunkSender};
use whinwall_transport::{Bounds, Chunk, ChunkInfo, ConnectionCommand, InputSender};

/// Time between two heartbeats of a reader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Added to the nice value of a reader thread: the event loop needs little processor time, but must get it without
/// delay.
const READER_NICENESS: i32 = 5;

/// The decoded contents of one chunk, in the order of its lines.
#[derive(Debug)]
pub struct ReportBatch {
    /// The connection and the number of the chunk.
    pub info: ChunkInfo,
    /// Time at which the last byte of the chunk was read.
    pub arrived_at: Moment,
    /// The reader that decoded it.
    pub reader: ReaderId,
    /// The decoded lines of the chunk.
    pub items: Vec<BatchItem>,
    /// Sender of commands to the connection.
    pub commands: mpsc::Sender<ConnectionCommand>,
    /// The batch's part of the memory for queued lines; released when the batch is dropped.
    _memory: OwnedSemaphorePermit,
}

/// A part of a batch.
#[derive(Debug)]
pub enum BatchItem {
    /// Consecutive reports; reports on the same subject are summed.
    Reports(Vec<Report>),
    /// A message that is not a report, or a report with a name that is unknown to the reader.
    Message(Message),
    /// A malformed line.
    Invalid(InvalidMessage),
    /// Decoding panicked; the whole chunk is discarded.
    Panicked,
}

/// A stage in the work of a reader. Tests block or panic at these stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderStage {
    /// A connection was assigned to the reader.
    Connected,
    /// The reader has taken a chunk from the queue, and has not started to decode it.
    ChunkTaken,
    /// Half of the chunk is decoded.
    HalfDecoded,
    /// The chunk is decoded, and its batch is not sent yet.
    Decoded,
}

/// Called at each stage of a reader's work.
pub type StageHook = Arc<dyn Fn(ReaderId, ReaderStage) + Send + Sync>;

/// State shared by all readers of a pool.
#[derive(Clone)]
pub(super) struct ReaderContext {
    pub(super) clock: Clock,
    pub(super) bounds: Bounds,
    pub(super) names: watch::Receiver<Arc<ReportNames>>,
    /// The receiving end of the queue of chunks; `chunk_queue` is the sending end.
    pub(super) chunks: async_channel::Receiver<Chunk>,
    pub(super) chunk_queue: ChunkSender,
    pub(super) batches: mpsc::Sender<ReportBatch>,
    pub(super) inbox: InputSender,
    pub(super) hook: StageHook,
    pub(super) metrics: Arc<ReaderMetrics>,
}

/// Reads connections and decodes chunks until the sender of new connections is dropped.
pub(super) fn run_reader(
    reader: ReaderId,
    context: ReaderContext,
    mut new_connections: mpsc::Receiver<AcceptedConnection>,
    heartbeat: Arc<AtomicU64>,
) {
    // On Linux, the nice value applies to this thread alone; on other systems, all threads keep the same priority.
    _ = rustix::process::nice(READER_NICENESS);
    // The tasks end when the system is dropped at the end of the thread.
    actix_rt::System::new().block_on(async move {
        actix_rt::spawn(send_heartbeats(heartbeat));
        actix_rt::spawn(decode_chunks(reader, context.clone()));
        while let Some(accepted) = new_connections.recv().await {
            (context.hook)(reader, ReaderStage::Connected);
            let (bounds, inbox) = (context.bounds.clone(), context.inbox.clone());
            actix_rt::spawn(connection::read(accepted, bounds, inbox, Some(context.chunk_queue.clone())));
        }
    });
}

async fn send_heartbeats(heartbeat: Arc<AtomicU64>) {
    loop {
        heartbeat.fetch_add(1, Ordering::Relaxed);
        actix_rt::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn decode_chunks(reader: ReaderId, context: ReaderContext) {
    while let Ok(chunk) = context.chunks.recv().await {
        let batch = decode_chunk(reader, &context, chunk);
        if context.batches.send(batch).await.is_err() {
            return;
        }
        // Yields to the tasks that read the connections of this reader.
        tokio::task::yield_now().await;
    }
}

fn decode_chunk(reader: ReaderId, context: &ReaderContext, chunk: Chunk) -> ReportBatch {
    let names = context.names.borrow().clone();
    let Chunk { info, lines, commands, memory_permit } = chunk;
    let arrived_at = context.clock.moment_of(info.received_at);
    let started_at = Instant::now();
    let hook = |stage| (context.hook)(reader, stage);
    let decoded = catch_unwind(AssertUnwindSafe(|| decode_lines(&lines, arrived_at, &names, hook)));
    let items = decoded.unwrap_or_else(|_| {
        context.metrics.count_panic(reader);
        vec![BatchItem::Panicked]
    });
    let line_count = lines.iter().filter(|byte| **byte == b'\n').count();
    context.metrics.count_chunk(reader, lines.len(), line_count, started_at);
    ReportBatch { info, arrived_at, reader, items, commands, _memory: memory_permit }
}

fn decode_lines(
    lines: &[u8],
    arrived_at: Moment,
    names: &ReportNames,
    hook: impl Fn(ReaderStage),
) -> Vec<BatchItem> {
    hook(ReaderStage::ChunkTaken);
    let mut items = Vec::new();
    let mut reports = ReportAggregator::new(arrived_at);
    let (mut decoded_bytes, mut halfway) = (0, lines.len() / 2);
    for line in lines.split_inclusive(|byte| *byte == b'\n') {
        decoded_bytes += line.len();
        if decoded_bytes > halfway {
            halfway = usize::MAX;
            hook(ReaderStage::HalfDecoded);
        }
        let Ok(line) = std::str::from_utf8(strip_line_ending(line)) else {
            flush_reports(&mut items, &mut reports, arrived_at);
            items.push(BatchItem::Invalid(InvalidMessage::not_utf8()));
            continue;
        };
        if let Some(report) = collector::decode_report(line).and_then(|report| names.resolve(&report)) {
            reports.add(report);
            continue;
        }
        // The line is not a report, is malformed, or is a report with a name that is unknown to the reader.
        let item = collector::decode(line).map_or_else(BatchItem::Invalid, BatchItem::Message);
        flush_reports(&mut items, &mut reports, arrived_at);
        items.push(item);
    }
    flush_reports(&mut items, &mut reports, arrived_at);
    hook(ReaderStage::Decoded);
    items
}

fn strip_line_ending(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Appends the collected consecutive reports as one item, if there are any.
fn flush_reports(items: &mut Vec<BatchItem>, reports: &mut ReportAggregator, arrived_at: Moment) {
    if !reports.is_empty() {
        let collected = std::mem::replace(reports, ReportAggregator::new(arrived_at));
        items.push(BatchItem::Reports(collected.into_reports()));
    }
}
