//! The settings of an entry instance.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

/// One row of the reference of settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingDoc {
    /// The key.
    pub key: &'static str,
    /// The default, as TOML.
    pub default: String,
    /// The unit.
    pub unit: &'static str,
    /// What it does.
    pub description: &'static str,
}

/// Why settings are refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 when none applies.
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
        /// The settings in force.
        #[derive(Debug, Clone, PartialEq, Serialize)]
        pub struct Settings {
            $(#[doc = $description] pub $key: $type,)*
        }

        /// The settings that one file or the command line gives.
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
            /// Lays settings over these.
            pub fn overlay(mut self, layer: Layer) -> Settings {
                $(if let Some(value) = layer.$key {
                    self.$key = value;
                })*
                self
            }

            /// Returns the reference of all settings.
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
    listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7001)), "IP address and port", "Where callers connect.";
    peer_listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7501)), "IP address and port", "Where other instances connect.";
    peers: Vec<SocketAddr> = Vec::new(), "IP addresses and ports", "Instances to join before the platform's list is read.";
    platform: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7100)), "IP address and port", "The platform's services.";
    platform_timeout_ms: u64 = 2_000, "milliseconds", "How long a platform call may take.";
    platform_reads_per_s: f64 = 20.0, "calls per second", "The budget of platform reads, waiting watches included.";
    platform_writes_per_s: f64 = 20.0, "calls per second", "The budget of platform writes.";
    traffic_threads: usize = 2, "threads", "Threads that serve callers.";
    max_connections: usize = 4_096, "connections", "The most connections from callers.";
    max_body_bytes: u64 = 4 << 20, "bytes", "The largest request body.";
    max_answer_bytes: u64 = 16 << 20, "bytes", "The largest answer that is read whole.";
    idle_timeout_ms: u64 = 60_000, "milliseconds", "How long a caller's connection may wait for a request.";
    body_timeout_ms: u64 = 10_000, "milliseconds", "How long a request body may take.";
    write_timeout_ms: u64 = 20_000, "milliseconds", "How long a caller may accept no byte of its answer.";
    connect_timeout_ms: u64 = 500, "milliseconds", "How long connecting to an endpoint may take.";
    head_timeout_ms: u64 = 60_000, "milliseconds", "How long an endpoint may take to begin its answer.";
    max_attempts: u32 = 3, "attempts", "The most endpoints that one call is tried at.";
    endpoint_subset: usize = 0, "endpoints", "The most endpoints of a pool that this instance uses; 0 for all.";
    address_lifetime_ms: u64 = 10_000, "milliseconds", "How long callers may keep an address answer.";
    id_lifetime_ms: u64 = 600_000, "milliseconds", "How long a request identifier may be used after its prefix was issued.";
    answer_keep_ms: u64 = 120_000, "milliseconds", "How long the answer to a keyed request is kept.";
    max_keyed_requests: usize = 100_000, "requests", "The most keyed requests remembered.";
    max_kept_bytes: usize = 32 << 20, "bytes", "The most memory for kept answers.";
    session_lifetime_ms: u64 = 3_600_000, "milliseconds", "How long a session lasts.";
    gossip_interval_ms: u64 = 1_000, "milliseconds", "How often a peer is probed.";
    gossip_timeout_ms: u64 = 500, "milliseconds", "How long a probe may take.";
    suspect_ms: u64 = 3_000, "milliseconds", "How long a suspect instance has to answer.";
    watchers: usize = 6, "instances", "How many instances hold watches and read the platform's list.";
    watch_wait_ms: u64 = 10_000, "milliseconds", "How long one watch waits.";
    list_interval_ms: u64 = 2_000, "milliseconds", "How often the platform's list is read.";
    cut_off_ms: u64 = 10_000, "milliseconds", "After how long with no word from the store or any peer the instance takes no new work.";
    receipt_hold_timeout_ms: u64 = 150, "milliseconds", "How long a peer may take to hold receipts.";
    receipt_flush_ms: u64 = 1_000, "milliseconds", "How often receipts are saved.";
    max_held_receipts: usize = 200_000, "receipts", "The most receipts held for peers.";
    settle_interval_ms: u64 = 2_000, "milliseconds", "How often receipts are settled.";
    settle_shards: u32 = 1, "shards", "Shards of settlement, the same on all instances.";
    segment_keep_ms: u64 = 600_000, "milliseconds", "How long settled receipts are kept for export.";
    learn_interval_ms: u64 = 500, "milliseconds", "How often answers are handed in for rating and ratings are asked for.";
    rollout_interval_ms: u64 = 500, "milliseconds", "How often roll-outs are looked at.";
    metrics_addr: String = String::new(), "IP address and port", "Where statsd metrics go over UDP; empty for nowhere.";
    log_format: String = "text".to_owned(), "'text' or 'json'", "The format of log lines.";
}

impl Layer {
    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// Fails with file, line and what was expected.
    pub fn parse(file: &str, text: &str) -> Result<Layer, SettingsError> {
        toml::from_str(text).map_err(|err| {
            let start = err.span().map_or(0, |span| span.start);
            let line = text[..start.min(text.len())].matches('\n').count() + 1;
            let message = explain(
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

    /// Reads a file.
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

/// Adds the nearest key to the message about an unknown one.
fn explain(message: &str, found: &str) -> String {
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

/// A bound that a setting must keep.
struct Bound {
    key: &'static str,
    holds: fn(&Settings) -> bool,
    expected: &'static str,
}

const BOUNDS: &[Bound] = &[
    Bound {
        key: "name",
        holds: |settings| !settings.name.is_empty(),
        expected: "a text that is not empty",
    },
    Bound {
        key: "zone",
        holds: |settings| !settings.zone.is_empty(),
        expected: "a text that is not empty",
    },
    Bound {
        key: "traffic_threads",
        holds: |settings| (1..=64).contains(&settings.traffic_threads),
        expected: "1 to 64",
    },
    Bound {
        key: "max_attempts",
        holds: |settings| (1..=10).contains(&settings.max_attempts),
        expected: "1 to 10",
    },
    Bound {
        key: "watchers",
        holds: |settings| settings.watchers >= 1,
        expected: "1 or more",
    },
    Bound {
        key: "settle_shards",
        holds: |settings| settings.settle_shards >= 1,
        expected: "1 or more",
    },
    Bound {
        key: "gossip_interval_ms",
        holds: |settings| settings.gossip_interval_ms >= 50,
        expected: "50 milliseconds or more",
    },
    Bound {
        key: "cut_off_ms",
        holds: |settings| settings.cut_off_ms >= 2 * settings.gossip_interval_ms,
        expected: "at least twice gossip_interval_ms",
    },
    Bound {
        key: "log_format",
        holds: |settings| matches!(settings.log_format.as_str(), "text" | "json"),
        expected: "'text' or 'json'",
    },
];

impl Settings {
    /// Checks the bounds of all settings.
    ///
    /// # Errors
    ///
    /// Returns every fault, as key and what was expected.
    pub fn check(&self) -> Result<(), Vec<String>> {
        let broken = BOUNDS.iter().filter(|bound| !(bound.holds)(self));
        let faults: Vec<String> = broken
            .map(|bound| format!("{}: expected {}", bound.key, bound.expected))
            .collect();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }
}
