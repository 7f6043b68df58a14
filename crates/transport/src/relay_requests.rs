//! Requests to the relay, one at a time, on a connection that is reused as long as it works.

use super::framing::LineCodec;
use super::{
    catch_panic, connect, limits, with_timeout, Cause, Input, InputSender, RelayAddressChanged,
    RequestCancelled, RequestError, StreamError,
};
use actix_codec::Framed;
use actix_rt::net::TcpStream;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot, watch};

/// A request to the relay.
pub struct RelayRequest {
    /// The address of the relay.
    pub relay: SocketAddr,
    /// The request, without a line terminator.
    pub line: String,
    /// True if the request must be sent on a new connection, because responses on the open one are not reliable.
    pub needs_new_connection: bool,
    /// Ends when the request must no longer be sent. A request that was sent already is not affected.
    pub cancellation: oneshot::Receiver<()>,
}

/// The reused connection.
struct OpenConnection {
    relay: SocketAddr,
    framed: Framed<TcpStream, LineCodec>,
}

/// Sends each request and passes its outcome to the input queue. The relay closes idle connections; this is detected
/// immediately, so that no request is written to a closed connection. `target` holds the current address of the relay;
/// attempts to connect to another address are aborted.
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
                    // The relay has closed the connection, or sent an unsolicited response.
                    open = None;
                    if matches!(line, Some(Ok(_))) && inputs.send(Input::UnsolicitedResponse).await.is_err() {
                        return;
                    }
                    continue;
                }
                request = requests.recv() => request,
            },
        };
        let Some(request) = request else { return };
        open = open.filter(|open| !request.needs_new_connection && open.relay == request.relay);
        let outcome = catch_panic(send_request(request, &mut open, &mut target)).await;
        let outcome = outcome.unwrap_or_else(|panicked| Err(RequestError::OutcomeUnknown(panicked)));
        if outcome.is_err() {
            // A late response must not be attributed to the next request.
            open = None;
        }
        if inputs.send(Input::RelayResponse(outcome)).await.is_err() {
            return;
        }
    }
}

async fn send_request(
    request: RelayRequest,
    open: &mut Option<OpenConnection>,
    target: &mut watch::Receiver<Option<SocketAddr>>,
) -> Result<String, RequestError> {
    let RelayRequest { relay, line, mut cancellation, .. } = request;
    let aborted = || {
        let cause = Cause::new(RelayAddressChanged { relay });
        Err(RequestError::NotSent(StreamError::Unreachable(cause)))
    };
    let cancelled = || Err(RequestError::NotSent(StreamError::Unreachable(Cause::new(RequestCancelled))));
    let framed = match open {
        _ if *target.borrow() != Some(relay) => return aborted(),
        _ if is_cancelled(&mut cancellation) => return cancelled(),
        Some(open) => &mut open.framed,
        None => {
            let stream = tokio::select! {
                biased;
                _ = target.wait_for(|target| *target != Some(relay)) => return aborted(),
                _ = &mut cancellation => return cancelled(),
                stream = connect(relay) => stream.map_err(RequestError::NotSent)?,
            };
            let framed = Framed::new(stream, LineCodec::with_crlf(limits::MAX_LINE_BYTES));
            &mut open.insert(OpenConnection { relay, framed }).framed
        }
    };
    let timeout = limits::RELAY_RESPONSE_TIMEOUT;
    let sent = with_timeout(timeout, framed.send(line)).await.map_err(RequestError::NotSent)?;
    sent.map_err(|error| RequestError::NotSent(error.into()))?;
    match with_timeout(timeout, framed.next()).await.map_err(RequestError::OutcomeUnknown)? {
        Some(Ok(response)) => Ok(response),
        Some(Err(error)) => Err(RequestError::OutcomeUnknown(error.into())),
        None => Err(RequestError::OutcomeUnknown(StreamError::Closed)),
    }
}

fn is_cancelled(cancellation: &mut oneshot::Receiver<()>) -> bool {
    cancellation.try_recv() != Err(oneshot::error::TryRecvError::Empty)
}
