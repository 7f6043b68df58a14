//! The listener of the program's own address. Limits the number of connections and hands each connection to a reader.

use super::bounds::Bounds;
use super::closing::ConnectionShutdown;
use super::connection::{self, AcceptedConnection, Peer};
use super::{ConnectionId, InputSender};
use actix_rt::net::{TcpListener, TcpStream};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use whinwall_serving::accept::{drain_backlog, next_connection};

/// The readers of accepted connections.
pub trait Readers {
    /// Takes over a connection. Returns false if no reader is available; the connection is then closed.
    fn hand_over(&self, connection: AcceptedConnection) -> bool;
}

/// Reads all connections line by line on the listener's thread.
pub struct LocalReader {
    /// The limits shared by all connections.
    pub bounds: Bounds,
    /// The queue that receives the lines.
    pub inputs: InputSender,
}

impl Readers for LocalReader {
    fn hand_over(&self, connection: AcceptedConnection) -> bool {
        let (bounds, inputs) = (self.bounds.clone(), self.inputs.clone());
        actix_rt::spawn(connection::read(connection, bounds, inputs, None));
        true
    }
}

/// An open connection. Dropping it disconnects the peer.
struct OpenConnection {
    peer: Arc<Peer>,
    _disconnect: oneshot::Sender<()>,
}

type OpenConnections = Rc<RefCell<BTreeMap<ConnectionId, OpenConnection>>>;

/// Disconnects all peers when dropped, that is, when the listener ends.
struct DisconnectAllOnDrop(OpenConnections);

impl Drop for DisconnectAllOnDrop {
    fn drop(&mut self) {
        self.0.borrow_mut().clear();
    }
}

/// Accepts connections until the future is dropped. At most half of the allowed connections may be unauthenticated.
pub async fn listen(listener: Rc<TcpListener>, bounds: Bounds, readers: impl Readers) {
    listen_until(listener, bounds, readers, ConnectionShutdown::never()).await;
}

/// Accepts connections like [`listen`], until the shutdown enters its closing phase. Connections made by then are
/// still handed to readers. A connection holds the shutdown signal until it has answered the lines that were read and
/// has closed.
pub async fn listen_until(
    listener: Rc<TcpListener>,
    bounds: Bounds,
    readers: impl Readers,
    shutdown: ConnectionShutdown,
) {
    let mut signal = shutdown.signal.clone();
    let mut connections =
        Connections { open: OpenConnections::default(), next_id: 0, bounds, readers, shutdown };
    let _guard = DisconnectAllOnDrop(connections.open.clone());
    loop {
        let open = connections.open.clone();
        // To release descriptors, only idle unauthenticated peers are evicted. A peer that has just connected is not:
        // it may be a collector whose first line is still in transit, or was not read because the process was
        // stopped.
        let release = || evict_longest_idle(&open, |peer| peer.is_unauthenticated_and_idle(Instant::now()));
        let accepted = next_connection(async || listener.accept().await, release);
        tokio::select! {
            biased;
            _ = signal.closing() => break,
            (stream, _) = accepted => connections.add_connection(stream),
        }
    }
    drain_backlog(async || listener.accept().await, |(stream, _)| connections.add_connection(stream)).await;
}

/// Hands connections to readers and limits their number.
struct Connections<R> {
    open: OpenConnections,
    next_id: ConnectionId,
    bounds: Bounds,
    readers: R,
    shutdown: ConnectionShutdown,
}

impl<R: Readers> Connections<R> {
    fn add_connection(&mut self, stream: TcpStream) {
        let Ok(stream) = stream.into_std() else { return };
        let id = self.next_id;
        self.next_id += 1;
        let (disconnect, disconnected) = oneshot::channel();
        let (ended, has_ended) = oneshot::channel();
        let (peer, shutdown) = (Arc::new(Peer::new()), self.shutdown.clone());
        self.open.borrow_mut().insert(id, OpenConnection { peer: peer.clone(), _disconnect: disconnect });
        evict_excess(&self.open, self.bounds.max_connections);
        if !self.readers.hand_over(AcceptedConnection { id, stream, peer, disconnected, shutdown, ended }) {
            self.open.borrow_mut().remove(&id);
            return;
        }
        let open = self.open.clone();
        actix_rt::spawn(async move {
            _ = has_ended.await;
            open.borrow_mut().remove(&id);
        });
    }
}

/// Evicts one connection if there are too many. Unauthenticated connections have a lower limit, so that hundreds of
/// them cannot cause a collector to be disconnected.
fn evict_excess(open: &OpenConnections, max_connections: usize) {
    let is_excess = {
        let open = open.borrow();
        let unauthenticated = open.values().filter(|connection| !connection.peer.is_authenticated()).count();
        open.len() > max_connections || unauthenticated > max_connections.div_ceil(2)
    };
    if is_excess {
        evict_longest_idle(open, |_| true);
    }
}

/// Disconnects the longest idle peer for which `may_evict` is true, unauthenticated peers first. Returns false if
/// there is no such peer.
fn evict_longest_idle(open: &OpenConnections, may_evict: impl Fn(&Peer) -> bool) -> bool {
    let eviction_rank = |peer: &Peer| (peer.is_authenticated(), peer.last_active());
    let evicted = {
        let open = open.borrow();
        let candidates = open.iter().filter(|(_, connection)| may_evict(&connection.peer));
        let longest_idle = candidates.min_by_key(|(_, connection)| eviction_rank(&connection.peer));
        longest_idle.map(|(id, _)| *id)
    };
    evicted.is_some_and(|id| open.borrow_mut().remove(&id).is_some())
}
