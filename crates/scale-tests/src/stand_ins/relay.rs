//! The relay: the store of tables and the way to the proxies. It tells what stands and signs of life to whoever
//! watches, carries out calls, and has all proxies ack versions at once.

use super::fleet::FleetSize;
use super::{Replica, Traffic};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Between two signs of life.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// The lag that proxies tell with an ack.
const ACK_LAG_MS: f64 = 90.5;

/// A call that came, with its moment.
#[derive(Clone, Debug)]
pub struct Call {
    /// When it was read.
    pub at: Instant,
    /// Its orders.
    pub orders: Vec<String>,
}

struct Store {
    size: FleetSize,
    /// Of each slice, the weights by replica.
    tables: BTreeMap<usize, BTreeMap<String, f64>>,
    watchers: Vec<TcpStream>,
}

impl Store {
    /// What a new watcher is told.
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

    /// Carries out one order; false where it can't be read.
    fn carry_out(&mut self, order: &str) -> bool {
        match order.split(',').collect::<Vec<_>>()[..] {
            ["SET", slice, replica, weight] => {
                let (Ok(slice), Ok(weight)) = (slice.parse::<usize>(), weight.parse::<f64>()) else {
                    return false;
                };
                // Orders for a slice that the controller does not hold change nothing.
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

    fn tell(&mut self, text: &str, lines: usize, traffic: &Traffic) {
        self.watchers.retain_mut(|watcher| watcher.write_all(text.as_bytes()).is_ok());
        let told = self.watchers.len();
        traffic.news.add(text.len() * told, lines * told);
    }

    fn acks(&self, version: &str) -> String {
        (0..self.size.proxies).map(|proxy| format!("* ACK {proxy} {version} {ACK_LAG_MS}\r\n")).collect()
    }
}

#[derive(Clone)]
struct Shared(Arc<Mutex<Store>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The relay of one controller; it ends when dropped.
pub struct Relay {
    replica: Replica,
    shared: Shared,
    calls: Receiver<Call>,
    ends: Arc<AtomicBool>,
}

impl Relay {
    /// Starts with one replica for each slice of the fleet.
    pub fn start(size: &FleetSize, traffic: &Arc<Traffic>) -> std::io::Result<Relay> {
        let table = |slice: usize| (slice, BTreeMap::from([(size.replica(size.owner(slice)), 1.0)]));
        let store =
            Store { size: size.clone(), tables: (0..size.slices).map(table).collect(), watchers: vec![] };
        let shared = Shared(Arc::new(Mutex::new(store)));
        let (say, calls) = channel();
        let (serving, counting) = (shared.clone(), traffic.clone());
        let replica = Replica::start(move |stream| {
            _ = serve(stream, &serving, &counting, &say);
        })?;
        let ends = Arc::new(AtomicBool::new(false));
        let (alive, counting, ended) = (shared.clone(), traffic.clone(), ends.clone());
        thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                thread::sleep(KEEP_ALIVE);
                alive.lock().tell("*\r\n", 1, &counting);
            }
        });
        Ok(Relay { replica, shared, calls, ends })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.replica.address
    }

    /// The next call, if one comes in this time.
    pub fn next_call(&self, within: Duration) -> Option<Call> {
        self.calls.recv_timeout(within).ok()
    }

    /// All calls that have come since the last look.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.try_iter().collect()
    }

    /// Of each slice, the replica of the greatest weight.
    pub fn owners(&self) -> BTreeMap<usize, String> {
        let store = self.shared.lock();
        let owner = |(slice, table): (&usize, &BTreeMap<String, f64>)| {
            let (replica, _) = table.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
            Some((*slice, replica.clone()))
        };
        store.tables.iter().filter_map(owner).collect()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

fn serve(stream: TcpStream, shared: &Shared, traffic: &Traffic, say: &Sender<Call>) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        traffic.calls.add(line.len(), 1);
        let text = line.trim_end();
        if text == "WATCH" {
            let mut store = shared.lock();
            let snapshot = store.snapshot();
            writer.write_all(snapshot.as_bytes())?;
            traffic.news.add(snapshot.len(), snapshot.lines().count());
            store.watchers.push(writer.try_clone()?);
            continue;
        }
        let answer = match text.strip_prefix("APPLY ") {
            Some(orders) => apply(orders, shared, traffic, say),
            None => "ERR bad_request\r\n".to_string(),
        };
        traffic.answers.add(answer.len(), 1);
        writer.write_all(answer.as_bytes())?;
    }
}

/// Carries out orders up to the first that can't be read; the answer says how many.
fn apply(orders: &str, shared: &Shared, traffic: &Traffic, say: &Sender<Call>) -> String {
    let orders: Vec<String> = orders.split(';').map(String::from).collect();
    let mut store = shared.lock();
    let taken = orders.iter().take_while(|order| store.carry_out(order)).count();
    let versions = orders[..taken].iter().filter_map(|order| order.strip_prefix("SYNC,")?.split(',').next());
    for version in versions {
        let acks = store.acks(version);
        let lines = store.size.proxies;
        store.tell(&acks, lines, traffic);
    }
    // Nobody may listen any more.
    _ = say.send(Call { at: Instant::now(), orders });
    format!("OK {taken}\r\n")
}
