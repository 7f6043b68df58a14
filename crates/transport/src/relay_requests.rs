//! Requests to the relay, one at a time, on one connection that is kept while it is good.

use super::framing::LineCodec;
use super::{connect, contained, limits, within, Input, InputSender, RequestError, StreamError};
use actix_codec::Framed;
use actix_rt::net::TcpStream;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};

/// A request to the relay.
pub struct RelayRequest {
    /// The relay's address.
    pub relay: SocketAddr,
    /// The request, without the end of its line.
    pub line: String,
    /// Whether to open a new connection: what arrives on the open one is in doubt.
    pub needs_new_connection: bool,
}

/// The connection that is kept.
struct OpenConnection {
    relay: SocketAddr,
    framed: Framed<TcpStream, LineCodec>,
}

/// Sends each request and passes on its outcome. The relay closes idle connections: that is seen at once, so that
/// no request is written to a closed one. `target` has the address that requests may go to now; connecting to
/// another is abandoned.
pub async fn serve(
    mut requests: mpsc::Receiver<RelayRequest>,
    mut target: watch::Receiver<Option<SocketAddr>>,
    inputs: InputSender,
) {
    let mut open: Option<OpenConnection> = None;
    loop {
        let request = match &mut open {
            None => requests.recv().await,
            Some(OpenConnection { framed, .. }) => tokio::select! {
                biased;
                line = framed.next() => {
                    open = None; // closed, or a response without a request
                    if matches!(line, Some(Ok(_))) && inputs.send(Input::UnsolicitedResponse).await.is_err() {
                        return;
                    }
                    continue;
                }
                request = requests.recv() => request,
            },
        };
        let Some(RelayRequest { relay, line, needs_new_connection }) = request else { return };
        open = open.filter(|open| !needs_new_connection && open.relay == relay);
        let outcome = contained(send_request(relay, &mut open, &mut target, line)).await;
        let outcome = outcome.unwrap_or_else(|panicked| Err(RequestError::OutcomeUnknown(panicked)));
        if outcome.is_err() {
            open = None; // a late response must not be taken for that to the next request
        }
        if inputs.send(Input::RelayResponse(outcome)).await.is_err() {
            return;
        }
    }
}

async fn send_request(
    relay: SocketAddr,
    open: &mut Option<OpenConnection>,
    target: &mut watch::Receiver<Option<SocketAddr>>,
    line: String,
) -> Result<String, RequestError> {
    let abandoned = || {
        let reason = "abandoned, requests go to another address".into();
        Err(RequestError::NotSent(StreamError::Unreachable(reason)))
    };
    let framed = match open {
        _ if *target.borrow() != Some(relay) => return abandoned(),
        Some(open) => &mut open.framed,
        None => {
            let stream = tokio::select! {
                biased;
                _ = target.wait_for(|target| *target != Some(relay)) => return abandoned(),
                stream = connect(relay) => stream.map_err(RequestError::NotSent)?,
            };
            let framed = Framed::new(stream, LineCodec::with_crlf(limits::MAX_LINE_BYTES));
            &mut open.insert(OpenConnection { relay, framed }).framed
        }
    };
    let timeout = limits::RELAY_RESPONSE_TIMEOUT;
    let sent = within(timeout, framed.send(line)).await.map_err(RequestError::NotSent)?;
    sent.map_err(|error| RequestError::NotSent(error.into()))?;
    match within(timeout, framed.next()).await.map_err(RequestError::OutcomeUnknown)? {
        Some(Ok(response)) => Ok(response),
        Some(Err(error)) => Err(RequestError::OutcomeUnknown(error.into())),
        None => Err(RequestError::OutcomeUnknown(StreamError::Closed)),
    }
}
