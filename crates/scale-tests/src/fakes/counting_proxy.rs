//! A TCP proxy in front of a controller that counts bytes and lines in each direction.

use super::loopback_server::LoopbackServer;
use super::traffic::Counter;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Size of the buffer for each direction, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// Bytes and lines forwarded by a counting proxy.
#[derive(Debug, Default)]
pub struct ProxyTraffic {
    /// To the controller.
    pub to_controller: Counter,
    /// From the controller.
    pub from_controller: Counter,
}

/// The proxy. It closes new connections while its target is unknown, and stops accepting connections when dropped.
pub struct CountingProxy {
    server: LoopbackServer,
    target: Arc<Mutex<Option<SocketAddr>>>,
    /// The bytes and lines forwarded so far.
    pub traffic: Arc<ProxyTraffic>,
}

impl CountingProxy {
    /// Starts the proxy without a target.
    ///
    /// # Errors
    ///
    /// When no port on loopback can be bound.
    pub fn start() -> std::io::Result<CountingProxy> {
        let target: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let traffic: Arc<ProxyTraffic> = Arc::default();
        let (current_target, counters) = (target.clone(), traffic.clone());
        let server = LoopbackServer::start(move |stream| {
            let target = *current_target.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(Ok(controller)) = target.map(TcpStream::connect) else { return };
            forward_both_ways(&stream, &controller, &counters);
        })?;
        Ok(CountingProxy { server, target, traffic })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the address that new connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }
}

fn forward_both_ways(peer: &TcpStream, controller: &TcpStream, traffic: &ProxyTraffic) {
    _ = controller.set_nodelay(true);
    thread::scope(|scope| {
        scope.spawn(|| forward(peer, controller, &traffic.to_controller));
        forward(controller, peer, &traffic.from_controller);
    });
}

/// Forwards bytes until either connection ends, then closes both.
fn forward(mut from: &TcpStream, mut to: &TcpStream, counter: &Counter) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        let lines = buffer[..read].iter().filter(|byte| **byte == b'\n').count();
        // Bytes are counted before they are written, so that the counters include an answer once the peer has read it.
        counter.add(read, lines);
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    _ = from.shutdown(Shutdown::Both);
    _ = to.shutdown(Shutdown::Both);
}
