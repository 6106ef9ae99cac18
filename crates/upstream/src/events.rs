//! Server-sent events of an engine's answer.

use std::io;

use futures_lite::{AsyncRead, AsyncReadExt};

/// The largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// How much is read at a time, in bytes.
const CHUNK_BYTES: usize = 2048;

/// The data of the event that ends an answer.
const DONE: &[u8] = b"data: [DONE]";

/// One event, with its closing blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes as they came.
    pub bytes: Vec<u8>,
}

impl Event {
    /// Returns whether this event ends the answer.
    pub fn is_done(&self) -> bool {
        self.bytes.starts_with(DONE)
    }

    /// Returns the JSON text that the event carries.
    pub fn data(&self) -> &[u8] {
        let line = self.bytes.strip_prefix(b"data:").unwrap_or_default();
        line.trim_ascii()
    }
}

/// Splits a stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    held: Vec<u8>,
}

impl EventReader {
    /// Returns the next event, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the stream breaks, ends inside an event, or an event is too large.
    pub async fn next(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<Option<Event>> {
        let mut scanned = 0;
        loop {
            if let Some(end) = find_blank_line(&self.held, scanned) {
                let rest = self.held.split_off(end);
                let bytes = std::mem::replace(&mut self.held, rest);
                return Ok(Some(Event { bytes }));
            }
            if self.held.len() > MAX_EVENT_BYTES {
                return Err(io::Error::other("an event is too large"));
            }
            scanned = self.held.len();
            let mut chunk = [0; CHUNK_BYTES];
            let count = stream.read(&mut chunk).await?;
            if count == 0 && self.held.is_empty() {
                return Ok(None);
            }
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.held.extend_from_slice(&chunk[..count]);
        }
    }
}

/// Returns the index after the first blank line, looking from where the last look ended.
fn find_blank_line(bytes: &[u8], scanned: usize) -> Option<usize> {
    let from = scanned.saturating_sub(1);
    let found = bytes[from..].windows(2).position(|pair| pair == b"\n\n");
    found.map(|index| from + index + 2)
}
