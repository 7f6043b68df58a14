//! Accepting connections. Most errors of accept(2) concern the one connection that was to be accepted, which is gone by
//! then: the next one is accepted at once. Where descriptors or memory are short, some are released first.

use actix_rt::net::{TcpListener, TcpSocket};
use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The time until accepting is retried where the system lacks resources, or the listener is broken.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// The same where a connection has been told to end: its task needs a moment for that.
const RELEASED_RETRY_DELAY: Duration = Duration::from_millis(1);

/// No connection came for so long: the listener has none left.
const BACKLOG_QUIET_PERIOD: Duration = Duration::from_millis(5);
/// How long connections are taken from a listener that closes, however many come.
const MAX_BACKLOG_PERIOD: Duration = Duration::from_millis(50);

/// Connections that may wait to be accepted: as many as a controller may have. Beyond them the system drops the first packet
/// of a connection, which comes again after a second.
pub(crate) const BACKLOG: u32 = 1024;

/// What an error of accept(2) concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// One connection, which has failed before it was accepted.
    Connection,
    /// Descriptors or memory, of the process or of the system.
    Resources,
    /// The listener itself.
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
                // Errors of the network that are pending on the new socket, as accept(2) lists them.
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

/// Listens at an address.
///
/// # Errors
/// The address is in use or is not this machine's, or the system refuses.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A former process's connections may still be there.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The next connection, however many calls of `accept` fail before. `release` is called where descriptors or memory are
/// short: it ends a connection that can be spared, and returns whether there is one.
pub async fn next_connection<T>(accept: impl AsyncFn() -> io::Result<T>, release: impl Fn() -> bool) -> T {
    loop {
        let error = match accept().await {
            Ok(connection) => return connection,
            Err(error) => error,
        };
        match AcceptFailure::from(&error) {
            // A pause here would delay all connections behind the failed one.
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

/// Takes the connections that a listener which closes still has: they were made, and their requests may have been sent.
pub async fn drain_backlog<T>(accept: impl AsyncFn() -> io::Result<T>, mut take: impl FnMut(T)) {
    let until = Instant::now() + MAX_BACKLOG_PERIOD;
    while Instant::now() < until {
        match timeout(BACKLOG_QUIET_PERIOD, accept()).await {
            Ok(Ok(connection)) => take(connection),
            Ok(Err(_)) => {}
            Err(_) => return,
        }
    }
}
