//! The order of requests while capacity is short, as deployed: without weighing ends of runs.

mod common;

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use common::{Harness, Received, ScriptedEndpoint, Step, events, route, stream_end, stream_head};
use futures_lite::future::{block_on, zip};
use route::RetrySafety;
use serve::View;

/// Streams from which lengths and paces are learned, more than are needed for an estimate.
const LEARNED: usize = 7;

/// The script of a stream of ten events.
fn stream(event_ms: u64) -> Vec<Step> {
    let mut script = vec![stream_head(90)];
    for id in 1..=10 {
        script.extend([events(id..=id), Step::Sleep(event_ms)]);
    }
    script.push(stream_end());
    script
}

/// Where and when a request is sent that is too short for its answer.
#[derive(Default)]
struct Scene {
    endpoint_count: usize,
    evacuated: &'static [&'static str],
    homes: Option<&'static [&'static str]>,
    /// Time since lengths and paces were learned.
    learned_before_ms: u64,
}

/// Sends a request that is too short for its answer beside a stream, and returns what its caller receives and
/// whether it was sent.
fn send_beside_a_stream(scene: &Scene) -> (Received, bool) {
    let scripts = vec![stream(40); LEARNED + 3];
    let mut endpoints = Vec::new();
    for _ in 0..scene.endpoint_count {
        endpoints.push(ScriptedEndpoint::start(scripts.clone()));
    }
    let addrs: Vec<_> = endpoints.iter().map(|endpoint| endpoint.addr).collect();
    let mut route = route(RetrySafety::ResumableStream);
    if let Some(homes) = scene.homes {
        route = route.homes(homes);
    }
    let harness = Harness::with_order(route, &addrs);
    let mut view: View = (**harness.view.load()).clone();
    let regions = [("here", "near"), ("there", "far")];
    let regions = regions.map(|(zone, region)| (zone.into(), region.into()));
    view.regions = Arc::new(regions.into());
    harness.view.store(view.into());
    harness.list_slots(1);
    harness.evacuate(scene.evacuated);
    for _ in 0..LEARNED {
        assert!(harness.send(&[]).is_complete);
    }
    let sent = || -> usize { endpoints.iter().map(ScriptedEndpoint::request_count).sum() };
    let short = async {
        while sent() == LEARNED {
            Timer::after(Duration::from_millis(5)).await;
        }
        // The load of the pool is summed again after 20 ms.
        harness.clock.age_by(scene.learned_before_ms.max(20));
        let sent_before = sent();
        let received = harness.send_async(&[("x-budget-ms", "100")]).await;
        (received, sent() > sent_before)
    };
    let (stream, short) = block_on(zip(harness.send_async(&[]), short));
    assert!(stream.is_complete);
    short
}

/// Guards against a refusal that leaves out the time to write the answer, that counts the slots of
/// evacuated zones or outside the homes as room, that happens while slots are free, or that rests on a pace
/// which may have changed.
#[test]
fn a_request_that_cannot_end_is_refused_only_if_no_slot_is_open_to_it() {
    let one = || Scene {
        endpoint_count: 1,
        ..Scene::default()
    };
    let two = || Scene {
        endpoint_count: 2,
        ..Scene::default()
    };
    let old_pace = Scene {
        learned_before_ms: 10_000,
        ..one()
    };
    let evacuated = Scene {
        evacuated: &["here"],
        ..two()
    };
    let home = Scene {
        homes: Some(&["near"]),
        ..two()
    };
    let homes = Scene {
        homes: Some(&["near", "far"]),
        ..two()
    };
    let cases = [
        ("full", one(), true),
        ("the free slot is evacuated", evacuated, true),
        ("the free slot is in no home", home, true),
        ("a slot is free", two(), false),
        ("a slot in a home is free", homes, false),
        ("full, no fresh pace", old_pace, false),
    ];
    for (name, scene, is_refused) in cases {
        let (received, is_sent) = send_beside_a_stream(&scene);
        let is_not_run = received.status == 503 && received.verdict.as_deref() == Some("not-run");
        assert_eq!(is_not_run, is_refused, "{name}");
        assert_eq!(is_sent, !is_refused, "{name}");
    }
}

/// Guards against a second attempt that queues behind first ones of its class: its caller has waited already, and the
/// engine time of the first attempt is lost if it ends late.
#[test]
fn a_second_attempt_is_before_first_ones_of_its_class() {
    let rest = vec![stream_head(90), events(6..=6), stream_end()];
    let endpoint = ScriptedEndpoint::start(vec![stream(0), rest]);
    let harness = Harness::with_order(route(RetrySafety::ResumableStream), &[endpoint.addr]);
    assert!(harness.send(&[]).is_complete);
    assert!(harness.send(&[("x-after", "5")]).is_complete);
    let first = priority(&endpoint, 0).unwrap();
    assert_eq!(priority(&endpoint, 1), Some(first - 1));
}

fn priority(endpoint: &ScriptedEndpoint, index: usize) -> Option<u8> {
    let head = endpoint.head(index);
    let value = head
        .lines()
        .find_map(|line| line.strip_prefix("x-priority: "));
    value?.parse().ok()
}

/// Guards against a resumed stream that counts as late since its request arrived longer ago than its objective,
/// and is preempted before others although its caller has its first event.
#[test]
fn a_resumed_stream_is_not_late() {
    let cut = vec![
        stream_head(90),
        events(1..=2),
        Step::Sleep(100),
        Step::Reset,
    ];
    let rest = vec![stream_head(90), events(3..=6), stream_end()];
    let endpoint = ScriptedEndpoint::start(vec![cut, rest]);
    let route = route(RetrySafety::ResumableStream).objective_ms(50);
    let harness = Harness::with_order(route, &[endpoint.addr]);
    harness.list_slots(1);
    assert!(harness.send(&[]).is_complete);
    assert_eq!(endpoint.request_count(), 2);
    let first = priority(&endpoint, 0).unwrap();
    let resumed = priority(&endpoint, 1).unwrap();
    assert!(resumed <= first, "{first}, {resumed}");
}
