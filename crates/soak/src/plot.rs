//! Draws the report's timeline: a chart of how attempts ended each second, above a chart of the
//! faults.

use std::error::Error;
use std::path::Path;

use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::coord::Shift;
use plotters::drawing::DrawingArea;
use plotters::drawing::IntoDrawingArea;
use plotters::element::Circle;
use plotters::element::Rectangle;
use plotters::series::LineSeries;
use plotters::style::Color;
use plotters::style::RGBColor;
use plotters::style::colors;
use wire::clock::Millis;

use crate::oracle::Counts;
use crate::report::Report;

/// The size of the picture, in pixels.
const SIZE: (u32, u32) = (1_200, 700);
/// The height of the upper chart, in pixels.
const UPPER_HEIGHT: u32 = 320;
/// The space for the labels of the y axes, in pixels.
const LABEL_SPACE: u32 = 100;
/// The width in which a fault without a duration is drawn.
const DEFAULT_FAULT_WIDTH: Millis = Millis::new(150);
/// The row that shows the cases that broke a check.
const BROKEN_ROW: &str = "broken";

/// The outcome of drawing.
pub type Result<T> = std::result::Result<T, Box<dyn Error>>;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A line of the upper chart: attempts that ended in one way.
struct Line {
    name: &'static str,
    color: RGBColor,
    count: fn(&Counts) -> u64,
}

const LINES: [Line; 3] = [
    Line {
        name: "served",
        color: colors::GREEN,
        count: |counts| counts.served,
    },
    Line {
        name: "refused",
        color: colors::BLUE,
        count: |counts| counts.refused,
    },
    Line {
        name: "failed or cut",
        color: colors::RED,
        count: |counts| counts.failed + counts.cut,
    },
];

/// Draws a report's timeline into a file, as SVG.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn draw(report: &Report, file: &Path) -> Result<()> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&colors::WHITE)?;
    let (upper, lower) = area.split_vertically(UPPER_HEIGHT);
    let end = end(report);
    draw_attempts(report, &upper, end)?;
    draw_faults(report, &lower, end)?;
    area.present()?;
    Ok(())
}

fn seconds(at: Millis) -> f64 {
    at.as_duration().as_secs_f64()
}

fn end(report: &Report) -> f64 {
    let samples = report.samples.iter().map(|sample| sample.at);
    let faults = report.done.iter().map(|step| step.at);
    samples.chain(faults).map(seconds).fold(1.0, f64::max)
}

fn draw_attempts(report: &Report, area: &Area<'_>, end: f64) -> Result<()> {
    let lines: Vec<(&Line, Vec<(f64, f64)>)> = LINES
        .iter()
        .map(|line| (line, rates(report, line.count)))
        .collect();
    let points = lines.iter().flat_map(|(_, points)| points);
    let most = points.map(|(_, rate)| *rate).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(format!("seed {}", report.seed), ("sans-serif", 18))
        .margin(8)
        .y_label_area_size(LABEL_SPACE)
        .x_label_area_size(24)
        .build_cartesian_2d(0.0..end, 0.0..most)?;
    chart.configure_mesh().y_desc("attempts a second").draw()?;
    for (line, points) in lines {
        let color = line.color;
        let drawn = chart.draw_series(LineSeries::new(points, &color))?;
        drawn
            .label(line.name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 3), (x + 12, y + 3)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(colors::WHITE)
        .draw()?;
    Ok(())
}

/// Returns how many attempts ended in one way per second, by time in seconds.
fn rates(report: &Report, count: fn(&Counts) -> u64) -> Vec<(f64, f64)> {
    let pairs = report.samples.windows(2).map(|pair| {
        let span = seconds(pair[1].at.since(pair[0].at)).max(0.001);
        let ended = count(&pair[1].counts).saturating_sub(count(&pair[0].counts));
        let ended = u32::try_from(ended).unwrap_or(u32::MAX);
        (seconds(pair[1].at), f64::from(ended) / span)
    });
    pairs.collect()
}

fn draw_faults(report: &Report, area: &Area<'_>, end: f64) -> Result<()> {
    let mut rows = vec![BROKEN_ROW];
    for step in &report.done {
        if !rows.contains(&step.fault.row()) {
            rows.push(step.fault.row());
        }
    }
    let names = rows.clone();
    let position = |name: &str| {
        let at = rows.iter().position(|row| *row == name);
        i32::try_from(at.unwrap_or_default()).unwrap_or_default()
    };
    let count = i32::try_from(rows.len())?;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .y_label_area_size(LABEL_SPACE)
        .x_label_area_size(36)
        .build_cartesian_2d(0.0..end, 0..count)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_labels(rows.len() + 1)
        .y_label_formatter(&|at| {
            let name = usize::try_from(*at).ok().and_then(|at| names.get(at));
            name.copied().unwrap_or_default().to_owned()
        })
        .draw()?;
    let bars = report.done.iter().map(|step| {
        let row = position(step.fault.row());
        let span = step.fault.span().unwrap_or(DEFAULT_FAULT_WIDTH);
        let from = (seconds(step.at), row);
        let to = (seconds(step.at.plus(span)).min(end), row + 1);
        Rectangle::new([from, to], colors::BLUE.mix(0.5).filled())
    });
    chart.draw_series(bars)?;
    let cases = report.checks.rows().iter().flat_map(|row| &row.cases);
    let marks = cases.map(|case| {
        let at = (seconds(case.at).min(end), position(BROKEN_ROW));
        Circle::new(at, 4, colors::RED.filled())
    });
    chart.draw_series(marks)?;
    Ok(())
}

#[cfg(test)]
mod tests;
