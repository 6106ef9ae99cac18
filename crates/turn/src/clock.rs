//! The time that the current turn has taken.

use std::cell::Cell;
use std::future::poll_fn;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Time after which a task lets others run. A sound request needs some ten turns of its own, and waits for one
/// of each busy task in between.
pub const MAX_TURN: Duration = Duration::from_micros(200);

/// Checks that pass in each turn, however long it has taken. One operation may check twice, and a task that is slow
/// to reach its first one has to get further nevertheless.
const MIN_CHECKS: u32 = 4;

thread_local! {
    static CHECKS: Cell<u32> = const { Cell::new(0) };
    static BEGAN_AT: Cell<Option<Instant>> = const { Cell::new(None) };
    static HAS_YIELDED: Cell<bool> = const { Cell::new(false) };
}

/// Begins the turn of a task.
pub(crate) fn begin() -> Instant {
    let now = Instant::now();
    BEGAN_AT.set(Some(now));
    CHECKS.set(0);
    HAS_YIELDED.set(false);
    now
}

/// Is pending once if the turn is over, and has the task polled again after the others.
///
/// It keeps no state of its own, so that the future that calls it may be dropped and made anew in between.
pub fn poll_yield(context: &mut Context<'_>) -> Poll<()> {
    HAS_YIELDED.set(false);
    let Some(began_at) = BEGAN_AT.get() else {
        begin();
        return Poll::Ready(());
    };
    CHECKS.set(CHECKS.get() + 1);
    if CHECKS.get() <= MIN_CHECKS || began_at.elapsed() < MAX_TURN {
        return Poll::Ready(());
    }
    BEGAN_AT.set(None);
    HAS_YIELDED.set(true);
    context.waker().wake_by_ref();
    Poll::Pending
}

/// Lets other tasks run if the turn is over.
pub async fn yield_if_over() {
    poll_fn(poll_yield).await;
}

/// Returns whether the last call of [`poll_yield`] ended a turn, so that a future which is pending need not wait
/// for anything.
pub fn has_yielded() -> bool {
    HAS_YIELDED.get()
}
