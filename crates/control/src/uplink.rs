//! Turns in which large responses leave this instance.
//!
//! Responses that share a link all end late. One at a time, the first peer has its value early and
//! passes it on, and those that wait get the value that is held when their turn comes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Sender, bounded};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_lock::Semaphore;
use futures_lite::FutureExt;

/// The size from which a response waits for its turn, in bytes. Smaller ones fit into a few packets.
pub(crate) const LARGE_RESPONSE_BYTES: usize = 32 << 10;

/// The rate at which a response is expected to leave, in bytes per second: that of a link of
/// 10 Mbit/s with some allowance.
const EXPECTED_BYTES_PER_S: f64 = 1_000_000.0;

/// The time of a turn beside that of its bytes.
const TURN_OVERHEAD: Duration = Duration::from_millis(50);

/// Grants the turns.
pub(crate) struct Uplink {
    free: Arc<Semaphore>,
    executor: Rc<LocalExecutor<'static>>,
}

/// A turn, which ends when it is dropped, and earlier if the response takes too long.
pub(crate) struct Turn {
    /// The turn ends when this channel closes.
    _held: Sender<()>,
}

impl Uplink {
    pub(crate) fn new(executor: Rc<LocalExecutor<'static>>) -> Uplink {
        Uplink {
            free: Arc::new(Semaphore::new(1)),
            executor,
        }
    }

    /// Waits for the turn of a response of some bytes. Turns are granted in the order of these calls.
    pub(crate) async fn turn(&self, bytes: usize) -> Turn {
        let granted = self.free.acquire_arc().await;
        let (held, end) = bounded::<()>(1);
        let limit = TURN_OVERHEAD + Duration::from_secs_f64(bytes as f64 / EXPECTED_BYTES_PER_S);
        let expire = async move {
            let closed = async {
                // Nothing is sent, so that this ends when the turn is dropped.
                let _ = end.recv().await;
            };
            let expired = async {
                Timer::after(limit).await;
            };
            closed.or(expired).await;
            drop(granted);
        };
        self.executor.spawn(expire).detach();
        Turn { _held: held }
    }
}
