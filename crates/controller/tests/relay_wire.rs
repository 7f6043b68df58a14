//! The exact text between the controller and the relay. Each expected line is written out, so that a renamed
//! word, a moved field or another separator fails here.

use whinwall_protocol::relay::{
    decode_answer, decode_event, encode_call, Answer, Command, RelayEvent, CALL_LIMIT, WATCH,
};

fn news(line: &str) -> RelayEvent {
    decode_event(line).unwrap_or_else(|why| panic!("{line:?}: {why}"))
}

fn why_no_news(line: &str) -> String {
    decode_event(line).unwrap_err().to_string()
}

fn why_no_answer(line: &str) -> String {
    decode_answer(line).unwrap_err().to_string()
}

#[test]
fn relay_commands_are_encoded_to_the_letter() {
    let line = Command::SetEndpoint { slice: 12, replica: "s-5be2a07c".into(), weight: 0.25 };
    assert_eq!(line.encode(false), "SET,12,s-5be2a07c,0.25");
    let withdrawn = Command::Withdraw { replica: "s-1".into(), out: true };
    assert_eq!(withdrawn.encode(false), "OUT,s-1");
    let restored = Command::Withdraw { replica: "s-1".into(), out: false };
    assert_eq!(restored.encode(false), "IN,s-1");
}

#[test]
fn limits_are_encoded_to_the_letter() {
    let limit = |slice, request_classes: &[&str], share, retries| {
        let request_classes = request_classes.iter().map(std::string::ToString::to_string).collect();
        Command::SetAdmission { slice, request_classes, share, retries }.encode(false)
    };
    assert_eq!(limit(Some(7), &["lookup", "write"], 0.5, 3), "LIMIT,7,lookup+write,0.5,3");
    assert_eq!(limit(Some(7), &["lookup"], 0.5, 3), "LIMIT,7,lookup,0.5,3");
    assert_eq!(limit(None, &[], 1.0, 0), "LIMIT,*,*,1,0");
}

#[test]
fn a_version_is_encoded_with_whether_all_proxies_answer_it() {
    let version = Command::Sync { number: 65535 };
    assert_eq!(version.encode(true), "SYNC,65535,1");
    assert_eq!(version.encode(false), "SYNC,65535,0");
}

#[test]
fn weights_are_encoded_without_needless_digits() {
    let set = |weight| Command::SetEndpoint { slice: 0, replica: "s".into(), weight }.encode(false);
    assert_eq!(set(0.0), "SET,0,s,0");
    assert_eq!(set(1.0), "SET,0,s,1");
    assert_eq!(set(0.1), "SET,0,s,0.1");
    assert_eq!(set(1e-7), "SET,0,s,0.0000001");
}

#[test]
fn a_call_is_encoded_to_the_letter() {
    assert_eq!(encode_call(&["SET,1,s-1,1", "OUT,s-2", "SYNC,9,0"]), "APPLY SET,1,s-1,1;OUT,s-2;SYNC,9,0");
    assert_eq!(encode_call(&["SYNC,9,1"]), "APPLY SYNC,9,1");
}

#[test]
fn a_call_holds_sixty_thousand_bytes_of_orders() {
    assert_eq!(CALL_LIMIT, 60_000);
}

#[test]
fn the_request_for_news_is_one_word() {
    assert_eq!(WATCH, "WATCH");
}

#[test]
fn the_first_news_and_a_sign_of_incarnation_are_decoded() {
    assert_eq!(news("OK"), RelayEvent::Begins);
    assert_eq!(news("*"), RelayEvent::Alive);
}

#[test]
fn a_proxy_that_joins_is_decoded_with_whether_it_has_no_table() {
    for set in ["1", "true", "yes"] {
        assert_eq!(
            news(&format!("* SUBSCRIBE 4 a 120.5 {set}")),
            RelayEvent::Joined { proxy: 4, bare: true }
        );
    }
    for unset in ["0", "false", "no"] {
        assert_eq!(
            news(&format!("* SUBSCRIBE 4 a 120.5 {unset}")),
            RelayEvent::Joined { proxy: 4, bare: false }
        );
    }
}

#[test]
fn a_proxy_that_leaves_is_decoded() {
    assert_eq!(news("* CLOSED 4"), RelayEvent::Left { proxy: 4 });
}

#[test]
fn an_acknowledged_version_is_decoded() {
    assert_eq!(news("* ACK 4 65535"), RelayEvent::Acked { proxy: 4, version: 65535 });
}

#[test]
fn a_slice_granted_and_one_revoked_are_decoded() {
    assert_eq!(news("* GRANT 31 1"), RelayEvent::Granted { slice: 31 });
    assert_eq!(news("* GRANT 31 0"), RelayEvent::Revoked { slice: 31 });
}

#[test]
fn a_row_of_a_table_is_decoded() {
    let row = RelayEvent::Line { slice: 31, replica: "s-5be2a07c".into(), weight: 0.75 };
    assert_eq!(news("* ROW 31 s-5be2a07c 0.75"), row);
}

#[test]
fn news_words_are_read_in_their_own_case_only() {
    for line in ["ok", "* subscribe 4 a 1 1", "* closed 4", "* ack 4 1", "* grant 31 1", "* row 31 s 1"] {
        assert!(decode_event(line).is_err(), "{line}");
    }
}

#[test]
fn errors_of_news_name_the_missing_field() {
    assert_eq!(why_no_news("HELLO"), r#"no news, in "HELLO""#);
    assert_eq!(why_no_news("* WHAT 1"), r#"news of an unknown kind, in "* WHAT 1""#);
    assert_eq!(why_no_news("* SUBSCRIBE"), r#"no proxy, in "* SUBSCRIBE""#);
    assert_eq!(why_no_news("* SUBSCRIBE 4"), r#"no place, in "* SUBSCRIBE 4""#);
    assert_eq!(why_no_news("* SUBSCRIBE 4 a"), r#"no share, in "* SUBSCRIBE 4 a""#);
    assert_eq!(why_no_news("* SUBSCRIBE 4 a 1"), r#"no standing, in "* SUBSCRIBE 4 a 1""#);
    assert_eq!(why_no_news("* ACK 4"), r#"no mark, in "* ACK 4""#);
    assert_eq!(why_no_news("* GRANT"), r#"no slice, in "* GRANT""#);
    assert_eq!(why_no_news("* GRANT 3"), r#"no yes, in "* GRANT 3""#);
    assert_eq!(why_no_news("* ROW 3"), r#"no server, in "* ROW 3""#);
    assert_eq!(why_no_news("* ROW 3 s"), r#"no weight, in "* ROW 3 s""#);
    assert_eq!(why_no_news("* ROW 3 s -1"), r#"weight, in "* ROW 3 s -1""#);
    assert_eq!(why_no_news("* CLOSED x"), r#""x" is no usable number, in "* CLOSED x""#);
}

#[test]
fn an_answer_with_the_number_of_orders_taken_is_decoded() {
    assert_eq!(decode_answer("OK 3"), Ok(Answer::Taken(3)));
    assert_eq!(decode_answer("OK 0"), Ok(Answer::Taken(0)));
}

#[test]
fn an_answer_that_no_call_of_this_text_is_ever_taken_is_decoded() {
    for line in ["bad_request", "ERR bad_request", "ERR bad_request: no such server"] {
        assert_eq!(decode_answer(line), Ok(Answer::Unusable(line.into())));
    }
}

#[test]
fn an_answer_that_asks_for_a_later_call_is_decoded() {
    for word in ["too_many_calls", "unavailable", "out_of_date"] {
        for line in [word.to_string(), format!("ERR {word}"), format!("ERR {word}: later")] {
            assert_eq!(decode_answer(&line), Ok(Answer::NotNow(line.clone())));
        }
    }
}

#[test]
fn other_answers_are_refused() {
    for line in ["", "OK", "OK x", "OK 1 2", "ok 3", "ERR", "ERR toobusy"] {
        assert_eq!(why_no_answer(line), format!("no answer to a call, in {line:?}"));
    }
}
