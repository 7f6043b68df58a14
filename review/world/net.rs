//! Sockets of the stand-ins: the relay and discovery of each governor.

use crate::platform::World;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub type Shared = Arc<Mutex<World>>;

pub fn lock(shared: &Shared) -> MutexGuard<'_, World> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

extern "C" {
    fn listen(descriptor: i32, backlog: i32) -> i32;
    fn setsockopt(descriptor: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;
const BACKLOG: i32 = 128;
/// The relay closes a connection that has been idle for this time.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// A connection that has asked for news.
pub struct Watcher {
    pub stream: TcpStream,
    pub epoch: u64,
}

/// Resets a connection.
fn reset(stream: TcpStream) {
    let linger = [1i32, 0];
    // SAFETY: the descriptor is open, and the value is a `struct linger` of eight bytes.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// The relay's socket for one governor.
pub struct RelaySocket {
    pub address: SocketAddr,
    listener: Arc<TcpListener>,
    governor: usize,
    /// Connections that fill the accept queue during a cut, so that new ones do not come up.
    fillers: Vec<TcpStream>,
}

impl RelaySocket {
    pub fn start(shared: &Shared, governor: usize) -> std::io::Result<RelaySocket> {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0")?);
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (accepting, world) = (listener.clone(), shared.clone());
        thread::spawn(move || loop {
            let (is_cut, epoch) = {
                let world = lock(&world);
                (world.governors[governor].cut, world.governors[governor].connection_epoch)
            };
            if is_cut {
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            match accepting.accept() {
                Ok((stream, _)) => {
                    let world = world.clone();
                    thread::spawn(move || serve_relay(stream, &world, governor, epoch));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        });
        Ok(RelaySocket { address, listener, governor, fillers: Vec::new() })
    }

    /// Cuts the way between the governor and the relay: open connections fall silent, new ones do not come up.
    pub fn cut(&mut self, shared: &Shared) {
        {
            let mut world = lock(shared);
            let governor = &mut world.governors[self.governor];
            governor.cut = true;
            governor.connection_epoch += 1;
            let text = format!("the way between {} and the relay is cut", governor.name);
            world.log(&text);
        }
        // SAFETY: the descriptor is a listening socket.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        for _ in 0..4 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(40)) {
                Ok(stream) => self.fillers.push(stream),
                Err(_) => break,
            }
        }
    }

    /// Ends the cut: what is left of old connections is reset.
    pub fn heal(&mut self, shared: &Shared) {
        while let Ok((stream, _)) = self.listener.accept() {
            reset(stream);
        }
        self.fillers.clear();
        // SAFETY: the descriptor is a listening socket.
        unsafe { listen(self.listener.as_raw_fd(), BACKLOG) };
        let mut world = lock(shared);
        let governor = &mut world.governors[self.governor];
        governor.cut = false;
        let text = format!("the way between {} and the relay is back", governor.name);
        world.log(&text);
    }
}

fn serve_relay(mut stream: TcpStream, shared: &Shared, governor: usize, epoch: u64) {
    _ = stream.set_nodelay(true);
    _ = stream.set_nonblocking(false);
    _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let (mut buffer, mut chunk) = (Vec::new(), [0u8; 65536]);
    let (mut is_watch, mut used_at) = (false, Instant::now());
    loop {
        let read = stream.read(&mut chunk);
        {
            // A connection from before a cut is silent during the cut and reset after it.
            let world = lock(shared);
            let state = &world.governors[governor];
            if state.connection_epoch != epoch {
                let is_cut = state.cut;
                drop(world);
                if !is_cut {
                    reset(stream);
                    return;
                }
                thread::sleep(Duration::from_millis(5));
                continue;
            }
        }
        match read {
            Ok(0) => return,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if !is_watch && used_at.elapsed() > IDLE_LIMIT {
                    return;
                }
                continue;
            }
            Err(_) => return,
        }
        used_at = Instant::now();
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line).trim_end().to_string();
            is_watch |= line == "WATCH";
            if !answer(&mut stream, shared, governor, epoch, &line) {
                return;
            }
        }
    }
}

/// Answers a line; returns false if the connection is of no further use.
fn answer(stream: &mut TcpStream, shared: &Shared, governor: usize, epoch: u64, line: &str) -> bool {
    let mut world = lock(shared);
    if world.governors[governor].connection_epoch != epoch {
        return true;
    }
    if line == "WATCH" {
        let snapshot = world.snapshot(governor);
        if stream.write_all(snapshot.as_bytes()).is_err() {
            return false;
        }
        let name = world.governors[governor].name.clone();
        world.log(&format!("{name} watches"));
        if let Ok(stream) = stream.try_clone() {
            world.governors[governor].watchers.push(Watcher { stream, epoch });
        }
        return true;
    }
    let Some(orders) = line.strip_prefix("APPLY ") else {
        return stream.write_all(b"ERR bad_request\r\n").is_ok();
    };
    if !world.serves {
        return stream.write_all(b"ERR too_many_calls\r\n").is_ok();
    }
    if world.governors[governor].loses_calls {
        world.lose_call(governor, orders);
        return true;
    }
    let taken = world.call(governor, orders);
    stream.write_all(format!("OK {taken}\r\n").as_bytes()).is_ok()
}

/// The discovery agent of one governor.
pub fn start_discovery(shared: &Shared, governor: usize) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let world = shared.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = world.clone();
            thread::spawn(move || serve_discovery(stream, &world, governor));
        }
    });
    Ok(address)
}

fn serve_discovery(mut stream: TcpStream, shared: &Shared, governor: usize) {
    _ = stream.set_nodelay(true);
    let (mut request, mut chunk) = (Vec::new(), [0u8; 4096]);
    while !request.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(count) => request.extend_from_slice(&chunk[..count]),
        }
    }
    let request = String::from_utf8_lossy(&request).to_string();
    let path = request.split_whitespace().nth(1).unwrap_or("").to_string();
    let mut world = lock(shared);
    if !path.contains("follow=1") {
        let body = world.list(None);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        _ = stream.write_all(format!("{head}{body}").as_bytes());
        return;
    }
    let since: u64 = path.split("since=").nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let line = world.list((since > 0).then_some(since));
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\n\r\n",
        line.len() + 1
    );
    if stream.write_all(text.as_bytes()).is_ok() {
        world.governors[governor].list_watchers.push(stream);
    }
}

/// Sends a ping and returns true if the pong comes.
pub fn answers_ping(address: &str) -> bool {
    let Ok(address) = address.parse() else { return false };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else { return false };
    _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    if stream.write_all(b"{\"@type\":\"PING\"}\n").is_err() {
        return false;
    }
    let mut answer = [0u8; 64];
    stream.read(&mut answer).is_ok_and(|count| String::from_utf8_lossy(&answer[..count]).contains("PONG"))
}
