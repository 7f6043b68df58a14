//! Replicas that are warming up, with the program on loopback: what they are sent after restarts, steps of the wall
//! clock and releases.

mod support;

use rustix::process::Signal;
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::fake_fleet::FakeFleet;
use support::ControllerProcess;

/// The interval of collectors' reports, and the window that each covers.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// The number of proxies of the fake relay.
const PROXIES: usize = 3;

/// A fake fleet whose slices have fixed request rates, with a controller that steers it.
struct ColdReplicaTest {
    fleet: FakeFleet,
    controller: ControllerProcess,
    /// Requests per second, by slice.
    rates: Vec<f64>,
}

impl ColdReplicaTest {
    /// Starts a fleet with this many replicas and a slice for each rate, all on the given replicas. The replica with
    /// the highest number owns none and is not ready yet.
    fn start(replicas: usize, owners: &[usize], rates: &[f64]) -> Self {
        let fleet = FakeFleet::start(replicas, rates.len(), PROXIES);
        for (slice, table) in fleet.tables.lock().unwrap().iter_mut() {
            *table = [(format!("s-{}", owners[*slice]), 1.0)].into();
        }
        fleet.set_listed_state(replicas - 1, "leaving", 0);
        let controller = start_controller(&fleet);
        ColdReplicaTest { fleet, controller, rates: rates.to_vec() }
    }

    /// Sends this many reports, one each period. All requests are answered in 100 ms.
    fn report(&self, periods: u32) {
        let mut collector = self.controller.connect();
        collector.join_zone();
        for period in 0..periods {
            if period > 0 {
                thread::sleep(REPORT_PERIOD);
            }
            let mut attempts = BTreeMap::<String, f64>::new();
            for (slice, rate) in self.rates.iter().enumerate() {
                collector.send_line(&format!(
                    r#"{{"@type":"SHARD","partition":{slice},"kind":"lookup","n":{rate},"bad":0,"window":1000.0}}"#
                ));
                for (replica, share) in self.shares(slice) {
                    *attempts.entry(replica).or_default() += rate * share;
                }
            }
            for (replica, attempts) in attempts {
                collector.send_line(&format!(
                    r#"{{"@type":"LOAD","az":"north","host":"{replica}","n":{attempts},"bad":0,"avg":100.0,"window":1000.0}}"#
                ));
            }
        }
        collector.ping();
    }

    /// The share of a slice's requests that each replica in its table gets.
    fn shares(&self, slice: usize) -> Vec<(String, f64)> {
        let tables = self.fleet.tables.lock().unwrap();
        let total: f64 = tables[&slice].values().sum();
        tables[&slice].iter().map(|(replica, weight)| (replica.clone(), weight / total)).collect()
    }

    /// The requests per second that a replica is sent according to the stored tables.
    fn load(&self, replica: &str) -> f64 {
        self.load_at(&self.rates, replica)
    }

    /// The requests per second that a replica is sent if the slices have these rates.
    fn load_at(&self, rates: &[f64], replica: &str) -> f64 {
        let share = |slice| self.shares(slice).into_iter().find(|(name, _)| name == replica);
        rates.iter().enumerate().filter_map(|(slice, rate)| Some(rate * share(slice)?.1)).sum()
    }

    /// The highest load of a replica if any one slice comes into as much demand as the busiest one has.
    fn load_with_a_slice_in_demand(&self, replica: &str) -> f64 {
        let highest = self.rates.iter().copied().fold(0.0, f64::max);
        let with_demand = |slice| {
            let mut rates = self.rates.clone();
            rates[slice] = highest;
            self.load_at(&rates, replica)
        };
        (0..self.rates.len()).map(with_demand).fold(0.0, f64::max)
    }
}

fn start_controller(fleet: &FakeFleet) -> ControllerProcess {
    let mut controller = ControllerProcess::start_at(fleet.relay, fleet.discovery, |_| {});
    controller.wait_for_log("relay snapshot complete");
    controller
}

/// The wall-clock time this long ago, as the list states start times.
fn wall_clock_ms_ago(ago: Duration) -> u64 {
    (SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - ago).as_millis() as u64
}

#[test]
fn replica_late_in_its_warm_up_is_not_sent_more_than_warm_ones_answer() {
    let test = ColdReplicaTest::start(6, &[0, 1, 2, 3], &[16.0, 12.0, 12.0, 12.0]);
    test.fleet.set_listed_state(4, "leaving", 0);
    test.report(5);
    for replica in [4, 5] {
        test.fleet.set_listed_state(replica, "active", wall_clock_ms_ago(Duration::from_secs(12)));
    }
    test.fleet.set_listed_state(0, "leaving", 0);
    test.fleet.wait_until_unused("s-0");
    let mean_of_warm_replicas = test.rates.iter().sum::<f64>() / 4.0;
    let load = test.load("s-4").max(test.load("s-5"));
    assert!(load <= mean_of_warm_replicas, "{load} requests/s, warm replicas answer {mean_of_warm_replicas}");
}

#[test]
fn restarted_controller_moves_no_slice_of_unknown_demand_to_a_cold_replica() {
    let mut test = ColdReplicaTest::start(3, &[0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 1], &[4.0; 12]);
    test.report(2);
    test.controller.signal(Signal::KILL);
    test.controller.wait_for_exit();
    test.fleet.set_listed_state(2, "active", wall_clock_ms_ago(Duration::from_secs(1)));
    test.fleet.set_listed_state(1, "leaving", 0);
    test.controller = start_controller(&test.fleet);
    test.fleet.wait_until_unused("s-1");
    assert_eq!(test.load("s-2"), 0.0, "requests/s to a cold replica before any report of the slices' demand");
}

#[test]
fn replica_that_restarts_after_a_step_of_the_wall_clock_gets_no_more_than_a_cold_one() {
    let owners = [0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1];
    let test = ColdReplicaTest::start(3, &owners, &[2.0; 12]);
    test.report(4);
    // The clock was stepped back by an hour while the controller was running.
    test.fleet.set_listed_state(2, "active", wall_clock_ms_ago(Duration::from_secs(3600)));
    test.fleet.set_listed_state(1, "leaving", 0);
    test.fleet.wait_until_unused("s-1");
    // A replica that has just started can do 0.21 of what a warm one can, and collapses at three times that.
    let collapse_load = 3.0 * 0.21 * 12.0;
    let load = test.load("s-2");
    assert!(
        load <= collapse_load,
        "{load} requests/s, a replica that has just started collapses at {collapse_load}"
    );
}

#[test]
fn returned_replica_does_not_collapse_when_a_slice_comes_into_demand_while_others_have_room() {
    let owners = [0, 0, 1, 2, 2, 3, 3, 4, 4];
    let test = ColdReplicaTest::start(6, &owners, &[4.0, 4.0, 30.0, 4.0, 4.0, 4.0, 4.0, 4.0, 4.0]);
    test.report(5);
    test.fleet.set_listed_state(5, "active", wall_clock_ms_ago(Duration::from_secs(5)));
    test.fleet.set_listed_state(0, "leaving", 0);
    test.fleet.wait_until_unused("s-0");
    // After 5 s of 15 it can do 0.47 of what a warm one can, and collapses at three times that.
    let mean_of_warm_replicas = test.rates.iter().sum::<f64>() / 5.0;
    let collapse_load = 3.0 * 0.47 * mean_of_warm_replicas;
    let load = test.load_with_a_slice_in_demand("s-5");
    assert!(load <= collapse_load, "{load} requests/s, the replica collapses at {collapse_load}");
}
