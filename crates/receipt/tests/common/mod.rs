//! Receipts of requests with fixed usage.

use kernel::{Incarnation, Priority};
use receipt::{Outcome, ReceiptDraft, RequestUsage};

pub const HOME: Incarnation = Incarnation::from_u64(1);
pub const PEER: Incarnation = Incarnation::from_u64(2);

/// Returns the receipt of an answered request of workspace "w" that cost 10 and ended at 1,000 ms.
pub fn draft(request: &str) -> ReceiptDraft {
    let work = RequestUsage {
        version: "v".into(),
        class: "default".into(),
        priority: Priority::Normal,
        outcome: Outcome::Answered,
        prompt_tokens: 1,
        completion_tokens: 1,
        cost_micros: 10,
        first_token_ms: 1,
        total_ms: 2,
        unproven: false,
        in_objective: true,
        arm: None,
    };
    ReceiptDraft {
        workspace: "w".into(),
        request: request.into(),
        ended_ms: 1_000,
        usage: work,
    }
}
