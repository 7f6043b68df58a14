//! The command as it is started, against controllers whose clerks and fronts are the real ones.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use whinwall_management_api::ask::{Reply, Request, Shown, Status};
use whinwall_management_api::server::{self, Doors, PendingRequest, Serving};
use whinwall_overrides::{ClockReading, OverrideController, OverrideEffect, OverrideLimits};
use whinwall_policy::api::OverrideStatus;
use whinwall_policy::time::{Moment, Span};

/// A controller whose front is there or away; its clerk goes on while it is away.
struct Controller {
    socket: PathBuf,
    ask: mpsc::Sender<PendingRequest>,
    serving: Option<Serving>,
    /// So many answers are kept back: whoever asks does not know the outcome.
    swallow: Arc<AtomicU32>,
}

impl Controller {
    fn start(folder: &Path, name: &str) -> Self {
        let (ask, mut asked) = mpsc::channel::<PendingRequest>(16);
        let swallow = Arc::new(AtomicU32::new(0));
        let swallows = swallow.clone();
        std::thread::spawn(move || {
            let began = Instant::now();
            let start = Moment::at_ns(1_800_000_000_000_000_000);
            let now = || start + Span::ns(began.elapsed().as_nanos() as u64);
            let reading = ClockReading { boot_id: String::new(), uptime: Span::default(), wall_time: start };
            let mut clerk = OverrideController::in_memory(start, &reading, OverrideLimits::default());
            while let Some((request, back)) = asked.blocking_recv() {
                let now = now();
                clerk.tick(now);
                let shown = |clerk: &OverrideController, number| {
                    let one = clerk.registry().get_by_number(number)?.clone();
                    let heeded = one.is_active().then_some(OverrideStatus::InForce);
                    Some(Shown { one, heeded })
                };
                let reply = match request {
                    Request::Change(change) => {
                        clerk.handle_request(now, 1, change);
                        let mut acts = clerk.take_effects().into_iter();
                        let answer = acts.find_map(|act| match act {
                            OverrideEffect::Reply { reply: answer, .. } => Some(answer),
                            _ => None,
                        });
                        Reply::of(answer.unwrap(), now, |number| shown(&clerk, number))
                    }
                    Request::List => {
                        let numbers: Vec<_> = clerk.registry().listed().map(|one| one.number).collect();
                        let all = numbers.into_iter().filter_map(|number| shown(&clerk, number)).collect();
                        Reply::Listed { all, now }
                    }
                    Request::Metrics => Reply::Metrics(String::new()),
                    Request::Status => Reply::Status(Status {
                        now,
                        since: start,
                        proxies: 3,
                        slices: 6,
                        replicas: 3,
                        failing: vec![("discovery's watch", 2)],
                        orders_open: true,
                        standing: clerk.registry().active().count(),
                        listed: clerk.registry().listed().count(),
                        subsetting: None,
                        reports: None,
                    }),
                };
                let kept_back =
                    swallows.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
                if kept_back.is_err() {
                    _ = back.send(reply);
                }
            }
        });
        let mut controller =
            Controller { socket: folder.join(format!("{name}.sock")), ask, serving: None, swallow };
        controller.comes();
        controller
    }

    fn comes(&mut self) {
        let doors = Doors::Socket(self.socket.clone());
        self.serving = Some(server::start(doors, "n".into(), self.ask.clone()).unwrap());
    }
}

fn whinwall(controllers: &[&Controller], arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinwall"));
    command.env_clear().env("USER", "mb").args(["--keep-trying", "2s"]);
    controllers.iter().for_each(|controller| _ = command.arg("-g").arg(&controller.socket));
    command.args(arguments).output().unwrap()
}

fn said(output: &Output) -> (Option<i32>, String) {
    let text = [output.stdout.clone(), output.stderr.clone()].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn what_is_set_is_listed_with_its_state_and_end_and_can_be_cleared() {
    let folder = tempfile::tempdir().unwrap();
    let controller = Controller::start(folder.path(), "n0");
    let run = |arguments: &[&str]| said(&whinwall(&[&controller], arguments));
    assert_eq!(run(&["override", "list"]), (Some(0), "no overrides\n".into()));
    let set = ["override", "set", "out", "s-3", "--for", "30m", "--reason", "disk is failing", "--id", "a"];
    let (code, text) = run(&set);
    assert!(code == Some(0) && text.contains("a set: s-3 out of service, ends 20"), "{text}");
    assert!(text.contains("kept nowhere"), "{text}");
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
        code == Some(0) && text.contains("2 overrides stand") && text.contains("discovery's watch"),
        "{text}"
    );
    assert_eq!(run(&["override", "clear", "nobody"]).0, Some(2));
}

#[test]
fn of_two_controllers_the_one_that_was_away_is_shown_until_it_has_it_too() {
    let folder = tempfile::tempdir().unwrap();
    let (first, mut second) =
        (Controller::start(folder.path(), "n0"), Controller::start(folder.path(), "n1"));
    second.serving = None;
    let set = ["override", "set", "out", "s-3", "--for", "30m", "--reason", "disk", "--id", "a"];
    let (code, text) = said(&whinwall(&[&first, &second], &set));
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("not sent") && text.contains("--id a"), "{text}");
    second.comes();
    let (code, text) = said(&whinwall(&[&first, &second], &["override", "list"]));
    assert!(code == Some(4) && text.contains("n1.sock: missing"), "{text}");
    // Said again: the first has it, the second gets it.
    let (code, text) = said(&whinwall(&[&first, &second], &set));
    assert!(code == Some(0) && text.contains("a set before") && text.contains("a set:"), "{text}");
    assert_eq!(said(&whinwall(&[&first, &second], &["override", "list"])).0, Some(0));
    // Cleared while the other is away, it stands there until it is cleared there too.
    second.serving = None;
    assert_eq!(said(&whinwall(&[&first, &second], &["override", "clear", "a"])).0, Some(1));
    second.comes();
    let (code, text) = said(&whinwall(&[&first, &second], &["override", "list"]));
    assert!(code == Some(4) && text.contains("ended: cleared") && text.contains("in force"), "{text}");
    assert_eq!(said(&whinwall(&[&first, &second], &["override", "clear", "a"])).0, Some(0));
}

#[test]
fn an_unknown_outcome_is_asked_for_again_and_sets_nothing_twice() {
    let folder = tempfile::tempdir().unwrap();
    let controller = Controller::start(folder.path(), "n0");
    controller.swallow.store(1, Ordering::SeqCst);
    let set = ["override", "set", "out", "s-3", "--for", "30m", "--reason", "disk", "--id", "a"];
    let (code, text) = said(&whinwall(&[&controller], &set));
    assert!(code == Some(0) && text.contains("a set before"), "{text}");
    assert_eq!(said(&whinwall(&[&controller], &["override", "list"])).1.lines().count(), 2);
}

#[test]
fn nobody_there_is_said_in_time() {
    let folder = tempfile::tempdir().unwrap();
    let mut controller = Controller::start(folder.path(), "n0");
    controller.serving = None;
    let began = Instant::now();
    assert_eq!(said(&whinwall(&[&controller], &["status"])).0, Some(3));
    assert!(began.elapsed() < Duration::from_secs(5));
    let (code, text) = said(&whinwall(&[], &["status"]));
    assert!(code == Some(2) && text.contains("--governor"), "{text}");
}

#[test]
fn wrong_words_are_refused_before_anybody_is_asked() {
    let folder = tempfile::tempdir().unwrap();
    let controller = Controller::start(folder.path(), "n0");
    for (arguments, expected) in [
        (&["override", "set", "out", "s-3", "--for", "soon", "--reason", "x"][..], "90s"),
        (&["override", "set", "out", "s-3", "--for", "30m"], "--reason"),
        (&["override", "set", "pin", "9-4", "s-3", "--for", "30m", "--reason", "x"], "before it begins"),
        (&["override", "set", "weight", "s-3", "0", "--for", "30m", "--reason", "x"], "factor"),
        (&["override", "set", "out", "s-3", "--for", "30m", "--reason", "x", "--id", "a b"], "id"),
        (&["override", "set", "out", "s-3", "--for", "9d", "--reason", "x"], "the longest"),
    ] {
        let (code, text) = said(&whinwall(&[&controller], arguments));
        assert!(code == Some(2) && text.contains(expected), "{arguments:?}: {text}");
    }
}

#[test]
fn files_are_checked_by_kind_and_completions_printed() {
    let folder = tempfile::tempdir().unwrap();
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let check = |files: &[PathBuf]| {
        let files: Vec<_> = files.iter().map(|file| file.to_str().unwrap()).collect();
        said(&whinwall(&[], &[&["check"], files.as_slice()].concat()))
    };
    let (code, text) = check(&[deploy.join("operators.xml"), deploy.join("example.json")]);
    assert_eq!((code, text.matches(": fine").count()), (Some(0), 2), "{text}");
    let faulty = folder.path().join("faulty.xml");
    std::fs::write(&faulty, "<operators version=\"1\">\n  <stor/>\n</operators>").unwrap();
    let (code, text) = check(&[faulty.clone(), deploy.join("example.json")]);
    assert!(code == Some(2) && text.contains("faulty.xml: line 2, column 3: <stor>"), "{text}");
    assert_eq!(check(&[folder.path().join("none.json")]).0, Some(2));
    let (code, text) = said(&whinwall(&[], &["completions", "bash"]));
    assert!(code == Some(0) && text.contains("_whinwall"), "{text}");
}
