//! Claims on caller-supplied keys in the object API.
//!
//! A claim names the home of a caller-supplied key, an idempotency key that the caller made up.

use kernel::{Failure, Incarnation, Reason};
use serde::{Deserialize, Serialize};
use store::{ObjectApi, Precondition, StoreError};
use xxhash_rust::xxh3::xxh3_128;

use crate::state::key::ScopedKey;
use crate::state::shared::Shared;

/// The path prefix of claims in the object API.
pub(crate) const CLAIM_PREFIX: &str = "claims/";

/// The retry-after while the object API is unavailable.
const OUTAGE_RETRY_MS: u64 = 2_000;

/// The number of attempts to write a claim, each checked by reading the claim back.
const MAX_ATTEMPTS: u32 = 3;

/// A claim as stored in the object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// The home: the incarnation that alone may run the request.
    pub(crate) owner: Incarnation,
    /// When the claim was made, in milliseconds since the Unix epoch.
    pub(crate) created_ms: u64,
}

/// The owner of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Owner {
    /// This incarnation, which has not run the request yet.
    Local,
    /// Another incarnation.
    Other(Incarnation),
}

/// Claims a key of which this incarnation keeps no record.
///
/// # Errors
///
/// Fails when the object API cannot be reached, the stored claim cannot be decoded, or this
/// incarnation claimed the key longer than the identifier lifetime ago, so that it may have run the
/// request and dropped its record since.
pub(crate) async fn acquire(shared: &Shared, name: &ScopedKey) -> Result<Owner, Failure> {
    let path = format!(
        "{CLAIM_PREFIX}{}/{:032x}",
        name.workspace,
        xxh3_128(name.key.as_bytes())
    );
    let now_ms = shared.clock.wall_ms();
    let claim = Claim {
        owner: shared.incarnation,
        created_ms: now_ms,
    };
    let value = serde_json::to_value(&claim).unwrap_or_default();
    for _ in 0..MAX_ATTEMPTS {
        match shared
            .platform
            .put(&path, &value, Precondition::Absent)
            .await
        {
            Ok(_) => return Ok(Owner::Local),
            Err(StoreError::RateLimited) => {
                return Err(unavailable("the rate limit of platform calls is reached"));
            }
            // The write may have taken effect nevertheless, so the stored claim decides.
            Err(_) => {}
        }
        let stored = match shared.platform.get(&path).await {
            Ok(object) => object.value,
            Err(StoreError::NotFound) => continue,
            Err(err) => return Err(unavailable(&err.to_string())),
        };
        let stored: Option<Claim> = stored.and_then(|value| serde_json::from_value(value).ok());
        return match stored {
            Some(stored) if stored.owner != shared.incarnation => Ok(Owner::Other(stored.owner)),
            Some(stored) if stored.created_ms + shared.settings.id_lifetime_ms > now_ms => {
                Ok(Owner::Local)
            }
            _ => {
                let detail = "this key was used before, and its answer is no longer stored";
                Err(Failure::may_have_run(Reason::StaleId, detail))
            }
        };
    }
    Err(unavailable("the claim could not be written or read back"))
}

fn unavailable(why: &str) -> Failure {
    let detail = format!(
        "an idempotency key without an issued prefix needs the object API ({why}); use an issued prefix instead"
    );
    Failure::not_run(Reason::StoreUnavailable, detail).retry_after_ms(OUTAGE_RETRY_MS)
}
