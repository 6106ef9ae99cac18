//! Waits over time as an SVG line chart.

use plotters::prelude::*;

use crate::logs::report::{IntervalRow, LogReport};

/// Width and height of the chart, in pixels.
const CHART_SIZE_PX: (u32, u32) = (900, 420);

/// Renders the 90th percentile of the wait before the first event over time, a line for each size.
///
/// # Errors
///
/// Fails if the chart cannot be drawn.
pub fn render_log_svg(report: &LogReport) -> anyhow::Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        draw_waits(&area, report)?;
        area.present()?;
    }
    Ok(svg)
}

fn draw_waits(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    report: &LogReport,
) -> anyhow::Result<()> {
    let end_s = report.intervals.iter().map(end_s(report.interval_ms));
    let end_s = end_s.fold(1.0, f64::max);
    let longest_ms = report.intervals.iter().map(longest_wait_ms);
    let longest_ms = longest_ms.max().unwrap_or_default().max(1);
    let mut chart = ChartBuilder::on(area)
        .caption(
            "Wait before the first event, 90th percentile",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end_s, 0u64..longest_ms)?;
    chart.configure_mesh().x_desc("s").y_desc("ms").draw()?;
    for row in &report.sizes {
        let size = row.size;
        let points = report
            .intervals
            .iter()
            .map(|row| (row.start_ms as f64 / 1_000.0, row.size_wait_p90_ms[size]));
        let colour = Palette99::pick(size).to_rgba();
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(format!("size {size}"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    Ok(())
}

fn end_s(interval_ms: u64) -> impl Fn(&IntervalRow) -> f64 {
    move |row| (row.start_ms + interval_ms) as f64 / 1_000.0
}

fn longest_wait_ms(row: &IntervalRow) -> u64 {
    row.size_wait_p90_ms
        .iter()
        .copied()
        .max()
        .unwrap_or_default()
}
