//! The fakes without a controller: the lines that they send follow the protocol, and their counters match the sent
//! bytes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use whinwall_protocol::{collector, discovery as discovery_protocol, relay as relay_protocol};
use whinwall_scale_tests::fakes::collectors::{Collectors, ReportBlock, ReportSchedule};
use whinwall_scale_tests::fakes::counting_proxy::CountingProxy;
use whinwall_scale_tests::fakes::discovery::Discovery;
use whinwall_scale_tests::fakes::fleet::{EntryState, FleetSize, Random, ReplicaState, ReportShape};
use whinwall_scale_tests::fakes::relay::Relay;
use whinwall_scale_tests::fakes::{Counter, Traffic};

const TIMEOUT: Duration = Duration::from_secs(20);

fn small_fleet() -> FleetSize {
    FleetSize { replicas: 30, zones: 3, slices: 4, proxies: 5, ..FleetSize::target() }
}

struct Peer {
    reader: BufReader<TcpStream>,
    bytes_read: usize,
}

impl Peer {
    fn connect(address: SocketAddr, text: &str) -> Peer {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        Peer { reader: BufReader::new(stream), bytes_read: 0 }
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.bytes_read += self.reader.read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }
}

#[test]
fn each_report_line_is_valid() {
    let size = small_fleet();
    let lines = ReportShape::full(&size).lines(&size, 1, &mut Random::new(7));
    assert_eq!(lines.len(), size.replicas + size.slices * size.classes);
    for line in &lines {
        collector::decode_report(line).unwrap_or_else(|| panic!("invalid report line: {line}"));
    }
    // The attempts in the reports of all zones for one second add up to the requests to the fleet, within the random
    // variation.
    let total_attempts: f64 = (0..size.zones)
        .flat_map(|zone| ReportShape::full(&size).lines(&size, zone, &mut Random::new(zone as u64)))
        .filter_map(|line| match collector::decode(&line) {
            Ok(collector::Message::EndpointReport(report)) => Some(report.attempts),
            _ => None,
        })
        .sum();
    assert!(
        (0.7..1.3).contains(&(total_attempts / size.requests)),
        "{total_attempts} attempts for {} requests",
        size.requests
    );
}

#[test]
fn schedule_holds_each_line_once_for_any_number_of_writes() {
    let size = small_fleet();
    let lines = |writes| {
        let schedule = ReportSchedule::for_zone(&size, &ReportShape::full(&size), 0, writes);
        let blocks = |period: &Vec<_>| period.iter().map(|block: &ReportBlock| block.lines).sum();
        schedule.periods.iter().map(blocks).collect::<Vec<usize>>()
    };
    assert_eq!(lines(1), lines(7));
    assert_eq!(lines(1)[0], 38);
}

#[test]
fn relay_sends_a_snapshot_and_applies_commands_up_to_the_first_invalid_one() {
    let (size, traffic) = (small_fleet(), Arc::new(Traffic::default()));
    let relay = Relay::start(&size, &traffic).unwrap();
    let mut watcher = Peer::connect(relay.address(), "WATCH\r\n");
    let snapshot: Vec<String> = (0..1 + size.proxies + 2 * size.slices + 1).map(|_| watcher.line()).collect();
    assert!(snapshot.iter().all(|line| relay_protocol::decode_event(line).is_ok()), "{snapshot:?}");
    assert_eq!(snapshot.iter().filter(|line| line.starts_with("* ROW")).count(), size.slices);

    let mut client =
        Peer::connect(relay.address(), "APPLY SET,1,s-new,2;SYNC,9,1;NONSENSE;SET,2,s-new,2\r\n");
    assert_eq!(client.line(), "OK 2");
    let request = relay.next_request(TIMEOUT).unwrap();
    assert_eq!(request.commands.len(), 4);
    assert_eq!(relay.owners()[&1], "s-new");
    assert_ne!(relay.owners()[&2], "s-new");
    let mut acks = 0;
    while acks < size.proxies {
        acks += usize::from(watcher.line().starts_with("* ACK "));
    }
    assert_eq!(traffic.read().relay_responses.bytes, client.bytes_read as u64);
    // Keep-alive lines may have been sent after the lines read here.
    assert!(traffic.read().relay_events.bytes >= watcher.bytes_read as u64);
}

#[test]
fn watch_sends_the_full_list_then_changes_then_the_full_list_on_demand() {
    let (size, traffic) = (small_fleet(), Arc::new(Traffic::default()));
    let discovery = Discovery::start(&size, &traffic).unwrap();
    let request = "GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut watch = Peer::connect(discovery.address(), request);
    while !watch.line().is_empty() {}
    // A chunk consists of its length, its line and an empty line. Keep-alive chunks may come in between.
    let mut next = || loop {
        let length = usize::from_str_radix(&watch.line(), 16).unwrap();
        let line = watch.line();
        assert_eq!(length, line.len() + 1);
        watch.line();
        if let Some(list) = discovery_protocol::decode(&line).unwrap() {
            return (list, length);
        }
    };
    let (full_list, length) = next();
    assert!(full_list.is_complete && full_list.entries.len() == size.replicas);
    assert_eq!(length, discovery.full_list_bytes() + 1);
    let leaving = EntryState { state: ReplicaState::Leaving, started_ms: 0 };
    discovery.change([(3, leaving), (4, leaving)]);
    let (changes, _) = next();
    assert!(!changes.is_complete && changes.entries.len() == 2 && changes.version == 2);
    discovery.change_and_send_full_list([(5, leaving)]);
    let (second_full_list, _) = next();
    assert!(
        second_full_list.is_complete
            && second_full_list.entries.len() == size.replicas
            && second_full_list.version == 3
    );
    assert_eq!(traffic.read().discovery_requests.bytes, request.len() as u64);
}

#[test]
fn discovery_answers_a_request_for_the_full_list() {
    let (size, traffic) = (small_fleet(), Arc::new(Traffic::default()));
    let discovery = Discovery::start(&size, &traffic).unwrap();
    let mut peer = Peer::connect(discovery.address(), "GET /registry/instances HTTP/1.1\r\nhost: x\r\n\r\n");
    while !peer.line().is_empty() {}
    let mut body = vec![0; discovery.full_list_bytes()];
    peer.reader.read_exact(&mut body).unwrap();
    let list = discovery_protocol::decode(std::str::from_utf8(&body).unwrap()).unwrap().unwrap();
    assert!(list.is_complete && list.entries.len() == size.replicas);
}

#[test]
fn counting_proxy_counts_each_direction() {
    let (size, traffic) = (small_fleet(), Arc::new(Traffic::default()));
    let relay = Relay::start(&size, &traffic).unwrap();
    let counting_proxy = CountingProxy::start().unwrap();
    counting_proxy.set_target(relay.address());
    let request = "APPLY SET,1,s-new,2\r\n";
    let mut client = Peer::connect(counting_proxy.address(), request);
    assert_eq!(client.line(), "OK 1");
    let counts = |counter: &Counter| (counter.read().bytes, counter.read().lines);
    assert_eq!(counts(&counting_proxy.traffic.to_controller), (request.len() as u64, 1));
    assert_eq!(counts(&counting_proxy.traffic.from_controller), (client.bytes_read as u64, 1));
}

/// Guards against collectors that keep running after another one failed to connect: they would continue to send reports
/// to the controller of a failed test.
#[test]
fn collectors_end_if_one_of_them_fails_to_connect() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let first = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        // Further connections are refused from here on.
        drop(listener);
        stream
    });
    let size = small_fleet();
    let schedule = ReportSchedule::for_zone(&size, &ReportShape::full(&size), 0, 10);
    let schedules = vec![schedule; 200];
    let traffic = Arc::new(Traffic::default());
    assert!(Collectors::start(address, schedules, &traffic).is_err());
    let mut stream = first.join().unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let began = std::time::Instant::now();
    let mut bytes = [0; 4096];
    while stream.read(&mut bytes).is_ok_and(|read| read > 0) {
        assert!(began.elapsed() < TIMEOUT / 4, "a collector still sends reports after the failed start");
    }
}
