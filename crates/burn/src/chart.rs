//! The report as a picture.

use std::fmt::Write;

use crate::report::{ClassRow, Report};

/// The height of one row, in pixels.
const ROW_PX: usize = 26;

/// Where the bars begin, in pixels.
const BARS_PX: f64 = 260.0;

/// The longest bar, in pixels.
const BAR_PX: f64 = 420.0;

/// The burn rate that fills a bar.
const FULL_RATE: f64 = 4.0;

/// The height of the head, in pixels.
const HEAD_PX: usize = 64;

/// The colours of the windows, shortest first.
const COLOURS: [&str; 4] = ["#b9d3ee", "#7fb0de", "#3d85c6", "#1c4f82"];

/// The colour of a bar whose budget is spent faster than allowed.
const ALARM: &str = "#c0392b";

/// Draws burn rates as bars, one group for each workspace and class, as SVG.
pub fn render_svg(report: &Report) -> String {
    let height = HEAD_PX + report.rows.len().max(1) * ROW_PX + 20;
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
        draw_row(&mut svg, row, HEAD_PX + index * ROW_PX);
    }
    if report.rows.is_empty() {
        let _ = writeln!(
            svg,
            "<text x=\"12\" y=\"{}\">no requests yet</text>",
            HEAD_PX + 16
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
        "<rect x=\"540\" y=\"12\" width=\"12\" height=\"12\" fill=\"{ALARM}\"/>"
    );
    let _ = writeln!(svg, "<text x=\"556\" y=\"22\">faster than allowed</text>");
}

fn draw_scale(svg: &mut String, height: usize) {
    for rate in 0..=FULL_RATE as usize {
        let x = BARS_PX + rate as f64 / FULL_RATE * BAR_PX;
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
        let width = (rate / FULL_RATE).min(1.0) * BAR_PX;
        let colour = if *rate > 1.0 {
            ALARM
        } else {
            COLOURS[index % COLOURS.len()]
        };
        let y = top + 2 + index * bar_px;
        let _ = writeln!(
            svg,
            "<rect x=\"{BARS_PX}\" y=\"{y}\" width=\"{width:.1}\" height=\"{}\" fill=\"{colour}\"/>",
            bar_px - 1
        );
    }
    let spent = format!("{:.0}% spent", row.budget_spent * 100.0);
    let _ = writeln!(svg, "<text x=\"700\" y=\"{}\">{spent}</text>", top + 16);
}
