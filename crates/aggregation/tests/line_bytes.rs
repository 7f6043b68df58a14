//! The exact lines between aggregators, controllers and collectors. The expected lines are written out, so that a
//! renamed field or a different number format fails here.

use whinwall_aggregation::heartbeat::Heartbeat;
use whinwall_aggregation::sums::Sum;
use whinwall_aggregation::wire::{self, ReportValues};
use whinwall_policy::time::Span;

const HEARTBEAT: &str =
    r#"{"@type":"HEARTBEAT","name":"m1","ready":true,"list_age_ms":700,"version":41,"zones":["a","b"]}"#;

fn heartbeat() -> Heartbeat {
    let zones = vec!["a".to_string(), "b".to_string()];
    Heartbeat { name: "m1".into(), ready: true, list_age_ms: 700, version: 41, zones }
}

fn values(attempts: f64, failed: f64, missing: usize) -> ReportValues {
    let sum = Sum { attempts, failed, answered_ms: (attempts - failed) * 41.7, reports: 9 };
    ReportValues { sum, window: Span::ms(1500), missing }
}

#[test]
fn source_line_is_encoded_exactly() {
    assert_eq!(wire::encode_source("b"), "{\"@type\":\"SOURCE\",\"az\":\"b\"}\n");
}

#[test]
fn ping_line_is_encoded_exactly() {
    assert_eq!(wire::PING_LINE, "{\"@type\":\"PING\"}\n");
}

#[test]
fn load_line_with_missing_zones_is_encoded_exactly() {
    let expected =
        r#"{"@type":"LOAD","az":"b","host":"s-1","n":212,"bad":3,"avg":41.7,"window":1500.0,"missing":2}"#;
    assert_eq!(wire::encode_endpoint_report("b", "s-1", &values(212.0, 3.0, 2)), format!("{expected}\n"));
}

#[test]
fn load_line_of_all_zones_has_no_missing_field() {
    let expected = r#"{"@type":"LOAD","az":"b","host":"s-1","n":212,"bad":3,"avg":41.7,"window":1500.0}"#;
    assert_eq!(wire::encode_endpoint_report("b", "s-1", &values(212.0, 3.0, 0)), format!("{expected}\n"));
}

#[test]
fn shard_line_with_missing_zones_is_encoded_exactly() {
    let expected =
        r#"{"@type":"SHARD","partition":88,"kind":"lookup","n":212,"bad":3,"window":1500.0,"missing":1}"#;
    assert_eq!(wire::encode_demand_report(88, "lookup", &values(212.0, 3.0, 1)), format!("{expected}\n"));
}

#[test]
fn shard_line_of_all_zones_has_no_missing_field() {
    let expected = r#"{"@type":"SHARD","partition":88,"kind":"lookup","n":212,"bad":3,"window":1500.0}"#;
    assert_eq!(wire::encode_demand_report(88, "lookup", &values(212.0, 3.0, 0)), format!("{expected}\n"));
}

#[test]
fn fractional_counts_are_encoded_with_their_fraction() {
    let expected = r#"{"@type":"SHARD","partition":1,"kind":"w","n":2.5,"bad":0.5,"window":1500.0}"#;
    assert_eq!(wire::encode_demand_report(1, "w", &values(2.5, 0.5, 0)), format!("{expected}\n"));
}

#[test]
fn heartbeat_is_encoded_exactly() {
    assert_eq!(wire::encode_heartbeat(&heartbeat()), format!("{HEARTBEAT}\n"));
}

#[test]
fn heartbeat_is_decoded_with_every_field() {
    assert_eq!(wire::decode_heartbeat(HEARTBEAT), Some(heartbeat()));
}

#[test]
fn heartbeat_without_a_field_is_rejected() {
    for field in ["@type", "name", "ready", "list_age_ms", "version", "zones"] {
        let renamed = HEARTBEAT.replacen(&format!("\"{field}\":"), "\"renamed\":", 1);
        assert_eq!(wire::decode_heartbeat(&renamed), None, "{field}");
    }
}
