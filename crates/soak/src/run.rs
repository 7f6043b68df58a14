//! One run: the rounds of one seed and the violations found.

use crate::clients::{Clients, Shared};
use crate::flood::ConnectionFlood;
use crate::incarnation::Incarnation;
use crate::ledger::Ledger;
use crate::plan::{Ending, Fault, FaultKind, Plan, Round};
use crate::program::{Installation, RunningController, SoakError};
use crate::violation::{Violation, Violations};
use rustix::process::Signal;
use std::fmt;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use whinwall_scale_tests::fakes::collectors::{Collectors, ReportSchedule};
use whinwall_scale_tests::fakes::discovery::Discovery;
use whinwall_scale_tests::fakes::fleet::{FleetSize, ReportShape};
use whinwall_scale_tests::fakes::relay::Relay;
use whinwall_scale_tests::fakes::Traffic;

/// The time from the first signal that ends the program to the kill.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Far longer than a killed process takes to exit.
const REAP_TIMEOUT: Duration = Duration::from_secs(10);
/// The idle period before the resource usage is read.
const IDLE_PERIOD: Duration = Duration::from_secs(3);
/// Descriptors that an idle program may hold beyond those at its start, for a reopened connection to the relay.
const MAX_EXTRA_DESCRIPTORS: usize = 2;
/// Half of the memory limit in the configuration.
const MAX_RESIDENT_BYTES: u64 = 96 << 20;

/// Counts and violations of a run.
pub struct RunReport {
    /// The seed.
    pub seed: u64,
    /// Completed rounds.
    pub rounds: usize,
    /// Answered requests and pings.
    pub answered: u64,
    /// Overrides acknowledged as set or ended.
    pub acknowledged: usize,
    /// The violations found.
    pub violations: Vec<Violation>,
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let RunReport { seed, rounds, answered, acknowledged, violations } = self;
        let found = violations.len();
        write!(
            f,
            "seed {seed}: {rounds} rounds, {answered} answers, {acknowledged} acknowledged overrides, {found} violations"
        )?;
        violations.iter().try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}

/// The size of the fake fleet.
fn fleet() -> FleetSize {
    FleetSize {
        replicas: 30,
        zones: 3,
        slices: 20,
        proxies: 20,
        controllers: 1,
        requests: 500.0,
        ..FleetSize::target()
    }
}

/// Runs rounds of the seed against the program. Rounds that have begun within `duration` are completed.
///
/// # Errors
///
/// [`SoakError`] if the soak test itself fails.
pub fn run_seed(program: &Path, seed: u64, duration: Duration) -> Result<RunReport, SoakError> {
    let (size, traffic) = (fleet(), Arc::new(Traffic::default()));
    let relay = Relay::start(&size, &traffic).map_err(SoakError::io("relay"))?;
    let discovery = Discovery::start(&size, &traffic).map_err(SoakError::io("discovery"))?;
    let installation =
        Installation::new(program.into(), size.configuration(relay.address()), discovery.address())?;
    let shared = Shared {
        socket: installation.socket(),
        incarnation: Arc::default(),
        ledger: Ledger::default(),
        violations: Violations::default(),
        answered: Arc::default(),
        stop: Arc::default(),
    };
    let (mut plan, end, mut rounds) = (Plan::new(seed), Instant::now() + duration, 0);
    let clients = Clients::start(&shared, seed);
    while Instant::now() < end {
        let round = plan.draw_round();
        run_round(&installation, &shared, &size, &traffic, &round)?;
        rounds += 1;
    }
    check_resource_usage(&installation, &shared, clients)?;
    Ok(RunReport {
        seed,
        rounds,
        answered: shared.answered.load(Ordering::Relaxed),
        acknowledged: shared.ledger.acknowledged_count(),
        violations: shared.violations.all(),
    })
}

fn run_round(
    installation: &Installation,
    shared: &Shared,
    size: &FleetSize,
    traffic: &Arc<Traffic>,
    round: &Round,
) -> Result<(), SoakError> {
    let mut controller = installation.start()?;
    let has = |kind| round.faults.iter().any(|fault: &Fault| fault.kind == kind);
    let may_evict = round.has_flood || has(FaultKind::DescriptorsShort);
    let incarnation =
        Arc::new(Incarnation::new(controller.address, round.to_string(), may_evict, has(FaultKind::Stopped)));
    shared.set_incarnation(Some(incarnation.clone()));
    let schedules =
        (0..size.zones).map(|zone| ReportSchedule::for_zone(size, &ReportShape::full(size), zone, 10));
    // These collectors only generate load: a failure to connect while descriptors are exhausted is no violation.
    let _collectors = Collectors::start(controller.address, schedules.collect(), traffic);
    let _flood = round.has_flood.then(|| ConnectionFlood::start(incarnation.clone()));
    run_with_faults(&controller, round);
    if let Some(status) = controller.wait_for_exit(Duration::ZERO)? {
        record_crash(shared, &controller, &format!("{status} before the end of {round}"));
        return Ok(());
    }
    match &round.ending {
        Ending::Kill => {
            incarnation.note_kill();
            controller.signal(Signal::KILL);
            controller.wait_for_exit(REAP_TIMEOUT)?;
        }
        Ending::Signals(signals) => end_by_signals(&mut controller, &incarnation, shared, round, signals)?,
    }
    let panics: Vec<_> = controller.log_lines().into_iter().filter(|line| line.contains("panic")).collect();
    if !panics.is_empty() {
        shared.violations.record(Violation::Crashed { cause: panics.join("; ") });
    }
    Ok(())
}

/// Waits for the uptime of the round and injects its faults. Faults that last longer stay active during the shutdown.
fn run_with_faults(controller: &RunningController, round: &Round) {
    let began = Instant::now();
    let mut steps: Vec<(Duration, FaultKind, bool)> = Vec::new();
    for Fault { kind, from, until } in &round.faults {
        steps.push((*from, *kind, true));
        steps.push((*until, *kind, false));
    }
    steps.sort_by_key(|(at, ..)| *at);
    for (at, kind, begins) in steps.into_iter().filter(|(at, ..)| *at <= round.uptime) {
        std::thread::sleep(at.saturating_sub(began.elapsed()));
        if begins {
            controller.begin_fault(kind);
        } else {
            controller.end_fault(kind);
        }
    }
    std::thread::sleep(round.uptime.saturating_sub(began.elapsed()));
}

fn end_by_signals(
    controller: &mut RunningController,
    incarnation: &Incarnation,
    shared: &Shared,
    round: &Round,
    signals: &[(Duration, Signal)],
) -> Result<(), SoakError> {
    let mut kill_at = None;
    for (pause, signal) in signals {
        std::thread::sleep(*pause);
        if matches!(*signal, Signal::TERM | Signal::INT) {
            incarnation.note_end_signal();
            kill_at.get_or_insert_with(|| Instant::now() + KILL_DELAY);
        }
        controller.signal(*signal);
    }
    let kill_at = kill_at.unwrap_or_else(Instant::now);
    match controller.wait_for_exit(kill_at.saturating_duration_since(Instant::now()))? {
        Some(status) if status.success() => {}
        Some(status) => record_crash(shared, controller, &format!("{status} at the end of {round}")),
        None => {
            incarnation.note_kill();
            controller.signal(Signal::KILL);
            controller.wait_for_exit(REAP_TIMEOUT)?;
            shared.violations.record(Violation::SlowShutdown { round: round.to_string() });
        }
    }
    Ok(())
}

fn record_crash(shared: &Shared, controller: &RunningController, cause: &str) {
    let log = controller.log_lines();
    let last = log.last().map_or("", String::as_str);
    shared.violations.record(Violation::Crashed { cause: format!("{cause}; last log line: {last:?}") });
}

/// Starts the program once more, and compares its resource usage before and after traffic with a connection flood. Each
/// reading follows an idle period. During the traffic the clients check the override list.
fn check_resource_usage(
    installation: &Installation,
    shared: &Shared,
    clients: Clients,
) -> Result<(), SoakError> {
    let controller = installation.start()?;
    std::thread::sleep(IDLE_PERIOD);
    let before = controller.resource_usage()?;
    let incarnation =
        Arc::new(Incarnation::new(controller.address, "the resource usage check".into(), true, false));
    shared.set_incarnation(Some(incarnation.clone()));
    let flood = ConnectionFlood::start(incarnation);
    std::thread::sleep(IDLE_PERIOD);
    drop(flood);
    drop(clients);
    std::thread::sleep(IDLE_PERIOD);
    let after = controller.resource_usage()?;
    let has_leak = after.descriptors > before.descriptors + MAX_EXTRA_DESCRIPTORS
        || after.threads > before.threads
        || after.resident_bytes > MAX_RESIDENT_BYTES;
    if has_leak {
        let usage = format!("{before:?} before, {after:?} after");
        shared.violations.record(Violation::Leak { usage });
    }
    Ok(())
}
