//! A fake relay with stored routing tables and proxies that acknowledge, and a fake discovery agent with an endpoint
//! list. They run on threads of their own until the test ends, and record each command with its arrival time.

use super::*;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

/// How the fake relay handles requests.
#[derive(Clone, Copy, PartialEq)]
pub enum RelayBehaviour {
    Responds,
    /// Applies requests and does not respond, so that their outcome is unknown to the controller.
    Silent,
    /// Closes connections and does not apply requests.
    Unreachable,
}

/// The addresses and the state of the fake relay and discovery agent.
pub struct FakeFleet {
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
    pub commands: MessageQueue<(Instant, String)>,
    /// Routing tables: weights by replica, for each slice.
    pub tables: Arc<Mutex<BTreeMap<usize, BTreeMap<String, f64>>>>,
    behaviour: Arc<Mutex<RelayBehaviour>>,
    list: Arc<Mutex<List>>,
    is_ended: Arc<AtomicBool>,
}

#[derive(Clone)]
struct List {
    version: u64,
    /// State and start time in ms of each replica.
    replicas: Vec<(&'static str, u64)>,
}

impl List {
    /// The line with the entries of all replicas, or of one.
    fn encode_line(&self, is_complete: bool, only: Option<usize>) -> String {
        let entry = |(n, (state, started_ms)): (usize, &(&str, u64))| {
            json!({"id": format!("s-{n}"), "addr": "127.0.0.9:1", "zone": "north", "kind": "m2", "cell": 3,
                "state": state, "weight": 1.0, "started_ms": started_ms})
        };
        let selected = self.replicas.iter().enumerate().filter(|(n, _)| only.is_none_or(|only| only == *n));
        let replicas: Vec<_> = selected.map(entry).collect();
        format!("{}\n", json!({"version": self.version, "full": is_complete, "servers": replicas}))
    }
}

impl Drop for FakeFleet {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }
}

impl FakeFleet {
    pub fn start(replicas: usize, slices: usize, proxies: usize) -> Self {
        let (relay, discovery) = (FakeRelay::start(), FakeDiscovery::start());
        let (relay_address, discovery_address) = (relay.address, discovery.address);
        let tables =
            (0..slices).map(|n| (n, BTreeMap::from([(format!("s-{}", n % replicas), 1.0)]))).collect();
        let (sender, commands) = channel();
        let fleet = FakeFleet {
            relay: relay_address,
            discovery: discovery_address,
            commands: MessageQueue::new(commands, TEST_TIMEOUT),
            tables: Arc::new(Mutex::new(tables)),
            behaviour: Arc::new(Mutex::new(RelayBehaviour::Responds)),
            list: Arc::new(Mutex::new(List { version: 1, replicas: vec![("active", 0); replicas] })),
            is_ended: Arc::default(),
        };
        let (tables, behaviour, is_ended) =
            (fleet.tables.clone(), fleet.behaviour.clone(), fleet.is_ended.clone());
        thread::spawn(move || serve_relay(relay, proxies, &tables, &behaviour, &is_ended, sender));
        let (list, is_ended) = (fleet.list.clone(), fleet.is_ended.clone());
        thread::spawn(move || {
            let (mut watches, mut last_heartbeat) = (Vec::<(RegistryWatch, u64)>::new(), Instant::now());
            while !is_ended.load(Ordering::Relaxed) {
                if let Ok(watch) = discovery.messages.receiver.recv_timeout(Duration::from_millis(10)) {
                    watches.push((watch, 0));
                }
                let list = list.lock().unwrap().clone();
                let heartbeat_due = last_heartbeat.elapsed() > Duration::from_millis(500);
                last_heartbeat = if heartbeat_due { Instant::now() } else { last_heartbeat };
                watches.retain_mut(|(watch, version)| {
                    let is_open = match *version < list.version {
                        true => watch.lines.send(list.encode_line(true, None)).is_ok(),
                        false => !heartbeat_due || watch.lines.send("\n".into()).is_ok(),
                    };
                    *version = list.version;
                    is_open
                });
            }
        });
        fleet
    }

    pub fn set_relay_behaviour(&self, behaviour: RelayBehaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// Changes the state and the start time of a replica in the endpoint list.
    pub fn set_listed_state(&self, replica: usize, state: &'static str, started_ms: u64) {
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        list.replicas[replica] = (state, started_ms);
    }

    /// Waits for a command and returns its arrival time.
    pub fn wait_for_command(&mut self, text: &str) -> Instant {
        self.commands.wait(text, |(_, command)| command == text).0
    }

    /// Returns true if a command has arrived that no call of [`FakeFleet::wait_for_command`] has returned.
    pub fn has_received(&mut self, text: &str) -> bool {
        self.commands.skipped.extend(self.commands.receiver.try_iter());
        self.commands.skipped.iter().any(|(_, command)| command == text)
    }

    /// Waits until no routing table contains a replica. Returns the duration of the wait.
    pub fn wait_until_unused(&self, replica: &str) -> Duration {
        let start = Instant::now();
        while self.slices_on(replica) > 0 {
            assert!(start.elapsed() < TEST_TIMEOUT, "{replica} is still in a routing table");
            thread::sleep(Duration::from_millis(10));
        }
        start.elapsed()
    }

    /// The number of slices whose routing table contains a replica.
    pub fn slices_on(&self, replica: &str) -> usize {
        self.tables.lock().unwrap().values().filter(|table| table.contains_key(replica)).count()
    }
}

/// Serves the requests and the watch of the relay until the test ends.
fn serve_relay(
    relay: FakeRelay,
    proxies: usize,
    tables: &Mutex<BTreeMap<usize, BTreeMap<String, f64>>>,
    behaviour: &Mutex<RelayBehaviour>,
    is_ended: &AtomicBool,
    sender: std::sync::mpsc::Sender<(Instant, String)>,
) {
    let (mut watch, mut last_heartbeat) = (None::<TcpStream>, Instant::now());
    while !is_ended.load(Ordering::Relaxed) {
        if last_heartbeat.elapsed() > Duration::from_millis(300) {
            last_heartbeat = Instant::now();
            watch = watch.filter(|stream: &TcpStream| (&*stream).write_all(b"*\r\n").is_ok());
        }
        let Ok(request) = relay.messages.receiver.recv_timeout(Duration::from_millis(10)) else { continue };
        let behaviour = *behaviour.lock().unwrap();
        if behaviour == RelayBehaviour::Unreachable {
            _ = request.stream.shutdown(std::net::Shutdown::Both);
            watch = watch.filter(|stream| stream.shutdown(std::net::Shutdown::Both).is_err());
            continue;
        }
        if request.line == "WATCH" {
            let mut lines = vec!["OK".to_string()];
            lines.extend((0..proxies).map(|proxy| format!("* SUBSCRIBE {proxy} north 21.5 1")));
            for (slice, table) in &*tables.lock().unwrap() {
                lines.push(format!("* GRANT {slice} 1"));
                lines.extend(
                    table.iter().map(|(replica, weight)| format!("* ROW {slice} {replica} {weight}")),
                );
            }
            lines.push("*".into());
            let mut peer = request.stream;
            watch = peer.write_all(format!("{}\r\n", lines.join("\r\n")).as_bytes()).is_ok().then_some(peer);
            continue;
        }
        // A request with a malformed command is rejected as a whole, as by the real relay.
        let is_valid = |command: &str| match command.split(',').collect::<Vec<_>>()[..] {
            ["SET", slice, replica, weight] => {
                let is_id = replica.strip_prefix("s-").is_some_and(|number| number.parse::<usize>().is_ok());
                slice.parse::<usize>().is_ok() && weight.parse::<f64>().is_ok() && is_id
            }
            ["OUT" | "IN", _] | ["LIMIT", _, _, _, _] | ["SYNC", _, _] => true,
            _ => false,
        };
        let Some(commands) = request.line.strip_prefix("APPLY ").filter(|line| line.split(';').all(is_valid))
        else {
            _ = (&request.stream).write_all(b"ERR bad_request\r\n");
            continue;
        };
        let now = Instant::now();
        for command in commands.split(';') {
            let parts: Vec<_> = command.split(',').collect();
            if let ["SET", slice, replica, weight] = parts[..] {
                let mut tables = tables.lock().unwrap();
                let table = tables.entry(slice.parse().unwrap()).or_default();
                table.insert(replica.into(), weight.parse().unwrap());
                table.retain(|_, weight| *weight > 0.0);
                assert!(!table.is_empty(), "rule 1: slice {slice} has no endpoint");
            }
            _ = sender.send((now, command.to_string()));
        }
        if let (Some(version), Some(stream)) = (request.version(), &mut watch) {
            let acks: Vec<_> = (0..proxies).map(|proxy| format!("* ACK {proxy} {version}\r\n")).collect();
            _ = stream.write_all(acks.concat().as_bytes());
        }
        if behaviour == RelayBehaviour::Responds {
            request.accept();
        }
    }
}
