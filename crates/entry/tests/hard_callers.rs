//! Callers that exceed the limits, against a real instance: it stays alive, its memory and descriptors stay under
//! a bound, and an ordinary request is answered afterwards. Neither times nor the share of served requests are checked.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use common::{Fleet, wait_until};
use fakes::{CrowdCaller, peak_with_crowd};
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

/// Each crowd takes much of the machine, so that only one test runs at a time.
static TURN: Mutex<()> = Mutex::new(());

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

fn check_crowd(name: &str, count: usize, caller: CrowdCaller) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = Fleet::start_with(Deployment::Shrestha, 1, 0, SETTINGS);
    let entry = &fleet.entries[0];
    let peak = peak_with_crowd(entry.id(), entry.http_addr, HOLD, &[(count, caller)]);
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
