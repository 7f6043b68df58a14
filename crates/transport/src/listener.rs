//! The listener of the program's own address: bounds the number of connections, and hands each over to a reader.

use super::bounds::Bounds;
use super::connection::{self, AcceptedConnection, Peer};
use super::{ConnectionId, InputSender};
use actix_rt::net::TcpListener;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;
use whinwall_serving::accept::next_connection;

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
    let open = OpenConnections::default();
    let _guard = DisconnectAllOnDrop(open.clone());
    for id in 0.. {
        let release = || evict_idle_longest(&open);
        let (stream, _) = next_connection(async || listener.accept().await, release).await;
        let Ok(stream) = stream.into_std() else { continue };
        let (disconnect, disconnected) = oneshot::channel();
        let (ended, has_ended) = oneshot::channel();
        let peer = Arc::new(Peer::new());
        open.borrow_mut().insert(id, OpenConnection { peer: peer.clone(), _disconnect: disconnect });
        evict_excess(&open, bounds.max_connections);
        if !readers.hand_over(AcceptedConnection { id, stream, peer, disconnected, ended }) {
            open.borrow_mut().remove(&id);
            continue;
        }
        let open = open.clone();
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
        evict_idle_longest(open);
    }
}

/// Disconnects the connection of an unauthenticated peer, else of any peer, that has been idle longest; false where there is
/// none.
fn evict_idle_longest(open: &OpenConnections) -> bool {
    let rank = |peer: &Peer| (peer.is_authenticated(), peer.last_active());
    let evicted = {
        let open = open.borrow();
        let idle_longest = open.iter().min_by_key(|(_, connection)| rank(&connection.peer));
        idle_longest.map(|(id, _)| *id)
    };
    evicted.is_some_and(|id| open.borrow_mut().remove(&id).is_some())
}
