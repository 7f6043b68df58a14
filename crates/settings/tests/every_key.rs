//! Tests the exact names of the keys of the deployment settings, their enumerated values, and the error messages. The
//! fixture contains every key that the parser reads, each with a value that differs from its default.

use serde_json::Value;
use whinwall_policy::time::Span;
use whinwall_settings::{parse_settings, Settings};

fn every_key() -> Value {
    serde_json::from_str(include_str!("fixtures/every_key.json")).unwrap()
}

/// The settings of the fixture with the value at `pointer` replaced.
fn with_value(pointer: &str, value: Value) -> Value {
    let mut settings = every_key();
    *settings.pointer_mut(pointer).unwrap() = value;
    settings
}

/// The settings of the fixture without one key of the object at `pointer`.
fn without_key(pointer: &str, key: &str) -> Value {
    let mut settings = every_key();
    let object = settings.pointer_mut(pointer).and_then(Value::as_object_mut).unwrap();
    object.remove(key).unwrap_or_else(|| panic!("the fixture has no {key} in {pointer:?}"));
    settings
}

fn parsed(settings: &Value) -> Settings {
    parse_settings(settings).unwrap()
}

#[test]
fn keys_of_the_document_are_read() {
    let Settings { deployment, request_classes, zones } = parsed(&every_key());
    assert_eq!(request_classes, ["lookup", "write"]);
    assert_eq!(zones, ["a", "b", "c"]);
    assert_eq!(deployment.controller_count, 5);
    assert_eq!(deployment.controller_index, 3);
    assert!(deployment.list_pushed);
    assert!(deployment.weights_known);
}

#[test]
fn keys_of_request_classes_are_read() {
    let deployment = parsed(&every_key()).deployment;
    let classes: Vec<_> = deployment
        .request_classes
        .iter()
        .map(|class| (class.priority_weight, class.target_latency))
        .collect();
    assert_eq!(classes, [(1.5, Span::ms(20)), (4.0, Span::ms(45))]);
}

#[test]
fn keys_of_family_info_are_read() {
    let deployment = parsed(&every_key()).deployment;
    assert_eq!(deployment.report_period, Span::ms(250));
    assert!(deployment.admission_supported);
    assert_eq!(deployment.fleet_size, 60);
    assert_eq!(deployment.slice_count, 96);
    assert!(deployment.single_writer);
    assert_eq!(deployment.table_lease, Span::ms(3000));
    assert_eq!(deployment.write_lifetime, Span::ms(1100));
    assert_eq!(deployment.message_overhead_lines, 12.5);
    assert_eq!(deployment.lines_per_second, 800.0);
    assert_eq!(deployment.queue_capacity_lines, 640.0);
    assert_eq!(deployment.message_limit, 7);
    assert_eq!(deployment.message_window, Span::ms(60_000));
}

#[test]
fn keys_of_obligations_are_read() {
    let deployment = parsed(&every_key()).deployment;
    assert!(deployment.delisting_is_advisory);
    assert_eq!(deployment.cold_capacity_share, 0.3);
    assert_eq!(deployment.warm_up, Span::ms(9000));
    assert_eq!(deployment.collapse_multiple, 2.5);
    assert_eq!(deployment.drain_grace, Span::ms(5000));
}

#[test]
fn optional_keys_have_defaults() {
    let deployment_without = |pointer, key| parsed(&without_key(pointer, key)).deployment;
    assert_eq!(deployment_without("", "peersTotal").controller_count, 1);
    assert_eq!(deployment_without("", "me").controller_index, u32::MAX);
    assert!(!deployment_without("", "weights").weights_known);
    assert!(parsed(&without_key("", "zones")).zones.is_empty());
    assert_eq!(deployment_without("/familyInfo", "periodNs").report_period, Span::default());
    assert!(!deployment_without("/familyInfo", "levelKind").admission_supported);
    assert_eq!(deployment_without("/familyInfo", "agents").fleet_size, 0);
    assert_eq!(deployment_without("/familyInfo", "partitionsN").slice_count, 0);
    assert!(!deployment_without("/familyInfo", "singleWriter").single_writer);
    assert_eq!(deployment_without("/familyInfo", "tenureNs").table_lease, Span::default());
    assert_eq!(deployment_without("/familyInfo", "writeLifeNs").write_lifetime, Span::default());
    assert_eq!(deployment_without("/familyInfo", "updateCap").message_limit, 0);
    assert_eq!(deployment_without("/familyInfo", "reloadSpanNs").message_window, Span::default());
    assert!(!deployment_without("/obligations", "goneIsAdvice").delisting_is_advisory);
    assert_eq!(deployment_without("/obligations", "drainGraceNs").drain_grace, Span::default());
}

#[test]
fn missing_required_key_is_named_in_the_error() {
    let required = [
        ("", "classes", ""),
        ("", "familyInfo", ""),
        ("", "obligations", ""),
        ("", "membershipMode", ""),
        ("/classes/0", "name", "classes[0]: "),
        ("/classes/0", "value", "classes[0]: "),
        ("/classes/0", "targetNs", "classes[0]: "),
        ("/familyInfo", "fixedCost", "familyInfo: "),
        ("/familyInfo", "pushRate", "familyInfo: "),
        ("/familyInfo", "queueCap", "familyInfo: "),
        ("/obligations", "coldFrom", "obligations: "),
        ("/obligations", "warmAfterNs", "obligations: "),
        ("/obligations", "fallMultiple", "obligations: "),
    ];
    for (pointer, key, path) in required {
        let error = parse_settings(&without_key(pointer, key)).unwrap_err().to_string();
        assert_eq!(error, format!("{path}missing field `{key}`"));
    }
}

#[test]
fn error_names_the_path_of_an_invalid_value() {
    let error = parse_settings(&with_value("/familyInfo/pushRate", "fast".into())).unwrap_err().to_string();
    assert_eq!(error, r#"familyInfo.pushRate: invalid type: string "fast", expected f64"#);
    let error = parse_settings(&with_value("/obligations/coldFrom", (-1).into())).unwrap_err().to_string();
    assert_eq!(error, "obligations.coldFrom: invalid value -1, expected a number of at least 0");
    let error = parse_settings(&with_value("/peersTotal", 1.5.into())).unwrap_err().to_string();
    assert_eq!(error, "peersTotal: invalid value 1.5, expected an integer from 0 to 4294967295");
}

#[test]
fn registry_mode_is_push_or_ask() {
    assert!(parsed(&with_value("/membershipMode", "push".into())).deployment.list_pushed);
    assert!(!parsed(&with_value("/membershipMode", "ask".into())).deployment.list_pushed);
    let error = parse_settings(&with_value("/membershipMode", "pull".into())).unwrap_err().to_string();
    assert_eq!(error, "membershipMode: unknown variant `pull`, expected `push` or `ask`");
}

#[test]
fn weights_are_known_if_nominal_or_rough() {
    for (value, are_known) in [("nominal", true), ("rough", true), ("none", false), ("", false)] {
        assert_eq!(
            parsed(&with_value("/weights", value.into())).deployment.weights_known,
            are_known,
            "{value:?}"
        );
    }
}

#[test]
fn admission_is_supported_if_the_level_kind_is_fraction() {
    for (value, is_supported) in [("fraction", true), ("rate", false), ("", false)] {
        let deployment = parsed(&with_value("/familyInfo/levelKind", value.into())).deployment;
        assert_eq!(deployment.admission_supported, is_supported, "{value:?}");
    }
}

#[test]
fn settings_without_request_classes_or_with_too_many_are_rejected() {
    let error = parse_settings(&with_value("/classes", Value::Array(Vec::new()))).unwrap_err().to_string();
    assert_eq!(error, "classes: invalid length 0, expected 1 to 64 request classes");
    let class = every_key()["classes"][0].clone();
    let error =
        parse_settings(&with_value("/classes", Value::Array(vec![class; 65]))).unwrap_err().to_string();
    assert_eq!(error, "classes: invalid length 65, expected 1 to 64 request classes");
}
