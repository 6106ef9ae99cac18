//! The report over logs with known content.

use burn::{LogEvent, LogReport, render_log_svg};
use expect_test::expect;

const LOG: &str = r#"
 0.1 gate-1 {"timestamp":"2026-04-05T03:16:30.100Z","level":"INFO","message":"request: confidence","id":"a","size":0,"prompt_tokens":1000,"new_tokens":400,"first_ms":30,"endpoint":"e1","load":1.0,"reading_ms":10,"confidence":24,"wait_share":0.1}
 0.2 gate-1 {"timestamp":"2026-04-05T03:16:30.200Z","level":"INFO","message":"request: confidence","id":"a","size":2,"prompt_tokens":1000,"new_tokens":400,"first_ms":80,"endpoint":"e2","load":3.0,"reading_ms":30,"confidence":91,"wait_share":0.1}
 0.4 gate-2 {"timestamp":"2026-04-05T03:16:30.400Z","level":"INFO","message":"request: answered","id":"a","route":"plans","size":2,"elapsed_ms":320}
 0.5 gate-2 {"timestamp":"2026-04-05T03:16:30.500Z","level":"INFO","message":"send: no answer","id":"b","endpoint":"e1","result":"unreached"}
 3.0 gate-2 {"timestamp":"2026-04-05T03:16:33.000Z","level":"INFO","message":"request: confidence","id":"b","size":0,"prompt_tokens":500,"new_tokens":500,"first_ms":12,"endpoint":"e2","load":2.0,"reading_ms":10,"confidence":100,"wait_share":0.05}
 3.1 gate-2 {"timestamp":"2026-04-05T03:16:33.100Z","level":"INFO","message":"request: failed","id":"c","route":"plans","reason":"overloaded","elapsed_ms":4}
 3.2 gate-2 {"timestamp":"2026-04-05T03:16:33.200Z","level":"INFO","message":"config: in force","version":3}
 not a line of a log
"#;

fn report() -> LogReport {
    let mut events = Vec::new();
    for line in LOG.lines() {
        events.extend(LogEvent::parse(line).unwrap());
    }
    LogReport::build(&events, 2_000)
}

#[test]
fn the_report_shows_waits_escalations_endpoints_and_outcomes() {
    expect![[r#"
        waits before the first event, by time
          from s   runs escalated wait share  p50 ms  p90 ms new tokens     shared no answer failed  p90 by size, ms
             0.0      2      0.50      0.100      20      50        800       1200         1      0  20 0 50
             2.0      1      0.00      0.050       2       2        500          0         0      1  2 0 0

        model sizes
        size    runs escalated  unsure first p50 first p90 reading ms prompt tokens new tokens
           0       2      0.00    0.50        12        30       10.0           750        450
           2       1      1.00    0.00        80        80       30.0          1000        400

        escalations by confidence
        size   from    runs escalated
           0     20       1      1.00
           0     90       1      0.00
           2     90       1      0.00

        endpoints
        endpoint                    runs   load wait p90 no answer
        e1                             1    1.0       20         1
        e2                             2    2.5       50         0

        requests by route and outcome
        route                    outcome            requests  p50 ms  p90 ms
        plans                    answered                  1     321     321
        plans                    overloaded                1       4       4
    "#]].assert_eq(&report().to_string());
}

#[test]
fn fields_in_an_object_of_their_own_are_read() {
    let line = r#"{"timestamp":"2026-04-05T03:16:33.100Z","fields":{"message":"request: failed","id":"c","route":"plans","reason":"overloaded","elapsed_ms":4}}"#;
    let event = LogEvent::parse(line).unwrap().unwrap();
    let report = LogReport::build(&[event], 2_000);
    assert_eq!(report.routes.len(), 1);
    assert_eq!(&*report.routes[0].outcome, "overloaded");
}

#[test]
fn a_line_about_a_request_needs_a_time() {
    let line = r#"{"timestamp":"yesterday","message":"request: answered","id":"a"}"#;
    let err = LogEvent::parse(line).unwrap_err();
    assert_eq!(err.to_string(), "\"yesterday\" is not a time of RFC 3339");
}

#[test]
fn the_chart_has_a_line_for_each_size() {
    let svg = render_log_svg(&report()).unwrap();
    assert!(svg.contains("size 0"), "{svg}");
    assert!(svg.contains("size 2"), "{svg}");
}

#[test]
fn a_report_without_events_is_empty() {
    let report = LogReport::build(&[], 2_000);
    assert!(report.intervals.is_empty());
    assert!(render_log_svg(&report).is_ok());
}
