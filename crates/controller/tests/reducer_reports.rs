//! Messages of collectors and batches of reports in the reducer, without sockets.

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
    let [rig, twin] = &mut rigs;
    let spoilt = [
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
        for rig in [&mut *rig, &mut *twin] {
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
        spoilt.iter().for_each(|line| rig.collector_line(1, line));
    }
    for line in ["* CLOSED 77", "* ACK 77 9 1.5", "* ACK 0 65535 1.5", "* GRANT 400 0", "* ROW 401 s-1 1.0"] {
        rig.relay_event(line);
        rig.drain_input();
    }
    assert!(twin.requests.iter().any(|call| call.contains("OUT,s-1")), "good reports count");
    assert_eq!(rig.requests, twin.requests);
    assert!(!rig.other_effects.iter().any(|effect| matches!(effect, Effect::Disconnect { .. })));
    for line in ["", "[]", "{", r#"{"@type":"LOAD","az":"a{"@type":"LOAD"}"#, "GET / HTTP/1.1", "7"] {
        rig.collector_line(1, r#"{"@type":"SOURCE","az":"north"}"#);
        rig.other_effects.clear();
        rig.collector_line(1, line);
        assert_eq!(
            rig.other_effects,
            [Effect::Disconnect { to: 1, reason: None }],
            "{line}: a collector is told nothing"
        );
        rig.collector_line(1, spoilt[0]);
        assert_eq!(rig.other_effects.len(), 2, "{line}: it has not joined any more");
    }
    for line in ["", "GRANT 1 1", "* GRANT", "* GRANT x 1", "* ROW 1 s-1 NaN", "* ACK 1 70000 1", "* NEWS"] {
        assert!(decode_event(line).is_err(), "{line}");
    }
}

#[test]
fn unauthenticated_peers_are_disconnected() {
    let mut rig = Rig::serving();
    let met = r#"{"@type":"LOAD","az":"north","host":"s-1","n":9,"bad":9,"avg":1,"window":1000}"#;
    rig.collector_line(1, r#"{"@type":"SOURCE","az":"north"}"#);
    assert_eq!(rig.other_effects.last(), Some(&Effect::Admit { to: 1 }));
    rig.collector_line(1, met);
    rig.apply(Event::Disconnected(1));
    for line in [met, r#"{"@type":"SOURCE","az":"nowhere"}"#, r#"{"@type":"SET","partition":1}"#, "GET /"] {
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

/// A line of a report with some of its bytes lost, doubled or changed, or some of its values another's.
#[derive(Clone, Debug)]
struct Garbled(String);

impl Arbitrary for Garbled {
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
            let at = usize::arbitrary(gen) % bytes.len();
            match u8::arbitrary(gen) % 3 {
                0 => _ = bytes.remove(at),
                1 => bytes.insert(at, bytes[at]),
                _ => bytes[at] = u8::arbitrary(gen) % 128,
            }
        }
        Garbled(String::from_utf8_lossy(&bytes).into_owned())
    }
}

#[test]
fn fast_decoding_agrees_with_diagnosing_decoding() {
    fn holds(line: Garbled) -> bool {
        collector::decode_report(&line.0).is_none_or(|report| {
            collector::decode_with_diagnosis(&line.0) == Ok(collector::Message::from(report))
        })
    }
    let line = r#"{"@type":"SHARD","partition":1,"kind":"lookup","n":9,"bad":9,"window":100.0}"#;
    assert!(collector::decode_report(line).is_some());
    quickcheck::QuickCheck::new().tests(20_000).quickcheck(holds as fn(Garbled) -> bool);
}

/// Reports of three places on all replicas and slices, in chunks as readers make them; s-3 fails what it is
/// asked.
fn chunks() -> Vec<(u64, Vec<Report>)> {
    let covers = Span::ms(1000);
    let told = |what| Report { at: Moment::default(), line_count: 1.0, body: what };
    let met = |zone, replica: u32| {
        let failed = if replica == 3 { 9.0 } else { 0.0 };
        let mean_latency = Span::ms(40);
        let met = EndpointReport { zone, window: covers, attempts: 9.0, failed, mean_latency };
        told(ReportBody::Endpoint { replica, report: met, latest_latency: mean_latency })
    };
    let asked = |slice, request_class| {
        told(ReportBody::Demand {
            slice,
            report: DemandReport { request_class, window: covers, requests: 9.0, failed: 0.0 },
        })
    };
    let chunk = |from: u64| {
        let met = (0..6).map(move |replica| met(from as usize, replica));
        let asked =
            (0..12).flat_map(move |slice| (0..2).map(move |request_class| asked(slice, request_class)));
        met.chain(asked).collect::<Vec<_>>()
    };
    (0..3)
        .flat_map(|from| chunk(from).chunks(7).map(move |piece| (from, piece.to_vec())).collect::<Vec<_>>())
        .collect()
}

fn joined(rig: &mut Rig) {
    for (from, zone) in ["north", "south", "west"].iter().enumerate() {
        rig.collector_line(from as u64, &format!("{{\"@type\":\"SOURCE\",\"az\":\"{zone}\"}}"));
    }
}

/// The order in which chunks of several connections count changes no table, and is the same each time it is
/// played from its record.
#[test]
fn interleavings_of_chunks_lead_to_the_same_commands() {
    fn played(orders: &[Vec<usize>]) -> Vec<String> {
        let mut rig = Rig::serving();
        joined(&mut rig);
        let chunks = chunks();
        for order in orders {
            for at in order {
                let (from, mut reports) = chunks[*at].clone();
                reports.iter_mut().for_each(|report| report.at = rig.now);
                rig.apply(Event::Reports { from, reports });
            }
            rig.drain_input();
            rig.advance_ms(1000);
        }
        rig.requests
    }
    fn holds(seeds: Vec<u64>) -> bool {
        let many = chunks().len();
        let shuffled = |seed: u64| {
            let mut random = whinwall_policy::random::Random::from_seed(seed);
            let mut order: Vec<_> = (0..many).collect();
            (1..many).for_each(|at| order.swap(at, (random.draw() * (at + 1) as f64) as usize));
            order
        };
        let record: Vec<Vec<_>> =
            (0..8).map(|n| shuffled(seeds.get(n).copied().unwrap_or(n as u64))).collect();
        let plain = vec![(0..many).collect::<Vec<_>>(); 8];
        let (calls, again) = (played(&record), played(&record));
        assert!(calls.join(" ").contains("OUT,s-3"), "the reports are acted on: {calls:?}");
        calls == again && calls == played(&plain)
    }
    quickcheck::QuickCheck::new().tests(20).quickcheck(holds as fn(Vec<u64>) -> bool);
}

#[test]
fn chunk_for_a_revoked_slice_or_from_a_closed_connection_is_ignored() {
    let mut rig = Rig::serving();
    joined(&mut rig);
    rig.relay_event("* GRANT 4 0");
    let fails = |slice| {
        let asked = DemandReport { request_class: 0, window: Span::ms(1000), requests: 1e6, failed: 1e6 };
        vec![Report {
            at: Moment::default(),
            line_count: 1.0,
            body: ReportBody::Demand { slice, report: asked },
        }]
    };
    let before = rig.requests.len();
    for _ in 0..5 {
        rig.apply(Event::Reports { from: 0, reports: fails(4) });
        rig.advance_ms(1000);
    }
    assert!(!rig.requests[before..].join(" ").contains("LIMIT"), "nobody's ops cut no levels");
    rig.apply(Event::Disconnected(1));
    rig.other_effects.clear();
    rig.apply(Event::Reports { from: 1, reports: fails(5) });
    assert!(matches!(rig.other_effects[..], [Effect::Disconnect { to: 1, .. }]));
}
