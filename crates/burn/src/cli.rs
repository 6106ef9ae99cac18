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

/// How long a platform call may take, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;

/// The budget of platform reads; one report needs two.
const READS_PER_S: f64 = 10.0;

/// Report how fast workspaces spend their error budgets, and what they cost.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// The platform's services.
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 7100))), display_fallback)]
    pub platform: SocketAddr,
    /// Print JSON.
    pub json: bool,
    /// Write a picture as SVG.
    #[bpaf(argument("FILE"))]
    pub svg: Option<PathBuf>,
}

/// Reads the statements and prints the report.
///
/// # Errors
///
/// Fails when the platform cannot be reached or the picture not written.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let budget = RateLimits {
        reads_per_s: READS_PER_S,
        writes_per_s: 0.0,
    };
    let platform =
        HttpPlatformClient::new(args.platform, TIMEOUT_MS, budget).with_caller("rosemary-burn");
    let accounts = smol::block_on(read_statements(&platform));
    let accounts =
        accounts.with_context(|| format!("cannot read statements at {}", args.platform))?;
    let report = Report::build(&accounts, SystemClock::new().wall_ms());
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    if let Some(path) = &args.svg {
        std::fs::write(path, render_svg(&report))
            .with_context(|| format!("cannot write {}", path.display()))?;
    }
    Ok(())
}
