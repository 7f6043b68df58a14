//! One controller in events: what it uses, how much it receives, and how soon it acts, when some entries of the list
//! change at once, when the complete list is sent again, and when it starts.

use super::error::MeasureError;
use super::steady::Times;
use super::test_bed::{Setup, TestBed};
use crate::process::{machine_load, Usage};
use crate::stand_ins::collectors;
use crate::stand_ins::fleet::{EntryState, ReplicaState};
use crate::stand_ins::relay::RelayRequest;
use crate::stand_ins::TrafficCount;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A controller that has not acted by then has failed to.
const ACTION_TIMEOUT: Duration = Duration::from_secs(20);

/// What the controller logs when it has reloaded its files.
const RELOADED: &str = "configuration reloaded";

/// An event that a controller has to handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Nothing: what the same time costs while idle.
    Nothing,
    /// The configuration file is read again, on SIGHUP.
    ConfigurationReload,
    /// This many replicas begin to drain at once, an owner of slices among them.
    Drain(usize),
    /// This many replicas are active again at once, without a warm-up.
    Return(usize),
    /// The complete list is sent again, with one owner of a slice that drains.
    FullList,
}

impl Event {
    /// A name for tables.
    pub fn name(&self) -> String {
        match self {
            Event::Nothing => "nothing".into(),
            Event::ConfigurationReload => "SIGHUP, until it is logged as read".into(),
            Event::Drain(count) => format!("{count} replicas drain"),
            Event::Return(count) => format!("{count} replicas are back, cold"),
            Event::FullList => "the whole list again, one owner drains".into(),
        }
    }
}

/// The result of an event.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What happened.
    pub name: String,
    /// Until the first request that withdraws a replica, where one must come, or until the files were reloaded.
    pub first_command: Option<Duration>,
    /// Until no slice is owned by a replica that drains, where one was.
    pub last_command: Option<Duration>,
    /// What went over its connections until it had settled.
    pub traffic: TrafficCount,
    /// CPU time until it had settled.
    pub processor_time: Duration,
    /// For how long that was taken.
    pub measured_for: Duration,
    /// The most memory resident so far.
    pub resident_peak: u64,
    /// Commands sent during the measurement.
    pub commands: usize,
    /// Average number of runnable processes on the machine in the last minute.
    pub machine_load: f64,
}

/// Plays a start: from the process's creation until the first command that sets an entry of a routing table.
///
/// # Errors
///
/// When the test bed cannot be started or observed.
pub fn start(program: &Path, setup: &Setup) -> Result<Outcome, MeasureError> {
    let test_bed = TestBed::start(program, setup)?;
    let first = test_bed.wait_for_first_table_command(ACTION_TIMEOUT);
    let usage = test_bed.controller.usage()?;
    Ok(Outcome {
        name: format!("a start, ready after {:.1} ms", test_bed.time_to_ready.as_secs_f64() * 1e3),
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

/// Plays the events in turn at one controller that receives reports all along.
///
/// # Errors
///
/// When the test bed cannot be started or observed.
pub fn play(
    program: &Path,
    setup: &Setup,
    events: &[Event],
    times: Times,
) -> Result<Vec<Outcome>, MeasureError> {
    let mut test_bed = TestBed::start(program, setup)?;
    test_bed.start_collectors(setup)?;
    thread::sleep(times.warm_up);
    events.iter().map(|event| play_one(&test_bed, setup, *event, times.measured)).collect()
}

fn play_one(
    test_bed: &TestBed,
    setup: &Setup,
    event: Event,
    settling: Duration,
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
                .wait_for_log_line(RELOADED, ACTION_TIMEOUT)
                .then(|| began.elapsed());
        }
        Event::FullList => test_bed.discovery.change_and_send_full_list(change.entries()),
        Event::Drain(_) | Event::Return(_) => test_bed.discovery.change(change.entries()),
    }
    let names: Vec<String> = change.replicas.iter().map(|replica| setup.size.replica(*replica)).collect();
    let is_drain = !names.is_empty() && change.entry_state.state == ReplicaState::Leaving;
    let (mut relay_requests, mut last_command) = (Vec::new(), None);
    while began.elapsed() < settling
        || (is_drain && last_command.is_none() && began.elapsed() < ACTION_TIMEOUT)
    {
        relay_requests.extend(test_bed.relay.next_request(Duration::from_millis(20)));
        let is_left = is_drain && !test_bed.relay.owners().values().any(|owner| names.contains(owner));
        last_command = last_command.or(is_left.then(|| began.elapsed()));
    }
    if is_drain {
        first_command = first_withdrawal(&relay_requests, &names).map(|request| request.at - began);
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

/// Which replicas an event changes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Selection {
    /// A replica that owns a slice comes first, so that the event demands action.
    OwnerFirst,
    /// The first of the list, whether or not they own slices.
    ListOrder,
}

/// Replicas that change, and to what.
struct Change {
    replicas: Vec<usize>,
    entry_state: EntryState,
}

impl Change {
    fn entries(&self) -> impl Iterator<Item = (usize, EntryState)> + '_ {
        self.replicas.iter().map(|replica| (*replica, self.entry_state))
    }
}

/// Which replicas change, and to what.
fn select_change(test_bed: &TestBed, setup: &Setup, event: Event) -> Change {
    let cold = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let leaving = EntryState { state: ReplicaState::Leaving, started_ms: 0 };
    let (count, entry_state) = match event {
        Event::Nothing | Event::ConfigurationReload => (0, leaving),
        Event::Drain(count) => (count, leaving),
        Event::FullList => (1, leaving),
        Event::Return(count) => (count, EntryState { state: ReplicaState::Active, started_ms: cold() }),
    };
    let selection = match entry_state.state {
        ReplicaState::Leaving => Selection::OwnerFirst,
        ReplicaState::Active | ReplicaState::Left => Selection::ListOrder,
    };
    Change { replicas: replicas_to_change(test_bed, setup, count, selection), entry_state }
}

/// The numbers of the replicas that change.
fn replicas_to_change(test_bed: &TestBed, setup: &Setup, count: usize, selection: Selection) -> Vec<usize> {
    let owned = test_bed.relay.owners();
    let owned = |at: &usize| owned.values().any(|owner| *owner == setup.size.replica(*at));
    let first = (0..setup.size.replicas).find(|at| selection == Selection::OwnerFirst && owned(at));
    let rest = (0..setup.size.replicas).filter(|at| Some(*at) != first);
    first.into_iter().chain(rest).take(count).collect()
}

fn first_withdrawal<'a>(relay_requests: &'a [RelayRequest], names: &[String]) -> Option<&'a RelayRequest> {
    let withdraws = |command: &String| {
        command.strip_prefix("OUT,").is_some_and(|name| names.iter().any(|drained| drained == name))
    };
    relay_requests.iter().find(|request| request.commands.iter().any(withdraws))
}

/// What a controller uses while it is flooded.
#[derive(Clone, Copy, Debug)]
pub struct FloodCost {
    /// Lines that it read, a second.
    pub lines_per_second: f64,
    /// CPU time for a line, in seconds.
    pub cpu_seconds_per_line: f64,
    /// Its usage at the end.
    pub usage: Usage,
}

/// Floods the controller with lines: `periods` periods of each collector.
///
/// # Errors
///
/// When the test bed cannot be started or observed, or a collector fails.
pub fn flood(program: &Path, setup: &Setup, periods: usize) -> Result<FloodCost, MeasureError> {
    let test_bed = TestBed::start(program, setup)?;
    // Reports on replicas that are not listed yet would be ignored.
    test_bed.wait_for_first_table_command(ACTION_TIMEOUT);
    let schedules = setup.schedules();
    // A first flood without a measurement fills names, windows and buffers.
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
