//! Splitting of a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// One event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes as received.
    pub bytes: Bytes,
    /// Number in the `id` field, if there is one.
    pub id: Option<u64>,
}

impl Event {
    /// Returns whether this is a comment, which only keeps the connection alive.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| matches!(line, [] | b"\r" | [b':', ..]))
    }
}

/// Splits bytes into complete events and buffers the incomplete rest.
///
/// # Examples
///
/// ```
/// use serve::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 4\ndata: x\n\nid: 5");
/// assert_eq!(splitter.next().unwrap().id, Some(4));
/// assert!(splitter.next().is_none());
/// assert!(!splitter.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that were searched already.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of bytes received of an event that is not complete yet.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards the buffered bytes.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Returns the next complete event.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Event> {
        let Some(end) = self.event_end() else {
            self.scanned = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the index after the first blank line, starting where the last search ended.
    fn event_end(&self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let bytes = &self.buffer[from..];
        for (index, byte) in bytes.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let rest = &bytes[index + 1..];
            if rest.starts_with(b"\n") {
                return Some(from + index + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(from + index + 3);
            }
        }
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    for line in bytes.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        let text = std::str::from_utf8(value).ok()?;
        return text.trim().parse().ok();
    }
    None
}
