//! Tests of the reader pool over loopback sockets. A thread that stands in for the event loop owns the pool and records
//! the reports that it applies. Covered are stalls and panics at each stage, the order of reports, many connections,
//! and equal sums for any number of readers.

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

/// An input that the owner applied.
#[derive(Clone, Debug, PartialEq)]
enum Applied {
    /// Connection, slice, number of requests, number of lines.
    DemandReport(ConnectionId, u32, f64, f64),
    /// Connection, replica, number of attempts.
    EndpointReport(ConnectionId, u32, f64),
    Ping(ConnectionId),
    ChunkLost(ConnectionId),
    ConnectionEnded(ConnectionId),
}

/// The thread that owns the reader pool and applies its batches.
struct Owner {
    address: SocketAddr,
    applied: Arc<Mutex<Vec<Applied>>>,
    events: Arc<Mutex<Vec<String>>>,
    metrics: Arc<ReaderMetrics>,
    /// Number of connections and of early batches.
    pool_size: Arc<Mutex<(usize, usize)>>,
    _shutdown: tokio::sync::oneshot::Sender<()>,
}

struct OwnerState {
    pool: Rc<RefCell<ReaderPool>>,
    applied: Arc<Mutex<Vec<Applied>>>,
}

impl OwnerState {
    fn apply(&self, from: ConnectionId, ready: ReadyChunks<ReportBatch>) {
        let mut applied = self.applied.lock().unwrap();
        for batch in ready.chunks {
            for item in batch.items {
                match item {
                    BatchItem::Reports(reports) => {
                        applied.extend(reports.iter().map(|report| match report.body {
                            ReportBody::Demand { slice, report: demand } => {
                                Applied::DemandReport(from, slice, demand.requests, report.line_count)
                            }
                            ReportBody::Endpoint { replica, report: endpoint, .. } => {
                                Applied::EndpointReport(from, replica, endpoint.attempts)
                            }
                        }));
                    }
                    BatchItem::Message(Message::Source { .. }) => {
                        _ = batch.commands.try_send(ConnectionCommand::MarkAuthenticated);
                    }
                    BatchItem::Message(Message::Ping) => {
                        applied.push(Applied::Ping(from));
                        _ = batch.commands.try_send(ConnectionCommand::Send("PONG".into()));
                    }
                    BatchItem::Panicked => {
                        applied.push(Applied::ChunkLost(from));
                        _ = batch.commands.try_send(ConnectionCommand::Close(None));
                    }
                    BatchItem::Message(other) => panic!("{other:?}"),
                    BatchItem::Invalid(_) => _ = batch.commands.try_send(ConnectionCommand::Close(None)),
                }
            }
        }
        if ready.is_ended {
            applied.push(Applied::ConnectionEnded(from));
        }
    }
}

impl Owner {
    fn start(readers: usize, hook: StageHook) -> Self {
        let (applied, events) = (Arc::<Mutex<Vec<_>>>::default(), Arc::<Mutex<Vec<_>>>::default());
        let (metrics, pool_size) =
            (Arc::new(ReaderMetrics::new(readers)), Arc::<Mutex<(usize, usize)>>::default());
        let (shutdown, mut is_shut_down) = tokio::sync::oneshot::channel();
        let (started, address) = std_mpsc::channel();
        let (owner_applied, owner_events, counter, owner_pool_size) =
            (applied.clone(), events.clone(), metrics.clone(), pool_size.clone());
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = Rc::new(actix_rt::net::TcpListener::bind("127.0.0.1:0").await.unwrap());
                started.send(listener.local_addr().unwrap()).unwrap();
                let (inbox, mut arrived) = mpsc::channel(64);
                let (bounds, clock) = (Bounds::new(3000, 4 << 20), Clock::start());
                let config =
                    PoolConfig { readers, clock, bounds: bounds.clone(), inbox, metrics: counter, hook };
                let (pool, mut batches) = ReaderPool::start(config).unwrap();
                let replicas = (0..10).map(|n| (format!("s-{n}"), n)).collect();
                let (zones, request_classes) = (vec!["north".into()], vec!["lookup".into()]);
                pool.publish_names(ReportNames { zones, request_classes, replicas, version: 1 });
                let owner = OwnerState { pool: Rc::new(RefCell::new(pool)), applied: owner_applied };
                actix_rt::spawn(listener::listen(listener, bounds, PoolHandle(owner.pool.clone())));
                let mut supervision_interval = tokio::time::interval(Duration::from_millis(100));
                loop {
                    tokio::select! {
                        biased;
                        _ = &mut is_shut_down => return,
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
                        _ = supervision_interval.tick() => {
                            let events = owner.pool.borrow_mut().supervise(clock.now());
                            for event in events {
                                match event {
                                    PoolEvent::ConnectionsLost(ids) => {
                                        owner.applied.lock().unwrap().extend(ids.into_iter().map(Applied::ConnectionEnded));
                                    }
                                    event => owner_events.lock().unwrap().push(format!("{event:?}")),
                                }
                            }
                            let size = owner.pool.borrow().size();
                            *owner_pool_size.lock().unwrap() = (size.connections, size.early_batches);
                        }
                    }
                }
            });
        });
        Owner { address: address.recv().unwrap(), applied, events, metrics, pool_size, _shutdown: shutdown }
    }

    fn without_faults(readers: usize) -> Self {
        Owner::start(readers, Arc::new(|_, _| {}))
    }

    fn applied(&self) -> Vec<Applied> {
        self.applied.lock().unwrap().clone()
    }

    fn wait_until(&self, description: &str, condition: impl Fn(&Self) -> bool) {
        let end = Instant::now() + TEST_TIMEOUT;
        while !condition(self) {
            assert!(
                Instant::now() < end,
                "timed out waiting for {description}; events {:?}",
                self.events.lock().unwrap()
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn has_event(&self, text: &str) -> bool {
        self.events.lock().unwrap().iter().any(|event| event.contains(text))
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

    fn connect_authenticated(owner: &Owner) -> Self {
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

    /// Returns false if the connection is closed.
    fn ping(&mut self) -> bool {
        self.send_line("{\"@type\":\"PING\"}");
        let mut reply = String::new();
        self.reader.read_line(&mut reply).is_ok() && reply == "PONG\n"
    }
}

fn demand_report(slice: u32, requests: u32) -> String {
    format!(
        "{{\"@type\":\"SHARD\",\"partition\":{slice},\"kind\":\"lookup\",\"n\":{requests},\"bad\":0,\"window\":1000.0}}"
    )
}

/// Returns the total demand of each slice, as reported on one connection or on all connections.
fn sums(applied: &[Applied], connection: Option<ConnectionId>) -> BTreeMap<u32, f64> {
    let mut sums = BTreeMap::new();
    for item in applied {
        if let Applied::DemandReport(from, slice, requests, _) = item {
            if connection.is_none_or(|connection| connection == *from) {
                *sums.entry(*slice).or_default() += requests;
            }
        }
    }
    sums
}

#[test]
fn reports_of_a_connection_apply_in_order_whichever_reader_decodes_them() {
    let chunks_by_reader = Arc::new(Mutex::new(BTreeMap::<usize, u32>::new()));
    let hook_chunks = chunks_by_reader.clone();
    let owner = Owner::start(
        3,
        Arc::new(move |reader, stage| {
            if stage == ReaderStage::ChunkTaken {
                *hook_chunks.lock().unwrap().entry(reader).or_default() += 1;
                // Reader 0 is slow, so chunks overtake each other.
                thread::sleep(Duration::from_millis(if reader == 0 { 5 } else { 0 }));
            }
        }),
    );
    let mut collector = Collector::connect_authenticated(&owner);
    // Sums within a chunk are in the order of slices, so the overall order is that of the chunks.
    let text: String = (0..20_000).map(|n| demand_report(n, 1) + "\n").collect();
    for piece in text.as_bytes().chunks(50_000) {
        collector.stream.write_all(piece).unwrap();
    }
    assert!(collector.ping());
    let slices = |applied: &[Applied]| -> Vec<u32> {
        let slice =
            |item: &Applied| if let Applied::DemandReport(_, slice, ..) = item { Some(*slice) } else { None };
        applied.iter().filter_map(slice).collect()
    };
    assert_eq!(slices(&owner.applied()), (0..20_000).collect::<Vec<_>>());
    assert_eq!(
        chunks_by_reader.lock().unwrap().len(),
        3,
        "not all 3 readers took chunks: {chunks_by_reader:?}"
    );
}

#[test]
fn sums_are_the_same_for_any_number_of_readers() {
    let mut expected = None;
    for readers in [1, 2, 4, 8] {
        let owner = Owner::without_faults(readers);
        thread::scope(|scope| {
            for connection in 0..4u32 {
                let owner = &owner;
                scope.spawn(move || {
                    let mut collector = Collector::connect_authenticated(owner);
                    let lines: Vec<_> =
                        (0..3000).map(|n| demand_report((n * 7 + connection) % 50, n % 9) + "\n").collect();
                    collector.stream.write_all(lines.concat().as_bytes()).unwrap();
                    assert!(collector.ping());
                });
            }
        });
        let applied = owner.applied();
        let lines: f64 = applied
            .iter()
            .map(|item| if let Applied::DemandReport(.., lines) = item { *lines } else { 0.0 })
            .sum();
        assert_eq!(lines, 12_000.0, "{readers} readers");
        let sums = sums(&applied, None);
        assert_eq!(*expected.get_or_insert_with(|| sums.clone()), sums, "{readers} readers");
    }
}

/// One of two readers stalls once at each stage. The other connections are served meanwhile, and the stalled reader is
/// replaced. Its chunk is applied completely or not at all, and nothing of it is applied after the reader resumes.
#[test]
fn reader_that_stalls_at_any_stage_is_replaced_and_delays_no_other() {
    for stage in
        [ReaderStage::Connected, ReaderStage::ChunkTaken, ReaderStage::HalfDecoded, ReaderStage::Decoded]
    {
        let (armed, stalled) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        let (hook_armed, hook_stalled) = (armed.clone(), stalled.clone());
        let owner = Owner::start(
            2,
            Arc::new(move |_, current_stage| {
                let was_armed =
                    || hook_armed.compare_exchange(1, 2, Ordering::SeqCst, Ordering::SeqCst).is_ok();
                if current_stage == stage && was_armed() {
                    hook_stalled.store(1, Ordering::SeqCst);
                    while hook_stalled.load(Ordering::SeqCst) == 1 {
                        thread::sleep(Duration::from_millis(5));
                    }
                }
            }),
        );
        let mut collectors: Vec<_> = (0..4).map(|_| Collector::connect_authenticated(&owner)).collect();
        armed.store(1, Ordering::SeqCst);
        // The connection on which the reader stalls: a new one, or an existing one that sends a chunk.
        let mut affected = match stage {
            ReaderStage::Connected => Collector::connect(&owner),
            _ => collectors.remove(0),
        };
        (0..40).for_each(|n| affected.send_demand(1000 + n, 1));
        owner.wait_until("the stall", |_| stalled.load(Ordering::SeqCst) == 1);
        let began = Instant::now();
        // Connections of the stalled reader are closed and reconnect. All are served again soon.
        for collector in &mut collectors {
            collector.stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
            if !collector.ping() {
                *collector = Collector::connect_authenticated(&owner);
            }
            collector.send_demand(7, 3);
            assert!(collector.ping());
        }
        assert!(began.elapsed() < Duration::from_secs(4), "{stage:?}: {:?}", began.elapsed());
        owner.wait_until("the replacement of the stalled reader", |owner| owner.has_event("ReaderRestarted"));
        assert!(owner.has_event("ReaderStalled"), "{stage:?}");
        let expected = 3.0 * collectors.len() as f64;
        owner.wait_until("the sums", |owner| sums(&owner.applied(), None).get(&7) == Some(&expected));
        let before = sums(&owner.applied(), None);
        stalled.store(2, Ordering::SeqCst);
        // The stalled reader resumes and its chunk is discarded. A new connection is served.
        let mut reconnected = Collector::connect_authenticated(&owner);
        reconnected.send_demand(8, 1);
        assert!(reconnected.ping());
        let after = sums(&owner.applied(), None);
        let late_demand =
            |sums: &BTreeMap<u32, f64>| sums.range(1000..).map(|(_, demand)| demand).sum::<f64>();
        assert_eq!(
            late_demand(&before),
            late_demand(&after),
            "{stage:?}: reports of the stalled reader were applied after it resumed"
        );
        let text = owner.metrics.encode();
        assert!(
            text.lines().any(|line| line.starts_with("whinwall_reader_stalls") && line.ends_with(" 1")),
            "{text}"
        );
    }
}

#[test]
fn panic_at_any_stage_discards_the_whole_chunk_or_restarts_the_reader() {
    // The intended panics are not printed: printing the location can take longer than the stall time-out (fresh build,
    // busy machine), and the reader would be reported as stalled before it is reported as dead.
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        if panic.payload().downcast_ref::<&str>() != Some(&"on purpose") {
            default_hook(panic);
        }
    }));
    for stage in
        [ReaderStage::Connected, ReaderStage::ChunkTaken, ReaderStage::HalfDecoded, ReaderStage::Decoded]
    {
        let armed = Arc::new(AtomicU32::new(0));
        let hook_armed = armed.clone();
        let owner = Owner::start(
            2,
            Arc::new(move |_, current_stage| {
                if current_stage == stage
                    && hook_armed.compare_exchange(1, 2, Ordering::SeqCst, Ordering::SeqCst).is_ok()
                {
                    panic!("on purpose");
                }
            }),
        );
        let mut others: Vec<_> = (0..4).map(|_| Collector::connect_authenticated(&owner)).collect();
        armed.store(1, Ordering::SeqCst);
        let mut affected = match stage {
            ReaderStage::Connected => Collector::connect(&owner),
            _ => others.remove(0),
        };
        affected
            .stream
            .write_all(((0..40).map(|n| demand_report(1000 + n, 1) + "\n").collect::<String>()).as_bytes())
            .unwrap();
        let mut rest = Vec::new();
        _ = affected.reader.read_to_end(&mut rest);
        let requests = sums(&owner.applied(), None).range(1000..).count();
        assert_eq!(requests, 0, "{stage:?}: part of a chunk was applied");
        match stage {
            ReaderStage::Connected => owner.wait_until("the replacement of the dead reader", |owner| {
                owner.has_event("ReaderDied") && owner.has_event("ReaderRestarted")
            }),
            _ => assert!(owner.applied().iter().any(|item| matches!(item, Applied::ChunkLost(_)))),
        }
        for other in &mut others {
            if !other.ping() {
                *other = Collector::connect_authenticated(&owner);
            }
            assert!(other.ping(), "{stage:?}");
        }
    }
}

#[test]
fn thousands_of_short_connections_leave_no_state_behind() {
    let owner = Owner::without_faults(3);
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
    owner.wait_until("an empty pool", |owner| *owner.pool_size.lock().unwrap() == (0, 0));
    assert_eq!(sums(&owner.applied(), None)[&5], 800.0, "each report is applied exactly once");
    let ended = owner.applied().iter().filter(|item| matches!(item, Applied::ConnectionEnded(_))).count();
    assert_eq!(ended, 2000);
}

/// Chunks that end within a line, and lines that arrive byte by byte.
#[test]
fn lines_split_at_any_byte_are_decoded_whole() {
    let owner = Owner::without_faults(2);
    let mut collector = Collector::connect_authenticated(&owner);
    let text: String = (0..2000).map(|n| demand_report(n, 1) + "\r\n").collect();
    for piece in text.as_bytes().chunks(777) {
        collector.stream.write_all(piece).unwrap();
    }
    for byte in (demand_report(2000, 1) + "\n").as_bytes() {
        collector.stream.write_all(&[*byte]).unwrap();
    }
    assert!(collector.ping());
    assert_eq!(sums(&owner.applied(), None).len(), 2001);
    // A last line without a line end is ignored.
    collector.stream.write_all(demand_report(3000, 1).as_bytes()).unwrap();
    collector.stream.shutdown(std::net::Shutdown::Write).unwrap();
    owner.wait_until("the end of the connection", |owner| {
        owner.applied().iter().any(|item| matches!(item, Applied::ConnectionEnded(_)))
    });
    assert!(!sums(&owner.applied(), None).contains_key(&3000));
}

/// Every connection stalls its reader. The number of abandoned threads is bounded, and the pool serves connections
/// again once the threads resume.
#[test]
fn number_of_abandoned_reader_threads_is_bounded() {
    let (stalling, stalled_readers) = (Arc::new(AtomicU32::new(1)), Arc::new(AtomicU32::new(0)));
    let (hook_stalling, counter) = (stalling.clone(), stalled_readers.clone());
    let owner = Owner::start(
        1,
        Arc::new(move |_, stage| {
            if stage == ReaderStage::Connected {
                counter.fetch_add(1, Ordering::SeqCst);
                while hook_stalling.load(Ordering::SeqCst) == 1 {
                    thread::sleep(Duration::from_millis(5));
                }
                counter.fetch_sub(1, Ordering::SeqCst);
            }
        }),
    );
    let (end, mut max_stalled) = (Instant::now() + Duration::from_secs(15), 0);
    while Instant::now() < end {
        _ = Collector::connect(&owner);
        max_stalled = max_stalled.max(stalled_readers.load(Ordering::SeqCst));
        thread::sleep(Duration::from_millis(50));
    }
    assert!((3..=5).contains(&max_stalled), "{max_stalled} threads are stalled");
    stalling.store(0, Ordering::SeqCst);
    let end = Instant::now() + TEST_TIMEOUT;
    let is_served = || {
        let mut collector = Collector::connect(&owner);
        collector.send_line("{\"@type\":\"SOURCE\",\"az\":\"north\"}");
        collector.stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
        collector.ping()
    };
    while !is_served() {
        assert!(Instant::now() < end, "the pool does not serve connections after its readers resumed");
        thread::sleep(Duration::from_millis(50));
    }
}
