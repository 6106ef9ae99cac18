//! Incarnation numbers and request identifiers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum length of the nonce that a caller appends.
const MAX_NONCE_BYTES: usize = 64;

/// First part of every issued identifier, which tells it from a caller's own key.
const TAG: &str = "rl1";

/// A random number that a process draws at start and that tells its runs apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Incarnation(u64);

impl Incarnation {
    /// Draws a random incarnation, which is never zero.
    pub fn random() -> Incarnation {
        Incarnation(fastrand::u64(1..))
    }

    /// Creates an incarnation from its number.
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

/// Why a string is not a valid incarnation or request identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdError {
    /// The incarnation is not a hexadecimal number.
    Incarnation,
    /// The issue time is not a hexadecimal number.
    IssuedMs,
    /// The nonce is empty, longer than 64 bytes, or contains characters other than ASCII letters,
    /// digits, `_` and `-`.
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

/// A request identifier, which names the only incarnation that may dispatch the request.
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
    /// Incarnation that issued the prefix and alone dispatches the request.
    pub home: Incarnation,
    /// Time at which the prefix was issued, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
    nonce: String,
}

impl RequestId {
    /// Creates an identifier from the fields of its prefix and the caller's nonce.
    ///
    /// # Errors
    ///
    /// Fails with [`IdError::Nonce`] when the nonce is empty or too long or has other characters.
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

    /// Parses an identifier, or returns `None` for a key that the caller chose itself.
    ///
    /// # Errors
    ///
    /// Fails when the text starts with the tag of issued identifiers but is not a valid one.
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
