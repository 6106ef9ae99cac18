//! Choice of endpoints under concurrent requests.

mod common;

use std::time::Duration;

use async_io::Timer;
use common::{Harness, ScriptedEndpoint, Step, events, route, stream_end, stream_head};
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
