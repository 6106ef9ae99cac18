//! Whether an endpoint goes on with other answers.

use std::time::{Duration, Instant};

use async_io::Timer;

use crate::endpoint_state::EndpointState;
use crate::life_check::{Life, Sign};
use crate::request_context::RequestContext;

/// How long after the end of an answer bytes may be read that its endpoint sent before, in milliseconds: an
/// instance that is short of processor time reads its other connections late.
const LATE_BYTES_MS: u64 = 250;

const PROOF_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// How late a check for proof may be, in milliseconds, if this instance did not stand still.
const MAX_CHECK_DELAY_MS: u64 = 125;

/// The end of an answer, after which its endpoint is to show that it lives.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndTime {
    /// When it was read, in milliseconds.
    pub(crate) ended_ms: u64,
    /// Until when the run that sent the answer is known to have been there.
    pub(crate) alive_at: Instant,
    /// Calls of this instance that ended then and are still counted.
    pub(crate) ended_calls: u32,
}

/// Waits for bytes of other answers that an endpoint has sent after the end of one, and returns the sign of its
/// life that they are. Answers that began later may be of a later run.
pub(crate) async fn goes_on(
    context: &RequestContext,
    state: &EndpointState,
    end: EndTime,
    until: Instant,
) -> Option<Sign> {
    let mut since_ms = end.ended_ms;
    let mut checked_ms = context.now_ms();
    loop {
        let now_ms = context.now_ms();
        if now_ms > checked_ms + MAX_CHECK_DELAY_MS {
            // After a pause of this instance, bytes are read that were sent before it.
            since_ms = now_ms;
        }
        checked_ms = now_ms;
        let late_ms = since_ms + LATE_BYTES_MS;
        let since = state.calls.received_since(end.alive_at, late_ms);
        if since.is_some() {
            return Some(Sign {
                since,
                ..Sign::new(Life::Answers)
            });
        }
        let has_others = state.calls.begun_before(end.alive_at) > end.ended_calls;
        if !has_others || Instant::now() >= until {
            return None;
        }
        Timer::after(PROOF_CHECK_INTERVAL).await;
    }
}
