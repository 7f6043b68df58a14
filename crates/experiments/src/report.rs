//! Tables as Markdown, charts as SVG.

use crate::experiment::WAYS;
use crate::figures::{groups, mean, Mean, Pair};
use crate::results::Row;
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::Path;

fn plus_minus(mean: &Mean) -> String {
    match mean.within.is_finite() {
        true => format!("{:.3} ± {:.3}", mean.mean, mean.within),
        false => format!("{:.3}", mean.mean),
    }
}

/// A row for each case and value, a column for each way: mean service with its 95% interval, and the least.
pub fn table(rows: &[Row], varied: &str) -> String {
    let ways: BTreeSet<_> = rows.iter().map(|row| row.way.as_str()).collect();
    let mut text = String::from("| case |");
    if !varied.is_empty() {
        _ = write!(text, " {varied} |");
    }
    ways.iter().for_each(|way| _ = write!(text, " {way} (least) |"));
    text.push_str(" orders | rules broken |\n|");
    let columns = ways.len() + 3 + usize::from(!varied.is_empty());
    (0..columns).for_each(|_| text.push_str(" --- |"));
    text.push('\n');
    for ((case, value), by_way) in groups(rows) {
        _ = write!(text, "| {case} |");
        if !varied.is_empty() {
            _ = write!(text, " {} |", f64::from_bits(value));
        }
        for way in &ways {
            let services: Vec<_> = by_way.get(*way).into_iter().flatten().map(|row| row.service).collect();
            match mean(&services) {
                Some(mean) => _ = write!(text, " {} ({:.3}) |", plus_minus(&mean), mean.least),
                None => text.push_str(" - |"),
            }
        }
        let all = || by_way.values().flatten();
        let orders: Vec<_> = all().filter(|row| row.way == "governed").map(|row| row.orders as f64).collect();
        let orders = mean(&orders).map_or("-".into(), |mean| format!("{:.0}", mean.mean));
        _ = writeln!(text, " {orders} | {} |", all().map(|row| row.broken).sum::<i64>());
    }
    text
}

pub fn comparison(pairs: &[Pair], alone: usize) -> String {
    let mut text =
        String::from("| case | way | value | second less first | |\n| --- | --- | --- | --- | --- |\n");
    for pair in pairs {
        let verdict = match pair.stands_out() {
            true if pair.difference.mean > 0.0 => "better",
            true => "worse",
            false => "within the spread",
        };
        let Pair { case, way, value, difference } = pair;
        _ = writeln!(
            text,
            "| {case} | {way} | {value} | {} of {} | {verdict} |",
            plus_minus(difference),
            difference.many
        );
    }
    if alone > 0 {
        _ = writeln!(text, "\n{alone} plays of the first have no other in the second.");
    }
    text
}

const COLOURS: [RGBColor; 5] = [
    RGBColor(31, 119, 180),
    RGBColor(127, 127, 127),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
];

/// Service of each way: over the cases, or over the value that is varied, for each case a chart.
pub fn charts(rows: &[Row], varied: &str, folder: &Path) -> Result<Vec<String>, String> {
    let wrong = |why: &dyn std::fmt::Display| format!("{}: {why}", folder.display());
    std::fs::create_dir_all(folder).map_err(|why| wrong(&why))?;
    let mut names = Vec::new();
    if varied.is_empty() {
        let cases: Vec<_> =
            rows.iter().map(|row| row.case.clone()).collect::<BTreeSet<_>>().into_iter().collect();
        let points = series(rows, |row| cases.iter().position(|case| *case == row.case).unwrap_or(0) as f64);
        let path = folder.join("service.svg");
        let label = |at: &f64| {
            let near = at.fract().abs() < 0.01 && *at >= 0.0;
            cases.get(at.round() as usize).filter(|_| near).cloned().unwrap_or_default()
        };
        chart(&path, "service by case", "", -0.5..cases.len() as f64 - 0.5, points, &label, cases.len())
            .map_err(|why| wrong(&why))?;
        names.push("service.svg".to_string());
        return Ok(names);
    }
    for case in rows.iter().map(|row| row.case.clone()).collect::<BTreeSet<_>>() {
        let of_case: Vec<_> = rows.iter().filter(|row| row.case == case).cloned().collect();
        let points = series(&of_case, |row| row.value);
        let values = of_case.iter().map(|row| row.value);
        let (low, high) =
            values.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), v| (low.min(v), high.max(v)));
        let edge = ((high - low) * 0.05).max(0.01);
        let name = format!("service-{}.svg", case.replace(|c: char| !c.is_ascii_alphanumeric(), "-"));
        let title = format!("service, {case}");
        let label = |at: &f64| format!("{at:.2}");
        chart(&folder.join(&name), &title, varied, low - edge..high + edge, points, &label, 10)
            .map_err(|why| wrong(&why))?;
        names.push(name);
    }
    Ok(names)
}

type Series = BTreeMap<String, Vec<(f64, Mean)>>;

fn series(rows: &[Row], at: impl Fn(&Row) -> f64) -> Series {
    let mut values: BTreeMap<String, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    for row in rows {
        values.entry(row.way.clone()).or_default().entry(at(row).to_bits()).or_default().push(row.service);
    }
    let means = |points: BTreeMap<u64, Vec<f64>>| {
        let point = |(at, all): (u64, Vec<f64>)| Some((f64::from_bits(at), mean(&all)?));
        let mut points: Vec<_> = points.into_iter().filter_map(point).collect();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        points
    };
    values.into_iter().map(|(way, points)| (way, means(points))).collect()
}

fn chart(
    path: &Path,
    title: &str,
    below: &str,
    across: std::ops::Range<f64>,
    series: Series,
    label: &dyn Fn(&f64) -> String,
    labels: usize,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (900, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let least =
        series.values().flatten().map(|(_, mean)| mean.mean - finite(mean.within)).fold(1.0, f64::min);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(46)
        .y_label_area_size(56)
        .build_cartesian_2d(across, (least - 0.03).max(0.0)..1.02)?;
    chart
        .configure_mesh()
        .x_labels(labels.max(2) * 2 + 1)
        .x_label_formatter(&|at| label(at))
        .x_desc(below)
        .y_desc("service")
        .draw()?;
    for (way, points) in series {
        // A way has its colour in each chart.
        let zone = WAYS.iter().position(|(name, _)| *name == way).unwrap_or(0);
        let colour = COLOURS[zone % COLOURS.len()];
        let bars = points.iter().map(|(at, mean)| {
            let within = finite(mean.within);
            let (low, high) = (mean.mean - within, (mean.mean + within).min(1.02));
            ErrorBar::new_vertical(*at, low, mean.mean, high, colour.filled(), 6)
        });
        chart.draw_series(bars)?.label(way).legend(move |(x, y)| Circle::new((x + 8, y), 4, colour.filled()));
        // Between cases there is nothing that a line could lead over.
        if !below.is_empty() {
            let line = points.iter().map(|(at, mean)| (*at, mean.mean));
            chart.draw_series(LineSeries::new(line, &colour))?;
        }
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

fn finite(within: f64) -> f64 {
    if within.is_finite() {
        within
    } else {
        0.0
    }
}
