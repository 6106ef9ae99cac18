//! Losses of idle connections that are missed, forgotten or counted in error.

mod common;

use std::time::Duration;

use async_io::Timer;
use common::{
    Harness, Health, ScriptedEndpoint, Step, events, route, stream_end, stream_head,
    unframed_stream,
};
use futures_lite::future::{block_on, zip};
use route::RetrySafety;

fn harness(endpoint: &ScriptedEndpoint) -> Harness {
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::new(route, &[endpoint.addr], 10.0);
    harness.list_starts(&[1_000]);
    harness
}

/// The loss of an idle connection is not forgotten while the endpoint is asked.
#[test]
fn a_cut_leaves_a_stream_in_doubt_whose_endpoint_answers_slowly() {
    for health_ms in [0, 300] {
        let mut cut = unframed_stream(1..=3, 80);
        cut.push(Step::CloseAllConnections);
        let endpoint = ScriptedEndpoint::start(vec![cut]);
        endpoint.set_started(1_000);
        endpoint.set_health(Health::After(health_ms));
        let harness = harness(&endpoint);
        assert!(!harness.send(&[]).is_complete, "{health_ms} ms");
    }
}

/// Another answer that goes on shows the life of the run, but not that the run ended the stream.
#[test]
fn another_answer_does_not_make_a_stream_whole_whose_idle_connection_was_cut() {
    for health_ms in [0, 200] {
        let cut = unframed_stream(1..=40, 50);
        let mut other = vec![stream_head(90)];
        for id in 1..=8 {
            other.extend([events(id..=id), Step::Sleep(50)]);
        }
        other.push(Step::CloseOtherConnections);
        for id in 9..=24 {
            other.extend([events(id..=id), Step::Sleep(50)]);
        }
        other.push(stream_end());
        let endpoint = ScriptedEndpoint::start(vec![cut, other]);
        endpoint.set_started(1_000);
        endpoint.set_health(Health::After(health_ms));
        let harness = harness(&endpoint);
        let later = async {
            Timer::after(Duration::from_millis(50)).await;
            harness.send_to("/x/2", &[]).await
        };
        let (cut, other) = block_on(zip(harness.send_to("/x/1", &[]), later));
        assert!(other.is_complete, "{health_ms} ms");
        assert!(!cut.is_complete, "{health_ms} ms");
    }
}
