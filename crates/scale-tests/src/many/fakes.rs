//! Fake relay, discovery and collectors for the real processes, on loopback sockets. Each controller has a relay and a
//! discovery agent at each of two sites, and one collector per zone. All of them run as tasks of this process.

use super::catalog::Catalog;
use super::plan::{ControllerId, Plan, REQUEST_CLASS};
use super::store::Store;
use super::tracker::{Condition, Site, Tracker, Traffic};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncWrite, AsyncWriteExt, BufReader, Lines};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, watch};
use tokio::time::{interval, sleep, MissedTickBehavior};

/// Time between two keep-alive lines of the relay.
const RELAY_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two keep-alive lines of discovery.
const DISCOVERY_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Capacity of the acknowledgement queue of a relay watcher, in messages.
const ACK_QUEUE_CAPACITY: usize = 4096;
/// Pause before a collector reconnects, and after a failed accept.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// The state of the network link to a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Data is sent.
    Up,
    /// No data is sent, and connections stay open.
    Partitioned,
}

/// The addresses of one controller's relay and discovery.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The relay.
    pub relay: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
}

/// State shared by the fakes of one controller.
pub struct FakePeersState {
    controller: ControllerId,
    store: Mutex<Store>,
    acks: broadcast::Sender<String>,
    link: watch::Receiver<Link>,
    catalog: Arc<Catalog>,
    tracker: Arc<Tracker>,
}

impl FakePeersState {
    /// Creates the state of a controller's fakes, before any connection.
    pub fn new(
        plan: &Plan,
        controller: ControllerId,
        link: watch::Receiver<Link>,
        catalog: Arc<Catalog>,
        tracker: Arc<Tracker>,
    ) -> Self {
        let store = Mutex::new(Store::new(plan, controller));
        FakePeersState {
            controller,
            store,
            acks: broadcast::Sender::new(ACK_QUEUE_CAPACITY),
            link,
            catalog,
            tracker,
        }
    }

    /// Locks the store of the relay.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_condition(&self, condition: Condition) {
        _ = self.tracker.record_condition(self.controller, condition);
    }

    fn add_sent_bytes(&self, traffic: Traffic, bytes: usize) {
        self.tracker.add_sent_bytes(self.controller, traffic, bytes);
    }

    fn is_partitioned(&self) -> bool {
        *self.link.borrow() == Link::Partitioned
    }
}

/// Starts relay and discovery of one site. They serve until the runtime shuts down.
pub async fn open_site(state: &Arc<FakePeersState>, site: Site) -> io::Result<Addresses> {
    let relay = TcpListener::bind("127.0.0.1:0").await?;
    let discovery = TcpListener::bind("127.0.0.1:0").await?;
    let addresses = Addresses { relay: relay.local_addr()?, discovery: discovery.local_addr()? };
    tokio::spawn(accept(relay, state.clone(), Service::Relay, site));
    tokio::spawn(accept(discovery, state.clone(), Service::Discovery, site));
    Ok(addresses)
}

/// The kind of service behind a listener.
#[derive(Clone, Copy)]
enum Service {
    Relay,
    Discovery,
}

async fn accept(listener: TcpListener, state: Arc<FakePeersState>, service: Service, site: Site) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => _ = tokio::spawn(serve_until_partition(state.clone(), service, site, stream)),
            // For example, no file descriptor is available.
            Err(_) => sleep(RECONNECT_DELAY).await,
        }
    }
}

/// Serves a connection until it ends or its region is partitioned from the network. A connection that is open when the
/// partition begins, or is accepted during it, sends nothing, and is closed when the region is reconnected.
async fn serve_until_partition(
    state: Arc<FakePeersState>,
    service: Service,
    site: Site,
    mut stream: TcpStream,
) {
    let mut link = state.link.clone();
    // Only a new relay connection shows that the controller has detected the partition: controllers renew their
    // discovery watches regularly, even without a failure.
    if matches!(service, Service::Relay) && *link.borrow() == Link::Partitioned {
        state.record_condition(Condition::PartitionDetected);
    }
    _ = stream.set_nodelay(true);
    tokio::select! {
        biased;
        _ = link.wait_for(|link| *link == Link::Partitioned) => {}
        _ = serve(&state, service, site, &mut stream) => return,
    }
    _ = link.wait_for(|link| *link == Link::Up).await;
}

async fn serve(
    state: &FakePeersState,
    service: Service,
    site: Site,
    stream: &mut TcpStream,
) -> io::Result<()> {
    match service {
        Service::Relay => serve_relay(state, site, stream).await,
        Service::Discovery => serve_discovery(state, site, stream).await,
    }
}

async fn serve_relay(state: &FakePeersState, site: Site, stream: &mut TcpStream) -> io::Result<()> {
    let (read, mut write) = stream.split();
    let mut lines = BufReader::new(read).lines();
    while let Some(line) = lines.next_line().await? {
        if line == "WATCH" {
            return serve_watch(state, site, &mut lines, &mut write).await;
        }
        let applied = state.store().apply(&line);
        let Some(applied) = applied else {
            write.write_all(b"ERR bad_request\r\n").await?;
            continue;
        };
        write.write_all(format!("OK {}\r\n", applied.commands).as_bytes()).await?;
        if !applied.acks.is_empty() {
            // The send fails if no watcher is subscribed.
            _ = state.acks.send(format!("{}\r\n", applied.acks.join("\r\n")));
        }
        if state.tracker.drained_replica().is_some_and(|replica| state.store().is_drained(&replica)) {
            state.record_condition(Condition::Withdrawn);
        }
    }
    Ok(())
}

async fn serve_watch<R: AsyncBufRead + Unpin, W: AsyncWrite + Unpin>(
    state: &FakePeersState,
    site: Site,
    lines: &mut Lines<R>,
    write: &mut W,
) -> io::Result<()> {
    let mut acks = state.acks.subscribe();
    let snapshot = format!("{}\r\n", state.store().snapshot().join("\r\n"));
    write.write_all(snapshot.as_bytes()).await?;
    state.add_sent_bytes(Traffic::RelayEvent, snapshot.len());
    state.record_condition(Condition::RelaySnapshotFrom(site));
    let mut keep_alive = interval(RELAY_KEEP_ALIVE_INTERVAL);
    loop {
        let text = tokio::select! {
            line = lines.next_line() => match line? {
                Some(_) => continue,
                None => return Ok(()),
            },
            message = acks.recv() => match message {
                Ok(message) => message,
                Err(broadcast::error::RecvError::Lagged(_)) => continue,
                Err(broadcast::error::RecvError::Closed) => return Ok(()),
            },
            _ = keep_alive.tick() => "*\r\n".to_string(),
        };
        write.write_all(text.as_bytes()).await?;
        state.add_sent_bytes(Traffic::RelayEvent, text.len());
    }
}

async fn serve_discovery(state: &FakePeersState, site: Site, stream: &mut TcpStream) -> io::Result<()> {
    let (read, mut write) = stream.split();
    let mut lines = BufReader::new(read).lines();
    let request = lines.next_line().await?.unwrap_or_default();
    while lines.next_line().await?.is_some_and(|line| !line.is_empty()) {}
    let mut since = request_version(&request);
    let mut versions = state.catalog.versions();
    write.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
    loop {
        versions.mark_unchanged();
        let update = state.catalog.update_since(since);
        write.write_all(chunk(&update.line).as_bytes()).await?;
        since = update.version;
        state.add_sent_bytes(Traffic::List, update.line.len());
        state.record_condition(Condition::ListFrom(site));
        state.record_condition(Condition::ListVersion(update.version));
        let mut keep_alive = interval(DISCOVERY_KEEP_ALIVE_INTERVAL);
        keep_alive.reset();
        loop {
            tokio::select! {
                line = lines.next_line() => match line? {
                    Some(_) => continue,
                    None => return Ok(()),
                },
                changed = versions.changed() => match changed {
                    Ok(()) => break,
                    Err(_) => return Ok(()),
                },
                _ = keep_alive.tick() => write.write_all(chunk("\n").as_bytes()).await?,
            }
        }
    }
}

/// Returns the version in a request line like `GET /registry/instances?follow=1&since=41 HTTP/1.1`; 0 if there is none.
fn request_version(request: &str) -> u64 {
    let version = request.split_once("since=").and_then(|(_, rest)| rest.split([' ', '&']).next());
    version.and_then(|version| version.parse().ok()).unwrap_or(0)
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the report lines of each zone's collector for one period. They are the same for all controllers.
pub fn load_reports(plan: &Plan) -> Vec<Arc<str>> {
    let window = plan.report_period.as_secs_f64() * 1e3;
    let line = |replica: usize| {
        let (zone, host) = (plan.zone(plan.zone_of(replica)), plan.replica(replica));
        let report = json!({"inflight": 7, "util": 0.61});
        let line = json!({"@type": "LOAD", "az": zone, "host": host, "n": 26, "bad": 0, "avg": 41.7,
            "window": window, "report": report});
        format!("{line}\n")
    };
    let zone_reports =
        |zone: usize| (zone..plan.replicas).step_by(plan.zones.max(1)).map(line).collect::<String>();
    (0..plan.zones).map(|zone| zone_reports(zone).into()).collect()
}

fn slice_reports(plan: &Plan, state: &FakePeersState) -> String {
    let window = plan.report_period.as_secs_f64() * 1e3;
    let line = |slice: u32| {
        let line = json!({"@type": "SHARD", "partition": slice, "kind": REQUEST_CLASS, "n": 4, "bad": 0,
            "window": window});
        format!("{line}\n")
    };
    state.store().slices().map(line).collect()
}

/// Runs the collector of one zone. It reports while the controller has an address, and reconnects after a failure. The
/// first zone's collector also reports on the controller's slices.
pub async fn run_collector(
    plan: Arc<Plan>,
    state: Arc<FakePeersState>,
    zone: usize,
    load: Arc<str>,
    mut address: watch::Receiver<Option<SocketAddr>>,
) {
    loop {
        let Ok(controller) = address.wait_for(Option::is_some).await.map(|address| *address) else { return };
        if let Some(controller) = controller.filter(|_| !state.is_partitioned()) {
            // A failure is not handled, because the loop reconnects.
            _ = send_reports(&plan, &state, zone, &load, controller).await;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

async fn send_reports(
    plan: &Plan,
    state: &FakePeersState,
    zone: usize,
    load: &str,
    controller: SocketAddr,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(controller).await?;
    let source = json!({"@type": "SOURCE", "az": plan.zone(zone)});
    stream.write_all(format!("{source}\n").as_bytes()).await?;
    let slices = if zone == 0 { slice_reports(plan, state) } else { String::new() };
    let mut link = state.link.clone();
    let mut periods = interval(plan.report_period);
    periods.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        periods.tick().await;
        if *link.borrow() == Link::Partitioned {
            // Sends nothing during the partition, and closes the connection after it.
            _ = link.wait_for(|link| *link == Link::Up).await;
            return Ok(());
        }
        stream.write_all(load.as_bytes()).await?;
        stream.write_all(slices.as_bytes()).await?;
        state.add_sent_bytes(Traffic::Reports, load.len() + slices.len());
    }
}
