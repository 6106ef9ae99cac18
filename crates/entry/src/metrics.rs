//! Metrics over statsd.

use std::net::UdpSocket;

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};

/// The description of one metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// The name, without the prefix `rosemary`.
    pub name: &'static str,
    /// The unit of its values.
    pub unit: &'static str,
    /// What it measures, as one sentence.
    pub description: &'static str,
}

/// All metrics that an instance sends.
pub const METRICS: &[Metric] = &[
    Metric {
        name: "request.answered",
        unit: "requests",
        description: "Requests answered completely.",
    },
    Metric {
        name: "request.not-run",
        unit: "requests",
        description: "Requests refused or failed without being executed.",
    },
    Metric {
        name: "request.may-have-run",
        unit: "requests",
        description: "Failed requests that may have been executed.",
    },
    Metric {
        name: "request.total",
        unit: "milliseconds",
        description: "Time to the complete answer.",
    },
    Metric {
        name: "request.first-token",
        unit: "milliseconds",
        description: "Time to the first token.",
    },
    Metric {
        name: "receipt.undurable",
        unit: "receipts",
        description: "Receipts that neither a peer nor the store confirmed in time.",
    },
    Metric {
        name: "receipt.unsaved",
        unit: "receipts",
        description: "Own receipts not yet written to the object API.",
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
        description: "Platform reads since the instance started.",
    },
    Metric {
        name: "platform.writes",
        unit: "calls",
        description: "Platform writes since the instance started.",
    },
    Metric {
        name: "platform.refused",
        unit: "calls",
        description: "Platform calls not made because the rate limit was reached.",
    },
    Metric {
        name: "connection.held",
        unit: "bytes",
        description: "Memory that callers' connections hold.",
    },
    Metric {
        name: "connection.closed",
        unit: "connections",
        description: "Idle connections closed for lack of capacity since the instance started.",
    },
    Metric {
        name: "connection.refused",
        unit: "connections and requests",
        description: "Connections and requests refused for lack of capacity since the instance started.",
    },
];

/// The prefix of all metric names.
const PREFIX: &str = "rosemary";

/// The most metrics that wait to be sent.
const QUEUE_CAPACITY: usize = 4096;

/// A statsd client; drops all metrics when no address is set.
pub(crate) struct Metrics {
    client: StatsdClient,
    enabled: bool,
}

impl Metrics {
    /// Creates a client that sends to `addr`, or to nowhere when it is empty or cannot be used.
    pub(crate) fn new(addr: &str) -> Metrics {
        let sink = UdpSocket::bind(("0.0.0.0", 0)).ok().and_then(|socket| {
            drop(socket.set_nonblocking(true));
            UdpMetricSink::from(addr, socket).ok()
        });
        match sink {
            Some(sink) if !addr.is_empty() => {
                let queue = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
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

    /// Increments a counter by one.
    pub(crate) fn count(&self, name: &str) {
        if self.enabled {
            drop(self.client.count(name, 1));
        }
    }

    /// Records a duration.
    pub(crate) fn time(&self, name: &str, elapsed_ms: u64) {
        if self.enabled {
            drop(self.client.time(name, elapsed_ms));
        }
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&self, name: &str, value: u64) {
        if self.enabled {
            drop(self.client.gauge(name, value));
        }
    }
}
