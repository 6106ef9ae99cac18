//! Names on the wire, and reading of HTTP messages.

use std::collections::HashMap;
use std::io::{self, Read};
use std::net::TcpStream;
use std::sync::OnceLock;

/// Returns a name by its key in `wire.txt`.
pub fn name(key: &str) -> &'static str {
    static NAMES: OnceLock<HashMap<&str, &str>> = OnceLock::new();
    let names = NAMES.get_or_init(|| {
        let lines = include_str!("wire.txt").lines();
        lines.filter_map(|line| line.split_once('=')).collect()
    });
    names[key]
}

/// A message with its head as text.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub head: String,
    /// Bytes after the head that were read with it.
    pub rest: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn length(&self) -> usize {
        let length = self.field("Content-Length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn line(&self) -> (&str, &str) {
        let mut words = self.head.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        let word = self.head.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head, at most `chunk` bytes at a time.
pub fn read_head(mut stream: &TcpStream, rest: Vec<u8>, chunk: usize) -> io::Result<Message> {
    let mut bytes = rest;
    let mut buffer = vec![0; chunk];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            let head = String::from_utf8_lossy(&bytes).into_owned();
            return Ok(Message { head, rest });
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

/// Reads the rest of a body of announced length.
pub fn read_body(mut stream: &TcpStream, message: &mut Message) -> io::Result<Vec<u8>> {
    let length = message.length();
    let mut body = std::mem::take(&mut message.rest);
    if body.len() > length {
        message.rest = body.split_off(length);
    }
    let begun = body.len();
    body.resize(length, 0);
    stream.read_exact(&mut body[begun..])?;
    Ok(body)
}
