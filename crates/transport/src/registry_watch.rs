//! The registry watch: one HTTP request whose response is a continuous stream of lines.

use super::framing::LineCodec;
use super::{
    catch_panic, first_success, limits, with_timeout, Cause, HttpStatusError, Input, InputSender,
    StreamError, WatchId,
};
use actix_codec::Decoder;
use bytes::BytesMut;
use futures_util::StreamExt;

/// Requests the URL and sends each line of the response to the input queue. Sends the error when the watch ends.
pub async fn follow(id: WatchId, client: awc::Client, url: String, inputs: InputSender) {
    let error = catch_panic(read_lines(id, client, url, &inputs)).await.unwrap_or_else(|panicked| panicked);
    _ = inputs.send(Input::RegistryLine(id, Err(error))).await;
}

async fn read_lines(id: WatchId, client: awc::Client, url: String, inputs: &InputSender) -> StreamError {
    // `awc::error::SendRequestError` is neither `Send` nor `Sync`, so only its text is kept.
    let send_request = async || match client.get(&url).send().await {
        Ok(response) if response.status().is_success() => Ok(response),
        Ok(response) => Err(StreamError::Unreachable(Cause::new(HttpStatusError(response.status())))),
        Err(error) => Err(StreamError::Unreachable(Cause::new(error.to_string()))),
    };
    let (interval, max_attempts) = (limits::REGISTRY_REQUEST_INTERVAL, limits::MAX_CONNECT_ATTEMPTS);
    let mut response = match first_success(interval, max_attempts, send_request).await {
        Ok(response) => response,
        Err(error) => return error,
    };
    let (mut codec, mut bytes) = (LineCodec::new(limits::MAX_REGISTRY_LINE_BYTES), BytesMut::new());
    loop {
        match with_timeout(limits::REGISTRY_WATCH_IDLE_TIMEOUT, response.next()).await {
            Ok(Some(Ok(chunk))) => bytes.extend_from_slice(&chunk),
            Ok(Some(Err(error))) => return StreamError::Lost(Cause::new(error)),
            Ok(None) => return StreamError::Closed,
            Err(error) => return error,
        }
        loop {
            let line = match codec.decode(&mut bytes) {
                Ok(Some(line)) => line,
                Ok(None) => break,
                Err(error) => return error.into(),
            };
            if inputs.send(Input::RegistryLine(id, Ok(line))).await.is_err() {
                return StreamError::Closed;
            }
        }
    }
}
