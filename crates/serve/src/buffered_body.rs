//! Reading of response bodies that are forwarded only once they are complete.

use std::cell::Cell;
use std::io;

use bytes::{Bytes, BytesMut};
use relay::Exchange;

/// Maximum size of one buffered body, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Maximum size of all buffered bodies of one thread, in bytes, so that endpoints that send bytes
/// without end do not use up the instance's memory.
const MAX_TOTAL_BYTES: u64 = 32 << 20;

/// The size of all bodies that are being buffered.
#[derive(Debug, Default)]
pub(crate) struct BufferedBytes {
    total: Cell<u64>,
}

/// The bytes of one body, which are released when it is dropped.
struct Reservation<'a> {
    buffered: &'a BufferedBytes,
    bytes: u64,
}

impl Reservation<'_> {
    fn grow(&mut self, bytes: u64) -> io::Result<()> {
        self.bytes += bytes;
        let total = self.buffered.total.get() + bytes;
        self.buffered.total.set(total);
        if self.bytes > MAX_BODY_BYTES || total > MAX_TOTAL_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        Ok(())
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        let total = &self.buffered.total;
        total.set(total.get().saturating_sub(self.bytes));
    }
}

impl BufferedBytes {
    /// Reads the rest of a response body.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated, malformed or too large, or if all buffered bodies together are.
    pub(crate) async fn read_to_end(&self, exchange: &mut Exchange) -> io::Result<Bytes> {
        let mut reservation = Reservation {
            buffered: self,
            bytes: 0,
        };
        let Some(first) = exchange.next().await? else {
            return Ok(Bytes::new());
        };
        reservation.grow(first.len() as u64)?;
        let mut body = BytesMut::new();
        while let Some(bytes) = exchange.next().await? {
            reservation.grow(bytes.len() as u64)?;
            if body.is_empty() {
                body.extend_from_slice(&first);
            }
            body.extend_from_slice(&bytes);
        }
        if body.is_empty() {
            return Ok(first);
        }
        Ok(body.freeze())
    }
}
