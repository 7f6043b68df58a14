//! SVG charts of the results.

use crate::experiment::POLICIES;
use crate::results::ResultRow;
use crate::statistics::{mean, Mean};
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The colours of the policies, in the order of [`POLICIES`].
const POLICY_COLOURS: [RGBColor; 5] = [
    RGBColor(31, 119, 180),
    RGBColor(127, 127, 127),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
];
/// The size of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 480);
/// The upper end of the service axis, above 1 so that points at 1 do not touch the edge.
const SERVICE_AXIS_MAX: f64 = 1.02;
/// The space on the service axis below the lowest confidence interval.
const SERVICE_AXIS_MARGIN: f64 = 0.03;
/// The number of labels on the axis of a varied parameter.
const VALUE_LABEL_COUNT: usize = 10;

type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// The reasons why charts cannot be written.
#[derive(Debug, Error)]
pub enum ChartError {
    /// The folder could not be created.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder for the charts.
        folder: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A chart could not be drawn or written.
    #[error("{}: {source}", file.display())]
    Draw {
        /// The chart's file.
        file: PathBuf,
        /// The cause.
        source: DrawError,
    },
}

/// Writes charts of the service level of each policy and returns their file names. If no parameter is varied, there
/// is one chart over all cases, otherwise one chart per case over the values of the varied parameter.
///
/// # Errors
/// Returns an error if the folder cannot be created or a chart cannot be written.
pub fn write_charts(rows: &[ResultRow], varied: &str, folder: &Path) -> Result<Vec<String>, ChartError> {
    let folder_error = |source| ChartError::Folder { folder: folder.into(), source };
    std::fs::create_dir_all(folder).map_err(folder_error)?;
    let charts = if varied.is_empty() { vec![chart_of_cases(rows)] } else { charts_of_values(rows, varied) };
    let mut names = Vec::new();
    for chart in charts {
        let file = folder.join(&chart.file_name);
        chart.draw(&file).map_err(|source| ChartError::Draw { file, source })?;
        names.push(chart.file_name);
    }
    Ok(names)
}

/// A point of a chart: a position on the horizontal axis and the mean service level there.
struct Point {
    x: f64,
    mean: Mean,
}

impl Point {
    /// The half width of the confidence interval, or 0 if there is only a single value.
    fn half_width(&self) -> f64 {
        if self.mean.half_width.is_finite() {
            self.mean.half_width
        } else {
            0.0
        }
    }
}

/// The points of each policy, by the name of the policy.
type Series = BTreeMap<String, Vec<Point>>;

struct Chart {
    file_name: String,
    title: String,
    /// The name of the varied parameter; empty if the chart is over cases.
    varied: String,
    x_range: Range<f64>,
    series: Series,
    /// The names of the cases; empty if the chart is over a varied parameter.
    cases: Vec<String>,
}

fn case_names(rows: &[ResultRow]) -> Vec<String> {
    rows.iter().map(|row| row.case.clone()).collect::<BTreeSet<_>>().into_iter().collect()
}

fn chart_of_cases(rows: &[ResultRow]) -> Chart {
    let cases = case_names(rows);
    let position = |row: &ResultRow| cases.iter().position(|case| *case == row.case).unwrap_or(0) as f64;
    Chart {
        file_name: "service.svg".to_string(),
        title: "service by case".to_string(),
        varied: String::new(),
        x_range: -0.5..cases.len() as f64 - 0.5,
        series: series(rows, position),
        cases,
    }
}

fn charts_of_values(rows: &[ResultRow], varied: &str) -> Vec<Chart> {
    let chart = |case: String| {
        let rows: Vec<_> = rows.iter().filter(|row| row.case == case).cloned().collect();
        let low = rows.iter().map(|row| row.value).fold(f64::INFINITY, f64::min);
        let high = rows.iter().map(|row| row.value).fold(f64::NEG_INFINITY, f64::max);
        let margin = ((high - low) * 0.05).max(0.01);
        let file_part = case.replace(|character: char| !character.is_ascii_alphanumeric(), "-");
        Chart {
            file_name: format!("service-{file_part}.svg"),
            title: format!("service, {case}"),
            varied: varied.to_string(),
            x_range: low - margin..high + margin,
            series: series(&rows, |row| row.value),
            cases: Vec::new(),
        }
    };
    case_names(rows).into_iter().map(chart).collect()
}

/// Groups the rows by policy and by their position on the horizontal axis, and averages the service level of each group.
fn series(rows: &[ResultRow], x_of: impl Fn(&ResultRow) -> f64) -> Series {
    // By policy, then by the bits of the position: the service levels.
    let mut service_levels: BTreeMap<String, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    for row in rows {
        let by_position = service_levels.entry(row.policy.clone()).or_default();
        by_position.entry(x_of(row).to_bits()).or_default().push(row.service_level);
    }
    let sorted_points = |by_position: BTreeMap<u64, Vec<f64>>| {
        let point =
            |(bits, levels): (u64, Vec<f64>)| Some(Point { x: f64::from_bits(bits), mean: mean(&levels)? });
        let mut points: Vec<_> = by_position.into_iter().filter_map(point).collect();
        points.sort_by(|left, right| left.x.total_cmp(&right.x));
        points
    };
    service_levels.into_iter().map(|(policy, by_position)| (policy, sorted_points(by_position))).collect()
}

impl Chart {
    /// Returns the axis label at a position: the value of the varied parameter or the name of the case.
    fn label(&self, position: f64) -> String {
        if !self.varied.is_empty() {
            return format!("{position:.2}");
        }
        let is_near_case = position.fract().abs() < 0.01 && position >= 0.0;
        self.cases.get(position.round() as usize).filter(|_| is_near_case).cloned().unwrap_or_default()
    }

    fn draw(&self, path: &Path) -> Result<(), DrawError> {
        let area = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let points = self.series.values().flatten();
        let lowest = points.map(|point| point.mean.mean - point.half_width()).fold(1.0, f64::min);
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 22))
            .margin(12)
            .x_label_area_size(46)
            .y_label_area_size(56)
            .build_cartesian_2d(
                self.x_range.clone(),
                (lowest - SERVICE_AXIS_MARGIN).max(0.0)..SERVICE_AXIS_MAX,
            )?;
        let label_count = if self.varied.is_empty() { self.cases.len() } else { VALUE_LABEL_COUNT };
        chart
            .configure_mesh()
            .x_labels(label_count.max(2) * 2 + 1)
            .x_label_formatter(&|position| self.label(*position))
            .x_desc(&self.varied)
            .y_desc("service")
            .draw()?;
        for (policy, points) in &self.series {
            let colour = policy_colour(policy);
            let bars = points.iter().map(|point| {
                let (mean, half_width) = (point.mean.mean, point.half_width());
                let high = (mean + half_width).min(SERVICE_AXIS_MAX);
                ErrorBar::new_vertical(point.x, mean - half_width, mean, high, colour.filled(), 6)
            });
            let bars = chart.draw_series(bars)?.label(policy);
            bars.legend(move |(x, y)| Circle::new((x + 8, y), 4, colour.filled()));
            // Cases are not connected by a line, because there are no values between them.
            if !self.varied.is_empty() {
                let line = points.iter().map(|point| (point.x, point.mean.mean));
                chart.draw_series(LineSeries::new(line, &colour))?;
            }
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        area.present()
    }
}

/// Returns the colour of a policy, which is the same in all charts.
fn policy_colour(policy: &str) -> RGBColor {
    let position = POLICIES.iter().position(|(name, _)| *name == policy).unwrap_or(0);
    POLICY_COLOURS[position % POLICY_COLOURS.len()]
}
