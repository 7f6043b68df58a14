//! The controller process with aggregators that send reports over loopback, on one core and on several cores.

mod support;

use std::io::Write;
use std::net::Shutdown;
use std::thread;
use std::time::{Duration, Instant};
use support::managed_controller::ManagedController;
use support::{Peer, TEST_TIMEOUT};

const REPLICAS: u32 = 4;
const SLICES: u32 = 12;
const SLICE_REQUESTS_PER_SECOND: f64 = 30.0;
const TOTAL_REQUESTS_PER_SECOND: f64 = SLICE_REQUESTS_PER_SECOND * SLICES as f64;
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

fn start_with_aggregators(cores: usize) -> ManagedController {
    let mut managed = ManagedController::start(REPLICAS as usize, SLICES as usize);
    managed.program = None;
    managed.write_operators_file(&format!(
        "<cores most=\"{cores}\"/><overrides/>\n<subsetting subset=\"{REPLICAS}\" bytes-per-second=\"27000\">\
         <governor name=\"n0\"/><aggregator name=\"m1\" address=\"127.0.0.1:7001\"/></subsetting>"
    ));
    managed.restart();
    managed
}

/// A fake aggregator. Each report covers the time since the previous one.
struct Aggregator {
    peer: Peer,
    last_report: Instant,
}

impl Aggregator {
    fn join_zone(managed: &mut ManagedController) -> Self {
        let mut peer = managed.program().connect();
        peer.join_zone();
        Aggregator { peer, last_report: Instant::now() }
    }

    fn send_report(&mut self) {
        let window = self.last_report.elapsed();
        self.last_report += window;
        let (seconds, ms) = (window.as_secs_f64(), window.as_secs_f64() * 1000.0);
        let mut lines = String::new();
        for replica in 0..REPLICAS {
            let attempts = seconds * SLICE_REQUESTS_PER_SECOND * f64::from(SLICES / REPLICAS);
            lines += &format!("{{\"@type\":\"LOAD\",\"az\":\"north\",\"host\":\"s-{replica}\",\"n\":{attempts},\"bad\":0,\"avg\":41.7,\"window\":{ms}}}\n");
        }
        for slice in 0..SLICES {
            let requests = seconds * SLICE_REQUESTS_PER_SECOND;
            lines += &format!("{{\"@type\":\"SHARD\",\"partition\":{slice},\"kind\":\"lookup\",\"n\":{requests},\"bad\":0,\"window\":{ms}}}\n");
        }
        self.peer.stream.write_all(lines.as_bytes()).unwrap();
    }
}

fn metric(managed: &ManagedController, name: &str) -> f64 {
    let metrics = managed.request(async |client| client.metrics().await).unwrap();
    let line =
        metrics.lines().find(|line| line.starts_with(name)).unwrap_or_else(|| panic!("{name}: {metrics}"));
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

fn measured_requests_per_second(managed: &ManagedController) -> f64 {
    metric(managed, "whinwall_measured_requests_per_second")
}

fn send_reports_for(time: Duration, aggregators: &mut [&mut Aggregator]) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        aggregators.iter_mut().for_each(|aggregator| aggregator.send_report());
        thread::sleep(REPORT_INTERVAL);
    }
}

/// Sends reports until all replicas are observed, and for 9 s more: the load is averaged over 8 s and then contains
/// only reports of these aggregators.
fn send_reports_until_observed(managed: &[&ManagedController], aggregators: &mut [&mut Aggregator]) {
    let end = Instant::now() + 2 * TEST_TIMEOUT;
    while managed.iter().any(|controller| metric(controller, "whinwall_partially_observed_replicas") > 0.0) {
        assert!(Instant::now() < end, "some replicas are only partially observed");
        send_reports_for(5 * REPORT_INTERVAL, aggregators);
    }
    send_reports_for(Duration::from_secs(9), aggregators);
}

fn is_near_total(measured: f64) -> bool {
    (measured / TOTAL_REQUESTS_PER_SECOND - 1.0).abs() < 0.15
}

/// Asserts that a controller measures the total load while two aggregators report to it, as another controller with one
/// aggregator does, then in a gap without aggregators, and after a third aggregator has taken over.
fn assert_reports_count_once(cores: usize) {
    let (mut with_two, mut with_one) = (start_with_aggregators(cores), start_with_aggregators(cores));
    let (mut first, mut second) =
        (Aggregator::join_zone(&mut with_two), Aggregator::join_zone(&mut with_two));
    let mut only = Aggregator::join_zone(&mut with_one);
    send_reports_until_observed(&[&with_two, &with_one], &mut [&mut first, &mut second, &mut only]);
    let (by_two, by_one) = (measured_requests_per_second(&with_two), measured_requests_per_second(&with_one));
    println!(
        "{cores} cores: {by_two:.1} of {TOTAL_REQUESTS_PER_SECOND} requests/s measured with two aggregators, {by_one:.1} with one"
    );
    assert!(
        is_near_total(by_two) && is_near_total(by_one),
        "{by_two} and {by_one} of {TOTAL_REQUESTS_PER_SECOND} requests/s"
    );
    first.peer.stream.shutdown(Shutdown::Both).unwrap();
    second.peer.stream.shutdown(Shutdown::Both).unwrap();
    thread::sleep(Duration::from_secs(2));
    let during_gap = measured_requests_per_second(&with_two);
    let mut third = Aggregator::join_zone(&mut with_two);
    send_reports_until_observed(&[&with_two], &mut [&mut third, &mut only]);
    let after_gap = measured_requests_per_second(&with_two);
    println!(
        "{cores} cores: {during_gap:.1} of {TOTAL_REQUESTS_PER_SECOND} requests/s measured in the gap, {after_gap:.1} after it"
    );
    assert!(
        is_near_total(during_gap) && is_near_total(after_gap),
        "{during_gap} and {after_gap} of {TOTAL_REQUESTS_PER_SECOND} requests/s"
    );
    assert_eq!(metric(&with_two, "whinwall_aggregated_reports_stale"), 0.0);
    assert!(metric(&with_two, "whinwall_aggregated_report_bytes_per_second") > 1000.0);
    let log = &mut with_two.program().log;
    let mut lines = log.skipped.drain(..).chain(log.receiver.try_iter());
    assert_eq!(lines.find(|line| line.contains("replica ejected")), None);
}

#[test]
fn reports_of_two_aggregators_count_once_on_one_core() {
    assert_reports_count_once(1);
}

#[test]
fn reports_of_two_aggregators_count_once_on_several_cores() {
    assert_reports_count_once(3);
}
