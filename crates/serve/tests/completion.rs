//! Requests whose runs cannot end by their deadlines.

mod common;

use common::{Harness, ScriptedEndpoint, Step, events, ids, route, stream_end, stream_head};
use route::RetrySafety;

/// Streams from which lengths and paces are learned, more than are needed for an estimate.
const LEARNED: usize = 7;

/// The script of a stream of ten events.
fn stream(confidence: u8, event_ms: u64) -> Vec<Step> {
    let mut script = vec![stream_head(confidence)];
    for id in 1..=10 {
        script.extend([events(id..=id), Step::Sleep(event_ms)]);
    }
    script.push(stream_end());
    script
}

/// Guards against holding a request until its deadline that was known to be too short for it.
#[test]
fn a_request_that_cannot_end_is_refused_at_once_if_lengths_and_paces_are_known() {
    let endpoint = ScriptedEndpoint::start(vec![stream(90, 40); LEARNED + 2]);
    let harness = Harness::new(route(RetrySafety::ResumableStream), &[endpoint.addr], 10.0);
    let received = harness.send(&[("x-budget-ms", "60")]);
    assert_eq!(received.verdict, None, "nothing is known yet");
    for _ in 0..LEARNED {
        assert!(harness.send(&[]).is_complete);
    }
    let sent = endpoint.request_count();
    let received = harness.send(&[("x-budget-ms", "60")]);
    assert_eq!(received.status, 503);
    assert_eq!(received.verdict.as_deref(), Some("not-run"));
    assert_eq!(endpoint.request_count(), sent);
    assert!(harness.send(&[]).is_complete, "one that can end is served");
}

/// Guards against an answer that is discarded for a larger size which is cut at the deadline.
#[test]
fn an_unsure_answer_is_kept_if_the_larger_size_cannot_end() {
    let small = vec![stream_head(10), events(1..=2), stream_end()];
    let mut scripts = Vec::new();
    for _ in 0..LEARNED {
        scripts.extend([small.clone(), stream(90, 100)]);
    }
    scripts.push(small);
    let endpoint = ScriptedEndpoint::start(scripts);
    let route = route(RetrySafety::ResumableStream).model_sizes(&["small", "large"]);
    let harness = Harness::new(route, &[endpoint.addr], 30.0);
    for _ in 0..LEARNED {
        let received = harness.send(&[("x-any-size", "1")]);
        assert_eq!(ids(&received.body).len(), 10);
    }
    let fields = [("x-any-size", "1"), ("x-budget-ms", "400")];
    let received = harness.send(&fields);
    assert!(received.is_complete);
    assert_eq!(ids(&received.body), [1, 2]);
    assert_eq!(endpoint.request_count(), 2 * LEARNED + 1);
}

/// Guards against a run that is known after a few events to miss its deadline, and is cut there.
#[test]
fn a_run_moves_once_to_an_endpoint_that_is_expected_to_complete_it() {
    const EVENTS: u64 = 20;
    let stream = |from: u64, event_ms: u64| {
        let mut script = vec![stream_head(90)];
        for id in from..=EVENTS {
            script.extend([events(id..=id), Step::Sleep(event_ms)]);
        }
        script.push(stream_end());
        script
    };
    let silent = vec![Step::Sleep(4_000)];
    let cases = [
        ("too slow here", "1500", stream(5, 20), 1, true),
        ("slow, with time enough", "30000", stream(5, 20), 0, true),
        ("no answer elsewhere in time", "4000", silent, 1, true),
    ];
    for (name, budget_ms, elsewhere, moved, is_complete) in cases {
        let slow_ms = if moved == 1 && budget_ms == "4000" {
            170
        } else {
            150
        };
        let mut scripts = vec![stream(1, 20); LEARNED];
        scripts.push(stream(1, slow_ms));
        let first = ScriptedEndpoint::start(scripts);
        let second = ScriptedEndpoint::start(vec![elsewhere]);
        let route = route(RetrySafety::ResumableStream).timeout_ms(60_000);
        let harness = Harness::new(route, &[first.addr, second.addr], 10.0);
        for _ in 0..LEARNED {
            assert!(harness.send(&[]).is_complete, "{name}");
        }
        let received = harness.send(&[("x-budget-ms", budget_ms)]);
        assert_eq!(second.request_count(), moved, "{name}");
        assert_eq!(received.is_complete, is_complete, "{name}");
        assert_eq!(
            ids(&received.body),
            (1..=EVENTS).collect::<Vec<_>>(),
            "{name}"
        );
        if budget_ms == "1500" {
            assert!(second.head(0).contains("x-after: 4\r\n"), "{name}");
        }
    }
}
