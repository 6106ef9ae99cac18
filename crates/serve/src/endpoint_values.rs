//! Values that endpoints name in the heads of their responses, and their bounds.

use relay::ResponseHead;

/// The pause of an endpoint that names one that cannot be read, in milliseconds.
const DEFAULT_PAUSE_MS: u64 = 1_000;

/// The longest pause that is taken from an endpoint, in milliseconds.
const MAX_PAUSE_MS: f64 = 60_000.0;

const MS_PER_S: f64 = 1_000.0;

/// Parses a rate in requests per second, or returns `None` if it is not one.
pub fn parse_rate_per_s(value: &str) -> Option<f64> {
    let rate: f64 = value.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// Parses a number of requests, or returns `None` if it is not one.
pub fn parse_request_count(value: &str) -> Option<u32> {
    value.trim().parse().ok()
}

/// Parses a time in milliseconds, which may have a fraction, or returns `None` after a warning if it is not one.
pub fn parse_duration_ms(value: &str) -> Option<u64> {
    let parsed: Option<f64> = value.trim().parse().ok();
    let duration_ms = parsed.filter(|ms| ms.is_finite() && *ms >= 0.0);
    if duration_ms.is_none() {
        tracing::warn!(value, "endpoint: duration unreadable, ignored");
    }
    duration_ms.map(|ms| ms as u64)
}

/// Returns how long an endpoint that answers 503 wants no requests, in milliseconds, if it says so
/// with a `Retry-After` in seconds, which may have a fraction.
///
/// Source: RFC 9110, section 10.2.3.
pub fn requested_pause_ms(head: &ResponseHead) -> Option<u64> {
    if head.status != 503 {
        return None;
    }
    let value = head.headers.get("retry-after")?;
    let seconds: Option<f64> = value.trim().parse().ok();
    let Some(seconds) = seconds.filter(|seconds| *seconds >= 0.0) else {
        tracing::warn!(value, "endpoint: pause unreadable, using the default");
        return Some(DEFAULT_PAUSE_MS);
    };
    Some((seconds * MS_PER_S).min(MAX_PAUSE_MS) as u64)
}
