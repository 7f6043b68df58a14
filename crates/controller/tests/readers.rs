//! The reader pool on loopback sockets, with an owner that records what it applies: stalls and panics at each stage,
//! order, many connections, the same sums for any number of readers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{mpsc as std_mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use whinwall_controller::program::metrics::ReaderMetrics;
use whinwall_controller::program::reader::{BatchItem, ReaderStage, ReportBatch, StageHook};
use whinwall_controller::program::reader_pool::{PoolConfig, PoolEvent, PoolHandle, ReaderPool};
use whinwall_ingest::reorder::ReadyChunks;
use whinwall_policy::api::ReportBody;
use whinwall_protocol::collector::Message;
use whinwall_routing::report_names::ReportNames;
use whinwall_runtime::clock::Clock;
use whinwall_transport::listener;
use whinwall_transport::{Bounds, ConnectionCommand, ConnectionId, Input};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The reports that were applied, in order.
#[derive(Clone, Debug, PartialEq)]
enum Counted {
    /// The requests for a slice, and the number of lines.
    DemandReport(ConnectionId, u32, f64, f64),
    EndpointReport(ConnectionId, u32, f64),
    Ping(ConnectionId),
    Lost(ConnectionId),
    Ended(ConnectionId),
}

/// The owner of the state, on its own thread.
struct Owner {
    address: SocketAddr,
    counted: Arc<Mutex<Vec<Counted>>>,
    events: Arc<Mutex<Vec<String>>>,
    metrics: Arc<ReaderMetrics>,
    held: Arc<Mutex<(usize, usize)>>,
    _end: tokio::sync::oneshot::Sender<()>,
}

struct OwnerState {
    pool: Rc<RefCell<ReaderPool>>,
    counted: Arc<Mutex<Vec<Counted>>>,
}

impl OwnerState {
    fn apply(&self, from: ConnectionId, ready: ReadyChunks<ReportBatch>) {
        let mut counted = self.counted.lock().unwrap();
        for batch in ready.chunks {
            for item in batch.items {
                match item {
                    BatchItem::Reports(reports) => {
                        counted.extend(reports.iter().map(|report| match report.body {
                            ReportBody::Demand { slice, report: asked } => {
                                Counted::DemandReport(from, slice, asked.requests, report.line_count)
                            }
                            ReportBody::Endpoint { replica, report: met, .. } => {
                                Counted::EndpointReport(from, replica, met.attempts)
                            }
                        }));
                    }
                    BatchItem::Message(Message::Source { .. }) => {
                        _ = batch.commands.try_send(ConnectionCommand::MarkAuthenticated);
                    }
                    BatchItem::Message(Message::Ping) => {
                        counted.push(Counted::Ping(from));
                        _ = batch.commands.try_send(ConnectionCommand::Send("PONG".into()));
                    }
                    BatchItem::Panicked => {
                        counted.push(Counted::Lost(from));
                        _ = batch.commands.try_send(ConnectionCommand::Close(None));
                    }
                    BatchItem::Message(other) => panic!("{other:?}"),
                    BatchItem::Invalid(_) => _ = batch.commands.try_send(ConnectionCommand::Close(None)),
                }
            }
        }
        if ready.is_ended {
            counted.push(Counted::Ended(from));
        }
    }
}

impl Owner {
    fn start(readers: usize, hook: StageHook) -> Self {
        let (counted, events) = (Arc::<Mutex<Vec<_>>>::default(), Arc::<Mutex<Vec<_>>>::default());
        let (metrics, held) =
            (Arc::new(ReaderMetrics::new(readers)), Arc::<Mutex<(usize, usize)>>::default());
        let (end, mut ended) = tokio::sync::oneshot::channel();
        let (started, address) = std_mpsc::channel();
        let (into_counted, into_events, counts, holds) =
            (counted.clone(), events.clone(), metrics.clone(), held.clone());
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = Rc::new(actix_rt::net::TcpListener::bind("127.0.0.1:0").await.unwrap());
                started.send(listener.local_addr().unwrap()).unwrap();
                let (inbox, mut arrived) = mpsc::channel(64);
                let (bounds, clock) = (Bounds::new(3000, 4 << 20), Clock::start());
                let config =
                    PoolConfig { readers, clock, bounds: bounds.clone(), inbox, metrics: counts, hook };
                let (pool, mut batches) = ReaderPool::start(config).unwrap();
                let replicas = (0..10).map(|n| (format!("s-{n}"), n)).collect();
                let (zones, request_classes) = (vec!["north".into()], vec!["lookup".into()]);
                pool.publish_names(ReportNames { zones, request_classes, replicas, version: 1 });
                let owner = OwnerState { pool: Rc::new(RefCell::new(pool)), counted: into_counted };
                actix_rt::spawn(listener::listen(listener, bounds, PoolHandle(owner.pool.clone())));
                let mut looks = tokio::time::interval(Duration::from_millis(100));
                loop {
                    tokio::select! {
                        biased;
                        _ = &mut ended => return,
                        Some(input) = arrived.recv() => {
                            let Input::Disconnected(id, chunks) = input else { panic!("{input:?}") };
                            let ready = owner.pool.borrow_mut().end_connection(clock.now(), id, chunks);
                            owner.apply(id, ready);
                        }
                        Some(batch) = batches.recv() => {
                            let from = batch.info.from;
                            let ready = owner.pool.borrow_mut().accept_batch(clock.now(), batch);
                            owner.apply(from, ready);
                        }
                        _ = looks.tick() => {
                            let events = owner.pool.borrow_mut().supervise(clock.now());
                            for event in events {
                                match event {
                                    PoolEvent::ConnectionsLost(ids) => {
                                        owner.counted.lock().unwrap().extend(ids.into_iter().map(Counted::Ended));
                                    }
                                    event => into_events.lock().unwrap().push(format!("{event:?}")),
                                }
                            }
                            let size = owner.pool.borrow().size();
                            *holds.lock().unwrap() = (size.connections, size.early_batches);
                        }
                    }
                }
            });
        });
        Owner { address: address.recv().unwrap(), counted, events, metrics, held, _end: end }
    }

    fn quiet(readers: usize) -> Self {
        Owner::start(readers, Arc::new(|_, _| {}))
    }

    fn counted(&self) -> Vec<Counted> {
        self.counted.lock().unwrap().clone()
    }

    fn wait_until(&self, what: &str, is_so: impl Fn(&Self) -> bool) {
        let end = Instant::now() + TEST_TIMEOUT;
        while !is_so(self) {
            assert!(Instant::now() < end, "{what} never comes; events {:?}", self.events.lock().unwrap());
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn has_event(&self, with: &str) -> bool {
        self.events.lock().unwrap().iter().any(|event| event.contains(with))
    }
}

struct Collector {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Collector {
    fn connect(owner: &Owner) -> Self {
        let stream = TcpStream::connect(owner.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Collector { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    fn join(owner: &Owner) -> Self {
        let mut collector = Collector::connect(owner);
        collector.send_line("{\"@type\":\"SOURCE\",\"az\":\"north\"}");
        assert!(collector.ping());
        collector
    }

    fn send_line(&mut self, line: &str) {
        _ = self.stream.write_all(format!("{line}\n").as_bytes());
    }

    fn send_demand(&mut self, slice: u32, requests: u32) {
        self.send_line(&demand_report(slice, requests));
    }

    /// False where the connection is no more.
    fn ping(&mut self) -> bool {
        self.send_line("{\"@type\":\"PING\"}");
        let mut answer = String::new();
        self.reader.read_line(&mut answer).is_ok() && answer == "PONG\n"
    }
}

fn demand_report(slice: u32, requests: u32) -> String {
    format!(
        "{{\"@type\":\"SHARD\",\"partition\":{slice},\"kind\":\"lookup\",\"n\":{requests},\"bad\":0,\"window\":1000.0}}"
    )
}

/// The demand of each slice as reported on one connection, or on all.
fn sums(counted: &[Counted], of: Option<ConnectionId>) -> BTreeMap<u32, f64> {
    let mut sums = BTreeMap::new();
    for one in counted {
        if let Counted::DemandReport(from, slice, requests, _) = one {
            if of.is_none_or(|of| of == *from) {
                *sums.entry(*slice).or_default() += requests;
            }
        }
    }
    sums
}

#[test]
fn reports_of_a_connection_apply_in_order_whichever_reader_decodes_them() {
    let takers = Arc::new(Mutex::new(BTreeMap::<usize, u32>::new()));
    let noted = takers.clone();
    let owner = Owner::start(
        3,
        Arc::new(move |core, stage| {
            if stage == ReaderStage::ChunkTaken {
                *noted.lock().unwrap().entry(core).or_default() += 1;
                // One of them is slow: chunks overtake each other on their way.
                thread::sleep(Duration::from_millis(if core == 0 { 5 } else { 0 }));
            }
        }),
    );
    let mut collector = Collector::join(&owner);
    // Sums are in the order of slices within a chunk: over all, the order is that of the chunks.
    let text: String = (0..20_000).map(|n| demand_report(n, 1) + "\n").collect();
    for piece in text.as_bytes().chunks(50_000) {
        collector.stream.write_all(piece).unwrap();
    }
    assert!(collector.ping());
    let slices = |counted: &[Counted]| -> Vec<u32> {
        let slice =
            |one: &Counted| if let Counted::DemandReport(_, slice, ..) = one { Some(*slice) } else { None };
        counted.iter().filter_map(slice).collect()
    };
    assert_eq!(slices(&owner.counted()), (0..20_000).collect::<Vec<_>>());
    assert_eq!(takers.lock().unwrap().len(), 3, "the work moves: {takers:?}");
}

#[test]
fn sums_are_the_same_for_any_number_of_readers() {
    let mut expected = None;
    for readers in [1, 2, 4, 8] {
        let owner = Owner::quiet(readers);
        thread::scope(|scope| {
            for connection in 0..4u32 {
                let owner = &owner;
                scope.spawn(move || {
                    let mut collector = Collector::join(owner);
                    let lines: Vec<_> =
                        (0..3000).map(|n| demand_report((n * 7 + connection) % 50, n % 9) + "\n").collect();
                    collector.stream.write_all(lines.concat().as_bytes()).unwrap();
                    assert!(collector.ping());
                });
            }
        });
        let counted = owner.counted();
        let lines: f64 = counted
            .iter()
            .map(|one| if let Counted::DemandReport(.., lines) = one { *lines } else { 0.0 })
            .sum();
        assert_eq!(lines, 12_000.0, "over {readers}");
        let sums = sums(&counted, None);
        assert_eq!(*expected.get_or_insert_with(|| sums.clone()), sums, "over {readers}");
    }
}

/// The first of two readers stalls at this stage, once. All others go on meanwhile; its chunk is applied as a whole or not
/// at all; it is replaced, and nothing of it is applied when it goes on.
#[test]
fn reader_that_stalls_at_any_stage_is_replaced_and_delays_no_other() {
    for stage in
        [ReaderStage::Connected, ReaderStage::ChunkTaken, ReaderStage::HalfDecoded, ReaderStage::Decoded]
    {
        let (armed, stalled) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        let (arms, stalls) = (armed.clone(), stalled.clone());
        let owner = Owner::start(
            2,
            Arc::new(move |_, at| {
                let first = || arms.compare_exchange(1, 2, Ordering::SeqCst, Ordering::SeqCst).is_ok();
                if at == stage && first() {
                    stalls.store(1, Ordering::SeqCst);
                    while stalls.load(Ordering::SeqCst) == 1 {
                        thread::sleep(Duration::from_millis(5));
                    }
                }
            }),
        );
        let mut collectors: Vec<_> = (0..4).map(|_| Collector::join(&owner)).collect();
        armed.store(1, Ordering::SeqCst);
        // The one that has the reader stop: a new connection, or a chunk of an old one.
        let mut victim = match stage {
            ReaderStage::Connected => Collector::connect(&owner),
            _ => collectors.remove(0),
        };
        (0..40).for_each(|n| victim.send_demand(1000 + n, 1));
        owner.wait_until("the stall", |_| stalled.load(Ordering::SeqCst) == 1);
        let began = Instant::now();
        // Some of the others are read by the one that stopped: they end and come back. All go on soon.
        for collector in &mut collectors {
            collector.stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
            if !collector.ping() {
                *collector = Collector::join(&owner);
            }
            collector.send_demand(7, 3);
            assert!(collector.ping());
        }
        assert!(began.elapsed() < Duration::from_secs(4), "{stage:?}: {:?}", began.elapsed());
        owner.wait_until("its replacement", |owner| owner.has_event("ReaderRestarted"));
        assert!(owner.has_event("ReaderStalled"), "{stage:?}");
        let expected = 3.0 * collectors.len() as f64;
        owner.wait_until("the sums", |owner| sums(&owner.counted(), None).get(&7) == Some(&expected));
        let before = sums(&owner.counted(), None);
        stalled.store(2, Ordering::SeqCst);
        // It goes on, and what it has is nobody's; the victim comes back and is heard.
        let mut anew = Collector::join(&owner);
        anew.send_demand(8, 1);
        assert!(anew.ping());
        let after = sums(&owner.counted(), None);
        let late = |sums: &BTreeMap<u32, f64>| sums.range(1000..).map(|(_, demand)| demand).sum::<f64>();
        assert_eq!(late(&before), late(&after), "{stage:?}: late reports passed for fresh");
        let text = owner.metrics.encode();
        assert!(
            text.lines().any(|line| line.starts_with("whinwall_reader_stalls") && line.ends_with(" 1")),
            "{text}"
        );
    }
}

#[test]
fn panic_at_any_stage_loses_a_whole_chunk_or_its_reader() {
    // To print where it happened takes longer, in a fresh build on a busy machine, than a reader may stand still: it would
    // be taken for stalled before it is dead.
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        if panic.payload().downcast_ref::<&str>() != Some(&"on purpose") {
            usual(panic);
        }
    }));
    for stage in
        [ReaderStage::Connected, ReaderStage::ChunkTaken, ReaderStage::HalfDecoded, ReaderStage::Decoded]
    {
        let armed = Arc::new(AtomicU32::new(0));
        let arms = armed.clone();
        let owner = Owner::start(
            2,
            Arc::new(move |_, at| {
                if at == stage && arms.compare_exchange(1, 2, Ordering::SeqCst, Ordering::SeqCst).is_ok() {
                    panic!("on purpose");
                }
            }),
        );
        let mut others: Vec<_> = (0..4).map(|_| Collector::join(&owner)).collect();
        armed.store(1, Ordering::SeqCst);
        let mut victim = match stage {
            ReaderStage::Connected => Collector::connect(&owner),
            _ => others.remove(0),
        };
        victim
            .stream
            .write_all(((0..40).map(|n| demand_report(1000 + n, 1) + "\n").collect::<String>()).as_bytes())
            .unwrap();
        let mut rest = Vec::new();
        _ = victim.reader.read_to_end(&mut rest);
        let requests = sums(&owner.counted(), None).range(1000..).count();
        assert_eq!(requests, 0, "{stage:?}: half of a chunk counted");
        match stage {
            ReaderStage::Connected => owner.wait_until("its replacement", |owner| {
                owner.has_event("ReaderDied") && owner.has_event("ReaderRestarted")
            }),
            _ => assert!(owner.counted().iter().any(|one| matches!(one, Counted::Lost(_)))),
        }
        for other in &mut others {
            if !other.ping() {
                *other = Collector::join(&owner);
            }
            assert!(other.ping(), "{stage:?}");
        }
    }
}

#[test]
fn thousands_of_short_connections_leave_no_state_behind() {
    let owner = Owner::quiet(3);
    thread::scope(|scope| {
        for worker in 0..8 {
            let owner = &owner;
            scope.spawn(move || {
                for n in 0..250 {
                    let mut collector = Collector::connect(owner);
                    match (worker + n) % 5 {
                        0 => {}
                        1 => collector.send_line("{\"@type\":\"SOU"),
                        2 => collector.send_line("no message"),
                        _ => {
                            collector.send_line("{\"@type\":\"SOURCE\",\"az\":\"north\"}");
                            collector.send_demand(5, 1);
                            assert!(collector.ping());
                        }
                    }
                }
            });
        }
    });
    owner.wait_until("an empty pool", |owner| *owner.held.lock().unwrap() == (0, 0));
    assert_eq!(sums(&owner.counted(), None)[&5], 800.0, "each that said something was heard once");
    let ended = owner.counted().iter().filter(|one| matches!(one, Counted::Ended(_))).count();
    assert_eq!(ended, 2000);
}

/// Half a line at the end of a chunk, and lines that arrive byte by byte.
#[test]
fn lines_split_at_any_byte_are_decoded_whole() {
    let owner = Owner::quiet(2);
    let mut collector = Collector::join(&owner);
    let text: String = (0..2000).map(|n| demand_report(n, 1) + "\r\n").collect();
    for piece in text.as_bytes().chunks(777) {
        collector.stream.write_all(piece).unwrap();
    }
    for byte in (demand_report(2000, 1) + "\n").as_bytes() {
        collector.stream.write_all(&[*byte]).unwrap();
    }
    assert!(collector.ping());
    assert_eq!(sums(&owner.counted(), None).len(), 2001);
    // A last line without its end is no line.
    collector.stream.write_all(demand_report(3000, 1).as_bytes()).unwrap();
    collector.stream.shutdown(std::net::Shutdown::Write).unwrap();
    owner.wait_until("its end", |owner| owner.counted().iter().any(|one| matches!(one, Counted::Ended(_))));
    assert!(!sums(&owner.counted(), None).contains_key(&3000));
}

/// Every connection stalls its reader permanently: the number of abandoned threads is bounded, and once they go on, the
/// pool works as before.
#[test]
fn threads_of_readers_that_stop_repeatedly_are_bounded() {
    let (sticks, stuck) = (Arc::new(AtomicU32::new(1)), Arc::new(AtomicU32::new(0)));
    let (stick, counts) = (sticks.clone(), stuck.clone());
    let owner = Owner::start(
        1,
        Arc::new(move |_, stage| {
            if stage == ReaderStage::Connected {
                counts.fetch_add(1, Ordering::SeqCst);
                while stick.load(Ordering::SeqCst) == 1 {
                    thread::sleep(Duration::from_millis(5));
                }
                counts.fetch_sub(1, Ordering::SeqCst);
            }
        }),
    );
    let (end, mut most) = (Instant::now() + Duration::from_secs(15), 0);
    while Instant::now() < end {
        _ = Collector::connect(&owner);
        most = most.max(stuck.load(Ordering::SeqCst));
        thread::sleep(Duration::from_millis(50));
    }
    assert!((3..=5).contains(&most), "{most} threads stand still");
    sticks.store(0, Ordering::SeqCst);
    let end = Instant::now() + TEST_TIMEOUT;
    let answers = || {
        let mut collector = Collector::connect(&owner);
        collector.send_line("{\"@type\":\"SOURCE\",\"az\":\"north\"}");
        collector.stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
        collector.ping()
    };
    while !answers() {
        assert!(Instant::now() < end, "it does not come back");
        thread::sleep(Duration::from_millis(50));
    }
}
