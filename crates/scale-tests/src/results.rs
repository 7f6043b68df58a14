//! Writes the results of a scale test to a folder: rows as Parquet, tables as Markdown, charts as SVG.

use crate::fit::LinearFit;
use plotters::prelude::*;
use std::error::Error;
use std::path::{Path, PathBuf};
pub use whinwall_experiments::columns::{markdown, write_parquet, Column, Values};

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 480);
/// Colours of the series; they repeat after the last.
const SERIES_COLOURS: [RGBColor; 5] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(127, 127, 127),
];

/// The reason why results could not be written.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {source}")]
pub struct ResultsError {
    path: PathBuf,
    source: Box<dyn Error>,
}

impl ResultsError {
    fn new(path: &Path, source: impl Into<Box<dyn Error>>) -> Self {
        ResultsError { path: path.into(), source: source.into() }
    }
}

/// The folder that a scale test writes its results to.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Creates the folder if it does not exist.
    ///
    /// # Errors
    ///
    /// When the folder cannot be created.
    pub fn create(path: &Path) -> Result<Folder, ResultsError> {
        std::fs::create_dir_all(path).map_err(|error| ResultsError::new(path, error))?;
        Ok(Folder(path.into()))
    }

    /// Writes the rows as `NAME.parquet`.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn write_rows(&self, name: &str, columns: &[Column]) -> Result<(), ResultsError> {
        let path = self.0.join(format!("{name}.parquet"));
        write_parquet(&path, columns).map_err(|error| ResultsError::new(&path, error))
    }

    /// Writes a text file.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn write_text(&self, name: &str, text: &str) -> Result<(), ResultsError> {
        let path = self.0.join(name);
        std::fs::write(&path, text).map_err(|error| ResultsError::new(&path, error))
    }

    /// Draws the chart as `NAME.svg`.
    ///
    /// # Errors
    ///
    /// When the chart cannot be drawn or the file cannot be written.
    pub fn write_chart(&self, name: &str, chart: &Chart) -> Result<(), ResultsError> {
        let path = self.0.join(format!("{name}.svg"));
        chart.draw(&path).map_err(|error| ResultsError::new(&path, error))
    }
}

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The vertical value at horizontal position 0.
    pub intercept: f64,
    /// The increase per unit of the horizontal axis.
    pub slope: f64,
}

/// A series of points with an optional fitted line.
#[derive(Clone, Debug, Default)]
pub struct Series {
    /// The name in the legend.
    pub name: String,
    /// The points, as horizontal and vertical values.
    pub points: Vec<(f64, f64)>,
    /// The line fitted to the points.
    pub line: Option<Line>,
}

impl Series {
    /// Creates a series with the line of a fit that has one regressor.
    pub fn fitted(name: &str, points: Vec<(f64, f64)>, fit: &LinearFit) -> Self {
        let line = fit.slopes.first().map(|slope| Line { intercept: fit.intercept, slope: *slope });
        Series { name: name.into(), points, line }
    }
}

/// A chart of measured points.
#[derive(Clone, Debug, Default)]
pub struct Chart {
    /// The title.
    pub title: String,
    /// The label of the horizontal axis.
    pub x_label: String,
    /// The label of the vertical axis.
    pub y_label: String,
    /// The series to draw.
    pub series: Vec<Series>,
    /// The budget, drawn as a horizontal line.
    pub budget: Option<f64>,
}

impl Chart {
    fn max_coordinate(&self, coordinate: impl Fn(&(f64, f64)) -> f64) -> f64 {
        self.series.iter().flat_map(|series| &series.points).map(coordinate).fold(f64::MIN_POSITIVE, f64::max)
    }

    fn draw(&self, path: &Path) -> Result<(), Box<dyn Error>> {
        /// Ratio of the end of each axis to the largest value.
        const AXIS_MARGIN: f64 = 1.06;
        let right = self.max_coordinate(|point| point.0) * AXIS_MARGIN;
        let top = self.max_coordinate(|point| point.1).max(self.budget.unwrap_or(0.0)) * AXIS_MARGIN;
        let area = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 22))
            .margin(12)
            .x_label_area_size(46)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().x_desc(&self.x_label).y_desc(&self.y_label).draw()?;
        for (series, colour) in self.series.iter().zip(SERIES_COLOURS.iter().cycle()) {
            let colour = *colour;
            let points = series.points.iter().map(|point| Circle::new(*point, 4, colour.filled()));
            let key = move |(x, y)| Circle::new((x + 8, y), 4, colour.filled());
            chart.draw_series(points)?.label(&series.name).legend(key);
            if let Some(Line { intercept, slope }) = series.line {
                let ends = [0.0, right].map(|x| (x, intercept + slope * x));
                chart.draw_series(LineSeries::new(ends, &colour))?;
            }
        }
        if let Some(budget) = self.budget {
            let key = |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], RED);
            let line = LineSeries::new([(0.0, budget), (right, budget)], &RED);
            chart.draw_series(line)?.label("budget").legend(key);
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        area.present()?;
        Ok(())
    }
}
