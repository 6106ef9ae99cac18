//! The command line of `rosemary-burn`.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use bpaf::Bpaf;
use kernel::{Clock, SystemClock};
use store::{HttpPlatformClient, RateLimits};

use crate::chart::render_svg;
use crate::report::Report;
use crate::statements::read_statements;

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT_MS: u64 = 10_000;

/// Limit on reads from the platform. One report needs two.
const READS_PER_S: f64 = 10.0;

/// Report how fast workspaces spend their error budgets, and what they cost.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Address of the platform's services.
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 7100))), display_fallback)]
    pub platform: SocketAddr,
    /// Print the report as JSON.
    pub json: bool,
    /// Also write a chart of the burn rates as an SVG file.
    #[bpaf(argument("FILE"))]
    pub svg: Option<PathBuf>,
}

/// Reads the statements and prints the report.
///
/// # Errors
///
/// Fails when the platform is unreachable or the chart cannot be written.
pub fn run(args: &Args) -> anyhow::Result<()> {
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
        std::fs::write(path, render_svg(&report))
            .with_context(|| format!("cannot write chart {}", path.display()))?;
    }
    Ok(())
}
