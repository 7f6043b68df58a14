//! Runs the command as a process against real management servers and override managers.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use whinwall_management_api::messages::{ListedOverride, Reply, Request, Status};
use whinwall_management_api::server::{ListenAddress, ManagementServer, PendingRequest};
use whinwall_overrides::{ClockReading, Durability, OverrideEffect, OverrideLimits, OverrideManager};
use whinwall_policy::api::{OverrideNumber, OverrideStatus};
use whinwall_policy::time::{Moment, Span};

/// A fake controller with a real override manager. Its management server can be stopped while its overrides stay.
struct FakeController {
    socket: PathBuf,
    requests: mpsc::Sender<PendingRequest>,
    server: Option<ManagementServer>,
    /// The number of further replies to a clear that report it as not on disk yet.
    clears_not_on_disk: Arc<AtomicU32>,
    /// The number of further replies that are dropped, so that the outcome is unknown to the client.
    replies_to_drop: Arc<AtomicU32>,
}

/// Returns the reply of a controller that started at `started_at`.
fn reply_to_request(
    overrides: &mut OverrideManager,
    request: Request,
    started_at: Moment,
    now: Moment,
) -> Reply {
    match request {
        Request::Change(change) => {
            overrides.handle_request(now, 1, change);
            let mut effects = overrides.take_effects().into_iter();
            let reply = effects.find_map(|effect| match effect {
                OverrideEffect::Reply { reply, .. } => Some(reply),
                _ => None,
            });
            Reply::from_change(reply.unwrap(), now, |number| listed_override(overrides, number))
        }
        Request::List => {
            let numbers = overrides.registry().listed().map(|entry| entry.number);
            let listed = numbers.filter_map(|number| listed_override(overrides, number)).collect();
            Reply::Listed { overrides: listed, now }
        }
        Request::Metrics => Reply::Metrics(String::new()),
        Request::Status => Reply::Status(Status {
            now,
            started_at,
            proxies: 3,
            slices: 6,
            replicas: 3,
            failures: vec![("discovery's watch", 2)],
            has_outstanding_commands: true,
            active_overrides: overrides.registry().active().count(),
            listed_overrides: overrides.registry().listed().count(),
            subsetting: None,
            reports: None,
        }),
    }
}

fn listed_override(overrides: &OverrideManager, number: OverrideNumber) -> Option<ListedOverride> {
    let entry = overrides.registry().get_by_number(number)?.clone();
    let status = entry.is_active().then_some(OverrideStatus::InForce);
    Some(ListedOverride { entry, status })
}

impl FakeController {
    fn start(folder: &Path, name: &str) -> Self {
        let (requests, mut received) = mpsc::channel::<PendingRequest>(16);
        let replies_to_drop = Arc::new(AtomicU32::new(0));
        let remaining_drops = replies_to_drop.clone();
        let clears_not_on_disk = Arc::new(AtomicU32::new(0));
        let remaining_not_on_disk = clears_not_on_disk.clone();
        std::thread::spawn(move || {
            let started_at = Instant::now();
            let start_time = Moment::at_ns(1_800_000_000_000_000_000);
            let reading =
                ClockReading { boot_id: String::new(), uptime: Span::default(), wall_time: start_time };
            let mut overrides = OverrideManager::in_memory(start_time, &reading, OverrideLimits::default());
            while let Some(PendingRequest { request, reply_to }) = received.blocking_recv() {
                let now = start_time + Span::ns(started_at.elapsed().as_nanos() as u64);
                overrides.tick(now);
                let mut reply = reply_to_request(&mut overrides, request, start_time, now);
                if let Reply::Cleared { durability, .. } = &mut reply {
                    if decrement(&remaining_not_on_disk) {
                        *durability = Durability::Pending("the disk is full".into());
                    }
                }
                if !decrement(&remaining_drops) {
                    _ = reply_to.send(reply);
                }
            }
        });
        let socket = folder.join(format!("{name}.sock"));
        let mut controller =
            FakeController { socket, requests, server: None, clears_not_on_disk, replies_to_drop };
        controller.start_server();
        controller
    }

    fn start_server(&mut self) {
        let listen = ListenAddress::Socket(self.socket.clone());
        self.server = Some(ManagementServer::start(listen, "n".into(), self.requests.clone()).unwrap());
    }
}

/// Decrements the count; returns false if it is 0.
fn decrement(count: &AtomicU32) -> bool {
    count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| count.checked_sub(1)).is_ok()
}

fn run_whinwall(controllers: &[&FakeController], arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinwall"));
    command.env_clear().env("USER", "mb").args(["--keep-trying", "2s"]);
    controllers.iter().for_each(|controller| _ = command.arg("-g").arg(&controller.socket));
    command.args(arguments).output().unwrap()
}

fn status_and_text(output: &Output) -> (Option<i32>, String) {
    let text = [output.stdout.clone(), output.stderr.clone()].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn override_is_set_listed_and_cleared() {
    let folder = tempfile::tempdir().unwrap();
    let controller = FakeController::start(folder.path(), "n0");
    let run = |arguments: &[&str]| status_and_text(&run_whinwall(&[&controller], arguments));
    assert_eq!(run(&["override", "list"]), (Some(0), "no overrides\n".into()));
    let set = ["override", "set", "out", "s-3", "--for", "30m", "--reason", "disk is failing", "--id", "a"];
    let (code, text) = run(&set);
    assert!(code == Some(0) && text.contains("a set: s-3 out of service, ends 20"), "{text}");
    assert!(text.contains("in memory only: lost when the controller stops"), "{text}");
    let (code, text) = run(&set);
    assert!(code == Some(0) && text.contains("a set before"), "{text}");
    run(&["override", "set", "pin", "40-47", "s-1", "--for", "1h", "--reason", "audit"]);
    run(&["override", "set", "weight", "s-2", "0.5", "--for", "2h", "--reason", "half its memory"]);
    let (_, text) = run(&["override", "list"]);
    let lines: Vec<_> = text.lines().collect();
    assert!(lines[0].starts_with("ID") && lines.len() == 4, "{text}");
    assert!(
        lines[1].contains("in force") && lines[1].contains("29m") && lines[1].ends_with("disk is failing")
    );
    assert!(lines[2].starts_with("o-") && lines[2].contains("40-47 pinned to s-1"));
    assert!(lines[3].contains("weight 0.5 on s-2"));
    let (code, text) = run(&["override", "clear", "a"]);
    assert!(code == Some(0) && text.contains("a cleared") && text.contains("cleared by mb"), "{text}");
    assert!(!run(&["override", "list"]).1.contains("s-3"));
    assert!(run(&["override", "list", "--ended"]).1.contains("ended: cleared by mb"));
    let (code, json) = run(&["override", "list", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!((code, json["overrides"].as_array().unwrap().len()), (Some(0), 2));
    let (code, text) = run(&["status"]);
    assert!(
        code == Some(0) && text.contains("2 active overrides") && text.contains("discovery's watch"),
        "{text}"
    );
    assert_eq!(run(&["override", "clear", "nobody"]).0, Some(2));
}

#[test]
fn controller_that_missed_a_change_is_listed_until_the_change_is_repeated() {
    let folder = tempfile::tempdir().unwrap();
    let (first, mut second) =
        (FakeController::start(folder.path(), "n0"), FakeController::start(folder.path(), "n1"));
    second.server = None;
    let set = ["override", "set", "out", "s-3", "--for", "30m", "--reason", "disk", "--id", "a"];
    let (code, text) = status_and_text(&run_whinwall(&[&first, &second], &set));
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("request not sent") && text.contains("--id a"), "{text}");
    second.start_server();
    let (code, text) = status_and_text(&run_whinwall(&[&first, &second], &["override", "list"]));
    assert!(code == Some(4) && text.contains("n1.sock: missing"), "{text}");
    // A retry sets the override at the second controller only.
    let (code, text) = status_and_text(&run_whinwall(&[&first, &second], &set));
    assert!(code == Some(0) && text.contains("a set before") && text.contains("a set:"), "{text}");
    assert_eq!(status_and_text(&run_whinwall(&[&first, &second], &["override", "list"])).0, Some(0));
    // After a clear at one controller, the override stays active at the other until it is cleared there too.
    second.server = None;
    assert_eq!(status_and_text(&run_whinwall(&[&first, &second], &["override", "clear", "a"])).0, Some(1));
    second.start_server();
    let (code, text) = status_and_text(&run_whinwall(&[&first, &second], &["override", "list"]));
    assert!(code == Some(4) && text.contains("ended: cleared") && text.contains("in force"), "{text}");
    assert_eq!(status_and_text(&run_whinwall(&[&first, &second], &["override", "clear", "a"])).0, Some(0));
}

#[test]
fn request_with_unknown_outcome_is_retried_and_sets_the_override_once() {
    let folder = tempfile::tempdir().unwrap();
    let controller = FakeController::start(folder.path(), "n0");
    controller.replies_to_drop.store(1, Ordering::SeqCst);
    let set = ["override", "set", "out", "s-3", "--for", "30m", "--reason", "disk", "--id", "a"];
    let (code, text) = status_and_text(&run_whinwall(&[&controller], &set));
    assert!(code == Some(0) && text.contains("a set before"), "{text}");
    assert_eq!(status_and_text(&run_whinwall(&[&controller], &["override", "list"])).1.lines().count(), 2);
}

/// Guards against exit code 0 for an `override clear` that is not on disk yet. If the disk is full and the controller
/// is killed before its next write, the override is active again after the restart (seen in 5 of 5 runs of 25 rounds).
#[test]
fn clear_is_retried_until_it_is_on_disk() {
    let folder = tempfile::tempdir().unwrap();
    let controller = FakeController::start(folder.path(), "n0");
    let set = ["override", "set", "out", "s-3", "--for", "30m", "--reason", "disk", "--id", "a"];
    assert_eq!(status_and_text(&run_whinwall(&[&controller], &set)).0, Some(0));
    controller.clears_not_on_disk.store(u32::MAX, Ordering::SeqCst);
    let (code, text) = status_and_text(&run_whinwall(&[&controller], &["override", "clear", "a"]));
    assert!(code == Some(5) && text.contains("not on disk yet: the disk is full"), "{code:?} {text}");
    controller.clears_not_on_disk.store(2, Ordering::SeqCst);
    let (code, text) = status_and_text(&run_whinwall(&[&controller], &["override", "clear", "a"]));
    assert!(code == Some(0) && !text.contains("not on disk"), "{code:?} {text}");
    assert_eq!(
        controller.clears_not_on_disk.load(Ordering::SeqCst),
        0,
        "clear is retried until it is on disk"
    );
}

#[test]
fn unreachable_controller_is_reported_within_the_time_limit() {
    let folder = tempfile::tempdir().unwrap();
    let mut controller = FakeController::start(folder.path(), "n0");
    controller.server = None;
    let started_at = Instant::now();
    assert_eq!(status_and_text(&run_whinwall(&[&controller], &["status"])).0, Some(3));
    assert!(started_at.elapsed() < Duration::from_secs(5));
    let (code, text) = status_and_text(&run_whinwall(&[], &["status"]));
    assert!(code == Some(2) && text.contains("no controller address: use --governor"), "{text}");
}

#[test]
fn invalid_arguments_are_rejected_before_any_call() {
    let folder = tempfile::tempdir().unwrap();
    let controller = FakeController::start(folder.path(), "n0");
    for (arguments, expected) in [
        (&["override", "set", "out", "s-3", "--for", "soon", "--reason", "x"][..], "90s"),
        (&["override", "set", "out", "s-3", "--for", "30m"], "--reason"),
        (&["override", "set", "pin", "9-4", "s-3", "--for", "30m", "--reason", "x"], "before it begins"),
        (&["override", "set", "weight", "s-3", "0", "--for", "30m", "--reason", "x"], "factor"),
        (&["override", "set", "out", "s-3", "--for", "30m", "--reason", "x", "--id", "a b"], "id"),
        (&["override", "set", "out", "s-3", "--for", "9d", "--reason", "x"], "the longest"),
    ] {
        let (code, text) = status_and_text(&run_whinwall(&[&controller], arguments));
        assert!(code == Some(2) && text.contains(expected), "{arguments:?}: {text}");
    }
}

#[test]
fn files_are_checked_according_to_their_extension_and_completions_are_printed() {
    let folder = tempfile::tempdir().unwrap();
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let check_files = |files: &[PathBuf]| {
        let files: Vec<_> = files.iter().map(|file| file.to_str().unwrap()).collect();
        status_and_text(&run_whinwall(&[], &[&["check"], files.as_slice()].concat()))
    };
    let (code, text) = check_files(&[deploy.join("operators.xml"), deploy.join("example.json")]);
    assert_eq!((code, text.matches(": fine").count()), (Some(0), 2), "{text}");
    let invalid_file = folder.path().join("faulty.xml");
    std::fs::write(&invalid_file, "<operators version=\"1\">\n  <stor/>\n</operators>").unwrap();
    let (code, text) = check_files(&[invalid_file.clone(), deploy.join("example.json")]);
    assert!(code == Some(2) && text.contains("faulty.xml: line 2, column 3: <stor>"), "{text}");
    assert_eq!(check_files(&[folder.path().join("none.json")]).0, Some(2));
    let (code, text) = status_and_text(&run_whinwall(&[], &["completions", "bash"]));
    assert!(code == Some(0) && text.contains("_whinwall"), "{text}");
}
