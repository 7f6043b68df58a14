//! How late overrides expire: 200 replicas out of service in a real controller, over loopback; for each, the time
//! from the end of its override to the command that reinstates it, as the relay receives it.

#[path = "../tests/support/mod.rs"]
mod support;

use hdrhistogram::Histogram;
use std::time::{Duration, Instant};
use support::managed_controller::{out_of_service, ManagedController};

const OVERRIDES: usize = 200;

fn main() {
    let mut managed = ManagedController::start(2 * OVERRIDES + 50, 6 * OVERRIDES);
    let mut ends = Vec::new();
    for n in 0..OVERRIDES {
        let duration_seconds = 4 + n % 5;
        let before = Instant::now();
        managed
            .set(&format!("o{n}"), &out_of_service(&format!("s-{n}"), &format!("{duration_seconds}s")))
            .unwrap();
        // The override begins somewhere within the call: counted from its start, the lateness is never understated.
        ends.push(before + Duration::from_secs(duration_seconds as u64));
    }
    let mut late = Histogram::<u64>::new(3).unwrap();
    for (n, end) in ends.iter().enumerate() {
        let back = managed.fleet.wait_for_command(&format!("IN,s-{n}"));
        late.record(back.saturating_duration_since(*end).as_micros() as u64).unwrap();
    }
    let ms = |us: u64| us as f64 / 1000.0;
    let (p50, p99) = (late.value_at_quantile(0.5), late.value_at_quantile(0.99));
    println!(
        "{OVERRIDES} overrides reverted late by: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        ms(p50),
        ms(p99),
        ms(late.max())
    );
    let status = std::fs::read_to_string(format!("/proc/{}/status", managed.program().child.id())).unwrap();
    status
        .lines()
        .filter(|line| line.starts_with("VmRSS") || line.starts_with("Threads"))
        .for_each(|line| println!("{line}"));
}
