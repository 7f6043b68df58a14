//! Overrides in the controller process: set through the management API, applied by commands to the relay, expired on
//! time, and kept after a kill.

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

const ONE_SECOND: Duration = Duration::from_secs(1);

/// The body of a request that pins slices to a replica for `duration`.
fn pin(slices: &str, replica: &str, duration: &str) -> SetBody {
    SetBody { kind: KindName::Pin, slices: Some(slices.into()), ..out_of_service(replica, duration) }
}

/// An element of the operators' file that takes a replica out of service for `seconds`.
fn out_element(id: &str, replica: &str, seconds: u64) -> String {
    let end = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_secs() + seconds;
    let end = whinwall_policy::time::Moment::at_ns(end * 1_000_000_000);
    let end = whinwall_overrides::text::format_wall_time(end);
    format!("<out id=\"{id}\" server=\"{replica}\" author=\"mb\" reason=\"disk\" until=\"{end}\"/>")
}

#[test]
fn override_is_listed_with_its_expiry_and_reverts_within_a_second() {
    let mut managed = ManagedController::start(4, 12);
    let set = managed.set("a", &out_of_service("s-1", "2s")).unwrap();
    let start = Instant::now();
    assert_eq!((set.outcome.as_str(), set.durability.as_str()), ("set", "on disk"));
    managed.fleet.wait_for_command("OUT,s-1");
    let item = managed.wait_for_item("a", |item| item.state == "in force");
    assert!(item.remaining_s <= 2.0 && item.author == "mb" && item.reason == "disk", "{item:?}");
    managed.fleet.wait_until_unused("s-1");
    let duration = managed.fleet.wait_for_command("IN,s-1") - start;
    assert!(
        duration > Duration::from_millis(1900) && duration < Duration::from_secs(2) + ONE_SECOND,
        "{duration:?}"
    );
    let item = managed.item("a");
    assert!(item.state == "ended" && item.cause.unwrap().starts_with("expired at"));
    // A repeated request with the same id does not set the override again.
    assert_eq!(managed.set("a", &out_of_service("s-1", "2s")).unwrap().outcome, "set before");
}

#[test]
fn slice_pins_apply_and_clear_at_once() {
    let mut managed = ManagedController::start(4, 12);
    managed.set("p", &pin("4-6", "s-3", "1h")).unwrap();
    managed.wait_for_item("p", |item| item.state == "in force");
    let is_assigned = |managed: &ManagedController, slice| {
        managed.fleet.tables.lock().unwrap()[&slice].get("s-3").is_some_and(|weight| *weight >= 1.0)
    };
    assert!((4..=6).all(|slice| is_assigned(&managed, slice)));
    let cleared = managed.clear("p").unwrap();
    assert_eq!((cleared.outcome.as_str(), cleared.durability.as_str()), ("cleared", "on disk"));
    assert_eq!(managed.clear("p").unwrap().outcome, "ended before");
    assert!(matches!(managed.clear("q"), Err(ClientError::Rejected { code: 404, .. })));
    managed.restart();
    assert_eq!(managed.item("p").state, "ended", "cleared override has not stayed ended after a kill");
}

#[test]
fn override_survives_a_kill_and_downtime_counts() {
    let mut managed = ManagedController::start(4, 12);
    managed.set("a", &out_of_service("s-1", "3s")).unwrap();
    let start = Instant::now();
    managed.fleet.wait_for_command("OUT,s-1");
    managed.set("b", &out_of_service("s-2", "1h")).unwrap();
    managed.fleet.wait_for_command("OUT,s-2");
    managed.program = None;
    thread::sleep(ONE_SECOND);
    managed.restart();
    assert_eq!(managed.item("a").remaining_s.ceil(), (3.0 - start.elapsed().as_secs_f64()).ceil());
    managed.wait_for_item("a", |item| item.state == "ended");
    assert!(start.elapsed() < Duration::from_secs(3) + ONE_SECOND);
    managed.wait_for_item("b", |item| item.state == "in force");
    // Expired while no controller ran.
    managed.set("c", &pin("0", "s-3", "1s")).unwrap();
    managed.program = None;
    thread::sleep(ONE_SECOND);
    managed.restart();
    assert_eq!(managed.item("c").state, "ended");
}

/// The process is killed repeatedly while requests are in flight. Acknowledged overrides must be listed, and a
/// retried request must set one override only.
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
        let mut unacknowledged = None;
        for n in 0.. {
            let id = format!("r{round}-{n}");
            match managed.set(&id, &pin(&format!("{n}"), "s-1", "1h")) {
                Ok(_) => acknowledged.push(id),
                Err(_) => {
                    unacknowledged = Some((id, n));
                    break;
                }
            }
        }
        killer.join().unwrap();
        managed.restart();
        let (id, n) = unacknowledged.unwrap();
        managed.set(&id, &pin(&format!("{n}"), "s-1", "1h")).unwrap();
        acknowledged.push(id);
        let list = managed.list();
        for id in &acknowledged {
            assert_eq!(list.iter().filter(|item| item.id == *id).count(), 1, "{id} in round {round}");
        }
    }
    assert!(acknowledged.len() > 6, "no override was acknowledged before a kill: {}", acknowledged.len());
}

#[test]
fn override_that_expires_during_a_drain_does_not_reinstate_the_replica() {
    let mut managed = ManagedController::start(4, 12);
    managed.set("a", &out_of_service("s-1", "2s")).unwrap();
    managed.fleet.wait_for_command("OUT,s-1");
    managed.fleet.set_listed_state(1, "leaving", 0);
    managed.wait_for_item("a", |item| item.state == "ended");
    thread::sleep(ONE_SECOND);
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
        let start = Instant::now();
        managed.fleet.wait_for_command("OUT,s-1");
        managed.fleet.set_relay_behaviour(behaviour);
        // The drain causes a request with an unknown outcome.
        managed.fleet.set_listed_state(2, "leaving", 0);
        managed.wait_for_item("a", |item| item.state == "ended");
        assert!(start.elapsed() < Duration::from_secs(2) + ONE_SECOND, "{:?}", start.elapsed());
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
    let send_sighup = |managed: &mut ManagedController| {
        let pid = Pid::from_child(&managed.program().child);
        kill_process(pid, Signal::HUP).unwrap();
    };
    managed.write_operators_file(&format!("<overrides>\n{}\n</overrides>", out_element("f-1", "s-1", 3600)));
    send_sighup(&mut managed);
    managed.fleet.wait_for_command("OUT,s-1");
    assert_eq!(managed.wait_for_item("f-1", |item| item.state == "in force").origin, "file");
    managed.write_operators_file("<overrides>\n<out id=\"f-2\" server=\"s-2\"/>\n</overrides>");
    send_sighup(&mut managed);
    let line = managed.wait_for_log("configuration reload failed, keeping the previous configuration");
    assert!(line.contains("operators.xml: line 6, column 1: <out>"), "{line}");
    assert_eq!(managed.item("f-1").state, "in force");
    // A file that conflicts with another override is rejected as well, and the previous overrides stay.
    managed.set("f-3", &out_of_service("s-3", "1h")).unwrap();
    managed.write_operators_file(&format!("<overrides>{}</overrides>", out_element("f-3", "s-2", 3600)));
    send_sighup(&mut managed);
    managed.wait_for_log("f-3 is another override already");
    assert_eq!(managed.item("f-1").state, "in force");
    managed.write_operators_file("<overrides/>");
    send_sighup(&mut managed);
    managed.fleet.wait_for_command("IN,s-1");
    let cause = managed.item("f-1").cause.unwrap();
    assert!(cause.starts_with("cleared by the operators' file"), "{cause}");
}

#[test]
fn corrupt_store_file_is_renamed_and_the_controller_continues() {
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

/// A limit on the file size of the process simulates a full disk.
#[test]
fn full_disk_rejects_new_overrides_and_clearing_works() {
    let mut managed = ManagedController::start(4, 12);
    managed.set("a", &out_of_service("s-1", "1h")).unwrap();
    managed.program = None;
    let size = std::fs::metadata(managed.path("store").join("overrides.redb")).unwrap().len().div_ceil(512);
    let (plain, file) = managed.command();
    let mut limited = std::process::Command::new("sh");
    limited.arg("-c").arg(format!("trap '' XFSZ; ulimit -f {size}; exec \"$@\"")).arg("sh");
    limited.arg(plain.get_program()).args(plain.get_args()).env_clear();
    limited.envs(plain.get_envs().filter_map(|(key, value)| Some((key, value?))));
    limited.stderr(Stdio::piped()).stdin(Stdio::null());
    managed.spawn(limited, file);
    managed.wait_for_log("override store read");
    assert_eq!(
        managed.wait_for_item("a", |item| item.state == "in force").replica,
        "s-1",
        "persisted override was not read"
    );
    let mut kept = Vec::new();
    let (rejected, error) = (0..1000)
        .find_map(|n| {
            let (id, reason, factor) = (format!("w{n}"), "x".repeat(200), Some(1.5));
            let weight =
                SetBody { kind: KindName::Weight, factor, reason, ..out_of_service(&format!("s-{n}"), "1h") };
            match managed.set(&id, &weight) {
                Ok(_) => {
                    kept.push(id);
                    None
                }
                Err(error) => Some((id, error)),
            }
        })
        .expect("store has grown beyond the file size limit");
    assert!(
        matches!(&error, ClientError::Unavailable { code: 507, body } if body.error.contains("not kept")),
        "{error}"
    );
    let is_listed = |managed: &ManagedController, id: &str| managed.list().iter().any(|item| item.id == id);
    assert!(!is_listed(&managed, &rejected));
    let cleared = managed.clear("a").unwrap();
    assert_eq!(cleared.item.state, "ended", "override was not cleared without disk space: {cleared:?}");
    // Without the limit, all acknowledged overrides are listed and the rejected one is not.
    managed.program = None;
    managed.restart();
    assert!(kept.iter().all(|id| is_listed(&managed, id)) && !is_listed(&managed, &rejected));
    managed.set(&rejected, &out_of_service("s-2", "1h")).unwrap();
}

/// A list request right after start-up must not be answered before the store is read, as acknowledged overrides would
/// be missing. The test holds the store open, so that the controller cannot read it until the test drops it.
#[test]
fn list_is_not_answered_before_the_store_is_read() {
    let mut managed = ManagedController::start(4, 12);
    managed.set("a", &out_of_service("s-1", "1h")).unwrap();
    managed.program = None;
    let mut open_store = whinwall_override_store::OverrideStore::new(managed.path("store"));
    open_store.open().unwrap();
    let (command, file) = managed.command();
    managed.spawn(command, file);
    managed.wait_for_log("override store unavailable");
    let response = managed.request(async |client| client.list().await);
    assert!(matches!(&response, Err(ClientError::Unavailable { code: 503, .. })), "{response:?}");
    drop(open_store);
    managed.wait_for_log("override store read");
    assert_eq!(managed.item("a").replica, "s-1");
}

/// Many clients continuously request a long list while replicas drain. The commands must not be delayed.
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
        let listed_at = Instant::now();
        managed.fleet.set_listed_state(n, "leaving", 0);
        let delay = managed.fleet.wait_for_command(&format!("OUT,s-{n}")) - listed_at;
        assert!(delay < ONE_SECOND, "s-{n} was withdrawn after {delay:?}");
    }
    floods.into_iter().for_each(|flood| flood.join().unwrap());
}

#[test]
fn json_log_lines_contain_span_names() {
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
    let run = |arguments: &[&str], operators_file: &str| {
        let (plain, _file) = managed.command();
        let mut command = std::process::Command::new(plain.get_program());
        command.env_clear().envs(plain.get_envs().filter_map(|(key, value)| Some((key, value?))));
        if !operators_file.is_empty() {
            std::fs::write(managed.path("operators.xml"), operators_file).unwrap();
        }
        let output = command.args(arguments).output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    };
    let operators = managed.path("operators.xml");
    let operators = operators.to_str().unwrap();
    let (code, text) = run(&["--check", "--operators", operators], "");
    assert!(code == Some(0) && text.contains("are valid"), "{text}");
    let (code, text) =
        run(&["--check", "--operators", operators], "<operators version=\"1\">\n<stor/></operators>");
    assert!(code == Some(2) && text.contains("line 2, column 1: <stor>"), "{text}");
    let (code, text) = run(&["--operators", operators], "<operators");
    assert!(code == Some(2) && text.contains("operators.xml: line 1"), "{text}");
    let (code, text) = run(&["--help"], "");
    assert!(code == Some(0) && text.contains("--check"), "{text}");
    assert!(run(&["--version"], "").1.contains("whinwall-controller 0."));
    assert_eq!(run(&["--listen"], "").0, Some(2));
}
