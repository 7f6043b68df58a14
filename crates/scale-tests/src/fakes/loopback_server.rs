//! A TCP server on loopback with one thread per connection.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time limit for one write. A peer that does not read is disconnected after it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A TCP server on a free port of loopback. It stops accepting connections when dropped.
pub(super) struct LoopbackServer {
    /// The listen address.
    pub(super) address: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl LoopbackServer {
    /// Starts the server, which calls `serve` for each connection on a separate thread.
    pub(super) fn start(
        serve: impl Fn(TcpStream) + Clone + Send + 'static,
    ) -> std::io::Result<LoopbackServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = LoopbackServer { address: listener.local_addr()?, stop: Arc::default() };
        let stop = server.stop.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
                _ = stream.set_nodelay(true);
                let serve = serve.clone();
                thread::spawn(move || serve(stream));
            }
        });
        Ok(server)
    }
}

impl Drop for LoopbackServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // The accepting thread checks the flag only after a connection, so open one to wake it.
        _ = TcpStream::connect(self.address).map(|stream| stream.shutdown(Shutdown::Both));
    }
}
