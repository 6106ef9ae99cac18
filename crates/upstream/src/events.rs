//! Server-sent events of an engine's streamed response.

use std::io;

use futures_lite::{AsyncRead, AsyncReadExt};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Size of one read, in bytes.
const READ_CHUNK_BYTES: usize = 2048;

/// The event that ends a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// The names of the fields of an event.
const FIELD_NAMES: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// One event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes as received.
    pub bytes: Vec<u8>,
}

impl Event {
    /// Returns whether this event ends the stream.
    pub fn is_done(&self) -> bool {
        self.bytes.starts_with(DONE_EVENT)
    }

    /// Returns the contents of the `data` field, or nothing if the event does not begin with one.
    pub fn data(&self) -> &[u8] {
        let line = self.bytes.strip_prefix(b"data:").unwrap_or_default();
        line.trim_ascii()
    }
}

/// Splits a stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Returns the next event, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream fails, ends within an event, or an event is too large or has a line that
    /// is neither a field nor a comment, such as an error text.
    pub async fn next(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<Option<Event>> {
        let mut scanned = 0;
        loop {
            if let Some(end) = find_blank_line(&self.buffer, scanned) {
                let rest = self.buffer.split_off(end);
                let bytes = std::mem::replace(&mut self.buffer, rest);
                if !bytes.split(|byte| *byte == b'\n').all(is_event_line) {
                    let message = "a line of the stream is not a field of an event";
                    return Err(io::Error::new(io::ErrorKind::InvalidData, message));
                }
                return Ok(Some(Event { bytes }));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(io::Error::other(format!(
                    "event exceeds {MAX_EVENT_BYTES} bytes"
                )));
            }
            scanned = self.buffer.len();
            let mut chunk = [0; READ_CHUNK_BYTES];
            let count = stream.read(&mut chunk).await?;
            if count == 0 && self.buffer.is_empty() {
                return Ok(None);
            }
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buffer.extend_from_slice(&chunk[..count]);
        }
    }
}

/// Returns whether a line is empty, a comment, or a field of an event.
fn is_event_line(line: &[u8]) -> bool {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let name_end = line.iter().position(|byte| *byte == b':');
    let name = &line[..name_end.unwrap_or(line.len())];
    name.is_empty() || FIELD_NAMES.contains(&name)
}

/// Returns the index after the first blank line. The first `scanned` bytes were searched before.
fn find_blank_line(bytes: &[u8], scanned: usize) -> Option<usize> {
    let from = scanned.saturating_sub(1);
    let found = bytes[from..].windows(2).position(|pair| pair == b"\n\n");
    found.map(|index| from + index + 2)
}
