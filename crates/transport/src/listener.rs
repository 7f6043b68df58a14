//! The listener of the program's own address: bounds the number of connections, and hands each over to a reader.

use super::bounds::Bounds;
use super::connection::{self, AcceptedConnection, Peer};
use super::{limits, ConnectionId, InputSender};
use actix_rt::net::TcpListener;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;

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
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "accepting a connection failed");
                actix_rt::time::sleep(limits::RETRY_BACKOFF).await;
                continue;
            }
        };
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

/// Where there are too many connections, disconnects the one of an unauthenticated peer, else of any peer, that has
/// been idle longest: hundreds of unauthenticated peers must not cost a collector its connection.
fn evict_excess(open: &OpenConnections, max_connections: usize) {
    let evicted = {
        let open = open.borrow();
        let unauthenticated = open.values().filter(|connection| !connection.peer.is_authenticated()).count();
        let is_excess = open.len() > max_connections || unauthenticated > max_connections.div_ceil(2);
        let rank = |peer: &Peer| (peer.is_authenticated(), peer.last_active());
        let idle_longest = open.iter().min_by_key(|(_, connection)| rank(&connection.peer));
        idle_longest.filter(|_| is_excess).map(|(id, _)| *id)
    };
    if let Some(id) = evicted {
        open.borrow_mut().remove(&id);
    }
}
