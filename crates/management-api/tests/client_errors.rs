//! The client's errors: which variant each failure results in, and the text that is printed for it.

mod support;

use actix_rt::System;
use awc::error::{ConnectError, InvalidUrl, PayloadError, SendRequestError};
use std::io::{self, ErrorKind};
use support::{http_response, start_server_for_one_request};
use whinwall_management_api::client::{Client, ClientError, NotSentCause, UnknownOutcomeCause};
use whinwall_management_api::wire::ErrorBody;

/// Returns the error of a status request to which a server sends this response.
fn status_error(response: Vec<u8>) -> ClientError {
    let (address, _) = start_server_for_one_request(response);
    System::new().block_on(async { Client::new(address, None).status().await }).unwrap_err()
}

#[test]
fn failures_before_the_request_is_sent_are_not_sent() {
    let refused = || ConnectError::Io(io::Error::from(ErrorKind::ConnectionRefused));
    for (error, variant) in [
        (
            SendRequestError::Connect(ConnectError::Timeout),
            ClientError::NotSent(NotSentCause::ConnectFailed(
                "Failed to connect to host: Timeout while establishing connection".into(),
            )),
        ),
        (
            SendRequestError::Connect(refused()),
            ClientError::NotSent(NotSentCause::ConnectFailed(
                "Failed to connect to host: connection refused".into(),
            )),
        ),
        (
            SendRequestError::Url(InvalidUrl::MissingHost),
            ClientError::NotSent(NotSentCause::InvalidUrl("Invalid URL: Missing host name".into())),
        ),
    ] {
        let text = format!("request not sent: {error}");
        let error = ClientError::from(error);
        assert_eq!((error.to_string(), error), (text, variant));
    }
}

#[test]
fn failures_while_the_request_is_sent_or_the_response_read_are_unknown_outcomes() {
    let reset = || io::Error::from(ErrorKind::ConnectionReset);
    for (error, variant) in [
        (SendRequestError::Timeout, UnknownOutcomeCause::ResponseTimeout),
        (SendRequestError::Send(reset()), UnknownOutcomeCause::ExchangeFailed("connection reset".into())),
        (
            SendRequestError::TunnelNotSupported,
            UnknownOutcomeCause::ExchangeFailed("Tunnels are not supported for http2 connection".into()),
        ),
    ] {
        let text = format!("outcome unknown: {error}");
        let error = ClientError::from(error);
        assert_eq!((error.to_string(), error), (text, ClientError::OutcomeUnknown(variant)));
    }
    let overflow = UnknownOutcomeCause::ExchangeFailed("payload reached size limit".into());
    assert_eq!(ClientError::from(PayloadError::Overflow), ClientError::OutcomeUnknown(overflow));
}

#[test]
fn connection_closed_without_a_response_is_an_unknown_outcome() {
    let error = status_error(Vec::new());
    assert_eq!(error, ClientError::OutcomeUnknown(UnknownOutcomeCause::ConnectionClosed));
    assert_eq!(error.to_string(), "outcome unknown: connection closed before a response was received");
}

#[test]
fn successful_response_with_unexpected_json_is_an_unknown_outcome() {
    let cause = "invalid type: integer `1`, expected struct State at line 1 column 1";
    let error = status_error(http_response(200, b"1"));
    assert_eq!(error, ClientError::OutcomeUnknown(UnknownOutcomeCause::UnexpectedJson(cause.into())));
    assert_eq!(error.to_string(), format!("outcome unknown: {cause}"));
}

#[test]
fn metrics_that_are_not_utf8_are_an_unknown_outcome() {
    let (address, _) = start_server_for_one_request(http_response(200, b"# \xff"));
    let error = System::new().block_on(async { Client::new(address, None).metrics().await }).unwrap_err();
    let cause = String::from_utf8(b"# \xff".to_vec()).unwrap_err();
    assert_eq!(error, ClientError::OutcomeUnknown(UnknownOutcomeCause::InvalidUtf8(cause.utf8_error())));
    assert_eq!(error.to_string(), format!("outcome unknown: {cause}"));
}

#[test]
fn error_responses_have_the_variant_of_their_status_code() {
    let body = || ErrorBody::new("why");
    for code in [429, 503, 507] {
        let error = status_error(http_response(code, br#"{"error":"why"}"#));
        assert_eq!(error, ClientError::Unavailable { code, body: body() });
        assert_eq!(error.to_string(), "request cannot be carried out now: why");
    }
    for code in [408, 500, 504] {
        let error = status_error(http_response(code, br#"{"error":"why"}"#));
        assert_eq!(
            error,
            ClientError::OutcomeUnknown(UnknownOutcomeCause::ErrorResponse { code, body: body() })
        );
        assert_eq!(error.to_string(), "outcome unknown: why");
    }
    for code in [400, 401, 404, 409, 413] {
        let error = status_error(http_response(code, br#"{"error":"why"}"#));
        assert_eq!(error, ClientError::Rejected { code, body: body() });
        assert_eq!(error.to_string(), "request rejected: why");
    }
}

#[test]
fn error_response_that_is_not_json_is_quoted_up_to_200_bytes() {
    let error = status_error(http_response(502, "x".repeat(201).as_bytes()));
    assert_eq!(error, ClientError::Rejected { code: 502, body: ErrorBody::new("x".repeat(200)) });
}
