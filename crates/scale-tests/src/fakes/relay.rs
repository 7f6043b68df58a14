//! Fake relay: stores the routing tables, sends a snapshot and keep-alive lines to its watchers, applies relay
//! requests, and acknowledges each version immediately on behalf of all proxies.

use super::fleet::FleetSize;
use super::loopback_server::LoopbackServer;
use super::traffic::Traffic;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two keep-alive lines.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The lag that each acknowledgement reports, in milliseconds.
const ACK_LAG_MS: f64 = 90.5;

/// A relay request of the controller, with the time at which it was read.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// The time at which the request was read.
    pub read_at: Instant,
    /// The commands of the request.
    pub commands: Vec<String>,
}

struct RelayState {
    size: FleetSize,
    /// The weights by replica for each slice.
    tables: BTreeMap<usize, BTreeMap<String, f64>>,
    watchers: Vec<TcpStream>,
}

impl RelayState {
    /// Returns the lines that a new watcher receives.
    fn snapshot(&self) -> String {
        let mut text = String::from("OK\r\n");
        for proxy in 0..self.size.proxies {
            let zone = self.size.zone(proxy);
            text.push_str(&format!("* SUBSCRIBE {proxy} {zone} 21.5 1\r\n"));
        }
        for (slice, table) in &self.tables {
            text.push_str(&format!("* GRANT {slice} 1\r\n"));
            for (replica, weight) in table {
                text.push_str(&format!("* ROW {slice} {replica} {weight}\r\n"));
            }
        }
        text.push_str("*\r\n");
        text
    }

    /// Applies one command; returns false if it is invalid.
    fn apply_command(&mut self, command: &str) -> bool {
        match command.split(',').collect::<Vec<_>>()[..] {
            ["SET", slice, replica, weight] => {
                let (Ok(slice), Ok(weight)) = (slice.parse::<usize>(), weight.parse::<f64>()) else {
                    return false;
                };
                // A command for a slice that the controller does not own has no effect.
                if let Some(table) = self.tables.get_mut(&slice) {
                    table.insert(replica.into(), weight);
                    table.retain(|_, weight| *weight > 0.0);
                }
                true
            }
            ["DEL", slice] => {
                let table = slice.parse().ok().and_then(|slice: usize| self.tables.get_mut(&slice));
                table.into_iter().for_each(BTreeMap::clear);
                true
            }
            ["OUT" | "IN", _] | ["LIMIT", _, _, _, _] | ["SYNC", _, _] => true,
            _ => false,
        }
    }

    fn broadcast(&mut self, text: &str, lines: usize, traffic: &Traffic) {
        self.watchers.retain_mut(|watcher| watcher.write_all(text.as_bytes()).is_ok());
        let watcher_count = self.watchers.len();
        traffic.relay_events.add(text.len() * watcher_count, lines * watcher_count);
    }

    fn acknowledgements(&self, version: &str) -> String {
        (0..self.size.proxies).map(|proxy| format!("* ACK {proxy} {version} {ACK_LAG_MS}\r\n")).collect()
    }
}

#[derive(Clone)]
struct Shared(Arc<Mutex<RelayState>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The fake relay of one controller. It ends when dropped.
pub struct Relay {
    server: LoopbackServer,
    shared: Shared,
    relay_requests: Receiver<RelayRequest>,
    stop: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay whose routing tables have one replica per slice of the fleet.
    ///
    /// # Errors
    ///
    /// When no port on loopback can be bound.
    pub fn start(size: &FleetSize, traffic: &Arc<Traffic>) -> std::io::Result<Relay> {
        let table = |slice: usize| (slice, BTreeMap::from([(size.replica(size.owner(slice)), 1.0)]));
        let state = RelayState {
            size: size.clone(),
            tables: (0..size.slices).map(table).collect(),
            watchers: vec![],
        };
        let shared = Shared(Arc::new(Mutex::new(state)));
        let (sender, relay_requests) = channel();
        let (server_shared, server_traffic) = (shared.clone(), traffic.clone());
        let server = LoopbackServer::start(move |stream| {
            _ = serve(stream, &server_shared, &server_traffic, &sender);
        })?;
        let stop = Arc::new(AtomicBool::new(false));
        let (keep_alive_shared, keep_alive_traffic, thread_stop) =
            (shared.clone(), traffic.clone(), stop.clone());
        thread::spawn(move || {
            while !thread_stop.load(Ordering::Relaxed) {
                thread::sleep(KEEP_ALIVE_INTERVAL);
                keep_alive_shared.lock().broadcast("*\r\n", 1, &keep_alive_traffic);
            }
        });
        Ok(Relay { server, shared, relay_requests, stop })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Waits for the next relay request; returns `None` if it does not arrive within the given time.
    pub fn next_request(&self, within: Duration) -> Option<RelayRequest> {
        self.relay_requests.recv_timeout(within).ok()
    }

    /// Returns the relay requests received since the previous call.
    pub fn take_requests(&self) -> Vec<RelayRequest> {
        self.relay_requests.try_iter().collect()
    }

    /// Returns the replica with the highest weight for each slice.
    pub fn owners(&self) -> BTreeMap<usize, String> {
        let state = self.shared.lock();
        let owner = |(slice, table): (&usize, &BTreeMap<String, f64>)| {
            let (replica, _) = table.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
            Some((*slice, replica.clone()))
        };
        state.tables.iter().filter_map(owner).collect()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn serve(
    stream: TcpStream,
    shared: &Shared,
    traffic: &Traffic,
    sender: &Sender<RelayRequest>,
) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        traffic.relay_requests.add(line.len(), 1);
        let text = line.trim_end();
        if text == "WATCH" {
            let mut state = shared.lock();
            let snapshot = state.snapshot();
            writer.write_all(snapshot.as_bytes())?;
            traffic.relay_events.add(snapshot.len(), snapshot.lines().count());
            state.watchers.push(writer.try_clone()?);
            continue;
        }
        let response = match text.strip_prefix("APPLY ") {
            Some(commands) => apply(commands, shared, traffic, sender),
            None => "ERR bad_request\r\n".to_string(),
        };
        traffic.relay_responses.add(response.len(), 1);
        writer.write_all(response.as_bytes())?;
    }
}

/// Applies the commands before the first invalid one. The response contains their number.
fn apply(commands: &str, shared: &Shared, traffic: &Traffic, sender: &Sender<RelayRequest>) -> String {
    let commands: Vec<String> = commands.split(';').map(String::from).collect();
    let mut state = shared.lock();
    let accepted = commands.iter().take_while(|command| state.apply_command(command)).count();
    let versions =
        commands[..accepted].iter().filter_map(|command| command.strip_prefix("SYNC,")?.split(',').next());
    for version in versions {
        let acks = state.acknowledgements(version);
        let lines = state.size.proxies;
        state.broadcast(&acks, lines, traffic);
    }
    // The send fails if the receiver was dropped, which is expected at the end of a test.
    _ = sender.send(RelayRequest { read_at: Instant::now(), commands });
    format!("OK {accepted}\r\n")
}
