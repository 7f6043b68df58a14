//! The program on loopback sockets, with fake discovery, collectors and controllers.

mod support;

use rustix::process::Signal;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use support::{get, Collector, Controller, Discovery, Line, Program};
use whinwall_protocol::collector::{decode_report, Report};

const LIST: &str = r#"{"version":41,"full":true,"servers":[
    {"id":"s-0","addr":"127.0.0.9:1","zone":"a","kind":"m","cell":1,"state":"active","weight":1.0,"started_ms":0},
    {"id":"s-1","addr":"127.0.0.9:1","zone":"b","kind":"m","cell":1,"state":"active","weight":1.0,"started_ms":0}]}"#;

const PONG: &str = "{\"@type\":\"PONG\"}\n";

/// Attempts in one report of zone a. Zone b uses another magnitude, so that the share of each zone follows from a sum.
const ATTEMPTS_OF_A: u64 = 10;
const ATTEMPTS_OF_B: u64 = 100_000;

fn discovery() -> Discovery {
    Discovery::start(&LIST.replace('\n', ""))
}

/// Returns an operators' file in which each controller has two slices of its own.
fn file(controllers: &[SocketAddr], aggregators: &[(String, SocketAddr)]) -> String {
    let controllers = controllers.iter().enumerate().map(|(n, address)| {
        let (first, last) = (2 * n, 2 * n + 1);
        format!("<governor name=\"g{n}\" address=\"{address}\" slices=\"{first}-{last}\"/>")
    });
    let aggregators = aggregators
        .iter()
        .map(|(name, address)| format!("<aggregator name=\"{name}\" address=\"{address}\"/>"));
    let members: String = controllers.chain(aggregators).collect();
    let subsetting = format!("<subsetting subset=\"2\" bytes-per-second=\"27000\">{members}</subsetting>");
    format!("<operators version=\"1\">{subsetting}</operators>")
}

/// Returns an aggregator with an address at which nothing listens.
fn absent(name: &str, port: u16) -> (String, SocketAddr) {
    (name.to_string(), SocketAddr::from(([127, 0, 0, 1], port)))
}

/// Returns the lines of a zone's collector. The counts of replicas differ by zone, so that a sum shows its zones.
fn reports(zone: &str, slices: u32) -> Vec<String> {
    let attempts = if zone == "a" { ATTEMPTS_OF_A } else { ATTEMPTS_OF_B };
    let load = |host: &str| {
        let failed = attempts / 10;
        format!(
            "{{\"@type\":\"LOAD\",\"az\":\"{zone}\",\"host\":\"{host}\",\"n\":{attempts},\"bad\":{failed},\"avg\":5.0,\
             \"window\":250.0}}"
        )
    };
    let shard = |slice: u32| {
        format!("{{\"@type\":\"SHARD\",\"partition\":{slice},\"kind\":\"lookup\",\"n\":7,\"bad\":0,\"window\":250.0}}")
    };
    [load("s-0"), load("s-1")].into_iter().chain((0..slices).map(shard)).collect()
}

fn collectors(to: &[SocketAddr], slices: u32) -> Vec<Collector> {
    let zones = to.iter().flat_map(|to| ["a", "b"].map(|zone| (*to, zone)));
    zones.map(|(to, zone)| Collector::start(to, zone, &reports(zone, slices))).collect()
}

#[test]
fn single_aggregator_sums_zones_and_reports_each_controllers_slices() {
    let (discovery, mut controllers) = (discovery(), [Controller::start(), Controller::start()]);
    let addresses = controllers.each_ref().map(|controller| controller.address);
    let mut program = Program::start("m0", &file(&addresses, &[absent("m0", 7)]), &discovery, &[]);
    let _collectors = collectors(&[program.address], 6);
    for (number, controller) in controllers.iter_mut().enumerate() {
        controller.wait_for_line(r#"{"@type":"SOURCE","az":"a"}"#);
        // Matches a line that contains at least one report of each zone and no missing zone.
        let has_both = |line: &Line| {
            let Some(Report::EndpointReport { replica: "s-0", attempts, .. }) = decode_report(&line.text)
            else {
                return false;
            };
            let attempts = attempts as u64;
            !line.text.contains("missing")
                && attempts >= ATTEMPTS_OF_B
                && attempts % ATTEMPTS_OF_B >= ATTEMPTS_OF_A
        };
        let line = controller.received.wait("a line of s-0 with both zones", has_both).text;
        let Some(Report::EndpointReport { zone, attempts, failed, mean_latency_ms, .. }) =
            decode_report(&line)
        else {
            panic!("{line}")
        };
        assert_eq!((zone, mean_latency_ms), ("a", 5.0));
        let (reports_of_a, reports_of_b) =
            (attempts as u64 % ATTEMPTS_OF_B / ATTEMPTS_OF_A, attempts as u64 / ATTEMPTS_OF_B);
        assert_eq!(attempts as u64, reports_of_a * ATTEMPTS_OF_A + reports_of_b * ATTEMPTS_OF_B, "{line}");
        assert_eq!(failed * 10.0, attempts, "{line}");
        let own = controller.wait_for_line("SHARD").text;
        let Some(Report::DemandReport { slice, .. }) = decode_report(&own) else { panic!("{own}") };
        assert_eq!(slice as usize / 2, number);
    }
    program.signal(Signal::TERM);
    assert_eq!(program.wait_for_exit().code(), Some(0));
}

#[test]
fn four_aggregators_share_the_controllers_and_take_over_from_one_that_fails() {
    const CONTROLLERS: usize = 8;
    let (discovery, mut controllers) = (discovery(), Vec::new());
    controllers.resize_with(CONTROLLERS, Controller::start);
    let addresses: Vec<_> = controllers.iter().map(|controller| controller.address).collect();
    let names = ["m0", "m1", "m2", "m3"];
    let absent_members: Vec<_> = names.iter().zip(1..).map(|(name, port)| absent(name, port)).collect();
    let mut programs: Vec<_> = names
        .iter()
        .map(|name| Program::start(name, &file(&addresses, &absent_members), &discovery, &[]))
        .collect();
    // The addresses are known only after the start.
    let known: Vec<_> =
        names.iter().zip(&programs).map(|(name, program)| (name.to_string(), program.address)).collect();
    for program in &programs {
        program.reload(&file(&addresses, &known));
    }
    let to: Vec<_> = programs.iter().map(|program| program.address).collect();
    let _collectors = collectors(&to, 2 * CONTROLLERS as u32);
    let wait_for_reports_to_all = |controllers: &mut Vec<Controller>| {
        for controller in controllers.iter_mut() {
            controller.received.clear();
            controller.wait_for_line("s-0");
        }
    };
    wait_for_reports_to_all(&mut controllers);
    for program in &mut programs {
        program.wait_for_log("as one of 4 aggregators");
    }
    programs[1].signal(Signal::STOP);
    for number in [0, 2, 3] {
        programs[number].wait_for_log("aggregator m1 is not responding");
    }
    wait_for_reports_to_all(&mut controllers);
    programs[1].signal(Signal::CONT);
    programs[1].wait_for_log("was not running for");
    programs[0].wait_for_log("as one of 4 aggregators");
    programs[2].kill();
    for number in [0, 1, 3] {
        programs[number].wait_for_log("aggregator m2 is not responding");
    }
    wait_for_reports_to_all(&mut controllers);
}

#[test]
fn missing_zones_are_marked_and_shown_in_metrics() {
    let (discovery, mut controller) = (discovery(), Controller::start());
    let file = file(&[controller.address], &[absent("m0", 7)]);
    let mut program = Program::start("m0", &file, &discovery, &["--metrics", "127.0.0.1:0"]);
    let metrics = program.wait_for_log("metrics at").rsplit(' ').next().unwrap().to_string();
    let mut all = collectors(&[program.address], 2);
    controller.received.wait("full sums", |line| line.text.contains("s-0") && !line.text.contains("missing"));
    drop(all.pop());
    program.wait_for_log("zone b is missing");
    // Discards marked lines from the start. A line that arrives now is written in the same tick as the metrics.
    controller.received.clear();
    controller.wait_for_line(r#""missing":1"#);
    let text = get(&metrics, "/metrics");
    let samples: BTreeMap<_, _> = text.lines().filter_map(|line| line.split_once(' ')).collect();
    let metric = |name: &str| samples[format!("whinwall_aggregator_{name}").as_str()];
    assert_eq!(metric("zones_missing"), "1", "{text}");
    assert_eq!(metric("governors_connected"), "1");
    assert!(metric("bytes_in_total").parse::<u64>().unwrap() > 0);
    assert!(metric("lines_out_total").parse::<u64>().unwrap() > 0);
    assert!(get(&metrics, "/other").starts_with("HTTP/1.1 404"));
}

#[test]
fn unauthenticated_peers_are_disconnected_and_displace_no_collector() {
    let (discovery, mut controller) = (discovery(), Controller::start());
    let file = file(&[controller.address], &[absent("m0", 7)]);
    let program = Program::start("m0", &file, &discovery, &[]);
    let _collectors = collectors(&[program.address], 2);
    controller.wait_for_line("s-0");
    let mut ping_client = program.connect();
    ping_client.send_line(r#"{"@type":"PING"}"#);
    assert_eq!(ping_client.read_line(), "{\"@type\":\"PONG\"}\n");
    let mut garbled = program.connect();
    garbled.send_line("GET / HTTP/1.1");
    assert!(garbled.is_disconnected());
    let mut early = program.connect();
    early.send_line(&reports("a", 0)[0]);
    assert!(early.is_disconnected());
    let mut unterminated = program.connect();
    unterminated.send_line(&"x".repeat(1 << 16));
    assert!(unterminated.is_disconnected());
    // A peer that never sends anything.
    assert!(program.connect().is_disconnected());
    let mut unknown = program.connect();
    unknown.send_line(
        r#"{"@type":"HEARTBEAT","name":"m9","ready":true,"list_age_ms":0,"version":1,"zones":["x"]}"#,
    );
    assert!(unknown.is_disconnected());
    // The zone in its heartbeat is not expected to report.
    controller.received.clear();
    controller.received.wait("full sums", |line| line.text.contains("s-0") && !line.text.contains("missing"));
}

#[test]
fn invalid_file_is_rejected_and_a_failed_reload_keeps_the_previous_configuration() {
    let discovery = discovery();
    let controller = Controller::start();
    let good = file(&[controller.address], &[absent("m0", 7)]);
    let mut program = Program::launch("m9", &good, &discovery, &[]);
    program.wait_for_log("no aggregator is named \"m9\"");
    assert_eq!(program.wait_for_exit().code(), Some(2));
    let mut program = Program::launch("m0", "<operators version=\"1\"/>", &discovery, &[]);
    program.wait_for_log("missing element <subsetting>");
    assert_eq!(program.wait_for_exit().code(), Some(2));
    let small = good.replace("27000", "600");
    let mut program = Program::launch("m0", &small, &discovery, &[]);
    program.wait_for_log("needed for one report line");
    assert_eq!(program.wait_for_exit().code(), Some(2));
    let mut program = Program::start("m0", &good, &discovery, &[]);
    program.reload(&small);
    program.wait_for_log("reload failed, keeping the previous configuration");
    program.reload(&good);
    program.wait_for_log("configuration reloaded");
    program.signal(Signal::TERM);
    assert_eq!(program.wait_for_exit().code(), Some(0));
}

/// Guards against an exit without graceful shutdown, in which connections with pings, incomplete lines and requests for
/// metrics were closed without a reply, and against the default action of SIGUSR1, which ends the program. The
/// program is stopped while the inputs are sent, so that it processes them together with the signals.
#[test]
fn received_lines_and_requests_are_answered_before_shutdown() {
    let discovery = discovery();
    let file = file(&[Controller::start().address], &[absent("m0", 7)]);
    for signals in [&[Signal::TERM][..], &[Signal::USR1, Signal::TERM, Signal::INT]] {
        let mut program = Program::start("m0", &file, &discovery, &["--metrics", "127.0.0.1:0"]);
        let metrics = program.wait_for_log("metrics at").rsplit(' ').next().unwrap().to_string();
        let mut collector = program.connect();
        collector.send_line(r#"{"@type":"SOURCE","az":"a"}"#);
        collector.send_line(r#"{"@type":"PING"}"#);
        assert_eq!(collector.read_line(), PONG);
        program.signal(Signal::STOP);
        collector.send_line(r#"{"@type":"PING"}"#);
        let mut new = program.connect();
        new.send_line(r#"{"@type":"PING"}"#);
        let mut incomplete = program.connect();
        incomplete.stream.write_all(br#"{"@type":"PI"#).unwrap();
        let send_request = |text: &str| {
            let mut stream = TcpStream::connect(&metrics).unwrap();
            stream.write_all(text.as_bytes()).unwrap();
            stream
        };
        let scrape = send_request("GET /metrics HTTP/1.1\r\nhost: m0\r\n\r\n");
        let incomplete_scrape = send_request("GET /metr");
        signals.iter().for_each(|signal| program.signal(*signal));
        program.signal(Signal::CONT);
        assert_eq!(program.wait_for_exit().code(), Some(0), "{signals:?}");
        assert_eq!(read_all(collector.stream), PONG);
        assert_eq!(read_all(new.stream), PONG);
        assert!(read_all(incomplete.stream).contains("shutting down"));
        assert!(read_all(scrape).starts_with("HTTP/1.1 200"));
        assert!(read_all(incomplete_scrape).starts_with("HTTP/1.1 503"));
    }
}

/// Reads until the peer closes the connection, and returns the text. Panics if the connection is reset.
fn read_all(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}
