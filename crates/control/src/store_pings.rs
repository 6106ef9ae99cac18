//! Short calls to the store beside the watches.
//!
//! A watch that the store has forgotten looks like one that waits for a change: its connection lives
//! on. A short call that gets no response shows that others may have lost theirs.

use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use kernel::Verdict;
use store::StoreError;

use crate::state::Control;

/// How often the store is asked for a response: a quarter of the time within which a change must be in
/// force.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// How long the store may take to respond. A slow store takes about half a second.
const PING_TIMEOUT: Duration = Duration::from_millis(700);

/// Asks the store for responses at a fixed interval while this instance calls it.
pub(crate) async fn run(control: Rc<Control>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        Timer::after(PING_INTERVAL).await;
        if control.calls_store() {
            // Calls overlap, so that the return of the store is noticed while earlier ones wait.
            executor.spawn(ping(control.clone())).detach();
        }
    }
}

async fn ping(control: Rc<Control>) {
    let began_ms = control.now_ms();
    control.liveness.begin(began_ms);
    let expired = async {
        Timer::after(PING_TIMEOUT).await;
        Err(StoreError::Unavailable {
            verdict: Verdict::MayHaveRun,
            message: format!("no response within {} ms", PING_TIMEOUT.as_millis()),
        })
    };
    let result = control.store.ping().or(expired).await;
    let was_silent = control.liveness.is_silent();
    control.liveness.record(began_ms, result.is_ok());
    let is_silent = control.liveness.is_silent();
    match result {
        Ok(()) if was_silent && !is_silent => tracing::info!("store: answers again"),
        Ok(()) => {}
        Err(err) => {
            if !was_silent {
                tracing::info!(error = %err, is_silent, "store: no answer");
            }
            control.record_unanswered_ping(began_ms);
        }
    }
}
