//! Heads of requests and answers.

use std::fmt;

use crate::headers::Headers;

/// The most header fields of one head.
const MAX_FIELDS: usize = 96;

/// Why a head cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// It is not HTTP/1.
    Malformed,
    /// It has too many fields.
    TooManyFields,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HeadError::Malformed => "the head is not HTTP/1",
            HeadError::TooManyFields => "the head has too many fields",
        })
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
    /// The method.
    pub method: String,
    /// The target as it was sent: path and query.
    pub target: String,
    /// The minor version of HTTP/1.
    pub minor_version: u8,
    /// The header fields.
    pub headers: Headers,
}

impl RequestHead {
    /// Reads a head from the start of some bytes, with its length, or `None` when it is not whole.
    ///
    /// # Errors
    ///
    /// Fails when the bytes do not begin a head.
    pub fn parse(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let httparse::Status::Complete(length) = parsed.parse(bytes)? else {
            return Ok(None);
        };
        let head = RequestHead {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            minor_version: parsed.version.unwrap_or_default(),
            headers: copy(parsed.headers),
        };
        Ok(Some((head, length)))
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of a query parameter as it was sent.
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

    /// Writes the head.
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

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The minor version of HTTP/1.
    pub minor_version: u8,
    /// The header fields.
    pub headers: Headers,
}

impl ResponseHead {
    /// Reads a head from the start of some bytes, with its length, or `None` when it is not whole.
    ///
    /// # Errors
    ///
    /// Fails when the bytes do not begin a head.
    pub fn parse(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let httparse::Status::Complete(length) = parsed.parse(bytes)? else {
            return Ok(None);
        };
        let head = ResponseHead {
            status: parsed.code.unwrap_or_default(),
            minor_version: parsed.version.unwrap_or_default(),
            headers: copy(parsed.headers),
        };
        Ok(Some((head, length)))
    }
}

fn copy(fields: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for field in fields {
        headers.push(field.name, field.value);
    }
    headers
}
