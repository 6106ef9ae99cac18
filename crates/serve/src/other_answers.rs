//! Whether an endpoint goes on with other answers.

use std::time::{Duration, Instant};

use async_io::Timer;

use crate::endpoint_state::EndpointState;
use crate::request_context::RequestContext;

/// How long after the end of an answer bytes may be read that its endpoint sent before, in milliseconds: an
/// instance that is short of processor time reads its other connections late.
const LATE_BYTES_MS: u64 = 250;

const PROOF_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// How late a check for proof may be, in milliseconds, if this instance did not stand still.
const MAX_CHECK_DELAY_MS: u64 = 125;

/// Waits for bytes of other answers that an endpoint has sent after a time, in milliseconds, and returns
/// whether there are any. `ended_calls` of this instance's calls have ended and are still counted.
pub(crate) async fn goes_on(
    context: &RequestContext,
    state: &EndpointState,
    ended_ms: u64,
    ended_calls: u32,
    until: Instant,
) -> bool {
    let mut since_ms = ended_ms;
    let mut checked_ms = context.now_ms();
    loop {
        let now_ms = context.now_ms();
        if now_ms > checked_ms + MAX_CHECK_DELAY_MS {
            // After a pause of this instance, bytes are read that were sent before it.
            since_ms = now_ms;
        }
        checked_ms = now_ms;
        if state.last_received_ms() >= since_ms + LATE_BYTES_MS {
            return true;
        }
        if state.connections() <= ended_calls || Instant::now() >= until {
            return false;
        }
        Timer::after(PROOF_CHECK_INTERVAL).await;
    }
}
