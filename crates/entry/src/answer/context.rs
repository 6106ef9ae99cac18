//! What a request's head says.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use catalog::{Workspace, key_hash};
use kernel::{Failure, Priority, Reason, RequestId};
use session::Session;
use web::IncomingRequest;

use crate::state::key::IdempotencyKey;
use crate::state::shared::Shared;
use crate::state::view::View;

/// The class of requests that name none.
const DEFAULT_CLASS: &str = "default";

/// The longest key of a caller's own making, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The longest deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// The moment to come back to an instance that takes no work, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 1_000;

/// The head of a request, checked.
pub(crate) struct Context {
    pub(crate) view: Arc<View>,
    pub(crate) workspace: Arc<Workspace>,
    pub(crate) class: Arc<str>,
    pub(crate) priority: Priority,
    /// When the answer is of no more use, on the monotonic clock.
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) non_idempotent: bool,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) session: Option<Session>,
    /// Whether a peer sent the request on.
    pub(crate) forwarded: bool,
    pub(crate) received_ms: u64,
    /// The identifier used towards endpoints and in receipts.
    pub(crate) request: Arc<str>,
}

impl Context {
    /// Reads and checks a head.
    pub(crate) fn from_request(
        shared: &Shared,
        incoming: &IncomingRequest,
    ) -> Result<Context, Failure> {
        let view = shared.view.load_full();
        let workspace = authenticate(&view, incoming)?;
        let received_ms = shared.clock.mono_ms();
        let key = read_key(incoming)?;
        let request = match &key {
            Some(IdempotencyKey::Issued(id)) => id.to_string().into(),
            _ => fresh_request(shared).into(),
        };
        Ok(Context {
            class: read_class(&workspace, incoming)?,
            priority: read_priority(incoming)?,
            deadline_ms: read_deadline_ms(incoming, received_ms)?,
            non_idempotent: read_flag(incoming, "x-rosemary-non-idempotent")?,
            session: read_session(shared, &view, &workspace, incoming)?,
            forwarded: incoming.header("x-rosemary-forwarded").is_some(),
            view,
            workspace,
            key,
            received_ms,
            request,
        })
    }

    /// Takes the request from its workspace's quota.
    pub(crate) fn acquire_quota(&self, shared: &Shared) -> Result<(), Failure> {
        let workspace = &self.workspace;
        let rate_per_s = self.view.quota_rates_per_s.get(&workspace.name).copied();
        let rate_per_s = rate_per_s.unwrap_or(workspace.quota_per_s);
        shared
            .quotas
            .try_acquire(&workspace.name, rate_per_s, shared.clock.mono_ms())
    }

    /// Refuses the request if the instance takes no new work.
    pub(crate) fn check_serving(&self, shared: &Shared) -> Result<(), Failure> {
        // A stopping instance still answers callers that hold an earlier address answer.
        if self.view.serving || (shared.stopping.load(Ordering::Relaxed) && self.view.configured) {
            return Ok(());
        }
        let detail =
            "this instance is cut off from the store and its peers, or has no configuration yet";
        Err(Failure::not_run(Reason::NotReady, detail).retry_after_ms(NOT_READY_RETRY_MS))
    }
}

/// Makes an identifier for a request that came without one.
fn fresh_request(shared: &Shared) -> String {
    let nonce = format!("{:016x}", fastrand::u64(..));
    format!(
        "{}{nonce}",
        RequestId::prefix(shared.incarnation, shared.clock.wall_ms())
    )
}

fn bad(detail: impl Into<String>) -> Failure {
    Failure::not_run(Reason::BadRequest, detail)
}

/// Finds the workspace of the bearer key.
pub(crate) fn authenticate(
    view: &View,
    incoming: &IncomingRequest,
) -> Result<Arc<Workspace>, Failure> {
    if !view.configured {
        let detail = "this instance has no configuration yet";
        return Err(Failure::not_run(Reason::NotReady, detail).retry_after_ms(NOT_READY_RETRY_MS));
    }
    let header = incoming.header("authorization").unwrap_or_default();
    let Some(key) = header.strip_prefix("Bearer ") else {
        return Err(Failure::not_run(
            Reason::Unauthorized,
            "expected a header 'Authorization: Bearer KEY'",
        ));
    };
    let found = view.snapshot.workspace_by_key(&key_hash(key.trim()));
    found.cloned().ok_or_else(|| {
        Failure::not_run(
            Reason::Unauthorized,
            "the bearer key belongs to no workspace",
        )
    })
}

fn read_key(incoming: &IncomingRequest) -> Result<Option<IdempotencyKey>, Failure> {
    let Some(text) = incoming.header("idempotency-key") else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(bad(format!(
            "header 'Idempotency-Key': expected 1 to {MAX_KEY_BYTES} bytes"
        )));
    }
    match RequestId::parse(text) {
        Ok(Some(id)) => Ok(Some(IdempotencyKey::Issued(id))),
        Ok(None) => Ok(Some(IdempotencyKey::CallerSupplied(text.to_owned()))),
        Err(err) => Err(bad(format!("header 'Idempotency-Key': {err}"))),
    }
}

fn read_class(workspace: &Workspace, incoming: &IncomingRequest) -> Result<Arc<str>, Failure> {
    let Some(name) = incoming.header("x-rosemary-class") else {
        return Ok(DEFAULT_CLASS.into());
    };
    let known = workspace.classes.iter().find(|class| &***class == name);
    known.cloned().ok_or_else(|| {
        let known: Vec<&str> = workspace.classes.iter().map(|class| &**class).collect();
        bad(format!(
            "header 'x-rosemary-class': unknown class '{name}', expected one of {}",
            known.join(", ")
        ))
    })
}

fn read_priority(incoming: &IncomingRequest) -> Result<Priority, Failure> {
    let Some(text) = incoming.header("x-rosemary-priority") else {
        return Ok(Priority::Normal);
    };
    let expected = "header 'x-rosemary-priority': expected urgent, normal or batch";
    Priority::parse(text).ok_or_else(|| bad(format!("{expected}, found '{text}'")))
}

fn read_deadline_ms(incoming: &IncomingRequest, received_ms: u64) -> Result<Option<u64>, Failure> {
    let Some(text) = incoming.header("x-rosemary-deadline-ms") else {
        return Ok(None);
    };
    match text.parse::<u64>() {
        Ok(span_ms) if (1..=MAX_DEADLINE_MS).contains(&span_ms) => Ok(Some(received_ms + span_ms)),
        _ => Err(bad(format!(
            "header 'x-rosemary-deadline-ms': expected 1 to {MAX_DEADLINE_MS}, found '{text}'"
        ))),
    }
}

fn read_flag(incoming: &IncomingRequest, name: &str) -> Result<bool, Failure> {
    match incoming.header(name) {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(other) => Err(bad(format!(
            "header '{name}': expected true or false, found '{other}'"
        ))),
    }
}

fn read_session(
    shared: &Shared,
    view: &View,
    workspace: &Workspace,
    incoming: &IncomingRequest,
) -> Result<Option<Session>, Failure> {
    let Some(token) = incoming.header("x-rosemary-session") else {
        return Ok(None);
    };
    let verified = Session::verify(token, &view.snapshot.keys, shared.clock.wall_ms());
    let session = verified.map_err(|err| Failure::not_run(Reason::BadSession, err.to_string()))?;
    if session.workspace != workspace.name {
        return Err(Failure::not_run(
            Reason::BadSession,
            "the session belongs to another workspace",
        ));
    }
    Ok(Some(session))
}
