//! Server and client over real sockets with a fake controller: limits, tokens, invalid requests, repeated requests.

use actix_rt::System;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use whinwall_management_api::client::{
    Client, ClientError, ManagementAddress, NotSentCause, UnknownOutcomeCause,
};
use whinwall_management_api::messages::{
    ListedOverride, Reply, ReportFreshness, Request, Status, SubsettingStatus,
};
use whinwall_management_api::server::{ListenAddress, ManagementServer, PendingRequest};
use whinwall_management_api::wire::{KindName, SetBody};
use whinwall_overrides::{
    ChangeRequest, Durability, NewOverride, Origin, Override, OverrideError, OverrideKind,
};
use whinwall_policy::api::OverrideStatus;
use whinwall_policy::time::{Moment, Span};

const TOKEN: &str = "a-token-of-some-length";

fn set_body() -> SetBody {
    let (kind, replica) = (KindName::Out, "s-1".into());
    let (author, reason, duration) = ("mb".into(), "disk".into(), "30m".into());
    SetBody { kind, replica, factor: None, slices: None, author, reason, duration }
}

fn listed_override(request: &NewOverride) -> ListedOverride {
    let now = Moment::at_ns(1_000_000_000_000);
    let entry = Override {
        number: 1,
        id: request.id.clone(),
        kind: request.kind.clone(),
        author: request.author.clone(),
        reason: request.reason.clone(),
        origin: Origin::Request,
        set_at: now,
        expires_at: now + request.duration,
        expires_at_wall_time: None,
        ended: None,
    };
    ListedOverride { entry, status: Some(OverrideStatus::Suspended("rule 1: no other warm server is well")) }
}

/// Starts a fake controller. The ids `silent`, `full`, `taken` and `again` select a particular reply.
fn start_fake_controller(mut requests: mpsc::Receiver<PendingRequest>) {
    std::thread::spawn(move || {
        let now = Moment::at_ns(1_000_000_000_000);
        while let Some(PendingRequest { request, reply_to }) = requests.blocking_recv() {
            let durability = Durability::OnDisk;
            _ = reply_to.send(match request {
                Request::Change(ChangeRequest::Set(request)) => match request.id.as_str() {
                    "silent" => continue,
                    "full" => Reply::NotStored("the disk is full".into()),
                    "taken" => Reply::Rejected(OverrideError::IdInUse { id: request.id }),
                    _ => Reply::Set {
                        listed: listed_override(&request),
                        is_repeat: request.id == "again",
                        durability,
                        now,
                    },
                },
                Request::Change(ChangeRequest::Clear { id, .. }) => {
                    Reply::Rejected(OverrideError::UnknownId { id })
                }
                Request::List => {
                    let kind = OverrideKind::Pin { first: 4, last: 9, replica: "s-2".into() };
                    let (author, reason) = ("mb".into(), "hot".into());
                    let request =
                        NewOverride { id: "p".into(), kind, author, reason, duration: Span::ms(90_000) };
                    Reply::Listed { overrides: vec![listed_override(&request)], now }
                }
                Request::Metrics => Reply::Metrics("# EOF\n".into()),
                Request::Status => Reply::Status(Status {
                    now,
                    started_at: now - Span::ms(5000),
                    proxies: 3,
                    slices: 6,
                    replicas: 3,
                    failures: vec![("the relay's news", 4)],
                    has_outstanding_commands: false,
                    active_overrides: 1,
                    listed_overrides: 2,
                    subsetting: Some(SubsettingStatus {
                        controllers: 650,
                        aggregators: 4,
                        subset_size: 48,
                        own_replicas: 51,
                        listed_replicas: 2200,
                        report_budget_bytes_per_second: 27_000,
                    }),
                    reports: Some(ReportFreshness {
                        bytes_per_second: 21_300.5,
                        age: Some(Span::ms(800)),
                        stale: false,
                        partial_replicas: 7,
                    }),
                }),
            });
        }
    });
}

fn start_server_on_address() -> (ManagementServer, ManagementAddress) {
    let (sender, requests) = mpsc::channel(16);
    start_fake_controller(requests);
    let listen = ListenAddress::Address { address: "127.0.0.1:0".parse().unwrap(), token: TOKEN.into() };
    let server = ManagementServer::start(listen, "n0".into(), sender).unwrap();
    let address = ManagementAddress::Address(server.address().unwrap());
    (server, address)
}

fn start_server_on_socket() -> (tempfile::TempDir, ManagementServer, PathBuf) {
    let (sender, requests) = mpsc::channel(16);
    start_fake_controller(requests);
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("m.sock");
    let server = ManagementServer::start(ListenAddress::Socket(path.clone()), "n0".into(), sender).unwrap();
    (folder, server, path)
}

/// Sends these bytes and returns everything that is received until the connection is closed.
fn exchange(address: &ManagementAddress, text: &[u8]) -> String {
    let ManagementAddress::Address(address) = address else { panic!("not a TCP address") };
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    _ = stream.write_all(text);
    let mut response = Vec::new();
    _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn request(line: &str, token: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{line} HTTP/1.1\r\nhost: n0\r\nauthorization: Bearer {token}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

#[test]
fn client_sets_lists_and_reads_status_over_socket_and_address() {
    let (_folder, _socket_server, path) = start_server_on_socket();
    let (_address_server, address) = start_server_on_address();
    assert_eq!(std::fs::metadata(&path).unwrap().permissions().mode() & 0o777, 0o600);
    System::new().block_on(async {
        let clients =
            [Client::new(ManagementAddress::Socket(path), None), Client::new(address, Some(TOKEN.into()))];
        for client in clients {
            let outcome = client.set("a", &set_body()).await.unwrap();
            assert_eq!((outcome.outcome.as_str(), outcome.durability.as_str()), ("set", "on disk"));
            assert_eq!((outcome.item.remaining_s, outcome.item.state.as_str()), (1800.0, "suspended"));
            assert_eq!(client.set("again", &set_body()).await.unwrap().outcome, "set before");
            let list = client.list().await.unwrap().overrides;
            assert_eq!((list[0].slices.as_deref(), list[0].kind), (Some("4-9"), KindName::Pin));
            let status = client.status().await.unwrap();
            assert_eq!((status.name.as_str(), status.uptime_s, status.failures[0].count), ("n0", 5.0, 4));
            let subsetting = status.subsetting.unwrap();
            assert_eq!(
                (subsetting.controllers, subsetting.aggregators, subsetting.subset_size),
                (650, 4, 48)
            );
            assert_eq!((subsetting.own_replicas, subsetting.listed_replicas), (51, 2200));
            assert_eq!(subsetting.report_budget_bytes_per_second, 27_000);
            let reports = status.reports.unwrap();
            assert_eq!((reports.bytes_per_second, reports.age_s), (21_300.5, Some(0.8)));
            assert_eq!((reports.stale, reports.partial_replicas), (false, 7));
            assert!(matches!(
                client.set("full", &set_body()).await,
                Err(ClientError::Unavailable { code: 507, .. })
            ));
            assert!(matches!(
                client.set("taken", &set_body()).await,
                Err(ClientError::Rejected { code: 409, .. })
            ));
            assert!(matches!(client.clear("gone", "mb").await, Err(ClientError::Rejected { code: 404, .. })));
        }
    });
}

#[test]
fn request_without_the_token_is_rejected() {
    let (_server, address) = start_server_on_address();
    for token in ["", "a-token-of-some-lengtH", "a-token-of-some-length-and-more", "a-token"] {
        let response = exchange(&address, &request("GET /v1/status", token, ""));
        assert!(response.starts_with("HTTP/1.1 401"), "{token:?}: {response}");
    }
    let response = exchange(&address, b"GET /v1/status HTTP/1.1\r\nhost: n0\r\nconnection: close\r\n\r\n");
    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
    assert!(exchange(&address, &request("GET /v1/status", TOKEN, "")).starts_with("HTTP/1.1 200"));
}

#[test]
fn invalid_request_is_rejected_with_the_invalid_field() {
    let (_server, address) = start_server_on_address();
    let body = serde_json::to_string(&set_body()).unwrap();
    let put = |body: &str| exchange(&address, &request("PUT /v1/overrides/a", TOKEN, body));
    for (change, expected) in [
        (body.replace("30m", "soon"), "\"part\":\"for\""),
        (body.replace("\"out\"", "\"weight\""), "\"part\":\"factor\""),
        (body.replace("\"out\"", "\"pin\""), "\"part\":\"slices\""),
        (body.replace("{", "{\"slices\":\"1\","), "\"part\":\"slices\""),
        (body.replace("\"out\"", "\"drain\""), "drain"),
        (body.replace("author", "writer"), "writer"),
        (body[..20].to_string(), "EOF"),
        ("[]".into(), "400"),
    ] {
        let response = put(&change);
        assert!(response.starts_with("HTTP/1.1 400") && response.contains(expected), "{change}: {response}");
    }
    for (line, code) in [
        ("GET /", "404"),
        ("GET /v1/overrides/a/b/c", "404"),
        ("DELETE /v1/overrides", "405"),
        ("PUT /v1/status", "405"),
        ("GET /v1/overrides/a", "405"),
    ] {
        let response = exchange(&address, &request(line, TOKEN, ""));
        assert!(response.starts_with(&format!("HTTP/1.1 {code}")), "{line}: {response}");
    }
}

#[test]
fn large_slow_and_truncated_requests_do_not_block_others() {
    let (_server, address) = start_server_on_address();
    let large = "x".repeat(20 << 10);
    let response = exchange(&address, &request("PUT /v1/overrides/a", TOKEN, &large));
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    // One truncated request line, one truncated body, and more idle connections than the server accepts.
    let ManagementAddress::Address(tcp_address) = &address else { panic!("not a TCP address") };
    let mut connections: Vec<_> = (0..80).map(|_| TcpStream::connect(tcp_address).unwrap()).collect();
    _ = connections[0].write_all(b"PUT /v1/over");
    _ = connections[1].write_all(&request("PUT /v1/overrides/a", TOKEN, &large)[..200]);
    let started_at = Instant::now();
    let is_status_served =
        || exchange(&address, &request("GET /v1/status", TOKEN, "")).starts_with("HTTP/1.1 200");
    while !is_status_served() {
        assert!(started_at.elapsed() < Duration::from_secs(20), "idle connections were not closed");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn missing_reply_is_an_unknown_outcome_and_a_closed_server_is_not_reached() {
    let (_folder, server, path) = start_server_on_socket();
    System::new().block_on(async {
        let client = Client::new(ManagementAddress::Socket(path.clone()), None);
        assert!(matches!(
            client.set("silent", &set_body()).await,
            Err(ClientError::OutcomeUnknown(UnknownOutcomeCause::ErrorResponse { code: 504, .. }))
        ));
        assert!(client.status().await.is_ok());
        drop(server);
        assert!(matches!(
            client.status().await,
            Err(ClientError::NotSent(_) | ClientError::OutcomeUnknown(_))
        ));
        let new_client = Client::new(ManagementAddress::Socket(path.clone()), None);
        let error = new_client.status().await.unwrap_err();
        assert!(matches!(&error, ClientError::NotSent(NotSentCause::ConnectFailed(_))), "{error:?}");
    });
    assert!(!path.exists());
}

#[test]
fn stale_socket_is_replaced_and_a_socket_in_use_is_not() {
    let (_folder, server, path) = start_server_on_socket();
    let (sender, _unread_requests) = mpsc::channel(1);
    let second = ManagementServer::start(ListenAddress::Socket(path.clone()), "n1".into(), sender.clone());
    assert_eq!(second.err().map(|error| error.kind()), Some(std::io::ErrorKind::AddrInUse));
    drop(server);
    drop(std::os::unix::net::UnixListener::bind(&path).unwrap());
    assert!(path.exists(), "stale socket file");
    let _third = ManagementServer::start(ListenAddress::Socket(path.clone()), "n1".into(), sender).unwrap();
    assert!(UnixStream::connect(&path).is_ok());
}

#[test]
fn requests_beyond_the_queue_capacity_are_rejected_as_busy() {
    let (sender, _unread_requests) = mpsc::channel(1);
    let listen = ListenAddress::Address { address: "127.0.0.1:0".parse().unwrap(), token: TOKEN.into() };
    let server = ManagementServer::start(listen, "n0".into(), sender).unwrap();
    let address = ManagementAddress::Address(server.address().unwrap());
    let (results, responses) = std::sync::mpsc::channel();
    for _ in 0..6 {
        let (results, address) = (results.clone(), address.clone());
        std::thread::spawn(move || results.send(exchange(&address, &request("GET /v1/status", TOKEN, ""))));
    }
    let responses: Vec<_> = responses.iter().take(6).collect();
    let busy_count = responses.iter().filter(|response| response.starts_with("HTTP/1.1 503")).count();
    let unknown_count = responses.iter().filter(|response| response.starts_with("HTTP/1.1 504")).count();
    assert_eq!((busy_count, unknown_count), (5, 1), "{responses:?}");
}
