//! Claims of callers' own keys in the object API.

use kernel::{Failure, Incarnation, Reason};
use serde::{Deserialize, Serialize};
use store::{ObjectApi, Precondition, StoreError};
use xxhash_rust::xxh3::xxh3_128;

use crate::state::key::ScopedKey;
use crate::state::shared::Shared;

/// The path prefix of claims.
pub(crate) const CLAIM_PREFIX: &str = "claims/";

/// The moment to come back while the object API is out, in milliseconds.
const OUTAGE_RETRY_MS: u64 = 2_000;

/// How often an unclear write is settled by reading the claim back.
const MAX_TRIES: u32 = 3;

/// A claim as it stands in the object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// The incarnation that alone may run the request.
    pub(crate) owner: Incarnation,
    /// When the claim was made, in milliseconds since the Unix epoch.
    pub(crate) created_ms: u64,
}

/// Who owns a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Owner {
    /// This incarnation, which did not run the request yet.
    Me,
    /// Another incarnation.
    Other(Incarnation),
}

/// Claims a key that this incarnation does not remember.
///
/// # Errors
///
/// Fails when the object API cannot be reached, or when the key was claimed here so long ago that
/// this incarnation may have run the request and forgotten it.
pub(crate) async fn take(shared: &Shared, name: &ScopedKey) -> Result<Owner, Failure> {
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
    for _ in 0..MAX_TRIES {
        match shared
            .platform
            .put(&path, &value, Precondition::Absent)
            .await
        {
            Ok(_) => return Ok(Owner::Me),
            Err(StoreError::RateLimited) => {
                return Err(unavailable("the budget of platform calls is used up"));
            }
            // The write may have taken effect all the same; what stands there decides.
            Err(_) => {}
        }
        let held = match shared.platform.get(&path).await {
            Ok(object) => object.value,
            Err(StoreError::NotFound) => continue,
            Err(err) => return Err(unavailable(&err.to_string())),
        };
        let held: Option<Claim> = held.and_then(|value| serde_json::from_value(value).ok());
        return match held {
            Some(held) if held.owner != shared.incarnation => Ok(Owner::Other(held.owner)),
            Some(held) if held.created_ms + shared.settings.id_lifetime_ms > now_ms => {
                Ok(Owner::Me)
            }
            _ => {
                let detail = "this key was used before, and its answer is not kept any more";
                Err(Failure::may_have_run(Reason::StaleId, detail))
            }
        };
    }
    Err(unavailable("the claim could not be written"))
}

fn unavailable(why: &str) -> Failure {
    let detail = format!(
        "a key of the caller's own making needs the object API ({why}); use an issued prefix instead"
    );
    Failure::not_run(Reason::StoreUnavailable, detail).retry_after_ms(OUTAGE_RETRY_MS)
}
