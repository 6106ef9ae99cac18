//! Where the body of a message ends.

use std::fmt;

use crate::head::ResponseHead;
use crate::headers::Headers;

/// Where a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    None,
    /// After this many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection.
    UntilClose,
}

/// Why a body's end cannot be told for sure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// Both a length and chunks are declared.
    LengthAndChunked,
    /// Lengths differ or are no numbers.
    BadLength,
    /// A coding other than chunks is declared.
    UnknownCoding,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FramingError::LengthAndChunked => "the head declares a length and chunks",
            FramingError::BadLength => "the declared length is not one number",
            FramingError::UnknownCoding => "the transfer coding is not chunked",
        })
    }
}

impl std::error::Error for FramingError {}

impl Framing {
    /// Returns the framing of a request.
    ///
    /// # Errors
    ///
    /// Fails when two readers could disagree on where the body ends.
    pub fn of_request(headers: &Headers) -> Result<Framing, FramingError> {
        Ok(declared(headers)?.unwrap_or(Framing::None))
    }

    /// Returns the framing of an answer to a method.
    ///
    /// # Errors
    ///
    /// Fails when two readers could disagree on where the body ends.
    pub fn of_response(method: &str, head: &ResponseHead) -> Result<Framing, FramingError> {
        let bodiless = matches!(head.status, 100..=199 | 204 | 304);
        if bodiless || method.eq_ignore_ascii_case("HEAD") {
            return Ok(Framing::None);
        }
        Ok(declared(&head.headers)?.unwrap_or(Framing::UntilClose))
    }
}

fn declared(headers: &Headers) -> Result<Option<Framing>, FramingError> {
    let chunked = match headers.get_all("transfer-encoding").count() {
        0 => false,
        1 if headers
            .get("transfer-encoding")
            .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) =>
        {
            true
        }
        _ => return Err(FramingError::UnknownCoding),
    };
    let length = length(headers)?;
    match (chunked, length) {
        (true, Some(_)) => Err(FramingError::LengthAndChunked),
        (true, None) => Ok(Some(Framing::Chunked)),
        (false, Some(0)) => Ok(Some(Framing::None)),
        (false, Some(bytes)) => Ok(Some(Framing::Length(bytes))),
        (false, None) => Ok(None),
    }
}

fn length(headers: &Headers) -> Result<Option<u64>, FramingError> {
    let mut found = None;
    for value in headers.get_all("content-length") {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).unwrap_or_default();
        let bytes: u64 = match text.parse() {
            Ok(bytes) if digits => bytes,
            _ => return Err(FramingError::BadLength),
        };
        if found.is_some_and(|before| before != bytes) {
            return Err(FramingError::BadLength);
        }
        found = Some(bytes);
    }
    Ok(found)
}
