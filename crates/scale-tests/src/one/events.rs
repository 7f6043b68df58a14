//! Measures one controller during events: its resource usage, the bytes that it receives, and its reaction time when
//! entries of the endpoint list change at the same time, when the complete list is sent again, and at start-up.

use super::error::MeasureError;
use super::steady::Times;
use super::test_bed::{Setup, TestBed};
use crate::fakes::collectors;
use crate::fakes::fleet::{EntryState, ReplicaState};
use crate::fakes::relay::RelayRequest;
use crate::fakes::TrafficCount;
use crate::process::{machine_load, Usage};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time limit for the controller's reaction to an event.
const ACTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Text of the log line that the controller writes after reloading its files.
const RELOADED_LOG_TEXT: &str = "configuration reloaded";

/// An event that a controller has to handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// No event, to measure the cost of the same time while idle.
    Nothing,
    /// The configuration file is reloaded on SIGHUP.
    ConfigurationReload,
    /// The given number of replicas begin to drain at the same time, among them an owner of a slice.
    Drain(usize),
    /// The given number of replicas become active again at the same time, cold.
    Return(usize),
    /// The complete endpoint list is sent again, in which one owner of a slice drains.
    FullList,
}

impl Event {
    /// Returns the name of the event in the result tables.
    pub fn name(&self) -> String {
        match self {
            Event::Nothing => "nothing".into(),
            Event::ConfigurationReload => "SIGHUP, until the reload is logged".into(),
            Event::Drain(count) => format!("{count} replicas drain"),
            Event::Return(count) => format!("{count} replicas active again, cold"),
            Event::FullList => "full endpoint list sent again, one slice owner drains".into(),
        }
    }
}

/// The result of an event.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The name of the event.
    pub name: String,
    /// Time until the first request that withdraws a draining replica, until the files were reloaded, or, for a start,
    /// until the first command on a routing table. `None` for other events, or after the time limit.
    pub first_command: Option<Duration>,
    /// Time until no draining replica owns a slice; `None` if no replica drains.
    pub last_command: Option<Duration>,
    /// Traffic of the controller during the measurement.
    pub traffic: TrafficCount,
    /// CPU time of the controller during the measurement.
    pub processor_time: Duration,
    /// Duration of the measurement.
    pub measured_for: Duration,
    /// Peak resident memory of the controller so far, in bytes.
    pub resident_peak: u64,
    /// Commands sent during the measurement.
    pub commands: usize,
    /// Load average of the machine over one minute.
    pub machine_load: f64,
}

/// Measures a start of the controller, from the creation of the process until the first command that sets an entry of a
/// routing table.
///
/// # Errors
///
/// When the test bed cannot be started or observed.
pub fn start(program: &Path, setup: &Setup) -> Result<Outcome, MeasureError> {
    let test_bed = TestBed::start(program, setup)?;
    let first = test_bed.wait_for_first_table_command(ACTION_TIMEOUT);
    let usage = test_bed.controller.usage()?;
    Ok(Outcome {
        name: format!("start, ready after {:.1} ms", test_bed.time_to_ready.as_secs_f64() * 1e3),
        first_command: first.latency,
        last_command: None,
        traffic: test_bed.traffic.read(),
        processor_time: usage.processor_time,
        measured_for: test_bed.controller.started().elapsed(),
        resident_peak: usage.resident_peak,
        commands: first.commands,
        machine_load: machine_load(),
    })
}

/// Runs the events in sequence against one controller that receives reports throughout.
///
/// # Errors
///
/// When the test bed cannot be started or observed.
pub fn run_events(
    program: &Path,
    setup: &Setup,
    events: &[Event],
    times: Times,
) -> Result<Vec<Outcome>, MeasureError> {
    let mut test_bed = TestBed::start(program, setup)?;
    test_bed.start_collectors(setup)?;
    thread::sleep(times.warm_up);
    events.iter().map(|event| run_event(&test_bed, setup, *event, times.measured)).collect()
}

fn run_event(
    test_bed: &TestBed,
    setup: &Setup,
    event: Event,
    min_duration: Duration,
) -> Result<Outcome, MeasureError> {
    test_bed.relay.take_requests();
    test_bed.controller.take_log_lines();
    let change = select_change(test_bed, setup, event);
    let (usage, traffic, began) = (test_bed.controller.usage()?, test_bed.traffic.read(), Instant::now());
    let mut first_command = None;
    match event {
        Event::Nothing => {}
        Event::ConfigurationReload => {
            test_bed.controller.process.reload()?;
            first_command = test_bed
                .controller
                .process
                .wait_for_log_line(RELOADED_LOG_TEXT, ACTION_TIMEOUT)
                .then(|| began.elapsed());
        }
        Event::FullList => test_bed.discovery.change_and_send_full_list(change.entries()),
        Event::Drain(_) | Event::Return(_) => test_bed.discovery.change(change.entries()),
    }
    let names: Vec<String> = change.replicas.iter().map(|replica| setup.size.replica(*replica)).collect();
    let is_drain = !names.is_empty() && change.entry_state.state == ReplicaState::Leaving;
    let (mut relay_requests, mut last_command) = (Vec::new(), None);
    while began.elapsed() < min_duration
        || (is_drain && last_command.is_none() && began.elapsed() < ACTION_TIMEOUT)
    {
        relay_requests.extend(test_bed.relay.next_request(Duration::from_millis(20)));
        let has_lost_slices =
            is_drain && !test_bed.relay.owners().values().any(|owner| names.contains(owner));
        last_command = last_command.or(has_lost_slices.then(|| began.elapsed()));
    }
    if is_drain {
        first_command = first_withdrawal(&relay_requests, &names).map(|request| request.read_at - began);
    }
    let after = test_bed.controller.usage()?;
    Ok(Outcome {
        name: event.name(),
        first_command,
        last_command,
        traffic: test_bed.traffic.read().since(traffic),
        processor_time: after.processor_time - usage.processor_time,
        measured_for: began.elapsed(),
        resident_peak: after.resident_peak,
        commands: relay_requests.iter().map(|request| request.commands.len()).sum(),
        machine_load: machine_load(),
    })
}

/// The selection of the replicas that an event changes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Selection {
    /// A replica that owns a slice comes first, so that the controller has to react to the event.
    OwnerFirst,
    /// The first replicas of the list, regardless of whether they own slices.
    ListOrder,
}

/// The replicas that an event changes, and their new state.
struct Change {
    replicas: Vec<usize>,
    entry_state: EntryState,
}

impl Change {
    fn entries(&self) -> impl Iterator<Item = (usize, EntryState)> + '_ {
        self.replicas.iter().map(|replica| (*replica, self.entry_state))
    }
}

/// Selects the replicas that the event changes, and their new state.
fn select_change(test_bed: &TestBed, setup: &Setup, event: Event) -> Change {
    let cold_started_ms =
        || SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let leaving = EntryState { state: ReplicaState::Leaving, started_ms: 0 };
    let (count, entry_state) = match event {
        Event::Nothing | Event::ConfigurationReload => (0, leaving),
        Event::Drain(count) => (count, leaving),
        Event::FullList => (1, leaving),
        Event::Return(count) => {
            (count, EntryState { state: ReplicaState::Active, started_ms: cold_started_ms() })
        }
    };
    let selection = match entry_state.state {
        ReplicaState::Leaving => Selection::OwnerFirst,
        ReplicaState::Active | ReplicaState::Left => Selection::ListOrder,
    };
    Change { replicas: replicas_to_change(test_bed, setup, count, selection), entry_state }
}

/// Returns the indices of the replicas that change.
fn replicas_to_change(test_bed: &TestBed, setup: &Setup, count: usize, selection: Selection) -> Vec<usize> {
    let owners = test_bed.relay.owners();
    let owns_slice = |index: &usize| owners.values().any(|owner| *owner == setup.size.replica(*index));
    let first =
        (0..setup.size.replicas).find(|index| selection == Selection::OwnerFirst && owns_slice(index));
    let others = (0..setup.size.replicas).filter(|index| Some(*index) != first);
    first.into_iter().chain(others).take(count).collect()
}

fn first_withdrawal<'a>(relay_requests: &'a [RelayRequest], names: &[String]) -> Option<&'a RelayRequest> {
    let withdraws = |command: &String| {
        command.strip_prefix("OUT,").is_some_and(|name| names.iter().any(|drained| drained == name))
    };
    relay_requests.iter().find(|request| request.commands.iter().any(withdraws))
}

/// Throughput and resource usage of a controller during a flood.
#[derive(Clone, Copy, Debug)]
pub struct FloodCost {
    /// Lines read per second.
    pub lines_per_second: f64,
    /// CPU time per line, in seconds.
    pub cpu_seconds_per_line: f64,
    /// Resource usage at the end of the flood.
    pub usage: Usage,
}

/// Floods the controller with report lines, `periods` periods from each collector.
///
/// # Errors
///
/// When the test bed cannot be started or observed, or a collector fails.
pub fn flood(program: &Path, setup: &Setup, periods: usize) -> Result<FloodCost, MeasureError> {
    let test_bed = TestBed::start(program, setup)?;
    // The controller ignores reports on replicas that are not in its endpoint list yet.
    test_bed.wait_for_first_table_command(ACTION_TIMEOUT);
    let schedules = setup.schedules();
    // A first flood, which is not measured, fills the controller's name tables, windows and buffers.
    collectors::flood(test_bed.controller.address(), &schedules, 1, &test_bed.traffic)?;
    let before = test_bed.controller.usage()?;
    let flooded = collectors::flood(test_bed.controller.address(), &schedules, periods, &test_bed.traffic)?;
    let after = test_bed.controller.usage()?;
    let cpu_seconds = (after.processor_time - before.processor_time).as_secs_f64();
    Ok(FloodCost {
        lines_per_second: flooded.lines as f64 / flooded.elapsed.as_secs_f64(),
        cpu_seconds_per_line: cpu_seconds / flooded.lines as f64,
        usage: after,
    })
}
