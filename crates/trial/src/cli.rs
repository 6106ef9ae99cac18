//! The command line of `rosemary-try`.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use serde_json::json;
use smol::Executor;

use crate::audit::Audit;
use crate::cluster::TestCluster;
use crate::deployment::Deployment;
use crate::record::{CallOutcome, CallRecord};
use crate::traffic::{TrafficMix, random_call};

/// Number of entry instances.
const INSTANCES: usize = 3;

/// Number of concurrent calls.
const CALLERS: usize = 16;

/// Millionths in one currency unit.
const MICROS_PER_UNIT: f64 = 1e6;

/// Start three entry instances with fake backends, send calls to them and audit the outcomes.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Sample deployment: shrestha or authority.
    #[bpaf(argument("NAME"), fallback(Deployment::Shrestha))]
    pub deployment: Deployment,
    /// Number of calls.
    #[bpaf(argument("N"), fallback(300), display_fallback)]
    pub calls: usize,
    /// Seed of the random calls.
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Time per generated token or service call, in milliseconds.
    #[bpaf(argument("MS"), fallback(2), display_fallback)]
    pub token_ms: u64,
    /// Print the summary as one JSON object only.
    pub json: bool,
}

/// Runs the quick start, prints the report and returns success if the audit found no violation.
///
/// # Errors
///
/// Fails when the cluster cannot start.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let cluster = TestCluster::start(args.deployment, INSTANCES, args.token_ms)?;
    let records = smol::block_on(make_calls(&cluster, args));
    let answered = records
        .iter()
        .filter(|record| record.outcome == CallOutcome::Answered)
        .count();
    let billing = cluster.wait_for_billing(answered);
    let audit = Audit::check(&records, &cluster.runs().all(), &billing);
    if args.json {
        println!("{}", summary(&audit, &records));
    } else {
        print_report(args, &records, &audit);
        println!("{}", summary(&audit, &records));
    }
    for violation in &audit.violations {
        eprintln!("fault: {violation}");
    }
    Ok(if audit.is_clean() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn make_calls(cluster: &TestCluster, args: &Args) -> Vec<CallRecord> {
    let zones = args.deployment.zones();
    let callers: Vec<_> = zones
        .iter()
        .map(|zone| Arc::new(cluster.caller(zone)))
        .collect();
    let mut random = fastrand::Rng::with_seed(args.seed);
    let executor = Executor::new();
    let (sender, receiver) = smol::channel::bounded(CALLERS);
    let mut tasks = Vec::new();
    for index in 0..CALLERS {
        let caller = callers[index % callers.len()].clone();
        let receiver = receiver.clone();
        tasks.push(executor.spawn(async move {
            let mut records = Vec::new();
            while let Ok(spec) = receiver.recv().await {
                records.push(caller.call(spec).await);
            }
            records
        }));
    }
    let send_all = async {
        for _ in 0..args.calls {
            let _ = sender
                .send(random_call(
                    args.deployment,
                    TrafficMix::default(),
                    &mut random,
                ))
                .await;
        }
        sender.close();
        let mut records = Vec::new();
        for task in tasks {
            records.extend(task.await);
        }
        records
    };
    executor.run(send_all).await
}

fn quantile_ms(records: &[CallRecord], quantile: f64) -> f64 {
    let mut histogram =
        Histogram::<u64>::new(3).unwrap_or_else(|_| unreachable!("3 digits are allowed"));
    for record in records {
        let _ = histogram.record((record.elapsed_ms * 1000.0) as u64);
    }
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

fn summary(audit: &Audit, records: &[CallRecord]) -> serde_json::Value {
    json!({
        "calls": audit.calls,
        "answered": audit.answered,
        "refused_not_run": audit.refused_not_run,
        "may_have_run": audit.may_have_run,
        "lost": audit.lost,
        "wrong": audit.wrong,
        "doubled": audit.duplicated,
        "refused_but_ran": audit.refused_but_ran,
        "billed_other_than_once": audit.billed_other_than_once,
        "cost": audit.cost_micros as f64 / MICROS_PER_UNIT,
        "p50_ms": quantile_ms(records, 0.5),
        "p99_ms": quantile_ms(records, 0.99),
    })
}

fn print_report(args: &Args, records: &[CallRecord], audit: &Audit) {
    println!(
        "{:?}: {} calls over {INSTANCES} entry instances, seed {}\n",
        args.deployment, args.calls, args.seed
    );
    let mut rows: BTreeMap<(String, String), Vec<&CallRecord>> = BTreeMap::new();
    for record in records {
        let row = (record.version.clone(), record.instance.clone());
        rows.entry(row).or_default().push(record);
    }
    println!(
        "{:<16} {:<18} {:>6} {:>9} {:>9}",
        "version", "instance", "calls", "p50 ms", "p99 ms"
    );
    for ((version, instance), records) in rows {
        let records: Vec<CallRecord> = records.into_iter().cloned().collect();
        let (p50, p99) = (quantile_ms(&records, 0.5), quantile_ms(&records, 0.99));
        let version = if version.is_empty() {
            "(refused)"
        } else {
            &version
        };
        println!(
            "{version:<16} {instance:<18} {:>6} {p50:>9.2} {p99:>9.2}",
            records.len()
        );
    }
    println!();
    println!(
        "answered {}, refused as not run {}, in doubt {}",
        audit.answered, audit.refused_not_run, audit.may_have_run
    );
    println!(
        "lost {}, doubled {}, billed other than once {}",
        audit.lost, audit.duplicated, audit.billed_other_than_once
    );
    println!(
        "cost {:.6}, statements and receipts agree: {}\n",
        audit.cost_micros as f64 / MICROS_PER_UNIT,
        audit.balanced
    );
}
