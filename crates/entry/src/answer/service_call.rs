//! Calls to plain services.

use std::sync::Arc;

use kernel::Failure;
use upstream::{PoolState, UpstreamRequest};

use crate::answer::billing::Billing;
use crate::answer::context::Context;
use crate::answer::deadline::with_deadline;
use crate::answer::outcome::Answer;
use crate::answer::upstream_calls::exchange;
use crate::state::shared::Shared;

/// A service call that is ready to run.
pub(crate) struct ServiceCall {
    /// The pool of the service.
    pub(crate) pool: Arc<PoolState>,
    /// The request path at the endpoint.
    pub(crate) path: String,
    /// The request body.
    pub(crate) body: Vec<u8>,
}

impl ServiceCall {
    /// Runs the call and bills it.
    pub(crate) async fn run(
        self,
        shared: &Arc<Shared>,
        context: &Arc<Context>,
    ) -> Result<Answer, Failure> {
        let mut billing = Billing::new(shared.clone(), context);
        let call = UpstreamRequest::builder(self.path, self.body, context.request_id.clone())
            .priority(context.priority)
            .idempotent(!context.non_idempotent)
            .deadline_ms(context.deadline_ms)
            .build();
        billing.record_run(&self.pool.spec.name, false);
        match with_deadline(
            shared,
            context,
            exchange(shared, context, &self.pool, &call, None),
        )
        .await
        {
            Ok(bytes) => {
                billing.add_cost(self.pool.spec.cost_per_call_micros);
                billing.answered().await;
                Ok(Answer::Complete {
                    bytes,
                    version: self.pool.spec.name.clone(),
                })
            }
            Err(failure) => Err(billing.bill_failure(failure)),
        }
    }
}
