//! Since when nothing is known of the process that sends a body.

use std::time::{Duration, Instant};

use relay::ReadTimes;

/// Times of reads, the time of the end, and until when bytes arrived without a gap, in milliseconds.
const CASES: [(&str, &[u64], u64, u64, u64); 8] = [
    ("steady", &[25, 50, 75, 100], 110, 110, 0),
    ("late end", &[25, 50, 75, 100], 400, 100, 300),
    ("no bytes", &[], 30, 30, 0),
    ("no bytes for long", &[], 300, 0, 300),
    ("pause", &[25, 50, 350, 351], 352, 50, 300),
    (
        "pause long ago",
        &[
            25, 350, 375, 400, 425, 450, 475, 500, 525, 550, 575, 600, 625, 650, 675, 700, 725,
            750, 775, 800, 825, 850, 875,
        ],
        880,
        880,
        0,
    ),
    ("two pauses", &[100, 125, 250, 260], 300, 0, 125),
    ("short gaps", &[80, 160, 240], 320, 320, 0),
];

#[test]
fn a_gap_hides_the_end_of_the_process_that_sends_a_body() {
    for (name, reads_ms, ended_ms, steady_ms, gap_ms) in CASES {
        let began_at = Instant::now();
        let at = |ms: u64| began_at + Duration::from_millis(ms);
        let mut times = ReadTimes::new(began_at);
        for read_ms in reads_ms {
            times.record(at(*read_ms));
        }
        let ended_at = at(ended_ms);
        assert_eq!(times.steady_until(ended_at), at(steady_ms), "{name}");
        assert_eq!(
            times.longest_gap(ended_at),
            Duration::from_millis(gap_ms),
            "{name}"
        );
    }
}

/// Guards against taking bytes that are read late for a sign that the connection is open.
#[test]
fn only_a_wait_shows_that_a_connection_is_open() {
    let began_at = Instant::now();
    let at = |ms: u64| began_at + Duration::from_millis(ms);
    let mut times = ReadTimes::new(began_at);
    times.record(at(10));
    assert_eq!(times.open_until(), at(0));
    times.record_wait(at(20));
    times.record(at(700));
    assert_eq!(times.open_until(), at(20));
}
