//! An HTTP connection, which reads and answers one request after another. It uses the codec of actix-http, but not its
//! dispatcher, which closes connections with a partially read request when the program shuts down.

use super::waiting::{Awaited, ClientWait, WaitingConnections};
use super::{Handler, HttpLimits, HttpRequest, HttpResponse};
use crate::shutdown::ShutdownSignal;
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{HeaderValue, CONTENT_TYPE};
use actix_http::{ConnectionType, Request, Response, ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use std::io;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// The time limit for writing a response; a client that does not read it within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The time that a closing connection waits for a request that has arrived, but was not read yet.
const CLOSE_READ_TIMEOUT: Duration = Duration::from_millis(5);
/// The part of the closing time that is reserved for writing the last response.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(50);
/// The time limit for reading and discarding input after the last response. Closing a socket with unread input resets
/// the connection, and the client may lose the response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// The limit on the input that is read and discarded after the last response.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
const READ_BUFFER_BYTES: usize = 8 << 10;
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The result of reading a request.
enum Incoming {
    /// A complete request.
    Request(HttpRequest),
    /// A request that cannot be served. Nothing after it is read.
    Invalid(StatusCode, &'static str),
    /// The connection ends without a request to answer.
    Ended,
    /// Another connection is served in place of this one.
    Evicted(ReadPart),
}

/// What was read of the request that an evicted connection waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadPart {
    Nothing,
    Some,
}

/// How a connection was served.
pub(super) enum ServeOutcome<S> {
    /// It has ended.
    Ended,
    /// Another connection is served in its place. A part of a request was read, which has to be rejected.
    EvictedDuringRequest(Connection<S>),
}

/// The result of waiting for input.
enum WaitOutcome {
    Read(io::Result<usize>),
    TimedOut,
    /// The server is shutting down. Holds the deadline for answering the requests that were read.
    Closing(Instant),
    /// Another connection is served in place of this one.
    Evicted,
}

pub(super) struct Connection<S> {
    stream: S,
    codec: Codec,
    limits: HttpLimits,
    input: BytesMut,
    output: BytesMut,
    waiting: Rc<WaitingConnections>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    pub(super) fn new(stream: S, limits: HttpLimits, waiting: Rc<WaitingConnections>) -> Self {
        let codec = Codec::new(ServiceConfig::default());
        Connection { stream, codec, limits, input: BytesMut::new(), output: BytesMut::new(), waiting }
    }

    /// Serves requests until the connection ends or is evicted.
    pub(super) async fn serve(
        mut self,
        handler: &impl Handler,
        mut signal: ShutdownSignal,
    ) -> ServeOutcome<S> {
        let mut idle_timeout = self.limits.request_timeout;
        let mut awaited = Awaited::Request;
        loop {
            let incoming = self.read_request(idle_timeout, awaited, &mut signal).await;
            let (response, is_last) = match incoming {
                Incoming::Request(request) => {
                    (call_handler(handler, request).await, !self.codec.keep_alive())
                }
                Incoming::Invalid(status, reason) => (handler.reject(status, reason), true),
                Incoming::Ended => break,
                Incoming::Evicted(ReadPart::Nothing) => return ServeOutcome::Ended,
                Incoming::Evicted(ReadPart::Some) => return ServeOutcome::EvictedDuringRequest(self),
            };
            // If the next request was already received, it is answered before the connection closes.
            let is_last = is_last || (signal.has_begun() && self.input.is_empty());
            if self.write_response(response, is_last).await.is_err() {
                return ServeOutcome::Ended;
            }
            if is_last {
                break;
            }
            idle_timeout = self.limits.keep_alive;
            awaited = Awaited::NextRequest;
        }
        self.close().await;
        ServeOutcome::Ended
    }

    /// Sends a response without reading a request, and closes the connection.
    pub(super) async fn reject(mut self, response: HttpResponse) {
        if self.write_response(response, true).await.is_ok() {
            self.close().await;
        }
    }

    async fn read_request(
        &mut self,
        idle_timeout: Duration,
        awaited: Awaited,
        signal: &mut ShutdownSignal,
    ) -> Incoming {
        let mut partial = PartialRequest::default();
        let mut client_wait = ClientWait::new(&self.waiting, awaited);
        let mut deadline = Instant::now() + idle_timeout;
        let mut close_by: Option<Instant> = None;
        loop {
            match self.decode(&mut partial) {
                Ok(Some(request)) => return Incoming::Request(request),
                Ok(None) => {}
                Err((status, reason)) => return Incoming::Invalid(status, reason),
            }
            if partial.take_expects_continue() && self.write(CONTINUE_RESPONSE).await.is_err() {
                return Incoming::Ended;
            }
            if partial.mark_begun(&self.input) {
                deadline = Instant::now() + self.limits.request_timeout;
                client_wait.request_begun();
            }
            let last_response_at = close_by.map(|close_by| close_by - LAST_RESPONSE_MARGIN);
            let wait_until = last_response_at.map_or(deadline, |at| at.min(deadline));
            match self.wait_for_input(wait_until, signal, close_by, &mut client_wait).await {
                WaitOutcome::Read(Ok(1..)) => {}
                WaitOutcome::Evicted if partial.has_begun => return Incoming::Evicted(ReadPart::Some),
                WaitOutcome::Evicted => return Incoming::Evicted(ReadPart::Nothing),
                WaitOutcome::Read(_) => return Incoming::Ended,
                // The rest of a partial request may still arrive: it is answered when complete, or rejected shortly
                // before the closing deadline.
                WaitOutcome::Closing(close_deadline) => {
                    close_by = Some(close_deadline);
                    if !partial.has_begun {
                        deadline = Instant::now() + CLOSE_READ_TIMEOUT;
                    }
                }
                WaitOutcome::TimedOut if !partial.has_begun => return Incoming::Ended,
                WaitOutcome::TimedOut if close_by.is_some() => {
                    let reason = "shutting down; nothing has changed";
                    return Incoming::Invalid(StatusCode::SERVICE_UNAVAILABLE, reason);
                }
                WaitOutcome::TimedOut => {
                    return Incoming::Invalid(StatusCode::REQUEST_TIMEOUT, "the request did not end in time");
                }
            }
        }
    }

    /// Waits for input, the time limit, the shutdown, or the eviction. Input takes precedence, so that a request that has
    /// arrived is answered even during the shutdown, and a connection counts as waiting only if nothing has arrived.
    async fn wait_for_input(
        &mut self,
        until: Instant,
        signal: &mut ShutdownSignal,
        close_by: Option<Instant>,
        client_wait: &mut ClientWait,
    ) -> WaitOutcome {
        self.input.reserve(READ_BUFFER_BYTES);
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.input) => WaitOutcome::Read(read),
            () = sleep_until(until) => WaitOutcome::TimedOut,
            deadline = signal.closing_before(close_by) => WaitOutcome::Closing(deadline),
            () = client_wait.evicted() => WaitOutcome::Evicted,
        }
    }

    /// Decodes the input read so far. Returns the request if it is complete.
    fn decode(
        &mut self,
        partial: &mut PartialRequest,
    ) -> Result<Option<HttpRequest>, (StatusCode, &'static str)> {
        loop {
            match self.codec.decode(&mut self.input).map_err(describe_parse_error)? {
                None => return Ok(None),
                Some(Message::Item(request)) => {
                    partial.begin_body(request);
                    match self.codec.message_type() {
                        MessageType::None => return Ok(partial.finish()),
                        MessageType::Payload => {}
                        MessageType::Stream => {
                            return Err((StatusCode::NOT_IMPLEMENTED, "there is no upgrade"));
                        }
                    }
                }
                Some(Message::Chunk(Some(bytes))) => {
                    if partial.body.len() + bytes.len() > self.limits.max_body_bytes {
                        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
                    }
                    partial.body.extend_from_slice(&bytes);
                }
                Some(Message::Chunk(None)) => return Ok(partial.finish()),
            }
        }
    }

    async fn write_response(&mut self, response: HttpResponse, is_last: bool) -> io::Result<()> {
        let mut head = Response::with_body(response.status, ());
        head.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(response.content_type));
        if is_last {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        let size = BodySize::Sized(response.body.len() as u64);
        self.codec.encode(Message::Item((head, size)), &mut self.output)?;
        if !response.body.is_empty() {
            self.codec.encode(Message::Chunk(Some(Bytes::from(response.body))), &mut self.output)?;
        }
        self.codec.encode(Message::Chunk(None), &mut self.output)?;
        let output = self.output.split();
        self.write(&output).await
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
        timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await.map_err(timed_out)?
    }

    /// Shuts down the write side, then reads and discards input within limits before the socket is closed.
    async fn close(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let deadline = Instant::now() + DISCARD_TIMEOUT;
        let mut discarded = 0;
        let mut buffer = [0; READ_BUFFER_BYTES];
        while discarded < MAX_DISCARDED_BYTES {
            match timeout_at(deadline, self.stream.read(&mut buffer)).await {
                Ok(Ok(bytes @ 1..)) => discarded += bytes,
                _ => return,
            }
        }
    }
}

/// Returns the handler's response, or an error response if the handler panics.
async fn call_handler(handler: &impl Handler, request: HttpRequest) -> HttpResponse {
    let handled = AssertUnwindSafe(handler.handle(request)).catch_unwind().await;
    let panicked = |_| handler.reject(StatusCode::INTERNAL_SERVER_ERROR, "a fault of the program's");
    handled.unwrap_or_else(panicked)
}

fn describe_parse_error(error: ParseError) -> (StatusCode, &'static str) {
    match error {
        ParseError::TooLarge => {
            (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "the head of the request is too large")
        }
        _ => (StatusCode::BAD_REQUEST, "this is no HTTP request"),
    }
}

/// A partially read request.
#[derive(Default)]
struct PartialRequest {
    /// True once any part of the request was read.
    has_begun: bool,
    request: Option<Request>,
    /// True while the client waits for `100 Continue` before it sends the body.
    expects_continue: bool,
    body: Vec<u8>,
}

impl PartialRequest {
    /// Sets `has_begun` if a part of the request was read. Returns true if it was not set before.
    fn mark_begun(&mut self, input: &BytesMut) -> bool {
        let begins = !self.has_begun && (!input.is_empty() || self.request.is_some());
        self.has_begun |= begins;
        begins
    }

    fn begin_body(&mut self, request: Request) {
        self.expects_continue = request.head().expect();
        self.request = Some(request);
    }

    fn take_expects_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    fn finish(&mut self) -> Option<HttpRequest> {
        let (head, _) = self.request.take()?.into_parts();
        Some(HttpRequest { head: (*head).clone(), body: std::mem::take(&mut self.body) })
    }
}
