//! The settings of an entry instance.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

/// The description of one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingDoc {
    /// The key in a settings file.
    pub key: &'static str,
    /// The default value, as TOML.
    pub default: String,
    /// The unit or kind of the value.
    pub unit: &'static str,
    /// What it controls, as one sentence.
    pub description: &'static str,
}

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The path of the file.
    pub file: String,
    /// The line, from 1; 0 if the file could not be read.
    pub line: usize,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for SettingsError {}

macro_rules! settings {
    ($($key:ident: $type:ty = $default:expr, $unit:literal, $description:literal;)*) => {
        /// The effective settings of an instance.
        #[derive(Debug, Clone, PartialEq, Serialize)]
        pub struct Settings {
            $(#[doc = $description] pub $key: $type,)*
        }

        /// The settings given by one file or the command line; `None` for those not given.
        #[derive(Debug, Clone, Default, PartialEq, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct Layer {
            $(#[doc = $description] pub $key: Option<$type>,)*
        }

        impl Default for Settings {
            fn default() -> Settings {
                Settings { $($key: $default,)* }
            }
        }

        impl Settings {
            /// Returns these settings with those that `layer` gives replaced.
            pub fn overlay(mut self, layer: Layer) -> Settings {
                $(if let Some(value) = layer.$key {
                    self.$key = value;
                })*
                self
            }

            /// Returns the descriptions of all settings, in the order of their declaration.
            pub fn reference() -> Vec<SettingDoc> {
                let defaults = Settings::default();
                vec![$(SettingDoc {
                    key: stringify!($key),
                    default: toml::Value::try_from(&defaults.$key).map(|value| value.to_string()).unwrap_or_default(),
                    unit: $unit,
                    description: $description,
                },)*]
            }
        }

        const KEYS: &[&str] = &[$(stringify!($key),)*];
    };
}

settings! {
    name: String = "entry-1".to_owned(), "text", "The instance's name.";
    zone: String = "zone-1".to_owned(), "text", "The availability zone of the instance.";
    fleet: String = String::new(), "text", "The name of the fleet. Instances of a fleet with another name are refused as peers; empty to accept all.";
    listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7001)), "IP address and port", "The address where callers connect.";
    peer_listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7501)), "IP address and port", "The address where other instances connect.";
    peers: Vec<SocketAddr> = Vec::new(), "IP addresses and ports", "Peers to join before the platform's instance list is read.";
    platform: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7100)), "IP address and port", "The address of the platform's services.";
    platform_timeout_ms: u64 = 2_000, "milliseconds", "How long a platform call may take.";
    platform_reads_per_s: f64 = 20.0, "calls per second", "The rate limit of platform reads, pending watches included.";
    platform_writes_per_s: f64 = 20.0, "calls per second", "The rate limit of platform writes.";
    traffic_threads: usize = 2, "threads", "Threads that serve callers.";
    max_connections: usize = 4_096, "connections", "The most connections from callers. Idle ones give way to further ones, which get 503 as not run else.";
    max_held_bytes: u64 = 256 << 20, "bytes", "The most memory that callers' connections hold together. Requests beyond it get 503 as not run.";
    max_body_bytes: u64 = 4 << 20, "bytes", "The largest request body.";
    max_answer_bytes: u64 = 16 << 20, "bytes", "The largest endpoint answer that is buffered whole.";
    idle_timeout_ms: u64 = 60_000, "milliseconds", "How long a caller's connection may wait for a request.";
    body_timeout_ms: u64 = 10_000, "milliseconds", "How long a request body may take.";
    write_timeout_ms: u64 = 20_000, "milliseconds", "How long writing an answer to a caller may make no progress.";
    connect_timeout_ms: u64 = 500, "milliseconds", "How long connecting to an endpoint may take.";
    head_timeout_ms: u64 = 60_000, "milliseconds", "How long an endpoint may take to begin its response.";
    max_attempts: u32 = 3, "attempts", "The most endpoints tried for one call.";
    endpoint_subset: usize = 0, "endpoints", "The most endpoints of a pool that this instance uses; 0 for all.";
    address_lifetime_ms: u64 = 10_000, "milliseconds", "How long callers may keep an address list.";
    id_lifetime_ms: u64 = 600_000, "milliseconds", "How long a request identifier may be used after its prefix was issued.";
    answer_keep_ms: u64 = 120_000, "milliseconds", "How long the answer to a request with an idempotency key is kept.";
    max_keyed_requests: usize = 100_000, "requests", "The most requests with an idempotency key that are remembered.";
    max_kept_bytes: usize = 32 << 20, "bytes", "The most memory for the kept answers.";
    session_lifetime_ms: u64 = 3_600_000, "milliseconds", "How long a session lasts.";
    gossip_interval_ms: u64 = 1_000, "milliseconds", "How often a peer is probed.";
    gossip_timeout_ms: u64 = 500, "milliseconds", "How long a probe may take.";
    suspect_ms: u64 = 3_000, "milliseconds", "How long a suspected instance has to answer before it counts as dead.";
    watchers: usize = 6, "instances", "How many instances watch the store and read the platform's instance list.";
    watch_wait_ms: u64 = 10_000, "milliseconds", "How long one watch waits for a change.";
    list_interval_ms: u64 = 2_000, "milliseconds", "How often the platform's instance list is read.";
    cut_off_ms: u64 = 10_000, "milliseconds", "After how long without contact to the store or any peer the instance refuses new requests.";
    receipt_hold_timeout_ms: u64 = 150, "milliseconds", "How long a peer may take to confirm that it holds receipts.";
    receipt_flush_ms: u64 = 1_000, "milliseconds", "How often receipts are written to the object API.";
    max_held_receipts: usize = 200_000, "receipts", "The most receipts held for peers.";
    settle_interval_ms: u64 = 2_000, "milliseconds", "How often receipts are applied to the statements.";
    settle_shards: u32 = 1, "shards", "The number of settlement shards, the same on all instances.";
    segment_keep_ms: u64 = 600_000, "milliseconds", "How long settled receipts are kept for export.";
    learn_interval_ms: u64 = 500, "milliseconds", "How often answers are submitted for rating and ratings are read.";
    rollout_interval_ms: u64 = 500, "milliseconds", "How often roll-outs are evaluated.";
    metrics_addr: String = String::new(), "IP address and port", "The address where statsd metrics are sent over UDP; empty to send none.";
    log_format: String = "text".to_owned(), "'text' or 'json'", "The format of log lines.";
}

impl Layer {
    /// Parses the text of a settings file; `file` is only named in errors.
    ///
    /// # Errors
    ///
    /// Fails on an unknown key or an invalid value, with the line and what was expected.
    pub fn parse(file: &str, text: &str) -> Result<Layer, SettingsError> {
        toml::from_str(text).map_err(|err| {
            let start = err.span().map_or(0, |span| span.start);
            let line = text[..start.min(text.len())].matches('\n').count() + 1;
            let message = suggest_key(
                err.message(),
                text.get(err.span().unwrap_or_default()).unwrap_or_default(),
            );
            SettingsError {
                file: file.to_owned(),
                line,
                message,
            }
        })
    }

    /// Reads and parses a settings file.
    ///
    /// # Errors
    ///
    /// Fails as [`Layer::parse`] does, or when the file cannot be read.
    pub fn read(path: &Path) -> Result<Layer, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|err| SettingsError {
            file: file.clone(),
            line: 0,
            message: format!("cannot be read: {err}"),
        })?;
        Layer::parse(&file, &text)
    }
}

/// Replaces the message about an unknown key by one that suggests the nearest key.
fn suggest_key(message: &str, found: &str) -> String {
    if !message.starts_with("unknown field") {
        return message.to_owned();
    }
    match kernel::nearest(found.trim(), KEYS) {
        Some(near) => format!("unknown key '{}', did you mean '{near}'?", found.trim()),
        None => format!(
            "unknown key '{}', expected one of {}",
            found.trim(),
            KEYS.join(", ")
        ),
    }
}

/// A constraint on the value of a setting.
struct Constraint {
    key: &'static str,
    is_met: fn(&Settings) -> bool,
    expected: &'static str,
}

const CONSTRAINTS: &[Constraint] = &[
    Constraint {
        key: "name",
        is_met: |settings| !settings.name.is_empty(),
        expected: "a text that is not empty",
    },
    Constraint {
        key: "zone",
        is_met: |settings| !settings.zone.is_empty(),
        expected: "a text that is not empty",
    },
    Constraint {
        key: "traffic_threads",
        is_met: |settings| (1..=64).contains(&settings.traffic_threads),
        expected: "1 to 64",
    },
    Constraint {
        key: "max_held_bytes",
        // All connections and one body of the largest size fit.
        is_met: |settings| {
            let connections = settings.max_connections as u64 * web::CONNECTION_BYTES;
            settings.max_held_bytes / 2 >= connections.max(settings.max_body_bytes)
        },
        expected: "at least twice max_body_bytes, and 32 KiB for each of max_connections",
    },
    Constraint {
        key: "max_attempts",
        is_met: |settings| (1..=10).contains(&settings.max_attempts),
        expected: "1 to 10",
    },
    Constraint {
        key: "watchers",
        is_met: |settings| settings.watchers >= 1,
        expected: "1 or more",
    },
    Constraint {
        key: "settle_shards",
        is_met: |settings| settings.settle_shards >= 1,
        expected: "1 or more",
    },
    Constraint {
        key: "gossip_interval_ms",
        is_met: |settings| settings.gossip_interval_ms >= 50,
        expected: "50 milliseconds or more",
    },
    Constraint {
        key: "cut_off_ms",
        is_met: |settings| settings.cut_off_ms >= 2 * settings.gossip_interval_ms,
        expected: "at least twice gossip_interval_ms",
    },
    Constraint {
        key: "log_format",
        is_met: |settings| matches!(settings.log_format.as_str(), "text" | "json"),
        expected: "'text' or 'json'",
    },
];

impl Settings {
    /// Checks the constraints on all settings.
    ///
    /// # Errors
    ///
    /// Returns one message for each violated constraint, with the key and what was expected.
    pub fn check(&self) -> Result<(), Vec<String>> {
        let violated = CONSTRAINTS
            .iter()
            .filter(|constraint| !(constraint.is_met)(self));
        let faults: Vec<String> = violated
            .map(|constraint| format!("{}: expected {}", constraint.key, constraint.expected))
            .collect();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }
}
