//! One HTTP connection: requests are read and answered one after the other. The codec is actix-http's; its dispatcher
//! closes connections with a request half read when the program ends, so that reading and closing stand here.

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
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// A client that does not read its response for so long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection that closes waits for a request that has arrived and was not read yet.
const LAST_INPUT_PERIOD: Duration = Duration::from_millis(5);
/// The part of the time for closing that is kept for writing the last response.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(50);
/// How long, and how much, is read and discarded after the last response: closing with something unread would reset the
/// connection, and destroy the response on its way.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_DISCARDED_BYTES: usize = 256 << 10;
const READ_BUFFER_BYTES: usize = 8 << 10;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What was read.
enum Incoming {
    /// A whole request.
    Request(HttpRequest),
    /// A request that cannot be served; nothing after it is read.
    Invalid(StatusCode, &'static str),
    /// The connection ends with nothing to be answered.
    Ended,
}

/// What reading has waited for.
enum Wait {
    Read(io::Result<usize>),
    TimedOut,
    /// The program, or the server, closes; what was read is answered until then.
    Closing(Instant),
}

pub(super) struct Connection<S> {
    stream: S,
    codec: Codec,
    limits: HttpLimits,
    input: BytesMut,
    output: BytesMut,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    pub(super) fn new(stream: S, limits: HttpLimits) -> Self {
        let codec = Codec::new(ServiceConfig::default());
        Connection { stream, codec, limits, input: BytesMut::new(), output: BytesMut::new() }
    }

    /// Serves requests until the connection ends.
    pub(super) async fn serve(mut self, handler: &impl Handler, mut signal: ShutdownSignal) {
        let mut idle_timeout = self.limits.request_timeout;
        loop {
            let (response, is_last) = match self.read_request(idle_timeout, &mut signal).await {
                Incoming::Request(request) => (respond(handler, request).await, !self.codec.keep_alive()),
                Incoming::Invalid(status, reason) => (handler.reject(status, reason), true),
                Incoming::Ended => break,
            };
            // Whoever has sent the next request already gets its response before the connection ends.
            let is_last = is_last || (signal.has_begun() && self.input.is_empty());
            if self.write_response(response, is_last).await.is_err() {
                return;
            }
            if is_last {
                break;
            }
            idle_timeout = self.limits.keep_alive;
        }
        self.close().await;
    }

    /// Answers whatever comes with this response, and closes.
    pub(super) async fn reject(mut self, response: HttpResponse) {
        if self.write_response(response, true).await.is_ok() {
            self.close().await;
        }
    }

    async fn read_request(&mut self, idle_timeout: Duration, signal: &mut ShutdownSignal) -> Incoming {
        let mut partial = PartialRequest::default();
        let mut deadline = Instant::now() + idle_timeout;
        let mut close_by: Option<Instant> = None;
        loop {
            match self.decode(&mut partial) {
                Ok(Some(request)) => return Incoming::Request(request),
                Ok(None) => {}
                Err((status, reason)) => return Incoming::Invalid(status, reason),
            }
            if partial.take_continue() && self.write(CONTINUE).await.is_err() {
                return Incoming::Ended;
            }
            if partial.begin(&self.input) {
                deadline = Instant::now() + self.limits.request_timeout;
            }
            let last_response_at = close_by.map(|close_by| close_by - LAST_RESPONSE_MARGIN);
            let wait_until = last_response_at.map_or(deadline, |at| at.min(deadline));
            match self.wait_for_input(wait_until, signal, close_by).await {
                Wait::Read(Ok(1..)) => {}
                Wait::Read(_) => return Incoming::Ended,
                // The rest of a request may be on its way: the response comes when it is there, or at the end.
                Wait::Closing(at) => {
                    close_by = Some(at);
                    if !partial.has_begun {
                        deadline = Instant::now() + LAST_INPUT_PERIOD;
                    }
                }
                Wait::TimedOut if !partial.has_begun => return Incoming::Ended,
                Wait::TimedOut if close_by.is_some() => {
                    let reason = "shutting down; nothing has changed";
                    return Incoming::Invalid(StatusCode::SERVICE_UNAVAILABLE, reason);
                }
                Wait::TimedOut => {
                    return Incoming::Invalid(StatusCode::REQUEST_TIMEOUT, "the request did not end in time");
                }
            }
        }
    }

    /// What can be read comes first: a request that has arrived is answered, also when the program shuts down.
    async fn wait_for_input(
        &mut self,
        until: Instant,
        signal: &mut ShutdownSignal,
        close_by: Option<Instant>,
    ) -> Wait {
        self.input.reserve(READ_BUFFER_BYTES);
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.input) => Wait::Read(read),
            () = sleep_until(until) => Wait::TimedOut,
            deadline = signal.closing_before(close_by) => Wait::Closing(deadline),
        }
    }

    /// Decodes what was read; the request, once it is whole.
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

    /// Ends the write side, and hears the client out for a moment.
    async fn close(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let until = Instant::now() + DISCARD_TIMEOUT;
        let mut discarded = 0;
        let mut buffer = [0; READ_BUFFER_BYTES];
        while discarded < MAX_DISCARDED_BYTES {
            match timeout_at(until, self.stream.read(&mut buffer)).await {
                Ok(Ok(bytes @ 1..)) => discarded += bytes,
                _ => return,
            }
        }
    }
}

/// The handler's response; a panic costs its request alone.
async fn respond(handler: &impl Handler, request: HttpRequest) -> HttpResponse {
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

/// A request of which a part was read.
#[derive(Default)]
struct PartialRequest {
    /// Whether something of it was read.
    has_begun: bool,
    request: Option<Request>,
    /// Whether the client waits for leave to send the body.
    expects_continue: bool,
    body: Vec<u8>,
}

impl PartialRequest {
    /// Notes whether something was read; true the first time.
    fn begin(&mut self, input: &BytesMut) -> bool {
        let begins = !self.has_begun && (!input.is_empty() || self.request.is_some());
        self.has_begun |= begins;
        begins
    }

    fn begin_body(&mut self, request: Request) {
        self.expects_continue = request.head().expect();
        self.request = Some(request);
    }

    fn take_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    fn finish(&mut self) -> Option<HttpRequest> {
        let (head, _) = self.request.take()?.into_parts();
        Some(HttpRequest { head: (*head).clone(), body: std::mem::take(&mut self.body) })
    }
}
