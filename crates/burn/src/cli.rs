//! The command line of `rosemary-burn`.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::Context;
use bpaf::Bpaf;
use kernel::{Clock, SystemClock};
use store::{HttpPlatformClient, RateLimits};

use crate::chart::render_svg;
use crate::logs::{LogEvent, LogReport, render_log_svg};
use crate::report::Report;
use crate::statements::read_statements;

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT_MS: u64 = 10_000;

/// Limit on reads from the platform. One report needs two.
const READS_PER_S: f64 = 10.0;

/// Default length of an interval of the report on logs, in milliseconds.
const LOG_INTERVAL_MS: u64 = 2_000;

/// Report how fast workspaces spend their error budgets, and what they cost.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Args {
    /// Report from the logs of instances where requests wait and why.
    #[bpaf(command("logs"))]
    Logs(#[bpaf(external(log_args))] LogArgs),
    /// Report on budgets.
    Budgets(#[bpaf(external(budget_args))] BudgetArgs),
}

/// What the report on budgets reads and writes.
#[derive(Debug, Clone, Bpaf)]
pub struct BudgetArgs {
    /// Address of the platform's services.
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 7100))), display_fallback)]
    pub platform: SocketAddr,
    /// Print the report as JSON.
    pub json: bool,
    /// Also write a chart of the burn rates as an SVG file.
    #[bpaf(argument("FILE"))]
    pub svg: Option<PathBuf>,
}

/// What the report on logs reads and writes.
#[derive(Debug, Clone, Bpaf)]
pub struct LogArgs {
    /// Length of an interval in milliseconds.
    #[bpaf(argument("MS"), fallback(LOG_INTERVAL_MS), display_fallback)]
    pub interval_ms: u64,
    /// Print the report as JSON.
    pub json: bool,
    /// Also write a chart of the waits as an SVG file.
    #[bpaf(argument("FILE"))]
    pub svg: Option<PathBuf>,
    /// Log files of instances with one JSON object a line.
    #[bpaf(positional("LOG"), some("no log file is given"))]
    pub files: Vec<PathBuf>,
}

/// Prints the report that the arguments ask for.
///
/// # Errors
///
/// Fails when what it reads is unreachable or unreadable, or a chart cannot be written.
pub fn run(args: &Args) -> anyhow::Result<()> {
    match args {
        Args::Logs(args) => report_logs(args),
        Args::Budgets(args) => report_budgets(args),
    }
}

fn report_logs(args: &LogArgs) -> anyhow::Result<()> {
    let mut events = Vec::new();
    for path in &args.files {
        read_events(path, &mut events)
            .with_context(|| format!("cannot read log {}", path.display()))?;
    }
    let report = LogReport::build(&events, args.interval_ms);
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    if let Some(path) = &args.svg {
        write_chart(path, &render_log_svg(&report)?)?;
    }
    Ok(())
}

/// Adds the events of a log file.
fn read_events(path: &Path, events: &mut Vec<LogEvent>) -> anyhow::Result<()> {
    let reader = BufReader::new(File::open(path)?);
    for (index, line) in reader.lines().enumerate() {
        let event = LogEvent::parse(&line?);
        events.extend(event.with_context(|| format!("line {}", index + 1))?);
    }
    Ok(())
}

fn write_chart(path: &Path, svg: &str) -> anyhow::Result<()> {
    std::fs::write(path, svg).with_context(|| format!("cannot write chart {}", path.display()))
}

/// Reads the statements and prints the report.
fn report_budgets(args: &BudgetArgs) -> anyhow::Result<()> {
    let rate_limits = RateLimits {
        reads_per_s: READS_PER_S,
        writes_per_s: 0.0,
    };
    let platform = HttpPlatformClient::new(args.platform, PLATFORM_TIMEOUT_MS, rate_limits)
        .with_caller("rosemary-burn");
    let workspaces = smol::block_on(read_statements(&platform));
    let workspaces = workspaces.with_context(|| {
        format!(
            "cannot read statements from the platform at {}",
            args.platform
        )
    })?;
    let report = Report::build(&workspaces, SystemClock::new().wall_ms());
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    if let Some(path) = &args.svg {
        write_chart(path, &render_svg(&report))?;
    }
    Ok(())
}
