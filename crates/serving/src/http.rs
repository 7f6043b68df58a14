//! An HTTP/1.1 server over any stream. Every request that was read at least in part gets a response: that of the
//! handler, or an error response if the program shuts down, the connection limit is reached, or the handler panics.
//! Requests are limited in size, duration and number.

mod connection;

use crate::accept::{drain_backlog, next_connection};
use crate::shutdown::ShutdownSignal;
use crate::unix_socket::OwnedUnixListener;
use actix_http::{RequestHead, StatusCode};
use actix_rt::net::TcpListener;
use connection::Connection;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::Semaphore;
use tokio::time::{timeout_at, Instant};

/// The number of connections above the limit that are answered with an error at the same time; further connections are
/// closed without a response.
const MAX_REJECTIONS: usize = 64;

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
    let server = Server {
        limits,
        handler,
        signal: signal.clone(),
        connections: Arc::new(Semaphore::new(limits.max_connections)),
        rejections: Arc::new(Semaphore::new(MAX_REJECTIONS)),
    };
    loop {
        // No connection is closed to release resources: idle connections time out by themselves.
        let accepted = next_connection(async || listener.accept().await, || false);
        tokio::select! {
            biased;
            _ = signal.closing() => break,
            stream = accepted => server.serve_connection(stream),
        }
    }
    listener.unpublish();
    drain_backlog(async || listener.accept().await, |stream| server.serve_connection(stream)).await;
}

struct Server<H> {
    limits: HttpLimits,
    handler: Rc<H>,
    signal: ShutdownSignal,
    connections: Arc<Semaphore>,
    rejections: Arc<Semaphore>,
}

impl<H: Handler> Server<H> {
    fn serve_connection(&self, stream: impl AsyncRead + AsyncWrite + Unpin + 'static) {
        let connection = Connection::new(stream, self.limits);
        let (handler, signal) = (self.handler.clone(), self.signal.clone());
        if let Ok(permit) = self.connections.clone().try_acquire_owned() {
            actix_rt::spawn(async move {
                connection.serve(&*handler, signal).await;
                drop(permit);
            });
        } else if let Ok(permit) = self.rejections.clone().try_acquire_owned() {
            let rejection = handler.reject(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
            let deadline = Instant::now() + self.limits.request_timeout;
            actix_rt::spawn(async move {
                _ = timeout_at(deadline, connection.reject(rejection)).await;
                drop((permit, signal));
            });
        }
    }
}
