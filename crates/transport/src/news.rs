//! The connection that brings the relay's news. It ends with the first failure, and is said to have ended.

use super::framing::Lines;
use super::{connect, contained, limits, within, FollowId, Inbox, Input, StreamError};
use actix_codec::Framed;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;

pub async fn follow(id: FollowId, relay: SocketAddr, request: &'static str, inbox: Inbox) {
    let why = contained(read(id, relay, request, &inbox)).await.unwrap_or_else(|panicked| panicked);
    _ = inbox.send(Input::RelayEvent(id, Err(why))).await;
}

async fn read(id: FollowId, relay: SocketAddr, request: &'static str, inbox: &Inbox) -> StreamError {
    let stream = match connect(relay).await {
        Ok(stream) => stream,
        Err(why) => return why,
    };
    let mut framed = Framed::new(stream, Lines::with_crlf(limits::LINE));
    match within(limits::ANSWER, framed.send(request.to_string())).await {
        Ok(Ok(())) => {}
        Ok(Err(why)) => return why.into(),
        Err(why) => return why,
    }
    let mut patience = limits::NEWS_ANSWER;
    loop {
        let line = match within(patience, framed.next()).await {
            Ok(Some(Ok(line))) => line,
            Ok(Some(Err(why))) => return why.into(),
            Ok(None) => return StreamError::Closed,
            Err(why) => return why,
        };
        patience = limits::NEWS_SILENCE;
        if inbox.send(Input::RelayEvent(id, Ok(line))).await.is_err() {
            return StreamError::Closed;
        }
    }
}
