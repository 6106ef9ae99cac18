//! Metrics over statsd.

use std::net::UdpSocket;

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};

/// One row of the table of metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// The name, below the prefix `rosemary`.
    pub name: &'static str,
    /// The unit.
    pub unit: &'static str,
    /// What it counts.
    pub description: &'static str,
}

/// All metrics.
pub const METRICS: &[Metric] = &[
    Metric {
        name: "request.answered",
        unit: "requests",
        description: "Requests that got their whole answer.",
    },
    Metric {
        name: "request.not-run",
        unit: "requests",
        description: "Requests refused or failed that did not run.",
    },
    Metric {
        name: "request.may-have-run",
        unit: "requests",
        description: "Requests failed that may have run.",
    },
    Metric {
        name: "request.total",
        unit: "milliseconds",
        description: "Time to the whole answer.",
    },
    Metric {
        name: "request.first-token",
        unit: "milliseconds",
        description: "Time to the first token.",
    },
    Metric {
        name: "receipt.undurable",
        unit: "receipts",
        description: "Receipts that neither a peer nor the store held in time.",
    },
    Metric {
        name: "receipt.unsaved",
        unit: "receipts",
        description: "Own receipts not yet in the object API.",
    },
    Metric {
        name: "receipt.held",
        unit: "receipts",
        description: "Receipts held for peers.",
    },
    Metric {
        name: "config.revision",
        unit: "revision",
        description: "The revision of the configuration in force.",
    },
    Metric {
        name: "member.live",
        unit: "instances",
        description: "Live entry instances.",
    },
    Metric {
        name: "platform.reads",
        unit: "calls",
        description: "Platform reads since the start.",
    },
    Metric {
        name: "platform.writes",
        unit: "calls",
        description: "Platform writes since the start.",
    },
    Metric {
        name: "platform.refused",
        unit: "calls",
        description: "Platform calls not made for lack of budget.",
    },
];

/// The prefix of all names.
const PREFIX: &str = "rosemary";

/// The most metrics that wait to be sent.
const QUEUE: usize = 4096;

/// Sends metrics, or drops them when no address is set.
pub(crate) struct Metrics {
    client: StatsdClient,
    enabled: bool,
}

impl Metrics {
    /// Makes a sender to an address.
    pub(crate) fn new(addr: &str) -> Metrics {
        let sink = UdpSocket::bind(("0.0.0.0", 0)).ok().and_then(|socket| {
            drop(socket.set_nonblocking(true));
            UdpMetricSink::from(addr, socket).ok()
        });
        match sink {
            Some(sink) if !addr.is_empty() => {
                let queue = QueuingMetricSink::with_capacity(sink, QUEUE);
                Metrics {
                    client: StatsdClient::from_sink(PREFIX, queue),
                    enabled: true,
                }
            }
            _ => Metrics {
                client: StatsdClient::from_sink(PREFIX, NopMetricSink),
                enabled: false,
            },
        }
    }

    /// Counts one.
    pub(crate) fn count(&self, name: &str) {
        if self.enabled {
            drop(self.client.count(name, 1));
        }
    }

    /// Notes a time, in milliseconds.
    pub(crate) fn time(&self, name: &str, elapsed_ms: u64) {
        if self.enabled {
            drop(self.client.time(name, elapsed_ms));
        }
    }

    /// Notes a level.
    pub(crate) fn gauge(&self, name: &str, value: u64) {
        if self.enabled {
            drop(self.client.gauge(name, value));
        }
    }
}
