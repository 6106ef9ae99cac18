//! The token.

use std::fmt;
use std::sync::Arc;

use catalog::{KeyRing, SigningKey};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// The leading tag of a token.
const TAG: &str = "rs1";

/// The longest token that is looked at, in bytes.
const MAX_TOKEN_BYTES: usize = 2048;

/// What a session token says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// The workspace that opened the session.
    #[serde(rename = "w")]
    pub workspace: Arc<str>,
    /// The model.
    #[serde(rename = "m")]
    pub model: Arc<str>,
    /// The version that serves the session for its whole life.
    #[serde(rename = "v")]
    pub version: Arc<str>,
    /// When the session ends, in milliseconds since the Unix epoch.
    #[serde(rename = "e")]
    pub expires_ms: u64,
}

/// Why a token is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionError {
    /// The text is not a token.
    Malformed,
    /// The signing key is not in the ring.
    UnknownKey,
    /// The signature does not match.
    BadSignature,
    /// The session is over.
    Expired,
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SessionError::Malformed => "the session token is malformed",
            SessionError::UnknownKey => "the session token's key is not in use any more",
            SessionError::BadSignature => "the session token's signature does not match",
            SessionError::Expired => "the session is over",
        })
    }
}

impl std::error::Error for SessionError {}

impl Session {
    /// Signs the session with the ring's first key, or returns `None` for an empty ring.
    pub fn sign(&self, ring: &KeyRing) -> Option<String> {
        let key = ring.keys.first()?;
        let payload = hex::encode(serde_json::to_vec(self).ok()?);
        let signed = format!("{TAG}.{}.{payload}", key.id);
        let mac = mac(key, &signed)?.finalize().into_bytes();
        Some(format!("{signed}.{}", hex::encode(mac)))
    }

    /// Checks a token.
    ///
    /// # Errors
    ///
    /// Fails when the token is malformed, not signed by a key of the ring, or expired.
    pub fn verify(token: &str, ring: &KeyRing, now_ms: u64) -> Result<Session, SessionError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(SessionError::Malformed);
        }
        let (signed, signature) = token.rsplit_once('.').ok_or(SessionError::Malformed)?;
        let mut parts = signed.split('.');
        if parts.next() != Some(TAG) {
            return Err(SessionError::Malformed);
        }
        let key_id = parts.next().ok_or(SessionError::Malformed)?;
        let payload = parts.next().ok_or(SessionError::Malformed)?;
        let key = ring
            .keys
            .iter()
            .find(|key| &*key.id == key_id)
            .ok_or(SessionError::UnknownKey)?;
        let signature = hex::decode(signature).map_err(|_| SessionError::Malformed)?;
        let mac = mac(key, signed).ok_or(SessionError::UnknownKey)?;
        mac.verify_slice(&signature)
            .map_err(|_| SessionError::BadSignature)?;
        let payload = hex::decode(payload).map_err(|_| SessionError::Malformed)?;
        let session: Session =
            serde_json::from_slice(&payload).map_err(|_| SessionError::Malformed)?;
        if session.expires_ms <= now_ms {
            return Err(SessionError::Expired);
        }
        Ok(session)
    }
}

fn mac(key: &SigningKey, signed: &str) -> Option<Hmac<Sha256>> {
    let secret = hex::decode(&*key.secret_hex).ok()?;
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret).ok()?;
    mac.update(signed.as_bytes());
    Some(mac)
}
