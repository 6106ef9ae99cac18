//! When a stream is judged to be slow.

use rollout::{StreamProgress, is_slow_stream};

#[test]
fn streams_are_judged_from_few_events() {
    let baseline_ms = Some(10.0);
    let cases = [
        ("too early to decide", 3, 30.0, false, baseline_ms, None),
        (
            "six events at the baseline",
            6,
            60.0,
            false,
            baseline_ms,
            Some(false),
        ),
        (
            "six events at twice the baseline",
            6,
            120.0,
            false,
            baseline_ms,
            Some(false),
        ),
        (
            "six events at three times the baseline",
            6,
            180.0,
            false,
            baseline_ms,
            Some(true),
        ),
        (
            "two events in the time of six slow ones",
            2,
            150.0,
            false,
            baseline_ms,
            Some(true),
        ),
        (
            "one running event is not enough",
            1,
            900.0,
            false,
            baseline_ms,
            None,
        ),
        (
            "a short stream at its end",
            2,
            60.0,
            true,
            baseline_ms,
            Some(true),
        ),
        (
            "a short fast stream",
            2,
            20.0,
            true,
            baseline_ms,
            Some(false),
        ),
        (
            "a stream of one event",
            1,
            900.0,
            true,
            baseline_ms,
            Some(false),
        ),
        ("no baseline yet", 6, 900.0, false, None, Some(false)),
    ];
    for (name, events, elapsed_ms, is_over, baseline_ms, expected) in cases {
        let progress = StreamProgress {
            events,
            elapsed_ms,
            is_over,
        };
        assert_eq!(is_slow_stream(&progress, baseline_ms), expected, "{name}");
    }
}
