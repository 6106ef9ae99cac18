//! Incarnations and request identifiers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The longest nonce that a caller may append, in bytes.
const MAX_NONCE_BYTES: usize = 64;

/// The leading tag of an identifier that names its home.
const TAG: &str = "rl1";

/// A random number that one run of a process draws at start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Incarnation(u64);

impl Incarnation {
    /// Draws a new incarnation.
    pub fn random() -> Incarnation {
        Incarnation(fastrand::u64(1..))
    }

    /// Wraps a number.
    pub const fn from_u64(value: u64) -> Incarnation {
        Incarnation(value)
    }

    /// Returns the number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl From<Incarnation> for String {
    fn from(value: Incarnation) -> String {
        value.to_string()
    }
}

impl TryFrom<String> for Incarnation {
    type Error = IdError;

    fn try_from(text: String) -> Result<Incarnation, IdError> {
        u64::from_str_radix(&text, 16)
            .map(Incarnation)
            .map_err(|_| IdError::Incarnation)
    }
}

/// Why a text is not a request identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdError {
    /// The incarnation is not a hexadecimal number.
    Incarnation,
    /// The issue time is not a hexadecimal number.
    IssuedMs,
    /// The nonce is empty, too long or holds other than letters, digits, `_` and `-`.
    Nonce,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            IdError::Incarnation => "the incarnation is not a hexadecimal number",
            IdError::IssuedMs => "the issue time is not a hexadecimal number",
            IdError::Nonce => "the nonce must hold 1 to 64 letters, digits, '_' or '-'",
        };
        f.write_str(text)
    }
}

impl std::error::Error for IdError {}

/// An identifier that names the incarnation which alone may dispatch the request.
///
/// # Examples
///
/// ```
/// use kernel::{Incarnation, RequestId};
///
/// let id = RequestId::new(Incarnation::from_u64(7), 1_000, "a1").unwrap();
/// assert_eq!(RequestId::parse(&id.to_string()).unwrap(), Some(id));
/// assert_eq!(RequestId::parse("a caller's own key"), Ok(None));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// The home incarnation.
    pub home: Incarnation,
    /// When the prefix was issued, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
    nonce: String,
}

impl RequestId {
    /// Joins a prefix and a caller's nonce.
    ///
    /// # Errors
    ///
    /// Fails when the nonce is empty, too long or holds a forbidden character.
    pub fn new(home: Incarnation, issued_ms: u64, nonce: &str) -> Result<RequestId, IdError> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-';
        if nonce.is_empty() || nonce.len() > MAX_NONCE_BYTES || !nonce.bytes().all(allowed) {
            return Err(IdError::Nonce);
        }
        Ok(RequestId {
            home,
            issued_ms,
            nonce: nonce.to_owned(),
        })
    }

    /// Returns the prefix to which callers append a nonce.
    pub fn prefix(home: Incarnation, issued_ms: u64) -> String {
        format!("{TAG}-{home}-{issued_ms:x}-")
    }

    /// Reads an identifier, or returns `None` for a key of the caller's own making.
    ///
    /// # Errors
    ///
    /// Fails when the text has the tag of an issued prefix but not its shape.
    pub fn parse(text: &str) -> Result<Option<RequestId>, IdError> {
        let mut parts = text.splitn(4, '-');
        if parts.next() != Some(TAG) {
            return Ok(None);
        }
        let home = parts.next().unwrap_or_default();
        let home = u64::from_str_radix(home, 16).map_err(|_| IdError::Incarnation)?;
        let issued = parts.next().unwrap_or_default();
        let issued_ms = u64::from_str_radix(issued, 16).map_err(|_| IdError::IssuedMs)?;
        let nonce = parts.next().unwrap_or_default();
        RequestId::new(Incarnation(home), issued_ms, nonce).map(Some)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}{}",
            RequestId::prefix(self.home, self.issued_ms),
            self.nonce
        )
    }
}
