//! The controller process with several cores, over loopback: it behaves as with one.

mod support;

use rustix::process::{kill_process, Pid, Signal};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};
use support::managed_controller::{out_of_service, ManagedController};
use support::{ControllerProcess, Peer};

fn with_cores(cores: usize) -> ManagedController {
    let mut managed = ManagedController::start(4, 12);
    managed.program = None;
    managed.write_operators_file(&format!("<cores most=\"{cores}\"/><overrides/>"));
    managed.restart();
    managed
}

fn collector(managed: &mut ManagedController) -> Peer {
    let mut collector = managed.program().connect();
    collector.join_zone();
    collector
}

/// The reports of one second in which s-1 fails all its requests, quickly.
fn failing() -> String {
    let met = |replica, failed| {
        format!("{{\"@type\":\"LOAD\",\"az\":\"north\",\"host\":\"s-{replica}\",\"n\":9,\"bad\":{failed},\"avg\":41.7,\"window\":100.0}}\n")
    };
    [met(0, 0), met(1, 9), met(2, 0), met(3, 0)].concat()
}

#[test]
fn outlier_is_withdrawn_and_overrides_apply_with_four_cores() {
    let mut managed = with_cores(4);
    let mut collectors: Vec<_> = (0..6).map(|_| collector(&mut managed)).collect();
    managed.set("a", &out_of_service("s-3", "1h")).unwrap();
    managed.fleet.wait_for_command("OUT,s-3");
    let end = Instant::now() + support::TEST_TIMEOUT;
    while !managed.fleet.has_received("OUT,s-1") {
        assert!(Instant::now() < end, "s-1 is not withdrawn");
        collectors.iter_mut().for_each(|collector| collector.stream.write_all(failing().as_bytes()).unwrap());
        thread::sleep(Duration::from_millis(100));
    }
    collectors.iter_mut().for_each(support::Peer::ping);
    managed.fleet.set_listed_state(2, "leaving", 0);
    managed.fleet.wait_for_command("OUT,s-2");
    assert!(managed.fleet.wait_until_unused("s-2") < Duration::from_millis(2500), "within the grace");
}

#[test]
fn unauthenticated_and_invalid_peers_are_rejected_with_three_cores() {
    let mut managed = with_cores(3);
    let mut joined = collector(&mut managed);
    for line in ["GET / HTTP/1.1\r\n\r", "{\"@type\":", "\0\0\u{7f}", r#"{"@type":"SOURCE","az":"nowhere"}"#]
    {
        let mut stranger = managed.program().connect();
        stranger.send_line(line);
        let mut answer = String::new();
        _ = std::io::BufRead::read_line(&mut stranger.reader, &mut answer);
        assert!(answer.starts_with(r#"{"@type":"NACK""#), "{line}: {answer}");
        assert!(stranger.is_disconnected());
    }
    let began = Instant::now();
    let mut silent: Vec<_> = (0..4).map(|_| managed.program().connect()).collect();
    assert!(silent.iter_mut().all(Peer::is_disconnected));
    assert!(began.elapsed() < Duration::from_secs(4));
    joined.send_line(
        r#"{"@type":"LOAD","az":"north","host":"s-0","n":"nan","bad":0,"avg":41.7,"window":100.0}"#,
    );
    managed.wait_for_log("report ignored");
    joined
        .send_line(r#"{"@type":"LOAD","az":"north","host":"s-77","n":1,"bad":0,"avg":41.7,"window":100.0}"#);
    managed.wait_for_log("s-77");
    joined.ping();
    joined.send_line(r#"{"@type":"LOAD","az":"north"#);
    assert!(joined.is_disconnected());
}

#[test]
fn signals_are_handled_during_a_flood_of_reports() {
    let mut managed = with_cores(4);
    let floods: Vec<_> = (0..3)
        .map(|_| {
            let mut collector = collector(&mut managed);
            thread::spawn(move || {
                let block = failing().repeat(200);
                while collector.stream.write_all(block.as_bytes()).is_ok() {}
            })
        })
        .collect();
    let pid = Pid::from_child(&managed.program().child);
    kill_process(pid, Signal::HUP).unwrap();
    managed.wait_for_log("configuration reloaded");
    let told = Instant::now();
    managed.fleet.set_listed_state(2, "leaving", 0);
    assert!(
        managed.fleet.wait_for_command("OUT,s-2") - told < Duration::from_secs(2),
        "a flood delays no drain"
    );
    kill_process(pid, Signal::TERM).unwrap();
    assert!(managed.program().wait_for_exit().success());
    floods.into_iter().for_each(|flood| flood.join().unwrap());
}

#[test]
fn management_api_serves_metrics_of_each_reader() {
    let mut managed = with_cores(3);
    let mut collector = collector(&mut managed);
    collector.stream.write_all(failing().repeat(50).as_bytes()).unwrap();
    collector.ping();
    let metrics = managed.request(async |client| client.metrics().await).unwrap();
    let sum = |name: &str| -> f64 {
        let of = metrics.lines().filter(|line| line.starts_with(name) && line.contains("reader="));
        of.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    assert!(sum("whinwall_reader_lines") >= 202.0, "{metrics}");
    assert_eq!(sum("whinwall_reader_stalls"), 0.0);
    assert!(metrics.contains("whinwall_report_lag_seconds_bucket"), "{metrics}");
}

/// The platform's limit on cores holds whatever the operators' file says.
#[test]
fn cores_are_limited_by_the_platform() {
    let mut managed = ManagedController::start(4, 12);
    managed.program = None;
    managed.write_operators_file("<cores most=\"4\"/><overrides/>");
    managed.granted_cores = 0.2;
    managed.restart();
    let threads = |program: &ControllerProcess| {
        std::fs::read_dir(format!("/proc/{}/task", program.child.id())).unwrap().count()
    };
    assert!(threads(managed.program()) <= 3, "the loop, the keeper and the front");
}

/// Lines of a megabyte without an end, and more lines than can be processed: the queues are bounded.
#[test]
fn memory_is_bounded_during_a_flood_of_reports() {
    let mut managed = with_cores(4);
    managed.program = None;
    managed.memory_mb = 32.0;
    managed.restart();
    let floods: Vec<_> = (0..24)
        .map(|n| {
            let mut collector = collector(&mut managed);
            thread::spawn(move || {
                let long = format!("{{\"@type\":\"{}", "x".repeat(1_000_000));
                let block = if n % 2 == 0 { long } else { failing().repeat(2000) };
                let end = Instant::now() + Duration::from_secs(2);
                while Instant::now() < end && collector.stream.write_all(block.as_bytes()).is_ok() {}
            })
        })
        .collect();
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    let status = std::fs::read_to_string(format!("/proc/{}/status", managed.program().child.id())).unwrap();
    let most = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let most: u64 = most.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(most < 64_000, "{most} kB");
    collector(&mut managed).ping();
}
