//! The program with several cores, over loopback: all that it does with one it does with four.

mod stand_ins;

use rustix::process::{kill_process, Pid, Signal};
use stand_ins::managed::{out, Managed};
use stand_ins::{Peer, Program};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

fn with_cores(cores: usize) -> Managed {
    let mut managed = Managed::start(4, 12);
    managed.program = None;
    managed.operators(&format!("<cores most=\"{cores}\"/><overrides/>"));
    managed.restart();
    managed
}

fn collector(managed: &mut Managed) -> Peer {
    let mut collector = managed.program().connect();
    collector.joins();
    collector
}

/// Reports of a second in which s-1 fails all that it is asked, quickly.
fn failing() -> String {
    let met = |replica, failed| {
        format!("{{\"@type\":\"LOAD\",\"az\":\"north\",\"host\":\"s-{replica}\",\"n\":9,\"bad\":{failed},\"avg\":41.7,\"window\":100.0}}\n")
    };
    [met(0, 0), met(1, 9), met(2, 0), met(3, 0)].concat()
}

#[test]
fn reports_lead_to_orders_and_overrides_hold_on_all() {
    let mut managed = with_cores(4);
    let mut collectors: Vec<_> = (0..6).map(|_| collector(&mut managed)).collect();
    managed.set("a", &out("s-3", "1h")).unwrap();
    managed.world.order("OUT,s-3");
    let end = Instant::now() + stand_ins::PATIENCE;
    while !managed.world.has_come("OUT,s-1") {
        assert!(Instant::now() < end, "s-1 is not withdrawn");
        collectors.iter_mut().for_each(|collector| collector.stream.write_all(failing().as_bytes()).unwrap());
        thread::sleep(Duration::from_millis(100));
    }
    collectors.iter_mut().for_each(stand_ins::Peer::pings);
    managed.world.relist(2, "leaving", 0);
    managed.world.order("OUT,s-2");
    assert!(managed.world.is_left("s-2") < Duration::from_millis(2500), "within the grace");
}

#[test]
fn strangers_and_the_spoilt_fare_as_with_one_core() {
    let mut managed = with_cores(3);
    let mut joined = collector(&mut managed);
    for line in ["GET / HTTP/1.1\r\n\r", "{\"@type\":", "\0\0\u{7f}", r#"{"@type":"SOURCE","az":"nowhere"}"#]
    {
        let mut stranger = managed.program().connect();
        stranger.says(line);
        let mut answer = String::new();
        _ = std::io::BufRead::read_line(&mut stranger.reader, &mut answer);
        assert!(answer.starts_with(r#"{"@type":"NACK""#), "{line}: {answer}");
        assert!(stranger.is_let_go());
    }
    let began = Instant::now();
    let mut silent: Vec<_> = (0..4).map(|_| managed.program().connect()).collect();
    assert!(silent.iter_mut().all(Peer::is_let_go));
    assert!(began.elapsed() < Duration::from_secs(4));
    joined.says(r#"{"@type":"LOAD","az":"north","host":"s-0","n":"nan","bad":0,"avg":41.7,"window":100.0}"#);
    managed.log("report ignored");
    joined.says(r#"{"@type":"LOAD","az":"north","host":"s-77","n":1,"bad":0,"avg":41.7,"window":100.0}"#);
    managed.log("s-77");
    joined.pings();
    joined.says(r#"{"@type":"LOAD","az":"north"#);
    assert!(joined.is_let_go());
}

#[test]
fn signals_are_obeyed_in_the_middle_of_a_flood() {
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
    managed.log("configuration reloaded");
    let told = Instant::now();
    managed.world.relist(2, "leaving", 0);
    assert!(managed.world.order("OUT,s-2") - told < Duration::from_secs(2), "a flood delays no drain");
    kill_process(pid, Signal::TERM).unwrap();
    assert!(managed.program().ends().success());
    floods.into_iter().for_each(|flood| flood.join().unwrap());
}

#[test]
fn figures_of_each_reader_are_at_the_management_front() {
    let mut managed = with_cores(3);
    let mut collector = collector(&mut managed);
    collector.stream.write_all(failing().repeat(50).as_bytes()).unwrap();
    collector.pings();
    let metrics = managed.ask(async |client| client.metrics().await).unwrap();
    let sum = |name: &str| -> f64 {
        let of = metrics.lines().filter(|line| line.starts_with(name) && line.contains("reader="));
        of.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    assert!(sum("whinwall_reader_lines") >= 202.0, "{metrics}");
    assert_eq!(sum("whinwall_reader_stalls"), 0.0);
    assert!(metrics.contains("whinwall_report_lag_seconds_bucket"), "{metrics}");
}

/// What the platform lends is the most, whatever the operators' file says.
#[test]
fn the_platforms_bound_on_cores_holds() {
    let mut managed = Managed::start(4, 12);
    managed.program = None;
    managed.operators("<cores most=\"4\"/><overrides/>");
    managed.lent = 0.2;
    managed.restart();
    let threads =
        |program: &Program| std::fs::read_dir(format!("/proc/{}/task", program.child.id())).unwrap().count();
    assert!(threads(managed.program()) <= 3, "the loop, the keeper and the front");
}

/// Lines of a megabyte without an end, and more lines than can be taken: what waits is bounded.
#[test]
fn memory_is_bounded_whatever_collectors_send() {
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
    collector(&mut managed).pings();
}
