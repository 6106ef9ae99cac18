//! Reading a body piece by piece.

use std::io;

use bytes::Bytes;

use crate::framing::Framing;
use crate::socket::Socket;

/// The longest line of a chunk's size, or of a trailer, in bytes.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Whether a body has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyStatus {
    /// More may come.
    Incomplete,
    /// It came whole.
    Complete,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Length(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Reads one body from a connection.
#[derive(Debug)]
pub struct BodyReader {
    phase: Phase,
}

impl BodyReader {
    /// Starts at the first byte of a body.
    pub fn new(framing: Framing) -> BodyReader {
        let phase = match framing {
            Framing::None => Phase::Done,
            Framing::Length(bytes) => Phase::Length(bytes),
            Framing::Chunked => Phase::Size,
            Framing::UntilClose => Phase::UntilClose,
        };
        BodyReader { phase }
    }

    /// Returns whether the body came whole.
    pub fn status(&self) -> BodyStatus {
        if self.phase == Phase::Done {
            BodyStatus::Complete
        } else {
            BodyStatus::Incomplete
        }
    }

    /// Returns the next piece, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or ends before the body does, or a chunk is malformed.
    pub async fn next(&mut self, socket: &mut Socket) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(piece) = self.step(socket)? {
                return Ok(Some(piece));
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

    /// Reads the whole body, at most `max_bytes` of it.
    ///
    /// # Errors
    ///
    /// Fails like [`BodyReader::next`], and with [`io::ErrorKind::FileTooLarge`].
    pub async fn read_to_end(&mut self, socket: &mut Socket, max_bytes: u64) -> io::Result<Bytes> {
        let Some(first) = self.next(socket).await? else {
            return Ok(Bytes::new());
        };
        let mut whole = Vec::new();
        let mut piece = first;
        loop {
            if (whole.len() + piece.len()) as u64 > max_bytes {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
            let Some(next) = self.next(socket).await? else {
                if whole.is_empty() {
                    return Ok(piece);
                }
                whole.extend_from_slice(&piece);
                return Ok(whole.into());
            };
            whole.extend_from_slice(&piece);
            piece = next;
        }
    }

    /// Uses what was read ahead, until a piece is there or more must be read.
    fn step(&mut self, socket: &mut Socket) -> io::Result<Option<Bytes>> {
        loop {
            match self.phase {
                Phase::Done => return Ok(None),
                Phase::UntilClose => {
                    let count = socket.buffered().len();
                    return Ok(piece(socket, count));
                }
                Phase::Length(left) | Phase::Chunk(left) => {
                    let count = usize::try_from(left)
                        .unwrap_or(usize::MAX)
                        .min(socket.buffered().len());
                    if count == 0 {
                        return Ok(None);
                    }
                    self.advance(left - count as u64);
                    return Ok(piece(socket, count));
                }
                Phase::Size => {
                    if !self.chunk_size(socket)? {
                        return Ok(None);
                    }
                }
                Phase::ChunkEnd => match line(socket)? {
                    Some(0) => self.phase = Phase::Size,
                    Some(_) => return Err(malformed()),
                    None => return Ok(None),
                },
                Phase::Trailer => match line(socket)? {
                    Some(0) => self.phase = Phase::Done,
                    Some(_) => {}
                    None => return Ok(None),
                },
            }
        }
    }

    fn advance(&mut self, left: u64) {
        self.phase = match self.phase {
            Phase::Length(_) if left == 0 => Phase::Done,
            Phase::Length(_) => Phase::Length(left),
            _ if left == 0 => Phase::ChunkEnd,
            _ => Phase::Chunk(left),
        };
    }

    /// Reads a chunk's size, and returns whether it was there.
    fn chunk_size(&mut self, socket: &mut Socket) -> io::Result<bool> {
        match httparse::parse_chunk_size(socket.buffered()) {
            Ok(httparse::Status::Complete((used, size))) => {
                socket.consume(used);
                self.phase = if size == 0 {
                    Phase::Trailer
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

fn piece(socket: &mut Socket, count: usize) -> Option<Bytes> {
    (count > 0).then(|| socket.take(count).freeze())
}

/// Drops a whole line, and returns its length without the line end.
fn line(socket: &mut Socket) -> io::Result<Option<usize>> {
    let held = socket.buffered();
    let Some(end) = held.iter().position(|byte| *byte == b'\n') else {
        return if held.len() > MAX_LINE_BYTES {
            Err(malformed())
        } else {
            Ok(None)
        };
    };
    if end == 0 || held[end - 1] != b'\r' {
        return Err(malformed());
    }
    socket.consume(end + 1);
    Ok(Some(end - 1))
}

fn malformed() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "a chunk is malformed")
}
