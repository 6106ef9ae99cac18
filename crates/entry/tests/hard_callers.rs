//! Callers that exceed the limits, against a real instance: it stays alive, its memory and descriptors stay under
//! a bound, and an ordinary request is answered afterwards. Neither times nor the share of served requests are checked.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use common::{Fleet, wait_until};
use trial::Deployment;

/// Limits that a small crowd exceeds.
const SETTINGS: &str = "max_connections = 100\nmax_body_bytes = 1048576\nmax_held_bytes = 8388608\nwatch_wait_ms = 500\n";

const MAX_BODY_BYTES: usize = 1 << 20;

/// The most memory of the process.
const MAX_RESIDENT_KB: u64 = 32 << 10;

/// The most descriptors: 100 connections, as many to endpoints and 50 for files and listeners.
const MAX_FDS: u64 = 250;

/// How long a crowd keeps its connections open.
const HOLD: Duration = Duration::from_secs(3);

/// How often memory and descriptors are read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Each crowd takes much of the machine, so that only one test runs at a time.
static TURN: Mutex<()> = Mutex::new(());

type Caller = fn(&mut TcpStream) -> std::io::Result<()>;

fn post(stream: &mut TcpStream, framing: &str) -> std::io::Result<()> {
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: crowd\r\nAuthorization: Bearer key-bir-hospital\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())
}

fn open_body(stream: &mut TcpStream) -> std::io::Result<()> {
    post(stream, "Transfer-Encoding: chunked")?;
    let chunk_bytes = 64 << 10;
    let chunk = [b"10000\r\n", &vec![b'x'; chunk_bytes][..], b"\r\n"].concat();
    for _ in 1..MAX_BODY_BYTES / chunk_bytes {
        stream.write_all(&chunk)?;
    }
    Ok(())
}

fn pipelined(stream: &mut TcpStream) -> std::io::Result<()> {
    let body = vec![b'x'; 20_000];
    for _ in 0..50 {
        post(stream, &format!("Content-Length: {}", body.len()))?;
        stream.write_all(&body)?;
    }
    Ok(())
}

fn idle(_stream: &mut TcpStream) -> std::io::Result<()> {
    Ok(())
}

/// Runs callers until the end of the crowd, however they are treated.
fn run_crowd(addr: SocketAddr, count: usize, caller: Caller) {
    let ends_at = Instant::now() + HOLD;
    thread::scope(|scope| {
        for _ in 0..count {
            scope.spawn(move || {
                let Ok(mut stream) = TcpStream::connect(addr) else {
                    return;
                };
                stream.set_write_timeout(Some(HOLD)).unwrap();
                // The instance may close or refuse the connection.
                let _ = caller(&mut stream);
                thread::sleep(ends_at.saturating_duration_since(Instant::now()));
            });
        }
    });
}

/// The most memory in KB and the most descriptors that a process has used.
#[derive(Debug, Default)]
struct Peak {
    resident_kb: u64,
    fds: u64,
}

impl Peak {
    fn sample(&mut self, process: u32) {
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
        self.resident_kb = self.resident_kb.max(resident.unwrap_or_default());
        let fds = std::fs::read_dir(format!("/proc/{process}/fd"));
        self.fds = self.fds.max(fds.map_or(0, |fds| fds.count() as u64));
    }
}

fn check_crowd(name: &str, count: usize, caller: Caller) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = Fleet::start_with(Deployment::Shrestha, 1, 0, SETTINGS);
    let entry = &fleet.entries[0];
    let is_over = AtomicBool::new(false);
    let peak = thread::scope(|scope| {
        let sampler = scope.spawn(|| {
            let mut peak = Peak::default();
            while !is_over.load(Ordering::SeqCst) {
                peak.sample(entry.id());
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        run_crowd(entry.http_addr, count, caller);
        is_over.store(true, Ordering::SeqCst);
        sampler.join().unwrap()
    });
    println!("{name}: {peak:?}");
    // A process that ended answers nothing.
    wait_until("an ordinary request is answered after the crowd", || {
        entry.status()["serving"] == true
    });
    assert!(
        peak.resident_kb <= MAX_RESIDENT_KB,
        "{name}: {peak:?}, {MAX_RESIDENT_KB} KB allowed"
    );
    assert!(
        peak.fds <= MAX_FDS,
        "{name}: {peak:?}, {MAX_FDS} descriptors allowed"
    );
}

/// Guards against bodies that together hold more memory than the machine has.
#[test]
fn bodies_that_do_not_end_do_not_exhaust_the_memory() {
    check_crowd("bodies that do not end", 80, open_body);
}

/// Guards against requests and responses of callers that do not read.
#[test]
fn pipelined_requests_do_not_exhaust_the_memory() {
    check_crowd("pipelined requests", 80, pipelined);
}

/// Guards against idle connections that use up the descriptors.
#[test]
fn idle_connections_do_not_exhaust_the_descriptors() {
    check_crowd("idle connections", 400, idle);
}
