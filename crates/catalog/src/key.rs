//! Bearer key hashes and the ring of signing keys.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Returns the SHA-256 of a bearer key, in hexadecimal.
pub fn key_hash(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// One key that signs session tokens.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SigningKey {
    /// The name that tokens carry.
    pub id: Arc<str>,
    /// The secret, in hexadecimal.
    pub secret_hex: Arc<str>,
}

impl std::fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SigningKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// The signing keys in force, newest first. The first signs; all verify.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRing {
    /// The keys.
    pub keys: Vec<SigningKey>,
}
