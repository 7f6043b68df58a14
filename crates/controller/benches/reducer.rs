//! Measures an iteration of the reducer with overrides, in a fleet of 2,000 replicas and 12,000 slices. Each
//! iteration is one tick (250 ms), with or without the reports of a tick.

use divan::counter::ItemsCount;
use divan::Bencher;
use serde_json::json;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use whinwall_management_api::messages::Request;
use whinwall_overrides::{ChangeRequest, ClockReading, NewOverride, OverrideKind, OverrideLimits};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::relay::{decode_event, Response};
use whinwall_protocol::{collector, discovery};
use whinwall_routing::overrides::OverrideConfig;
use whinwall_routing::{Effect, Event, Reducer};
use whinwall_transport::Targets;

const REPLICAS: u32 = 2000;
/// Number of slices per replica.
const SLICES_PER_REPLICA: u32 = 6;

fn main() {
    divan::main();
}

struct Fleet {
    reducer: Reducer,
    now: Moment,
}

impl Fleet {
    fn new(overrides: u32) -> Self {
        Fleet::with_replicas(REPLICAS, overrides)
    }

    fn with_replicas(replicas: u32, overrides: u32) -> Self {
        let example = include_str!("../../../deploy/example.json");
        let example: serde_json::Value = serde_json::from_str(example).unwrap();
        let settings = whinwall_settings::parse_settings(&example["settings"]).unwrap();
        let now = Moment::default() + Span::ms(1_800_000_000_000);
        let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let targets = Targets { discovery: local(8500), relay: local(6400) };
        let reducer = Reducer::new(settings, targets, 7, &discovery::List::default(), now);
        let mut fleet = Fleet { reducer, now };
        let reading = ClockReading { boot_id: String::new(), uptime: Span::default(), wall_time: now };
        let config = OverrideConfig {
            limits: OverrideLimits { max_active: 10_000, ..OverrideLimits::default() },
            configured: vec![],
            has_store: false,
        };
        fleet.apply(Event::OperatorConfigChanged(config, reading));
        let entry = |n| json!({"id": format!("s-{n}"), "zone": "north", "state": "active"});
        let list =
            json!({"version": 1, "full": true, "servers": (0..replicas).map(entry).collect::<Vec<_>>()});
        fleet.apply(Event::EndpointListReceived(discovery::decode(&list.to_string()).unwrap().unwrap()));
        let mut lines = vec!["OK".to_string()];
        lines.extend((0..3).map(|proxy| format!("* SUBSCRIBE {proxy} north 21.5 1")));
        for slice in 0..replicas * SLICES_PER_REPLICA {
            lines.push(format!("* GRANT {slice} 1"));
            lines.push(format!("* ROW {slice} s-{} 1", slice % replicas));
        }
        lines.push("*".into());
        lines.iter().for_each(|line| fleet.apply(Event::Relay(decode_event(line).unwrap())));
        for n in 0..overrides {
            let replica = format!("s-{}", (n * 7) % replicas);
            let kind = match n % 4 {
                0 => OverrideKind::Out { replica },
                1 => OverrideKind::Weight { replica, factor: 0.5 },
                _ => OverrideKind::Pin { first: n * 11, last: n * 11 + 5, replica },
            };
            let (id, author, reason) = (format!("o{n}"), "bench".into(), "bench".into());
            let new_override = NewOverride { id, kind, author, reason, duration: Span::ms(3_600_000) };
            fleet.apply(Event::ManagementRequest {
                request_id: 0,
                request: Request::Change(ChangeRequest::Set(new_override)),
            });
        }
        // Runs ticks until all initial commands are sent.
        (0..200).for_each(|_| fleet.tick());
        fleet
    }

    /// Applies an event and its consequences: the relay accepts each request at once, and all proxies acknowledge its
    /// version.
    fn apply(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.reducer.apply(self.now, event) {
                let Effect::RelayRequest { line, .. } = effect else { continue };
                for command in line.split(';') {
                    if let Some(version) =
                        command.strip_prefix("SYNC,").and_then(|rest| rest.split(',').next())
                    {
                        let ack =
                            |proxy| Event::Relay(decode_event(&format!("* ACK {proxy} {version}")).unwrap());
                        events.extend((0..3).map(ack));
                    }
                }
                events.push(Event::RelayResponse(Ok(Response::Accepted(line.split(';').count()))));
            }
        }
    }

    fn tick(&mut self) {
        self.now = self.now + Span::ms(250);
        self.apply(Event::InputDrained);
    }

    fn apply_reports(&mut self) {
        for n in 0..REPLICAS / 4 {
            let line = format!(
                r#"{{"@type":"LOAD","az":"north","host":"s-{n}","n":9,"bad":0,"avg":41.7,"window":1000.0}}"#
            );
            let message = collector::decode(&line).unwrap();
            self.apply(Event::Message { from: 1, message });
        }
    }
}

#[divan::bench(args = [0, 100, 1000], sample_count = 40, sample_size = 1)]
fn tick(bencher: Bencher, overrides: u32) {
    let mut fleet = Fleet::new(overrides);
    bencher.bench_local(|| fleet.tick());
}

/// Measures a tick without overrides, by the number of replicas.
#[divan::bench(args = [125, 500, 2000], sample_count = 40, sample_size = 1)]
fn tick_by_replicas(bencher: Bencher, replicas: u32) {
    let mut fleet = Fleet::with_replicas(replicas, 0);
    bencher.bench_local(|| fleet.tick());
}

#[divan::bench(args = [0, 1000], sample_count = 40, sample_size = 1)]
fn tick_with_reports(bencher: Bencher, overrides: u32) {
    let mut fleet = Fleet::new(overrides);
    let source = collector::decode(r#"{"@type":"SOURCE","az":"north"}"#).unwrap();
    fleet.apply(Event::Message { from: 1, message: source });
    bencher.counter(ItemsCount::new(REPLICAS / 4)).bench_local(|| {
        fleet.apply_reports();
        fleet.tick();
    });
}
