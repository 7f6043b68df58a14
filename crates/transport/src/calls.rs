//! Calls on the relay, one at a time, on one connection that is kept as long as it is good.

use super::framing::Lines;
use super::{connect, contained, limits, within, CallError, Inbox, Input, StreamError};
use actix_codec::Framed;
use actix_rt::net::TcpStream;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};

pub struct Call {
    pub relay: SocketAddr,
    pub line: String,
    /// On a new connection: what the open one brings is not to be trusted.
    pub afresh: bool,
}

type Line = Framed<TcpStream, Lines>;

/// The connection that is kept, and to whom.
type Open = Option<(SocketAddr, Line)>;

/// Makes each call that comes and says how it went. The relay closes idle connections: one that it has closed
/// is seen at once, so that no call is written to it. `at` says where calls may be made now; a dial elsewhere is
/// given up.
pub async fn serve(
    mut calls: mpsc::Receiver<Call>,
    mut at: watch::Receiver<Option<SocketAddr>>,
    inbox: Inbox,
) {
    let mut open: Open = None;
    loop {
        let call = match &mut open {
            None => calls.recv().await,
            Some((_, line)) => tokio::select! {
                biased;
                said = line.next() => {
                    open = None; // closed, or it says what nobody asked for
                    if matches!(said, Some(Ok(_))) && inbox.send(Input::Surplus).await.is_err() {
                        return;
                    }
                    continue;
                }
                call = calls.recv() => call,
            },
        };
        let Some(Call { relay, line, afresh }) = call else { return };
        open = open.filter(|(to, _)| !afresh && *to == relay);
        let attempt = contained(attempt(relay, &mut open, &mut at, line)).await;
        let answer = attempt.unwrap_or_else(|panicked| Err(CallError::OutcomeUnknown(panicked)));
        if answer.is_err() {
            open = None; // a late answer must not be taken for the next one's
        }
        if inbox.send(Input::Answer(answer)).await.is_err() {
            return;
        }
    }
}

async fn attempt(
    relay: SocketAddr,
    open: &mut Open,
    at: &mut watch::Receiver<Option<SocketAddr>>,
    call: String,
) -> Result<String, CallError> {
    let moved = || Err(CallError::NotSent(StreamError::Unreachable("given up, calls go elsewhere".into())));
    let line = match open {
        _ if *at.borrow() != Some(relay) => return moved(),
        Some((_, line)) => line,
        None => {
            let stream = tokio::select! {
                biased;
                _ = at.wait_for(|at| *at != Some(relay)) => return moved(),
                stream = connect(relay) => stream.map_err(CallError::NotSent)?,
            };
            &mut open.insert((relay, Framed::new(stream, Lines::with_crlf(limits::LINE)))).1
        }
    };
    let sent = within(limits::ANSWER, line.send(call)).await.map_err(CallError::NotSent)?;
    sent.map_err(|why| CallError::NotSent(why.into()))?;
    match within(limits::ANSWER, line.next()).await.map_err(CallError::OutcomeUnknown)? {
        Some(Ok(answer)) => Ok(answer),
        Some(Err(why)) => Err(CallError::OutcomeUnknown(why.into())),
        None => Err(CallError::OutcomeUnknown(StreamError::Closed)),
    }
}
