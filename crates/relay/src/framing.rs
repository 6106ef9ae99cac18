//! Message framing: how the end of a body is determined.

use std::fmt;

use crate::head::ResponseHead;
use crate::headers::Headers;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// Why the framing of a body is ambiguous or unsupported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// Both `Content-Length` and `Transfer-Encoding: chunked` are present.
    LengthAndChunked,
    /// A `Content-Length` is not a decimal number, or several differ.
    InvalidLength,
    /// `Transfer-Encoding` is repeated or not `chunked`.
    UnknownCoding,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FramingError::LengthAndChunked => {
                "both Content-Length and chunked Transfer-Encoding are present"
            }
            FramingError::InvalidLength => "Content-Length is not a single decimal number",
            FramingError::UnknownCoding => "Transfer-Encoding is not chunked",
        })
    }
}

impl std::error::Error for FramingError {}

impl Framing {
    /// Returns the name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::None => "none",
            Framing::Length(_) => "length",
            Framing::Chunked => "chunked",
            Framing::UntilClose => "until-close",
        }
    }

    /// Returns the framing of a request.
    ///
    /// # Errors
    ///
    /// Fails if two parsers could disagree on where the body ends (request smuggling), or the
    /// transfer coding is not supported.
    pub fn of_request(headers: &Headers) -> Result<Framing, FramingError> {
        Ok(declared_framing(headers)?.unwrap_or(Framing::None))
    }

    /// Returns the framing of the response to a request with this method.
    ///
    /// # Errors
    ///
    /// Fails if two parsers could disagree on where the body ends (request smuggling), or the
    /// transfer coding is not supported.
    pub fn of_response(method: &str, head: &ResponseHead) -> Result<Framing, FramingError> {
        let no_body = matches!(head.status, 100..=199 | 204 | 304);
        if no_body || method.eq_ignore_ascii_case("HEAD") {
            return Ok(Framing::None);
        }
        Ok(declared_framing(&head.headers)?.unwrap_or(Framing::UntilClose))
    }
}

fn declared_framing(headers: &Headers) -> Result<Option<Framing>, FramingError> {
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
    let length = content_length(headers)?;
    match (chunked, length) {
        (true, Some(_)) => Err(FramingError::LengthAndChunked),
        (true, None) => Ok(Some(Framing::Chunked)),
        (false, Some(0)) => Ok(Some(Framing::None)),
        (false, Some(bytes)) => Ok(Some(Framing::Length(bytes))),
        (false, None) => Ok(None),
    }
}

fn content_length(headers: &Headers) -> Result<Option<u64>, FramingError> {
    let mut found = None;
    for value in headers.get_all("content-length") {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).unwrap_or_default();
        let bytes: u64 = match text.parse() {
            Ok(bytes) if digits => bytes,
            _ => return Err(FramingError::InvalidLength),
        };
        if found.is_some_and(|earlier| earlier != bytes) {
            return Err(FramingError::InvalidLength);
        }
        found = Some(bytes);
    }
    Ok(found)
}
