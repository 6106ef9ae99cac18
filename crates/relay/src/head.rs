//! Heads of requests and responses.

use std::fmt;
use std::ops::RangeInclusive;

use crate::headers::Headers;

/// Maximum number of header fields in one head.
const MAX_HEADER_FIELDS: usize = 96;

/// Status codes that HTTP defines. Clients differ in what they make of any other, although it has three digits.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Why a head cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes are not an HTTP/1 head.
    Malformed,
    /// The head has more header fields than the parser accepts.
    TooManyFields,
    /// The status code of a response is not one of HTTP.
    InvalidStatus(u16),
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HeadError::Malformed => f.write_str("malformed HTTP/1 head"),
            HeadError::TooManyFields => f.write_str("too many header fields"),
            HeadError::InvalidStatus(status) => {
                let (first, last) = (STATUSES.start(), STATUSES.end());
                write!(f, "status {status:03} is not between {first} and {last}")
            }
        }
    }
}

impl std::error::Error for HeadError {}

impl From<httparse::Error> for HeadError {
    fn from(err: httparse::Error) -> HeadError {
        match err {
            httparse::Error::TooManyHeaders => HeadError::TooManyFields,
            _ => HeadError::Malformed,
        }
    }
}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, in the case in which it was sent.
    pub method: String,
    /// The request target as sent: path and query.
    pub target: String,
    /// The minor version: 0 for HTTP/1.0, 1 for HTTP/1.1.
    pub minor_version: u8,
    /// The header fields, in the order received.
    pub headers: Headers,
}

impl RequestHead {
    /// Parses a head at the start of `bytes` and returns it with its length, or `None` if the
    /// head is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a head or it has too many fields.
    pub fn parse(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let httparse::Status::Complete(length) = parsed.parse(bytes)? else {
            return Ok(None);
        };
        let head = RequestHead {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            minor_version: parsed.version.unwrap_or_default(),
            headers: copy_fields(parsed.headers),
        };
        Ok(Some((head, length)))
    }

    /// Returns the target's path, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the first value of a query parameter, without percent-decoding.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=')
                && key == name
            {
                return Some(value);
            }
        }
        None
    }

    /// Encodes the head, always as HTTP/1.1.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(self.method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        self.headers.write(&mut out);
        out.extend_from_slice(b"\r\n");
        out
    }
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The minor version: 0 for HTTP/1.0, 1 for HTTP/1.1.
    pub minor_version: u8,
    /// The header fields, in the order received.
    pub headers: Headers,
}

impl ResponseHead {
    /// Parses a head at the start of `bytes` and returns it with its length, or `None` if the
    /// head is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a head, it has too many fields, or its status is not one of HTTP.
    pub fn parse(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let httparse::Status::Complete(length) = parsed.parse(bytes)? else {
            return Ok(None);
        };
        let status = parsed.code.unwrap_or_default();
        if !STATUSES.contains(&status) {
            return Err(HeadError::InvalidStatus(status));
        }
        let head = ResponseHead {
            status,
            minor_version: parsed.version.unwrap_or_default(),
            headers: copy_fields(parsed.headers),
        };
        Ok(Some((head, length)))
    }
}

fn copy_fields(fields: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for field in fields {
        headers.push(field.name, field.value);
    }
    headers
}
