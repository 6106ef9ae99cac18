//! Tables over the events of one or more logs.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::Serialize;

use crate::logs::distribution::Distribution;
use crate::logs::line::{EventKind, FirstEvent, LogEvent};

/// Number of ranges into which confidences are divided.
const TENTHS: usize = 10;

/// What the logs of instances say about waits, escalations and endpoints.
#[derive(Debug, Serialize)]
pub struct LogReport {
    /// Length of an interval, in milliseconds.
    pub interval_ms: u64,
    /// The intervals in order, without those in which nothing was logged.
    pub intervals: Vec<IntervalRow>,
    /// The model sizes, smallest first.
    pub sizes: Vec<SizeRow>,
    /// The confidences of all sizes by tenth.
    pub tenths: Vec<TenthRow>,
    /// The endpoints by name.
    pub endpoints: Vec<EndpointRow>,
    /// The routes with each outcome of their requests.
    pub routes: Vec<RouteRow>,
}

/// Waits of one interval.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct IntervalRow {
    /// Begin of the interval after the first event, in milliseconds.
    pub start_ms: u64,
    /// Runs that sent a first event.
    pub runs: u64,
    /// Share of these runs that were escalations.
    pub escalated_share: f64,
    /// Mean wait of the requests as a share of their objective, as the instances knew it.
    pub wait_share: f64,
    /// Median of the wait before the first event, in milliseconds.
    pub wait_p50_ms: u64,
    /// 90th percentile of the wait before the first event, in milliseconds.
    pub wait_p90_ms: u64,
    /// 90th percentile of the wait by model size, in milliseconds.
    pub size_wait_p90_ms: Vec<u64>,
    /// Prompt tokens that no other request shares.
    pub new_tokens: u64,
    /// Prompt tokens that other requests share, which an endpoint may have cached.
    pub shared_tokens: u64,
    /// Sends without a usable response.
    pub no_answers: u64,
    /// Requests that ended otherwise than answered.
    pub failed: u64,
}

/// Runs of one model size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SizeRow {
    /// Index of the size, where 0 is the smallest.
    pub size: usize,
    /// Runs that sent a first event.
    pub runs: u64,
    /// Share of the runs that were escalations from another size.
    pub escalated_share: f64,
    /// Share of the runs after which another size ran.
    pub unsure_share: f64,
    /// Median of the time to the first event, in milliseconds.
    pub first_p50_ms: u64,
    /// 90th percentile of the time to the first event, in milliseconds.
    pub first_p90_ms: u64,
    /// Mean time expected for reading the prompt, in milliseconds.
    pub reading_ms: f64,
    /// Mean tokens of a prompt.
    pub prompt_tokens: f64,
    /// Mean tokens of a prompt that no other request shares.
    pub new_tokens: f64,
}

/// Runs of one size whose confidence is in one tenth of the range.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TenthRow {
    /// Index of the size, where 0 is the smallest.
    pub size: usize,
    /// Lowest confidence of the tenth.
    pub from: usize,
    /// Runs that sent a first event.
    pub runs: u64,
    /// Share of the runs after which another size ran.
    pub escalated_share: f64,
}

/// Runs at one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EndpointRow {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Runs that sent a first event.
    pub runs: u64,
    /// Mean load when the response started, as the sending instance knew it, in requests.
    pub load: f64,
    /// 90th percentile of the wait before the first event, in milliseconds.
    pub wait_p90_ms: u64,
    /// Sends without a usable response.
    pub no_answers: u64,
}

/// Requests of one route that ended in one way.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouteRow {
    /// Name of the route; empty if it is not known.
    pub route: Arc<str>,
    /// "answered", or why the requests were not.
    pub outcome: Arc<str>,
    /// Number of the requests.
    pub requests: u64,
    /// Median of their duration, in milliseconds.
    pub p50_ms: u64,
    /// 90th percentile of their duration, in milliseconds.
    pub p90_ms: u64,
}

/// Failures of one interval.
#[derive(Default)]
struct FailureCounts {
    /// Sends without a usable response.
    no_answers: u64,
    /// Requests that ended otherwise than answered.
    failed: u64,
}

impl FailureCounts {
    fn record(&mut self, kind: &EventKind) {
        match kind {
            EventKind::NoAnswer { .. } => self.no_answers += 1,
            EventKind::Ended(ended) if &*ended.outcome != "answered" => self.failed += 1,
            EventKind::Ended(_) | EventKind::FirstEvent(_) => {}
        }
    }
}

/// A run with what its request did before and after it.
struct Run<'a> {
    at_ms: f64,
    first: &'a FirstEvent,
    is_escalated: bool,
    is_followed: bool,
}

impl Run<'_> {
    fn wait_ms(&self) -> f64 {
        self.first.first_ms - self.first.reading_ms
    }
}

impl LogReport {
    /// Builds the report from events in any order.
    pub fn build(events: &[LogEvent], interval_ms: u64) -> LogReport {
        let interval_ms = interval_ms.max(1);
        let runs = runs(events);
        LogReport {
            interval_ms,
            intervals: intervals(events, &runs, interval_ms),
            sizes: sizes(&runs),
            tenths: tenths(&runs),
            endpoints: endpoints(events, &runs),
            routes: routes(events),
        }
    }
}

/// Returns the runs of all requests, those of each request in order.
fn runs(events: &[LogEvent]) -> Vec<Run<'_>> {
    let mut by_request: HashMap<&str, Vec<Run<'_>>> = HashMap::new();
    for event in events {
        let EventKind::FirstEvent(first) = &event.kind else {
            continue;
        };
        by_request.entry(&event.request).or_default().push(Run {
            at_ms: event.at_ms,
            first,
            is_escalated: false,
            is_followed: false,
        });
    }
    let mut found = Vec::new();
    for mut runs in by_request.into_values() {
        runs.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        let last = runs.len() - 1;
        for (index, run) in runs.iter_mut().enumerate() {
            run.is_escalated = index > 0;
            run.is_followed = index < last;
        }
        found.extend(runs);
    }
    found
}

fn intervals(events: &[LogEvent], runs: &[Run<'_>], interval_ms: u64) -> Vec<IntervalRow> {
    let start_ms = events.iter().map(|event| event.at_ms);
    let start_ms = start_ms.fold(f64::INFINITY, f64::min);
    let index_of = |at_ms: f64| ((at_ms - start_ms) / interval_ms as f64) as u64;
    let sizes = runs.iter().map(|run| run.first.size + 1).max();
    let mut runs_of: BTreeMap<u64, Vec<&Run<'_>>> = BTreeMap::new();
    let mut failures_of: BTreeMap<u64, FailureCounts> = BTreeMap::new();
    for run in runs {
        runs_of.entry(index_of(run.at_ms)).or_default().push(run);
    }
    for event in events {
        let failures = failures_of.entry(index_of(event.at_ms)).or_default();
        failures.record(&event.kind);
    }
    let mut rows = Vec::new();
    for (index, failures) in failures_of {
        let runs = runs_of.remove(&index).unwrap_or_default();
        let mut row = interval_row(&runs, sizes.unwrap_or_default());
        row.start_ms = index * interval_ms;
        row.no_answers = failures.no_answers;
        row.failed = failures.failed;
        rows.push(row);
    }
    rows
}

/// Returns the row of an interval, without its start and failures.
fn interval_row(runs: &[&Run<'_>], sizes: usize) -> IntervalRow {
    let mut waits = Distribution::default();
    let mut size_waits: Vec<Distribution> = Vec::new();
    size_waits.resize_with(sizes, Distribution::default);
    for run in runs {
        waits.record(run.wait_ms());
        size_waits[run.first.size].record(run.wait_ms());
    }
    let p90 = |waits: &Distribution| waits.quantile_ms(0.9);
    let prompt_tokens: u64 = runs.iter().map(|run| run.first.prompt_tokens).sum();
    let new_tokens: u64 = runs.iter().map(|run| run.first.new_tokens).sum();
    IntervalRow {
        start_ms: 0,
        runs: waits.count(),
        escalated_share: share(runs, |run| run.is_escalated),
        wait_share: mean(runs, |run| run.first.wait_share),
        wait_p50_ms: waits.quantile_ms(0.5),
        wait_p90_ms: p90(&waits),
        size_wait_p90_ms: size_waits.iter().map(p90).collect(),
        new_tokens,
        shared_tokens: prompt_tokens.saturating_sub(new_tokens),
        no_answers: 0,
        failed: 0,
    }
}

fn sizes(runs: &[Run<'_>]) -> Vec<SizeRow> {
    let mut by_size: BTreeMap<usize, Vec<&Run<'_>>> = BTreeMap::new();
    for run in runs {
        by_size.entry(run.first.size).or_default().push(run);
    }
    let mut rows = Vec::new();
    for (size, runs) in by_size {
        let mut firsts = Distribution::default();
        for run in &runs {
            firsts.record(run.first.first_ms);
        }
        rows.push(SizeRow {
            size,
            runs: firsts.count(),
            escalated_share: share(&runs, |run| run.is_escalated),
            unsure_share: share(&runs, |run| run.is_followed),
            first_p50_ms: firsts.quantile_ms(0.5),
            first_p90_ms: firsts.quantile_ms(0.9),
            reading_ms: mean(&runs, |run| run.first.reading_ms),
            prompt_tokens: mean(&runs, |run| run.first.prompt_tokens as f64),
            new_tokens: mean(&runs, |run| run.first.new_tokens as f64),
        });
    }
    rows
}

fn tenths(runs: &[Run<'_>]) -> Vec<TenthRow> {
    let mut by_tenth: BTreeMap<(usize, usize), Vec<&Run<'_>>> = BTreeMap::new();
    for run in runs {
        let Some(confidence) = run.first.confidence else {
            continue;
        };
        let tenth = (usize::from(confidence) / TENTHS).min(TENTHS - 1);
        let key = (run.first.size, tenth);
        by_tenth.entry(key).or_default().push(run);
    }
    let mut rows = Vec::new();
    for ((size, tenth), runs) in by_tenth {
        rows.push(TenthRow {
            size,
            from: tenth * TENTHS,
            runs: runs.len() as u64,
            escalated_share: share(&runs, |run| run.is_followed),
        });
    }
    rows
}

fn endpoints(events: &[LogEvent], runs: &[Run<'_>]) -> Vec<EndpointRow> {
    let mut runs_of: BTreeMap<Arc<str>, Vec<&Run<'_>>> = BTreeMap::new();
    let mut no_answers_of: HashMap<Arc<str>, u64> = HashMap::new();
    for run in runs {
        let runs = runs_of.entry(run.first.endpoint.clone()).or_default();
        runs.push(run);
    }
    for event in events {
        if let EventKind::NoAnswer { endpoint, .. } = &event.kind {
            runs_of.entry(endpoint.clone()).or_default();
            *no_answers_of.entry(endpoint.clone()).or_default() += 1;
        }
    }
    let mut rows = Vec::new();
    for (endpoint, runs) in runs_of {
        let mut waits = Distribution::default();
        for run in &runs {
            waits.record(run.wait_ms());
        }
        rows.push(EndpointRow {
            runs: waits.count(),
            load: mean(&runs, |run| run.first.load),
            wait_p90_ms: waits.quantile_ms(0.9),
            no_answers: no_answers_of.get(&endpoint).copied().unwrap_or_default(),
            endpoint,
        });
    }
    rows
}

fn routes(events: &[LogEvent]) -> Vec<RouteRow> {
    let mut by_outcome: BTreeMap<(Arc<str>, Arc<str>), Distribution> = BTreeMap::new();
    for event in events {
        if let EventKind::Ended(ended) = &event.kind {
            let key = (ended.route.clone(), ended.outcome.clone());
            by_outcome.entry(key).or_default().record(ended.elapsed_ms);
        }
    }
    let mut rows = Vec::new();
    for ((route, outcome), durations) in by_outcome {
        rows.push(RouteRow {
            route,
            outcome,
            requests: durations.count(),
            p50_ms: durations.quantile_ms(0.5),
            p90_ms: durations.quantile_ms(0.9),
        });
    }
    rows
}

/// Returns the mean of a value over runs, 0 without any.
fn mean(runs: &[&Run<'_>], value: impl Fn(&Run<'_>) -> f64) -> f64 {
    let mut sum = 0.0;
    for run in runs {
        sum += value(run);
    }
    sum / runs.len().max(1) as f64
}

/// Returns the share of the runs for which a condition holds, 0 without any.
fn share(runs: &[&Run<'_>], holds: impl Fn(&Run<'_>) -> bool) -> f64 {
    mean(runs, |run| f64::from(u8::from(holds(run))))
}
