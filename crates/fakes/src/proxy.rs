//! Loopback proxy that injects network faults.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// Fault that a proxy injects into its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ProxyMode {
    /// None: forwards all data.
    Forward,
    /// Delays each chunk.
    Delay,
    /// Closes a connection when data arrives.
    Reset,
    /// Drops data that the upstream sends. A connection that lost data stays silent in that direction.
    DropResponses,
    /// Drops all data and keeps connections open. One that lost data stays silent in that direction.
    DropAll,
}

/// All modes, for a random choice.
pub const PROXY_MODES: [ProxyMode; 5] = [
    ProxyMode::Forward,
    ProxyMode::Delay,
    ProxyMode::Reset,
    ProxyMode::DropResponses,
    ProxyMode::DropAll,
];

/// Delay of each chunk in [`ProxyMode::Delay`].
const CHUNK_DELAY: Duration = Duration::from_millis(80);

/// Proxy in front of one address.
pub struct Proxy {
    /// Address on which it listens.
    pub addr: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a proxy on a free port in front of `upstream`.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub fn start(upstream: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let mode = Arc::new(AtomicU8::new(ProxyMode::Forward as u8));
        let shared = mode.clone();
        std::thread::spawn(move || {
            for client in listener.incoming() {
                let Ok(client) = client else {
                    return;
                };
                let Ok(upstream) = TcpStream::connect(upstream) else {
                    continue;
                };
                let Ok((client_reader, upstream_reader)) = client
                    .try_clone()
                    .and_then(|client| Ok((client, upstream.try_clone()?)))
                else {
                    continue;
                };
                let request_mode = shared.clone();
                let response_mode = shared.clone();
                std::thread::spawn(move || forward(client_reader, upstream, &request_mode, false));
                std::thread::spawn(move || forward(upstream_reader, client, &response_mode, true));
            }
        });
        Proxy { addr, mode }
    }

    /// Sets the mode of open and new connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, mode: &AtomicU8, is_response: bool) {
    let mut chunk = [0; 8 << 10];
    // TCP delivers nothing after bytes that were lost.
    let mut has_lost = false;
    loop {
        let count = match from.read(&mut chunk) {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        let current = mode.load(Ordering::SeqCst);
        if current == ProxyMode::Reset as u8 {
            break;
        }
        has_lost |= current == ProxyMode::DropAll as u8
            || (current == ProxyMode::DropResponses as u8 && is_response);
        if has_lost {
            continue;
        }
        if current == ProxyMode::Delay as u8 {
            std::thread::sleep(CHUNK_DELAY);
        }
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    if has_lost {
        // The end of the connection comes after the bytes that were lost, so that it is lost as well. The
        // other direction closes both.
        return;
    }
    // Either end may be closed already.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
