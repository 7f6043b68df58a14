//! Overrides through the program as it is started: set at its management front, seen in the orders that come
//! to the relay, ended on time, kept over kills.

mod support;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};
use support::fake_fleet::RelayBehaviour;
use support::managed_controller::{out_of_service, ManagedController};
use whinwall_management_api::client::ClientError;
use whinwall_management_api::wire::{KindName, SetBody};

const SECOND: Duration = Duration::from_secs(1);

fn pin(slices: &str, replica: &str, lasts: &str) -> SetBody {
    SetBody { kind: KindName::Pin, slices: Some(slices.into()), ..out_of_service(replica, lasts) }
}

fn until(file: &str, replica: &str, in_s: u64) -> String {
    let end = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_secs() + in_s;
    let end = whinwall_policy::time::Moment::at_ns(end * 1_000_000_000);
    let end = whinwall_overrides::text::format_wall_time(end);
    format!("<out id=\"{file}\" server=\"{replica}\" author=\"mb\" reason=\"disk\" until=\"{end}\"/>")
}

#[test]
fn override_is_listed_with_its_expiry_and_reverts_within_a_second() {
    let mut managed = ManagedController::start(4, 12);
    let set = managed.set("a", &out_of_service("s-1", "2s")).unwrap();
    let began = Instant::now();
    assert_eq!((set.outcome.as_str(), set.durability.as_str()), ("set", "on disk"));
    managed.fleet.wait_for_command("OUT,s-1");
    let item = managed.wait_for_item("a", |item| item.state == "in force");
    assert!(item.remaining_s <= 2.0 && item.author == "mb" && item.reason == "disk", "{item:?}");
    managed.fleet.wait_until_unused("s-1");
    let back = managed.fleet.wait_for_command("IN,s-1") - began;
    assert!(back > Duration::from_millis(1900) && back < Duration::from_secs(2) + SECOND, "{back:?}");
    let item = managed.item("a");
    assert!(item.state == "ended" && item.cause.unwrap().starts_with("expired at"));
    // Set again with the same id it does not stand again.
    assert_eq!(managed.set("a", &out_of_service("s-1", "2s")).unwrap().outcome, "set before");
}

#[test]
fn slice_pins_apply_and_clear_at_once() {
    let mut managed = ManagedController::start(4, 12);
    managed.set("p", &pin("4-6", "s-3", "1h")).unwrap();
    managed.wait_for_item("p", |item| item.state == "in force");
    let there = |managed: &ManagedController, slice| {
        managed.fleet.tables.lock().unwrap()[&slice].get("s-3").is_some_and(|weight| *weight >= 1.0)
    };
    assert!((4..=6).all(|slice| there(&managed, slice)));
    let cleared = managed.clear("p").unwrap();
    assert_eq!((cleared.outcome.as_str(), cleared.durability.as_str()), ("cleared", "on disk"));
    assert_eq!(managed.clear("p").unwrap().outcome, "ended before");
    assert!(matches!(managed.clear("q"), Err(ClientError::Rejected { code: 404, .. })));
    managed.restart();
    assert_eq!(managed.item("p").state, "ended", "and stays so over a kill");
}

#[test]
fn override_survives_a_kill_and_downtime_counts() {
    let mut managed = ManagedController::start(4, 12);
    managed.set("a", &out_of_service("s-1", "3s")).unwrap();
    let began = Instant::now();
    managed.fleet.wait_for_command("OUT,s-1");
    managed.set("b", &out_of_service("s-2", "1h")).unwrap();
    managed.fleet.wait_for_command("OUT,s-2");
    managed.program = None;
    thread::sleep(SECOND);
    managed.restart();
    assert_eq!(managed.item("a").remaining_s.ceil(), (3.0 - began.elapsed().as_secs_f64()).ceil());
    managed.wait_for_item("a", |item| item.state == "ended");
    assert!(began.elapsed() < Duration::from_secs(3) + SECOND);
    managed.wait_for_item("b", |item| item.state == "in force");
    // Ended while nobody was there.
    managed.set("c", &pin("0", "s-3", "1s")).unwrap();
    managed.program = None;
    thread::sleep(SECOND);
    managed.restart();
    assert_eq!(managed.item("c").state, "ended");
}

/// Killed again and again while orders are on their way: what was acknowledged is there, and what was said
/// twice is there once.
#[test]
fn acknowledged_override_is_durable_and_a_retry_is_idempotent() {
    let mut managed = ManagedController::start(4, 12);
    let mut acknowledged = Vec::new();
    for round in 0..6u64 {
        let pid = Pid::from_child(&managed.program().child);
        let killer = thread::spawn(move || {
            thread::sleep(Duration::from_millis(3 + 7 * round));
            kill_process(pid, Signal::KILL).unwrap();
        });
        let mut open = None;
        for n in 0.. {
            let id = format!("r{round}-{n}");
            match managed.set(&id, &pin(&format!("{n}"), "s-1", "1h")) {
                Ok(_) => acknowledged.push(id),
                Err(_) => {
                    open = Some((id, n));
                    break;
                }
            }
        }
        killer.join().unwrap();
        managed.restart();
        let (id, n) = open.unwrap();
        managed.set(&id, &pin(&format!("{n}"), "s-1", "1h")).unwrap();
        acknowledged.push(id);
        let list = managed.list();
        for id in &acknowledged {
            assert_eq!(list.iter().filter(|item| item.id == *id).count(), 1, "{id} in round {round}");
        }
    }
    assert!(acknowledged.len() > 6, "some were acknowledged before a kill: {}", acknowledged.len());
}

#[test]
fn override_that_expires_during_a_drain_does_not_reinstate_the_replica() {
    let mut managed = ManagedController::start(4, 12);
    managed.set("a", &out_of_service("s-1", "2s")).unwrap();
    managed.fleet.wait_for_command("OUT,s-1");
    managed.fleet.set_listed_state(1, "leaving", 0);
    managed.wait_for_item("a", |item| item.state == "ended");
    thread::sleep(SECOND);
    assert!(!managed.fleet.has_received("IN,s-1"));
    managed.fleet.wait_until_unused("s-1");
}

#[test]
fn replica_that_rejoins_under_its_name_stays_out_of_service() {
    let mut managed = ManagedController::start(4, 12);
    managed.set("a", &out_of_service("s-1", "1h")).unwrap();
    managed.fleet.wait_for_command("OUT,s-1");
    managed.fleet.set_listed_state(1, "left", 0);
    managed.wait_for_item("a", |item| item.state == "absent");
    managed.fleet.set_listed_state(1, "active", 1_900_000_000_000);
    managed.wait_for_item("a", |item| item.state == "in force");
    managed.fleet.wait_until_unused("s-1");
}

#[test]
fn override_expires_on_time_while_the_relay_is_unreachable_or_silent() {
    for behaviour in [RelayBehaviour::Unreachable, RelayBehaviour::Silent] {
        let mut managed = ManagedController::start(4, 12);
        managed.set("a", &out_of_service("s-1", "2s")).unwrap();
        let began = Instant::now();
        managed.fleet.wait_for_command("OUT,s-1");
        managed.fleet.set_relay_behaviour(behaviour);
        // A drain makes a call, whose outcome is unknown.
        managed.fleet.set_listed_state(2, "leaving", 0);
        managed.wait_for_item("a", |item| item.state == "ended");
        assert!(began.elapsed() < Duration::from_secs(2) + SECOND, "{:?}", began.elapsed());
        managed.fleet.set_relay_behaviour(RelayBehaviour::Responds);
        managed.fleet.wait_for_command("OUT,s-2");
        managed.fleet.wait_for_command("IN,s-1");
    }
}

#[test]
fn slice_keeps_an_endpoint_when_all_its_replicas_are_out_of_service() {
    let managed = ManagedController::start(3, 6);
    for replica in ["s-0", "s-1", "s-2"] {
        managed.set(replica, &out_of_service(replica, "1h")).unwrap();
    }
    managed.wait_for_item("s-0", |item| item.state == "in force");
    let second = managed.wait_for_item("s-1", |item| item.state == "suspended");
    assert!(second.cause.unwrap().starts_with("rule 1"));
    assert_eq!(managed.item("s-2").state, "suspended");
    assert!(managed.fleet.slices_on("s-1") + managed.fleet.slices_on("s-2") >= 6);
}

#[test]
fn operators_file_is_reloaded_and_an_invalid_one_changes_nothing() {
    let mut managed = ManagedController::start(4, 12);
    let hang_up = |managed: &mut ManagedController| {
        let pid = Pid::from_child(&managed.program().child);
        kill_process(pid, Signal::HUP).unwrap();
    };
    managed.write_operators_file(&format!("<overrides>\n{}\n</overrides>", until("f-1", "s-1", 3600)));
    hang_up(&mut managed);
    managed.fleet.wait_for_command("OUT,s-1");
    assert_eq!(managed.wait_for_item("f-1", |item| item.state == "in force").origin, "file");
    managed.write_operators_file("<overrides>\n<out id=\"f-2\" server=\"s-2\"/>\n</overrides>");
    hang_up(&mut managed);
    let line = managed.wait_for_log("configuration reload failed, the former configuration stays");
    assert!(line.contains("operators.xml: line 6, column 1: <out>"), "{line}");
    assert_eq!(managed.item("f-1").state, "in force");
    // One that can't be because of another is refused too, and the former stay.
    managed.set("f-3", &out_of_service("s-3", "1h")).unwrap();
    managed.write_operators_file(&format!("<overrides>{}</overrides>", until("f-3", "s-2", 3600)));
    hang_up(&mut managed);
    managed.wait_for_log("f-3 is another override already");
    assert_eq!(managed.item("f-1").state, "in force");
    managed.write_operators_file("<overrides/>");
    hang_up(&mut managed);
    managed.fleet.wait_for_command("IN,s-1");
    let cause = managed.item("f-1").cause.unwrap();
    assert!(cause.starts_with("cleared by the operators' file"), "{cause}");
}

#[test]
fn corrupt_store_file_is_set_aside_and_the_program_goes_on() {
    let mut managed = ManagedController::start(4, 12);
    managed.set("a", &out_of_service("s-1", "1h")).unwrap();
    managed.program = None;
    let store = managed.path("store").join("overrides.redb");
    let bytes = std::fs::read(&store).unwrap();
    std::fs::write(&store, &bytes[..bytes.len() / 2]).unwrap();
    let (command, file) = managed.command();
    managed.spawn(command, file);
    let line = managed.wait_for_log("override store file is corrupt");
    assert!(line.contains("overrides.redb.spoilt-1"), "{line}");
    managed.wait_for_log("override store read");
    assert!(managed.list().is_empty());
    managed.set("b", &out_of_service("s-2", "1h")).unwrap();
    managed.fleet.wait_for_command("OUT,s-2");
}

/// The disk's bound is the process's own here: the store can't grow, as on a full disk.
#[test]
fn full_disk_rejects_new_overrides_and_clearing_works() {
    let mut managed = ManagedController::start(4, 12);
    managed.set("a", &out_of_service("s-1", "1h")).unwrap();
    managed.program = None;
    let size = std::fs::metadata(managed.path("store").join("overrides.redb")).unwrap().len().div_ceil(512);
    let (plain, file) = managed.command();
    let mut bounded = std::process::Command::new("sh");
    bounded.arg("-c").arg(format!("trap '' XFSZ; ulimit -f {size}; exec \"$@\"")).arg("sh");
    bounded.arg(plain.get_program()).args(plain.get_args()).env_clear();
    bounded.envs(plain.get_envs().filter_map(|(key, value)| Some((key, value?))));
    bounded.stderr(Stdio::piped()).stdin(Stdio::null());
    managed.spawn(bounded, file);
    managed.wait_for_log("override store read");
    assert_eq!(
        managed.wait_for_item("a", |item| item.state == "in force").replica,
        "s-1",
        "what is kept is read"
    );
    let mut kept = Vec::new();
    let (refused, why) = (0..1000)
        .find_map(|n| {
            let (id, reason, factor) = (format!("w{n}"), "x".repeat(200), Some(1.5));
            let weight =
                SetBody { kind: KindName::Weight, factor, reason, ..out_of_service(&format!("s-{n}"), "1h") };
            match managed.set(&id, &weight) {
                Ok(_) => {
                    kept.push(id);
                    None
                }
                Err(why) => Some((id, why)),
            }
        })
        .expect("the store has grown beyond its bound");
    assert!(matches!(&why, ClientError::NotNow(why) if why.contains("not kept")), "{why}");
    let is_there = |managed: &ManagedController, id: &str| managed.list().iter().any(|item| item.id == id);
    assert!(!is_there(&managed, &refused));
    let cleared = managed.clear("a").unwrap();
    assert_eq!(cleared.item.state, "ended", "clearing asks for no disk: {cleared:?}");
    // With room again, all that was acknowledged is there, and what was refused is not.
    managed.program = None;
    managed.restart();
    assert!(kept.iter().all(|id| is_there(&managed, id)) && !is_there(&managed, &refused));
    managed.set(&refused, &out_of_service("s-2", "1h")).unwrap();
}

/// `list` right after a start missed acknowledged overrides, as it was answered before the store was read: here another
/// process holds the store's file, so that it can't be read for as long as the test wants.
#[test]
fn list_is_not_answered_before_the_store_is_read() {
    let mut managed = ManagedController::start(4, 12);
    managed.set("a", &out_of_service("s-1", "1h")).unwrap();
    managed.program = None;
    let mut holder = whinwall_override_store::OverrideStore::new(managed.path("store"));
    holder.open().unwrap();
    let (command, file) = managed.command();
    managed.spawn(command, file);
    managed.wait_for_log("override store unavailable");
    let early = managed.request(async |client| client.list().await);
    assert!(matches!(&early, Err(ClientError::NotNow(_))), "{early:?}");
    drop(holder);
    managed.wait_for_log("override store read");
    assert_eq!(managed.item("a").replica, "s-1");
}

/// Many ask for a long list without end while a replica drains: its orders are as quick as ever.
#[test]
fn flood_of_management_requests_does_not_delay_commands() {
    let mut managed = ManagedController::start(40, 120);
    for n in 0..120 {
        managed.set(&format!("p{n}"), &pin(&format!("{n}"), &format!("s-{}", n % 40), "1h")).unwrap();
    }
    let socket = managed.path("m.sock");
    let floods: Vec<_> = (0..8)
        .map(|_| {
            let socket = socket.clone();
            thread::spawn(move || {
                actix_rt::System::new().block_on(async {
                    let address = whinwall_management_api::client::ManagementAddress::Socket(socket);
                    let client = whinwall_management_api::client::Client::new(address, None);
                    for _ in 0..300 {
                        _ = client.list().await;
                    }
                });
            })
        })
        .collect();
    for n in 0..10 {
        let told = Instant::now();
        managed.fleet.set_listed_state(n, "leaving", 0);
        let took = managed.fleet.wait_for_command(&format!("OUT,s-{n}")) - told;
        assert!(took < SECOND, "{took:?}");
    }
    floods.into_iter().for_each(|flood| flood.join().unwrap());
}

#[test]
fn json_log_lines_name_their_spans() {
    let mut managed = ManagedController::start(3, 6);
    managed.program = None;
    let text = std::fs::read_to_string(managed.path("operators.xml")).unwrap();
    std::fs::write(managed.path("operators.xml"), text.replace("\"text\"", "\"json\"")).unwrap();
    let (mut command, file) = managed.command();
    command.env("WHINWALL_LOG", "debug");
    managed.spawn(command, file);
    let mut collector = managed.program().connect();
    collector.join_zone();
    collector
        .send_line(r#"{"@type":"LOAD","az":"north","host":"s-9","n":9,"bad":0,"avg":1.0,"window":100.0}"#);
    let line = managed.wait_for_log("report ignored");
    let line: Value = serde_json::from_str(&line).unwrap();
    assert_eq!(line["level"], json!("info"));
    let spans: Vec<_> = line["spans"].as_array().unwrap().iter().map(|span| span["name"].clone()).collect();
    assert_eq!(spans, ["iteration", "report"], "{line}");
}

#[test]
fn command_line_checks_files_and_prints_help() {
    let managed = ManagedController::start(3, 6);
    let run = |arguments: &[&str], change: &str| {
        let (plain, _file) = managed.command();
        let mut command = std::process::Command::new(plain.get_program());
        command.env_clear().envs(plain.get_envs().filter_map(|(key, value)| Some((key, value?))));
        if !change.is_empty() {
            std::fs::write(managed.path("operators.xml"), change).unwrap();
        }
        let output = command.args(arguments).output().unwrap();
        let said = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&said).into_owned())
    };
    let operators = managed.path("operators.xml");
    let operators = operators.to_str().unwrap();
    let (code, said) = run(&["--check", "--operators", operators], "");
    assert!(code == Some(0) && said.contains("are fine"), "{said}");
    let (code, said) =
        run(&["--check", "--operators", operators], "<operators version=\"1\">\n<stor/></operators>");
    assert!(code == Some(2) && said.contains("line 2, column 1: <stor>"), "{said}");
    let (code, said) = run(&["--operators", operators], "<operators");
    assert!(code == Some(2) && said.contains("operators.xml: line 1"), "{said}");
    let (code, said) = run(&["--help"], "");
    assert!(code == Some(0) && said.contains("--check"), "{said}");
    assert!(run(&["--version"], "").1.contains("whinwall-controller 0."));
    assert_eq!(run(&["--listen"], "").0, Some(2));
}
