//! The failure that ends a request, with its reason and verdict.

use std::fmt;

use crate::Verdict;

/// Why a request failed or was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The request is malformed or arrived too slowly.
    BadRequest,
    /// The API key is missing or unknown.
    Unauthorized,
    /// The workspace does not allow the model, version or service.
    Forbidden,
    /// The path, model or service does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The body is larger than the settings allow.
    TooLarge,
    /// The version that the session is bound to is withdrawn.
    VersionWithdrawn,
    /// The session token is not valid.
    BadSession,
    /// The request identifier is expired, its home incarnation is unreachable or has ended, or the
    /// answer is no longer kept.
    StaleId,
    /// The workspace exceeds its quota.
    OverQuota,
    /// No endpoint has capacity left.
    Overloaded,
    /// The deadline cannot be met.
    Deadline,
    /// The pool has no usable endpoint.
    NoEndpoint,
    /// The endpoint failed, or its response was truncated or invalid.
    EndpointFailed,
    /// The request needs the platform's object API, which is unreachable.
    StoreUnavailable,
    /// The instance has no configuration yet, is isolated from store and peers, or shuts down.
    NotReady,
    /// The receipt could be neither saved nor held by a peer.
    ReceiptNotDurable,
    /// Endpoints crash on the request or on a part of its prompt.
    CrashesEndpoints,
}

/// The wire name and HTTP status of a reason.
struct ReasonInfo {
    reason: Reason,
    name: &'static str,
    status: u16,
}

const fn info(reason: Reason, name: &'static str, status: u16) -> ReasonInfo {
    ReasonInfo {
        reason,
        name,
        status,
    }
}

const REASONS: [ReasonInfo; 18] = [
    info(Reason::BadRequest, "bad-request", 400),
    info(Reason::Unauthorized, "unauthorized", 401),
    info(Reason::Forbidden, "forbidden", 403),
    info(Reason::NotFound, "not-found", 404),
    info(Reason::MethodNotAllowed, "method-not-allowed", 405),
    info(Reason::TooLarge, "too-large", 413),
    info(Reason::VersionWithdrawn, "version-withdrawn", 409),
    info(Reason::BadSession, "bad-session", 401),
    info(Reason::StaleId, "stale-id", 409),
    info(Reason::OverQuota, "over-quota", 429),
    info(Reason::Overloaded, "overloaded", 503),
    info(Reason::Deadline, "deadline", 504),
    info(Reason::NoEndpoint, "no-endpoint", 503),
    info(Reason::EndpointFailed, "endpoint-failed", 502),
    info(Reason::StoreUnavailable, "store-unavailable", 503),
    info(Reason::NotReady, "not-ready", 503),
    info(Reason::ReceiptNotDurable, "receipt-not-durable", 503),
    info(Reason::CrashesEndpoints, "crashes-endpoints", 503),
];

impl Reason {
    fn info(self) -> &'static ReasonInfo {
        REASONS
            .iter()
            .find(|info| info.reason == self)
            .unwrap_or(&REASONS[0])
    }

    /// Returns the name that callers and logs see.
    pub fn as_str(self) -> &'static str {
        self.info().name
    }

    /// Parses a name as [`Reason::as_str`] returns it.
    pub fn parse(text: &str) -> Option<Reason> {
        let known = REASONS.iter().find(|info| info.name == text);
        known.map(|info| info.reason)
    }

    /// Returns the HTTP status code of the response.
    pub fn status(self) -> u16 {
        self.info().status
    }
}

/// The final failure or rejection of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Whether the request may have been executed.
    pub verdict: Verdict,
    /// Why the request failed.
    pub reason: Reason,
    /// Description for a human reader.
    pub detail: String,
    /// How long the caller should wait before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Creates a failure without a retry-after delay.
    pub fn new(verdict: Verdict, reason: Reason, detail: impl Into<String>) -> Failure {
        Failure {
            verdict,
            reason,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a failure of a request that was not executed.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Failure {
        Failure::new(Verdict::NotRun, reason, detail)
    }

    /// Creates a failure of a request that may have been executed.
    pub fn may_have_run(reason: Reason, detail: impl Into<String>) -> Failure {
        Failure::new(Verdict::MayHaveRun, reason, detail)
    }

    /// Sets how long the caller should wait before a retry, in milliseconds.
    pub fn retry_after_ms(mut self, delay_ms: u64) -> Failure {
        self.retry_after_ms = Some(delay_ms);
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ({}): {}",
            self.reason.as_str(),
            self.verdict.as_str(),
            self.detail
        )
    }
}

impl std::error::Error for Failure {}
