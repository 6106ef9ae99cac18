//! Load generator: sends fixed requests over blocking connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// The kind of request, and what is timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// A chat completion in one response, timed to its end.
    Plain,
    /// A streamed chat completion, timed to its first event.
    Stream,
}

/// The measured throughput and latency of a load.
#[derive(Debug, Clone, Copy)]
pub struct Summary {
    pub per_s: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// Encodes a request; `tokens` is its `max_tokens`.
pub fn request(shape: Shape, tokens: usize) -> Vec<u8> {
    let body = format!(
        "{{\"model\":\"bench\",\"stream\":{},\"max_tokens\":{tokens},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Summarise the visits of today.\"}}]}}",
        shape == Shape::Stream
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer key-bench\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    (head + &body).into_bytes()
}

/// Sends requests over `connections` connections for `length`.
pub fn run(addr: SocketAddr, shape: Shape, connections: usize, length: Duration) -> Summary {
    let mut threads = Vec::new();
    let start = Instant::now();
    for _ in 0..connections {
        threads.push(std::thread::spawn(move || {
            run_connection(addr, shape, start + length)
        }));
    }
    let mut all = Histogram::<u64>::new(3).unwrap();
    for thread in threads {
        all.add(thread.join().unwrap()).unwrap();
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    Summary {
        per_s: all.len() as f64 / elapsed_s,
        p50_ms: all.value_at_quantile(0.5) as f64 / 1e6,
        p99_ms: all.value_at_quantile(0.99) as f64 / 1e6,
    }
}

fn run_connection(addr: SocketAddr, shape: Shape, end: Instant) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).unwrap();
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let request = request(shape, 3);
    let mut held = Vec::new();
    while Instant::now() < end {
        let start = Instant::now();
        stream.write_all(&request).unwrap();
        let first = read_response(&mut stream, &mut held);
        let timed_end = if shape == Shape::Stream {
            first
        } else {
            Instant::now()
        };
        histogram
            .record((timed_end - start).as_nanos() as u64)
            .unwrap();
    }
    histogram
}

/// Reads one response and returns the time of its first body byte.
fn read_response(stream: &mut TcpStream, held: &mut Vec<u8>) -> Instant {
    held.clear();
    let mut chunk = [0; 8192];
    let mut first = None;
    loop {
        let count = stream.read(&mut chunk).unwrap();
        assert!(count > 0, "closed after {}", String::from_utf8_lossy(held));
        held.extend_from_slice(&chunk[..count]);
        let Some(head) = find(held, b"\r\n\r\n") else {
            continue;
        };
        if held.len() > head && first.is_none() {
            assert!(
                held.starts_with(b"HTTP/1.1 200"),
                "{}",
                String::from_utf8_lossy(held)
            );
            first = Some(Instant::now());
        }
        let complete = match content_length(&held[..head]) {
            Some(length) => held.len() >= head + length,
            None => held.ends_with(b"\r\n0\r\n\r\n"),
        };
        if complete {
            return first.unwrap_or_else(Instant::now);
        }
    }
}

/// Returns the index after the first occurrence of `pattern`.
pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    let found = bytes
        .windows(pattern.len())
        .position(|window| window == pattern);
    found.map(|index| index + pattern.len())
}

/// Returns the `content-length` that a message head declares.
pub fn content_length(head: &[u8]) -> Option<usize> {
    let text = String::from_utf8_lossy(head).to_ascii_lowercase();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length:").map(str::to_owned))?;
    line.trim().parse().ok()
}
