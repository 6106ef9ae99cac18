//! An instance that reaches no endpoint has a peer that does carry its requests.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::fleet::Fleet;
use common::{
    ScriptedEndpoint, Step, answer, error_response, events, ids, read_head, route, stream_end,
    stream_head,
};
use route::{RetrySafety, Route, Service, Table, Target};
use socket2::{Domain, SockRef, Socket, Type};

/// Time in which a request is answered once its instance knows that it is cut off.
const CARRIED_TIME: Duration = Duration::from_millis(100);

/// Requests of which the first ones may still be tried by the instance itself.
const WARM_UP_REQUESTS: usize = 2;

/// How an instance is cut off from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    /// Connections are never established.
    Hang,
    /// Connections are refused.
    Refuse,
}

/// An address that stands for an endpoint behind a cut.
struct CutAddr {
    addr: SocketAddr,
    /// Keeps the port, and the queue of its listener full if it has one.
    _held: (Socket, Vec<TcpStream>),
}

impl CutAddr {
    fn new(cut: Cut) -> CutAddr {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        let addr = socket.local_addr().unwrap().as_socket().unwrap();
        if cut == Cut::Refuse {
            // Bound but not listening, so that no other test gets the port.
            let _held = (socket, Vec::new());
            return CutAddr { addr, _held };
        }
        socket.listen(0).unwrap();
        let timeout = Duration::from_millis(50);
        let fill = |_| TcpStream::connect_timeout(&addr, timeout).ok();
        let streams = (0..4).filter_map(fill).collect();
        CutAddr {
            addr,
            _held: (socket, streams),
        }
    }
}

fn stream() -> Vec<Step> {
    vec![stream_head(90), events(1..=3), stream_end()]
}

/// Issue 34, RECOVER: 2 of 215 first tries were served at instances that were cut off.
#[test]
fn requests_of_an_instance_that_reaches_no_endpoint_are_carried_by_a_peer() {
    for cut in [Cut::Hang, Cut::Refuse] {
        for (retry_safety, script) in [
            (RetrySafety::Idempotent, answer("a")),
            (RetrySafety::NonIdempotent, answer("a")),
            (RetrySafety::ResumableStream, stream()),
        ] {
            let endpoints: Vec<ScriptedEndpoint> = (0..3)
                .map(|_| ScriptedEndpoint::start(vec![script.clone()]))
                .collect();
            let reached: Vec<SocketAddr> = endpoints.iter().map(|found| found.addr).collect();
            let cut_off: Vec<CutAddr> = reached.iter().map(|_| CutAddr::new(cut)).collect();
            let unreached: Vec<SocketAddr> = cut_off.iter().map(|found| found.addr).collect();
            let fleet = Fleet::new(&route(retry_safety), &[unreached, reached]);
            for number in 0..6 {
                let case = format!("{cut:?}, {retry_safety:?}, request {number}");
                let began = Instant::now();
                let received = fleet.send(0, "/x/1");
                assert_eq!(received.status, 200, "{case}");
                assert!(received.is_complete, "{case}");
                let is_known = number >= WARM_UP_REQUESTS;
                assert!(!is_known || began.elapsed() < CARRIED_TIME, "{case}");
            }
            let ran: usize = endpoints.iter().map(ScriptedEndpoint::request_count).sum();
            assert_eq!(ran, 6, "{cut:?}, {retry_safety:?}");
        }
    }
}

/// Starts an endpoint that sends two events, breaks the connection and is out of reach from then on.
fn start_endpoint_that_is_cut_off_midway() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        drop(listener);
        assert!(read_head(&mut stream).is_some(), "a request arrives");
        let head = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
        let events = "1e\r\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(events.as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(50));
        let socket = SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    });
    addr
}

/// Guards against losing streams that run when the cut begins: they go on after their last event.
#[test]
fn a_stream_that_breaks_at_a_cut_goes_on_by_way_of_a_peer() {
    let breaks = start_endpoint_that_is_cut_off_midway();
    let resumes = ScriptedEndpoint::start(vec![vec![stream_head(90), events(3..=4), stream_end()]]);
    let cut_off = CutAddr::new(Cut::Refuse);
    let fleet = Fleet::new(
        &route(RetrySafety::ResumableStream).max_attempts(3),
        &[vec![breaks, cut_off.addr], vec![resumes.addr]],
    );
    let received = fleet.send(0, "/x/1");
    assert_eq!(ids(&received.body), [1, 2, 3, 4]);
    assert!(received.is_complete);
    assert!(
        resumes.head(0).contains("x-after: 2"),
        "{}",
        resumes.head(0)
    );
}

/// Starts two instances, of which the first reaches no endpoint and the second these.
fn fleet_with_cut(route: &Route, reached: Vec<SocketAddr>) -> (Fleet, Vec<CutAddr>) {
    let cut_off: Vec<CutAddr> = reached.iter().map(|_| CutAddr::new(Cut::Refuse)).collect();
    let unreached = cut_off.iter().map(|found| found.addr).collect();
    (Fleet::new(route, &[unreached, reached]), cut_off)
}

#[test]
fn requests_are_refused_at_once_as_not_run_if_no_instance_reaches_an_endpoint() {
    let cut_off: Vec<CutAddr> = (0..4).map(|_| CutAddr::new(Cut::Hang)).collect();
    let addrs: Vec<SocketAddr> = cut_off.iter().map(|found| found.addr).collect();
    let route = route(RetrySafety::NonIdempotent);
    let fleet = Fleet::new(&route, &[addrs[..2].to_vec(), addrs[2..].to_vec()]);
    for instance in [0, 1] {
        fleet.send(instance, "/x/1");
    }
    for instance in [0, 1] {
        let began = Instant::now();
        let refused = fleet.send(instance, "/x/1");
        assert_eq!(refused.status, 503);
        assert_eq!(refused.verdict.as_deref(), Some("not-run"));
        assert!(began.elapsed() < CARRIED_TIME, "{:?}", began.elapsed());
    }
}

#[test]
fn the_end_of_a_cut_is_found_without_requests() {
    let endpoint = ScriptedEndpoint::start(vec![answer("a")]);
    // The endpoint listens at its address only after the cut.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let route = route(RetrySafety::Idempotent);
    let fleet = Fleet::new(&route, &[vec![addr], vec![endpoint.addr]]);
    assert_eq!(fleet.send(0, "/x/1").status, 200);
    let loads = fleet.instances[0].pipeline.shared_loads();
    assert_eq!(loads.out_of_reach().len(), 1);
    let back = TcpListener::bind(addr).unwrap();
    fleet.run_for(Duration::from_millis(700));
    assert!(loads.out_of_reach().is_empty());
    assert_eq!(endpoint.request_count(), 1);
    let sent_nothing = |stream: TcpStream| {
        stream.set_nonblocking(true).unwrap();
        let mut bytes = Vec::new();
        drop((&stream).read_to_end(&mut bytes));
        bytes.is_empty()
    };
    let (probe, _) = back.accept().unwrap();
    assert!(sent_nothing(probe));
}

/// Starts a peer that takes a request and breaks its connection, and returns its address.
fn start_breaking_peer(requests: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let requests = requests.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut byte = [0];
            assert_eq!(stream.read(&mut byte).unwrap(), 1);
            requests.fetch_add(1, Ordering::SeqCst);
        }
    });
    addr
}

#[test]
fn a_request_that_was_handed_over_is_sent_again_only_if_it_may_run_twice() {
    for (retry_safety, status, served) in [
        (RetrySafety::NonIdempotent, 502, 0),
        (RetrySafety::Idempotent, 200, 1),
    ] {
        let endpoint = ScriptedEndpoint::start(vec![answer("a")]);
        let route = route(retry_safety).max_attempts(3);
        let cut_off = CutAddr::new(Cut::Refuse);
        let addrs = [vec![cut_off.addr], vec![endpoint.addr], vec![endpoint.addr]];
        let mut fleet = Fleet::new(&route, &addrs);
        let taken: Arc<AtomicUsize> = Arc::default();
        let breaking = start_breaking_peer(&taken).to_string();
        fleet.members[1] = fleet.members[1].clone().with_carry_addr(&breaking);
        // The other peer is in another zone and is asked later.
        fleet.members[2].zone = "there".into();
        fleet.publish_members();
        let received = fleet.send(0, "/x/1");
        assert_eq!(received.status, status, "{retry_safety:?}");
        assert_eq!(taken.load(Ordering::SeqCst), 1, "{retry_safety:?}");
        assert_eq!(endpoint.request_count(), served, "{retry_safety:?}");
    }
}

#[test]
fn a_carried_request_runs_on_no_more_endpoints_than_its_route_allows() {
    for max_attempts in [1, 2, 3] {
        let failing: Vec<ScriptedEndpoint> = (0..4)
            .map(|_| ScriptedEndpoint::start(vec![error_response()]))
            .collect();
        let reached = failing.iter().map(|found| found.addr).collect();
        let route = route(RetrySafety::Idempotent).max_attempts(max_attempts);
        let (fleet, _cut_off) = fleet_with_cut(&route, reached);
        let received = fleet.send(0, "/x/1");
        assert_eq!(received.status, 500, "{max_attempts} attempts");
        let ran: usize = failing.iter().map(ScriptedEndpoint::request_count).sum();
        assert!(ran <= max_attempts as usize, "{ran} of {max_attempts}");
    }
}

/// Sets the version of an instance's configuration and the services to which its route leads.
fn set_targets(fleet: &Fleet, instance: usize, version: u64, route: Route, targets: &[Target]) {
    let view = &fleet.instances[instance].view;
    let mut changed = (**view.load()).clone();
    let mut route = route;
    let mut table = Table::new(version);
    for target in targets {
        table = table.with_service(Service {
            name: target.service.clone(),
            health_path: "/".into(),
            max_connections: 1_000,
            engine: None,
            cold: None,
        });
        route = route.with_target(target.clone());
    }
    changed.table = Some(Arc::new(table.with_route(route)));
    changed.generation += 1;
    view.store(changed.into());
}

/// Guards against a stream that goes on at another service, where a route leads to several.
#[test]
fn a_carried_request_goes_to_the_service_that_its_home_chose() {
    let endpoint = ScriptedEndpoint::start(vec![answer("a")]);
    let route = route(RetrySafety::Idempotent);
    let (fleet, _cut_off) = fleet_with_cut(&route, vec![endpoint.addr]);
    let split = [Target::new("app", 1), Target::new("other", 1_000)];
    set_targets(&fleet, 1, 1, route, &split);
    for number in 0..5 {
        assert_eq!(fleet.send(0, "/x/1").status, 200, "request {number}");
    }
    assert_eq!(endpoint.request_count(), 5);
}

#[test]
fn a_peer_with_an_older_configuration_carries_nothing() {
    let endpoint = ScriptedEndpoint::start(vec![answer("a")]);
    let route = route(RetrySafety::Idempotent);
    let (fleet, _cut_off) = fleet_with_cut(&route, vec![endpoint.addr]);
    set_targets(&fleet, 0, 2, route, &[Target::new("app", 1)]);
    let refused = fleet.send(0, "/x/1");
    assert_eq!(refused.status, 503);
    assert_eq!(refused.verdict.as_deref(), Some("not-run"));
    assert_eq!(endpoint.request_count(), 0);
}

/// Guards against callers that pretend to be peers: their order is replaced.
#[test]
fn an_order_of_a_caller_is_not_followed() {
    let endpoint = ScriptedEndpoint::start(vec![answer("a")]);
    let route = route(RetrySafety::Idempotent);
    let (fleet, _cut_off) = fleet_with_cut(&route, vec![endpoint.addr]);
    let forged = r#"{"home":"x","remaining_ms":0,"attempts":0,"config":9}"#;
    fleet.exchange_reach();
    let fields = [("Rosemary-Carry", forged)];
    let sending = fleet.instances[0].send_to("/x/1", &fields);
    let received = async_io::block_on(fleet.executor.run(sending));
    assert_eq!(received.status, 200);
}

/// Starts an endpoint that takes one request, breaks its connection and is out of reach from then on.
fn start_endpoint_that_is_cut_off_at_once() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        drop(listener);
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).unwrap(), 1);
    });
    addr
}

/// Guards against a refusal by a peer that says "not run" of a request that an endpoint may have run.
#[test]
fn a_peer_that_refuses_does_not_take_back_that_a_request_may_have_run() {
    let breaks = start_endpoint_that_is_cut_off_at_once();
    let cut_off = CutAddr::new(Cut::Refuse);
    let route = route(RetrySafety::Idempotent).max_attempts(3);
    let fleet = Fleet::new(&route, &[vec![breaks], vec![cut_off.addr]]);
    let received = fleet.send(0, "/x/1");
    assert_eq!(received.status, 502);
    assert_eq!(received.verdict.as_deref(), Some("may-have-run"));
}

/// Endpoints of a service of which an instance that is cut off finds only some out of reach.
const LARGE_SERVICE: usize = 64;

/// Requests after which an instance doubts that it reaches any endpoint: eight fail in a row.
const DOUBT_REQUESTS: usize = 6;

/// Starts instances that are cut off from a large service, and last one that reaches it.
fn fleet_cut_off_from_large_service(
    cut_off_instances: usize,
    endpoint: SocketAddr,
) -> (Fleet, Vec<CutAddr>) {
    let cut_off: Vec<CutAddr> = (0..LARGE_SERVICE)
        .map(|_| CutAddr::new(Cut::Refuse))
        .collect();
    let unreached: Vec<SocketAddr> = cut_off.iter().map(|found| found.addr).collect();
    let mut addrs = vec![unreached; cut_off_instances];
    addrs.push(vec![endpoint; LARGE_SERVICE]);
    let fleet = Fleet::new(&route(RetrySafety::Idempotent), &addrs);
    (fleet, cut_off)
}

fn is_cut_off(fleet: &Fleet, instance: usize) -> bool {
    let loads = fleet.instances[instance].pipeline.shared_loads();
    !loads.cut_off().is_empty()
}

/// Issue 52, RECOVER: carriers that were cut off themselves held a request for 600 ms.
#[test]
fn an_instance_cut_off_from_a_large_service_turns_carried_requests_down_untried() {
    let endpoint = ScriptedEndpoint::start(vec![answer("a")]);
    let (mut fleet, _cut_off) = fleet_cut_off_from_large_service(2, endpoint.addr);
    // The peer that is cut off as well is asked first.
    fleet.members[2].zone = "there".into();
    fleet.publish_members();
    for instance in [0, 1] {
        for _ in 0..DOUBT_REQUESTS {
            fleet.send(instance, "/x/1");
        }
    }
    // Refusals of before are forgotten by then.
    fleet.run_for(Duration::from_millis(1_100));
    assert!(is_cut_off(&fleet, 0) && is_cut_off(&fleet, 1));
    assert!(!is_cut_off(&fleet, 2));
    let tried = |instance: usize| {
        let counters = fleet.instances[instance].pipeline.counters();
        counters.connections_for_requests.load(Ordering::SeqCst)
    };
    let before = tried(0) + tried(1);
    for number in 0..20 {
        assert_eq!(fleet.send(0, "/x/1").status, 200, "request {number}");
    }
    assert_eq!(tried(0) + tried(1), before, "an endpoint was tried in vain");
}

/// Issue 52, RECOVER: half of the peers that were asked were cut off themselves.
#[test]
fn peers_that_report_to_be_cut_off_are_not_asked() {
    let endpoint = ScriptedEndpoint::start(vec![answer("a")]);
    let (fleet, _cut_off) = fleet_cut_off_from_large_service(6, endpoint.addr);
    for instance in 0..6 {
        for _ in 0..DOUBT_REQUESTS {
            fleet.send(instance, "/x/1");
        }
    }
    // Refusals of before are forgotten by then.
    fleet.run_for(Duration::from_millis(1_100));
    fleet.exchange_cuts();
    let carried = |instance: usize| {
        let counters = fleet.instances[instance].pipeline.counters();
        counters.carried.load(Ordering::SeqCst)
    };
    let before: u64 = (0..6).map(carried).sum();
    for number in 0..20 {
        assert_eq!(fleet.send(0, "/x/1").status, 200, "request {number}");
    }
    let after: u64 = (0..6).map(carried).sum();
    assert_eq!(after, before);
}
