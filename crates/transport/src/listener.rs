//! The listener of the program's own address: bounds the number of connections, and hands each over to a reader.

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

/// Whoever reads the connections that were accepted.
pub trait Readers {
    /// Takes over a connection. False where nobody can read it: it is closed.
    fn hand_over(&self, connection: AcceptedConnection) -> bool;
}

/// Reads all connections on the listener's own thread, line by line.
pub struct LocalReader {
    /// The bounds on all connections.
    pub bounds: Bounds,
    /// Takes the lines.
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

/// Disconnects all peers when the listener ends.
struct DisconnectAllOnDrop(OpenConnections);

impl Drop for DisconnectAllOnDrop {
    fn drop(&mut self) {
        self.0.borrow_mut().clear();
    }
}

/// Accepts connections for ever, at most half of them from peers that are not authenticated.
pub async fn listen(listener: Rc<TcpListener>, bounds: Bounds, readers: impl Readers) {
    listen_until(listener, bounds, readers, ConnectionShutdown::never()).await;
}

/// The same until the shutdown closes. Connections that were made by then are still handed over; they answer what was
/// read, and hold the shutdown's signal until they have ended.
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
        // Descriptors are made free at the cost of unauthenticated peers only, and not of one that has just come: it may be a
        // collector whose first line is on its way, or unread as the process was stopped.
        let release = || evict_idle_longest(&open, |peer| peer.is_unauthenticated_and_idle(Instant::now()));
        let accepted = next_connection(async || listener.accept().await, release);
        tokio::select! {
            biased;
            _ = signal.closing() => break,
            (stream, _) = accepted => connections.add(stream),
        }
    }
    drain_backlog(async || listener.accept().await, |(stream, _)| connections.add(stream)).await;
}

/// Hands connections over to their readers, and bounds their number.
struct Connections<R> {
    open: OpenConnections,
    next_id: ConnectionId,
    bounds: Bounds,
    readers: R,
    shutdown: ConnectionShutdown,
}

impl<R: Readers> Connections<R> {
    fn add(&mut self, stream: TcpStream) {
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

/// Where there are too many connections, disconnects one: hundreds of unauthenticated peers must not cost a collector its
/// connection.
fn evict_excess(open: &OpenConnections, max_connections: usize) {
    let is_excess = {
        let open = open.borrow();
        let unauthenticated = open.values().filter(|connection| !connection.peer.is_authenticated()).count();
        open.len() > max_connections || unauthenticated > max_connections.div_ceil(2)
    };
    if is_excess {
        evict_idle_longest(open, |_| true);
    }
}

/// Disconnects the peer that has been idle longest, of those that may be, unauthenticated ones first; false where there is
/// none.
fn evict_idle_longest(open: &OpenConnections, may_evict: impl Fn(&Peer) -> bool) -> bool {
    let rank = |peer: &Peer| (peer.is_authenticated(), peer.last_active());
    let evicted = {
        let open = open.borrow();
        let candidates = open.iter().filter(|(_, connection)| may_evict(&connection.peer));
        let idle_longest = candidates.min_by_key(|(_, connection)| rank(&connection.peer));
        idle_longest.map(|(id, _)| *id)
    };
    evicted.is_some_and(|id| open.borrow_mut().remove(&id).is_some())
}
