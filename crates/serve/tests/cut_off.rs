//! An instance that reaches no endpoint has a peer that does carry its requests.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::{Fleet, ScriptedEndpoint, Step, answer, events, ids, route, stream_end, stream_head};
use route::RetrySafety;
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
    /// Keeps the queue of the listener full.
    _held: Option<(Socket, Vec<TcpStream>)>,
}

impl CutAddr {
    fn new(cut: Cut) -> CutAddr {
        if cut == Cut::Refuse {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let addr = listener.local_addr().unwrap();
            return CutAddr { addr, _held: None };
        }
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        socket.listen(0).unwrap();
        let addr = socket.local_addr().unwrap().as_socket().unwrap();
        let timeout = Duration::from_millis(50);
        let fill = |_| TcpStream::connect_timeout(&addr, timeout).ok();
        let streams = (0..4).filter_map(fill).collect();
        CutAddr {
            addr,
            _held: Some((socket, streams)),
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
