//! Tests of collector messages and report batches in the reducer, without sockets.

mod support;

use quickcheck::{Arbitrary, Gen};
use support::rig::*;
use whinwall_policy::api::{DemandReport, EndpointReport, Report, ReportBody};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector;
use whinwall_protocol::relay::decode_event;
use whinwall_routing::{Effect, Event};

#[test]
fn invalid_messages_change_nothing() {
    let mut rigs = [Rig::serving(), Rig::serving()];
    rigs.iter_mut().for_each(|rig| rig.collector_line(1, r#"{"@type":"SOURCE","az":"north"}"#));
    let [rig, reference] = &mut rigs;
    let invalid_lines = [
        r#"{"@type":"LOAD","az":"nowhere","host":"s-1","n":200,"bad":0,"avg":1,"window":9000.0}"#,
        r#"{"@type":"LOAD","az":"north","host":"s-99","n":200,"bad":200,"avg":0,"window":9000.0}"#,
        r#"{"@type":"LOAD","az":"north","host":"s-1","n":200,"bad":201,"avg":1,"window":9000.0}"#,
        r#"{"@type":"LOAD","az":"north","host":"s-1","n":200,"bad":200,"window":1000.0}"#,
        r#"{"@type":"LOAD","az":"north","host":"s-1","n":200,"bad":200,"avg":1,"window":0}"#,
        r#"{"@type":"LOAD","az":"north","host":"s-1","n":200,"bad":200,"avg":1,"window":1,"report":7}"#,
        r#"{"@type":"LOAD","az":"north","host":"s-1","n":-1,"bad":0,"avg":1,"window":1}"#,
        r#"{"@type":"LOAD","az":"north","host":"s-1","n":1e30,"bad":0,"avg":1,"window":1}"#,
        r#"{"@type":"LOAD","az":"north","host":"s-1","n":1,"bad":0,"avg":1,"window":4e6}"#,
        r#"{"@type":"SHARD","partition":4000000000,"kind":"lookup","n":900,"bad":900,"window":9000.0}"#,
        r#"{"@type":"SHARD","partition":1,"kind":"unheard","n":1e9,"bad":1,"window":1000.0}"#,
        r#"{"@type":"SHARD","partition":-4,"kind":"lookup","n":40,"bad":1,"window":1000.0}"#,
        r#"{"@type":"SOURCE","az":"nowhere"}"#,
        r#"{"@type":"GREETING","of":{"any":["shape"]}}"#,
        r#"{"@type":7}"#,
    ];
    for second in 0..30 {
        for rig in [&mut *rig, &mut *reference] {
            for n in 0..12 {
                let (replica, failed) = (n % 6, if n == 1 && second > 9 { 9 } else { 0 });
                rig.collector_line(1, &format!(
                    r#"{{"@type":"LOAD","az":"north","host":"s-{replica}","n":9,"bad":{failed},"avg":41.7,"window":1000.0}}"#
                ));
                rig.collector_line(1, &format!(
                    r#"{{"@type":"SHARD","partition":{n},"kind":"lookup","n":9,"bad":{failed},"window":1000.0}}"#
                ));
            }
            rig.advance_ms(1000);
        }
        invalid_lines.iter().for_each(|line| rig.collector_line(1, line));
    }
    for line in ["* CLOSED 77", "* ACK 77 9 1.5", "* ACK 0 65535 1.5", "* GRANT 400 0", "* ROW 401 s-1 1.0"] {
        rig.relay_event(line);
        rig.drain_input();
    }
    assert!(
        reference.requests.iter().any(|request| request.contains("OUT,s-1")),
        "valid reports lead to commands"
    );
    assert_eq!(rig.requests, reference.requests);
    assert!(!rig.other_effects.iter().any(|effect| matches!(effect, Effect::Disconnect { .. })));
    for line in ["", "[]", "{", r#"{"@type":"LOAD","az":"a{"@type":"LOAD"}"#, "GET / HTTP/1.1", "7"] {
        rig.collector_line(1, r#"{"@type":"SOURCE","az":"north"}"#);
        rig.other_effects.clear();
        rig.collector_line(1, line);
        assert_eq!(
            rig.other_effects,
            [Effect::Disconnect { to: 1, reason: None }],
            "{line}: a collector is disconnected without a reason"
        );
        rig.collector_line(1, invalid_lines[0]);
        assert_eq!(rig.other_effects.len(), 2, "{line}: the collector is no longer authenticated");
    }
    for line in ["", "GRANT 1 1", "* GRANT", "* GRANT x 1", "* ROW 1 s-1 NaN", "* ACK 1 70000 1", "* NEWS"] {
        assert!(decode_event(line).is_err(), "{line}");
    }
}

#[test]
fn unauthenticated_peers_are_disconnected() {
    let mut rig = Rig::serving();
    let endpoint_report = r#"{"@type":"LOAD","az":"north","host":"s-1","n":9,"bad":9,"avg":1,"window":1000}"#;
    rig.collector_line(1, r#"{"@type":"SOURCE","az":"north"}"#);
    assert_eq!(rig.other_effects.last(), Some(&Effect::Admit { to: 1 }));
    rig.collector_line(1, endpoint_report);
    rig.apply(Event::Disconnected(1));
    for line in
        [endpoint_report, r#"{"@type":"SOURCE","az":"nowhere"}"#, r#"{"@type":"SET","partition":1}"#, "GET /"]
    {
        rig.other_effects.clear();
        rig.collector_line(1, line);
        assert!(
            matches!(rig.other_effects[..], [Effect::Disconnect { to: 1, reason: Some(_) }]),
            "{line}: {:?}",
            rig.other_effects
        );
    }
    rig.collector_line(2, r#"{"@type":"PING"}"#);
    assert_eq!(rig.other_effects.last(), Some(&Effect::Pong { to: 2 }));
}

/// A report line in which some values are replaced and some bytes are removed, duplicated or changed.
#[derive(Clone, Debug)]
struct MutatedLine(String);

impl Arbitrary for MutatedLine {
    fn arbitrary(gen: &mut Gen) -> Self {
        let lines = [
            r#"{"@type":"LOAD","az":"north","host":"s-0","n":9,"bad":1,"avg":41.7,"window":100.0,"report":{"inflight":3}}"#,
            r#"{"@type":"SHARD","partition":1,"kind":"lookup","n":9,"bad":9,"window":100.0}"#,
            r#"{"@type":"LOAD","az":"no\u0072th","host":"s-\"0\"","n":9,"bad":1,"avg":41.7,"window":100.0,"kind":null}"#,
        ];
        let values =
            ["null", "-1", "1e99", "\"x\"", "{}", "[1]", "true", "0", "{\"inflight\":-1}", "9,\"n\":8"];
        let mut line = gen.choose(&lines).unwrap().to_string();
        for _ in 0..u8::arbitrary(gen) % 3 {
            let value = gen.choose(&values).unwrap();
            let old =
                gen.choose(&["9", "41.7", "100.0", "\"north\"", "\"lookup\"", "{\"inflight\":3}"]).unwrap();
            line = line.replacen(old, value, 1);
        }
        let mut bytes = line.into_bytes();
        for _ in 0..u8::arbitrary(gen) % 3 {
            let position = usize::arbitrary(gen) % bytes.len();
            match u8::arbitrary(gen) % 3 {
                0 => _ = bytes.remove(position),
                1 => bytes.insert(position, bytes[position]),
                _ => bytes[position] = u8::arbitrary(gen) % 128,
            }
        }
        MutatedLine(String::from_utf8_lossy(&bytes).into_owned())
    }
}

#[test]
fn fast_decoding_agrees_with_diagnosing_decoding() {
    fn holds(line: MutatedLine) -> bool {
        collector::decode_report(&line.0).is_none_or(|report| {
            collector::decode_with_diagnosis(&line.0) == Ok(collector::Message::from(report))
        })
    }
    let line = r#"{"@type":"SHARD","partition":1,"kind":"lookup","n":9,"bad":9,"window":100.0}"#;
    assert!(collector::decode_report(line).is_some());
    quickcheck::QuickCheck::new().tests(20_000).quickcheck(holds as fn(MutatedLine) -> bool);
}

/// Reports of three zones on all replicas and slices, in chunks as the readers make them. All attempts at s-3 fail.
fn chunks() -> Vec<(u64, Vec<Report>)> {
    let covered = Span::ms(1000);
    let report = |report_body| Report { window_end: Moment::default(), line_count: 1.0, body: report_body };
    let endpoint = |zone, replica: u32| {
        let failed = if replica == 3 { 9.0 } else { 0.0 };
        let mean_latency = Span::ms(40);
        let endpoint_report = EndpointReport { zone, window: covered, attempts: 9.0, failed, mean_latency };
        report(ReportBody::Endpoint { replica, report: endpoint_report, latest_latency: mean_latency })
    };
    let demand = |slice, request_class| {
        report(ReportBody::Demand {
            slice,
            report: DemandReport { request_class, window: covered, requests: 9.0, failed: 0.0 },
        })
    };
    let chunk = |from: u64| {
        let endpoints = (0..6).map(move |replica| endpoint(from as usize, replica));
        let demands =
            (0..12).flat_map(move |slice| (0..2).map(move |request_class| demand(slice, request_class)));
        endpoints.chain(demands).collect::<Vec<_>>()
    };
    (0..3)
        .flat_map(|from| chunk(from).chunks(7).map(move |piece| (from, piece.to_vec())).collect::<Vec<_>>())
        .collect()
}

fn authenticate_collectors(rig: &mut Rig) {
    for (from, zone) in ["north", "south", "west"].iter().enumerate() {
        rig.collector_line(from as u64, &format!("{{\"@type\":\"SOURCE\",\"az\":\"{zone}\"}}"));
    }
}

/// The order in which chunks of several connections are applied changes no command, and a repetition of the same order
/// gives the same commands.
#[test]
fn interleavings_of_chunks_lead_to_the_same_commands() {
    fn commands_for(chunk_orders: &[Vec<usize>]) -> Vec<String> {
        let mut rig = Rig::serving();
        authenticate_collectors(&mut rig);
        let chunks = chunks();
        for order in chunk_orders {
            for chunk in order {
                let (from, mut reports) = chunks[*chunk].clone();
                reports.iter_mut().for_each(|report| report.window_end = rig.now);
                rig.apply(Event::Reports { from, reports });
            }
            rig.drain_input();
            rig.advance_ms(1000);
        }
        rig.requests
    }
    fn holds(seeds: Vec<u64>) -> bool {
        let chunk_count = chunks().len();
        let shuffled = |seed: u64| {
            let mut random = whinwall_policy::random::Random::from_seed(seed);
            let mut order: Vec<_> = (0..chunk_count).collect();
            (1..chunk_count).for_each(|n| order.swap(n, (random.draw() * (n + 1) as f64) as usize));
            order
        };
        let recorded_orders: Vec<Vec<_>> =
            (0..8).map(|n| shuffled(seeds.get(n).copied().unwrap_or(n as u64))).collect();
        let sequential_orders = vec![(0..chunk_count).collect::<Vec<_>>(); 8];
        let (requests, repeated) = (commands_for(&recorded_orders), commands_for(&recorded_orders));
        assert!(requests.join(" ").contains("OUT,s-3"), "the reports lead to commands: {requests:?}");
        requests == repeated && requests == commands_for(&sequential_orders)
    }
    quickcheck::QuickCheck::new().tests(20).quickcheck(holds as fn(Vec<u64>) -> bool);
}

#[test]
fn chunk_for_a_revoked_slice_or_from_a_closed_connection_is_ignored() {
    let mut rig = Rig::serving();
    authenticate_collectors(&mut rig);
    rig.relay_event("* GRANT 4 0");
    let failed_reports = |slice| {
        let demand = DemandReport { request_class: 0, window: Span::ms(1000), requests: 1e6, failed: 1e6 };
        vec![Report {
            window_end: Moment::default(),
            line_count: 1.0,
            body: ReportBody::Demand { slice, report: demand },
        }]
    };
    let before = rig.requests.len();
    for _ in 0..5 {
        rig.apply(Event::Reports { from: 0, reports: failed_reports(4) });
        rig.advance_ms(1000);
    }
    assert!(
        !rig.requests[before..].join(" ").contains("LIMIT"),
        "reports on a revoked slice change no admission rate"
    );
    rig.apply(Event::Disconnected(1));
    rig.other_effects.clear();
    rig.apply(Event::Reports { from: 1, reports: failed_reports(5) });
    assert!(matches!(rig.other_effects[..], [Effect::Disconnect { to: 1, .. }]));
}
