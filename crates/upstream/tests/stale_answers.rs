//! Bytes on a connection that are no answer to the request written to it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use catalog::{EndpointSpec, Pool, PoolKind, Snapshot};
use kernel::{Failure, SystemClock, Verdict};
use upstream::{DispatchSettings, Dispatcher, PoolMap, UpstreamRequest};

/// The maximum size of a request and of an answer, in bytes.
const MAX_BYTES: usize = 4 << 10;

/// The time in which bytes written to loopback arrive.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(30);

/// When an endpoint writes stale bytes to a kept connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    /// Right behind the answer to the first request.
    WithAnswer,
    /// After that answer was read, while the connection is idle.
    Idle,
    /// After the second request arrived, in place of its answer.
    Requested,
}

/// What an endpoint writes that answers no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stale {
    Refusal,
    Leaving,
    Success,
    Error,
}

/// The identifier that the bytes carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Id {
    None,
    Earlier,
    Own,
}

impl Stale {
    fn encode(self, id: Option<&str>) -> String {
        let (head, body) = match self {
            Stale::Refusal => ("503 Full\r\nx-request-not-started: 1", ""),
            Stale::Leaving => (
                "503 Leaving\r\nx-request-not-started: 1\r\nx-endpoint-leaving: 1",
                "",
            ),
            Stale::Success => ("200 OK", "stale"),
            Stale::Error => ("500 Failed", "stale"),
        };
        encode(head, id, body)
    }
}

fn encode(head: &str, id: Option<&str>, body: &str) -> String {
    let id = id.map_or(String::new(), |id| format!("x-request-id: {id}\r\n"));
    format!(
        "HTTP/1.1 {head}\r\n{id}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one request and returns its identifier.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; MAX_BYTES];
    while !bytes.ends_with(b"{}") {
        let count = stream.read(&mut chunk).ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
    let text = String::from_utf8(bytes).unwrap();
    let line = text.lines().find(|line| line.starts_with("x-request-id"))?;
    Some(line.split(": ").nth(1)?.to_owned())
}

/// Starts an endpoint that answers each request with its identifier. On its first connection it
/// also writes stale bytes.
fn serve(stale: Stale, id: Id, moment: Moment) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                if number == 0 {
                    write_stale(&mut stream, stale, id, moment);
                }
                while let Some(id) = read_request(&mut stream) {
                    let _ = stream.write_all(answer(&id).as_bytes());
                }
            });
        }
    });
    addr
}

fn answer(id: &str) -> String {
    encode("200 OK", Some(id), id)
}

/// Answers the first request, and writes stale bytes at the given moment.
fn write_stale(stream: &mut TcpStream, stale: Stale, id: Id, moment: Moment) -> Option<()> {
    let earlier = read_request(stream)?;
    let mut bytes = answer(&earlier);
    let repeated = stale.encode((id != Id::None).then_some(&earlier));
    if moment == Moment::WithAnswer {
        bytes.push_str(&repeated);
    }
    stream.write_all(bytes.as_bytes()).ok()?;
    match moment {
        Moment::WithAnswer => {}
        Moment::Idle => {
            std::thread::sleep(ARRIVAL_PAUSE);
            stream.write_all(repeated.as_bytes()).ok()?;
        }
        Moment::Requested => {
            let own = read_request(stream)?;
            let bytes = match id {
                Id::None | Id::Earlier => repeated,
                Id::Own => stale.encode(Some(&own)),
            };
            stream.write_all(bytes.as_bytes()).ok()?;
            std::thread::sleep(ARRIVAL_PAUSE);
            stream.write_all(answer(&own).as_bytes()).ok()?;
        }
    }
    Some(())
}

/// A dispatcher that tries one endpoint once.
struct Caller {
    dispatcher: Dispatcher,
    pools: PoolMap,
}

impl Caller {
    fn new(addr: SocketAddr) -> Caller {
        let name: Arc<str> = "large-pool".into();
        let endpoint = EndpointSpec {
            name: "large-1".into(),
            addr: addr.to_string().into(),
            zone: "z1".into(),
            slots: 4,
            draining: false,
        };
        let pool = Pool {
            name: name.clone(),
            kind: PoolKind::Engine,
            idempotent: true,
            checks_fencing: false,
            cost_per_call_micros: 0,
            endpoints: vec![endpoint],
        };
        let mut snapshot = Snapshot::default();
        snapshot.pools.insert(name, Arc::new(pool));
        let settings = DispatchSettings {
            zone: "z1".into(),
            connect_timeout_ms: 1_000,
            head_timeout_ms: 5_000,
            max_attempts: 1,
        };
        Caller {
            dispatcher: Dispatcher::new(settings, Arc::new(SystemClock::new())),
            pools: PoolMap::build(&snapshot, &PoolMap::default(), "entry-1", 0),
        }
    }

    fn call(&self, id: &str, idempotent: bool) -> Result<String, Failure> {
        let request = UpstreamRequest::builder("/v1/chat/completions", b"{}".to_vec(), id.into())
            .idempotent(idempotent)
            .build();
        let pool = self.pools.get("large-pool").unwrap();
        smol::block_on(async {
            let mut response = self.dispatcher.dispatch(pool, &request, 1).await?;
            let bytes = response.read_all(MAX_BYTES as u64).await?;
            Ok(String::from_utf8(bytes).unwrap())
        })
    }
}

/// Returns the identifier that ends the answer to `id`, or the verdict of the failure.
fn outcome(result: Result<String, Failure>) -> String {
    result.unwrap_or_else(|failure| failure.verdict.as_str().to_owned())
}

#[test]
fn stale_answer_on_a_kept_connection_answers_no_request() {
    const STALE: [Stale; 4] = [Stale::Refusal, Stale::Leaving, Stale::Success, Stale::Error];
    // The moment, the identifier, and the outcome of the second request.
    let cases = [
        (Moment::WithAnswer, Id::None, "b/0.0"),
        (Moment::WithAnswer, Id::Earlier, "b/0.0"),
        (Moment::Idle, Id::None, "b/0.0"),
        (Moment::Idle, Id::Earlier, "b/0.0"),
        (Moment::Requested, Id::None, "may-have-run"),
        (Moment::Requested, Id::Earlier, "may-have-run"),
    ];
    let mut wrong = Vec::new();
    for (moment, id, expected) in cases {
        for stale in STALE {
            let caller = Caller::new(serve(stale, id, moment));
            assert_eq!(outcome(caller.call("a", true)), "a/0.0");
            std::thread::sleep(2 * ARRIVAL_PAUSE);
            let second = outcome(caller.call("b", true));
            let third = outcome(caller.call("c", true));
            if (&*second, &*third) != (expected, "c/0.0") {
                wrong.push(format!("{stale:?} {moment:?} id {id:?}: {second}, {third}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn refusal_of_the_request_itself_says_not_run() {
    let caller = Caller::new(serve(Stale::Refusal, Id::Own, Moment::Requested));
    assert_eq!(outcome(caller.call("a", true)), "a/0.0");
    assert_eq!(outcome(caller.call("b", true)), Verdict::NotRun.as_str());
}

#[test]
fn refusal_on_a_new_connection_says_not_run_unless_it_names_another_request() {
    for (id, expected) in [
        (None, Verdict::NotRun),
        (Some("a/0.0"), Verdict::NotRun),
        (Some("z/0.0"), Verdict::MayHaveRun),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let caller = Caller::new(listener.local_addr().unwrap());
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            read_request(&mut stream);
            stream
                .write_all(Stale::Refusal.encode(id).as_bytes())
                .unwrap();
        });
        let result = outcome(caller.call("a", false));
        assert_eq!(result, expected.as_str(), "{id:?}");
    }
}
