//! Discovery's watch: one request, answered by lines for as long as it lasts.

use super::framing::Lines;
use super::{contained, earliest, limits, within, FollowId, Inbox, Input, StreamError};
use actix_codec::Decoder;
use bytes::BytesMut;
use futures_util::StreamExt;

pub async fn follow(id: FollowId, client: awc::Client, url: String, inbox: Inbox) {
    let why = contained(read(id, client, url, &inbox)).await.unwrap_or_else(|panicked| panicked);
    _ = inbox.send(Input::List(id, Err(why))).await;
}

async fn read(id: FollowId, client: awc::Client, url: String, inbox: &Inbox) -> StreamError {
    let unreachable = |why: &dyn std::fmt::Display| StreamError::Unreachable(why.to_string());
    let ask = async || match client.get(&url).send().await {
        Ok(answer) if answer.status().is_success() => Ok(answer),
        Ok(answer) => Err(unreachable(&answer.status())),
        Err(why) => Err(unreachable(&why)),
    };
    let mut answer = match earliest(limits::LIST_ANSWER, limits::DIALS, ask).await {
        Ok(answer) => answer,
        Err(why) => return why,
    };
    let (mut lines, mut bytes) = (Lines::new(limits::LIST), BytesMut::new());
    loop {
        match within(limits::LIST_SILENCE, answer.next()).await {
            Ok(Some(Ok(chunk))) => bytes.extend_from_slice(&chunk),
            Ok(Some(Err(why))) => return StreamError::Cut(why.to_string()),
            Ok(None) => return StreamError::Closed,
            Err(why) => return why,
        }
        loop {
            let line = match lines.decode(&mut bytes) {
                Ok(Some(line)) => line,
                Ok(None) => break,
                Err(why) => return why.into(),
            };
            if inbox.send(Input::List(id, Ok(line))).await.is_err() {
                return StreamError::Closed;
            }
        }
    }
}
