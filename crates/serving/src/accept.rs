//! Accepting connections, with the handling of failed calls of accept(2). Most errors concern a single connection that
//! failed before it was accepted; the next connection is then accepted immediately. If file descriptors or memory run
//! out, an open connection is closed first.

use actix_rt::net::{TcpListener, TcpSocket};
use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The delay before the next accept(2) if resources are exhausted or the listener fails.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// The delay before the next accept(2) if a connection is being closed to release resources. Its task needs a short time
/// to close it.
const RELEASED_RETRY_DELAY: Duration = Duration::from_millis(1);

/// The backlog of a closing listener counts as empty if no connection arrives within this time.
const BACKLOG_IDLE_TIMEOUT: Duration = Duration::from_millis(5);
/// The limit on the time that a closing listener keeps accepting connections from its backlog.
const MAX_BACKLOG_DRAIN_TIME: Duration = Duration::from_millis(50);

/// The maximum number of connections waiting to be accepted: as many as a controller may have. If the backlog is full,
/// the system drops the first packet of a connection, which the client sends again only after a second.
pub(crate) const BACKLOG: u32 = 1024;

/// The cause of a failed accept(2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// A single connection failed before it was accepted.
    Connection,
    /// The process or the system has run out of file descriptors or memory.
    Resources,
    /// The listener itself failed.
    Listener,
}

impl From<&io::Error> for AcceptFailure {
    fn from(error: &io::Error) -> Self {
        match Errno::from_io_error(error) {
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::Resources,
            Some(
                Errno::CONNABORTED
                | Errno::CONNRESET
                | Errno::INTR
                | Errno::PERM
                | Errno::PROTO
                | Errno::AGAIN
                // Network errors that accept(2) documents as pending on the new socket.
                | Errno::HOSTDOWN
                | Errno::HOSTUNREACH
                | Errno::NETDOWN
                | Errno::NETUNREACH
                | Errno::NONET
                | Errno::NOPROTOOPT
                | Errno::OPNOTSUPP
                | Errno::TIMEDOUT,
            ) => AcceptFailure::Connection,
            _ => AcceptFailure::Listener,
        }
    }
}

/// Binds a TCP socket to an address and listens on it.
///
/// # Errors
/// Fails if the address is in use or not local, or if the system rejects the socket.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // Connections of the previous process may still be in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts the next connection, retrying until `accept` succeeds. If descriptors or memory run out, `release` is
/// called: it closes a dispensable connection and returns true, or returns false if there is none.
pub async fn next_connection<T>(accept: impl AsyncFn() -> io::Result<T>, release: impl Fn() -> bool) -> T {
    loop {
        let error = match accept().await {
            Ok(connection) => return connection,
            Err(error) => error,
        };
        match AcceptFailure::from(&error) {
            // A delay here would delay all connections that wait behind the failed one.
            AcceptFailure::Connection => {
                tracing::debug!(%error, "connection failed before it was accepted");
                tokio::task::yield_now().await;
            }
            AcceptFailure::Resources => {
                tracing::warn!(%error, "accepting a connection failed");
                let delay = if release() { RELEASED_RETRY_DELAY } else { RETRY_DELAY };
                actix_rt::time::sleep(delay).await;
            }
            AcceptFailure::Listener => {
                tracing::warn!(%error, "accepting a connection failed");
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts the connections left in the backlog of a closing listener. They are established, and their clients may
/// already have sent requests.
pub async fn drain_backlog<T>(accept: impl AsyncFn() -> io::Result<T>, mut handle: impl FnMut(T)) {
    let deadline = Instant::now() + MAX_BACKLOG_DRAIN_TIME;
    while Instant::now() < deadline {
        match timeout(BACKLOG_IDLE_TIMEOUT, accept()).await {
            Ok(Ok(connection)) => handle(connection),
            Ok(Err(_)) => {}
            Err(_) => return,
        }
    }
}
