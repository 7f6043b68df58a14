//! The program on loopback sockets, between stand-ins.

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

/// In one report of a zone's collector.
const ATTEMPTS_OF_A: u64 = 10;
const ATTEMPTS_OF_B: u64 = 100_000;

fn discovery() -> Discovery {
    Discovery::start(&LIST.replace('\n', ""))
}

/// The operators' file: each controller with two slices of its own.
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

/// Addresses of aggregators that are not there.
fn absent(name: &str, port: u16) -> (String, SocketAddr) {
    (name.to_string(), SocketAddr::from(([127, 0, 0, 1], port)))
}

/// What a zone's collector says, again and again; of replicas in figures by which the zone can be told in a sum.
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
        controller.hears(r#"{"@type":"SOURCE","az":"a"}"#);
        // One that has at least one report of each zone, and lacks none.
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
        let line = controller.heard.wait("a line of s-0 with both zones", has_both).text;
        let Some(Report::EndpointReport { zone, attempts, failed, mean_latency_ms, .. }) =
            decode_report(&line)
        else {
            panic!("{line}")
        };
        assert_eq!((zone, mean_latency_ms), ("a", 5.0));
        let (of_a, of_b) = (attempts as u64 % ATTEMPTS_OF_B / ATTEMPTS_OF_A, attempts as u64 / ATTEMPTS_OF_B);
        assert_eq!(attempts as u64, of_a * ATTEMPTS_OF_A + of_b * ATTEMPTS_OF_B, "{line}");
        assert_eq!(failed * 10.0, attempts, "{line}");
        let own = controller.hears("SHARD").text;
        let Some(Report::DemandReport { slice, .. }) = decode_report(&own) else { panic!("{own}") };
        assert_eq!(slice as usize / 2, number);
    }
    program.signal(Signal::TERM);
    assert_eq!(program.ends().code(), Some(0));
}

#[test]
fn four_aggregators_share_the_controllers_and_take_over_from_one_that_fails() {
    const CONTROLLERS: usize = 8;
    let (discovery, mut controllers) = (discovery(), Vec::new());
    controllers.resize_with(CONTROLLERS, Controller::start);
    let addresses: Vec<_> = controllers.iter().map(|controller| controller.address).collect();
    let names = ["m0", "m1", "m2", "m3"];
    let unknown: Vec<_> = names.iter().zip(1..).map(|(name, port)| absent(name, port)).collect();
    let mut programs: Vec<_> =
        names.iter().map(|name| Program::start(name, &file(&addresses, &unknown), &discovery, &[])).collect();
    // Only now are their addresses known.
    let known: Vec<_> =
        names.iter().zip(&programs).map(|(name, program)| (name.to_string(), program.address)).collect();
    for program in &programs {
        program.reads_anew(&file(&addresses, &known));
    }
    let to: Vec<_> = programs.iter().map(|program| program.address).collect();
    let _collectors = collectors(&to, 2 * CONTROLLERS as u32);
    let expect_all = |controllers: &mut Vec<Controller>| {
        for controller in controllers.iter_mut() {
            controller.heard.clear();
            controller.hears("s-0");
        }
    };
    expect_all(&mut controllers);
    for program in &mut programs {
        program.logs("as one of 4 aggregators");
    }
    programs[1].signal(Signal::STOP);
    for one in [0, 2, 3] {
        programs[one].logs("aggregator m1 is not heard");
    }
    expect_all(&mut controllers);
    programs[1].signal(Signal::CONT);
    programs[1].logs("was not running for");
    programs[0].logs("as one of 4 aggregators");
    programs[2].dies();
    for one in [0, 1, 3] {
        programs[one].logs("aggregator m2 is not heard");
    }
    expect_all(&mut controllers);
}

#[test]
fn missing_zones_are_marked_and_shown_in_metrics() {
    let (discovery, mut controller) = (discovery(), Controller::start());
    let file = file(&[controller.address], &[absent("m0", 7)]);
    let mut program = Program::start("m0", &file, &discovery, &["--metrics", "127.0.0.1:0"]);
    let metrics = program.logs("metrics at").rsplit(' ').next().unwrap().to_string();
    let mut all = collectors(&[program.address], 2);
    controller.heard.wait("a whole line", |line| line.text.contains("s-0") && !line.text.contains("missing"));
    drop(all.pop());
    program.logs("zone b is missing");
    // Lines of the start were marked too; one of now is written in the same beat as the figures.
    controller.heard.clear();
    controller.hears(r#""missing":1"#);
    let text = get(&metrics, "/metrics");
    let figures: BTreeMap<_, _> = text.lines().filter_map(|line| line.split_once(' ')).collect();
    let figure = |name: &str| figures[format!("whinwall_aggregator_{name}").as_str()];
    assert_eq!(figure("zones_missing"), "1", "{text}");
    assert_eq!(figure("governors_connected"), "1");
    assert!(figure("bytes_in_total").parse::<u64>().unwrap() > 0);
    assert!(figure("lines_out_total").parse::<u64>().unwrap() > 0);
    assert!(get(&metrics, "/other").starts_with("HTTP/1.1 404"));
}

#[test]
fn unauthenticated_peers_are_disconnected_and_displace_no_collector() {
    let (discovery, mut controller) = (discovery(), Controller::start());
    let file = file(&[controller.address], &[absent("m0", 7)]);
    let program = Program::start("m0", &file, &discovery, &[]);
    let _collectors = collectors(&[program.address], 2);
    controller.hears("s-0");
    let mut asks = program.connect();
    asks.says(r#"{"@type":"PING"}"#);
    assert_eq!(asks.hears(), "{\"@type\":\"PONG\"}\n");
    let mut garbled = program.connect();
    garbled.says("GET / HTTP/1.1");
    assert!(garbled.is_let_go());
    let mut early = program.connect();
    early.says(&reports("a", 0)[0]);
    assert!(early.is_let_go());
    let mut endless = program.connect();
    endless.says(&"x".repeat(1 << 16));
    assert!(endless.is_let_go());
    // One that never says anything.
    assert!(program.connect().is_let_go());
    let mut unknown = program.connect();
    unknown
        .says(r#"{"@type":"HEARTBEAT","name":"m9","ready":true,"list_age_ms":0,"version":1,"zones":["x"]}"#);
    assert!(unknown.is_let_go());
    // The zone that it names is not waited for.
    controller.heard.clear();
    controller.heard.wait("a whole line", |line| line.text.contains("s-0") && !line.text.contains("missing"));
}

#[test]
fn invalid_file_is_rejected_and_a_reload_keeps_the_former_configuration() {
    let discovery = discovery();
    let controller = Controller::start();
    let good = file(&[controller.address], &[absent("m0", 7)]);
    let mut program = Program::launch("m9", &good, &discovery, &[]);
    program.logs("\"m9\" is not among the aggregators");
    assert_eq!(program.ends().code(), Some(2));
    let mut program = Program::launch("m0", "<operators version=\"1\"/>", &discovery, &[]);
    program.logs("no element <subsetting>");
    assert_eq!(program.ends().code(), Some(2));
    let small = good.replace("27000", "600");
    let mut program = Program::launch("m0", &small, &discovery, &[]);
    program.logs("what one line may take");
    assert_eq!(program.ends().code(), Some(2));
    let mut program = Program::start("m0", &good, &discovery, &[]);
    program.reads_anew(&small);
    program.logs("configuration rejected, the former one stays");
    program.reads_anew(&good);
    program.logs("configuration reloaded");
    program.signal(Signal::TERM);
    assert_eq!(program.ends().code(), Some(0));
}

/// The aggregator ended at once: pings and half a ping that had been read, and requests for metrics, were closed without an
/// answer; SIGUSR1 ended it by its default action. It is stopped while all of that is produced, so that it meets it at once.
#[test]
fn what_was_read_by_the_end_is_answered() {
    let discovery = discovery();
    let file = file(&[Controller::start().address], &[absent("m0", 7)]);
    for signals in [&[Signal::TERM][..], &[Signal::USR1, Signal::TERM, Signal::INT]] {
        let mut program = Program::start("m0", &file, &discovery, &["--metrics", "127.0.0.1:0"]);
        let metrics = program.logs("metrics at").rsplit(' ').next().unwrap().to_string();
        let mut collector = program.connect();
        collector.says(r#"{"@type":"SOURCE","az":"a"}"#);
        collector.says(r#"{"@type":"PING"}"#);
        assert_eq!(collector.hears(), PONG);
        program.signal(Signal::STOP);
        collector.says(r#"{"@type":"PING"}"#);
        let mut new = program.connect();
        new.says(r#"{"@type":"PING"}"#);
        let mut in_part = program.connect();
        in_part.stream.write_all(br#"{"@type":"PI"#).unwrap();
        let asks = |text: &str| {
            let mut stream = TcpStream::connect(&metrics).unwrap();
            stream.write_all(text.as_bytes()).unwrap();
            stream
        };
        let scrape = asks("GET /metrics HTTP/1.1\r\nhost: m0\r\n\r\n");
        let half_a_scrape = asks("GET /metr");
        signals.iter().for_each(|signal| program.signal(*signal));
        program.signal(Signal::CONT);
        assert_eq!(program.ends().code(), Some(0), "{signals:?}");
        assert_eq!(read_all(collector.stream), PONG);
        assert_eq!(read_all(new.stream), PONG);
        assert!(read_all(in_part.stream).contains("shutting down"));
        assert!(read_all(scrape).starts_with("HTTP/1.1 200"));
        assert!(read_all(half_a_scrape).starts_with("HTTP/1.1 503"));
    }
}

/// All that is received until the connection ends in order.
fn read_all(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}
