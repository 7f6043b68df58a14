//! More clients than the server has connections for: those that keep it waiting give way to the others.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use support::read_message;
use tokio::sync::mpsc;
use whinwall_management_api::messages::Reply;
use whinwall_management_api::server::{ListenAddress, ManagementServer, PendingRequest};

const TOKEN: &str = "a-token-of-some-length";
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Less than the time after which the server closes idle connections by itself.
const MAX_REFUSED_TIME: Duration = Duration::from_secs(5);
/// The limit on connections of the server.
const MAX_CONNECTIONS: usize = 64;

fn start_server() -> (ManagementServer, SocketAddr, mpsc::Receiver<PendingRequest>) {
    let (sender, requests) = mpsc::channel(MAX_CONNECTIONS * 2);
    let listen = ListenAddress::Address { address: "127.0.0.1:0".parse().unwrap(), token: TOKEN.into() };
    let server = ManagementServer::start(listen, "n0".into(), sender).unwrap();
    let address = server.address().unwrap();
    (server, address, requests)
}

fn answer_all(mut requests: mpsc::Receiver<PendingRequest>) {
    std::thread::spawn(move || {
        while let Some(pending) = requests.blocking_recv() {
            _ = pending.reply_to.send(Reply::Metrics("# EOF\n".into()));
        }
    });
}

fn metrics_request() -> String {
    format!("GET /v1/metrics HTTP/1.1\r\nhost: n0\r\nauthorization: Bearer {TOKEN}\r\n\r\n")
}

/// Opens a connection and sends this.
fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Guards against clients that are refused while others hold all connections with requests that they do not complete.
#[test]
fn clients_that_stop_within_a_request_keep_no_other_from_being_served() {
    for unfinished in [
        "GET /v1/metrics HTTP/1.1\r\nhost:",
        "PUT /v1/overrides/a HTTP/1.1\r\nhost: n0\r\ncontent-length: 9\r\n\r\n{",
        "",
    ] {
        let (_server, address, requests) = start_server();
        answer_all(requests);
        let mut waiting: Vec<_> = (0..MAX_CONNECTIONS * 2).map(|_| send(address, unfinished)).collect();
        for _ in 0..MAX_CONNECTIONS * 2 {
            let mut served = send(address, &metrics_request());
            let response = read_message(&mut served);
            assert!(response.starts_with("HTTP/1.1 200"), "beside {unfinished:?}: {response:?}");
        }
        let mut answer = String::new();
        waiting[0].read_to_string(&mut answer).unwrap();
        let expected = if unfinished.is_empty() { "" } else { "HTTP/1.1 503" };
        assert!(answer.starts_with(expected), "evicted beside {unfinished:?}: {answer:?}");
    }
}

/// Guards against clients that are refused while others hold all connections after an answered request.
#[test]
fn idle_clients_keep_no_other_from_being_served() {
    let (_server, address, requests) = start_server();
    answer_all(requests);
    let mut idle: Vec<_> = (0..MAX_CONNECTIONS).map(|_| send(address, &metrics_request())).collect();
    idle.iter_mut().for_each(|stream| _ = read_message(stream));
    // A connection is not evicted within a second of its last answer; the refused client tries again until then.
    let began = std::time::Instant::now();
    let answer = loop {
        let answer = read_message(&mut send(address, &metrics_request()));
        if answer.starts_with("HTTP/1.1 200") || began.elapsed() > MAX_REFUSED_TIME {
            break answer;
        }
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    };
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// Guards against the eviction of connections whose requests were read: each still gets its answer.
#[test]
fn requests_that_were_read_are_answered_beside_a_crowd() {
    let (_server, address, mut requests) = start_server();
    let mut busy: Vec<_> = (0..MAX_CONNECTIONS).map(|_| send(address, &metrics_request())).collect();
    let pending: Vec<_> = (0..MAX_CONNECTIONS).map(|_| requests.blocking_recv().unwrap()).collect();
    let refused = read_message(&mut send(address, &metrics_request()));
    assert!(refused.starts_with("HTTP/1.1 503") && refused.contains("too many connections"), "{refused:?}");
    for pending in pending {
        _ = pending.reply_to.send(Reply::Metrics("# EOF\n".into()));
    }
    for stream in &mut busy {
        let response = read_message(stream);
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    }
}

/// Guards against requests that are carried out long after their client has gone: it sends many at once and closes the
/// connection without reading an answer.
#[test]
fn requests_of_a_client_that_has_gone_are_not_forwarded() {
    let (_server, address, mut requests) = start_server();
    let stream = send(address, &metrics_request().repeat(200));
    let first = requests.blocking_recv().unwrap();
    drop(stream);
    let (mut forwarded, mut next) = (1, Some(first));
    while let Some(pending) = next.take() {
        _ = pending.reply_to.send(Reply::Metrics("# EOF\n".into()));
        // The server closes the connection with the first response that cannot be written.
        next = receive_within(&mut requests, Duration::from_millis(500));
        forwarded += usize::from(next.is_some());
    }
    assert!(forwarded <= MAX_FORWARDED, "{forwarded} requests of 200 were forwarded");
}

/// The request in hand when the client goes, and those whose responses the system takes before it knows.
const MAX_FORWARDED: usize = 3;

fn receive_within(requests: &mut mpsc::Receiver<PendingRequest>, limit: Duration) -> Option<PendingRequest> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(limit, requests.recv()).await.ok().flatten() })
}
