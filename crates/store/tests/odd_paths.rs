//! Paths of objects that hold characters with a meaning of their own in URLs.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use percent_encoding::percent_decode_str;
use serde_json::json;
use store::{HttpPlatformClient, ObjectApi, Precondition, RateLimits, WeightStore};

const TIMEOUT_MS: u64 = 2_000;

const NAMES: [&str; 9] = [
    "b x", "b?x", "b#x", "b%41", "b%2Fx", "b&x=1", "b+x", "b\\x", "b\r\nx",
];

/// Answers each call with 404, and tells its target.
fn serve() -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, targets) = channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = [0; 4_096];
            let count = stream.read(&mut request).unwrap();
            let request = String::from_utf8_lossy(&request[..count]).into_owned();
            let answer = "HTTP/1.1 404 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            stream.write_all(answer.as_bytes()).unwrap();
            let target = request.split(' ').nth(1).unwrap_or_default();
            sender.send(target.to_owned()).unwrap();
        }
    });
    (addr, targets)
}

/// Returns the path and the query that a target names.
fn decode(target: &str) -> (String, String) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let path = percent_decode_str(path).decode_utf8().unwrap();
    (path.into_owned(), query.to_owned())
}

#[test]
fn calls_reach_the_object_of_any_name() {
    let (addr, targets) = serve();
    let limits = RateLimits {
        reads_per_s: 1_000.0,
        writes_per_s: 1_000.0,
    };
    let client = HttpPlatformClient::new(addr, TIMEOUT_MS, limits);
    let mut faults = Vec::new();
    for name in NAMES {
        let path = format!("config/{name}");
        smol::block_on(async {
            // All are answered with 404.
            let _ = client.get(&path).await;
            let _ = client.put(&path, &json!(1), Precondition::Any).await;
            let _ = client.delete(&path, Precondition::Any).await;
            let _ = client.weights(name).await;
        });
        let object = format!("/objects/{path}");
        let expected = [
            (object.clone(), ""),
            (object.clone(), "expect=any"),
            (object, "expect=any"),
            (format!("/weights/{name}"), ""),
        ];
        for (path, query) in expected {
            let target = targets.recv().unwrap();
            if decode(&target) != (path.clone(), query.to_owned()) {
                faults.push(format!("{path:?} {query:?}: {target}"));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
