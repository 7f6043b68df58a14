//! Clients that use a listener badly: hundreds of slow or incomplete requests, or one connection at full speed.

use super::protocol::Protocol;
use super::stream::{Endpoint, Stream};
use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// The number of connections of an attack with many of them.
const CONNECTIONS: usize = 400;
/// The threads that serve these connections.
const THREADS: usize = 4;
/// The pause between two bytes of a slow request.
const SLOW_BYTE_INTERVAL: Duration = Duration::from_millis(20);
/// The requests of one write at full speed.
const REQUESTS_PER_WRITE: usize = 200;

/// What the clients do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attack {
    /// Hundreds of connections write one byte after another.
    SlowRequests,
    /// Hundreds of connections stop in the middle of a large request.
    HalfOfLargeRequests,
    /// Hundreds of connections send requests with thousands of short fields.
    ManyShortFields,
    /// One connection sends the smallest request at full speed and reads the answers.
    SmallRequests,
    /// One connection sends requests that cannot be served at full speed, and connects again when it is closed.
    UnsoundRequests,
    /// One connection sends requests at full speed, each under a new name.
    NewNames,
    /// Connections send many requests at once and are closed without reading.
    ClosedUnread,
}

impl Attack {
    /// All attacks.
    pub const ALL: [Attack; 7] = [
        Attack::SlowRequests,
        Attack::HalfOfLargeRequests,
        Attack::ManyShortFields,
        Attack::SmallRequests,
        Attack::UnsoundRequests,
        Attack::NewNames,
        Attack::ClosedUnread,
    ];
}

impl fmt::Display for Attack {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Attack::SlowRequests => "slow requests",
            Attack::HalfOfLargeRequests => "half of large requests",
            Attack::ManyShortFields => "many short fields",
            Attack::SmallRequests => "small requests",
            Attack::UnsoundRequests => "unsound requests",
            Attack::NewNames => "new names",
            Attack::ClosedUnread => "closed unread",
        })
    }
}

/// Running clients; dropping it ends them.
pub(super) struct RunningAttack {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl RunningAttack {
    pub fn start(attack: Attack, endpoint: &Endpoint, protocol: Protocol) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let spawn = |work: fn(Attack, &Endpoint, Protocol, &AtomicBool)| {
            let (endpoint, stop) = (endpoint.clone(), stop.clone());
            std::thread::spawn(move || work(attack, &endpoint, protocol, &stop))
        };
        let threads = match attack {
            Attack::SlowRequests | Attack::HalfOfLargeRequests | Attack::ManyShortFields => {
                (0..THREADS).map(|_| spawn(hold_many_connections)).collect()
            }
            Attack::SmallRequests | Attack::UnsoundRequests | Attack::NewNames => {
                vec![spawn(flood_one_connection)]
            }
            Attack::ClosedUnread => vec![spawn(close_unread)],
        };
        RunningAttack { stop, threads }
    }
}

impl Drop for RunningAttack {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            _ = thread.join();
        }
    }
}

/// A connection with the part of its request that is still to be written.
struct PartialWrite {
    stream: Stream,
    bytes: Vec<u8>,
    written: usize,
}

impl PartialWrite {
    /// Writes what the peer accepts, at most `max_bytes`. Returns false if the connection has ended.
    fn advance(&mut self, max_bytes: usize) -> bool {
        let mut discarded = [0; 4096];
        match self.stream.read(&mut discarded) {
            Ok(0) => return false,
            Err(error) if error.kind() != ErrorKind::WouldBlock => return false,
            _ => {}
        }
        let end = self.bytes.len().min(self.written.saturating_add(max_bytes));
        match self.stream.write(&self.bytes[self.written..end]) {
            Ok(count) => self.written += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        true
    }
}

/// Keeps this thread's part of the connections open, each with a request that never ends.
fn hold_many_connections(attack: Attack, endpoint: &Endpoint, protocol: Protocol, stop: &AtomicBool) {
    let bytes_per_turn = if attack == Attack::SlowRequests { 1 } else { usize::MAX };
    let mut connections: Vec<PartialWrite> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        while connections.len() < CONNECTIONS / THREADS && !stop.load(Ordering::Relaxed) {
            let Ok(stream) = endpoint.connect() else { break };
            if stream.set_nonblocking().is_err() {
                break;
            }
            connections.push(PartialWrite { stream, bytes: protocol.unfinished_request(attack), written: 0 });
        }
        connections.retain_mut(|connection| connection.advance(bytes_per_turn));
        std::thread::sleep(SLOW_BYTE_INTERVAL);
    }
}

/// Sends requests on one connection as fast as they are read, and reads the answers in another thread.
fn flood_one_connection(attack: Attack, endpoint: &Endpoint, protocol: Protocol, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = endpoint.connect() else { continue };
        let reader = stream.try_clone().map(|mut reads| {
            std::thread::spawn(move || {
                let mut buffer = [0; 65536];
                while reads.read(&mut buffer).is_ok_and(|count| count > 0) {}
            })
        });
        let mut is_open = stream.write_all(&protocol.greeting()).is_ok();
        while is_open && !stop.load(Ordering::Relaxed) {
            let requests = protocol.requests(attack, number, REQUESTS_PER_WRITE);
            number += REQUESTS_PER_WRITE as u64;
            is_open = stream.write_all(&requests).is_ok();
        }
        _ = match &stream {
            Stream::Tcp(stream) => stream.shutdown(std::net::Shutdown::Both),
            Stream::Unix(stream) => stream.shutdown(std::net::Shutdown::Both),
        };
        if let Ok(reader) = reader {
            _ = reader.join();
        }
    }
}

/// Sends many requests at once and closes the connection without reading an answer, again and again.
fn close_unread(attack: Attack, endpoint: &Endpoint, protocol: Protocol, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = endpoint.connect() else { continue };
        let requests = protocol.requests(attack, number, REQUESTS_PER_WRITE);
        number += REQUESTS_PER_WRITE as u64;
        _ = stream.write_all(&protocol.greeting()).and_then(|()| stream.write_all(&requests));
        drop(stream);
        std::thread::sleep(SLOW_BYTE_INTERVAL);
    }
}
