//! The program as it is started, spoken to over loopback sockets by stand-ins for all it meets.

mod stand_ins;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use stand_ins::*;
use std::io::{BufRead, Write};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_faulty_configuration_names_its_key() {
    let refuses = |text: &str, expected: &str| {
        let file = ConfigurationFile::write(text);
        let output = command(&file).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(said.contains(expected), "{said:?} lacks {expected:?}");
    };
    refuses("{ no JSON", "line 1");
    type Change = fn(&mut Value);
    let cases: [(Change, &str); 11] = [
        (|file| file["settings"]["familyInfo"]["fixedCost"] = json!("eight"), "familyInfo.fixedCost"),
        (|file| _ = file["settings"]["familyInfo"].as_object_mut().unwrap().remove("queueCap"), "queueCap"),
        (|file| file["settings"]["classes"][1]["targetNs"] = json!(-4), "classes[1].targetNs"),
        (|file| file["settings"]["membershipMode"] = json!("guess"), "membershipMode"),
        (|file| file["settings"]["familyInfo"]["queueCap"] = json!(-1), "queueCap"),
        (|file| file["settings"]["classes"] = json!([]), "classes"),
        (|file| file["listen"] = json!("here"), "listen"),
        (|file| _ = file.as_object_mut().unwrap().remove("discovery"), "PROXY_DISCOVERY"),
        (|file| file["distributor"] = json!({}), "distributor"),
        (|file| file["limits"] = json!({"sockets": 3}), "limits.sockets"),
        (|file| file["seed"] = json!("not hexadecimal"), "seed"),
    ];
    for (change, expected) in cases {
        let mut file = configuration();
        change(&mut file);
        refuses(&file.to_string(), expected);
    }
    let gone = ConfigurationFile("/nowhere/at/all.json".into());
    let output = command(&gone).output().unwrap();
    assert!(String::from_utf8_lossy(&output.stderr).contains("PROXY_CONFIG"));
}

#[test]
fn a_drain_goes_from_the_list_to_the_store() {
    let (mut relay, mut discovery, mut program) = all();
    program.connect().pings();
    let watch = discovery.introduce();
    let _news = relay.introduce();
    relay.answer_until("SYNC").carried_out();
    watch.list(42, false, &["active", "leaving"]);
    let call = relay.answer_until("OUT,s-1;");
    assert!(call.line.contains("SET,1,s-1,0") && call.line.contains("SET,4,s-1,0"), "{}", call.line);
    call.carried_out();
    kill_process(Pid::from_child(&program.child), Signal::TERM).unwrap();
    assert!(program.ends().success());
}

#[test]
fn what_collectors_report_is_acted_on() {
    let (mut relay, mut discovery, program) = all();
    let _watch = discovery.introduce();
    let _news = relay.introduce();
    relay.answer_until("SYNC").carried_out();
    let mut collector = program.connect();
    collector.says(r#"{"@type":"SOURCE","az":"north"}"#);
    // One that fails all it is asked, quickly, in between lines that say nothing of use.
    let end = Instant::now() + PATIENCE;
    while !relay.heard.arrives.try_iter().any(|said| {
        let out = said.line.contains("OUT,s-1;");
        said.carried_out();
        out
    }) {
        assert!(Instant::now() < end, "s-1 is not withdrawn");
        for line in [
            r#"{"@type":"LOAD","az":"north","host":"s-0","n":9,"bad":0,"avg":41.7,"window":100.0}"#,
            r#"{"@type":"LOAD","az":"north","host":"s-1","n":9,"bad":9,"avg":0.0,"window":100.0}"#,
            r#"{"@type":"LOAD","az":"north","host":"s-2","n":9,"bad":0,"avg":41.7,"window":100.0}"#,
            r#"{"@type":"SHARD","partition":1,"kind":"lookup","n":9,"bad":9,"window":100.0}"#,
            r#"{"@type":"LOAD","az":"north"}"#,
        ] {
            collector.says(line);
        }
        thread::sleep(Duration::from_millis(100));
    }
    collector.pings();
}

#[test]
fn a_call_is_repeated_until_its_outcome_is_known() {
    let (mut relay, mut discovery, _program) = all();
    let watch = discovery.introduce();
    let _news = relay.introduce();
    relay.answer_until("SYNC").carried_out();
    watch.list(42, false, &["active", "leaving"]);
    let first = relay.answer_until("OUT,s-1;");
    let line = first.line.clone();
    let mut way = first.way;
    // Silence; a break; half an answer and a break; something that is no answer; a refusal for now.
    for (answer, ends) in
        [("", false), ("", true), ("OK 1", true), ("HELLO\r\n", false), ("ERR unavailable\r\n", false)]
    {
        _ = way.write_all(answer.as_bytes());
        if ends {
            _ = way.shutdown(std::net::Shutdown::Both);
        }
        let again = relay.call("APPLY ");
        assert_eq!(again.line, line, "after {answer:?}");
        way = again.way;
    }
    // A late answer on an old connection is nobody's.
    Said { line, way }.carried_out();
}

#[test]
fn news_are_asked_for_again_when_they_break_off() {
    let (mut relay, mut discovery, mut program) = all();
    let _watch = discovery.introduce();
    let stands = |line: &String| line.contains("proxies=3 slices=6 ");
    let mut news = relay.introduce();
    program.log.wait("a snapshot", stands);
    // Half a line and the end; what can't be read; silence (no sign of life for seconds).
    for (last, ends) in [("* CLOSED 2", true), ("* WHAT 7\r\n", false), ("\u{0}\r\n", false), ("", false)] {
        news.write_all(last.as_bytes()).unwrap();
        if ends {
            news.shutdown(std::net::Shutdown::Both).unwrap();
        }
        news = relay.introduce();
        program.log.wait("a snapshot", stands);
    }
}

#[test]
fn the_list_is_watched_again_when_it_is_lost() {
    let (_relay, mut discovery, program) = all();
    discovery.introduce().list(43, false, &["active"]); // and the answer ends
    let watch = discovery.watch(43);
    watch.say.send("{\"version\":44,\"full\":false,\"ser".into()).unwrap();
    drop(watch); // cut in half, it counts for nothing
    let watch = discovery.watch(43);
    watch.say.send("\nno list\n".into()).unwrap();
    let watch = discovery.watch(0); // who says such things may have said wrong ones before
    watch.list(45, true, &["active"]);
    let silent = discovery.watch(45); // silence
    program.connect().pings();
    drop((watch, silent));
}

#[test]
fn all_ways_may_fail_at_once() {
    let (mut relay, mut discovery, program) = all();
    let watch = discovery.introduce();
    let news = relay.introduce();
    relay.answer_until("SYNC").carried_out();
    watch.list(42, false, &["leaving"]);
    let open = relay.answer_until("OUT,s-0;");
    drop(watch);
    _ = news.shutdown(std::net::Shutdown::Both);
    _ = open.way.shutdown(std::net::Shutdown::Both);
    let _strangers: Vec<_> = (0..40).map(|_| program.connect()).collect();
    // All are back, and more has happened: what was open is carried out, then what is new.
    let watch = discovery.watch(42);
    watch.list(43, false, &["leaving", "leaving"]);
    let _news = relay.introduce();
    relay.call("OUT,s-0;").carried_out();
    let call = relay.answer_until("OUT,s-1;");
    assert!(call.line.contains("SET,1,s-1,0") && call.line.contains("SET,4,s-1,0"), "{}", call.line);
}

#[test]
fn strangers_cost_nobody_else_a_zone() {
    let (relay, discovery) = (Relay::start(), Discovery::start());
    let program = Program::start_with(&relay, &discovery, |file| {
        file["limits"] = json!({"sockets": 128, "memory_mb": 31.5});
    });
    let mut collector = program.connect();
    collector.joins();
    let mut strangers: Vec<_> = (0..64).map(|_| program.connect()).collect();
    collector.pings();
    assert!(strangers[0].is_let_go(), "64 strangers fit where 32 connections may be");
    let held = || std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap().count();
    assert!(held() < 64, "{} descriptors", held());
    collector.pings();
}

#[test]
fn whoever_is_of_no_use_hears_so_and_goes() {
    let (_relay, _discovery, mut program) = all();
    let mut collector = program.connect();
    collector.joins();
    let met = r#"{"@type":"LOAD","az":"north","host":"s-0","n":9,"bad":0,"avg":41.7,"window":100.0}"#;
    for line in [
        "GET / HTTP/1.1\r\nHost: x\r\n\r",
        "{\"@type\":",
        "\0\0\0\u{7f}",
        met,
        r#"{"@type":"SOURCE","az":"nowhere"}"#,
        r#"{"@type":"SUBSCRIBE","sidecar":3,"az":"north","share":1.5,"standing":true}"#,
        r#"{"@type":"SET","partition":1,"host":"s-0","weight":1.0}"#,
    ] {
        let mut stranger = program.connect();
        stranger.says(line);
        let mut answer = String::new();
        _ = stranger.reader.read_line(&mut answer);
        assert!(answer.starts_with(r#"{"@type":"NACK""#), "{line}: {answer}");
        assert!(stranger.is_let_go());
    }
    // Nothing, half a line, no end of a line, a sign of life now and then: all gain no time.
    let began = Instant::now();
    let mut strangers: Vec<_> = (0..4).map(|_| program.connect()).collect();
    strangers[1].stream.write_all(b"{\"@type\":\"SOU").unwrap();
    while strangers[2].stream.write_all(&[b'x'; 4096]).is_ok() {}
    while strangers[3].stream.write_all(b"{\"@type\":\"PING\"}\n").is_ok() {
        thread::sleep(Duration::from_millis(20));
    }
    assert!(strangers.iter_mut().all(|stranger| stranger.let_go_in(Duration::from_millis(10))));
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    collector.pings();
    // A spoilt report is passed over; one that can't be read ends the connection, so that it comes back.
    collector
        .says(r#"{"@type":"LOAD","az":"north","host":"s-0","n":"nan","bad":0,"avg":41.7,"window":100.0}"#);
    program.log.wait("a note", |line: &String| line.contains("report ignored"));
    collector.pings();
    collector.says(&format!("{}{met}", &met[..40]));
    assert!(collector.is_let_go());
}

#[test]
fn a_new_configuration_moves_calls_news_and_watch() {
    let (mut relay, mut discovery, mut program) = all();
    let watch = discovery.introduce();
    let _news = relay.introduce();
    relay.answer_until("SYNC").carried_out();
    watch.list(42, false, &["active", "leaving"]);
    let open = relay.answer_until("OUT,s-1;");
    let mut file = configuration();
    for (text, key) in [("{\"name\":", "PROXY_CONFIG"), ("{\"distributor\":{}}", "distributor")] {
        program.reads_anew(text);
        program
            .log
            .wait(key, |line: &String| line.contains("the former configuration stays") && line.contains(key));
        program.connect().pings();
    }
    for round in 0..2 {
        // The second time the variable names what the file named in between.
        let (mut second, mut agent) = (Relay::start(), Discovery::start());
        file["distributor"]["address"] = json!(second.address.to_string());
        file["discovery"] = json!(agent.address.to_string());
        file["limits"]["sockets"] = json!(500 + round);
        program.reads_anew(&file.to_string());
        program.log.wait("limits", |line: &String| {
            line.contains("a changed configuration key needs a restart key=limits")
        });
        let watch = agent.watch(42 + round);
        _ = open.way.shutdown(std::net::Shutdown::Both);
        let _news = second.introduce();
        if round == 0 {
            let again = second.call("APPLY ");
            assert_eq!(again.line, open.line, "the open call is the first at the new address");
            again.carried_out();
        }
        watch.list(43 + round, false, &["leaving", "leaving"]);
        if round == 0 {
            second.answer_until("OUT,s-0;").carried_out();
        }
    }
    kill_process(Pid::from_child(&program.child), Signal::TERM).unwrap();
    assert!(program.ends().success());
}

#[test]
fn it_ends_at_once_though_nobody_answers() {
    let (mut relay, _discovery, mut program) = all();
    let _silent = relay.watcher();
    kill_process(Pid::from_child(&program.child), Signal::TERM).unwrap();
    assert!(program.ends().success());
}

/// Another customer's forms of the same settings; a list from a former life that can't be read.
#[test]
fn settings_in_other_forms_start_as_well() {
    type Change = fn(&mut Value);
    let cases: [(Change, &str); 8] = [
        (|file| file["settings"]["classes"][0]["targetNs"] = json!(1.2e9), "fine"),
        (|file| file["settings"]["familyInfo"]["tenureNs"] = json!(0.5), "fine"),
        (|file| file["settings"]["familyInfo"]["updateCap"] = json!(12.0), "fine"),
        (|file| file["settings"]["familyInfo"]["partitionsN"] = json!(1024.0), "fine"),
        (|file| file["settings"]["obligations"]["warmAfterNs"] = json!(1e30), "fine"),
        (|file| file["settings"]["familyInfo"]["updateCap"] = json!(-1), "familyInfo.updateCap"),
        (|file| file["settings"]["peersTotal"] = json!(2.5), "peersTotal"),
        (
            |file| file["known"] = json!({"version": 3, "full": true, "servers": [{"id": 7}]}),
            "known endpoint list ignored",
        ),
    ];
    for (change, expected) in cases {
        let mut file = configuration();
        change(&mut file);
        let file = ConfigurationFile::write(&file.to_string());
        let output = command(&file).arg("--check").output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr) + String::from_utf8_lossy(&output.stdout);
        assert!(said.contains(expected), "{said:?} lacks {expected:?}");
        assert_eq!(output.status.success(), !expected.contains('.') && expected != "peersTotal", "{said}");
    }
}
