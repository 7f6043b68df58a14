//! How late overrides revert: 200 replicas out of service on a program of its own, over loopback; of each, the
//! time from its end to the order that lets it in again, as the relay sees it.

#[path = "../tests/support/mod.rs"]
mod support;

use hdrhistogram::Histogram;
use std::time::{Duration, Instant};
use support::managed_controller::{out, ManagedController};

const MANY: usize = 200;

fn main() {
    let mut managed = ManagedController::start(2 * MANY + 50, 6 * MANY);
    let mut ends = Vec::new();
    for n in 0..MANY {
        let lasts = 4 + n % 5;
        let before = Instant::now();
        managed.set(&format!("o{n}"), &out(&format!("s-{n}"), &format!("{lasts}s"))).unwrap();
        // It counts from some moment of the call: the earliest makes the lateness no less than it is.
        ends.push(before + Duration::from_secs(lasts as u64));
    }
    let mut late = Histogram::<u64>::new(3).unwrap();
    for (n, end) in ends.iter().enumerate() {
        let back = managed.fleet.wait_for_command(&format!("IN,s-{n}"));
        late.record(back.saturating_duration_since(*end).as_micros() as u64).unwrap();
    }
    let ms = |us: u64| us as f64 / 1000.0;
    let (half, most_of_all) = (late.value_at_quantile(0.5), late.value_at_quantile(0.99));
    println!(
        "{MANY} overrides reverted late by: p50 {:.1} ms, p99 {:.1} ms, most {:.1} ms",
        ms(half),
        ms(most_of_all),
        ms(late.max())
    );
    let status = std::fs::read_to_string(format!("/proc/{}/status", managed.program().child.id())).unwrap();
    status
        .lines()
        .filter(|line| line.starts_with("VmRSS") || line.starts_with("Threads"))
        .for_each(|line| println!("{line}"));
}
