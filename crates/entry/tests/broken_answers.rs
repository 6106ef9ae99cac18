//! Answers that break off, at the endpoint or with the instance that passes them on.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{Fleet, wait_until};
use http_types::Method;
use kernel::Verdict;
use rustix::process::Signal;
use serde_json::{Value, json};
use store::Precondition;
use trial::{Deployment, HttpClient, HttpResponse, TestCluster};

const PATH: &str = "/v1/chat/completions";

const KEY: (&str, &str) = ("authorization", "Bearer key-bir-hospital");

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";

const EVENTS: [&str; 3] = [
    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n",
    "data: {\"choices\":[]}\n\n",
    "data: [DONE]\n\n",
];

const COMPLETION: &str = "{\"choices\":[{\"message\":{\"content\":\"a\"}}]}";

/// The response of an endpoint to a second request.
const SECOND: &str = "HTTP/1.1 500 Failed\r\ncontent-length: 13\r\n\r\nsecond failed";

/// How a response tells where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    Unframed,
}

/// Bytes of a response, and whether they belong to the decoded body.
struct Part {
    bytes: String,
    is_body: bool,
}

/// Encodes a response with a body of these pieces, each of which is a chunk if there are chunks.
fn encode(framing: Framing, pieces: &[&str]) -> Vec<Part> {
    let part = |bytes: String, is_body| Part { bytes, is_body };
    let field = match framing {
        Framing::Length => format!("content-length: {}\r\n", pieces.concat().len()),
        Framing::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
        Framing::Unframed => String::new(),
    };
    let mut parts = vec![part(format!("{HEAD}{field}\r\n"), false)];
    for piece in pieces {
        if framing == Framing::Chunked {
            parts.push(part(format!("{:x}\r\n", piece.len()), false));
        }
        parts.push(part((*piece).to_owned(), true));
        if framing == Framing::Chunked {
            parts.push(part("\r\n".to_owned(), false));
        }
    }
    if framing == Framing::Chunked {
        parts.push(part("0\r\n\r\n".to_owned(), false));
    }
    parts
}

/// Returns the first `cut` bytes of a response, and how many events they hold.
fn cut_response(parts: &[Part], mut cut: usize) -> (String, usize) {
    let (mut sent, mut body) = (String::new(), String::new());
    for part in parts {
        let bytes = &part.bytes[..cut.min(part.bytes.len())];
        cut -= bytes.len();
        sent.push_str(bytes);
        if part.is_body {
            body.push_str(bytes);
        }
    }
    (sent, body.matches("\n\n").count())
}

/// An endpoint that writes given bytes in place of a response.
struct RawEndpoint {
    addr: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl RawEndpoint {
    /// Starts an endpoint that passes the number of each request and its connection to `handle`.
    fn start(handle: impl Fn(usize, TcpStream) + Send + 'static) -> RawEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let count = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                if read_request(&mut stream) {
                    handle(count.fetch_add(1, Ordering::SeqCst), stream);
                }
            }
        });
        RawEndpoint { addr, requests }
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Reads a request with a JSON object as its body.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    while !bytes.ends_with(b"}") {
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
            _ => return false,
        }
    }
    true
}

/// Starts an instance that has these endpoints only for the small model and for the gate service,
/// whose calls need no key here.
fn start_cluster(endpoints: &[SocketAddr]) -> TestCluster {
    let cluster = TestCluster::start(Deployment::Shrestha, 1, 0).unwrap();
    let objects = &cluster.backends.state.objects;
    let rows = endpoints.iter().enumerate().map(|(index, addr)| {
        json!({ "name": format!("raw-{index}"), "addr": addr.to_string(), "zone": "thamel", "slots": 4 })
    });
    let rows: Value = rows.collect();
    for pool in ["runners-small", "gate"] {
        let path = format!("config/spec/pool/{pool}");
        let mut value = objects.get(&path).unwrap().value.unwrap();
        value["endpoints"] = rows.clone();
        value["repeatable"] = true.into();
        objects.put(&path, value, Precondition::Any).unwrap();
    }
    // A fast machine sends these requests above the quota of the deployment, 400 per second.
    let path = "config/spec/workspace/bir-hospital";
    let mut workspace = objects.get(path).unwrap().value.unwrap();
    workspace["quota_per_s"] = json!(1e6);
    let revision = objects.put(path, workspace, Precondition::Any).unwrap();
    let addr = cluster.instances[0].http_addr();
    wait_until("the endpoints are in use", || {
        let get = HttpClient::default();
        let reply = smol::block_on(get.call(addr, Method::Get, "/v1/status", &[], Vec::new()));
        reply.unwrap().json()["revision"].as_u64() >= Some(revision)
    });
    cluster
}

fn chat_body(stream: bool, max_tokens: usize) -> Vec<u8> {
    let messages = [json!({ "role": "user", "content": "x" })];
    let body = json!({
        "model": "visitor-s1", "stream": stream, "max_tokens": max_tokens, "messages": messages,
    });
    body.to_string().into_bytes()
}

fn call(cluster: &TestCluster, path: &str, body: Vec<u8>) -> HttpResponse {
    let addr = cluster.instances[0].http_addr();
    let client = HttpClient::default();
    smol::block_on(client.call(addr, Method::Post, path, &[KEY], body)).unwrap()
}

fn call_stream(cluster: &TestCluster) -> HttpResponse {
    call(cluster, PATH, chat_body(true, 1))
}

/// Returns the events of a stream, with "error" in place of a report that it broke off.
fn events(reply: &HttpResponse) -> Vec<String> {
    let text = String::from_utf8(reply.body.clone()).unwrap();
    let event = |event: &str| {
        let data = event.strip_prefix("data: ").unwrap_or_default();
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        let is_error = value["error"]["verdict"] == "may-have-run";
        if is_error {
            return "error".to_owned();
        }
        event.to_owned()
    };
    text.split_inclusive("\n\n").map(event).collect()
}

#[test]
fn stream_cut_at_any_byte_never_ends_as_complete() {
    let response = Arc::new(Mutex::new(String::new()));
    let sent = response.clone();
    let endpoint = RawEndpoint::start(move |_, mut stream| {
        let _ = stream.write_all(sent.lock().unwrap().as_bytes());
    });
    let cluster = start_cluster(&[endpoint.addr]);
    let mut wrong = Vec::new();
    for framing in [Framing::Length, Framing::Chunked, Framing::Unframed] {
        let parts = encode(framing, &EVENTS);
        let length: usize = parts.iter().map(|part| part.bytes.len()).sum();
        for cut in 0..=length {
            let (bytes, count) = cut_response(&parts, cut);
            *response.lock().unwrap() = bytes;
            let mut expected = EVENTS[..count].to_vec();
            if count < EVENTS.len() {
                expected.push("error");
            }
            let reply = call_stream(&cluster);
            let as_expected = match count {
                0 => reply.status != 200 && reply.verdict == Some(Verdict::MayHaveRun),
                _ => events(&reply) == expected,
            };
            if !as_expected {
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                wrong.push(format!(
                    "{framing:?} {cut} of {length}: {} {text:?}",
                    reply.status
                ));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn buffered_answer_cut_at_any_byte_is_never_passed_on_as_whole() {
    let response = Arc::new(Mutex::new(String::new()));
    let sent = response.clone();
    let endpoint = RawEndpoint::start(move |_, mut stream| {
        let _ = stream.write_all(sent.lock().unwrap().as_bytes());
    });
    let cluster = start_cluster(&[endpoint.addr]);
    let service_body = json!({}).to_string().into_bytes();
    // The path, the caller's request, and the answer.
    let cases = [
        (PATH, chat_body(false, 1), COMPLETION),
        ("/v1/services/gate/clearance", service_body, "done"),
    ];
    let mut wrong = Vec::new();
    for (path, request, answer) in cases {
        for framing in [Framing::Length, Framing::Chunked, Framing::Unframed] {
            let (first, second) = answer.split_at(answer.len() / 2);
            let parts = encode(framing, &[first, second]);
            let length: usize = parts.iter().map(|part| part.bytes.len()).sum();
            for cut in 0..=length {
                *response.lock().unwrap() = cut_response(&parts, cut).0;
                let reply = call(&cluster, path, request.clone());
                let is_whole = cut == length && framing != Framing::Unframed;
                let as_expected = match is_whole {
                    true => reply.status == 200 && reply.body == answer.as_bytes(),
                    false => reply.status != 200 && reply.verdict == Some(Verdict::MayHaveRun),
                };
                if !as_expected {
                    let text = String::from_utf8_lossy(&reply.body).into_owned();
                    let status = reply.status;
                    wrong.push(format!(
                        "{path} {framing:?} {cut} of {length}: {status} {text:?}"
                    ));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn nothing_but_its_events_gets_into_a_stream_that_broke_off() {
    // What follows the first event, inside the declared length of the body.
    let endings = [
        "",
        "data: {\"cho",
        "second failed",
        "{\"error\":\"second failed\"}\n\n",
        "second failed\n\ndata: [DONE]\n\n",
        "HTTP/1.1 500 Failed\r\ncontent-length: 13\r\n\r\nsecond failed",
        "HTTP/1.1 500 Failed\r\ncontent-length: 13\r\n\r\nsecond failed\n\ndata: [DONE]\n\n",
        "HTTP/1.1 500 Failed\n\nsecond failed\n\n",
    ];
    for ending in endings {
        let first = EVENTS[0];
        let requests = Arc::new(AtomicUsize::new(0));
        let start = || {
            let requests = requests.clone();
            RawEndpoint::start(move |_, mut stream| {
                if requests.fetch_add(1, Ordering::SeqCst) > 0 {
                    let _ = stream.write_all(SECOND.as_bytes());
                    return;
                }
                let broken = format!("{HEAD}content-length: 500\r\n\r\n{first}{ending}");
                let _ = stream.write_all(broken.as_bytes());
            })
        };
        let endpoints = [start(), start()];
        let cluster = start_cluster(&endpoints.each_ref().map(|endpoint| endpoint.addr));
        let reply = call_stream(&cluster);
        assert_eq!(events(&reply), [first, "error"], "{ending:?}");
        let sum: usize = endpoints.iter().map(RawEndpoint::requests).sum();
        assert_eq!(sum, 1, "{ending:?}: sent again after its first event");
    }
}

#[test]
fn stream_ends_though_the_endpoint_keeps_its_response_open() {
    for framing in [Framing::Length, Framing::Chunked, Framing::Unframed] {
        let endpoint = RawEndpoint::start(move |_, mut stream| {
            let parts = encode(framing, &EVENTS);
            let end = if framing == Framing::Chunked { 1 } else { 0 };
            for part in &parts[..parts.len() - end] {
                let _ = stream.write_all(part.bytes.as_bytes());
            }
            let _ = stream.read(&mut [0; 1]);
        });
        let cluster = start_cluster(&[endpoint.addr]);
        let start = Instant::now();
        assert_eq!(events(&call_stream(&cluster)), EVENTS, "{framing:?}");
        let elapsed = start.elapsed();
        assert!(elapsed < Duration::from_secs(3), "{framing:?}: {elapsed:?}");
    }
}

/// Where a stream is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadAt {
    /// At the instance that runs it.
    Home,
    /// At the instance that runs it and stores it for its key.
    HomeWithKey,
    /// At another instance, which forwards it.
    Peer,
}

const READ_AT: [ReadAt; 3] = [ReadAt::Home, ReadAt::HomeWithKey, ReadAt::Peer];

/// The fleet and the raw response of a stream that is read at one of its instances.
struct OpenStream {
    fleet: Fleet,
    connection: TcpStream,
}

impl OpenStream {
    /// Starts instances and a slow stream that the first of them runs.
    fn start(read_at: ReadAt) -> OpenStream {
        let instances = if read_at == ReadAt::Peer { 2 } else { 1 };
        let fleet = Fleet::start(Deployment::Shrestha, instances, 50);
        let home = fleet.entries[0].http_addr;
        let client = HttpClient::default();
        let path = "/v1/addresses?zone=thamel";
        let reply = smol::block_on(client.call(home, Method::Get, path, &[], Vec::new()));
        let rows = reply.unwrap().json()["addresses"].take();
        let is_home = |row: &&Value| row["address"] == home.to_string();
        let row = rows.as_array().unwrap().iter().find(is_home).unwrap();
        let id_prefix = row["id_prefix"].as_str().unwrap();
        let key = match read_at {
            ReadAt::Home => String::new(),
            ReadAt::HomeWithKey | ReadAt::Peer => format!("idempotency-key: {id_prefix}1\r\n"),
        };
        let addr = fleet.entries[instances - 1].http_addr;
        let mut connection = TcpStream::connect(addr).unwrap();
        let timeout = Some(common::WAIT_TIMEOUT);
        connection.set_read_timeout(timeout).unwrap();
        let body = chat_body(true, 30);
        let (name, value) = KEY;
        let head = format!(
            "POST {PATH} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{name}: {value}\r\n{key}\
             content-length: {}\r\n\r\n",
            body.len()
        );
        let request = [head.as_bytes(), &body].concat();
        connection.write_all(&request).unwrap();
        OpenStream { fleet, connection }
    }

    /// Reads the response until the connection ends, and sends a signal to the first instance once
    /// the first event arrived.
    fn read_while_signalled(mut self, signal: Signal) -> String {
        let mut read = Vec::new();
        let mut chunk = [0; 4096];
        let mut signalled = false;
        while let Ok(count) = self.connection.read(&mut chunk) {
            if count == 0 {
                break;
            }
            read.extend_from_slice(&chunk[..count]);
            if !signalled && read.windows(6).any(|window| window == b"data: ") {
                self.fleet.entries[0].signal(signal);
                signalled = true;
            }
        }
        String::from_utf8(read).unwrap()
    }
}

#[test]
fn stream_of_a_killed_instance_does_not_look_complete() {
    for read_at in READ_AT {
        let read = OpenStream::start(read_at).read_while_signalled(Signal::KILL);
        assert!(read.contains("data: "), "{read_at:?}: {read}");
        assert!(!read.contains("[DONE]"), "{read_at:?}: {read}");
        assert!(!read.ends_with("0\r\n\r\n"), "{read_at:?}: {read}");
    }
}

#[test]
fn stream_of_a_stopping_instance_is_whole() {
    for read_at in READ_AT {
        let read = OpenStream::start(read_at).read_while_signalled(Signal::TERM);
        assert!(read.contains("data: [DONE]\n\n"), "{read_at:?}: {read}");
        assert!(read.contains("\r\n0\r\n\r\n"), "{read_at:?}: {read}");
    }
}
