//! Hashes of bearer keys, and the keys that sign session tokens.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Returns the SHA-256 hash of a bearer key, in lower-case hexadecimal.
pub fn key_hash(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// A key that signs session tokens. Its `Debug` output omits the secret.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SigningKey {
    /// The key identifier, which each token carries.
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

/// The active signing keys.
///
/// The first key signs new tokens. Tokens signed with any of the keys are accepted, so that keys
/// can be rotated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRing {
    /// The keys, newest first.
    pub keys: Vec<SigningKey>,
}
