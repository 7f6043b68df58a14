//! One run: rounds of one seed, and what they find.

use crate::clients::{Clients, Shared};
use crate::crowd::Crowd;
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
use whinwall_scale_tests::stand_ins::collectors::{Collectors, ReportSchedule};
use whinwall_scale_tests::stand_ins::discovery::Discovery;
use whinwall_scale_tests::stand_ins::fleet::{FleetSize, ReportShape};
use whinwall_scale_tests::stand_ins::relay::Relay;
use whinwall_scale_tests::stand_ins::Traffic;

/// The kill comes so long after the first signal that ends the program.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Far longer than a process needs to end once it was killed.
const REAP_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the program is left alone before it is looked at what it holds.
const REST: Duration = Duration::from_secs(3);
/// Descriptors that a program at rest may hold beyond those of its start: a connection to the relay that is opened anew.
const SPARE_DESCRIPTORS: usize = 2;
/// Half of the memory that the configuration allows.
const MAX_RESIDENT_BYTES: u64 = 96 << 20;

/// What a run has done and found.
pub struct RunReport {
    /// Its seed.
    pub seed: u64,
    /// Rounds played.
    pub rounds: usize,
    /// Requests and pings that were answered.
    pub answered: u64,
    /// Overrides that were promised to be set or ended.
    pub promised: usize,
    /// What must not happen.
    pub violations: Vec<Violation>,
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let RunReport { seed, rounds, answered, promised, violations } = self;
        let found = violations.len();
        write!(
            f,
            "seed {seed}: {rounds} rounds, {answered} answers, {promised} promises, {found} violations"
        )?;
        violations.iter().try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}

/// The fleet of the stand-ins.
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

/// Plays the rounds of a seed against this program for as long as the time lasts.
///
/// # Errors
///
/// [`SoakError`], where the soak itself cannot go on.
pub fn play(program: &Path, seed: u64, duration: Duration) -> Result<RunReport, SoakError> {
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
        play_round(&installation, &shared, &size, &traffic, &round)?;
        rounds += 1;
    }
    rest(&installation, &shared, clients)?;
    Ok(RunReport {
        seed,
        rounds,
        answered: shared.answered.load(Ordering::Relaxed),
        promised: shared.ledger.promised(),
        violations: shared.violations.all(),
    })
}

fn play_round(
    installation: &Installation,
    shared: &Shared,
    size: &FleetSize,
    traffic: &Arc<Traffic>,
    round: &Round,
) -> Result<(), SoakError> {
    let mut controller = installation.start()?;
    let has = |kind| round.faults.iter().any(|fault: &Fault| fault.kind == kind);
    let may_evict = round.has_crowd || has(FaultKind::DescriptorsShort);
    let incarnation =
        Arc::new(Incarnation::new(controller.address, round.to_string(), may_evict, has(FaultKind::Stopped)));
    shared.set_incarnation(Some(incarnation.clone()));
    let schedules =
        (0..size.zones).map(|zone| ReportSchedule::for_zone(size, &ReportShape::full(size), zone, 10));
    // Where descriptors are short already they may not get in; the clients are what counts.
    let _collectors = Collectors::start(controller.address, schedules.collect(), traffic);
    let _crowd = round.has_crowd.then(|| Crowd::start(incarnation.clone()));
    run_with_faults(&controller, round);
    if let Some(status) = controller.wait_for_exit(Duration::ZERO)? {
        note_crash(shared, &controller, &format!("{status} in the middle of {round}"));
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
        shared.violations.note(Violation::Crashed { how: panics.join("; ") });
    }
    Ok(())
}

/// Lets the program run for its time, with its faults; those that last longer stay for its end.
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
        Some(status) => note_crash(shared, controller, &format!("{status} at the end of {round}")),
        None => {
            incarnation.note_kill();
            controller.signal(Signal::KILL);
            controller.wait_for_exit(REAP_TIMEOUT)?;
            shared.violations.note(Violation::EndedLate { signals: round.to_string() });
        }
    }
    Ok(())
}

fn note_crash(shared: &Shared, controller: &RunningController, how: &str) {
    let log = controller.log_lines();
    let last = log.last().map_or("", String::as_str);
    shared.violations.note(Violation::Crashed { how: format!("{how}; its log ends with {last:?}") });
}

/// Starts the program once more, leaves it alone after some traffic, and looks at what it holds and what it lists.
fn rest(installation: &Installation, shared: &Shared, clients: Clients) -> Result<(), SoakError> {
    let controller = installation.start()?;
    std::thread::sleep(REST);
    let before = controller.holdings()?;
    let incarnation = Arc::new(Incarnation::new(controller.address, "rest".into(), true, false));
    shared.set_incarnation(Some(incarnation.clone()));
    let crowd = Crowd::start(incarnation);
    std::thread::sleep(REST);
    drop(crowd);
    drop(clients);
    std::thread::sleep(REST);
    let after = controller.holdings()?;
    let holds_more = after.descriptors > before.descriptors + SPARE_DESCRIPTORS
        || after.threads > before.threads
        || after.resident_bytes > MAX_RESIDENT_BYTES;
    if holds_more {
        let what = format!("{before:?} before, {after:?} after");
        shared.violations.note(Violation::Leak { what });
    }
    Ok(())
}
