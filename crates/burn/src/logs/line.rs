//! Decoding of log lines.

use std::sync::Arc;

use anyhow::Context;
use serde::Deserialize;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// One event of an instance that says something about a request.
#[derive(Debug, Clone, PartialEq)]
pub struct LogEvent {
    /// When it was logged, in milliseconds since the Unix epoch.
    pub at_ms: f64,
    /// The identifier of the request.
    pub request: Arc<str>,
    /// What happened.
    pub kind: EventKind,
}

/// What happened to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum EventKind {
    /// A model size sent its first event.
    FirstEvent(FirstEvent),
    /// An endpoint gave no usable response, with the reason.
    NoAnswer {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// How the send failed.
        result: Arc<str>,
    },
    /// The request ended.
    Ended(Ended),
}

/// The first event of one run of a request on a model size.
#[derive(Debug, Clone, PartialEq)]
pub struct FirstEvent {
    /// Index of the size, where 0 is the smallest.
    pub size: usize,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Load of the endpoint as this instance knew it, in requests.
    pub load: f64,
    /// Time from the send to the first event.
    pub first_ms: f64,
    /// Part of it that was expected for reading the prompt.
    pub reading_ms: f64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that no other request shares.
    pub new_tokens: u64,
    /// Confidence of the model from 0 to 100, if it states one.
    pub confidence: Option<u8>,
    /// Mean wait of the service's requests as a share of their objective.
    pub wait_share: f64,
}

/// The end of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Ended {
    /// The route; empty if it is not known.
    pub route: Arc<str>,
    /// How it ended: "answered", or a reason such as "overloaded".
    pub outcome: Arc<str>,
    /// Time from the arrival of the request.
    pub elapsed_ms: f64,
}

/// The fields of all lines that are read.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Fields {
    message: String,
    id: Arc<str>,
    size: Option<usize>,
    endpoint: Option<Arc<str>>,
    load: f64,
    first_ms: f64,
    reading_ms: f64,
    prompt_tokens: u64,
    new_tokens: u64,
    confidence: Option<u8>,
    wait_share: f64,
    result: Arc<str>,
    route: Arc<str>,
    reason: Option<Arc<str>>,
    elapsed_ms: f64,
}

/// A line with its fields beside the timestamp.
#[derive(Debug, Deserialize)]
struct FlatLine {
    timestamp: String,
    #[serde(flatten)]
    fields: Fields,
}

/// A line with its fields in an object of their own.
#[derive(Debug, Deserialize)]
struct NestedLine {
    timestamp: String,
    fields: Fields,
}

impl LogEvent {
    /// Decodes a line, which may have text before its JSON object. Returns `None` for a line that
    /// is not JSON or says nothing about a request.
    ///
    /// # Errors
    ///
    /// Fails if a line about a request lacks a readable time.
    pub fn parse(line: &str) -> anyhow::Result<Option<LogEvent>> {
        let Some(start) = line.find('{') else {
            return Ok(None);
        };
        let json = &line[start..];
        let parsed = serde_json::from_str(json)
            .map(|line: NestedLine| (line.timestamp, line.fields))
            .or_else(|_| {
                serde_json::from_str(json).map(|line: FlatLine| (line.timestamp, line.fields))
            });
        let Ok((timestamp, fields)) = parsed else {
            return Ok(None);
        };
        let request = fields.id.clone();
        let Some(kind) = EventKind::from_fields(fields) else {
            return Ok(None);
        };
        let at = OffsetDateTime::parse(&timestamp, &Rfc3339)
            .with_context(|| format!("\"{timestamp}\" is not a time of RFC 3339"))?;
        Ok(Some(LogEvent {
            at_ms: at.unix_timestamp_nanos() as f64 / 1e6,
            request,
            kind,
        }))
    }
}

impl EventKind {
    fn from_fields(fields: Fields) -> Option<EventKind> {
        match &*fields.message {
            "request: confidence" => Some(EventKind::FirstEvent(FirstEvent {
                size: fields.size?,
                endpoint: fields.endpoint?,
                load: fields.load,
                first_ms: fields.first_ms,
                reading_ms: fields.reading_ms,
                prompt_tokens: fields.prompt_tokens,
                new_tokens: fields.new_tokens,
                confidence: fields.confidence,
                wait_share: fields.wait_share,
            })),
            "send: no answer" => Some(EventKind::NoAnswer {
                endpoint: fields.endpoint?,
                result: fields.result,
            }),
            message => {
                let name = message.strip_prefix("request: ")?;
                Some(EventKind::Ended(Ended {
                    route: fields.route,
                    outcome: fields.reason.unwrap_or_else(|| name.into()),
                    elapsed_ms: fields.elapsed_ms,
                }))
            }
        }
    }
}
