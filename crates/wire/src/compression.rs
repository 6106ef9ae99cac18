//! Compression of large values.

use std::io::{self, Read};

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};

use crate::link::MAX_FRAME_BYTES;

/// Compresses bytes with the fastest setting of deflate.
///
/// # Errors
///
/// Never fails for bytes in memory; the error is that of the library's reader.
pub fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut compressed = Vec::new();
    DeflateEncoder::new(bytes, Compression::fast()).read_to_end(&mut compressed)?;
    Ok(compressed)
}

/// Decompresses what [`compress`] returned.
///
/// # Errors
///
/// Fails if the bytes are malformed or hold more than [`MAX_FRAME_BYTES`].
pub fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let limit = MAX_FRAME_BYTES as u64;
    let mut bytes = Vec::new();
    DeflateDecoder::new(compressed)
        .take(limit + 1)
        .read_to_end(&mut bytes)?;
    if bytes.len() as u64 > limit {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    Ok(bytes)
}
