//! A TCP proxy in front of a controller, which counts the bytes and lines in each direction.

use super::loopback_server::LoopbackServer;
use super::traffic::Counter;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Size of the buffer for each direction, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// Bytes and lines that went through a proxy.
#[derive(Debug, Default)]
pub struct ProxyTraffic {
    /// To the controller.
    pub to_controller: Counter,
    /// From the controller.
    pub from_controller: Counter,
}

/// The proxy. It closes connections until its target is known, and takes none any more once it is dropped.
pub struct CountingProxy {
    server: LoopbackServer,
    target: Arc<Mutex<Option<SocketAddr>>>,
    /// What went through it.
    pub traffic: Arc<ProxyTraffic>,
}

impl CountingProxy {
    /// Listens, without a target.
    ///
    /// # Errors
    ///
    /// When no port of loopback can be bound.
    pub fn start() -> std::io::Result<CountingProxy> {
        let target: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let traffic: Arc<ProxyTraffic> = Arc::default();
        let (at, counts) = (target.clone(), traffic.clone());
        let server = LoopbackServer::start(move |stream| {
            let target = *at.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(Ok(onward)) = target.map(TcpStream::connect) else { return };
            forward_both_ways(&stream, &onward, &counts);
        })?;
        Ok(CountingProxy { server, target, traffic })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the address that new connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }
}

fn forward_both_ways(near: &TcpStream, far: &TcpStream, traffic: &ProxyTraffic) {
    _ = far.set_nodelay(true);
    thread::scope(|scope| {
        scope.spawn(|| forward(near, far, &traffic.to_controller));
        forward(far, near, &traffic.from_controller);
    });
}

/// Forwards until one side ends, then closes both.
fn forward(mut from: &TcpStream, mut to: &TcpStream, counter: &Counter) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        let lines = buffer[..read].iter().filter(|byte| **byte == b'\n').count();
        // Counted before it is written: once a peer has read an answer, the counters include it.
        counter.add(read, lines);
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    _ = from.shutdown(Shutdown::Both);
    _ = to.shutdown(Shutdown::Both);
}
