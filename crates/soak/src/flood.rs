//! A connection flood at the collectors' listener: connections that send nothing, or invalid data.

use crate::incarnation::Incarnation;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// The number of connections that are open at the same time.
const CONNECTIONS: usize = 300;
/// The interval at which all connections are closed and opened again.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
const INVALID_PAYLOADS: [&[u8]; 4] = [b"", b"GET / HTTP/1.1\r\n\r\n", b"{\"@type\":", b"\xff\x00\xfe\n"];

/// A running connection flood; dropping it closes the connections.
pub(crate) struct ConnectionFlood {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ConnectionFlood {
    pub fn start(incarnation: Arc<Incarnation>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let thread_stop = stop.clone();
        let thread = std::thread::spawn(move || {
            while !thread_stop.load(Ordering::Relaxed) {
                let connections: Vec<_> =
                    (0..CONNECTIONS).map_while(|number| open_connection(&incarnation, number)).collect();
                std::thread::sleep(RENEWAL_INTERVAL);
                drop(connections);
            }
        });
        ConnectionFlood { stop, thread: Some(thread) }
    }
}

fn open_connection(incarnation: &Incarnation, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&incarnation.address, RENEWAL_INTERVAL).ok()?;
    // The controller may have closed the connection already.
    _ = stream.write_all(INVALID_PAYLOADS[number % INVALID_PAYLOADS.len()]);
    Some(stream)
}

impl Drop for ConnectionFlood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}
