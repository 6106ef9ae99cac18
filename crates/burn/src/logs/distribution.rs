//! Distribution of times.

use hdrhistogram::Histogram;

/// Longest time that is told apart from longer ones.
const MAX_MS: u64 = 3_600_000;

/// Times in whole milliseconds, with two significant digits.
#[derive(Debug)]
pub(crate) struct Distribution {
    histogram: Histogram<u64>,
}

impl Default for Distribution {
    fn default() -> Distribution {
        let histogram = Histogram::new_with_max(MAX_MS, 2).expect("the bounds are supported");
        Distribution { histogram }
    }
}

impl Distribution {
    pub(crate) fn record(&mut self, value_ms: f64) {
        self.histogram.saturating_record(value_ms.max(0.0) as u64);
    }

    pub(crate) fn count(&self) -> u64 {
        self.histogram.len()
    }

    pub(crate) fn quantile_ms(&self, quantile: f64) -> u64 {
        self.histogram.value_at_quantile(quantile)
    }
}
