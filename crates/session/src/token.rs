//! Encoding and verification of session tokens.

use std::fmt;
use std::sync::Arc;

use catalog::{KeyRing, SigningKey};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Prefix that identifies the token format.
const TAG: &str = "rs1";

/// Longer tokens are rejected before parsing.
const MAX_TOKEN_BYTES: usize = 2048;

/// Claims of a session token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Workspace that opened the session; callers of [`Session::verify`] check it.
    #[serde(rename = "w")]
    pub workspace: Arc<str>,
    /// Model that the session uses.
    #[serde(rename = "m")]
    pub model: Arc<str>,
    /// Version of the model that serves every request of the session.
    #[serde(rename = "v")]
    pub version: Arc<str>,
    /// Expiry time, in milliseconds since the Unix epoch.
    #[serde(rename = "e")]
    pub expires_ms: u64,
}

/// Why a token is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionError {
    /// The text does not have the format of a token.
    Malformed,
    /// The signing key is not in the key ring, or is not valid.
    UnknownKey,
    /// The signature does not match the claims.
    BadSignature,
    /// The expiry time has passed.
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
    /// Signs the session with the ring's first key; `None` if the ring is empty or this key is not
    /// valid.
    pub fn sign(&self, ring: &KeyRing) -> Option<String> {
        let key = ring.keys.first()?;
        let payload = hex::encode(serde_json::to_vec(self).ok()?);
        let signed_part = format!("{TAG}.{}.{payload}", key.id);
        let mac = mac(key, &signed_part)?.finalize().into_bytes();
        Some(format!("{signed_part}.{}", hex::encode(mac)))
    }

    /// Verifies a token and returns its claims.
    ///
    /// # Errors
    ///
    /// Fails when the token is malformed, not signed by a key of the ring, or expired.
    pub fn verify(token: &str, ring: &KeyRing, now_ms: u64) -> Result<Session, SessionError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(SessionError::Malformed);
        }
        let (signed_part, signature) = token.rsplit_once('.').ok_or(SessionError::Malformed)?;
        let mut parts = signed_part.split('.');
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
        let mac = mac(key, signed_part).ok_or(SessionError::UnknownKey)?;
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

fn mac(key: &SigningKey, signed_part: &str) -> Option<Hmac<Sha256>> {
    let secret = hex::decode(&*key.secret_hex).ok()?;
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret).ok()?;
    mac.update(signed_part.as_bytes());
    Some(mac)
}
