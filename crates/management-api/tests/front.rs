//! The front over its sockets, with a stand-in for the controller: bounds, tokens, spoilt requests, repeats.

use actix_rt::System;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use whinwall_management_api::ask::{Reply, ReportFreshness, Request, Shown, Status, SubsettingStatus};
use whinwall_management_api::client::{Client, Failure, ManagementAddress};
use whinwall_management_api::server::{self, Doors, PendingRequest, Serving};
use whinwall_management_api::wire::{KindName, Set};
use whinwall_overrides::{
    ChangeRequest, Durability, NewOverride, Origin, Override, OverrideError, OverrideKind,
};
use whinwall_policy::api::OverrideStatus;
use whinwall_policy::time::{Moment, Span};

const TOKEN: &str = "a-token-of-some-length";

fn set() -> Set {
    let (kind, replica) = (KindName::Out, "s-1".into());
    let (author, reason, lasts) = ("mb".into(), "disk".into(), "30m".into());
    Set { kind, replica, factor: None, slices: None, author, reason, lasts }
}

fn shown(order: &NewOverride) -> Shown {
    let now = Moment::at_ns(1_000_000_000_000);
    let one = Override {
        number: 1,
        id: order.id.clone(),
        kind: order.kind.clone(),
        author: order.author.clone(),
        reason: order.reason.clone(),
        origin: Origin::Request,
        set_at: now,
        expires_at: now + order.duration,
        expires_at_wall_time: None,
        ended: None,
    };
    Shown { one, heeded: Some(OverrideStatus::Suspended("rule 1: no other warm server is well")) }
}

/// Takes what is asked, and answers as a controller would; what is set has some ids that mean something.
fn controller(mut asked: mpsc::Receiver<PendingRequest>) {
    std::thread::spawn(move || {
        let now = Moment::at_ns(1_000_000_000_000);
        while let Some((request, back)) = asked.blocking_recv() {
            let kept = Durability::OnDisk;
            _ = back.send(match request {
                Request::Change(ChangeRequest::Set(order)) => match order.id.as_str() {
                    "silent" => continue,
                    "full" => Reply::NotKept("the disk is full".into()),
                    "taken" => Reply::Refused(OverrideError::IdInUse { id: order.id }),
                    _ => Reply::Set { shown: shown(&order), again: order.id == "again", kept, now },
                },
                Request::Change(ChangeRequest::Clear { id, .. }) => {
                    Reply::Refused(OverrideError::UnknownId { id })
                }
                Request::List => {
                    let kind = OverrideKind::Pin { first: 4, last: 9, replica: "s-2".into() };
                    let (author, reason) = ("mb".into(), "hot".into());
                    let order =
                        NewOverride { id: "p".into(), kind, author, reason, duration: Span::ms(90_000) };
                    Reply::Listed { all: vec![shown(&order)], now }
                }
                Request::Metrics => Reply::Metrics("# EOF\n".into()),
                Request::Status => Reply::Status(Status {
                    now,
                    since: now - Span::ms(5000),
                    proxies: 3,
                    slices: 6,
                    replicas: 3,
                    failing: vec![("the relay's news", 4)],
                    orders_open: false,
                    standing: 1,
                    listed: 2,
                    subsetting: Some(SubsettingStatus {
                        controllers: 650,
                        aggregators: 4,
                        subset_size: 48,
                        own_replicas: 51,
                        listed_replicas: 2200,
                        bytes_per_second: 27_000,
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

fn by_address() -> (Serving, ManagementAddress) {
    let (ask, asked) = mpsc::channel(16);
    controller(asked);
    let doors = Doors::Address { address: "127.0.0.1:0".parse().unwrap(), token: TOKEN.into() };
    let serving = server::start(doors, "n0".into(), ask).unwrap();
    let place = ManagementAddress::Address(serving.address.unwrap());
    (serving, place)
}

fn by_socket() -> (tempfile::TempDir, Serving, PathBuf) {
    let (ask, asked) = mpsc::channel(16);
    controller(asked);
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("m.sock");
    let serving = server::start(Doors::Socket(path.clone()), "n0".into(), ask).unwrap();
    (folder, serving, path)
}

/// What is said to an address, byte by byte, and all that comes back.
fn raw(place: &ManagementAddress, text: &[u8]) -> String {
    let ManagementAddress::Address(address) = place else { panic!("an address") };
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    _ = stream.write_all(text);
    let mut answer = Vec::new();
    _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn request(line: &str, token: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{line} HTTP/1.1\r\nhost: n0\r\nauthorization: Bearer {token}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

#[test]
fn the_client_sets_lists_and_asks_over_both_doors() {
    let (_folder, _by_socket, path) = by_socket();
    let (_by_address, address) = by_address();
    assert_eq!(std::fs::metadata(&path).unwrap().permissions().mode() & 0o777, 0o600);
    System::new().block_on(async {
        let clients =
            [Client::new(ManagementAddress::Socket(path), None), Client::new(address, Some(TOKEN.into()))];
        for client in clients {
            let outcome = client.set("a", &set()).await.unwrap();
            assert_eq!((outcome.outcome.as_str(), outcome.kept.as_str()), ("set", "on disk"));
            assert_eq!((outcome.item.left_s, outcome.item.state.as_str()), (1800.0, "suspended"));
            assert_eq!(client.set("again", &set()).await.unwrap().outcome, "set before");
            let list = client.list().await.unwrap().overrides;
            assert_eq!((list[0].slices.as_deref(), list[0].kind), (Some("4-9"), KindName::Pin));
            let status = client.status().await.unwrap();
            assert_eq!((status.name.as_str(), status.up_s, status.failing[0].times), ("n0", 5.0, 4));
            let subsetting = status.subsetting.unwrap();
            assert_eq!((subsetting.controllers, subsetting.aggregators, subsetting.subset), (650, 4, 48));
            assert_eq!((subsetting.own_replicas, subsetting.listed_replicas), (51, 2200));
            assert_eq!(subsetting.budget_bytes_per_s, 27_000);
            let reports = status.reports.unwrap();
            assert_eq!((reports.bytes_per_s, reports.age_s), (21_300.5, Some(0.8)));
            assert_eq!((reports.stale, reports.partial_replicas), (false, 7));
            assert!(matches!(client.set("full", &set()).await, Err(Failure::NotNow(_))));
            assert!(matches!(client.set("taken", &set()).await, Err(Failure::Refused { code: 409, .. })));
            assert!(matches!(client.clear("gone", "mb").await, Err(Failure::Refused { code: 404, .. })));
        }
    });
}

#[test]
fn nobody_without_the_token_comes_in() {
    let (_serving, place) = by_address();
    for token in ["", "a-token-of-some-lengtH", "a-token-of-some-length-and-more", "a-token"] {
        let answer = raw(&place, &request("GET /v1/status", token, ""));
        assert!(answer.starts_with("HTTP/1.1 401"), "{token:?}: {answer}");
    }
    let answer = raw(&place, b"GET /v1/status HTTP/1.1\r\nhost: n0\r\nconnection: close\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    assert!(raw(&place, &request("GET /v1/status", TOKEN, "")).starts_with("HTTP/1.1 200"));
}

#[test]
fn a_spoilt_request_is_refused_with_the_part_that_is_wrong() {
    let (_serving, place) = by_address();
    let body = serde_json::to_string(&set()).unwrap();
    let put = |body: &str| raw(&place, &request("PUT /v1/overrides/a", TOKEN, body));
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
        let answer = put(&change);
        assert!(answer.starts_with("HTTP/1.1 400") && answer.contains(expected), "{change}: {answer}");
    }
    for (line, code) in [
        ("GET /", "404"),
        ("GET /v1/overrides/a/b/c", "404"),
        ("DELETE /v1/overrides", "405"),
        ("PUT /v1/status", "405"),
        ("GET /v1/overrides/a", "405"),
    ] {
        let answer = raw(&place, &request(line, TOKEN, ""));
        assert!(answer.starts_with(&format!("HTTP/1.1 {code}")), "{line}: {answer}");
    }
}

#[test]
fn what_is_too_large_too_slow_or_half_there_costs_nobody_else() {
    let (_serving, place) = by_address();
    let large = "x".repeat(20 << 10);
    let answer = raw(&place, &request("PUT /v1/overrides/a", TOKEN, &large));
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    // Half a request, half a body, and connections that say nothing at all, more than there may be.
    let ManagementAddress::Address(address) = place else { panic!("an address") };
    let mut open: Vec<_> = (0..80).map(|_| TcpStream::connect(address).unwrap()).collect();
    _ = open[0].write_all(b"PUT /v1/over");
    _ = open[1].write_all(&request("PUT /v1/overrides/a", TOKEN, &large)[..200]);
    let began = Instant::now();
    let ok = || raw(&place, &request("GET /v1/status", TOKEN, "")).starts_with("HTTP/1.1 200");
    while !ok() {
        assert!(began.elapsed() < Duration::from_secs(20), "the silent ones keep their places");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn an_answer_that_does_not_come_is_an_outcome_unknown() {
    let (_folder, serving, path) = by_socket();
    System::new().block_on(async {
        let client = Client::new(ManagementAddress::Socket(path.clone()), None);
        assert!(matches!(client.set("silent", &set()).await, Err(Failure::OutcomeUnknown(_))));
        assert!(client.status().await.is_ok());
        drop(serving);
        assert!(matches!(client.status().await, Err(Failure::NotSent(_) | Failure::OutcomeUnknown(_))));
        let anew = Client::new(ManagementAddress::Socket(path.clone()), None);
        assert!(matches!(anew.status().await, Err(Failure::NotSent(_))));
    });
    assert!(!path.exists());
}

#[test]
fn a_socket_that_a_killed_process_left_is_taken_and_one_in_use_is_not() {
    let (_folder, serving, path) = by_socket();
    let (ask, _asked) = mpsc::channel(1);
    let second = server::start(Doors::Socket(path.clone()), "n1".into(), ask.clone());
    assert_eq!(second.err().map(|why| why.kind()), Some(std::io::ErrorKind::AddrInUse));
    drop(serving);
    drop(std::os::unix::net::UnixListener::bind(&path).unwrap());
    assert!(path.exists(), "left behind");
    let _third = server::start(Doors::Socket(path.clone()), "n1".into(), ask).unwrap();
    assert!(UnixStream::connect(&path).is_ok());
}

#[test]
fn more_than_the_controller_takes_is_told_to_come_again() {
    let (ask, _nobody_reads) = mpsc::channel(1);
    let doors = Doors::Address { address: "127.0.0.1:0".parse().unwrap(), token: TOKEN.into() };
    let serving = server::start(doors, "n0".into(), ask).unwrap();
    let place = ManagementAddress::Address(serving.address.unwrap());
    let (say, answers) = std::sync::mpsc::channel();
    for _ in 0..6 {
        let (say, place) = (say.clone(), place.clone());
        std::thread::spawn(move || say.send(raw(&place, &request("GET /v1/status", TOKEN, ""))));
    }
    let answers: Vec<_> = answers.iter().take(6).collect();
    let busy = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 503")).count();
    let unknown = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 504")).count();
    assert_eq!((busy, unknown), (5, 1), "{answers:?}");
}
