//! Stand-ins on loopback for what a controller connects to or is connected by. Each paces what it says and counts the
//! bytes and lines in each direction; each ends when it is dropped.

pub mod collectors;
pub mod discovery;
pub mod fleet;
pub mod relay;
pub mod tap;

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How long a reader may leave unread what it is told before it is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes and lines of one kind in one direction.
#[derive(Debug, Default)]
pub struct Counter {
    bytes: AtomicU64,
    lines: AtomicU64,
}

/// What a counter shows at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Bytes so far, without those of TCP and IP.
    pub bytes: u64,
    /// Lines so far.
    pub lines: u64,
}

impl Counter {
    /// Adds bytes that hold this many lines.
    pub fn add(&self, bytes: usize, lines: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.lines.fetch_add(lines as u64, Ordering::Relaxed);
    }

    /// What it shows now.
    pub fn read(&self) -> Count {
        Count { bytes: self.bytes.load(Ordering::Relaxed), lines: self.lines.load(Ordering::Relaxed) }
    }
}

impl Count {
    /// What was added since an earlier look.
    pub fn since(self, earlier: Count) -> Count {
        Count { bytes: self.bytes - earlier.bytes, lines: self.lines - earlier.lines }
    }
}

/// Counters of all channels of one controller.
#[derive(Debug, Default)]
pub struct Traffic {
    /// From collectors: reports on replicas and slices.
    pub reports: Counter,
    /// From the relay: news.
    pub news: Counter,
    /// From the relay: answers to calls.
    pub answers: Counter,
    /// From discovery: the list and its changes.
    pub list: Counter,
    /// To the relay: calls.
    pub calls: Counter,
    /// To discovery: requests.
    pub requests: Counter,
}

/// All counters at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// From collectors.
    pub reports: Count,
    /// News.
    pub news: Count,
    /// Answers to calls.
    pub answers: Count,
    /// The list and its changes.
    pub list: Count,
    /// Calls.
    pub calls: Count,
    /// Requests to discovery.
    pub requests: Count,
}

impl Traffic {
    /// What all counters show now.
    pub fn read(&self) -> TrafficCount {
        TrafficCount {
            reports: self.reports.read(),
            news: self.news.read(),
            answers: self.answers.read(),
            list: self.list.read(),
            calls: self.calls.read(),
            requests: self.requests.read(),
        }
    }
}

impl TrafficCount {
    /// What was added since an earlier look.
    pub fn since(self, earlier: TrafficCount) -> TrafficCount {
        TrafficCount {
            reports: self.reports.since(earlier.reports),
            news: self.news.since(earlier.news),
            answers: self.answers.since(earlier.answers),
            list: self.list.since(earlier.list),
            calls: self.calls.since(earlier.calls),
            requests: self.requests.since(earlier.requests),
        }
    }

    /// All that came to the controller.
    pub fn bytes_in(&self) -> u64 {
        self.reports.bytes + self.news.bytes + self.answers.bytes + self.list.bytes
    }

    /// All that the controller sent.
    pub fn bytes_out(&self) -> u64 {
        self.calls.bytes + self.requests.bytes
    }
}

/// A listener on a free port of loopback with a thread for each connection; it ends when dropped.
struct Replica {
    address: SocketAddr,
    ends: Arc<AtomicBool>,
}

impl Replica {
    fn start(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> std::io::Result<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Replica { address: listener.local_addr()?, ends: Arc::default() };
        let ends = replica.ends.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
                _ = stream.set_nodelay(true);
                let serve = serve.clone();
                thread::spawn(move || serve(stream));
            }
        });
        Ok(replica)
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        // The listener's thread looks once somebody comes.
        _ = TcpStream::connect(self.address).map(|stream| stream.shutdown(Shutdown::Both));
    }
}
