//! Latency and throughput of the request path, compared with direct calls to the endpoint and with
//! a minimal pass-through proxy.
//!
//! Two entry instances run as processes with one traffic thread each. The load goes to the first;
//! the second holds its receipts.

mod endpoint;
mod load;
mod passthrough;
mod testbed;

use std::time::Duration;

use load::{Shape, Summary};
use serde_json::json;
use testbed::Testbed;

/// The duration of one measurement.
const MEASUREMENT: Duration = Duration::from_millis(1_000);

/// The number of rounds, each of which measures all targets in turn.
const ROUNDS: usize = 5;

/// The number of open streams when memory per stream is measured.
const OPEN_STREAMS: usize = 1_000;

/// The measurements of all targets in one round.
struct Round {
    direct: Summary,
    passthrough: Summary,
    entry: Summary,
}

fn main() {
    let json_only = std::env::args().any(|arg| arg == "--json");
    let testbed = Testbed::start();
    let plain = [
        measure_rounds(&testbed, Shape::Plain, 2),
        measure_rounds(&testbed, Shape::Plain, 64),
    ];
    let single = measure_rounds(&testbed, Shape::Plain, 1);
    let streams = measure_rounds(&testbed, Shape::Stream, 1);
    let stream_kb = testbed.stream_kb(OPEN_STREAMS);
    if !json_only {
        for (name, rounds) in [
            ("plain, 2 connections", &plain[0]),
            ("plain, 64", &plain[1]),
        ] {
            print_rounds(name, rounds);
        }
        print_rounds("plain, 1 connection", &single);
        print_rounds("first token, 1 connection", &streams);
    }
    let share = |rounds: &[Round]| {
        median(
            rounds
                .iter()
                .map(|round| round.entry.per_s / round.passthrough.per_s),
        )
    };
    let added = |rounds: &[Round], quantile: fn(&Summary) -> f64| {
        median(rounds.iter().map(|round| {
            let base = quantile(&round.direct);
            (quantile(&round.entry) - base) / (quantile(&round.passthrough) - base).max(0.001)
        }))
    };
    let p50 = |summary: &Summary| summary.p50_ms;
    let p99 = |summary: &Summary| summary.p99_ms;
    let figures = json!({
        "throughput_share": share(&plain[1]),
        "throughput_share_2": share(&plain[0]),
        "added_p50_ratio": added(&single, p50),
        "added_p99_ratio": added(&single, p99),
        "added_first_token_p50_ratio": added(&streams, p50),
        "added_first_token_p99_ratio": added(&streams, p99),
        "entry_per_s": median(plain[1].iter().map(|round| round.entry.per_s)),
        "passthrough_per_s": median(plain[1].iter().map(|round| round.passthrough.per_s)),
        "added_p50_ms": median(single.iter().map(|round| round.entry.p50_ms - round.direct.p50_ms)),
        "stream_kb": stream_kb,
    });
    println!("{figures}");
}

fn measure_rounds(testbed: &Testbed, shape: Shape, connections: usize) -> Vec<Round> {
    let mut rounds = Vec::new();
    for _ in 0..ROUNDS {
        rounds.push(Round {
            direct: load::run(testbed.endpoint, shape, connections, MEASUREMENT),
            passthrough: load::run(testbed.passthrough, shape, connections, MEASUREMENT),
            entry: load::run(testbed.entry, shape, connections, MEASUREMENT),
        });
    }
    rounds
}

fn print_rounds(name: &str, rounds: &[Round]) {
    println!("{name}");
    for (label, pick) in [
        ("direct", (|round| &round.direct) as fn(&Round) -> &Summary),
        ("pass-through", |round| &round.passthrough),
        ("entry", |round| &round.entry),
    ] {
        println!(
            "  {label:<13} {:>8.0}/s  p50 {:>7.3} ms  p99 {:>7.3} ms",
            median(rounds.iter().map(|round| pick(round).per_s)),
            median(rounds.iter().map(|round| pick(round).p50_ms)),
            median(rounds.iter().map(|round| pick(round).p99_ms)),
        );
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
