//! Writes the receipt of a request, exactly once however the request ends.

use std::sync::Arc;

use async_channel::bounded;
use catalog::Version;
use kernel::{Failure, Verdict};
use receipt::{Outcome, ReceiptDraft, RequestUsage};
use upstream::Usage;

use crate::answer::context::Context;
use crate::state::messages::PendingReceipt;
use crate::state::shared::Shared;

/// Collects the usage of a request. Dropping it bills a request that was cancelled.
pub(crate) struct Billing {
    shared: Arc<Shared>,
    workspace: Arc<str>,
    request: Arc<str>,
    received_ms: u64,
    first_token_limit_ms: u64,
    total_limit_ms: u64,
    usage: RequestUsage,
    ran: bool,
    billed: bool,
    has_first_token: bool,
}

impl Billing {
    /// Creates the billing of a request without any usage.
    pub(crate) fn new(shared: Arc<Shared>, context: &Context) -> Billing {
        let usage = RequestUsage {
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
            request: context.request_id.clone(),
            received_ms: context.received_ms,
            first_token_limit_ms: context.workspace.objective.first_token_ms,
            total_limit_ms: context.workspace.objective.total_ms,
            usage,
            ran: false,
            billed: false,
            has_first_token: false,
        }
    }

    /// Records that a version or service runs the request.
    pub(crate) fn record_run(&mut self, name: &Arc<str>, unproven: bool) {
        self.usage.version = name.clone();
        self.usage.unproven |= unproven;
        self.ran = true;
    }

    /// Sets the experiment arm.
    pub(crate) fn set_arm(&mut self, arm: Option<Arc<str>>) {
        self.usage.arm = arm;
    }

    /// Sets the version whose answer the caller gets.
    pub(crate) fn set_version(&mut self, name: &Arc<str>) {
        self.usage.version = name.clone();
    }

    /// Records that the request did not run after all.
    pub(crate) fn record_not_run(&mut self) {
        self.ran = false;
    }

    /// Records the time to the first token, once.
    pub(crate) fn record_first_token(&mut self) {
        if self.has_first_token {
            return;
        }
        self.has_first_token = true;
        self.usage.first_token_ms = self.elapsed_ms();
    }

    /// Adds the tokens used by a version, and their cost.
    pub(crate) fn add_usage(&mut self, version: &Version, usage: Usage) {
        self.usage.prompt_tokens += usage.prompt_tokens;
        self.usage.completion_tokens += usage.completion_tokens;
        self.usage.cost_micros +=
            usage.cost_micros(version.cost_prompt_micros, version.cost_completion_micros);
    }

    /// Adds a cost.
    pub(crate) fn add_cost(&mut self, cost_micros: u64) {
        self.usage.cost_micros += cost_micros;
    }

    /// Returns the milliseconds since the request was received.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.shared.clock.mono_ms().saturating_sub(self.received_ms)
    }

    /// Bills a complete answer and waits until the receipt is durable.
    ///
    /// Returns whether the answer met the latency objective.
    pub(crate) async fn answered(mut self) -> bool {
        self.record_first_token();
        self.usage.total_ms = self.elapsed_ms();
        let in_objective = self.usage.first_token_ms <= self.first_token_limit_ms
            && self.usage.total_ms <= self.total_limit_ms;
        self.usage.outcome = Outcome::Answered;
        self.usage.in_objective = in_objective;
        self.shared.metrics.count("request.answered");
        self.shared
            .metrics
            .time("request.total", self.usage.total_ms);
        self.shared
            .metrics
            .time("request.first-token", self.usage.first_token_ms);
        let (sender, receiver) = bounded(1);
        self.billed = true;
        let receipt = PendingReceipt {
            draft: self.draft(),
            durable_ack: Some(sender),
        };
        if self.shared.receipt_queue.send(receipt).await.is_ok() && receiver.recv().await.is_err() {
            let request = &*self.request;
            tracing::warn!(
                request,
                "receipt: neither a peer nor the store holds it yet"
            );
            self.shared.metrics.count("receipt.undurable");
        }
        in_objective
    }

    /// Bills a request that failed after it may have run.
    pub(crate) fn failed(mut self) {
        self.usage.outcome = Outcome::Failed;
        self.bill_now();
    }

    /// Bills a failed request if it may have run, and returns the failure.
    pub(crate) fn bill_failure(mut self, failure: Failure) -> Failure {
        if failure.verdict == Verdict::NotRun {
            self.record_not_run();
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
        self.usage.total_ms = self.elapsed_ms();
        let receipt = PendingReceipt {
            draft: self.draft(),
            durable_ack: None,
        };
        let Err(err) = self.shared.receipt_queue.try_send(receipt) else {
            return;
        };
        // The channel is full; a separate task sends the receipt so that it is not lost.
        let queue = self.shared.receipt_queue.clone();
        let task = self
            .shared
            .executor
            .spawn(async move { drop(queue.send(err.into_inner()).await) });
        task.detach();
    }

    fn draft(&self) -> ReceiptDraft {
        ReceiptDraft {
            workspace: self.workspace.clone(),
            request: self.request.clone(),
            ended_ms: self.shared.clock.wall_ms(),
            usage: self.usage.clone(),
        }
    }
}

impl Drop for Billing {
    fn drop(&mut self) {
        self.bill_now();
    }
}
