//! How soon a stream is told to be slow.

use rollout::{StreamProgress, is_slow_stream};

#[test]
fn streams_are_judged_as_soon_as_their_pace_shows() {
    let usual_ms = Some(10.0);
    let cases = [
        ("too early to tell", 3, 30.0, false, usual_ms, None),
        (
            "six at the usual pace",
            6,
            60.0,
            false,
            usual_ms,
            Some(false),
        ),
        (
            "six at twice the time",
            6,
            120.0,
            false,
            usual_ms,
            Some(false),
        ),
        (
            "six at three times the time",
            6,
            180.0,
            false,
            usual_ms,
            Some(true),
        ),
        (
            "two that took as long as six slow ones",
            2,
            150.0,
            false,
            usual_ms,
            Some(true),
        ),
        ("one is no pace", 1, 900.0, false, usual_ms, None),
        (
            "a short stream at its end",
            2,
            60.0,
            true,
            usual_ms,
            Some(true),
        ),
        ("a short quick stream", 2, 20.0, true, usual_ms, Some(false)),
        (
            "a stream of one event",
            1,
            900.0,
            true,
            usual_ms,
            Some(false),
        ),
        ("nothing is usual yet", 6, 900.0, false, None, Some(false)),
    ];
    for (name, events, elapsed_ms, is_over, usual_ms, expected) in cases {
        let progress = StreamProgress {
            events,
            elapsed_ms,
            is_over,
        };
        assert_eq!(is_slow_stream(&progress, usual_ms), expected, "{name}");
    }
}
