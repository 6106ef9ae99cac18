//! Paths that end the connections of answers with neither length nor chunks.

mod common;

use std::thread::sleep;
use std::time::Duration;

use async_io::Timer;
use common::fleet::Fleet;
use common::{
    Harness, Health, ScriptedEndpoint, Step, answer, events, ids, route, send_together, stream_end,
    stream_head, unframed_events, unframed_head, unframed_stream,
};
use futures_lite::FutureExt;
use futures_lite::future::{block_on, zip};
use route::RetrySafety;

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n\r\n";

/// Issue 65, ORDER: a path that was cut ended the streams of one instance, and their endpoint, which went on,
/// vouched for them.
#[test]
fn a_stream_that_its_path_cut_short_does_not_end_as_complete() {
    let cuts = [
        (
            "new connections go through",
            vec![Step::CloseAllConnections],
        ),
        ("new connections are refused", vec![Step::Exit]),
        (
            "new connections are closed",
            vec![Step::CloseFurtherConnections, Step::CloseAllConnections],
        ),
    ];
    let cases = [
        (RetrySafety::ResumableStream, true, 1..=6),
        (RetrySafety::NonIdempotentStream, false, 1..=3),
    ];
    for (safety, is_complete, expected) in cases {
        for (name, cut) in &cuts {
            let name = format!("{safety:?}, {name}");
            let mut script = unframed_stream(1..=3, 80);
            script.extend(cut.clone());
            let rest = vec![stream_head(90), events(4..=6), stream_end()];
            let here = ScriptedEndpoint::start_run(vec![script, rest.clone()]);
            let there = ScriptedEndpoint::start_run(vec![rest]);
            let fleet = Fleet::with_runs(&route(safety), &[vec![here.addr], vec![there.addr]]);
            let reports = async {
                loop {
                    fleet.exchange_reach();
                    Timer::after(Duration::from_millis(100)).await;
                }
            };
            let sending = fleet.instances[0].send_to("/x/1", &[]).or(reports);
            let received = block_on(fleet.executor.run(sending));
            assert_eq!(received.is_complete, is_complete, "{name}");
            let expected: Vec<u64> = expected.clone().collect();
            assert_eq!(ids(&received.body), expected, "{name}");
        }
    }
}

/// Guards against forwarding an answer as whole that its path cut short.
#[test]
fn an_answer_that_its_path_cut_short_is_not_passed_on_as_whole() {
    let script = vec![
        Step::Write(format!("{HEAD}half of")),
        Step::Sleep(200),
        Step::CloseAllConnections,
    ];
    let endpoint = ScriptedEndpoint::start_run(vec![script]);
    let route = route(RetrySafety::NonIdempotent);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    assert_eq!(harness.send(&[]).status, 502);
}

/// Guards against opening an idle connection to an endpoint only once.
#[test]
fn a_later_stream_of_an_endpoint_has_an_idle_connection_too() {
    let whole = vec![
        unframed_head(),
        unframed_events(1..=3),
        Step::Sleep(100),
        Step::CloseOtherConnections,
        Step::Sleep(600),
    ];
    let mut cut = unframed_stream(1..=3, 80);
    cut.push(Step::CloseAllConnections);
    let endpoint = ScriptedEndpoint::start_run(vec![whole, cut]);
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    assert!(harness.send(&[]).is_complete);
    assert!(!harness.send(&[]).is_complete);
}

/// Guards against a cut path that began to refuse connections just before it ended a stream.
#[test]
fn a_refusal_just_before_the_end_of_a_stream_does_not_explain_it() {
    let mut script = unframed_stream(1..=3, 80);
    script.extend([
        Step::RefuseConnections,
        Step::AwaitRequests(1),
        Step::Sleep(80),
        unframed_events(4..=4),
        Step::Sleep(40),
        Step::CloseAllConnections,
    ]);
    let here = ScriptedEndpoint::start_run(vec![script]);
    let there = ScriptedEndpoint::start_run(vec![answer("unasked")]);
    let route = route(RetrySafety::NonIdempotentStream);
    let fleet = Fleet::with_runs(&route, &[vec![here.addr], vec![there.addr]]);
    fleet.exchange_reach();
    let later = async {
        Timer::after(Duration::from_millis(275)).await;
        fleet.instances[0].send_to("/x/2", &[]).await
    };
    let streams = zip(fleet.instances[0].send_to("/x/1", &[]), later);
    let (received, _) = block_on(fleet.executor.run(streams));
    assert!(!received.is_complete);
}

/// A path that is cut ends all streams of an endpoint. The idle connection tells that of each of them.
#[test]
fn no_stream_of_several_that_their_path_cut_short_ends_as_complete() {
    const STREAMS: usize = 5;
    let mut script = unframed_stream(1..=3, 80);
    let mut cut = script.clone();
    cut.extend([Step::AwaitRequests(STREAMS), Step::CloseAllConnections]);
    script.extend([Step::Sleep(1_000)]);
    let mut scripts = vec![cut];
    scripts.extend(vec![script; STREAMS - 1]);
    let endpoint = ScriptedEndpoint::start_run(scripts);
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    let received = send_together(&harness, STREAMS);
    let complete = received.iter().filter(|stream| stream.is_complete).count();
    assert_eq!(complete, 0, "streams that end as complete of {STREAMS}");
}

/// Guards against a path that is cut again before the idle connection that it ended is opened again.
#[test]
fn a_path_that_is_cut_twice_within_a_second_leaves_both_streams_in_doubt() {
    for pause_ms in [10, 30, 50] {
        let mut first = unframed_stream(1..=3, 30);
        first.push(Step::CloseAllConnections);
        let second = vec![
            unframed_head(),
            unframed_events(1..=3),
            Step::Sleep(470),
            Step::CloseAllConnections,
        ];
        let endpoint = ScriptedEndpoint::start_run(vec![first, second]);
        let route = route(RetrySafety::NonIdempotentStream);
        let harness = Harness::with_runs(route, &[endpoint.addr]);
        assert!(!harness.send(&[]).is_complete, "{pause_ms} ms, first");
        sleep(Duration::from_millis(pause_ms));
        assert!(!harness.send(&[]).is_complete, "{pause_ms} ms, second");
    }
}

/// Guards against taking a path that was reset for an endpoint that is full.
#[test]
fn a_path_that_is_reset_and_then_cut_leaves_a_stream_in_doubt() {
    let reset = vec![
        Step::HoldNextConnection,
        unframed_head(),
        unframed_events(1..=3),
        Step::ResetHeldConnection,
        Step::Reset,
    ];
    let cut = vec![
        unframed_head(),
        unframed_events(1..=3),
        Step::Sleep(250),
        Step::CloseAllConnections,
    ];
    let endpoint = ScriptedEndpoint::start_run(vec![reset, cut]);
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    assert!(!harness.send(&[]).is_complete);
    assert!(!harness.send(&[]).is_complete);
}

/// The idle connection may be closed before the last bytes of an answer are read.
#[test]
fn a_cut_that_reaches_the_idle_connection_first_leaves_a_stream_in_doubt() {
    let mut script = unframed_stream(1..=3, 80);
    script.extend([Step::CloseOtherConnections, unframed_events(4..=4)]);
    let endpoint = ScriptedEndpoint::start_run(vec![script]);
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    let received = harness.send(&[]);
    assert!(!received.is_complete);
}

/// A relay that leaves refuses connections before it ends those that it has.
#[test]
fn a_path_that_refuses_connections_before_it_cuts_a_stream_does_not_make_it_whole() {
    let mut script = unframed_stream(1..=3, 80);
    script.push(Step::RefuseConnections);
    for id in 4..=13 {
        script.extend([unframed_events(id..=id), Step::Sleep(80)]);
    }
    script.push(Step::CloseAllConnections);
    let here = ScriptedEndpoint::start_run(vec![script]);
    let there = ScriptedEndpoint::start_run(vec![answer("unasked")]);
    let route = route(RetrySafety::NonIdempotentStream);
    let fleet = Fleet::with_runs(&route, &[vec![here.addr], vec![there.addr]]);
    fleet.exchange_reach();
    // Another request finds that connections are refused.
    let later = async {
        Timer::after(Duration::from_millis(450)).await;
        fleet.instances[0].send_to("/x/2", &[]).await
    };
    let streams = zip(fleet.instances[0].send_to("/x/1", &[]), later);
    let (received, _) = block_on(fleet.executor.run(streams));
    assert!(!received.is_complete);
}

/// Guards against taking an idle connection that closed long before an end for one that closed with it.
#[test]
fn an_idle_connection_that_closed_long_before_says_nothing_of_an_end() {
    let script = vec![
        unframed_head(),
        unframed_events(1..=3),
        Step::Sleep(100),
        Step::CloseOtherConnections,
        Step::Sleep(600),
    ];
    let endpoint = ScriptedEndpoint::start_run(vec![script]);
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    assert!(harness.send(&[]).is_complete);
}

/// Guards against taking a connection that an endpoint closes as idle for one that ended with an answer.
#[test]
fn an_endpoint_that_closes_idle_connections_early_vouches_for_its_streams() {
    for last_ms in [40, 90, 140] {
        let mut script = unframed_stream(1..=15, 100);
        script.push(Step::Sleep(last_ms));
        let endpoint = ScriptedEndpoint::start_run(vec![script]);
        endpoint.set_idle_timeout(Duration::from_millis(1_500));
        let route = route(RetrySafety::NonIdempotentStream);
        let harness = Harness::with_runs(route, &[endpoint.addr]);
        assert!(harness.send(&[]).is_complete, "{last_ms} ms");
    }
}

/// Guards against resetting whole streams of an endpoint that is full and resets an idle connection.
#[test]
fn an_idle_connection_that_a_full_endpoint_resets_is_no_loss_of_the_path() {
    let script = vec![
        Step::HoldNextConnection,
        unframed_head(),
        unframed_events(1..=3),
        Step::ResetHeldConnection,
    ];
    let endpoint = ScriptedEndpoint::start_run(vec![script]);
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    assert!(harness.send(&[]).is_complete);
}

/// Guards against other answers, on connections that were not cut, that vouch for a stream whose path was.
#[test]
fn an_answer_that_goes_on_does_not_vouch_for_a_stream_that_its_path_cut_short() {
    let cut = unframed_stream(1..=100, 40);
    let mut long = vec![stream_head(90), events(1..=1)];
    long.extend([
        Step::AwaitConnections(3),
        Step::Sleep(150),
        Step::CloseOtherConnections,
    ]);
    for id in 2..=20 {
        long.extend([events(id..=id), Step::Sleep(50)]);
    }
    long.push(stream_end());
    let endpoint = ScriptedEndpoint::start_run(vec![cut, long]);
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    let received = send_together(&harness, 2);
    let complete = received.iter().filter(|stream| stream.is_complete).count();
    assert_eq!(complete, 1, "streams that end as complete");
}

/// Guards against a path that closes the idle connection only after the end of a stream was read.
#[test]
fn a_cut_that_reaches_the_idle_connection_last_leaves_a_stream_in_doubt() {
    const WITH_IDLE: usize = 2;
    const WITH_HEALTH_CHECK: usize = 3;
    let mut script = vec![unframed_head(), unframed_events(1..=3)];
    script.extend([Step::AwaitConnections(WITH_IDLE), Step::Sleep(150)]);
    script.extend([
        Step::CloseThisConnection,
        Step::AwaitConnections(WITH_HEALTH_CHECK),
        Step::CloseIdleConnections,
    ]);
    let endpoint = ScriptedEndpoint::start_run(vec![script]);
    endpoint.set_health(Health::After(200));
    let route = route(RetrySafety::NonIdempotentStream);
    let harness = Harness::with_runs(route, &[endpoint.addr]);
    assert!(!harness.send(&[]).is_complete);
}
