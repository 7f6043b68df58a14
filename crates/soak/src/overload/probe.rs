//! A sound client beside an attack, which measures how long it waits for its answers.

use super::protocol::Protocol;
use super::stream::{Endpoint, Stream};
use crate::clients::http::read_response;
use std::io::{BufRead, BufReader, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The pause between two requests, and before a request is repeated that was not answered.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// The number of requests on one connection.
const REQUESTS_PER_CONNECTION: usize = 10;

/// What a client has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeReport {
    /// Answered requests.
    pub answered: u64,
    /// Attempts that were refused or not answered, and repeated.
    pub failed_attempts: u64,
    /// The longest time from a request's first attempt to its answer.
    pub longest_wait: Duration,
}

#[derive(Default)]
struct Counters {
    answered: AtomicU64,
    failed_attempts: AtomicU64,
    longest_wait_ns: AtomicU64,
}

/// A running client.
pub(super) struct Probe {
    stop: Arc<AtomicBool>,
    counters: Arc<Counters>,
    thread: Option<JoinHandle<()>>,
}

impl Probe {
    pub fn start(endpoint: &Endpoint, protocol: Protocol) -> Self {
        let (stop, counters) = (Arc::new(AtomicBool::new(false)), Arc::new(Counters::default()));
        let (endpoint, thread_stop, thread_counters) = (endpoint.clone(), stop.clone(), counters.clone());
        let thread = std::thread::spawn(move || run(&endpoint, protocol, &thread_stop, &thread_counters));
        Probe { stop, counters, thread: Some(thread) }
    }

    /// Ends the client once its last request is answered or has failed.
    pub fn stop(mut self) -> ProbeReport {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
        ProbeReport {
            answered: self.counters.answered.load(Ordering::Relaxed),
            failed_attempts: self.counters.failed_attempts.load(Ordering::Relaxed),
            longest_wait: Duration::from_nanos(self.counters.longest_wait_ns.load(Ordering::Relaxed)),
        }
    }
}

fn run(endpoint: &Endpoint, protocol: Protocol, stop: &AtomicBool, counters: &Counters) {
    let mut connection: Option<Stream> = None;
    let (mut began, mut requests) = (Instant::now(), 0);
    while !stop.load(Ordering::Relaxed) {
        let stream = connection.take().map_or_else(|| endpoint.connect(), Ok);
        let answered = stream.and_then(|mut stream| {
            exchange(&mut stream, protocol)?;
            Ok(stream)
        });
        let wait_ns = began.elapsed().as_nanos() as u64;
        counters.longest_wait_ns.fetch_max(wait_ns, Ordering::Relaxed);
        std::thread::sleep(REQUEST_INTERVAL);
        match answered {
            Ok(stream) => {
                counters.answered.fetch_add(1, Ordering::Relaxed);
                requests += 1;
                connection = (requests % REQUESTS_PER_CONNECTION != 0).then_some(stream);
                began = Instant::now();
            }
            Err(_) => _ = counters.failed_attempts.fetch_add(1, Ordering::Relaxed),
        }
    }
}

/// Sends a request and reads its answer. Fails if the request was refused.
fn exchange(stream: &mut Stream, protocol: Protocol) -> std::io::Result<()> {
    stream.write_all(&protocol.sound_request())?;
    let is_served = match protocol {
        Protocol::Lines => read_line(stream)?.starts_with("{\"@type\":\"PONG\"}"),
        Protocol::Management | Protocol::Metrics => read_response(stream)?.status == 200,
    };
    is_served.then_some(()).ok_or_else(|| std::io::ErrorKind::ConnectionRefused.into())
}

fn read_line(stream: &mut Stream) -> std::io::Result<String> {
    let mut line = String::new();
    // One answer comes at a time, so the buffer holds nothing of a further one.
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line)
}
