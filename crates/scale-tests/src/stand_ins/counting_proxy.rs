//! A forwarder between whoever connects to a controller and the controller, which counts the bytes and lines each way.

use super::{Counter, LoopbackServer};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

const BUFFER_BYTES: usize = 64 << 10;

/// What went through a tap.
#[derive(Debug, Default)]
pub struct ProxyTraffic {
    /// To the controller.
    pub to_controller: Counter,
    /// From the controller.
    pub from_controller: Counter,
}

/// The forwarder. Connections are refused until its target is known; it takes none any more once it is dropped.
pub struct CountingProxy {
    server: LoopbackServer,
    target: Arc<Mutex<Option<SocketAddr>>>,
    /// What went through it.
    pub traffic: Arc<ProxyTraffic>,
}

impl CountingProxy {
    /// Listens, without a target.
    pub fn start() -> std::io::Result<CountingProxy> {
        let target: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let traffic: Arc<ProxyTraffic> = Arc::default();
        let (at, counts) = (target.clone(), traffic.clone());
        let server = LoopbackServer::start(move |stream| {
            let target = *at.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(Ok(onward)) = target.map(TcpStream::connect) else { return };
            forward_both(&stream, &onward, &counts);
        })?;
        Ok(CountingProxy { server, target, traffic })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Where connections lead from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }
}

fn forward_both(near: &TcpStream, far: &TcpStream, traffic: &ProxyTraffic) {
    _ = far.set_nodelay(true);
    thread::scope(|scope| {
        scope.spawn(|| forward(near, far, &traffic.to_controller));
        forward(far, near, &traffic.from_controller);
    });
}

/// Until one side ends, then both are closed.
fn forward(mut from: &TcpStream, mut to: &TcpStream, counter: &Counter) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        let lines = buffer[..read].iter().filter(|byte| **byte == b'\n').count();
        // Counted first: whoever has read an answer finds both in the counters.
        counter.add(read, lines);
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    _ = from.shutdown(Shutdown::Both);
    _ = to.shutdown(Shutdown::Both);
}
