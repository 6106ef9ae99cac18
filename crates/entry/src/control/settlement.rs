//! Settlement of receipts into statements.
//!
//! A statement records which receipts were applied to it, and is written conditionally. Settlement
//! that runs twice, at two instances or at one that resumes after a pause, bills nothing twice.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use catalog::Object;
use kernel::Incarnation;
use member::Member;
use receipt::{Receipt, Segment, Statement};
use smol::Timer;
use store::{ObjectApi, Precondition, StoreError};

use crate::answer::claim;
use crate::control::state::ControlState;

/// The maximum number of attempts to write a statement in one pass.
const MAX_ATTEMPTS: u32 = 4;

/// The interval at which expired claims are deleted.
const CLAIM_SWEEP_INTERVAL_MS: u64 = 600_000;

/// The time for which claims are kept, from their creation.
const CLAIM_RETENTION_MS: u64 = 24 * 3_600_000;

/// A settled segment that is to be deleted after its retention.
struct SettledSegment {
    path: Arc<str>,
    revision: u64,
    until_ms: u64,
}

/// The progress of settlement in one shard.
#[derive(Default)]
struct Shard {
    cursor: Option<u64>,
    settled: Vec<SettledSegment>,
}

/// Settles the shards for which this instance ranks highest.
pub(super) async fn run(control: Rc<ControlState>) {
    let settings = &control.shared.settings;
    let mut shards: HashMap<u32, Shard> = HashMap::new();
    let mut swept_ms = 0;
    loop {
        Timer::after(Duration::from_millis(settings.settle_interval_ms)).await;
        for index in 0..settings.settle_shards {
            let mine = ranks_highest(
                control.shared.incarnation,
                &format!("settle/{index}"),
                &control.table.borrow().live(),
            );
            if !mine {
                shards.remove(&index);
                continue;
            }
            let shard = shards.entry(index).or_default();
            if let Err(err) = settle(&control, index, shard).await {
                tracing::debug!("settle: shard {index} deferred, {err}");
            }
            if index == 0 && control.now_ms() > swept_ms + CLAIM_SWEEP_INTERVAL_MS {
                swept_ms = control.now_ms();
                drop(sweep_claims(&control).await);
            }
        }
    }
}

async fn settle(control: &ControlState, index: u32, shard: &mut Shard) -> Result<(), StoreError> {
    let prefix = format!("receipts/{index}/");
    let platform = &control.shared.platform;
    let listing = match shard.cursor {
        None => platform.list(&prefix).await?,
        Some(cursor) => match platform.watch(&prefix, cursor, 0).await {
            Err(StoreError::Expired) => platform.list(&prefix).await?,
            other => other?,
        },
    };
    let mut receipts: BTreeMap<Arc<str>, Vec<Receipt>> = BTreeMap::new();
    let mut settled = Vec::new();
    let until_ms = control.now_ms() + control.shared.settings.segment_keep_ms;
    for object in listing.objects {
        let Some(segment) = read_segment(&object) else {
            continue;
        };
        for receipt in segment.receipts {
            receipts
                .entry(receipt.workspace.clone())
                .or_default()
                .push(receipt);
        }
        settled.push(SettledSegment {
            path: object.path,
            revision: object.revision,
            until_ms,
        });
    }
    for (workspace, receipts) in receipts {
        apply_receipts(control, index, &workspace, &receipts).await?;
    }
    // The cursor moves only after all statements are written. After a failure above, the next pass
    // reads the same segments again.
    shard.cursor = Some(listing.revision);
    shard.settled.extend(settled);
    delete_expired(control, shard).await
}

fn read_segment(object: &Object) -> Option<Segment> {
    let value = object.value.as_ref()?;
    match serde_json::from_value(value.clone()) {
        Ok(segment) => Some(segment),
        Err(err) => {
            tracing::error!(
                "settle: cannot decode segment {}, left in place, {err}",
                object.path
            );
            None
        }
    }
}

/// Applies receipts to the statement of a workspace in a shard.
async fn apply_receipts(
    control: &ControlState,
    index: u32,
    workspace: &str,
    receipts: &[Receipt],
) -> Result<(), StoreError> {
    let platform = &control.shared.platform;
    let path = format!("statements/{workspace}/{index}");
    let mut last = StoreError::Conflict;
    for _ in 0..MAX_ATTEMPTS {
        let (mut statement, expect) = match platform.get(&path).await {
            Ok(object) => (
                read_statement(&object)?,
                Precondition::Revision(object.revision),
            ),
            Err(StoreError::NotFound) => (Statement::default(), Precondition::Absent),
            Err(err) => return Err(err),
        };
        if statement.apply(receipts, control.shared.clock.wall_ms()) == 0 {
            return Ok(());
        }
        let value = serde_json::to_value(&statement).unwrap_or_default();
        match platform.put(&path, &value, expect).await {
            Ok(_) => return Ok(()),
            // The write may have taken effect. The next attempt reads the current statement.
            Err(err) => last = err,
        }
    }
    Err(last)
}

/// Decodes a statement. One that cannot be decoded is an error, so that it is never overwritten.
fn read_statement(object: &Object) -> Result<Statement, StoreError> {
    let value = object.value.clone().unwrap_or_default();
    serde_json::from_value(value).map_err(|err| StoreError::Unavailable {
        verdict: kernel::Verdict::NotRun,
        message: format!("cannot decode statement {}: {err}", object.path),
    })
}

/// Deletes settled segments after their retention, unless they were written again meanwhile.
async fn delete_expired(control: &ControlState, shard: &mut Shard) -> Result<(), StoreError> {
    let now_ms = control.now_ms();
    while let Some(oldest) = shard.settled.first() {
        if oldest.until_ms > now_ms {
            return Ok(());
        }
        match control
            .shared
            .platform
            .delete(&oldest.path, Precondition::Revision(oldest.revision))
            .await
        {
            Ok(_) | Err(StoreError::Conflict | StoreError::NotFound) => {
                drop(shard.settled.remove(0))
            }
            Err(err) => return Err(err),
        }
    }
    Ok(())
}

/// Deletes claims past their retention, after which a key need not be remembered any more.
async fn sweep_claims(control: &ControlState) -> Result<(), StoreError> {
    let now_ms = control.shared.clock.wall_ms();
    let listing = control.shared.platform.list(claim::CLAIM_PREFIX).await?;
    for object in listing.objects {
        let claim: Option<claim::Claim> = object
            .value
            .and_then(|value| serde_json::from_value(value).ok());
        if claim.is_some_and(|claim| claim.created_ms + CLAIM_RETENTION_MS < now_ms) {
            control
                .shared
                .platform
                .delete(&object.path, Precondition::Revision(object.revision))
                .await?;
        }
    }
    Ok(())
}

/// Returns whether an instance ranks highest for a task that one instance does for all.
fn ranks_highest(incarnation: Incarnation, key: &str, members: &[&Member]) -> bool {
    member::highest_ranked(key, members).is_some_and(|first| first.incarnation == incarnation)
}
