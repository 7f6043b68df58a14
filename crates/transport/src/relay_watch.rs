//! The connection of the relay watch. It ends with the first error, which is its last input to the queue.

use super::framing::LineCodec;
use super::{catch_panic, connect, limits, with_timeout, Input, InputSender, StreamError, WatchId};
use actix_codec::Framed;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;

/// Subscribes with the given request and sends each line to the input queue. Sends the error when the watch ends.
pub async fn follow(id: WatchId, relay: SocketAddr, request: &'static str, inputs: InputSender) {
    let error =
        catch_panic(read_lines(id, relay, request, &inputs)).await.unwrap_or_else(|panicked| panicked);
    _ = inputs.send(Input::WatchLine(id, Err(error))).await;
}

async fn read_lines(
    id: WatchId,
    relay: SocketAddr,
    request: &'static str,
    inputs: &InputSender,
) -> StreamError {
    let stream = match connect(relay).await {
        Ok(stream) => stream,
        Err(error) => return error,
    };
    let mut framed = Framed::new(stream, LineCodec::with_crlf(limits::MAX_LINE_BYTES));
    match with_timeout(limits::RELAY_RESPONSE_TIMEOUT, framed.send(request.to_string())).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => return error.into(),
        Err(error) => return error,
    }
    let mut line_timeout = limits::RELAY_WATCH_RESPONSE_TIMEOUT;
    loop {
        let line = match with_timeout(line_timeout, framed.next()).await {
            Ok(Some(Ok(line))) => line,
            Ok(Some(Err(error))) => return error.into(),
            Ok(None) => return StreamError::Closed,
            Err(error) => return error,
        };
        line_timeout = limits::RELAY_WATCH_IDLE_TIMEOUT;
        if inputs.send(Input::WatchLine(id, Ok(line))).await.is_err() {
            return StreamError::Closed;
        }
    }
}
