//! Measures how late overrides expire. 200 overrides withdraw replicas in a controller process, over loopback. For
//! each replica, the benchmark measures the time from the end of its override until the relay receives the command
//! that reinstates the replica.

#[path = "../tests/support/mod.rs"]
mod support;

use hdrhistogram::Histogram;
use std::time::{Duration, Instant};
use support::managed_controller::{out_of_service, ManagedController};

const OVERRIDE_COUNT: usize = 200;

fn main() {
    let mut managed = ManagedController::start(2 * OVERRIDE_COUNT + 50, 6 * OVERRIDE_COUNT);
    let mut expected_ends = Vec::new();
    for n in 0..OVERRIDE_COUNT {
        let duration_seconds = 4 + n % 5;
        let called_at = Instant::now();
        managed
            .set(&format!("o{n}"), &out_of_service(&format!("s-{n}"), &format!("{duration_seconds}s")))
            .unwrap();
        // The override begins at an unknown time during the call. Counting from the start of the call never understates
        // the delay.
        expected_ends.push(called_at + Duration::from_secs(duration_seconds as u64));
    }
    let mut expiry_delays = Histogram::<u64>::new(3).unwrap();
    for (n, expected_end) in expected_ends.iter().enumerate() {
        let reinstated_at = managed.fleet.wait_for_command(&format!("IN,s-{n}"));
        expiry_delays
            .record(reinstated_at.saturating_duration_since(*expected_end).as_micros() as u64)
            .unwrap();
    }
    let ms = |us: u64| us as f64 / 1000.0;
    let (p50, p99) = (expiry_delays.value_at_quantile(0.5), expiry_delays.value_at_quantile(0.99));
    println!(
        "{OVERRIDE_COUNT} overrides reverted late by: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        ms(p50),
        ms(p99),
        ms(expiry_delays.max())
    );
    let status = std::fs::read_to_string(format!("/proc/{}/status", managed.program().child.id())).unwrap();
    status
        .lines()
        .filter(|line| line.starts_with("VmRSS") || line.starts_with("Threads"))
        .for_each(|line| println!("{line}"));
}
