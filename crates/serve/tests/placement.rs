//! Choice of endpoints under concurrent requests.

mod common;

use std::time::{Duration, Instant};

use async_io::Timer;
use common::{Harness, ScriptedEndpoint, Step, answer, events, route, stream_end, stream_head};
use futures_lite::future::zip;
use route::RetrySafety;

/// Guards against counting a response in progress with the same load as the reading of its prompt:
/// short requests then queue behind prompts being read and avoid endpoints that only generate.
/// Found in scenario kiosk scale-1.
#[test]
fn a_long_prompt_adds_load_until_its_response_starts() {
    let cases = [
        ("while it is read", 100, 1),
        ("while it is answered", 450, 0),
    ];
    for (name, after_ms, expected_far) in cases {
        let long = vec![
            Step::Sleep(300),
            stream_head(90),
            events(1..=2),
            Step::Sleep(500),
            events(3..=4),
            stream_end(),
        ];
        let short = vec![stream_head(90), events(1..=2), stream_end()];
        let near = ScriptedEndpoint::start(vec![long, short.clone()]);
        let far = ScriptedEndpoint::start(vec![short]);
        let route = route(RetrySafety::ResumableStream).objective_ms(2_000);
        let harness = Harness::new(route, &[near.addr, far.addr], 10.0);
        async_io::block_on(zip(harness.send_async(&[("x-prompt", "40000")]), async {
            Timer::after(Duration::from_millis(after_ms)).await;
            harness.send_async(&[("x-prompt", "200")]).await
        }));
        assert_eq!(far.request_count(), expected_far, "{name}");
    }
}

/// Issue 25: an endpoint that was slow for a moment kept the average of that time and got no request by
/// which it could improve.
#[test]
fn an_endpoint_that_was_slow_for_a_while_gets_requests_again() {
    const SLOW_MS: u64 = 60;
    const USUAL_ANSWERS: usize = 20;
    const SLOW_ANSWERS: usize = 3;
    let mut scripts = vec![answer("a"); USUAL_ANSWERS];
    for _ in 0..SLOW_ANSWERS {
        let mut slow = vec![Step::Sleep(SLOW_MS)];
        slow.extend(answer("a"));
        scripts.push(slow);
    }
    scripts.push(answer("a"));
    let was_slow = ScriptedEndpoint::start(scripts);
    let other = ScriptedEndpoint::start(vec![answer("a")]);
    // Both are in the zone of the instance.
    let harness = Harness::new(
        route(RetrySafety::Idempotent),
        &[was_slow.addr, other.addr],
        10.0,
    );
    harness.list_all_in_zone();
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(1) {
        harness.send(&[]);
    }
    let before = was_slow.request_count();
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(10) && was_slow.request_count() < before + 20 {
        harness.send(&[]);
        std::thread::sleep(Duration::from_millis(2));
    }
    let requests = was_slow.request_count() - before;
    assert!(requests >= 20, "{requests} requests in 10 s");
}
