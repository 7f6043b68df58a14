//! The registry watch: one HTTP request, answered by lines for as long as it lasts.

use super::framing::LineCodec;
use super::{contained, first_success, limits, within, Input, InputSender, StreamError, WatchId};
use actix_codec::Decoder;
use bytes::BytesMut;
use futures_util::StreamExt;

/// Requests this URL, and passes on each line of the response and in the end the failure.
pub async fn follow(id: WatchId, client: awc::Client, url: String, inputs: InputSender) {
    let error = contained(read_lines(id, client, url, &inputs)).await.unwrap_or_else(|panicked| panicked);
    _ = inputs.send(Input::RegistryLine(id, Err(error))).await;
}

async fn read_lines(id: WatchId, client: awc::Client, url: String, inputs: &InputSender) -> StreamError {
    let unreachable = |reason: &dyn std::fmt::Display| StreamError::Unreachable(reason.to_string());
    let send_request = async || match client.get(&url).send().await {
        Ok(response) if response.status().is_success() => Ok(response),
        Ok(response) => Err(unreachable(&response.status())),
        Err(error) => Err(unreachable(&error)),
    };
    let (interval, max_attempts) = (limits::REGISTRY_REQUEST_INTERVAL, limits::MAX_CONNECT_ATTEMPTS);
    let mut response = match first_success(interval, max_attempts, send_request).await {
        Ok(response) => response,
        Err(error) => return error,
    };
    let (mut codec, mut bytes) = (LineCodec::new(limits::MAX_REGISTRY_LINE_BYTES), BytesMut::new());
    loop {
        match within(limits::REGISTRY_WATCH_IDLE_TIMEOUT, response.next()).await {
            Ok(Some(Ok(chunk))) => bytes.extend_from_slice(&chunk),
            Ok(Some(Err(error))) => return StreamError::Lost(error.to_string()),
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
