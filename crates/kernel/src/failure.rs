//! The error that ends a request, with its verdict.

use std::fmt;

use crate::Verdict;

/// Why a request was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is unknown.
    Unauthorized,
    /// The workspace does not allow the model, version or service.
    Forbidden,
    /// No such path, model or service.
    NotFound,
    /// The method does not fit the path.
    MethodNotAllowed,
    /// The body is larger than the settings allow.
    TooLarge,
    /// The session's version is withdrawn.
    VersionWithdrawn,
    /// The session token is not valid.
    BadSession,
    /// The request id is expired or belongs to an instance that is gone.
    StaleId,
    /// The workspace is over its quota.
    OverQuota,
    /// No endpoint has room.
    Overloaded,
    /// The deadline cannot be met.
    Deadline,
    /// No endpoint of the pool can be used.
    NoEndpoint,
    /// The endpoint failed.
    EndpointFailed,
    /// The platform's object API is needed and cannot be reached.
    StoreUnavailable,
    /// The instance has no configuration in force, or is cut off or stopping.
    NotReady,
    /// The receipt could not be made durable.
    ReceiptNotDurable,
}

/// One row of the table that gives each reason its wire name and HTTP status.
struct Row {
    reason: Reason,
    name: &'static str,
    status: u16,
}

const fn row(reason: Reason, name: &'static str, status: u16) -> Row {
    Row {
        reason,
        name,
        status,
    }
}

const ROWS: [Row; 17] = [
    row(Reason::BadRequest, "bad-request", 400),
    row(Reason::Unauthorized, "unauthorized", 401),
    row(Reason::Forbidden, "forbidden", 403),
    row(Reason::NotFound, "not-found", 404),
    row(Reason::MethodNotAllowed, "method-not-allowed", 405),
    row(Reason::TooLarge, "too-large", 413),
    row(Reason::VersionWithdrawn, "version-withdrawn", 409),
    row(Reason::BadSession, "bad-session", 401),
    row(Reason::StaleId, "stale-id", 409),
    row(Reason::OverQuota, "over-quota", 429),
    row(Reason::Overloaded, "overloaded", 503),
    row(Reason::Deadline, "deadline", 504),
    row(Reason::NoEndpoint, "no-endpoint", 503),
    row(Reason::EndpointFailed, "endpoint-failed", 502),
    row(Reason::StoreUnavailable, "store-unavailable", 503),
    row(Reason::NotReady, "not-ready", 503),
    row(Reason::ReceiptNotDurable, "receipt-not-durable", 503),
];

impl Reason {
    fn find(self) -> &'static Row {
        ROWS.iter()
            .find(|row| row.reason == self)
            .unwrap_or(&ROWS[0])
    }

    /// Returns the wire name.
    pub fn as_str(self) -> &'static str {
        self.find().name
    }

    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        self.find().status
    }
}

/// A request's final refusal or failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was not answered.
    pub reason: Reason,
    /// A sentence for a person.
    pub detail: String,
    /// When the caller should come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Makes a failure with the given verdict.
    pub fn new(verdict: Verdict, reason: Reason, detail: impl Into<String>) -> Failure {
        Failure {
            verdict,
            reason,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Makes a refusal of a request that did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Failure {
        Failure::new(Verdict::NotRun, reason, detail)
    }

    /// Makes a failure of a request that may have run.
    pub fn may_have_run(reason: Reason, detail: impl Into<String>) -> Failure {
        Failure::new(Verdict::MayHaveRun, reason, detail)
    }

    /// Sets when to come back.
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
