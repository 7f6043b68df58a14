//! A listener on loopback that serves each connection on a thread of its own.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A peer that does not read for so long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A listener on a free port of loopback with a thread for each connection; it ends when dropped.
pub(super) struct LoopbackServer {
    /// Where it listens.
    pub(super) address: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl LoopbackServer {
    /// Listens, and serves each connection on a thread of its own.
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
        // The accepting thread sees the flag once a connection comes.
        _ = TcpStream::connect(self.address).map(|stream| stream.shutdown(Shutdown::Both));
    }
}
