//! The program over loopback, where aggregators report to it: on one core and on several.

mod support;

use std::io::Write;
use std::net::Shutdown;
use std::thread;
use std::time::{Duration, Instant};
use support::managed_controller::ManagedController;
use support::{Peer, TEST_TIMEOUT};

const REPLICAS: u32 = 4;
const SLICES: u32 = 12;
/// Requests a second for each slice.
const RATE: f64 = 30.0;
const ALL: f64 = RATE * SLICES as f64;
const PACE: Duration = Duration::from_millis(100);

fn with_aggregators(cores: usize) -> ManagedController {
    let mut managed = ManagedController::start(REPLICAS as usize, SLICES as usize);
    managed.program = None;
    managed.write_operators_file(&format!(
        "<cores most=\"{cores}\"/><overrides/>\n<subsetting subset=\"{REPLICAS}\" bytes-per-second=\"27000\">\
         <governor name=\"n0\"/><aggregator name=\"m1\" address=\"127.0.0.1:7001\"/></subsetting>"
    ));
    managed.restart();
    managed
}

/// One that tells each time what came since it told last.
struct Aggregator {
    peer: Peer,
    told: Instant,
}

impl Aggregator {
    fn join_zone(managed: &mut ManagedController) -> Self {
        let mut peer = managed.program().connect();
        peer.join_zone();
        Aggregator { peer, told: Instant::now() }
    }

    fn tells(&mut self) {
        let window = self.told.elapsed();
        self.told += window;
        let (seconds, ms) = (window.as_secs_f64(), window.as_secs_f64() * 1000.0);
        let mut lines = String::new();
        for replica in 0..REPLICAS {
            let attempts = seconds * RATE * f64::from(SLICES / REPLICAS);
            lines += &format!("{{\"@type\":\"LOAD\",\"az\":\"north\",\"host\":\"s-{replica}\",\"n\":{attempts},\"bad\":0,\"avg\":41.7,\"window\":{ms}}}\n");
        }
        for slice in 0..SLICES {
            let came = seconds * RATE;
            lines += &format!("{{\"@type\":\"SHARD\",\"partition\":{slice},\"kind\":\"lookup\",\"n\":{came},\"bad\":0,\"window\":{ms}}}\n");
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

fn measured(managed: &ManagedController) -> f64 {
    metric(managed, "whinwall_measured_requests_per_second")
}

fn tell_for(time: Duration, aggregators: &mut [&mut Aggregator]) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        aggregators.iter_mut().for_each(|aggregator| aggregator.tells());
        thread::sleep(PACE);
    }
}

/// Tells on until all replicas are observed, and loads of eight seconds rest on what is told now.
fn tell_until_observed(managed: &[&ManagedController], aggregators: &mut [&mut Aggregator]) {
    let end = Instant::now() + 2 * TEST_TIMEOUT;
    while managed.iter().any(|controller| metric(controller, "whinwall_partially_observed_replicas") > 0.0) {
        assert!(Instant::now() < end, "some replica is not observed");
        tell_for(5 * PACE, aggregators);
    }
    tell_for(Duration::from_secs(9), aggregators);
}

fn is_right(measured: f64) -> bool {
    (measured / ALL - 1.0).abs() < 0.15
}

/// Two serve at once, then one alone after a gap; beside it a controller that only ever has one.
fn two_count_as_one(cores: usize) {
    let (mut two, mut one) = (with_aggregators(cores), with_aggregators(cores));
    let (mut first, mut second) = (Aggregator::join_zone(&mut two), Aggregator::join_zone(&mut two));
    let mut only = Aggregator::join_zone(&mut one);
    tell_until_observed(&[&two, &one], &mut [&mut first, &mut second, &mut only]);
    let (both, alone) = (measured(&two), measured(&one));
    println!("{cores} cores: {both:.1} of {ALL} by two, {alone:.1} by one");
    assert!(is_right(both) && is_right(alone), "{both} and {alone} of {ALL}");
    first.peer.stream.shutdown(Shutdown::Both).unwrap();
    second.peer.stream.shutdown(Shutdown::Both).unwrap();
    thread::sleep(Duration::from_secs(2));
    let gap = measured(&two);
    let mut third = Aggregator::join_zone(&mut two);
    tell_until_observed(&[&two], &mut [&mut third, &mut only]);
    let after = measured(&two);
    println!("{cores} cores: {gap:.1} of {ALL} in a gap, {after:.1} after it");
    assert!(is_right(gap) && is_right(after), "{gap} and {after} of {ALL}");
    assert_eq!(metric(&two, "whinwall_aggregated_reports_stale"), 0.0);
    assert!(metric(&two, "whinwall_aggregated_report_bytes_per_second") > 1000.0);
    let log = &mut two.program().log;
    let mut notes = log.skipped.drain(..).chain(log.receiver.try_iter());
    assert_eq!(notes.find(|note| note.contains("replica ejected")), None);
}

#[test]
fn reports_of_two_aggregators_count_once_on_one_core() {
    two_count_as_one(1);
}

#[test]
fn reports_of_two_aggregators_count_once_on_several_cores() {
    two_count_as_one(3);
}
