//! Fake discovery agent: serves the registry's endpoint list over HTTP, as one complete answer or as a chunked watch.

use super::fleet::{EntryState, FleetSize, ReplicaState};
use super::loopback_server::LoopbackServer;
use super::traffic::Traffic;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between two keep-alive lines of a watch while nothing changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// An entry of the list, and the version of its last change.
struct VersionedEntry {
    state: EntryState,
    changed_in_version: u64,
}

/// The form in which a new version of the list is sent to open watches.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Changes,
    FullList,
}

/// The list of replicas and its version.
struct Registry {
    size: FleetSize,
    version: u64,
    /// The entries by replica index.
    entries: BTreeMap<usize, VersionedEntry>,
    /// A watch whose last sent version is lower receives the complete list.
    full_list_since: u64,
    /// True once the agent is dropped.
    is_ended: bool,
}

impl Registry {
    /// Returns the entries that changed after version `since`, or the complete list for `None`.
    fn list(&self, since: Option<u64>) -> Value {
        let is_included = |entry: &VersionedEntry| match since {
            Some(since) => entry.changed_in_version > since,
            None => entry.state.state != ReplicaState::Left,
        };
        let included = self.entries.iter().filter(|(_, entry)| is_included(entry));
        let replicas: Vec<Value> =
            included.map(|(number, entry)| self.size.entry(*number, entry.state)).collect();
        json!({"version": self.version, "full": since.is_none(), "servers": replicas})
    }
}

/// The registry, and the condition variable that signals its changes; shared by all connections.
#[derive(Clone)]
struct Shared(Arc<(Mutex<Registry>, Condvar)>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.0 .0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The fake agent. Its watches end when it is dropped.
pub struct Discovery {
    server: LoopbackServer,
    shared: Shared,
}

impl Discovery {
    /// Starts an agent that lists all replicas of the fleet as active.
    ///
    /// # Errors
    ///
    /// When no port on loopback can be bound.
    pub fn start(size: &FleetSize, traffic: &Arc<Traffic>) -> std::io::Result<Discovery> {
        let state = EntryState { state: ReplicaState::Active, started_ms: 0 };
        let entry = |number| (number, VersionedEntry { state, changed_in_version: 1 });
        let entries = (0..size.replicas).map(entry).collect();
        let registry =
            Registry { size: size.clone(), version: 1, entries, full_list_since: 1, is_ended: false };
        let shared = Shared(Arc::new((Mutex::new(registry), Condvar::new())));
        let (server_shared, traffic) = (shared.clone(), traffic.clone());
        let server = LoopbackServer::start(move |stream| {
            _ = serve(stream, &server_shared, &traffic);
        })?;
        Ok(Discovery { server, shared })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Changes entries in one new version. Open watches receive the changed entries immediately.
    pub fn change(&self, changes: impl IntoIterator<Item = (usize, EntryState)>) {
        self.publish_version(changes, Delivery::Changes);
    }

    /// Changes entries in one new version. Open watches receive the complete list immediately, as after an outage.
    pub fn change_and_send_full_list(&self, changes: impl IntoIterator<Item = (usize, EntryState)>) {
        self.publish_version(changes, Delivery::FullList);
    }

    fn publish_version(&self, changes: impl IntoIterator<Item = (usize, EntryState)>, delivery: Delivery) {
        let mut registry = self.shared.lock();
        registry.version += 1;
        let version = registry.version;
        if delivery == Delivery::FullList {
            registry.full_list_since = version;
        }
        let entry = |(number, state)| (number, VersionedEntry { state, changed_in_version: version });
        registry.entries.extend(changes.into_iter().map(entry));
        drop(registry);
        self.shared.0 .1.notify_all();
    }

    /// Returns the size of the complete list as one JSON object, in bytes.
    pub fn full_list_bytes(&self) -> usize {
        self.shared.lock().list(None).to_string().len()
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.shared.lock().is_ended = true;
        self.shared.0 .1.notify_all();
    }
}

fn serve(stream: TcpStream, shared: &Shared, traffic: &Traffic) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if reader.read_until(b'\n', &mut head)? == 0 {
                return Ok(());
            }
        }
        traffic.discovery_requests.add(head.len(), head.iter().filter(|byte| **byte == b'\n').count());
        let head = String::from_utf8_lossy(&head);
        let path = head.split_whitespace().nth(1).unwrap_or_default().to_string();
        match watch_start_version(&path) {
            Some(since) => return serve_watch(&stream, since, shared, traffic),
            None => serve_list(&stream, &path, shared, traffic)?,
        }
    }
}

/// Returns the version that a watch request starts from; `None` if the request is not for a watch.
fn watch_start_version(path: &str) -> Option<u64> {
    let query = path.strip_prefix("/registry/instances?")?;
    let value = |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
    (value("follow") == Some("1")).then(|| value("since").and_then(|since| since.parse().ok()).unwrap_or(0))
}

fn serve_list(mut stream: &TcpStream, path: &str, shared: &Shared, traffic: &Traffic) -> std::io::Result<()> {
    let (status, body) = match path {
        "/registry/instances" => ("200 OK", format!("{}\n", shared.lock().list(None))),
        _ => ("404 Not Found", String::new()),
    };
    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    traffic.endpoint_list.add(head.len() + body.len(), body.lines().count());
    Ok(())
}

/// Returns true if the peer has closed the connection. The peer sends nothing after its watch request.
fn is_closed(stream: &TcpStream) -> bool {
    let peeked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
    let ended = match peeked {
        Ok(read) => read == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    ended || stream.set_nonblocking(false).is_err()
}

fn serve_watch(stream: &TcpStream, since: u64, shared: &Shared, traffic: &Traffic) -> std::io::Result<()> {
    let send = |text: &str, lines: usize| {
        traffic.endpoint_list.add(text.len(), lines);
        (&mut &*stream).write_all(text.as_bytes())
    };
    send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", 0)?;
    let mut sent_version = (since > 0).then_some(since);
    loop {
        let mut registry = shared.lock();
        if sent_version.is_some_and(|sent_version| sent_version >= registry.version) && !registry.is_ended {
            let waited = shared.0 .1.wait_timeout(registry, KEEP_ALIVE_INTERVAL);
            registry = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        if registry.is_ended {
            return Ok(());
        }
        let line = match sent_version {
            Some(version) if version >= registry.version => "\n".to_string(),
            version => {
                let changed_after = version.filter(|version| *version >= registry.full_list_since);
                format!("{}\n", registry.list(changed_after))
            }
        };
        sent_version = Some(registry.version);
        drop(registry);
        // Bytes written to a watch that the peer has closed would be counted although the peer never reads them.
        if is_closed(stream) {
            return Ok(());
        }
        send(&format!("{:x}\r\n{line}\r\n", line.len()), 1)?;
    }
}
