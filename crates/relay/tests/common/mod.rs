//! A far end that follows a script, over a real socket.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long a test waits for bytes.
const PATIENCE: Duration = Duration::from_secs(5);

/// Accepts one connection and hands it to a script.
pub fn far_end<T: Send + 'static>(
    script: impl FnOnce(TcpStream) -> T + Send + 'static,
) -> (SocketAddr, JoinHandle<T>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        script(stream)
    });
    (addr, thread)
}

/// Reads until a text has come.
pub fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut read = Vec::new();
    let mut chunk = [0; 1024];
    loop {
        let so_far = String::from_utf8_lossy(&read).into_owned();
        if so_far.contains(text) {
            return so_far;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return so_far,
            Ok(count) => read.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Writes bytes.
pub fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}
