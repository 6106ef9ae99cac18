//! The little HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

pub struct Head {
    pub first_line: String,
    fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let text = self.first_line.split(' ').nth(1).unwrap_or_default();
        text.parse().unwrap_or_default()
    }

    pub fn length(&self) -> Option<usize> {
        self.field("content-length")?.trim().parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        let coding = self.field("transfer-encoding").unwrap_or_default();
        coding.eq_ignore_ascii_case("chunked")
    }

    pub fn closes(&self) -> bool {
        let value = self.field("connection").unwrap_or_default();
        value.eq_ignore_ascii_case("close")
    }
}

/// A connection with the bytes that were read ahead.
pub struct Channel {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Channel {
        // Small messages are not to wait for one another.
        let _ = stream.set_nodelay(true);
        Channel {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes until a deadline. Fails with `UnexpectedEof` if the other side has closed.
    pub fn fill(&mut self, deadline: Instant) -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut part = vec![0; 64 << 10];
        match self.stream.read(&mut part) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => {
                self.ahead.extend_from_slice(&part[..count]);
                Ok(())
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                Err(io::ErrorKind::TimedOut.into())
            }
            Err(err) => Err(err),
        }
    }

    pub fn read_head(&mut self, deadline: Instant) -> io::Result<Head> {
        loop {
            let end = self.ahead.windows(4).position(|part| part == b"\r\n\r\n");
            let Some(end) = end else {
                self.fill(deadline)?;
                continue;
            };
            let bytes: Vec<u8> = self.ahead.drain(..end + 4).collect();
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let mut lines = text.lines();
            let first_line = lines.next().unwrap_or_default().to_owned();
            let mut fields = Vec::new();
            for line in lines {
                if let Some((name, value)) = line.split_once(':') {
                    fields.push((name.trim().to_owned(), value.trim().to_owned()));
                }
            }
            return Ok(Head { first_line, fields });
        }
    }

    pub fn read_exactly(&mut self, count: usize, deadline: Instant) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.fill(deadline)?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    fn read_line(&mut self, deadline: Instant) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim().to_owned());
            }
            self.fill(deadline)?;
        }
    }

    /// Reads the next chunk, which is empty at the end of the body.
    pub fn read_chunk(&mut self, deadline: Instant) -> io::Result<Vec<u8>> {
        let line = self.read_line(deadline)?;
        let size = usize::from_str_radix(&line, 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let bytes = self.read_exactly(size, deadline)?;
        self.read_exactly(2, deadline)?;
        Ok(bytes)
    }

    /// Reads the body of a message with a length or in chunks.
    pub fn read_body(&mut self, head: &Head, deadline: Instant) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_exactly(head.length().unwrap_or(0), deadline);
        }
        let mut body = Vec::new();
        loop {
            let chunk = self.read_chunk(deadline)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend_from_slice(&chunk);
        }
    }

    /// Waits, and returns false at once if the other side closes meanwhile.
    pub fn wait_open(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        let mut byte = [0];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let step = left.clamp(Duration::from_millis(1), Duration::from_millis(5));
            if self.stream.set_read_timeout(Some(step)).is_err() {
                return false;
            }
            match self.stream.peek(&mut byte) {
                Ok(0) => return false,
                Ok(_) => std::thread::sleep(step.min(left)),
                Err(err)
                    if matches!(
                        err.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return false,
            }
            if Instant::now() >= until {
                return true;
            }
        }
    }
}
