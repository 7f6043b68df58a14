//! The steady-state cases, events and floods of a complete run.

use super::error::MeasureError;
use super::events::{self, Event, FloodCost, Outcome};
use super::steady::{Case, Times};
use super::test_bed::Setup;
use crate::fakes::fleet::{FleetSize, ReportShape};
use std::path::Path;

/// Sizes of the endpoint list, in replicas.
const REPLICA_COUNTS: [usize; 4] = [275, 550, 1100, 2200];
/// Numbers of zones.
const ZONE_COUNTS: [usize; 3] = [1, 3, 9];
/// Numbers of slices owned by the controller.
const SLICE_COUNTS: [usize; 4] = [0, 60, 200, 660];
/// Numbers of proxies.
const PROXY_COUNTS: [usize; 3] = [0, 400, 1600];
/// Rates of endpoint list churn, in entries per second.
const CHURN_RATES: [f64; 3] = [1.0, 10.0, 100.0];
/// Numbers of writes per period of a collector.
const WRITES_PER_PERIOD: [usize; 2] = [20, 200];
/// Shapes of aggregated reports: the number of replicas that they cover, and the window of a line in milliseconds.
const AGGREGATED_SHAPES: [(usize, f64); 6] =
    [(44, 1000.0), (88, 1000.0), (176, 1000.0), (352, 2000.0), (704, 4000.0), (2200, 12_000.0)];
/// Number of periods that each collector sends in a flood. At the target's size, nine collectors send 19,800 endpoint
/// reports per period.
const FLOOD_PERIODS: usize = 100;

fn case(sweep: &'static str, size: FleetSize) -> Case {
    Case { sweep, setup: Setup::reported(size), churn: 0.0 }
}

/// Returns the steady-state cases: the target's size, the same with an eighth of the replicas, combinations of replicas
/// and zones, and then variations of each other dimension of the target's size.
pub fn steady_cases() -> Vec<Case> {
    let target = FleetSize::target();
    let sizes =
        ZONE_COUNTS.iter().flat_map(|zones| REPLICA_COUNTS.iter().map(move |replicas| (*zones, *replicas)));
    let mut cases = vec![case("target", target.clone())];
    cases.push(case("target", FleetSize { replicas: REPLICA_COUNTS[0], ..target.clone() }));
    let sizes =
        sizes.map(|(zones, replicas)| case("size", FleetSize { replicas, zones, ..FleetSize::target() }));
    cases.extend(sizes);
    cases.extend(SLICE_COUNTS.map(|slices| case("slices", FleetSize { slices, ..target.clone() })));
    cases.extend(PROXY_COUNTS.map(|proxies| case("proxies", FleetSize { proxies, ..target.clone() })));
    cases.extend(CHURN_RATES.map(|churn| Case { churn, ..case("churn", target.clone()) }));
    for writes in WRITES_PER_PERIOD {
        let mut case = case("writes", target.clone());
        case.setup.writes = writes;
        cases.push(case);
    }
    cases.extend(
        AGGREGATED_SHAPES
            .map(|(replica_count, window_ms)| aggregated_case(&target, replica_count, window_ms)),
    );
    cases.extend(REPLICA_COUNTS.map(|replicas| {
        let mut case = case("silent", FleetSize { replicas, ..target.clone() });
        case.setup.reports = None;
        case
    }));
    cases
}

/// Returns a case with one connection, which reports on `replica_count` replicas with sums over all zones.
fn aggregated_case(size: &FleetSize, replica_count: usize, window_ms: f64) -> Case {
    let mut case = case("summed", size.clone());
    let shape = ReportShape {
        replicas: 0..replica_count,
        window_ms,
        zones_summed: size.zones,
        includes_slices: true,
    };
    case.setup.reports = Some(shape);
    case.setup.collectors = 1;
    case
}

/// Runs a start at each size, the events at the target's size, and a full endpoint list at each size.
///
/// # Errors
///
/// When a test bed cannot be started or observed.
pub fn run_events(program: &Path, times: Times) -> Result<Vec<Outcome>, MeasureError> {
    let mut outcomes = Vec::new();
    for replicas in REPLICA_COUNTS {
        let setup = Setup::reported(FleetSize { replicas, ..FleetSize::target() });
        let outcome = events::start(program, &setup)?;
        outcomes.push(Outcome { name: format!("{}, {replicas} replicas", outcome.name), ..outcome });
    }
    let target = FleetSize::target();
    let (replicas_per_rack, replicas_per_zone) = (40, target.replicas / target.zones);
    let target_events = [
        Event::Nothing,
        Event::ConfigurationReload,
        Event::Drain(1),
        Event::Return(1),
        Event::Drain(replicas_per_rack),
        Event::Return(replicas_per_rack),
        Event::Drain(replicas_per_zone),
        Event::Return(replicas_per_zone),
    ];
    let reported = Setup::reported(target.clone());
    // Without reports, the measured cost is that of the event alone.
    let silent = Setup { reports: None, ..reported.clone() };
    for (reports, setup) in [("reports", &reported), ("no reports", &silent)] {
        let named = |outcome: Outcome| Outcome { name: format!("{}, {reports}", outcome.name), ..outcome };
        outcomes.extend(events::run_events(program, setup, &target_events, times)?.into_iter().map(named));
    }
    for replicas in REPLICA_COUNTS {
        let setup = Setup::reported(FleetSize { replicas, ..target.clone() });
        let event_outcomes = events::run_events(program, &setup, &[Event::FullList], times)?;
        let named =
            |outcome: Outcome| Outcome { name: format!("{}, {replicas} replicas", outcome.name), ..outcome };
        outcomes.extend(event_outcomes.into_iter().map(named));
    }
    Ok(outcomes)
}

/// The result of a flood.
#[derive(Clone, Debug)]
pub struct Flood {
    /// The name of the flood in the results.
    pub name: String,
    /// The cost for the controller.
    pub cost: FloodCost,
}

/// Floods one controller with four collectors, on one core and with additional reader threads.
///
/// # Errors
///
/// When a test bed cannot be started or observed.
pub fn run_floods(program: &Path) -> Result<Vec<Flood>, MeasureError> {
    let mut floods = Vec::new();
    for cores in [1, 2, 4] {
        let size = FleetSize { zones: 4, ..FleetSize::target() };
        let operators = format!("<operators version=\"1\"><cores most=\"{cores}\"/></operators>");
        let setup = Setup { operators: (cores > 1).then_some(operators), ..Setup::reported(size) };
        let cost = events::flood(program, &setup, FLOOD_PERIODS)?;
        let name = format!("4 collectors, <cores most=\"{cores}\"/>");
        floods.push(Flood { name, cost });
    }
    Ok(floods)
}
