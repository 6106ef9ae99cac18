//! Incremental decoding of a message body.

use std::io;

use bytes::Bytes;

use crate::framing::Framing;
use crate::socket::Socket;

/// Maximum length of a chunk-size line or a trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Maximum length of a trailer, in bytes.
const MAX_TRAILER_BYTES: usize = 64 << 10;

/// Whether a body was read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyStatus {
    /// The end of the body has not been reached.
    Incomplete,
    /// The whole body was received.
    Complete,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    // Bytes left.
    Length(u64),
    ChunkSize,
    // Bytes left of the chunk.
    Chunk(u64),
    ChunkEnd,
    // Bytes of the trailer so far.
    Trailer(usize),
    UntilClose,
    Done,
}

/// Decodes one body from a connection.
#[derive(Debug)]
pub struct BodyReader {
    phase: Phase,
    framing: Framing,
    is_empty: bool,
}

impl BodyReader {
    /// Creates a reader positioned at the first byte of a body.
    pub fn new(framing: Framing) -> BodyReader {
        let phase = match framing {
            Framing::None => Phase::Done,
            Framing::Length(bytes) => Phase::Length(bytes),
            Framing::Chunked => Phase::ChunkSize,
            Framing::UntilClose => Phase::UntilClose,
        };
        BodyReader {
            phase,
            framing,
            is_empty: true,
        }
    }

    /// Returns how the end of the body is determined.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether only the end of the connection ends the body, so that one that was cut short looks
    /// complete.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Returns whether no byte of the body was decoded yet.
    pub fn is_empty(&self) -> bool {
        self.is_empty
    }

    /// Returns whether the body was received completely.
    pub fn status(&self) -> BodyStatus {
        if self.phase == Phase::Done {
            BodyStatus::Complete
        } else {
            BodyStatus::Incomplete
        }
    }

    /// Returns the next decoded bytes, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or closes before the end of the body, or the chunked coding is
    /// malformed.
    pub async fn next(&mut self, socket: &mut Socket) -> io::Result<Option<Bytes>> {
        let count = self.next_count(socket).await?;
        Ok(count.map(|count| socket.take(count).freeze()))
    }

    /// Returns how many of the buffered bytes are the next ones of the body, which the caller has to take, or `None`
    /// at the end of the body.
    pub(crate) async fn next_count(&mut self, socket: &mut Socket) -> io::Result<Option<usize>> {
        // One read can bring thousands of chunks.
        turn::yield_if_over().await;
        loop {
            if let Some(count) = self.decode_buffered(socket)? {
                self.is_empty = false;
                return Ok(Some(count));
            }
            if self.phase == Phase::Done {
                return Ok(None);
            }
            if socket.is_eof() || !socket.fill().await? {
                if self.phase == Phase::UntilClose {
                    self.phase = Phase::Done;
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the rest of the body, up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails like [`BodyReader::next`], and with [`io::ErrorKind::FileTooLarge`] if the body is
    /// larger.
    pub async fn read_to_end(&mut self, socket: &mut Socket, max_bytes: u64) -> io::Result<Bytes> {
        let Some(first) = self.next(socket).await? else {
            return Ok(Bytes::new());
        };
        let mut body = Vec::new();
        let mut bytes = first;
        loop {
            if (body.len() + bytes.len()) as u64 > max_bytes {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
            let Some(next) = self.next(socket).await? else {
                if body.is_empty() {
                    return Ok(bytes);
                }
                body.extend_from_slice(&bytes);
                return Ok(body.into());
            };
            body.extend_from_slice(&bytes);
            bytes = next;
        }
    }

    /// Decodes buffered input up to the next bytes of the body and returns how many there are, or `None` at the
    /// end of the body or if more input is needed.
    fn decode_buffered(&mut self, socket: &mut Socket) -> io::Result<Option<usize>> {
        loop {
            match self.phase {
                Phase::Done => return Ok(None),
                Phase::UntilClose => {
                    let count = socket.buffered().len();
                    return Ok((count > 0).then_some(count));
                }
                Phase::Length(remaining) | Phase::Chunk(remaining) => {
                    let count = usize::try_from(remaining)
                        .unwrap_or(usize::MAX)
                        .min(socket.buffered().len());
                    if count == 0 {
                        return Ok(None);
                    }
                    self.advance(remaining - count as u64);
                    return Ok(Some(count));
                }
                Phase::ChunkSize => {
                    if !self.read_chunk_size(socket)? {
                        return Ok(None);
                    }
                }
                Phase::ChunkEnd => match skip_line(socket)? {
                    Some(0) => self.phase = Phase::ChunkSize,
                    Some(_) => return Err(malformed()),
                    None => return Ok(None),
                },
                Phase::Trailer(bytes) => match skip_line(socket)? {
                    Some(0) => self.phase = Phase::Done,
                    Some(length) if bytes + length > MAX_TRAILER_BYTES => return Err(malformed()),
                    Some(length) => self.phase = Phase::Trailer(bytes + length),
                    None => return Ok(None),
                },
            }
        }
    }

    fn advance(&mut self, remaining: u64) {
        self.phase = match self.phase {
            Phase::Length(_) if remaining == 0 => Phase::Done,
            Phase::Length(_) => Phase::Length(remaining),
            _ if remaining == 0 => Phase::ChunkEnd,
            _ => Phase::Chunk(remaining),
        };
    }

    /// Parses a chunk size. Returns false if more input is needed.
    fn read_chunk_size(&mut self, socket: &mut Socket) -> io::Result<bool> {
        // The parser takes a line without digits for a size of 0.
        let first = socket.buffered().first();
        if first.is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(malformed());
        }
        match httparse::parse_chunk_size(socket.buffered()) {
            Ok(httparse::Status::Complete((length, size))) => {
                socket.consume(length);
                self.phase = if size == 0 {
                    Phase::Trailer(0)
                } else {
                    Phase::Chunk(size)
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if socket.buffered().len() <= MAX_LINE_BYTES => Ok(false),
            _ => Err(malformed()),
        }
    }
}

/// Consumes a line and returns its length without CRLF, or `None` if it is incomplete.
fn skip_line(socket: &mut Socket) -> io::Result<Option<usize>> {
    let buffered = socket.buffered();
    let Some(end) = buffered.iter().position(|byte| *byte == b'\n') else {
        return if buffered.len() > MAX_LINE_BYTES {
            Err(malformed())
        } else {
            Ok(None)
        };
    };
    if end == 0 || buffered[end - 1] != b'\r' {
        return Err(malformed());
    }
    socket.consume(end + 1);
    Ok(Some(end - 1))
}

fn malformed() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "malformed chunked encoding")
}
