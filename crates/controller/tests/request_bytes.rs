//! Tests of the exact bytes that the controller's transport writes to discovery and the relay, read from a plain
//! socket.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch as watch_channel};
use whinwall_protocol::discovery::watch_path;
use whinwall_protocol::relay::{encode_request, WATCH_REQUEST};
use whinwall_transport::{registry_watch, relay_requests, relay_watch};

/// Far longer than a request takes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Accepts one connection. The thread returns the bytes received up to and including `until`.
fn listen(until: &'static str) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let read = move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let (mut text, mut byte) = (Vec::new(), [0]);
        while !text.ends_with(until.as_bytes()) && stream.read(&mut byte).is_ok_and(|read| read > 0) {
            text.extend(byte);
        }
        String::from_utf8(text).unwrap()
    };
    (address, thread::spawn(read))
}

/// Returns the lines of a request's head without the value of the date. The header fields are sorted, because the
/// client writes them in no fixed order.
fn sorted_lines(head: &str) -> Vec<&str> {
    let without_date = |line| if str::starts_with(line, "date: ") { "date: _" } else { line };
    let mut lines: Vec<_> = head.split("\r\n").map(without_date).collect();
    lines[1..].sort_unstable();
    lines
}

#[test]
fn registry_watch_is_one_get_request() {
    let (discovery, received) = listen("\r\n\r\n");
    let head = actix_rt::System::new().block_on(async {
        let (inbox, _arrived) = mpsc::channel(1);
        let url = format!("http://{discovery}{}", watch_path(41));
        actix_rt::spawn(registry_watch::follow(
            1,
            awc::Client::builder().disable_timeout().finish(),
            url,
            inbox,
        ));
        actix_rt::task::spawn_blocking(|| received.join().unwrap()).await.unwrap()
    });
    let host = format!("host: {discovery}");
    let expected = [
        "GET /registry/instances?follow=1&since=41 HTTP/1.1",
        // The empty lines that end the head.
        "",
        "",
        "accept-encoding: identity",
        "content-length: 0",
        "date: _",
        host.as_str(),
    ];
    assert_eq!(sorted_lines(&head), expected, "{head:?}");
}

#[test]
fn relay_watch_is_one_line() {
    let (relay, received) = listen("\n");
    let line = actix_rt::System::new().block_on(async {
        let (inbox, _arrived) = mpsc::channel(1);
        actix_rt::spawn(relay_watch::follow(1, relay, WATCH_REQUEST, inbox));
        actix_rt::task::spawn_blocking(|| received.join().unwrap()).await.unwrap()
    });
    assert_eq!(line, "WATCH\r\n");
}

#[test]
fn relay_request_is_one_line() {
    let (relay, received) = listen("\n");
    let line = actix_rt::System::new().block_on(async {
        let ((request_sender, request_receiver), (inbox, _arrived)) = (mpsc::channel(1), mpsc::channel(1));
        let (_relay_sender, relay_receiver) = watch_channel::channel(Some(relay));
        actix_rt::spawn(relay_requests::serve(request_receiver, relay_receiver, inbox));
        let line = encode_request(&["SET,1,s-1,1", "SYNC,9,0"]);
        let (_canceller, cancellation) = oneshot::channel();
        request_sender
            .send(relay_requests::RelayRequest { relay, line, needs_new_connection: false, cancellation })
            .await
            .unwrap();
        actix_rt::task::spawn_blocking(|| received.join().unwrap()).await.unwrap()
    });
    assert_eq!(line, "APPLY SET,1,s-1,1;SYNC,9,0\r\n");
}
