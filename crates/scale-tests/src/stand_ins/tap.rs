//! A forwarder between whoever connects to a controller and the controller, which counts the bytes and lines each way.

use super::{Counter, Replica};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

const PIECE: usize = 64 << 10;

/// What went through a tap.
#[derive(Debug, Default)]
pub struct Through {
    /// To the controller.
    pub inward: Counter,
    /// From the controller.
    pub outward: Counter,
}

/// The forwarder. Connections are refused until its target is known; it takes none any more once it is dropped.
pub struct Tap {
    replica: Replica,
    target: Arc<Mutex<Option<SocketAddr>>>,
    /// What went through it.
    pub through: Arc<Through>,
}

impl Tap {
    /// Listens, without a target.
    pub fn start() -> std::io::Result<Tap> {
        let target: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let through: Arc<Through> = Arc::default();
        let (at, counts) = (target.clone(), through.clone());
        let replica = Replica::start(move |stream| {
            let target = *at.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(Ok(onward)) = target.map(TcpStream::connect) else { return };
            forward_both(&stream, &onward, &counts);
        })?;
        Ok(Tap { replica, target, through })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.replica.address
    }

    /// Where connections lead from now on.
    pub fn lead_to(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }
}

fn forward_both(near: &TcpStream, far: &TcpStream, through: &Through) {
    _ = far.set_nodelay(true);
    thread::scope(|scope| {
        scope.spawn(|| forward(near, far, &through.inward));
        forward(far, near, &through.outward);
    });
}

/// Until one side ends, then both are closed.
fn forward(mut from: &TcpStream, mut to: &TcpStream, counter: &Counter) {
    let mut piece = vec![0; PIECE];
    while let Ok(read @ 1..) = from.read(&mut piece) {
        let lines = piece[..read].iter().filter(|byte| **byte == b'\n').count();
        // Counted first: whoever has read an answer finds both in the counters.
        counter.add(read, lines);
        if to.write_all(&piece[..read]).is_err() {
            break;
        }
    }
    _ = from.shutdown(Shutdown::Both);
    _ = to.shutdown(Shutdown::Both);
}
