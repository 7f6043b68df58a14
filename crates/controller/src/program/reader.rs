//! A reader: a thread that reads the connections handed to it, and decodes chunks of whole lines from the queue that
//! all readers share, whichever of them read the chunk. A batch holds all that comes of a chunk, or does not exist.

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
/// Added to the nice value of a reader's thread: the event loop takes little time and must get it at once.
const READER_NICENESS: i32 = 5;

/// What came of one chunk, in the order of its lines.
#[derive(Debug)]
pub struct ReportBatch {
    /// Which chunk of which connection it was.
    pub info: ChunkInfo,
    /// When the last byte of the chunk was read.
    pub arrived_at: Moment,
    /// The reader that decoded it.
    pub reader: ReaderId,
    /// The messages of the chunk.
    pub items: Vec<BatchItem>,
    /// Where commands for the connection go.
    pub commands: mpsc::Sender<ConnectionCommand>,
    /// The share of the memory for lines that wait; released when the batch is dropped.
    _memory: OwnedSemaphorePermit,
}

/// A part of a batch.
#[derive(Debug)]
pub enum BatchItem {
    /// Reports with nothing else between them; those of the same subject are summed.
    Reports(Vec<Report>),
    /// A message that is not a report, or a report that names something unknown to the reader.
    Message(Message),
    /// A line that is not a valid message.
    Invalid(InvalidMessage),
    /// Decoding panicked, and nothing of the chunk counts.
    Panicked,
}

/// A point in a reader's work; tests block or panic there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderStage {
    /// A connection was handed to it.
    Connected,
    /// It has taken a chunk from the queue, and decoded nothing of it.
    ChunkTaken,
    /// Half of the chunk is decoded.
    HalfDecoded,
    /// The chunk is decoded, and its batch not sent.
    Decoded,
}

/// Called at each stage.
pub type StageHook = Arc<dyn Fn(ReaderId, ReaderStage) + Send + Sync>;

/// What all readers of a pool share.
#[derive(Clone)]
pub(super) struct ReaderContext {
    pub(super) clock: Clock,
    pub(super) bounds: Bounds,
    pub(super) names: watch::Receiver<Arc<ReportNames>>,
    /// Both ends of the queue of chunks.
    pub(super) chunks: async_channel::Receiver<Chunk>,
    pub(super) chunk_queue: ChunkSender,
    pub(super) batches: mpsc::Sender<ReportBatch>,
    pub(super) inbox: InputSender,
    pub(super) hook: StageHook,
    pub(super) metrics: Arc<ReaderMetrics>,
}

/// Reads and decodes until the sender of arrivals is dropped.
pub(super) fn run_reader(
    reader: ReaderId,
    context: ReaderContext,
    mut arrivals: mpsc::Receiver<AcceptedConnection>,
    heartbeat: Arc<AtomicU64>,
) {
    // On Linux a thread has a nice value of its own; elsewhere all threads stay equal.
    _ = rustix::process::nice(READER_NICENESS);
    // All tasks end with the system, and so with the thread.
    actix_rt::System::new().block_on(async move {
        actix_rt::spawn(send_heartbeats(heartbeat));
        actix_rt::spawn(decode_chunks(reader, context.clone()));
        while let Some(arrival) = arrivals.recv().await {
            (context.hook)(reader, ReaderStage::Connected);
            let (bounds, inbox) = (context.bounds.clone(), context.inbox.clone());
            actix_rt::spawn(connection::read(arrival, bounds, inbox, Some(context.chunk_queue.clone())));
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
        // The connections of this reader have to be read too.
        tokio::task::yield_now().await;
    }
}

fn decode_chunk(reader: ReaderId, context: &ReaderContext, chunk: Chunk) -> ReportBatch {
    let names = context.names.borrow().clone();
    let Chunk { info, lines, commands, memory_permit } = chunk;
    let arrived_at = context.clock.moment_of(info.received_at);
    let began = Instant::now();
    let hook = |stage| (context.hook)(reader, stage);
    let decoded = catch_unwind(AssertUnwindSafe(|| decode_lines(&lines, arrived_at, &names, hook)));
    let items = decoded.unwrap_or_else(|_| {
        context.metrics.count_panic(reader);
        vec![BatchItem::Panicked]
    });
    let line_count = lines.iter().filter(|byte| **byte == b'\n').count();
    context.metrics.count_chunk(reader, lines.len(), line_count, began);
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
        let Ok(line) = std::str::from_utf8(without_line_end(line)) else {
            push_reports(&mut items, &mut reports, arrived_at);
            items.push(BatchItem::Invalid(InvalidMessage::not_utf8()));
            continue;
        };
        if let Some(report) = collector::decode_report(line).and_then(|report| names.resolve(&report)) {
            reports.add(report);
            continue;
        }
        // It is no report, is invalid, or names something unknown here.
        let item = collector::decode(line).map_or_else(BatchItem::Invalid, BatchItem::Message);
        push_reports(&mut items, &mut reports, arrived_at);
        items.push(item);
    }
    push_reports(&mut items, &mut reports, arrived_at);
    hook(ReaderStage::Decoded);
    items
}

fn without_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Ends a run of reports, if there is one.
fn push_reports(items: &mut Vec<BatchItem>, reports: &mut ReportAggregator, arrived_at: Moment) {
    if !reports.is_empty() {
        let run = std::mem::replace(reports, ReportAggregator::new(arrived_at));
        items.push(BatchItem::Reports(run.into_reports()));
    }
}
