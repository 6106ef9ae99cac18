//! The report as text.

use std::fmt;

use crate::logs::report::LogReport;

impl fmt::Display for LogReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_intervals(f)?;
        self.write_sizes(f)?;
        self.write_tenths(f)?;
        self.write_endpoints(f)?;
        self.write_routes(f)
    }
}

impl LogReport {
    fn write_intervals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "waits before the first event, by time")?;
        writeln!(
            f,
            "{:>8} {:>6} {:>9} {:>10} {:>7} {:>7} {:>10} {:>10} {:>9} {:>6}  p90 by size, ms",
            "from s",
            "runs",
            "escalated",
            "wait share",
            "p50 ms",
            "p90 ms",
            "new tokens",
            "shared",
            "no answer",
            "failed"
        )?;
        for row in &self.intervals {
            let sizes: Vec<String> = row.size_wait_p90_ms.iter().map(u64::to_string).collect();
            writeln!(
                f,
                "{:>8.1} {:>6} {:>9.2} {:>10.3} {:>7} {:>7} {:>10} {:>10} {:>9} {:>6}  {}",
                row.start_ms as f64 / 1_000.0,
                row.runs,
                row.escalated_share,
                row.wait_share,
                row.wait_p50_ms,
                row.wait_p90_ms,
                row.new_tokens,
                row.shared_tokens,
                row.no_answers,
                row.failed,
                sizes.join(" "),
            )?;
        }
        Ok(())
    }

    fn write_sizes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nmodel sizes")?;
        writeln!(
            f,
            "{:>4} {:>7} {:>9} {:>7} {:>9} {:>9} {:>10} {:>13} {:>10}",
            "size",
            "runs",
            "escalated",
            "unsure",
            "first p50",
            "first p90",
            "reading ms",
            "prompt tokens",
            "new tokens"
        )?;
        for row in &self.sizes {
            writeln!(
                f,
                "{:>4} {:>7} {:>9.2} {:>7.2} {:>9} {:>9} {:>10.1} {:>13.0} {:>10.0}",
                row.size,
                row.runs,
                row.escalated_share,
                row.unsure_share,
                row.first_p50_ms,
                row.first_p90_ms,
                row.reading_ms,
                row.prompt_tokens,
                row.new_tokens,
            )?;
        }
        Ok(())
    }

    fn write_tenths(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nescalations by confidence")?;
        writeln!(
            f,
            "{:>4} {:>6} {:>7} {:>9}",
            "size", "from", "runs", "escalated"
        )?;
        for row in &self.tenths {
            writeln!(
                f,
                "{:>4} {:>6} {:>7} {:>9.2}",
                row.size, row.from, row.runs, row.escalated_share
            )?;
        }
        Ok(())
    }

    fn write_endpoints(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nendpoints")?;
        writeln!(
            f,
            "{:<24} {:>7} {:>6} {:>8} {:>9}",
            "endpoint", "runs", "load", "wait p90", "no answer"
        )?;
        for row in &self.endpoints {
            writeln!(
                f,
                "{:<24} {:>7} {:>6.1} {:>8} {:>9}",
                row.endpoint, row.runs, row.load, row.wait_p90_ms, row.no_answers
            )?;
        }
        Ok(())
    }

    fn write_routes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nrequests by route and outcome")?;
        writeln!(
            f,
            "{:<24} {:<18} {:>8} {:>7} {:>7}",
            "route", "outcome", "requests", "p50 ms", "p90 ms"
        )?;
        for row in &self.routes {
            writeln!(
                f,
                "{:<24} {:<18} {:>8} {:>7} {:>7}",
                row.route, row.outcome, row.requests, row.p50_ms, row.p90_ms
            )?;
        }
        Ok(())
    }
}
