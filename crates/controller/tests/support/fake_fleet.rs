//! A relay with a store, proxies that acknowledge, and a discovery agent with an endpoint list: they run by themselves
//! as long as the test, and record each command with the time of its arrival.

use super::*;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

/// How the relay treats requests.
#[derive(Clone, Copy, PartialEq)]
pub enum RelayBehaviour {
    Responds,
    /// Applies requests and sends no response: their outcome is unknown to the controller.
    Silent,
    /// Closes connections and applies nothing.
    Unreachable,
}

pub struct FakeFleet {
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
    pub commands: MessageQueue<(Instant, String)>,
    /// Of each slice, the weights by replica.
    pub tables: Arc<Mutex<BTreeMap<usize, BTreeMap<String, f64>>>>,
    behaviour: Arc<Mutex<RelayBehaviour>>,
    list: Arc<Mutex<List>>,
    ends: Arc<AtomicBool>,
}

#[derive(Clone)]
struct List {
    version: u64,
    /// State, and when it was started.
    replicas: Vec<(&'static str, u64)>,
}

impl List {
    fn line(&self, whole: bool, only: Option<usize>) -> String {
        let entry = |(n, (state, started)): (usize, &(&str, u64))| {
            json!({"id": format!("s-{n}"), "addr": "127.0.0.9:1", "zone": "north", "kind": "m2", "cell": 3,
                "state": state, "weight": 1.0, "started_ms": started})
        };
        let named = self.replicas.iter().enumerate().filter(|(n, _)| only.is_none_or(|only| only == *n));
        let replicas: Vec<_> = named.map(entry).collect();
        format!("{}\n", json!({"version": self.version, "full": whole, "servers": replicas}))
    }
}

impl Drop for FakeFleet {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

impl FakeFleet {
    pub fn start(replicas: usize, slices: usize, proxies: usize) -> Self {
        let (relay, discovery) = (FakeRelay::start(), FakeDiscovery::start());
        let (relay_address, discovery_address) = (relay.address, discovery.address);
        let tables =
            (0..slices).map(|n| (n, BTreeMap::from([(format!("s-{}", n % replicas), 1.0)]))).collect();
        let (say, commands) = channel();
        let fleet = FakeFleet {
            relay: relay_address,
            discovery: discovery_address,
            commands: MessageQueue::new(commands, TEST_TIMEOUT),
            tables: Arc::new(Mutex::new(tables)),
            behaviour: Arc::new(Mutex::new(RelayBehaviour::Responds)),
            list: Arc::new(Mutex::new(List { version: 1, replicas: vec![("active", 0); replicas] })),
            ends: Arc::default(),
        };
        let (tables, behaviour, ends) = (fleet.tables.clone(), fleet.behaviour.clone(), fleet.ends.clone());
        thread::spawn(move || serve_relay(relay, proxies, &tables, &behaviour, &ends, say));
        let (list, ends) = (fleet.list.clone(), fleet.ends.clone());
        thread::spawn(move || {
            let (mut watches, mut told) = (Vec::<(RegistryWatch, u64)>::new(), Instant::now());
            while !ends.load(Ordering::Relaxed) {
                if let Ok(watch) = discovery.messages.receiver.recv_timeout(Duration::from_millis(10)) {
                    watches.push((watch, 0));
                }
                let list = list.lock().unwrap().clone();
                let alive = told.elapsed() > Duration::from_millis(500);
                told = if alive { Instant::now() } else { told };
                watches.retain_mut(|(watch, version)| {
                    let said = match *version < list.version {
                        true => watch.lines.send(list.line(true, None)).is_ok(),
                        false => !alive || watch.lines.send("\n".into()).is_ok(),
                    };
                    *version = list.version;
                    said
                });
            }
        });
        fleet
    }

    pub fn set_relay_behaviour(&self, behaviour: RelayBehaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// A replica's state in the list, and when it was started.
    pub fn set_listed_state(&self, replica: usize, state: &'static str, started_ms: u64) {
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        list.replicas[replica] = (state, started_ms);
    }

    /// Waits for a command; returns when it arrived.
    pub fn wait_for_command(&mut self, text: &str) -> Instant {
        self.commands.wait(text, |(_, order)| order == text).0
    }

    /// Whether a command has arrived that was not waited for yet.
    pub fn has_received(&mut self, text: &str) -> bool {
        self.commands.skipped.extend(self.commands.receiver.try_iter());
        self.commands.skipped.iter().any(|(_, order)| order == text)
    }

    /// Waits until no routing table names a replica; returns how long that took.
    pub fn wait_until_unused(&self, replica: &str) -> Duration {
        let began = Instant::now();
        while self.slices_on(replica) > 0 {
            assert!(began.elapsed() < TEST_TIMEOUT, "{replica} is still named");
            thread::sleep(Duration::from_millis(10));
        }
        began.elapsed()
    }

    /// The number of slices whose routing table names a replica.
    pub fn slices_on(&self, replica: &str) -> usize {
        self.tables.lock().unwrap().values().filter(|table| table.contains_key(replica)).count()
    }
}

fn serve_relay(
    relay: FakeRelay,
    proxies: usize,
    tables: &Mutex<BTreeMap<usize, BTreeMap<String, f64>>>,
    behaviour: &Mutex<RelayBehaviour>,
    ends: &AtomicBool,
    say: std::sync::mpsc::Sender<(Instant, String)>,
) {
    let (mut news, mut told) = (None::<TcpStream>, Instant::now());
    while !ends.load(Ordering::Relaxed) {
        if told.elapsed() > Duration::from_millis(300) {
            told = Instant::now();
            news = news.filter(|way: &TcpStream| (&*way).write_all(b"*\r\n").is_ok());
        }
        let Ok(said) = relay.messages.receiver.recv_timeout(Duration::from_millis(10)) else { continue };
        let behaviour = *behaviour.lock().unwrap();
        if behaviour == RelayBehaviour::Unreachable {
            _ = said.stream.shutdown(std::net::Shutdown::Both);
            news = news.filter(|way| way.shutdown(std::net::Shutdown::Both).is_err());
            continue;
        }
        if said.line == "WATCH" {
            let mut lines = vec!["OK".to_string()];
            lines.extend((0..proxies).map(|proxy| format!("* SUBSCRIBE {proxy} north 21.5 1")));
            for (slice, table) in &*tables.lock().unwrap() {
                lines.push(format!("* GRANT {slice} 1"));
                lines.extend(
                    table.iter().map(|(replica, weight)| format!("* ROW {slice} {replica} {weight}")),
                );
            }
            lines.push("*".into());
            let mut way = said.stream;
            news = way.write_all(format!("{}\r\n", lines.join("\r\n")).as_bytes()).is_ok().then_some(way);
            continue;
        }
        // What can't be read whole is refused whole, as the relay does.
        let readable = |order: &str| match order.split(',').collect::<Vec<_>>()[..] {
            ["SET", slice, replica, weight] => {
                let known = replica.strip_prefix("s-").is_some_and(|number| number.parse::<usize>().is_ok());
                slice.parse::<usize>().is_ok() && weight.parse::<f64>().is_ok() && known
            }
            ["OUT" | "IN", _] | ["LIMIT", _, _, _, _] | ["SYNC", _, _] => true,
            _ => false,
        };
        let Some(call) = said.line.strip_prefix("APPLY ").filter(|call| call.split(';').all(readable)) else {
            _ = (&said.stream).write_all(b"ERR bad_request\r\n");
            continue;
        };
        let now = Instant::now();
        for order in call.split(';') {
            let parts: Vec<_> = order.split(',').collect();
            if let ["SET", slice, replica, weight] = parts[..] {
                let mut tables = tables.lock().unwrap();
                let table = tables.entry(slice.parse().unwrap()).or_default();
                table.insert(replica.into(), weight.parse().unwrap());
                table.retain(|_, weight| *weight > 0.0);
                assert!(!table.is_empty(), "rule 1: slice {slice} is bare");
            }
            _ = say.send((now, order.to_string()));
        }
        if let (Some(version), Some(way)) = (said.version(), &mut news) {
            let acks: Vec<_> = (0..proxies).map(|proxy| format!("* ACK {proxy} {version}\r\n")).collect();
            _ = way.write_all(acks.concat().as_bytes());
        }
        if behaviour == RelayBehaviour::Responds {
            said.accept();
        }
    }
}
