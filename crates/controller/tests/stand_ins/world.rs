//! A relay with a store, joined proxies that ack, and a discovery with a list: they go on by themselves, as
//! long as the test does, and tell each order with the moment at which it came.

use super::*;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

/// How the relay treats calls.
#[derive(Clone, Copy, PartialEq)]
pub enum Manner {
    Answers,
    /// Carries out and says nothing: the outcome is unknown to whoever called.
    Mute,
    /// Closes what comes and carries out nothing.
    Away,
}

pub struct World {
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
    pub orders: Heard<(Instant, String)>,
    /// Of each slice, the weights by replica.
    pub tables: Arc<Mutex<BTreeMap<usize, BTreeMap<String, f64>>>>,
    manner: Arc<Mutex<Manner>>,
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

impl Drop for World {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

impl World {
    pub fn start(replicas: usize, slices: usize, proxies: usize) -> Self {
        let (relay, discovery) = (Relay::start(), Discovery::start());
        let (relay_address, discovery_address) = (relay.address, discovery.address);
        let tables =
            (0..slices).map(|n| (n, BTreeMap::from([(format!("s-{}", n % replicas), 1.0)]))).collect();
        let (say, orders) = channel();
        let world = World {
            relay: relay_address,
            discovery: discovery_address,
            orders: Heard::new(orders),
            tables: Arc::new(Mutex::new(tables)),
            manner: Arc::new(Mutex::new(Manner::Answers)),
            list: Arc::new(Mutex::new(List { version: 1, replicas: vec![("active", 0); replicas] })),
            ends: Arc::default(),
        };
        let (tables, manner, ends) = (world.tables.clone(), world.manner.clone(), world.ends.clone());
        thread::spawn(move || serve_relay(relay, proxies, &tables, &manner, &ends, say));
        let (list, ends) = (world.list.clone(), world.ends.clone());
        thread::spawn(move || {
            let (mut watches, mut told) = (Vec::<(Watch, u64)>::new(), Instant::now());
            while !ends.load(Ordering::Relaxed) {
                if let Ok(watch) = discovery.heard.arrives.recv_timeout(Duration::from_millis(10)) {
                    watches.push((watch, 0));
                }
                let list = list.lock().unwrap().clone();
                let alive = told.elapsed() > Duration::from_millis(500);
                told = if alive { Instant::now() } else { told };
                watches.retain_mut(|(watch, version)| {
                    let said = match *version < list.version {
                        true => watch.say.send(list.line(true, None)).is_ok(),
                        false => !alive || watch.say.send("\n".into()).is_ok(),
                    };
                    *version = list.version;
                    said
                });
            }
        });
        world
    }

    pub fn be(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    /// A replica's state in the list, and when it was started.
    pub fn relist(&self, replica: usize, state: &'static str, started_ms: u64) {
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        list.replicas[replica] = (state, started_ms);
    }

    /// When this order came.
    pub fn order(&mut self, text: &str) -> Instant {
        self.orders.wait(text, |(_, order)| order == text).0
    }

    /// Whether this order came so far and was not waited for yet.
    pub fn has_come(&mut self, text: &str) -> bool {
        self.orders.kept.extend(self.orders.arrives.try_iter());
        self.orders.kept.iter().any(|(_, order)| order == text)
    }

    /// Waits until no slice names a replica; how long that took.
    pub fn is_left(&self, replica: &str) -> Duration {
        let began = Instant::now();
        while self.named(replica) > 0 {
            assert!(began.elapsed() < PATIENCE, "{replica} is still named");
            thread::sleep(Duration::from_millis(10));
        }
        began.elapsed()
    }

    /// How many slices name a replica.
    pub fn named(&self, replica: &str) -> usize {
        self.tables.lock().unwrap().values().filter(|table| table.contains_key(replica)).count()
    }
}

fn serve_relay(
    relay: Relay,
    proxies: usize,
    tables: &Mutex<BTreeMap<usize, BTreeMap<String, f64>>>,
    manner: &Mutex<Manner>,
    ends: &AtomicBool,
    say: std::sync::mpsc::Sender<(Instant, String)>,
) {
    let (mut news, mut told) = (None::<TcpStream>, Instant::now());
    while !ends.load(Ordering::Relaxed) {
        if told.elapsed() > Duration::from_millis(300) {
            told = Instant::now();
            news = news.filter(|way: &TcpStream| (&*way).write_all(b"*\r\n").is_ok());
        }
        let Ok(said) = relay.heard.arrives.recv_timeout(Duration::from_millis(10)) else { continue };
        let manner = *manner.lock().unwrap();
        if manner == Manner::Away {
            _ = said.way.shutdown(std::net::Shutdown::Both);
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
            let mut way = said.way;
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
            _ = (&said.way).write_all(b"ERR bad_request\r\n");
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
        if manner == Manner::Answers {
            said.carried_out();
        }
    }
}
