//! A crowd at the collectors' listener: connections that say nothing, or rubbish.

use crate::incarnation::Incarnation;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Connections of the crowd.
const CONNECTIONS: usize = 300;
/// How often all of them come anew.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
const RUBBISH: [&[u8]; 4] = [b"", b"GET / HTTP/1.1\r\n\r\n", b"{\"@type\":", b"\xff\x00\xfe\n"];

/// A running crowd; it ends when it is dropped.
pub(crate) struct Crowd {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    pub fn start(incarnation: Arc<Incarnation>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let connections: Vec<_> = (0..CONNECTIONS).map_while(|n| join(&incarnation, n)).collect();
                std::thread::sleep(RENEWAL_INTERVAL);
                drop(connections);
            }
        });
        Crowd { stop, thread: Some(thread) }
    }
}

fn join(incarnation: &Incarnation, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&incarnation.address, RENEWAL_INTERVAL).ok()?;
    // It may have been disconnected at once.
    _ = stream.write_all(RUBBISH[number % RUBBISH.len()]);
    Some(stream)
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}
