//! The connections that wait for their clients. If the limit on connections is reached, the one that has waited longest
//! is evicted, so that clients that send slowly, or nothing, do not keep others from being served.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A connection whose last request was answered is not evicted for this time, in which most clients send the next one.
const KEEP_ALIVE_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// The time from which a connection may be evicted, and a number that tells connections of the same time apart.
type EvictionRank = (Instant, u64);

/// The waiting connections of a server, in the order in which they are evicted. At most as many as it has connections;
/// each is removed when its `Registration` is dropped.
#[derive(Default)]
pub(super) struct WaitingConnections {
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    last_number: u64,
    evictions: BTreeMap<EvictionRank, oneshot::Sender<()>>,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Awaited {
    /// The first request, or the rest of one.
    Request,
    /// A further request after one that was answered.
    NextRequest,
}

impl WaitingConnections {
    /// Registers a connection that waits from now on.
    fn register(self: &Rc<Self>, awaited: Awaited) -> Registration {
        let grace_period = match awaited {
            Awaited::Request => Duration::ZERO,
            Awaited::NextRequest => KEEP_ALIVE_GRACE_PERIOD,
        };
        let (evict, evicted) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        state.last_number += 1;
        let rank = (Instant::now() + grace_period, state.last_number);
        state.evictions.insert(rank, evict);
        Registration { connections: self.clone(), rank, evicted }
    }

    /// Evicts the connection that has waited longest, if one may be evicted now.
    pub fn evict_longest(&self) {
        let mut state = self.state.borrow_mut();
        let Some(first) = state.evictions.first_entry().filter(|first| first.key().0 <= Instant::now())
        else {
            return;
        };
        // Fails if the connection has just ended.
        _ = first.remove().send(());
    }
}

/// The wait of one connection for its client. It begins when [`Self::evicted`] is first polled.
pub(super) struct ClientWait {
    connections: Rc<WaitingConnections>,
    awaited: Awaited,
    registration: Option<Registration>,
}

impl ClientWait {
    /// Creates a wait that has not begun.
    pub fn new(connections: &Rc<WaitingConnections>, awaited: Awaited) -> Self {
        ClientWait { connections: connections.clone(), awaited, registration: None }
    }

    /// Records that a part of the request was read. The wait for the rest begins anew.
    pub fn request_begun(&mut self) {
        self.awaited = Awaited::Request;
        self.registration = None;
    }

    /// Waits until the connection is evicted. Must not be called again after it has returned.
    pub async fn evicted(&mut self) {
        let register = || self.connections.register(self.awaited);
        let registration = self.registration.get_or_insert_with(register);
        // The sender is dropped only with the registration or the server.
        if (&mut registration.evicted).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// A registered connection.
struct Registration {
    connections: Rc<WaitingConnections>,
    rank: EvictionRank,
    evicted: oneshot::Receiver<()>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.state.borrow_mut().evictions.remove(&self.rank);
    }
}
