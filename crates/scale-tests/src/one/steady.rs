//! Measures one controller in a steady state, while the fakes send at a constant rate.

use super::error::MeasureError;
use super::test_bed::{Setup, TestBed};
use crate::fakes::fleet::{EntryState, FleetSize, Random, ReplicaState, ReportShape};
use crate::fakes::TrafficCount;
use crate::process::{current_thread_processor_time, machine_load, Usage};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use whinwall_protocol::collector;

/// A setup that is one point of a sweep.
#[derive(Clone, Debug)]
pub struct Case {
    /// The name of the sweep.
    pub sweep: &'static str,
    /// The setup.
    pub setup: Setup,
    /// Entries of the endpoint list that change per second.
    pub churn: f64,
}

/// Durations of the phases of a case.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time before the measurement, in which windows and tables fill.
    pub warm_up: Duration,
    /// Duration of the measurement.
    pub measured: Duration,
}

/// The measurement of a case.
#[derive(Clone, Debug)]
pub struct SteadyMeasurement {
    /// The case.
    pub case: Case,
    /// Time from the controller's start to its first PONG.
    pub time_to_ready: Duration,
    /// Actual duration of the measurement.
    pub measured_for: Duration,
    /// Traffic of the controller during the measurement.
    pub traffic: TrafficCount,
    /// CPU time of the controller during the measurement.
    pub processor_time: Duration,
    /// Resource usage of the controller at the end of the measurement.
    pub usage: Usage,
    /// CPU time of the harness during the measurement.
    pub harness: Duration,
    /// Commands that the controller sent during the measurement.
    pub commands: usize,
    /// Load average of the machine over one minute.
    pub machine_load: f64,
    /// CPU time of decoding one report line in the harness right after the measurement. It shows the speed of the
    /// machine at that time.
    pub decoding: Option<Duration>,
}

impl SteadyMeasurement {
    /// Returns the CPU use of the controller as a fraction of one core.
    pub fn processor_share(&self) -> f64 {
        self.processor_time.as_secs_f64() / self.measured_for.as_secs_f64()
    }

    /// Returns the CPU use of the harness as a fraction of one core.
    pub fn harness_share(&self) -> f64 {
        self.harness.as_secs_f64() / self.measured_for.as_secs_f64()
    }

    /// Converts a count to a rate per second.
    pub fn rate(&self, count: u64) -> f64 {
        count as f64 / self.measured_for.as_secs_f64()
    }
}

/// Measures a case.
///
/// # Errors
///
/// When the test bed cannot be started or observed.
pub fn measure(program: &Path, case: &Case, times: Times) -> Result<SteadyMeasurement, MeasureError> {
    let mut test_bed = TestBed::start(program, &case.setup)?;
    test_bed.start_collectors(&case.setup)?;
    thread::sleep(times.warm_up);
    test_bed.relay.take_requests();
    let (usage_before, harness_before) = (test_bed.controller.usage()?, Usage::of_self()?);
    let (traffic_before, began) = (test_bed.traffic.read(), Instant::now());
    run_churn(&test_bed, case, began + times.measured);
    let measured_for = began.elapsed();
    let (usage_after, harness_after) = (test_bed.controller.usage()?, Usage::of_self()?);
    Ok(SteadyMeasurement {
        case: case.clone(),
        time_to_ready: test_bed.time_to_ready,
        measured_for,
        traffic: test_bed.traffic.read().since(traffic_before),
        processor_time: usage_after.processor_time - usage_before.processor_time,
        usage: usage_after,
        // Saturating, because the later reading lacks the CPU time of harness threads that ended during the
        // measurement.
        harness: harness_after.processor_time.saturating_sub(harness_before.processor_time),
        commands: test_bed.relay.take_requests().iter().map(|request| request.commands.len()).sum(),
        machine_load: machine_load(),
        decoding: decoding_time_per_line(),
    })
}

/// Changes entries of the endpoint list at the case's rate until `end`: one replica after another drains and becomes
/// active again.
fn run_churn(test_bed: &TestBed, case: &Case, end: Instant) {
    let change_interval =
        if case.churn > 0.0 { Duration::from_secs_f64(1.0 / case.churn) } else { Duration::MAX };
    let mut next_change_at = Instant::now();
    for step in 0.. {
        if case.churn == 0.0 || next_change_at >= end {
            break;
        }
        thread::sleep(next_change_at.saturating_duration_since(Instant::now()));
        let replica = step / 2 % case.setup.size.replicas;
        let state = if step % 2 == 0 { ReplicaState::Leaving } else { ReplicaState::Active };
        test_bed.discovery.change([(replica, EntryState { state, started_ms: 0 })]);
        next_change_at += change_interval;
    }
    thread::sleep(end.saturating_duration_since(Instant::now()));
}

/// Returns the mean CPU time of decoding one report line, over as many lines as the target's collectors send per
/// second.
fn decoding_time_per_line() -> Option<Duration> {
    let size = FleetSize::target();
    let lines = ReportShape::full(&size).lines(&size, 0, &mut Random::new(1));
    let before = current_thread_processor_time()?;
    let decode_all = || lines.iter().filter(|line| collector::decode_report(line).is_some()).count();
    let decoded: usize = (0..size.zones).map(|_| decode_all()).sum();
    let elapsed = current_thread_processor_time()? - before;
    Some(elapsed / decoded.max(1) as u32)
}
