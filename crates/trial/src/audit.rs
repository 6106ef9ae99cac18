//! Audits what callers received against what endpoints executed and what was billed.

use std::collections::{BTreeMap, HashMap, HashSet};

use fakes::{ObjectStore, Run};
use kernel::Verdict;
use receipt::{Receipt, Segment, Statement, Totals};

use crate::record::{CallOutcome, CallRecord};

/// Receipts and statements in the object API.
#[derive(Debug, Default)]
pub struct BillingRecords {
    /// Receipts, without duplicates.
    pub receipts: Vec<Receipt>,
    /// Sums of the statements, by workspace.
    pub totals: BTreeMap<String, Totals>,
}

impl BillingRecords {
    /// Reads the receipts and statements from an object store.
    pub fn read(objects: &ObjectStore) -> BillingRecords {
        let mut billing = BillingRecords::default();
        let mut seen = HashSet::new();
        for object in objects.list("receipts/").objects {
            let segment: Option<Segment> = object
                .value
                .and_then(|value| serde_json::from_value(value).ok());
            for receipt in segment.into_iter().flat_map(|segment| segment.receipts) {
                if seen.insert((receipt.home, receipt.workspace.clone(), receipt.number)) {
                    billing.receipts.push(receipt);
                }
            }
        }
        for object in objects.list("statements/").objects {
            let workspace = object.path.split('/').nth(1).unwrap_or_default().to_owned();
            let statement: Option<Statement> = object
                .value
                .and_then(|value| serde_json::from_value(value).ok());
            let totals = statement
                .map(|statement| statement.totals)
                .unwrap_or_default();
            let sum = billing.totals.entry(workspace).or_default();
            sum.requests += totals.requests;
            sum.cost_micros += totals.cost_micros;
        }
        billing
    }

    /// Returns whether the statements equal the sums of the receipts.
    pub fn is_balanced(&self) -> bool {
        let mut sums: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for receipt in &self.receipts {
            let sum = sums.entry(receipt.workspace.to_string()).or_default();
            sum.0 += 1;
            sum.1 += receipt.usage.cost_micros;
        }
        let settled = self
            .totals
            .iter()
            .map(|(name, totals)| (name.clone(), (totals.requests, totals.cost_micros)));
        sums == settled.filter(|(_, sum)| sum.0 > 0).collect()
    }
}

/// The result of an audit.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Audit {
    /// Calls audited.
    pub calls: usize,
    /// Calls that received their complete answer.
    pub answered: usize,
    /// Calls that failed as not run.
    pub refused_not_run: usize,
    /// Calls that failed and may have run.
    pub may_have_run: usize,
    /// Calls without a final answer.
    pub lost: usize,
    /// Calls that received a truncated answer or that of another request as complete.
    pub wrong: usize,
    /// Non-idempotent calls that ran more than once.
    pub duplicated: usize,
    /// Keyed calls that failed as not run although they ran.
    pub refused_but_ran: usize,
    /// Answered keyed calls without exactly one receipt, and other keyed calls with more than one.
    pub billed_other_than_once: usize,
    /// Whether the statements equal the sums of the receipts.
    pub balanced: bool,
    /// Billed cost, in millionths of the currency unit.
    pub cost_micros: u64,
    /// Descriptions of the violations found, with kind, workspace and identifier of the call.
    pub violations: Vec<String>,
}

impl Audit {
    /// Audits calls against executions and billing records.
    pub fn check(records: &[CallRecord], runs: &[Run], billing: &BillingRecords) -> Audit {
        let mut ran: HashMap<&str, usize> = HashMap::new();
        for run in runs {
            *ran.entry(run.request.split('/').next().unwrap_or_default())
                .or_default() += 1;
        }
        let mut billed: HashMap<&str, usize> = HashMap::new();
        for receipt in &billing.receipts {
            *billed.entry(&receipt.request).or_default() += 1;
        }
        let mut audit = Audit {
            calls: records.len(),
            balanced: billing.is_balanced(),
            ..Audit::default()
        };
        audit.cost_micros = billing
            .totals
            .values()
            .map(|totals| totals.cost_micros)
            .sum();
        for record in records {
            audit.check_call(record, &ran, &billed);
        }
        if !audit.balanced {
            audit
                .violations
                .push("the statements differ from the sums of the receipts".to_owned());
        }
        audit
    }

    /// Returns whether no call was lost, mixed up, run twice or billed other than once.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    fn check_call(
        &mut self,
        record: &CallRecord,
        ran: &HashMap<&str, usize>,
        billed: &HashMap<&str, usize>,
    ) {
        let sum = |counts: &HashMap<&str, usize>| -> usize {
            record
                .ids
                .iter()
                .map(|id| counts.get(id.as_str()).copied().unwrap_or(0))
                .sum()
        };
        let (runs, bills) = (sum(ran), sum(billed));
        match &record.outcome {
            CallOutcome::Answered => self.answered += 1,
            CallOutcome::Failed(Verdict::NotRun, _) => self.refused_not_run += 1,
            CallOutcome::Failed(..) => self.may_have_run += 1,
            CallOutcome::Wrong(detail) => {
                self.wrong += 1;
                self.report_violation(record, detail);
            }
            CallOutcome::Lost(detail) => {
                self.lost += 1;
                self.report_violation(record, &format!("lost, {detail}"));
            }
        }
        if record.spec.non_idempotent() && runs > 1 {
            self.duplicated += 1;
            self.report_violation(record, &format!("ran {runs} times"));
        }
        if !record.spec.keyed {
            return;
        }
        if matches!(record.outcome, CallOutcome::Failed(Verdict::NotRun, _)) && runs > 0 {
            self.refused_but_ran += 1;
            self.report_violation(record, "refused as not run, but ran");
        }
        let answered = record.outcome == CallOutcome::Answered;
        if bills > 1 || (answered && bills != 1) {
            self.billed_other_than_once += 1;
            self.report_violation(record, &format!("billed {bills} times"));
        }
    }

    fn report_violation(&mut self, record: &CallRecord, detail: &str) {
        let id = record.ids.last().map_or("-", String::as_str);
        self.violations.push(format!(
            "{:?} {} {id}: {detail}",
            record.spec.kind, record.spec.workspace
        ));
    }
}
