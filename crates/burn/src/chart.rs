//! The report as an SVG bar chart.

use std::fmt::Write;

use crate::report::{ClassRow, Report};

/// The height of one row, in pixels.
const ROW_PX: usize = 26;

/// The x coordinate at which bars begin, in pixels.
const BARS_X_PX: f64 = 260.0;

/// The length of the longest bar, in pixels.
const MAX_BAR_PX: f64 = 420.0;

/// The burn rate of the longest bar; higher rates are cut off.
const MAX_RATE: f64 = 4.0;

/// The height of title, legend and scale, in pixels.
const HEADER_PX: usize = 64;

/// The bar colours of the windows, shortest window first.
const COLOURS: [&str; 4] = ["#b9d3ee", "#7fb0de", "#3d85c6", "#1c4f82"];

/// The colour of bars whose budget is spent faster than allowed.
const ALARM_COLOUR: &str = "#c0392b";

/// Renders the burn rates as an SVG bar chart, with one group of bars per workspace and class.
pub fn render_svg(report: &Report) -> String {
    let height = HEADER_PX + report.rows.len().max(1) * ROW_PX + 20;
    let mut svg = String::new();
    let _ = write!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"820\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"12\" y=\"22\" font-size=\"16\">Burn of the error budget</text>\n"
    );
    draw_legend(&mut svg, report);
    draw_scale(&mut svg, height);
    for (index, row) in report.rows.iter().enumerate() {
        draw_row(&mut svg, row, HEADER_PX + index * ROW_PX);
    }
    if report.rows.is_empty() {
        let _ = writeln!(
            svg,
            "<text x=\"12\" y=\"{}\">no requests yet</text>",
            HEADER_PX + 16
        );
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_legend(svg: &mut String, report: &Report) {
    for (index, (window, colour)) in report.windows.iter().zip(COLOURS).enumerate() {
        let x = 260 + index * 70;
        let _ = writeln!(
            svg,
            "<rect x=\"{x}\" y=\"12\" width=\"12\" height=\"12\" fill=\"{colour}\"/>"
        );
        let _ = writeln!(svg, "<text x=\"{}\" y=\"22\">{window}</text>", x + 16);
    }
    let _ = writeln!(
        svg,
        "<rect x=\"540\" y=\"12\" width=\"12\" height=\"12\" fill=\"{ALARM_COLOUR}\"/>"
    );
    let _ = writeln!(svg, "<text x=\"556\" y=\"22\">faster than allowed</text>");
}

fn draw_scale(svg: &mut String, height: usize) {
    for rate in 0..=MAX_RATE as usize {
        let x = BARS_X_PX + rate as f64 / MAX_RATE * MAX_BAR_PX;
        let dash = if rate == 1 {
            ""
        } else {
            " stroke-dasharray=\"2 4\""
        };
        let bottom = height - 12;
        let _ = writeln!(
            svg,
            "<line x1=\"{x}\" y1=\"52\" x2=\"{x}\" y2=\"{bottom}\" stroke=\"#999\"{dash}/>"
        );
        let _ = writeln!(
            svg,
            "<text x=\"{x}\" y=\"46\" text-anchor=\"middle\" fill=\"#555\">{rate}x</text>"
        );
    }
}

fn draw_row(svg: &mut String, row: &ClassRow, top: usize) {
    let label = format!("{} / {}", row.workspace, row.class);
    let _ = writeln!(svg, "<text x=\"12\" y=\"{}\">{label}</text>", top + 16);
    let bar_px = (ROW_PX - 6) / row.burn_rates.len().max(1);
    for (index, rate) in row.burn_rates.iter().enumerate() {
        let width = (rate / MAX_RATE).min(1.0) * MAX_BAR_PX;
        let colour = if *rate > 1.0 {
            ALARM_COLOUR
        } else {
            COLOURS[index % COLOURS.len()]
        };
        let y = top + 2 + index * bar_px;
        let _ = writeln!(
            svg,
            "<rect x=\"{BARS_X_PX}\" y=\"{y}\" width=\"{width:.1}\" height=\"{}\" fill=\"{colour}\"/>",
            bar_px - 1
        );
    }
    let spent = format!("{:.0}% spent", row.budget_spent * 100.0);
    let _ = writeln!(svg, "<text x=\"700\" y=\"{}\">{spent}</text>", top + 16);
}
