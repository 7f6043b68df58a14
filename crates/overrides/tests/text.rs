//! The text formats of durations, slices, wall-clock times and overrides, and the error messages for invalid text.

use whinwall_overrides::validation::validate;
use whinwall_overrides::{text, EndCause, InvalidField, OverrideError, OverrideKind};
use whinwall_policy::time::{Moment, Span};

const DAY_S: u64 = 86_400;

fn seconds(count: u64) -> Span {
    Span::ns(count * 1_000_000_000)
}

#[test]
fn durations_are_parsed_in_days_hours_minutes_and_seconds() {
    assert_eq!(text::parse_duration("90s"), Ok(seconds(90)));
    assert_eq!(text::parse_duration("30m"), Ok(seconds(1_800)));
    assert_eq!(text::parse_duration("1h30m"), Ok(seconds(5_400)));
    assert_eq!(text::parse_duration("2d3h4m5s"), Ok(seconds(2 * DAY_S + 3 * 3_600 + 4 * 60 + 5)));
}

#[test]
fn durations_are_formatted_in_days_hours_minutes_and_seconds() {
    assert_eq!(text::format_duration(seconds(2 * DAY_S + 3 * 3_600 + 4 * 60 + 5)), "2d3h4m5s");
    assert_eq!(text::format_duration(seconds(90)), "1m30s");
    assert_eq!(text::format_duration(Span::ms(999)), "0s");
}

#[test]
fn invalid_duration_is_rejected_with_its_message() {
    let expected = "\"30m1h\" is no span of time; write it like 90s, 30m, 1h30m or 2d";
    assert_eq!(text::parse_duration("30m1h").unwrap_err().to_string(), expected);
}

#[test]
fn slices_are_parsed_as_a_number_or_a_range() {
    assert_eq!(text::parse_slices("17"), Ok((17, 17)));
    assert_eq!(text::parse_slices("4-9"), Ok((4, 9)));
}

#[test]
fn slices_are_formatted_as_a_number_or_a_range() {
    assert_eq!(text::format_slices(17, 17), "17");
    assert_eq!(text::format_slices(4, 9), "4-9");
}

#[test]
fn invalid_slices_are_rejected_with_their_messages() {
    let no_range = "\"x\" is no slice or range of slices; write it like 17 or 4-9";
    assert_eq!(text::parse_slices("x").unwrap_err().to_string(), no_range);
    assert_eq!(text::parse_slices("9-4").unwrap_err().to_string(), "\"9-4\" ends before it begins");
}

#[test]
fn wall_time_is_parsed_and_formatted_as_rfc_3339() {
    let at = Moment::at_ns(1_796_162_400_000_000_000);
    assert_eq!(text::parse_wall_time("2026-12-01T22:00:00Z"), Ok(at));
    assert_eq!(text::parse_wall_time("2026-12-01T23:00:00+01:00"), Ok(at));
    assert_eq!(text::format_wall_time(at), "2026-12-01T22:00:00Z");
}

#[test]
fn invalid_wall_time_is_rejected_with_its_message() {
    let message = text::parse_wall_time("tomorrow").unwrap_err().to_string();
    assert!(
        message.starts_with("invalid time \"tomorrow\", expected a time like 2026-12-01T22:00:00Z: "),
        "{message}"
    );
    let out_of_range = text::parse_wall_time("1960-01-01T00:00:00Z").unwrap_err().to_string();
    assert_eq!(
        out_of_range,
        "time \"1960-01-01T00:00:00Z\" is out of range, expected 1970-01-01 to 2554-07-21"
    );
}

#[test]
fn kinds_are_displayed_as_their_effect() {
    let replica = || "s-3".to_string();
    assert_eq!(OverrideKind::Weight { replica: replica(), factor: 0.5 }.to_string(), "weight 0.5 on s-3");
    assert_eq!(OverrideKind::Out { replica: replica() }.to_string(), "s-3 out of service");
    assert_eq!(
        OverrideKind::Pin { first: 4, last: 9, replica: replica() }.to_string(),
        "slices 4-9 pinned to s-3"
    );
}

#[test]
fn end_causes_are_displayed_with_author_or_replacing_id() {
    assert_eq!(EndCause::Expired.to_string(), "expired");
    assert_eq!(EndCause::Cleared { by: "jo".into() }.to_string(), "cleared by jo");
    assert_eq!(EndCause::Replaced { by: "b-2".into() }.to_string(), "replaced by b-2");
    assert_eq!(EndCause::ClockWentBack.to_string(), "the clock went back over a restart");
}

#[test]
fn errors_are_displayed_with_field_id_or_limit() {
    let id = || "a".to_string();
    assert_eq!(OverrideError::from(InvalidField::new("for", "too long")).to_string(), "for: too long");
    assert_eq!(OverrideError::IdInUse { id: id() }.to_string(), "a is another override already");
    assert_eq!(
        OverrideError::LimitReached { limit: 3 }.to_string(),
        "3 overrides stand already, which is the most"
    );
    assert_eq!(OverrideError::UnknownId { id: id() }.to_string(), "there is no override a");
}

#[test]
fn invalid_fields_are_rejected_with_their_names_and_messages() {
    let out = OverrideKind::Out { replica: "s".into() };
    let invalid = |field, reason: &str| Err(InvalidField { field, reason: reason.to_string() });
    let id = "\"a b\" is not 1 to 64 letters, digits, dots, dashes or underscores";
    assert_eq!(validate("a b", &out, "mb", "disk"), invalid("id", id));
    let no_replica = OverrideKind::Out { replica: String::new() };
    let replica = "it must have 1 to 128 bytes and no control characters";
    assert_eq!(validate("a", &no_replica, "mb", "disk"), invalid("server", replica));
    let author = "it must have 1 to 64 bytes and no control characters";
    assert_eq!(validate("a", &out, "", "disk"), invalid("author", author));
    let reason = "it must have 1 to 200 bytes and no control characters";
    assert_eq!(validate("a", &out, "mb", ""), invalid("reason", reason));
    let heavy = OverrideKind::Weight { replica: "s".into(), factor: 101.0 };
    assert_eq!(validate("a", &heavy, "mb", "disk"), invalid("factor", "101 is not from 0.01 to 100"));
    let backward = OverrideKind::Pin { first: 9, last: 4, replica: "s".into() };
    assert_eq!(validate("a", &backward, "mb", "disk"), invalid("slices", "9-4 ends before it begins"));
}
