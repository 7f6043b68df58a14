//! HTTP/1.1 over any stream. Every request of which something was read gets a response: the handler's, or why there is none,
//! also when the program shuts down, when there are too many connections, and when the handler panics. Requests are
//! bounded in size, time and number.

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

/// Connections beyond the most that are told so at a time; further ones are closed.
const MAX_REJECTIONS: usize = 64;

/// The bounds on connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// The most connections at a time.
    pub max_connections: usize,
    /// The largest body of a request.
    pub max_body_bytes: usize,
    /// How long a request may take from its first byte to its last, and a new connection to its first byte.
    pub request_timeout: Duration,
    /// How long a connection may be idle between two requests.
    pub keep_alive: Duration,
}

/// A request that was read to its end.
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
    /// The type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: String,
}

/// Answers requests.
pub trait Handler: 'static {
    /// The response to a request. It has to come in a bounded time.
    fn handle(&self, request: HttpRequest) -> impl Future<Output = HttpResponse>;

    /// The response to a request that the handler does not get, or not to its end.
    fn reject(&self, status: StatusCode, reason: &str) -> HttpResponse;
}

/// Where connections come from.
pub trait Listener {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Accepts a connection.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Keeps others from connecting, as far as that is possible while connections that wait can still be accepted.
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

/// Accepts connections and serves them, each in a task, until the signal closes. Those that have connected by then are
/// still answered; their tasks hold the signal until they have ended.
pub async fn serve(
    listener: impl Listener,
    limits: HttpLimits,
    handler: Rc<impl Handler>,
    signal: ShutdownSignal,
) {
    let server = Server {
        limits,
        handler,
        signal: signal.clone(),
        connections: Arc::new(Semaphore::new(limits.max_connections)),
        rejections: Arc::new(Semaphore::new(MAX_REJECTIONS)),
    };
    let mut closing = signal;
    loop {
        // Nothing to release: connections that are idle end by themselves.
        let accepted = next_connection(async || listener.accept().await, || false);
        tokio::select! {
            biased;
            _ = closing.closing() => break,
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
            let busy = handler.reject(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
            let until = Instant::now() + self.limits.request_timeout;
            actix_rt::spawn(async move {
                _ = timeout_at(until, connection.reject(busy)).await;
                drop((permit, signal));
            });
        }
    }
}
