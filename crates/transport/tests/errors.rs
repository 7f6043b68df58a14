//! Texts and typed causes of connection errors, as they appear in log lines and in recorded events.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot, watch};
use whinwall_transport::relay_requests::{self, RelayRequest};
use whinwall_transport::{Cause, Input, RelayAddressChanged, RequestError, StreamError};

#[test]
fn error_texts_name_the_cause() {
    let lost = StreamError::from(Error::new(ErrorKind::ConnectionReset, "reset"));
    assert_eq!(lost.to_string(), "connection lost: reset");
    let unreadable = StreamError::from(Error::new(ErrorKind::InvalidData, "not UTF-8"));
    assert_eq!(unreadable.to_string(), "unreadable: not UTF-8");
    let unreachable = StreamError::Unreachable("refused".into());
    assert_eq!(RequestError::NotSent(unreachable).to_string(), "not sent: unreachable: refused");
    let unknown = RequestError::OutcomeUnknown(StreamError::Closed);
    assert_eq!(unknown.to_string(), "outcome unknown: closed by peer");
}

#[test]
fn causes_are_equal_if_their_texts_are_equal() {
    assert_eq!(Cause::new(Error::other("reset")), Cause::from("reset"));
    assert_ne!(Cause::from("reset"), Cause::from("refused"));
    assert_eq!(format!("{:?}", StreamError::Lost("reset".into())), r#"Lost("reset")"#);
}

/// A request to an address that requests no longer go to is not sent; the error holds that address.
#[test]
fn request_to_a_previous_relay_address_fails_with_that_address() {
    let [previous, current] = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let input = actix_rt::System::new().block_on(async {
        let (requests, request_queue) = mpsc::channel(1);
        let (_target, target) = watch::channel(Some(current));
        let (inputs, mut input_queue) = mpsc::channel(1);
        let (_canceller, cancellation) = oneshot::channel();
        let line = "APPLY".into();
        let request = RelayRequest { relay: previous, line, needs_new_connection: false, cancellation };
        requests.send(request).await.ok().unwrap();
        actix_rt::spawn(relay_requests::serve(request_queue, target, inputs));
        input_queue.recv().await
    });
    let Some(Input::RelayResponse(Err(RequestError::NotSent(StreamError::Unreachable(cause))))) = input
    else {
        panic!("unexpected input: {input:?}");
    };
    let error = cause.as_error().downcast_ref::<RelayAddressChanged>();
    assert_eq!(error, Some(&RelayAddressChanged { relay: previous }));
    let text = "attempt to connect to 127.0.0.1:1 aborted because the relay address has changed";
    assert_eq!(cause.to_string(), text);
}
