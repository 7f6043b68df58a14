//! Writes the measurements as rows, tables with least-squares fits, and charts.

use super::aggregated::AggregatedMeasurement;
use super::events::Outcome;
use super::steady::SteadyMeasurement;
use super::sweep::Flood;
use crate::fit::{LinearFit, Point};
use crate::results::{markdown, Chart, Column, Folder, ResultsError, Series};
use std::fmt::Write;
use std::time::Duration;

/// Bytes per kilobyte in the results.
const KILOBYTE: f64 = 1000.0;
/// Bytes per megabyte in the results.
const MEGABYTE: f64 = 1e6;
/// The target's budget for one controller, in cores.
const PROCESSOR_BUDGET_CORES: f64 = 0.029;
/// The target's budget for reports to one controller, in bytes per second.
const REPORT_BUDGET_BYTES_PER_SECOND: f64 = 27.0 * KILOBYTE;

/// The target's budget for one controller, in megabytes.
const MEMORY_BUDGET_MB: f64 = 64.0;

/// Returns the line of progress output for one measurement.
pub fn progress_line(point: &SteadyMeasurement) -> String {
    let size = &point.case.setup.size;
    format!(
        "{}: {} replicas, {} zones, {} slices, {} proxies: {:.1} KB/s in, {:.2} KB/s out, {:.4} cores, {:.1} MB",
        point.case.sweep,
        size.replicas,
        size.zones,
        size.slices,
        size.proxies,
        point.rate(point.traffic.bytes_in()) / KILOBYTE,
        point.rate(point.traffic.bytes_out()) / KILOBYTE,
        point.processor_share(),
        point.usage.resident as f64 / MEGABYTE,
    )
}

fn columns(points: &[SteadyMeasurement]) -> Vec<Column> {
    let whole = |name, value_of: fn(&SteadyMeasurement) -> usize| {
        Column::integers(name, points.iter().map(|p| value_of(p) as i64))
    };
    let real =
        |name, value_of: fn(&SteadyMeasurement) -> f64| Column::floats(name, points.iter().map(value_of));
    vec![
        Column::text("sweep", points.iter().map(|point| point.case.sweep.to_string())),
        whole("replicas", |p| p.case.setup.size.replicas),
        whole("zones", |p| p.case.setup.size.zones),
        whole("slices", |p| p.case.setup.size.slices),
        whole("proxies", |p| p.case.setup.size.proxies),
        whole("writes", |p| p.case.setup.writes),
        whole("told", |p| p.case.setup.reports.as_ref().map_or(0, |shape| shape.replicas.len())),
        real("window_ms", |p| p.case.setup.reports.as_ref().map_or(0.0, |shape| shape.window_ms)),
        real("churn_a_second", |p| p.case.churn),
        real("lines_a_second", |p| p.rate(p.traffic.reports.lines)),
        real("reports_kb_a_second", |p| p.rate(p.traffic.reports.bytes) / KILOBYTE),
        real("list_kb_a_second", |p| p.rate(p.traffic.endpoint_list.bytes) / KILOBYTE),
        real("news_kb_a_second", |p| p.rate(p.traffic.relay_events.bytes) / KILOBYTE),
        real("in_kb_a_second", |p| p.rate(p.traffic.bytes_in()) / KILOBYTE),
        real("out_kb_a_second", |p| p.rate(p.traffic.bytes_out()) / KILOBYTE),
        real("orders_a_second", |p| p.rate(p.commands as u64)),
        real("cores", SteadyMeasurement::processor_share),
        real("resident_mb", |p| p.usage.resident as f64 / MEGABYTE),
        real("peak_mb", |p| p.usage.resident_peak as f64 / MEGABYTE),
        real("ready_ms", |p| p.time_to_ready.as_secs_f64() * 1e3),
        real("harness_cores", SteadyMeasurement::harness_share),
        real("measured_s", |p| p.measured_for.as_secs_f64()),
        real("machine_load", |p| p.machine_load),
        real("decoding_us_a_line", |p| p.decoding.map_or(f64::NAN, |time| time.as_secs_f64() * 1e6)),
    ]
}

/// The name of a regressor, and the function that returns its value at a point.
type Regressor = (&'static str, fn(&SteadyMeasurement) -> f64);

/// A quantity to fit: its name, the sweeps whose points are used, the regressors, and the function that returns the
/// measured value.
struct Quantity {
    name: &'static str,
    sweeps: &'static [&'static str],
    regressors: &'static [Regressor],
    measured: fn(&SteadyMeasurement) -> f64,
}

const REPORT_LINE_RATE: Regressor = ("lines/s", |p| p.rate(p.traffic.reports.lines));
const REPLICA_COUNT: Regressor = ("replicas", |p| p.case.setup.size.replicas as f64);
const REPLICA_ZONE_PAIRS: Regressor =
    ("replicas x zones", |p| (p.case.setup.size.replicas * p.case.setup.size.zones) as f64);
const SLICE_COUNT: Regressor = ("slices", |p| p.case.setup.size.slices as f64);
const SLICE_ZONE_PAIRS: Regressor =
    ("slices x zones", |p| (p.case.setup.size.slices * p.case.setup.size.zones) as f64);
const PROXY_COUNT: Regressor = ("proxies", |p| p.case.setup.size.proxies as f64);
const CHURN_RATE: Regressor = ("entries/s", |p| p.case.churn);

const QUANTITIES: [Quantity; 10] = [
    Quantity {
        name: "reports, bytes/s",
        sweeps: &["size", "slices"],
        regressors: &[REPLICA_ZONE_PAIRS, SLICE_ZONE_PAIRS],
        measured: |p| p.rate(p.traffic.reports.bytes),
    },
    Quantity {
        name: "processor, cores",
        sweeps: &["size"],
        regressors: &[REPORT_LINE_RATE, REPLICA_COUNT],
        measured: SteadyMeasurement::processor_share,
    },
    Quantity {
        name: "processor, cores, by report lines only",
        sweeps: &["size"],
        regressors: &[REPORT_LINE_RATE],
        measured: SteadyMeasurement::processor_share,
    },
    Quantity {
        name: "processor without reports, cores",
        sweeps: &["silent"],
        regressors: &[REPLICA_COUNT],
        measured: SteadyMeasurement::processor_share,
    },
    Quantity {
        name: "processor by slices, cores",
        sweeps: &["slices"],
        regressors: &[SLICE_COUNT],
        measured: SteadyMeasurement::processor_share,
    },
    Quantity {
        name: "processor by proxies, cores",
        sweeps: &["proxies"],
        regressors: &[PROXY_COUNT],
        measured: SteadyMeasurement::processor_share,
    },
    Quantity {
        name: "processor by endpoint list churn, cores",
        sweeps: &["churn"],
        regressors: &[CHURN_RATE],
        measured: SteadyMeasurement::processor_share,
    },
    Quantity {
        name: "endpoint list by churn, bytes/s",
        sweeps: &["churn"],
        regressors: &[CHURN_RATE],
        measured: |p| p.rate(p.traffic.endpoint_list.bytes),
    },
    Quantity {
        name: "memory resident, bytes",
        sweeps: &["size"],
        regressors: &[REPLICA_COUNT, REPLICA_ZONE_PAIRS],
        measured: |p| p.usage.resident as f64,
    },
    Quantity {
        name: "memory by slices, bytes",
        sweeps: &["slices"],
        regressors: &[SLICE_COUNT],
        measured: |p| p.usage.resident as f64,
    },
];

fn points_of<'a>(
    points: &'a [SteadyMeasurement],
    sweeps: &'a [&str],
) -> impl Iterator<Item = &'a SteadyMeasurement> {
    points.iter().filter(move |point| sweeps.contains(&point.case.sweep))
}

fn fit(points: &[SteadyMeasurement], quantity: &Quantity) -> Option<LinearFit> {
    let point = |measurement: &SteadyMeasurement| Point {
        regressors: quantity.regressors.iter().map(|(_, value_of)| value_of(measurement)).collect(),
        measured: (quantity.measured)(measurement),
    };
    LinearFit::least_squares(&points_of(points, quantity.sweeps).map(point).collect::<Vec<_>>()).ok()
}

fn fits(points: &[SteadyMeasurement]) -> String {
    let mut text = String::from(
        "| quantity | points | fit | R2 | largest residual | residuals, in the order of the rows | range |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for quantity in &QUANTITIES {
        let Some(fit) = fit(points, quantity) else { continue };
        let slopes = fit.slopes.iter().zip(quantity.regressors);
        let terms: Vec<_> = slopes.map(|(slope, (name, _))| format!("{slope:.4e} x {name}")).collect();
        let ranges = fit.range.iter().zip(quantity.regressors);
        let ranges: Vec<_> =
            ranges.map(|((low, high), (name, _))| format!("{name} {low:.0} to {high:.0}")).collect();
        let residuals: Vec<_> = fit.residuals.iter().map(|residual| format!("{residual:.2e}")).collect();
        _ = writeln!(
            text,
            "| {} | {} | {:.4e} + {} | {:.4} | {:.2e} | {} | {} |",
            quantity.name,
            fit.residuals.len(),
            fit.intercept,
            terms.join(" + "),
            fit.r_squared,
            fit.largest_residual(),
            residuals.join(" "),
            ranges.join(", ")
        );
    }
    text
}

/// Writes rows, table, fits and charts of the steady-state cases.
///
/// # Errors
///
/// When a file of the results cannot be written.
pub fn write_steady(folder: &Folder, points: &[SteadyMeasurement]) -> Result<(), ResultsError> {
    let columns = columns(points);
    folder.write_rows("steady", &columns)?;
    let text = format!(
        "# One controller in a steady state\n\n{}\n# Least squares\n\n{}",
        markdown(&columns),
        fits(points)
    );
    folder.write_text("steady.md", &text)?;
    folder.write_chart(
        "processor",
        &chart(
            points,
            "CPU use of one controller",
            "cores",
            PROCESSOR_BUDGET_CORES,
            SteadyMeasurement::processor_share,
        ),
    )?;
    let bytes = |p: &SteadyMeasurement| p.rate(p.traffic.bytes_in()) / KILOBYTE;
    folder.write_chart(
        "bytes",
        &chart(
            points,
            "bytes sent to one controller",
            "KB/s",
            REPORT_BUDGET_BYTES_PER_SECOND / KILOBYTE,
            bytes,
        ),
    )?;
    let memory = |p: &SteadyMeasurement| p.usage.resident as f64 / MEGABYTE;
    folder.write_chart(
        "memory",
        &chart(points, "memory of one controller", "MB resident", MEMORY_BUDGET_MB, memory),
    )
}

/// Returns a chart of the sweep `size` over the number of replicas, with one series per number of zones.
fn chart(
    points: &[SteadyMeasurement],
    title: &str,
    y_label: &str,
    budget: f64,
    measured: impl Fn(&SteadyMeasurement) -> f64,
) -> Chart {
    let mut zones: Vec<_> = points_of(points, &["size"]).map(|p| p.case.setup.size.zones).collect();
    zones.sort_unstable();
    zones.dedup();
    let series = zones.into_iter().map(|zones| {
        let of_zones = points_of(points, &["size"]).filter(|p| p.case.setup.size.zones == zones);
        let coordinates: Vec<_> =
            of_zones.map(|p| (p.case.setup.size.replicas as f64, measured(p))).collect();
        let fit_points: Vec<_> =
            coordinates.iter().map(|(x, y)| Point { regressors: vec![*x], measured: *y }).collect();
        let name = format!("{zones} zones");
        match LinearFit::least_squares(&fit_points) {
            Ok(fit) => Series::fitted(&name, coordinates, &fit),
            Err(_) => Series { name, points: coordinates, line: None },
        }
    });
    Chart {
        title: title.into(),
        x_label: "replicas".into(),
        y_label: y_label.into(),
        series: series.collect(),
        budget: Some(budget),
    }
}

/// Writes rows and table of the events.
///
/// # Errors
///
/// When a file of the results cannot be written.
pub fn write_events(folder: &Folder, outcomes: &[Outcome]) -> Result<(), ResultsError> {
    let real = |name, value_of: fn(&Outcome) -> f64| Column::floats(name, outcomes.iter().map(value_of));
    let ms = |name, value_of: fn(&Outcome) -> Option<Duration>| {
        let shown =
            |outcome| value_of(outcome).map_or("-".into(), |time| format!("{:.1}", time.as_secs_f64() * 1e3));
        Column::text(name, outcomes.iter().map(shown))
    };
    let columns = [
        Column::text("event", outcomes.iter().map(|outcome| outcome.name.clone())),
        ms("first_order_ms", |o| o.first_command),
        ms("last_order_ms", |o| o.last_command),
        real("list_kb", |o| o.traffic.endpoint_list.bytes as f64 / KILOBYTE),
        real("news_kb", |o| o.traffic.relay_events.bytes as f64 / KILOBYTE),
        real("reports_kb", |o| o.traffic.reports.bytes as f64 / KILOBYTE),
        real("calls_kb", |o| o.traffic.relay_requests.bytes as f64 / KILOBYTE),
        Column::integers("orders", outcomes.iter().map(|outcome| outcome.commands as i64)),
        real("processor_ms", |o| o.processor_time.as_secs_f64() * 1e3),
        real("over_s", |o| o.measured_for.as_secs_f64()),
        real("peak_mb", |o| o.resident_peak as f64 / MEGABYTE),
        real("machine_load", |o| o.machine_load),
    ];
    folder.write_rows("events", &columns)?;
    folder.write_text("events.md", &format!("# One controller during events\n\n{}", markdown(&columns)))
}

/// Writes rows and table of the floods.
///
/// # Errors
///
/// When a file of the results cannot be written.
pub fn write_floods(folder: &Folder, floods: &[Flood]) -> Result<(), ResultsError> {
    let real = |name, value_of: fn(&Flood) -> f64| Column::floats(name, floods.iter().map(value_of));
    let columns = [
        Column::text("flood", floods.iter().map(|flood| flood.name.clone())),
        real("lines_a_second", |f| f.cost.lines_per_second),
        real("processor_us_a_line", |f| f.cost.cpu_seconds_per_line * 1e6),
        real("cores", |f| f.cost.lines_per_second * f.cost.cpu_seconds_per_line),
        real("peak_mb", |f| f.cost.usage.resident_peak as f64 / MEGABYTE),
    ];
    folder.write_rows("floods", &columns)?;
    folder.write_text("floods.md", &format!("# Floods\n\n{}", markdown(&columns)))
}

/// Writes rows, table and fits of a controller behind aggregators, and the controller's log of the last run.
///
/// # Errors
///
/// When a file of the results cannot be written.
pub fn write_aggregated(folder: &Folder, measured: &[AggregatedMeasurement]) -> Result<(), ResultsError> {
    let whole = |name, value_of: fn(&AggregatedMeasurement) -> u64| {
        Column::integers(name, measured.iter().map(|m| value_of(m) as i64))
    };
    let real = |name, value_of: fn(&AggregatedMeasurement) -> f64| {
        Column::floats(name, measured.iter().map(value_of))
    };
    let columns = [
        whole("subset", |m| m.subsetting.subset as u64),
        whole("budget", |m| m.subsetting.bytes_per_second),
        whole("aggregators", |m| m.aggregators.len() as u64),
        real("reports_kb_a_second", |m| m.rate(m.report_bytes) / KILOBYTE),
        real("lines_a_second", |m| m.rate(m.report_lines)),
        real("in_kb_a_second", |m| m.rate(m.bytes_in) / KILOBYTE),
        real("out_kb_a_second", |m| m.rate(m.bytes_out) / KILOBYTE),
        real("cores", AggregatedMeasurement::processor_share),
        real("resident_mb", |m| m.usage.resident as f64 / MEGABYTE),
        real("peak_mb", |m| m.usage.resident_peak as f64 / MEGABYTE),
        real("ready_ms", |m| m.time_to_ready.as_secs_f64() * 1e3),
        real("first_report_s", |m| m.first_report.map_or(f64::NAN, |time| time.as_secs_f64())),
        real("aggregator_cores", AggregatedMeasurement::aggregator_share),
        real("aggregator_peak_mb", |m| m.aggregator_peak() as f64 / MEGABYTE),
        real("told_to_aggregators_kb_a_second", |m| m.rate(m.bytes_to_aggregators) / KILOBYTE),
        real("measured_s", |m| m.measured_for.as_secs_f64()),
        real("machine_load", |m| m.machine_load),
    ];
    folder.write_rows("aggregated", &columns)?;
    let fits: Vec<String> = [
        fit_subset("bytes/s", measured, |m| m.rate(m.bytes_in)),
        fit_subset("cores", measured, AggregatedMeasurement::processor_share),
        fit_subset("bytes of memory", measured, |m| m.usage.resident_peak as f64),
    ]
    .into_iter()
    .flatten()
    .collect();
    let log = measured.last().map(|last| last.log.join("\n")).unwrap_or_default();
    let text = format!(
        "# One controller behind aggregators\n\n{}\n{}\nLog of the controller in the last run:\n\n```\n{log}\n```\n",
        markdown(&columns),
        fits.concat()
    );
    folder.write_text("aggregated.md", &text)
}

/// Returns a line with the fit of a quantity by subset size.
fn fit_subset(
    name: &str,
    measured: &[AggregatedMeasurement],
    value_of: fn(&AggregatedMeasurement) -> f64,
) -> Option<String> {
    let point = |m: &AggregatedMeasurement| Point {
        regressors: vec![m.subsetting.subset as f64],
        measured: value_of(m),
    };
    let fit = LinearFit::least_squares(&measured.iter().map(point).collect::<Vec<_>>()).ok()?;
    let residuals: Vec<_> = fit.residuals.iter().map(|residual| format!("{residual:.2e}")).collect();
    Some(format!(
        "- {name}: {:.4e} + {:.4e} x subset, R2 {:.4}, residuals {}\n",
        fit.intercept,
        fit.slopes[0],
        fit.r_squared,
        residuals.join(" ")
    ))
}
