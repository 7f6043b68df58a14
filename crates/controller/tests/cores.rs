//! The controller process with several cores, over loopback. It must behave as with one core.

mod support;

use rustix::process::{kill_process, Pid, Signal};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};
use support::managed_controller::{out_of_service, ManagedController};
use support::{ControllerProcess, Peer};

fn start_with_cores(cores: usize) -> ManagedController {
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

/// Endpoint reports in which all attempts at `s-1` fail.
fn reports_with_failures() -> String {
    let report = |replica, failed| {
        format!("{{\"@type\":\"LOAD\",\"az\":\"north\",\"host\":\"s-{replica}\",\"n\":9,\"bad\":{failed},\"avg\":41.7,\"window\":100.0}}\n")
    };
    [report(0, 0), report(1, 9), report(2, 0), report(3, 0)].concat()
}

#[test]
fn outlier_is_withdrawn_and_overrides_apply_with_four_cores() {
    let mut managed = start_with_cores(4);
    let mut collectors: Vec<_> = (0..6).map(|_| collector(&mut managed)).collect();
    managed.set("a", &out_of_service("s-3", "1h")).unwrap();
    managed.fleet.wait_for_command("OUT,s-3");
    let end = Instant::now() + support::TEST_TIMEOUT;
    while !managed.fleet.has_received("OUT,s-1") {
        assert!(Instant::now() < end, "s-1 is not withdrawn");
        collectors
            .iter_mut()
            .for_each(|collector| collector.stream.write_all(reports_with_failures().as_bytes()).unwrap());
        thread::sleep(Duration::from_millis(100));
    }
    collectors.iter_mut().for_each(support::Peer::ping);
    managed.fleet.set_listed_state(2, "leaving", 0);
    managed.fleet.wait_for_command("OUT,s-2");
    assert!(
        managed.fleet.wait_until_unused("s-2") < Duration::from_millis(2500),
        "drain took longer than its grace period"
    );
}

#[test]
fn unauthenticated_and_invalid_peers_are_rejected_with_three_cores() {
    let mut managed = start_with_cores(3);
    let mut authenticated = collector(&mut managed);
    for line in ["GET / HTTP/1.1\r\n\r", "{\"@type\":", "\0\0\u{7f}", r#"{"@type":"SOURCE","az":"nowhere"}"#]
    {
        let mut unauthenticated = managed.program().connect();
        unauthenticated.send_line(line);
        let mut reply = String::new();
        _ = std::io::BufRead::read_line(&mut unauthenticated.reader, &mut reply);
        assert!(reply.starts_with(r#"{"@type":"NACK""#), "{line}: {reply}");
        assert!(unauthenticated.is_disconnected());
    }
    let start = Instant::now();
    let mut silent: Vec<_> = (0..4).map(|_| managed.program().connect()).collect();
    assert!(silent.iter_mut().all(Peer::is_disconnected));
    assert!(start.elapsed() < Duration::from_secs(4));
    authenticated.send_line(
        r#"{"@type":"LOAD","az":"north","host":"s-0","n":"nan","bad":0,"avg":41.7,"window":100.0}"#,
    );
    managed.wait_for_log("report ignored");
    authenticated
        .send_line(r#"{"@type":"LOAD","az":"north","host":"s-77","n":1,"bad":0,"avg":41.7,"window":100.0}"#);
    managed.wait_for_log("s-77");
    authenticated.ping();
    authenticated.send_line(r#"{"@type":"LOAD","az":"north"#);
    assert!(authenticated.is_disconnected());
}

#[test]
fn signals_are_handled_during_a_flood_of_reports() {
    let mut managed = start_with_cores(4);
    let floods: Vec<_> = (0..3)
        .map(|_| {
            let mut collector = collector(&mut managed);
            thread::spawn(move || {
                let block = reports_with_failures().repeat(200);
                while collector.stream.write_all(block.as_bytes()).is_ok() {}
            })
        })
        .collect();
    let pid = Pid::from_child(&managed.program().child);
    kill_process(pid, Signal::HUP).unwrap();
    managed.wait_for_log("configuration reloaded");
    let listed_at = Instant::now();
    managed.fleet.set_listed_state(2, "leaving", 0);
    assert!(
        managed.fleet.wait_for_command("OUT,s-2") - listed_at < Duration::from_secs(2),
        "the flood of reports has delayed the drain"
    );
    kill_process(pid, Signal::TERM).unwrap();
    assert!(managed.program().wait_for_exit().success());
    floods.into_iter().for_each(|flood| flood.join().unwrap());
}

#[test]
fn management_api_serves_metrics_of_each_reader() {
    let mut managed = start_with_cores(3);
    let mut collector = collector(&mut managed);
    collector.stream.write_all(reports_with_failures().repeat(50).as_bytes()).unwrap();
    collector.ping();
    let metrics = managed.request(async |client| client.metrics().await).unwrap();
    let sum = |name: &str| -> f64 {
        let samples = metrics.lines().filter(|line| line.starts_with(name) && line.contains("reader="));
        samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    assert!(sum("whinwall_reader_lines") >= 202.0, "{metrics}");
    assert_eq!(sum("whinwall_reader_stalls"), 0.0);
    assert!(metrics.contains("whinwall_report_lag_seconds_bucket"), "{metrics}");
}

/// The platform's limit on cores takes precedence over the operators' file.
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
    assert!(threads(managed.program()) <= 3, "more threads than event loop, storage and management API need");
}

/// Half of the peers send lines of 1 MB without an end, the others send reports faster than they are processed. The
/// queues must stay bounded.
#[test]
fn memory_is_bounded_during_a_flood_of_reports() {
    let mut managed = start_with_cores(4);
    managed.program = None;
    managed.memory_mb = 32.0;
    managed.restart();
    let floods: Vec<_> = (0..24)
        .map(|n| {
            let mut collector = collector(&mut managed);
            thread::spawn(move || {
                let long_line = format!("{{\"@type\":\"{}", "x".repeat(1_000_000));
                let block = if n % 2 == 0 { long_line } else { reports_with_failures().repeat(2000) };
                let end = Instant::now() + Duration::from_secs(2);
                while Instant::now() < end && collector.stream.write_all(block.as_bytes()).is_ok() {}
            })
        })
        .collect();
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    let status = std::fs::read_to_string(format!("/proc/{}/status", managed.program().child.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak_kb: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(peak_kb < 64_000, "peak memory: {peak_kb} kB");
    collector(&mut managed).ping();
}
