//! A client of the gates.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::wire::{self, Message, name};

/// What a client received.
#[derive(Debug, Default)]
pub struct Answer {
    pub message: Message,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
    /// Why not.
    pub error: Option<String>,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.message.status()
    }

    /// Returns the number of the last whole event.
    pub fn last_event(&self) -> Option<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.trim().parse().ok()).next_back()
    }
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    /// Further fields, each with its line end.
    pub fields: &'a str,
    pub body: &'a [u8],
}

impl Request<'_> {
    pub fn send(&self, mut stream: &TcpStream) -> io::Result<()> {
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: gate.example\r\n{}: {}\r\n{}: {}\r\n{}: n2ctnfzs989anu6wsjnb\r\n\
             {}Content-Length: {}\r\n\r\n",
            self.method,
            self.path,
            name("attempt"),
            self.id,
            name("deadline"),
            self.deadline_ms,
            name("key"),
            self.fields,
            self.body.len()
        );
        stream.write_all(&[head.as_bytes(), self.body].concat())
    }
}

pub fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(40)))?;
    Ok(stream)
}

/// Reads an answer. `pace` is how many bytes are read at a time and the pause after each read.
pub fn read(stream: &TcpStream, pace: (usize, Duration)) -> Answer {
    let mut answer = Answer::default();
    match wire::read_head(stream, Vec::new(), pace.0) {
        Ok(message) => answer.message = message,
        Err(err) => {
            answer.error = Some(err.to_string());
            return answer;
        }
    }
    let coding = answer.message.field("Transfer-Encoding");
    let is_chunked = coding.is_some_and(|coding| coding == "chunked");
    let mut raw = std::mem::take(&mut answer.message.rest);
    let length = answer.message.length();
    let mut buffer = vec![0; pace.0];
    loop {
        if is_chunked {
            if decode(&mut raw, &mut answer.body) {
                answer.is_complete = true;
                return answer;
            }
        } else if raw.len() >= length {
            answer.body = raw;
            answer.is_complete = true;
            return answer;
        }
        std::thread::sleep(pace.1);
        let mut reader = stream;
        match reader.read(&mut buffer) {
            Ok(0) => answer.error = Some("closed before the end".to_owned()),
            Err(err) => answer.error = Some(err.to_string()),
            Ok(count) => raw.extend_from_slice(&buffer[..count]),
        }
        if answer.error.is_some() {
            if !is_chunked {
                answer.body = raw;
            }
            return answer;
        }
    }
}

/// Decodes the whole chunks, and returns whether the last one was there.
fn decode(raw: &mut Vec<u8>, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(end) = raw.windows(2).position(|window| window == b"\r\n") else {
            return false;
        };
        let size = String::from_utf8_lossy(&raw[..end]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).expect("a chunk size");
        if raw.len() < end + 2 + size + 2 {
            return false;
        }
        if size == 0 {
            return true;
        }
        body.extend_from_slice(&raw[end + 2..end + 2 + size]);
        raw.drain(..end + 2 + size + 2);
    }
}

/// Sends a request on a new connection and reads its answer at once.
pub fn call(addr: SocketAddr, request: &Request<'_>) -> Answer {
    call_within(addr, request, Duration::from_secs(40))
}

/// As above, and leaves if nothing arrives for some time.
pub fn call_within(addr: SocketAddr, request: &Request<'_>, patience: Duration) -> Answer {
    let sent = connect(addr).and_then(|stream| {
        stream.set_read_timeout(Some(patience))?;
        request.send(&stream).map(|()| stream)
    });
    match sent {
        Ok(stream) => read(&stream, (8192, Duration::ZERO)),
        Err(err) => Answer {
            error: Some(err.to_string()),
            ..Answer::default()
        },
    }
}
