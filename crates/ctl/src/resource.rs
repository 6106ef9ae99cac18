//! Commands `get`, `watch`, `rollout`, `withdraw`, `drain` and `rotate-keys`.

use catalog::{
    CONFIG_PREFIX, KEY_RING_PATH, KeyRing, ROLLOUT_STATUS_PREFIX, ResourceKind, SPEC_PREFIX,
    SigningKey,
};
use serde_json::{Value, json};
use store::{HttpPlatformClient, ObjectApi, Precondition, StoreError};

use crate::error::{CommandError, ExitStatus};
use crate::output::Output;
use crate::platform;

/// Maximum wait of one watch call.
const WATCH_WAIT_MS: u64 = 10_000;

/// Maximum number of valid signing keys: the current and the previous one.
const MAX_SIGNING_KEYS: usize = 2;

/// Maximum number of attempts of a conditional update.
const MAX_ATTEMPTS: u32 = 4;

/// Prints the resources of a kind with their status.
pub(crate) async fn get(
    platform: &HttpPlatformClient,
    kind: &str,
    name: Option<&str>,
    output: Output,
) -> Result<(), CommandError> {
    let kinds: Vec<&str> = ResourceKind::ALL
        .into_iter()
        .map(ResourceKind::as_str)
        .collect();
    let kind = ResourceKind::parse(kind).ok_or_else(|| {
        CommandError::new(
            ExitStatus::Invalid,
            format!(
                "unknown kind '{kind}', expected one of {}",
                kinds.join(", ")
            ),
        )
    })?;
    let prefix = format!("{SPEC_PREFIX}{}/", kind.as_str());
    let listing = platform
        .list(&prefix)
        .await
        .map_err(|err| platform::command_error("cannot read the resources", &err))?;
    let statuses = platform.list(ROLLOUT_STATUS_PREFIX).await;
    let statuses =
        statuses.map_err(|err| platform::command_error("cannot read the statuses", &err))?;
    let mut rows = Vec::new();
    for object in &listing.objects {
        let object_name = object.path.trim_start_matches(&prefix);
        if name.is_some_and(|name| name != object_name) {
            continue;
        }
        let path = format!("{ROLLOUT_STATUS_PREFIX}{object_name}");
        let status = statuses
            .objects
            .iter()
            .find(|status| *status.path == *path && kind == ResourceKind::Rollout);
        let status = status
            .and_then(|status| status.value.clone())
            .unwrap_or(Value::Null);
        rows.push(json!({
            "name": object_name,
            "revision": object.revision,
            "spec": object.value,
            "status": status,
            "summary": summary(kind, object.value.as_ref().unwrap_or(&Value::Null), &status),
        }));
    }
    if rows.is_empty() && name.is_some() {
        return Err(CommandError::new(
            ExitStatus::Failed,
            format!(
                "there is no {} '{}'",
                kind.as_str(),
                name.unwrap_or_default()
            ),
        ));
    }
    output.print(&["name", "revision", "summary"], &rows);
    Ok(())
}

fn summary(kind: ResourceKind, spec: &Value, status: &Value) -> String {
    let text = |value: &Value| {
        value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned)
    };
    match kind {
        ResourceKind::Version => format!(
            "{} of {} on {}",
            text(&spec["state"]),
            text(&spec["model"]),
            text(&spec["pool"])
        ),
        ResourceKind::Pool => format!(
            "{}, {} endpoints",
            text(&spec["kind"]),
            spec["endpoints"].as_array().map_or(0, Vec::len)
        ),
        ResourceKind::Workspace => format!(
            "quota {}/s, policy {}",
            spec["quota_per_s"],
            text(&spec["policy"])
        ),
        ResourceKind::Rollout if status.is_null() => "not begun".to_owned(),
        ResourceKind::Rollout => format!(
            "{} at step {}: {}",
            text(&status["phase"]),
            status["step"],
            text(&status["reason"])
        ),
        ResourceKind::Policy => format!("plug-in {}", text(&spec["plugin"])),
        ResourceKind::Model | ResourceKind::Experiment => String::new(),
    }
}

/// Prints changes of configuration and status, until `count` were printed if it is given.
pub(crate) async fn watch(
    platform: &HttpPlatformClient,
    count: Option<usize>,
    output: Output,
) -> Result<(), CommandError> {
    let listing = platform.list(CONFIG_PREFIX).await;
    let mut revision = listing
        .map_err(|err| platform::command_error("cannot read the configuration", &err))?
        .revision;
    let mut printed = 0;
    while count.is_none_or(|count| printed < count) {
        let changes = match platform.watch(CONFIG_PREFIX, revision, WATCH_WAIT_MS).await {
            Ok(changes) => changes,
            Err(StoreError::Expired) => {
                eprintln!("watch: history expired, changes were missed; continuing from now");
                let listing = platform.list(CONFIG_PREFIX).await;
                revision = listing
                    .map_err(|err| platform::command_error("cannot read the configuration", &err))?
                    .revision;
                continue;
            }
            Err(err) => return Err(platform::command_error("the watch broke", &err)),
        };
        revision = changes.revision;
        for object in changes.objects {
            printed += 1;
            match output {
                Output::Json => output.line(&json!(object).to_string()),
                Output::Table => {
                    let value = object
                        .value
                        .map_or_else(|| "deleted".to_owned(), |value| value.to_string());
                    output.line(&format!("{} {} {value}", object.revision, object.path));
                }
            }
        }
    }
    Ok(())
}

/// Prints the result of a conditional update.
fn print_result(action: &str, revision: Option<u64>) {
    match revision {
        Some(revision) => Output::Table.line(&format!("{action} at revision {revision}")),
        None => Output::Table.line(&format!("{action} already, nothing to change")),
    }
}

/// Edits an object by a conditional update; returns the new revision, or none if nothing changed.
async fn update(
    platform: &HttpPlatformClient,
    path: &str,
    mut edit: impl FnMut(Value) -> Result<Value, CommandError>,
) -> Result<Option<u64>, CommandError> {
    let mut last_err = StoreError::Conflict;
    for _ in 0..MAX_ATTEMPTS {
        let (old, expect) = match platform.get(path).await {
            Ok(object) => (
                object.value.unwrap_or(Value::Null),
                Precondition::Revision(object.revision),
            ),
            Err(StoreError::NotFound) => (Value::Null, Precondition::Absent),
            Err(err) => {
                return Err(platform::command_error(
                    &format!("cannot read {path}"),
                    &err,
                ));
            }
        };
        let new = edit(old.clone())?;
        if new == old {
            return Ok(None);
        }
        match platform.put(path, &new, expect).await {
            Ok(revision) => return Ok(Some(revision)),
            Err(err) => last_err = err,
        }
    }
    Err(platform::command_error(
        &format!("{path} was not written"),
        &last_err,
    ))
}

fn require_present(value: &Value, path: &str) -> Result<(), CommandError> {
    if value.is_null() {
        Err(CommandError::new(
            ExitStatus::Failed,
            format!("there is no {path}"),
        ))
    } else {
        Ok(())
    }
}

/// Pauses or resumes a roll-out.
pub(crate) async fn set_paused(
    platform: &HttpPlatformClient,
    name: &str,
    paused: bool,
) -> Result<(), CommandError> {
    let path = format!("{SPEC_PREFIX}rollout/{name}");
    let revision = update(platform, &path, |mut value| {
        require_present(&value, &path)?;
        value["paused"] = paused.into();
        Ok(value)
    });
    let done = if paused { "paused" } else { "resumed" };
    print_result(&format!("rollout {name} {done}"), revision.await?);
    Ok(())
}

/// Withdraws the target version of a roll-out.
pub(crate) async fn withdraw(
    platform: &HttpPlatformClient,
    name: &str,
) -> Result<(), CommandError> {
    let path = format!("{SPEC_PREFIX}rollout/{name}");
    let rollout = platform
        .get(&path)
        .await
        .map_err(|err| platform::command_error(&format!("cannot read {path}"), &err))?;
    let version = rollout
        .value
        .as_ref()
        .and_then(|value| value["to"].as_str())
        .unwrap_or_default()
        .to_owned();
    withdraw_version(platform, &version).await
}

/// Withdraws a version permanently.
pub(crate) async fn withdraw_version(
    platform: &HttpPlatformClient,
    version: &str,
) -> Result<(), CommandError> {
    let path = format!("{SPEC_PREFIX}version/{version}");
    let revision = update(platform, &path, |mut value| {
        require_present(&value, &path)?;
        value["state"] = "withdrawn".into();
        Ok(value)
    });
    print_result(&format!("version {version} withdrawn"), revision.await?);
    Ok(())
}

/// Marks an endpoint as draining, so that it gets no new calls.
pub(crate) async fn drain_endpoint(
    platform: &HttpPlatformClient,
    pool: &str,
    endpoint: &str,
) -> Result<(), CommandError> {
    let path = format!("{SPEC_PREFIX}pool/{pool}");
    let revision = update(platform, &path, |mut value| {
        require_present(&value, &path)?;
        let rows = value["endpoints"].as_array_mut();
        let row = rows
            .into_iter()
            .flatten()
            .find(|row| row["name"] == endpoint);
        let row = row.ok_or_else(|| {
            CommandError::new(
                ExitStatus::Failed,
                format!("pool '{pool}' has no endpoint '{endpoint}'"),
            )
        })?;
        row["draining"] = true.into();
        Ok(value)
    });
    print_result(
        &format!("endpoint {pool}/{endpoint} drains"),
        revision.await?,
    );
    Ok(())
}

/// Adds a new signing key in front and keeps the previous one, for the sessions that it signed.
pub(crate) async fn rotate_keys(platform: &HttpPlatformClient) -> Result<(), CommandError> {
    let secret_hex = format!("{:032x}{:032x}", random_secret()?, random_secret()?);
    let revision = update(platform, KEY_RING_PATH, |value| {
        let mut ring: KeyRing = serde_json::from_value(value).unwrap_or_default();
        let id = format!("k{:08x}", fastrand::u32(..)).into();
        ring.keys.insert(
            0,
            SigningKey {
                id,
                secret_hex: secret_hex.as_str().into(),
            },
        );
        ring.keys.truncate(MAX_SIGNING_KEYS);
        Ok(json!(ring))
    });
    print_result("signing key rotated", revision.await?);
    Ok(())
}

/// Reads 16 random bytes from the operating system.
fn random_secret() -> Result<u128, CommandError> {
    let failed = |err: std::io::Error| {
        CommandError::new(
            ExitStatus::Failed,
            format!("cannot read a secret from /dev/urandom: {err}"),
        )
    };
    let mut bytes = [0; 16];
    let mut source = std::fs::File::open("/dev/urandom").map_err(failed)?;
    std::io::Read::read_exact(&mut source, &mut bytes).map_err(failed)?;
    Ok(u128::from_le_bytes(bytes))
}
