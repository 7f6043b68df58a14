//! The cases, events and floods of a complete run.

use super::error::MeasureError;
use super::events::{self, Event, FloodCost, Outcome};
use super::steady::{Case, Times};
use super::test_bed::Setup;
use crate::stand_ins::fleet::{FleetSize, ReportShape};
use std::path::Path;

/// Sizes of the endpoint list, in replicas.
const REPLICAS: [usize; 4] = [275, 550, 1100, 2200];
/// Numbers of zones.
const ZONES: [usize; 3] = [1, 3, 9];
/// Slices owned by the controller.
const SLICES: [usize; 4] = [0, 60, 200, 660];
/// Numbers of proxies.
const PROXIES: [usize; 3] = [0, 400, 1600];
/// Entries of the list that change, a second.
const CHURN: [f64; 3] = [1.0, 10.0, 100.0];
/// Writes for each period of a collector.
const WRITES: [usize; 2] = [20, 200];
/// Replicas that summed reports cover, and the window of a line in milliseconds: shapes of aggregated reports.
const SUMMED_SHAPES: [(usize, f64); 6] =
    [(44, 1000.0), (88, 1000.0), (176, 1000.0), (352, 2000.0), (704, 4000.0), (2200, 12_000.0)];
/// Periods of each collector in a flood: nine collectors, 19,800 lines a period.
const FLOOD_PERIODS: usize = 100;

fn case(sweep: &'static str, size: FleetSize) -> Case {
    Case { sweep, setup: Setup::reported(size), churn: 0.0 }
}

/// The cases without an event: the target's size and an eighth of it, replicas by zones, then from the target's size
/// each other dimension by itself.
pub fn steady_cases() -> Vec<Case> {
    let target = FleetSize::target();
    let sizes = ZONES.iter().flat_map(|zones| REPLICAS.iter().map(move |replicas| (*zones, *replicas)));
    let mut cases = vec![case("target", target.clone())];
    cases.push(case("target", FleetSize { replicas: REPLICAS[0], ..target.clone() }));
    let sizes =
        sizes.map(|(zones, replicas)| case("size", FleetSize { replicas, zones, ..FleetSize::target() }));
    cases.extend(sizes);
    cases.extend(SLICES.map(|slices| case("slices", FleetSize { slices, ..target.clone() })));
    cases.extend(PROXIES.map(|proxies| case("proxies", FleetSize { proxies, ..target.clone() })));
    cases.extend(CHURN.map(|churn| Case { churn, ..case("churn", target.clone()) }));
    for writes in WRITES {
        let mut spread = case("writes", target.clone());
        spread.setup.writes = writes;
        cases.push(spread);
    }
    cases.extend(SUMMED_SHAPES.map(|(replica_count, window_ms)| summed(&target, replica_count, window_ms)));
    cases.extend(REPLICAS.map(|replicas| {
        let mut silent = case("silent", FleetSize { replicas, ..target.clone() });
        silent.setup.reports = None;
        silent
    }));
    cases
}

/// One connection that reports on some replicas, summed over all zones.
fn summed(size: &FleetSize, replica_count: usize, window_ms: f64) -> Case {
    let mut summed = case("summed", size.clone());
    let shape = ReportShape {
        replicas: 0..replica_count,
        window_ms,
        zones_summed: size.zones,
        includes_slices: true,
    };
    summed.setup.reports = Some(shape);
    summed.setup.collectors = 1;
    summed
}

/// Plays starts at each size, then the events at the target's size.
///
/// # Errors
///
/// When a test bed cannot be started or observed.
pub fn play_events(program: &Path, times: Times) -> Result<Vec<Outcome>, MeasureError> {
    let mut outcomes = Vec::new();
    for replicas in REPLICAS {
        let setup = Setup::reported(FleetSize { replicas, ..FleetSize::target() });
        let outcome = events::start(program, &setup)?;
        outcomes.push(Outcome { name: format!("{}, {replicas} replicas", outcome.name), ..outcome });
    }
    let target = FleetSize::target();
    let (rack, zone) = (40, target.replicas / target.zones);
    let target_events = [
        Event::Nothing,
        Event::ConfigurationReload,
        Event::Drain(1),
        Event::Return(1),
        Event::Drain(rack),
        Event::Return(rack),
        Event::Drain(zone),
        Event::Return(zone),
    ];
    let reported = Setup::reported(target.clone());
    // What an event costs shows best where nothing else is sent.
    let silent = Setup { reports: None, ..reported.clone() };
    for (reports, setup) in [("reports", &reported), ("no reports", &silent)] {
        let named = |outcome: Outcome| Outcome { name: format!("{}, {reports}", outcome.name), ..outcome };
        outcomes.extend(events::play(program, setup, &target_events, times)?.into_iter().map(named));
    }
    for replicas in REPLICAS {
        let setup = Setup::reported(FleetSize { replicas, ..target.clone() });
        let played = events::play(program, &setup, &[Event::FullList], times)?;
        let named =
            |outcome: Outcome| Outcome { name: format!("{}, {replicas} replicas", outcome.name), ..outcome };
        outcomes.extend(played.into_iter().map(named));
    }
    Ok(outcomes)
}

/// The result of a flood.
#[derive(Clone, Debug)]
pub struct Flood {
    /// What was flooded.
    pub name: String,
    /// What it cost the controller.
    pub cost: FloodCost,
}

/// Four collectors flood one controller, on one core and with readers beside it.
///
/// # Errors
///
/// When a test bed cannot be started or observed.
pub fn play_floods(program: &Path) -> Result<Vec<Flood>, MeasureError> {
    let mut floods = Vec::new();
    for cores in [1, 2, 4] {
        let size = FleetSize { zones: 4, ..FleetSize::target() };
        let operators = format!("<operators version=\"1\"><cores most=\"{cores}\"/></operators>");
        let setup = Setup { operators: (cores > 1).then_some(operators), ..Setup::reported(size) };
        let cost = events::flood(program, &setup, FLOOD_PERIODS)?;
        let name = format!("four collectors, <cores most=\"{cores}\"/>");
        floods.push(Flood { name, cost });
    }
    Ok(floods)
}
