//! An HTTP/1.1 server over any stream. Every request that was read at least in part gets a response: that of the
//! handler, or an error response if the program shuts down, the connection limit is reached, or the handler panics.
//! Requests are limited in size, duration and number. If the connection limit is reached, the connection whose client has
//! kept the server waiting longest gives way to a new one.

mod connection;
mod waiting;

use crate::accept::{drain_backlog, next_connection};
use crate::shutdown::ShutdownSignal;
use crate::unix_socket::OwnedUnixListener;
use actix_http::{RequestHead, StatusCode};
use actix_rt::net::TcpListener;
use connection::{Connection, ServeOutcome};
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, timeout_at, Instant};
use waiting::WaitingConnections;

/// The number of connections above the limit that wait for another one to end at the same time. While there are that
/// many, no further connection is accepted.
const MAX_EXCESS_CONNECTIONS: usize = 64;
/// The number of connections that are answered with an error at the same time, because they were evicted or no other one
/// has ended in time; further ones are closed without a response.
const MAX_REJECTIONS: usize = 64;
/// The time for which a connection above the limit waits for another one to end.
const MAX_EXCESS_WAIT: Duration = Duration::from_millis(500);
/// The time between two evictions on behalf of a connection above the limit, if the first one has not sufficed.
const EVICTION_INTERVAL: Duration = Duration::from_millis(10);

/// Limits on connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// The maximum number of concurrent connections.
    pub max_connections: usize,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The time limit for receiving a request from its first to its last byte, and for the first byte on a new
    /// connection.
    pub request_timeout: Duration,
    /// The time that a connection may be idle between two requests.
    pub keep_alive: Duration,
}

/// A completely received request.
pub struct HttpRequest {
    /// Method, path and headers.
    pub head: RequestHead,
    /// The body.
    pub body: Vec<u8>,
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: StatusCode,
    /// The media type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: String,
}

/// Handles the requests of a server.
pub trait Handler: 'static {
    /// Returns the response to a request. Must complete within a bounded time.
    fn handle(&self, request: HttpRequest) -> impl Future<Output = HttpResponse>;

    /// Returns the response to a request that was not passed to `handle`, or that `handle` did not complete.
    fn reject(&self, status: StatusCode, reason: &str) -> HttpResponse;
}

/// A source of connections.
pub trait Listener {
    /// The type of a connection's stream.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Accepts a connection.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Prevents new connections if that is possible without losing those that wait to be accepted.
    fn unpublish(&self) {}
}

impl Listener for TcpListener {
    type Stream = actix_rt::net::TcpStream;

    async fn accept(&self) -> io::Result<Self::Stream> {
        TcpListener::accept(self).await.map(|(stream, _)| stream)
    }
}

impl Listener for OwnedUnixListener {
    type Stream = actix_rt::net::UnixStream;

    async fn accept(&self) -> io::Result<Self::Stream> {
        OwnedUnixListener::accept(self).await
    }

    fn unpublish(&self) {
        OwnedUnixListener::unpublish(self);
    }
}

/// Accepts connections and serves each in its own task, until the signal enters the closing phase. Connections made by
/// then are still answered. Their tasks hold a clone of the signal until they have closed.
pub async fn serve(
    listener: impl Listener,
    limits: HttpLimits,
    handler: Rc<impl Handler>,
    mut signal: ShutdownSignal,
) {
    let server = Rc::new(Server {
        limits,
        handler,
        signal: signal.clone(),
        connections: Arc::new(Semaphore::new(limits.max_connections)),
        excess_connections: Arc::new(Semaphore::new(MAX_EXCESS_CONNECTIONS)),
        rejections: Arc::new(Semaphore::new(MAX_REJECTIONS)),
        waiting: Rc::default(),
    });
    loop {
        // No connection is closed to release descriptors: idle connections time out by themselves.
        let accepted = async {
            let excess = server.excess_connections.clone().acquire_owned().await;
            (next_connection(async || listener.accept().await, || false).await, excess)
        };
        tokio::select! {
            biased;
            _ = signal.closing() => break,
            // The semaphore is never closed.
            (stream, Ok(excess)) = accepted => server.serve_connection(stream, excess),
        }
    }
    listener.unpublish();
    let serve_remaining = |stream| {
        if let Ok(excess) = server.excess_connections.clone().try_acquire_owned() {
            server.serve_connection(stream, excess);
        }
    };
    drain_backlog(async || listener.accept().await, serve_remaining).await;
}

struct Server<H> {
    limits: HttpLimits,
    handler: Rc<H>,
    signal: ShutdownSignal,
    connections: Arc<Semaphore>,
    excess_connections: Arc<Semaphore>,
    rejections: Arc<Semaphore>,
    waiting: Rc<WaitingConnections>,
}

impl<H: Handler> Server<H> {
    /// Serves a connection in a task of its own. It counts as in excess of the limit until it has a permit.
    fn serve_connection(
        self: &Rc<Self>,
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        excess: OwnedSemaphorePermit,
    ) {
        let connection = Connection::new(stream, self.limits, self.waiting.clone());
        let (server, signal) = (self.clone(), self.signal.clone());
        if let Ok(permit) = self.connections.clone().try_acquire_owned() {
            actix_rt::spawn(async move { server.serve_permitted(connection, permit, signal).await });
            return;
        }
        actix_rt::spawn(async move {
            let permit = server.wait_for_permit(&signal).await;
            drop(excess);
            match permit {
                Some(permit) => server.serve_permitted(connection, permit, signal).await,
                None => server.reject(connection).await,
            }
        });
    }

    async fn serve_permitted(
        &self,
        connection: Connection<impl AsyncRead + AsyncWrite + Unpin>,
        permit: OwnedSemaphorePermit,
        signal: ShutdownSignal,
    ) {
        let outcome = connection.serve(&*self.handler, signal.clone()).await;
        // The connection for which this one was evicted is served before the response is written.
        drop(permit);
        if let ServeOutcome::EvictedDuringRequest(connection) = outcome {
            self.reject(connection).await;
        }
        drop(signal);
    }

    /// Waits until a connection ends, and evicts those that wait for their clients. Returns `None` if the time limit is
    /// reached, or the server shuts down.
    async fn wait_for_permit(&self, signal: &ShutdownSignal) -> Option<OwnedSemaphorePermit> {
        let deadline = Instant::now() + MAX_EXCESS_WAIT;
        while Instant::now() < deadline && !signal.has_begun() {
            self.waiting.evict_longest();
            let permit = self.connections.clone().acquire_owned();
            if let Ok(permit) = timeout(EVICTION_INTERVAL, permit).await {
                return permit.ok();
            }
        }
        None
    }

    async fn reject(&self, connection: Connection<impl AsyncRead + AsyncWrite + Unpin>) {
        let Ok(_permit) = self.rejections.try_acquire() else { return };
        let rejection = self.handler.reject(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
        let deadline = Instant::now() + self.limits.request_timeout;
        _ = timeout_at(deadline, connection.reject(rejection)).await;
    }
}
