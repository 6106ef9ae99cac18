//! Losses of idle connections that are missed, forgotten or counted in error.

mod common;

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use common::fleet::Fleet;
use common::{
    Harness, Health, ScriptedEndpoint, Step, answer, events, ids, request, route, stream_end,
    stream_head, unframed_events, unframed_head, unframed_stream,
};
use futures_lite::FutureExt;
use futures_lite::future::{block_on, poll_once, zip};
use kernel::Clock;
use relay::{Body, Handler};
use route::RetrySafety;

fn harness(endpoint: &ScriptedEndpoint) -> Harness {
    let route = route(RetrySafety::NonIdempotentStream);
    Harness::with_runs(route, &[endpoint.addr])
}

fn limit_connections(harness: &Harness, max_connections: u32) {
    let mut view = (**harness.view.load()).clone();
    let route = route(RetrySafety::NonIdempotentStream);
    let service = route::Service {
        name: "app".into(),
        health_path: "/".into(),
        max_connections,
        engine: None,
        cold: None,
    };
    let route = route.with_target(route::Target::new("app", 1));
    let table = route::Table::new(1).with_route(route).with_service(service);
    view.table = Some(Arc::new(table));
    view.generation += 1;
    harness.view.store(view.into());
}

/// Cuts the path to one endpoint after another soon after an answer to the same prompt began, and returns the
/// statuses of the requests.
fn send_while_paths_are_cut(max_connections: u32) -> Vec<u16> {
    const ENDPOINTS: usize = 7;
    let cut = vec![
        unframed_head(),
        unframed_events(1..=1),
        Step::Sleep(100),
        Step::Exit,
    ];
    let start = |script: Vec<Step>| ScriptedEndpoint::start_run(vec![script]);
    let here: Vec<_> = (0..ENDPOINTS).map(|_| start(cut.clone())).collect();
    let there: Vec<_> = (0..ENDPOINTS).map(|_| start(answer("unasked"))).collect();
    let addrs = |endpoints: &[ScriptedEndpoint]| endpoints.iter().map(|one| one.addr).collect();
    let route = route(RetrySafety::NonIdempotentStream);
    let fleet = Fleet::with_runs(&route, &[addrs(&here), addrs(&there)]);
    for instance in &fleet.instances {
        limit_connections(instance, max_connections);
    }
    let reports = async {
        loop {
            fleet.exchange_reach();
            Timer::after(Duration::from_millis(100)).await;
        }
    };
    let sending = async {
        let mut statuses = Vec::new();
        for number in 0..6 {
            let instance = &fleet.instances[0];
            let crashes = instance.pipeline.shared_loads().crashes().clone();
            crashes.set_peers(&[], instance.clock.mono_ms());
            let parts = format!("66,{}", 5_000 + number);
            let fields = [("x-parts", &*parts)];
            statuses.push(instance.send_to("/x/1", &fields).await.status);
            Timer::after(Duration::from_millis(200)).await;
        }
        let fields = [("x-parts", "67,6000")];
        let other = fleet.instances[0].send_to("/x/1", &fields).await;
        assert_eq!(other.status, 200, "another prompt");
        statuses
    };
    block_on(fleet.executor.run(sending.or(reports)))
}

/// The loss of an idle connection is not forgotten while the endpoint is asked.
#[test]
fn a_cut_leaves_a_stream_in_doubt_whose_endpoint_answers_slowly() {
    for health_ms in [0, 300] {
        let mut cut = unframed_stream(1..=3, 80);
        cut.push(Step::CloseAllConnections);
        let endpoint = ScriptedEndpoint::start_run(vec![cut]);
        endpoint.set_health(Health::After(health_ms));
        let harness = harness(&endpoint);
        assert!(!harness.send(&[]).is_complete, "{health_ms} ms");
    }
}

/// An idle connection that was asked on a moment ago is lost with the path like any other.
#[test]
fn a_cut_soon_after_a_question_on_the_idle_connection_leaves_a_stream_in_doubt() {
    let mut cut = unframed_stream(1..=4, 85);
    cut.push(Step::CloseAllConnections);
    let whole = unframed_stream(1..=3, 80);
    let endpoint = ScriptedEndpoint::start_run(vec![unframed_stream(1..=3, 55), whole, cut]);
    endpoint.set_keeps_alive();
    let harness = harness(&endpoint);
    assert!(harness.send(&[]).is_complete);
    // It becomes known that the endpoint keeps connections.
    std::thread::sleep(Duration::from_millis(300));
    let later = async {
        Timer::after(Duration::from_millis(20)).await;
        harness.send_to("/x/2", &[]).await
    };
    let (whole, cut) = block_on(zip(harness.send_to("/x/1", &[]), later));
    assert!(whole.is_complete);
    assert!(!cut.is_complete);
}

/// A failure of an endpoint has neither length nor chunks, and its path cuts it short.
#[test]
fn a_failure_that_its_path_cut_short_is_not_passed_on_as_whole() {
    for (cut, is_passed_on) in [
        (Step::Sleep(0), true),
        (Step::StartAgain(20), false),
        (Step::CloseAllConnections, false),
    ] {
        let head = "HTTP/1.1 500 Failed\r\nx-id: 1\r\nx-seal: s\r\n\r\n";
        let name = format!("{cut:?}");
        let script = vec![Step::Write(format!("{head}half of")), Step::Sleep(200), cut];
        let endpoint = ScriptedEndpoint::start_run(vec![script]);
        let harness = Harness::with_runs(route(RetrySafety::NonIdempotent), &[endpoint.addr]);
        let received = harness.send(&[]);
        assert_eq!(received.body == "half of", is_passed_on, "{name}");
    }
}

/// A path that ends answers soon after their start does not show that their prompt crashes endpoints, if peers
/// reach the runs that sent them.
#[test]
fn paths_that_are_cut_block_no_prompt() {
    // With a share of less than eight connections there are no idle ones.
    for max_connections in [14, 100] {
        let statuses = send_while_paths_are_cut(max_connections);
        assert_eq!(statuses, [200; 6], "{max_connections} connections");
    }
}

/// Endpoints may close idle connections after less than a second.
#[test]
fn an_endpoint_that_closes_idle_connections_within_a_second_vouches_for_its_streams() {
    for timeout_ms in [400, 600] {
        let endpoint = ScriptedEndpoint::start_run(vec![unframed_stream(1..=14, 100)]);
        endpoint.set_idle_timeout(Duration::from_millis(timeout_ms));
        let harness = harness(&endpoint);
        assert!(harness.send(&[]).is_complete, "{timeout_ms} ms");
    }
}

/// An idle connection that is not replaced, as all others are in use, is closed by its endpoint.
#[test]
fn an_idle_connection_that_could_not_be_replaced_says_nothing_of_an_end() {
    const SHARE: u32 = 8;
    const MAX_CONNECTIONS: u32 = 9;
    let endpoint = ScriptedEndpoint::start_run(vec![unframed_stream(1..=16, 100)]);
    endpoint.set_idle_timeout(Duration::from_millis(1_400));
    let harness = harness(&endpoint);
    limit_connections(&harness, MAX_CONNECTIONS);
    let executor = async_executor::LocalExecutor::new();
    let harness = &harness;
    let complete = block_on(executor.run(async {
        let mut streams = Vec::new();
        for number in 0..SHARE {
            if number + 1 == SHARE {
                Timer::after(Duration::from_millis(150)).await;
            }
            streams.push(executor.spawn(async move {
                let target = format!("/x/{number}");
                harness.send_to(&target, &[]).await
            }));
        }
        let mut complete = 0;
        for stream in streams {
            complete += u32::from(stream.await.is_complete);
        }
        complete
    }));
    assert_eq!(complete, SHARE);
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
        let endpoint = ScriptedEndpoint::start_run(vec![cut, other]);
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

/// A relay that leaves refuses connections and closes idle ones before it ends those in use.
#[test]
fn a_path_that_closes_idle_connections_well_before_it_cuts_a_stream_does_not_make_it_whole() {
    let mut script = unframed_stream(1..=3, 80);
    script.extend([Step::RefuseConnections, Step::CloseOtherConnections]);
    for id in 4..=13 {
        script.extend([unframed_events(id..=id), Step::Sleep(80)]);
    }
    script.push(Step::CloseAllConnections);
    let here = ScriptedEndpoint::start_run(vec![script]);
    let there = ScriptedEndpoint::start_run(vec![answer("unasked")]);
    let route = route(RetrySafety::NonIdempotentStream);
    let fleet = Fleet::with_runs(&route, &[vec![here.addr], vec![there.addr]]);
    fleet.exchange_reach();
    let received = block_on(fleet.executor.run(fleet.instances[0].send_to("/x/1", &[])));
    assert!(!received.is_complete);
}

/// A pause that an endpoint asks for does not explain that a path ends all connections.
#[test]
fn a_cut_leaves_the_stream_of_an_endpoint_in_doubt_that_asked_for_a_pause() {
    let mut cut = unframed_stream(1..=3, 80);
    cut.extend([
        Step::AwaitRequests(2),
        Step::Sleep(100),
        Step::CloseAllConnections,
    ]);
    let head =
        "HTTP/1.1 503 Full\r\nx-not-started: 1\r\nx-pause-ms: 2000\r\nContent-Length: 0\r\n\r\n";
    let endpoint = ScriptedEndpoint::start_run(vec![cut, vec![Step::Write(head.to_owned())]]);
    let harness = harness(&endpoint);
    let later = async {
        Timer::after(Duration::from_millis(150)).await;
        harness.send_to("/x/2", &[]).await
    };
    let (cut, _) = block_on(zip(harness.send_to("/x/1", &[]), later));
    assert!(!cut.is_complete);
}

/// A caller may read the end of a stream long after its path was cut, and other streams notice the cut at once.
#[test]
fn a_cut_that_another_stream_noticed_long_ago_leaves_a_slowly_read_stream_in_doubt() {
    let mut cut = unframed_stream(1..=3, 80);
    cut.push(Step::CloseAllConnections);
    let endpoint = ScriptedEndpoint::start_run(vec![cut, unframed_stream(1..=10, 80)]);
    let harness = harness(&endpoint);
    let (first_ids, is_complete) = block_on(async {
        let response = harness.pipeline.handle(request("/x/1", &[])).await;
        let Body::Stream(mut pieces) = response.body else {
            panic!("no stream");
        };
        let mut text = String::new();
        for _ in 0..3 {
            let bytes = pieces.next().await.unwrap().unwrap();
            text.push_str(&String::from_utf8_lossy(&bytes));
        }
        Timer::after(Duration::from_millis(150)).await;
        // The caller does not read meanwhile.
        let other = harness.send_to("/x/2", &[]).await;
        assert!(other.is_complete);
        let is_complete = matches!(pieces.next().await, Ok(None));
        (ids(&text), is_complete)
    });
    assert_eq!(first_ids, [1, 2, 3]);
    assert!(!is_complete);
}

/// A caller who stops reading while an idle connection is opened for its stream does not keep others from having one.
#[test]
fn a_stream_has_an_idle_connection_whose_neighbour_is_not_read() {
    let unread = vec![
        unframed_head(),
        Step::Sleep(100),
        unframed_events(1..=1),
        Step::Sleep(2_000),
    ];
    let mut cut = unframed_stream(1..=4, 80);
    cut.push(Step::CloseAllConnections);
    let endpoint = ScriptedEndpoint::start_run(vec![unread, cut]);
    let harness = harness(&endpoint);
    let cut = block_on(async {
        let response = harness.pipeline.handle(request("/x/1", &[])).await;
        let Body::Stream(mut pieces) = response.body else {
            panic!("no stream");
        };
        let mut next = pieces.next();
        assert!(poll_once(&mut next).await.is_none());
        // The event and the connection are there at once.
        std::thread::sleep(Duration::from_millis(200));
        assert!(next.await.unwrap().is_some());
        harness.send_to("/x/2", &[]).await
    });
    assert!(!cut.is_complete);
}

/// Bytes of a stream after the loss show that its run outlived the loss, and it has an idle connection again.
#[test]
fn a_stream_that_outlives_an_idle_connection_ends_as_complete() {
    let mut script = unframed_stream(1..=3, 80);
    script.push(Step::CloseOtherConnections);
    for id in 4..=15 {
        script.extend([unframed_events(id..=id), Step::Sleep(80)]);
    }
    let endpoint = ScriptedEndpoint::start(vec![script]);
    let harness = harness(&endpoint);
    assert!(harness.send(&[]).is_complete);
}

/// An endpoint that keeps connections is asked on the idle connection again, and not on a new one each time.
#[test]
fn ends_at_an_endpoint_that_keeps_connections_open_none_each() {
    const SHORT_STREAMS: usize = 6;
    // One is opened for the first question, and two as others are a second old.
    const MAX_IDLE: usize = 4;
    let mut scripts = vec![unframed_stream(1..=50, 50)];
    scripts.extend(vec![unframed_stream(1..=3, 50); SHORT_STREAMS]);
    let endpoint = ScriptedEndpoint::start_run(scripts);
    endpoint.set_keeps_alive();
    let harness = harness(&endpoint);
    let short = async {
        for number in 0..SHORT_STREAMS {
            Timer::after(Duration::from_millis(150)).await;
            let target = format!("/x/{}", number + 2);
            assert!(harness.send_to(&target, &[]).await.is_complete);
        }
        endpoint.accepted_count() - endpoint.request_count()
    };
    let (_, idle) = block_on(zip(harness.send_to("/x/1", &[]), short));
    assert!(idle <= MAX_IDLE, "{idle} idle connections");
}

/// Guards against taking the end of a path for the idle timeout of an endpoint.
#[test]
fn a_path_that_was_cut_does_not_shorten_the_life_of_idle_connections() {
    // One at once, and one after each second.
    const MAX_IDLE: usize = 3;
    let mut cut = unframed_stream(1..=3, 80);
    cut.push(Step::CloseAllConnections);
    let long = unframed_stream(1..=15, 100);
    let endpoint = ScriptedEndpoint::start_run(vec![cut, long]);
    let harness = harness(&endpoint);
    assert!(!harness.send(&[]).is_complete);
    let requests = endpoint.request_count();
    let before = endpoint.accepted_count() - endpoint.health_check_count();
    harness.send(&[]);
    let after = endpoint.accepted_count() - endpoint.health_check_count();
    let idle = after - before - (endpoint.request_count() - requests);
    assert!(idle <= MAX_IDLE, "{idle} idle connections");
}
