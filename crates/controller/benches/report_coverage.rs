//! Measures the cost of tracking report coverage: the look-up for a line alone, and the complete handling of lines
//! in the reducer with reports from collectors, from one aggregator and from two.

use divan::counter::ItemsCount;
use divan::Bencher;
use serde_json::json;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use whinwall_operator_config::{AggregatorMember, ControllerMember, SubsettingConfig};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::{collector, discovery};
use whinwall_routing::report_coverage::{ReportCoverage, ReportLine, Subject};
use whinwall_routing::subset::Fleet;
use whinwall_routing::{Event, Reducer};
use whinwall_transport::Targets;

const REPLICAS: u32 = 2200;

fn main() {
    divan::main();
}

/// Counts one line per replica from each of one or two connections.
#[divan::bench(args = [1, 2])]
fn count_report_lines(bencher: Bencher, connections: u64) {
    let mut coverage = ReportCoverage::default();
    let mut seconds = 0;
    bencher.counter(ItemsCount::new(REPLICAS as usize * connections as usize)).bench_local(|| {
        seconds += 1;
        for from in 0..connections {
            let at = Moment::default() + Span::ms(1_000_000 + seconds * 1000 + from * 300);
            for replica in 0..REPLICAS {
                let subject = Subject::Replica(replica);
                let line = ReportLine { subject, from, at, window: Span::ms(1000), line_count: 1.0 };
                divan::black_box(coverage.count_line(&line));
            }
        }
    });
}

fn start_controller(replicas: u32, fleet: Option<Fleet>) -> (Reducer, Moment) {
    let example = include_str!("../../../deploy/example.json");
    let example: serde_json::Value = serde_json::from_str(example).unwrap();
    let settings = whinwall_settings::parse_settings(&example["settings"]).unwrap();
    let now = Moment::default() + Span::ms(1_800_000_000_000);
    let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    let targets = Targets { discovery: local(8500), relay: local(6400) };
    let mut reducer = Reducer::new(settings, targets, 7, &discovery::List::default(), now);
    reducer.apply(now, Event::Started);
    let entry = |n| json!({"id": format!("s-{n}"), "zone": "north", "state": "active"});
    let list = json!({"version": 1, "full": true, "servers": (0..replicas).map(entry).collect::<Vec<_>>()});
    reducer.apply(now, Event::EndpointListReceived(discovery::decode(&list.to_string()).unwrap().unwrap()));
    reducer.apply(now, Event::SubsettingConfigured(fleet));
    for from in 0..2 {
        let message = collector::Message::Source { zone: "north".into() };
        reducer.apply(now, Event::Message { from, message });
    }
    (reducer, now)
}

fn single_controller_fleet() -> Fleet {
    let controllers = vec![ControllerMember { name: "n0".into(), address: None, slices: vec![] }];
    let aggregators = vec![AggregatorMember { name: "m1".into(), address: ([127, 0, 0, 1], 7001).into() }];
    let config = SubsettingConfig { subset_size: 100, bytes_per_second: 27_000, controllers, aggregators };
    Fleet::new(&config, "n0").expect("the fleet contains the controller n0")
}

/// Decodes and applies one line per second on each of 100 replicas: from a collector if `aggregators` is 0,
/// otherwise from each aggregator.
#[divan::bench(args = [0, 1, 2])]
fn apply_report_lines(bencher: Bencher, aggregators: u64) {
    let (mut reducer, mut now) = start_controller(100, (aggregators > 0).then(single_controller_fleet));
    let lines: Vec<_> = (0..100)
        .map(|n| {
            format!(
                r#"{{"@type":"LOAD","az":"north","host":"s-{n}","n":60,"bad":0,"avg":41.7,"window":1000.0}}"#
            )
        })
        .collect();
    let connections = aggregators.max(1);
    bencher.counter(ItemsCount::new(lines.len() * connections as usize)).bench_local(|| {
        for from in 0..connections {
            now = now + Span::ms(1000 / connections);
            for line in &lines {
                let message = collector::decode(line).unwrap();
                divan::black_box(reducer.apply(now, Event::Message { from, message }));
            }
        }
        divan::black_box(reducer.apply(now, Event::InputDrained));
    });
}
