//! Endpoints that start again under their ids, or others at their addresses, and answers with neither length nor
//! chunks of the runs before.

mod common;

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use common::fleet::Fleet;
use common::{
    Harness, Health, STARTED_MS, ScriptedEndpoint, Step, events, ids, request, route, stream_end,
    stream_head, unframed_events, unframed_head, unframed_stream,
};
use futures_lite::FutureExt;
use futures_lite::future::{block_on, zip};
use relay::{Body, Handler};
use route::RetrySafety;
use serve::{Endpoint, Pool, View};

/// Issue 65, ORDER: the run that a supervisor started again under the id of the one before vouched for the
/// streams of that one.
#[test]
fn a_stream_whose_endpoint_started_again_under_its_id_does_not_end_as_complete() {
    let cases = [
        (RetrySafety::ResumableStream, true, 1..=6, 1),
        (RetrySafety::NonIdempotentStream, false, 1..=3, 0),
    ];
    for (safety, is_complete, expected, sends) in cases {
        for (length_ms, start_ms, says_start) in [
            (150, 0, false),
            (150, 20, false),
            (150, 300, false),
            (150, 20, true),
            (0, 0, false),
            (0, 20, false),
            (0, 20, true),
        ] {
            let name = format!("{safety:?}, {length_ms} ms, {start_ms} ms, {says_start}");
            let script = vec![
                unframed_head(),
                unframed_events(1..=2),
                Step::Sleep(length_ms),
                unframed_events(3..=3),
                Step::StartAgain(start_ms),
            ];
            let first = ScriptedEndpoint::start(vec![script]);
            if says_start {
                first.set_started(STARTED_MS);
            }
            let rest = vec![stream_head(90), events(4..=6), stream_end()];
            let second = ScriptedEndpoint::start(vec![rest]);
            let harness = Harness::with_runs(route(safety), &[first.addr, second.addr]);
            let received = harness.send(&[]);
            assert_eq!(received.is_complete, is_complete, "{name}");
            let expected: Vec<u64> = expected.clone().collect();
            assert_eq!(ids(&received.body), expected, "{name}");
            assert_eq!(second.request_count(), sends, "{name}");
        }
    }
}

/// Guards against a run that vouches for the one before it on a connection that waited in the backlog: it goes to
/// the run that takes over the listener.
#[test]
fn a_young_idle_connection_does_not_tell_a_run_from_the_next() {
    let script = vec![
        Step::PauseAccepting(150),
        unframed_head(),
        unframed_events(1..=3),
        Step::Sleep(20),
        Step::StartAgain(20),
    ];
    let endpoint = ScriptedEndpoint::start(vec![script]);
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    assert!(!harness.send(&[]).is_complete);
}

/// Guards against the same after a pause of this instance, which hides when the run ended.
#[test]
fn an_idle_connection_opened_before_a_pause_does_not_tell_a_run_from_the_next() {
    let cases = [
        (RetrySafety::NonIdempotentStream, 200),
        (RetrySafety::NonIdempotent, 502),
    ];
    for (safety, status) in cases {
        let script = vec![
            Step::PauseAccepting(300),
            unframed_head(),
            unframed_events(1..=3),
            Step::Sleep(200),
            Step::StartAgain(20),
        ];
        let endpoint = ScriptedEndpoint::start(vec![script]);
        let harness = Harness::with_runs(route(safety), &[endpoint.addr]);
        let pause = async {
            Timer::after(Duration::from_millis(100)).await;
            std::thread::sleep(Duration::from_millis(800));
        };
        let (received, ()) = block_on(zip(harness.send_async(&[]), pause));
        assert_eq!(received.status, status, "{safety:?}");
        let is_cut_short = status != 200 || !received.is_complete;
        assert!(is_cut_short, "{safety:?}");
    }
}

/// Guards against taking an answer of the next run for a sign of life of the run before it.
#[test]
fn an_answer_that_began_after_the_end_of_another_does_not_vouch_for_it() {
    let short = vec![
        unframed_head(),
        unframed_events(1..=3),
        Step::Sleep(150),
        Step::StartAgain(0),
    ];
    let mut long = vec![stream_head(90)];
    for id in 1..=24 {
        long.extend([events(id..=id), Step::Sleep(50)]);
    }
    long.push(stream_end());
    let endpoint = ScriptedEndpoint::start(vec![short, long]);
    endpoint.set_health(Health::After(300));
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    let later = async {
        Timer::after(Duration::from_millis(250)).await;
        harness.send_to("/x/2", &[]).await
    };
    let (short, long) = block_on(zip(harness.send_to("/x/1", &[]), later));
    assert!(!short.is_complete);
    assert!(long.is_complete);
}

/// Guards against a peer that vouches for a run by a connection to the next one.
#[test]
fn a_peer_does_not_vouch_for_a_run_by_a_connection_to_the_next() {
    let short = vec![
        unframed_head(),
        unframed_events(1..=3),
        Step::Sleep(200),
        Step::StartAgain(0),
    ];
    let long = unframed_stream(1..=20, 50);
    let endpoint = ScriptedEndpoint::start(vec![short, long]);
    endpoint.set_health(Health::After(100));
    let addrs = vec![endpoint.addr];
    let route = route(RetrySafety::NonIdempotentStream);
    let fleet = Fleet::with_runs(&route, &[addrs.clone(), addrs]);
    fleet.exchange_reach();
    let later = async {
        Timer::after(Duration::from_millis(230)).await;
        fleet.instances[1].send_to("/x/2", &[]).await
    };
    let streams = zip(fleet.instances[0].send_to("/x/1", &[]), later);
    let (short, _) = block_on(fleet.executor.run(streams));
    assert!(!short.is_complete);
}

/// Guards against an empty answer that ends a stream whose run is known to have been replaced.
#[test]
fn an_empty_rest_does_not_end_a_stream_whose_endpoint_says_that_it_started_again() {
    let script = vec![
        unframed_head(),
        unframed_events(1..=3),
        Step::Sleep(150),
        Step::StartAgain(0),
    ];
    let first = ScriptedEndpoint::start_run(vec![script]);
    let second = ScriptedEndpoint::start(vec![vec![stream_head(90), stream_end()]]);
    let route = route(RetrySafety::ResumableStream);
    let harness = Harness::with_runs(route, &[first.addr, second.addr]);
    assert!(!harness.send(&[]).is_complete);
}

/// Guards against a check that started before a stream ended and vouches for it.
#[test]
fn a_check_before_the_end_of_a_stream_does_not_vouch_for_it() {
    let stream = |length_ms: u64, end| {
        vec![
            unframed_head(),
            unframed_events(1..=2),
            Step::AwaitRequests(2),
            Step::Sleep(90),
            unframed_events(3..=3),
            Step::Sleep(length_ms - 90),
            end,
        ]
    };
    let endpoint = ScriptedEndpoint::start(vec![
        stream(200, Step::Sleep(0)),
        stream(800, Step::StartAgain(0)),
    ]);
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    let streams = zip(harness.send_to("/x/1", &[]), harness.send_to("/x/2", &[]));
    let (first, second) = block_on(streams);
    let complete = [first, second].map(|stream| stream.is_complete);
    assert_eq!(complete.iter().filter(|complete| **complete).count(), 1);
}

/// Guards against a peer that answers for another run than the one that it is asked for.
#[test]
fn a_peer_answers_for_the_run_that_it_is_asked_for() {
    for (listed_ms, is_complete) in [(500, true), (1_000, true), (2_000, false)] {
        let script = vec![
            unframed_head(),
            unframed_events(1..=1),
            Step::Sleep(150),
            unframed_events(2..=2),
            Step::Sleep(700),
            unframed_events(3..=3),
        ];
        let endpoint = ScriptedEndpoint::start_run(vec![script]);
        let addrs = vec![endpoint.addr];
        let route = route(RetrySafety::NonIdempotentStream);
        let fleet = Fleet::new(&route, &[addrs.clone(), addrs]);
        fleet.instances[0].list_starts(&[1_000]);
        fleet.instances[1].list_starts(&[listed_ms]);
        fleet.exchange_reach();
        let received = fleet.send(0, "/x/1");
        assert_eq!(received.is_complete, is_complete, "listed {listed_ms}");
    }
}

/// Guards against the same by a connection that an endpoint which wants no more requests only keeps.
#[test]
fn a_young_connection_that_is_kept_does_not_tell_a_run_from_the_next() {
    let first = vec![
        Step::AwaitRequests(2),
        Step::PauseAccepting(150),
        unframed_head(),
        unframed_events(1..=3),
        Step::Sleep(25),
        Step::StartAgain(20),
    ];
    let head = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nx-pause-ms: 2000\r\n\r\n";
    let second = vec![
        Step::AwaitRequests(2),
        Step::Sleep(10),
        Step::Write(head.to_owned()),
        unframed_events(1..=3),
        Step::Sleep(1_000),
    ];
    let endpoint = ScriptedEndpoint::start(vec![first, second]);
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    let streams = zip(harness.send_to("/x/1", &[]), harness.send_to("/x/2", &[]));
    let (first, _) = block_on(streams);
    assert!(!first.is_complete);
}

/// A connection that waits in the backlog goes to the run that takes over the listener.
#[test]
fn an_idle_connection_that_the_next_run_accepted_does_not_vouch_for_the_run_before() {
    let script = vec![
        Step::PauseAccepting(230),
        unframed_head(),
        unframed_events(1..=3),
        Step::Sleep(200),
        Step::StartAgain(20),
    ];
    let endpoint = ScriptedEndpoint::start(vec![script]);
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    let received = harness.send(&[]);
    assert!(!received.is_complete);
}

/// An endpoint that wants no more requests is not asked, and its next run keeps connections too.
#[test]
fn a_kept_connection_to_the_next_run_does_not_vouch_for_the_run_before() {
    let head = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nx-pause-ms: 2000\r\n\r\n";
    let script = vec![
        Step::Write(head.to_owned()),
        unframed_events(1..=3),
        Step::Sleep(150),
        Step::StartAgain(0),
    ];
    let endpoint = ScriptedEndpoint::start_run(vec![script]);
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    let received = harness.send(&[]);
    assert!(!received.is_complete);
}

/// Guards against resetting whole streams that a later run sent before the registry told of it.
#[test]
fn a_whole_stream_of_a_later_run_that_was_not_listed_yet_ends_as_complete() {
    let script = unframed_stream(1..=4, 80);
    let endpoint = ScriptedEndpoint::start(vec![script]);
    let harness = Harness::with_runs(route(RetrySafety::NonIdempotentStream), &[endpoint.addr]);
    let listing = async {
        Timer::after(Duration::from_millis(200)).await;
        harness.list_starts(&[2_000]);
    };
    let (received, ()) = block_on(zip(harness.send_to("/x/1", &[]), listing));
    assert!(received.is_complete);
    assert_eq!(ids(&received.body), [1, 2, 3, 4]);
}

/// Guards against a run that vouches for the one before it if a slow caller meets the end of a stream long after.
#[test]
fn a_run_does_not_vouch_for_a_stream_that_a_slow_caller_reads_after_it_has_started() {
    const EVENTS: u64 = 120;
    const EVENT_BYTES: usize = 8 << 10;
    const SLOW_READ_TIME: Duration = Duration::from_millis(20);
    const FORGOTTEN_TIME: Duration = Duration::from_millis(700);
    let event = |id| Step::Write(format!("id: {id}\ndata: {}\n\n", "x".repeat(EVENT_BYTES)));
    let mut cut = vec![unframed_head(), unframed_events(1..=3)];
    cut.extend([Step::AwaitConnections(2), Step::Sleep(150)]);
    cut.extend((4..=EVENTS).map(event));
    cut.push(Step::StartAgain(0));
    let endpoint = ScriptedEndpoint::start_run(vec![cut, unframed_stream(1..=60, 50)]);
    let route = route(RetrySafety::NonIdempotentStream).timeout_ms(8_000);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    let is_slow = Cell::new(true);
    let slow = async {
        let response = harness.pipeline.handle(request("/x/1", &[])).await;
        let Body::Stream(mut pieces) = response.body else {
            panic!("the response is no stream");
        };
        let mut body = String::new();
        loop {
            match pieces.next().await {
                Ok(Some(bytes)) => body.push_str(&String::from_utf8_lossy(&bytes)),
                end => return (ids(&body), end.is_ok()),
            }
            if is_slow.get() {
                Timer::after(SLOW_READ_TIME).await;
            }
        }
    };
    let await_true = async |is_true: &dyn Fn() -> bool| {
        while !is_true() {
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    let next_run = async {
        await_true(&|| endpoint.started_ms() != Some(STARTED_MS)).await;
        let watched = async {
            await_true(&|| endpoint.connection_count() >= 2).await;
            Timer::after(FORGOTTEN_TIME).await;
            is_slow.set(false);
        };
        zip(harness.send_to("/x/2", &[]), watched).await;
        std::future::pending().await
    };
    let (received, is_complete) = block_on(slow.or(next_run));
    assert_eq!(received, (1..=EVENTS).collect::<Vec<_>>());
    assert!(!is_complete);
}

/// Lists a later run at the address of the first endpoint, of another service.
fn list_successor(harness: &Harness) {
    let mut view: View = (**harness.view.load()).clone();
    let mut pool: Pool = (*view.pools["app"]).clone();
    let first = pool.endpoints[0].clone();
    let run = |id: &str, started_ms: u64| {
        Arc::new(Endpoint {
            id: id.into(),
            started_ms: Some(started_ms),
            ..(*first).clone()
        })
    };
    pool.endpoints[0] = run("e0", 1_000);
    let successor = Pool {
        endpoints: vec![run("later", 2_000)],
        rollout: None,
    };
    view.pools = [("app", pool), ("other", successor)]
        .map(|(service, pool)| (Arc::from(service), Arc::new(pool)))
        .into();
    harness.view.store(Arc::new(view));
}

/// Issue 59, ORDER: streams of an endpoint that had crashed ended as complete in their midst, as another
/// process listened at its address when their end arrived.
#[test]
fn the_life_of_a_later_run_at_the_address_does_not_make_a_stream_whole() {
    let first = ScriptedEndpoint::start(vec![vec![unframed_head(), unframed_events(1..=3)]]);
    let second = ScriptedEndpoint::start(vec![vec![stream_head(90), events(4..=6), stream_end()]]);
    let harness = Harness::new(
        route(RetrySafety::ResumableStream),
        &[first.addr, second.addr],
        10.0,
    );
    list_successor(&harness);
    let received = harness.send(&[]);
    assert!(received.is_complete);
    assert_eq!(ids(&received.body), (1..=6).collect::<Vec<_>>());
}
