//! Where requests go beside others.

mod common;

use std::time::Duration;

use async_io::Timer;
use common::{Rig, Scripted, Step, events, route, stream_end, stream_head};
use futures_lite::future::zip;
use route::RetrySafety;

/// Kiosk scale-1: a running answer weighed as much as the reading of its prompt, so that short
/// requests waited behind prompts that were being read and kept away from those that were not.
#[test]
fn a_long_prompt_weighs_until_its_answer_begins() {
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
        let near = Scripted::start(vec![long, short.clone()]);
        let far = Scripted::start(vec![short]);
        let route = route(RetrySafety::ResumableStream).objective_ms(2_000);
        let rig = Rig::new(route, &[near.addr, far.addr], 10.0);
        async_io::block_on(zip(rig.ask(&[("x-prompt", "40000")]), async {
            Timer::after(Duration::from_millis(after_ms)).await;
            rig.ask(&[("x-prompt", "200")]).await
        }));
        assert_eq!(far.arrivals(), expected_far, "{name}");
    }
}
