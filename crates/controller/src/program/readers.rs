//! Readers: threads that take connections to our address, read them, and take chunks of lines apart, each
//! whichever chunk is next, whoever read it. What comes of a chunk is whole or not there. The owner, on the
//! loop's thread, puts the chunks of each connection in order, looks after the readers, and ends what one
//! that stopped has left.

use super::meters::Meters;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit};
use whinwall_ingest::sequence::{Due, Sequence};
use whinwall_ingest::spread::Spread;
use whinwall_ingest::sums::Sums;
use whinwall_ingest::watch::{Found, Watch};
use whinwall_ingest::CoreId;
use whinwall_policy::api::Report;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::{self, Message};
use whinwall_protocol::InvalidMessage;
use whinwall_routing::report_names::ReportNames;
use whinwall_runtime::clock::Clock;
use whinwall_transport::connection::{self, AcceptedConnection, ChunkSender};
use whinwall_transport::listener;
use whinwall_transport::{limits, Bounds, Chunk, ChunkInfo, ConnectionCommand, ConnectionId, InputSender};

/// How often a reader says that it goes on.
const FIGURE: Duration = Duration::from_millis(100);
/// Threads given up that may not have ended yet, for each reader.
const FORMER: usize = 4;
/// Connections on their way to one reader.
const ARRIVALS: usize = 64;
/// Batches on their way to the owner: each is a fraction of a millisecond's work.
pub const BATCHES: usize = 64;
/// A chunk that is missing for so long is with a reader that stopped.
const MISSING: Span = Span::ms(1000);

/// What came of one chunk, in the order of its lines.
#[derive(Debug)]
pub struct Batch {
    pub info: ChunkInfo,
    pub at: Moment,
    pub core: CoreId,
    pub items: Vec<Item>,
    pub back: mpsc::Sender<ConnectionCommand>,
    _weight: OwnedSemaphorePermit,
}

#[derive(Debug)]
pub enum Item {
    /// Reports with nothing else between them, those that are alike summed.
    Reports(Vec<Report>),
    Message(Message),
    Invalid(InvalidMessage),
    /// By a fault of ours it could not be taken apart; nothing of it counts.
    Lost,
}

/// Where in its work a reader is; tests have it stop there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A connection has come to it.
    Arrival,
    /// It has taken a chunk and nothing of it is done yet.
    Taken,
    /// Half of its lines are done.
    Halfway,
    /// All is done, and not said.
    Done,
}

/// Called at each stage.
pub type Hook = Arc<dyn Fn(CoreId, Stage) + Send + Sync>;

/// What all readers share.
#[derive(Clone)]
struct Shared {
    clock: Clock,
    bounds: Bounds,
    known: watch::Receiver<Arc<ReportNames>>,
    chunks: async_channel::Receiver<Chunk>,
    bulk: ChunkSender,
    batches: mpsc::Sender<Batch>,
    inbox: InputSender,
    hook: Hook,
    meters: Arc<Meters>,
}

struct Reader {
    figure: Arc<AtomicU64>,
    arrivals: mpsc::Sender<AcceptedConnection>,
    thread: JoinHandle<()>,
}

/// The owner's side.
pub struct Pool {
    shared: Shared,
    readers: Vec<Reader>,
    /// Threads that were given up and have not ended: each may hold a runtime and a chunk.
    former: Vec<JoinHandle<()>>,
    spread: Spread,
    watch: Watch,
    sequence: Sequence<Batch>,
    /// A second hand on each connection: it can be ended though its reader does not go on.
    taps: BTreeMap<ConnectionId, std::net::TcpStream>,
    known: watch::Sender<Arc<ReportNames>>,
}

/// What the owner has to hear of its readers.
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// These connections are no more; what they said and did not count yet is lost, and will be said anew.
    Lost(Vec<ConnectionId>),
    Note(String),
}

impl Pool {
    pub fn start(
        readers: usize,
        clock: Clock,
        bounds: Bounds,
        inbox: InputSender,
        meters: Arc<Meters>,
        hook: Hook,
    ) -> std::io::Result<(Self, mpsc::Receiver<Batch>)> {
        let (chunks_in, chunks) = async_channel::bounded(limits::MAX_QUEUED_CHUNKS);
        let (batches, come) = mpsc::channel(BATCHES);
        let (known, knows) = watch::channel(Arc::new(ReportNames::default()));
        let bulk = ChunkSender { chunks: chunks_in };
        let shared = Shared { clock, bounds, known: knows, chunks, bulk, batches, inbox, hook, meters };
        let mut pool = Pool {
            readers: Vec::new(),
            former: Vec::new(),
            spread: Spread::over(readers),
            watch: Watch::over(readers, clock.now()),
            sequence: Sequence::new(MISSING),
            taps: BTreeMap::new(),
            known,
            shared,
        };
        for core in 0..readers {
            let reader = pool.reader(core)?;
            pool.readers.push(reader);
        }
        Ok((pool, come))
    }

    fn reader(&self, core: CoreId) -> std::io::Result<Reader> {
        let (arrivals, come) = mpsc::channel(ARRIVALS);
        let figure = Arc::new(AtomicU64::new(0));
        let (shared, grows) = (self.shared.clone(), figure.clone());
        let name = format!("reader-{core}");
        let thread = std::thread::Builder::new().name(name).spawn(move || run(core, shared, come, grows))?;
        Ok(Reader { figure, arrivals, thread })
    }

    /// Of those that were given up some may still stand still, but not without end.
    fn may_start(&mut self) -> bool {
        self.former.retain(|thread| !thread.is_finished());
        self.former.len() < self.readers.len() * FORMER
    }

    fn take(&mut self, arrival: AcceptedConnection) -> bool {
        let id = arrival.id;
        let Ok(tap) = arrival.stream.try_clone() else { return false };
        let Some(core) = self.spread.zone(id) else { return false };
        if self.readers[core].arrivals.try_send(arrival).is_err() {
            self.spread.ended(id);
            return false;
        }
        self.sequence.open(id);
        self.taps.insert(id, tap);
        true
    }

    /// Connections that are known, and chunks that wait for an earlier one.
    pub fn held(&self) -> (usize, usize) {
        (self.taps.len().max(self.sequence.held().0), self.sequence.held().1)
    }

    /// Readers go by this from now on.
    pub fn publish(&self, known: ReportNames) {
        self.known.send_replace(Arc::new(known));
    }

    /// Which state of the names readers have.
    pub fn published(&self) -> u64 {
        self.known.borrow().version
    }

    /// The batches whose turn it is, now that this one has come.
    pub fn come(&mut self, now: Moment, batch: Batch) -> Due<Batch> {
        let (from, number) = (batch.info.from, batch.info.number);
        self.spread.carried(from, batch.info.bytes);
        self.sequence.take(now, from, number, batch)
    }

    /// The connection is through after so many chunks.
    pub fn ends(&mut self, now: Moment, id: ConnectionId, chunks: u64) -> Due<Batch> {
        self.spread.ended(id);
        self.taps.remove(&id);
        self.sequence.ends(now, id, chunks)
    }

    fn lose(&mut self, ids: Vec<ConnectionId>) -> Vec<ConnectionId> {
        for id in &ids {
            self.sequence.give_up(*id);
            self.spread.ended(*id);
            _ = self.taps.remove(id).map(|tap| tap.shutdown(Shutdown::Both));
        }
        ids
    }

    /// Looks after the readers: one that stopped is replaced, its connections end, and nobody waits for what
    /// it had in hand.
    pub fn look(&mut self, now: Moment) -> Vec<Heard> {
        let mut heard = Vec::new();
        self.watch.begin(now);
        self.spread.beat();
        let meters = self.shared.meters.clone();
        for core in 0..self.readers.len() {
            let reader = &self.readers[core];
            let (figure, incarnations) =
                (reader.figure.load(Ordering::Relaxed), !reader.thread.is_finished());
            match self.watch.look(now, core, figure, incarnations) {
                None => {}
                Some(Found::Again) if !self.may_start() => {
                    // Where each one stands still, more of them are no help and would pile up.
                    self.watch.postpone(now, core);
                }
                Some(Found::Again) => match self.reader(core) {
                    Ok(reader) => {
                        let former = std::mem::replace(&mut self.readers[core], reader);
                        self.former.push(former.thread);
                        self.spread.up(core);
                        heard.push(Heard::Note(format!("reader {core} is started again")));
                    }
                    Err(why) => heard.push(Heard::Note(format!("reader {core} can't be started: {why}"))),
                },
                Some(found) => {
                    meters.stopped(core, found);
                    // It gets no more connections; its thread ends as soon as it goes on.
                    let (nobody, _) = mpsc::channel(1);
                    self.readers[core].arrivals = nobody;
                    let lost = self.spread.down(core);
                    let (many, word) =
                        (lost.len(), if found == Found::Dead { "is dead" } else { "is stalled" });
                    heard.push(Heard::Note(format!("reader {core} {word}; {many} connections end with it")));
                    heard.push(Heard::Lost(self.lose(lost)));
                }
            }
        }
        let overdue = self.sequence.overdue(now);
        if !overdue.is_empty() {
            let many = overdue.len();
            heard.push(Heard::Note(format!(
                "what {many} connections said is with a reader that stopped; they end"
            )));
            heard.push(Heard::Lost(self.lose(overdue)));
        }
        let connections = |core| self.spread.connections(core);
        meters.state(self.shared.chunks.len(), self.sequence.held().1, self.sequence.late(), connections);
        heard
    }
}

/// The acceptor's way to the pool, on the same thread.
pub struct Hand(pub Rc<RefCell<Pool>>);

impl listener::Readers for Hand {
    fn hand_over(&self, arrival: AcceptedConnection) -> bool {
        self.0.borrow_mut().take(arrival)
    }
}

/// Who decides takes little time and must get it at once: readers let it go first.
const STEP_BACK: i32 = 5;

fn run(
    core: CoreId,
    shared: Shared,
    mut arrivals: mpsc::Receiver<AcceptedConnection>,
    figure: Arc<AtomicU64>,
) {
    // On Linux this is the thread's own; where it can't be had, all are equal.
    _ = rustix::process::nice(STEP_BACK);
    actix_rt::System::new().block_on(async move {
        actix_rt::spawn(async move {
            loop {
                figure.fetch_add(1, Ordering::Relaxed);
                actix_rt::time::sleep(FIGURE).await;
            }
        });
        actix_rt::spawn(take_apart(core, shared.clone()));
        while let Some(arrival) = arrivals.recv().await {
            (shared.hook)(core, Stage::Arrival);
            let (bounds, inbox, bulk) = (shared.bounds.clone(), shared.inbox.clone(), shared.bulk.clone());
            actix_rt::spawn(connection::read(arrival, bounds, inbox, Some(bulk)));
        }
    });
}

/// One chunk after the other, whoever read it.
async fn take_apart(core: CoreId, shared: Shared) {
    while let Ok(chunk) = shared.chunks.recv().await {
        let known = shared.known.borrow().clone();
        let Chunk { info, lines, back, weight } = chunk;
        let at = shared.clock.at(info.at);
        let began = Instant::now();
        let hook = |stage| (shared.hook)(core, stage);
        let items = catch_unwind(AssertUnwindSafe(|| items(&lines, at, &known, hook)));
        let items = items.unwrap_or_else(|_| {
            shared.meters.panicked(core);
            vec![Item::Lost]
        });
        shared.meters.carried(core, lines.len(), lines.iter().filter(|byte| **byte == b'\n').count(), began);
        let batch = Batch { info, at, core, items, back, _weight: weight };
        if shared.batches.send(batch).await.is_err() {
            return;
        }
        // Its own connections have to be read too.
        tokio::task::yield_now().await;
    }
}

fn items(lines: &[u8], at: Moment, known: &ReportNames, hook: impl Fn(Stage)) -> Vec<Item> {
    hook(Stage::Taken);
    let (mut items, mut sums) = (Vec::new(), Sums::at(at));
    let (mut done, mut halfway) = (0, lines.len() / 2);
    for line in lines.split_inclusive(|byte| *byte == b'\n') {
        done += line.len();
        if done > halfway {
            halfway = usize::MAX;
            hook(Stage::Halfway);
        }
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let item = match std::str::from_utf8(line) {
            Err(_) => Item::Invalid(InvalidMessage::not_utf8()),
            Ok(line) => {
                if let Some(report) = collector::decode_report(line).and_then(|report| known.resolve(&report))
                {
                    sums.add(report);
                    continue;
                }
                // What is no report, is wrong, or names what is not known here.
                collector::decode(line).map_or_else(Item::Invalid, Item::Message)
            }
        };
        if !sums.is_empty() {
            items.push(Item::Reports(std::mem::replace(&mut sums, Sums::at(at)).summed()));
        }
        items.push(item);
    }
    if !sums.is_empty() {
        items.push(Item::Reports(sums.summed()));
    }
    hook(Stage::Done);
    items
}
