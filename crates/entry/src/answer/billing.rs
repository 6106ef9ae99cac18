//! The receipt of one request, written exactly once however it ends.

use std::sync::Arc;

use async_channel::bounded;
use catalog::Version;
use kernel::{Failure, Verdict};
use receipt::{Outcome, ReceiptDraft, RequestUsage};
use upstream::Usage;

use crate::answer::context::Context;
use crate::state::messages::PendingReceipt;
use crate::state::shared::Shared;

/// Gathers what a request uses. Dropping it bills a request that was cut off.
pub(crate) struct Billing {
    shared: Arc<Shared>,
    workspace: Arc<str>,
    request: Arc<str>,
    received_ms: u64,
    first_token_limit_ms: u64,
    total_limit_ms: u64,
    work: RequestUsage,
    ran: bool,
    billed: bool,
    first_token: bool,
}

impl Billing {
    /// Starts with nothing used.
    pub(crate) fn new(shared: Arc<Shared>, context: &Context) -> Billing {
        let work = RequestUsage {
            version: "".into(),
            class: context.class.clone(),
            priority: context.priority,
            outcome: Outcome::Cancelled,
            prompt_tokens: 0,
            completion_tokens: 0,
            cost_micros: 0,
            first_token_ms: 0,
            total_ms: 0,
            unproven: false,
            in_objective: false,
            arm: None,
        };
        Billing {
            shared,
            workspace: context.workspace.name.clone(),
            request: context.request.clone(),
            received_ms: context.received_ms,
            first_token_limit_ms: context.workspace.objective.first_token_ms,
            total_limit_ms: context.workspace.objective.total_ms,
            work,
            ran: false,
            billed: false,
            first_token: false,
        }
    }

    /// Notes that a version or service runs the request.
    pub(crate) fn runs_on(&mut self, name: &Arc<str>, unproven: bool) {
        self.work.version = name.clone();
        self.work.unproven |= unproven;
        self.ran = true;
    }

    /// Notes the arm of an experiment.
    pub(crate) fn in_arm(&mut self, arm: Option<Arc<str>>) {
        self.work.arm = arm;
    }

    /// Notes which of several versions gave the answer.
    pub(crate) fn answered_by(&mut self, name: &Arc<str>) {
        self.work.version = name.clone();
    }

    /// Notes that the request did not run after all.
    pub(crate) fn did_not_run(&mut self) {
        self.ran = false;
    }

    /// Notes the first token.
    pub(crate) fn first_token(&mut self) {
        if self.first_token {
            return;
        }
        self.first_token = true;
        self.work.first_token_ms = self.elapsed_ms();
    }

    /// Adds tokens of a version.
    pub(crate) fn add(&mut self, version: &Version, usage: Usage) {
        self.work.prompt_tokens += usage.prompt_tokens;
        self.work.completion_tokens += usage.completion_tokens;
        self.work.cost_micros +=
            usage.cost_micros(version.cost_prompt_micros, version.cost_completion_micros);
    }

    /// Adds a price.
    pub(crate) fn add_cost(&mut self, cost_micros: u64) {
        self.work.cost_micros += cost_micros;
    }

    /// Returns milliseconds since the request came.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.shared.clock.mono_ms().saturating_sub(self.received_ms)
    }

    /// Bills a whole answer and waits until the receipt is durable.
    ///
    /// Returns whether the objective was kept.
    pub(crate) async fn answered(mut self) -> bool {
        self.first_token();
        self.work.total_ms = self.elapsed_ms();
        let in_time = self.work.first_token_ms <= self.first_token_limit_ms
            && self.work.total_ms <= self.total_limit_ms;
        self.work.outcome = Outcome::Answered;
        self.work.in_objective = in_time;
        self.shared.metrics.count("request.answered");
        self.shared
            .metrics
            .time("request.total", self.work.total_ms);
        self.shared
            .metrics
            .time("request.first-token", self.work.first_token_ms);
        let (sender, receiver) = bounded(1);
        self.billed = true;
        let bill = PendingReceipt {
            draft: self.draft(),
            durable_ack: Some(sender),
        };
        if self.shared.receipt_queue.send(bill).await.is_ok() && receiver.recv().await.is_err() {
            self.shared.metrics.count("receipt.undurable");
        }
        in_time
    }

    /// Bills a request that failed after it may have run.
    pub(crate) fn failed(mut self) {
        self.work.outcome = Outcome::Failed;
        self.bill_now();
    }

    /// Bills a failed request if it may have run, and passes the failure on.
    pub(crate) fn settle(mut self, failure: Failure) -> Failure {
        if failure.verdict == Verdict::NotRun {
            self.did_not_run();
        } else {
            self.failed();
        }
        failure
    }

    fn bill_now(&mut self) {
        if self.billed || !self.ran {
            return;
        }
        self.billed = true;
        self.work.total_ms = self.elapsed_ms();
        let bill = PendingReceipt {
            draft: self.draft(),
            durable_ack: None,
        };
        let Err(err) = self.shared.receipt_queue.try_send(bill) else {
            return;
        };
        // The channel is full: the receipt waits in a task of its own, and is not lost.
        let bills = self.shared.receipt_queue.clone();
        let task = self
            .shared
            .executor
            .spawn(async move { drop(bills.send(err.into_inner()).await) });
        task.detach();
    }

    fn draft(&self) -> ReceiptDraft {
        ReceiptDraft {
            workspace: self.workspace.clone(),
            request: self.request.clone(),
            ended_ms: self.shared.clock.wall_ms(),
            usage: self.work.clone(),
        }
    }
}

impl Drop for Billing {
    fn drop(&mut self) {
        self.bill_now();
    }
}
