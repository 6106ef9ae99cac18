//! A scripted peer on a TCP socket.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time to wait for bytes before a read fails.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts one connection and passes it to `script`.
pub fn scripted_peer<T: Send + 'static>(
    script: impl FnOnce(TcpStream) -> T + Send + 'static,
) -> (SocketAddr, JoinHandle<T>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        script(stream)
    });
    (addr, thread)
}

/// Reads until `text` is received, the connection closes or a read times out.
pub fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut read = Vec::new();
    let mut chunk = [0; 1024];
    loop {
        let received = String::from_utf8_lossy(&read).into_owned();
        if received.contains(text) {
            return received;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return received,
            Ok(count) => read.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Writes the whole text.
pub fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}
