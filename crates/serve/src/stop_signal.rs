//! The planned stop of the instance, as requests see it.

use std::cell::Cell;
use std::time::Instant;

use async_channel::{Receiver, Sender, bounded};
use async_io::Timer;

/// Tells requests that the instance is stopping, and until when they must be answered.
#[derive(Debug)]
pub(crate) struct StopSignal {
    ends_at: Cell<Option<Instant>>,
    /// Closed when the stop begins.
    begun: Sender<()>,
    waiting: Receiver<()>,
}

impl StopSignal {
    pub(crate) fn new() -> StopSignal {
        let (begun, waiting) = bounded(1);
        StopSignal {
            ends_at: Cell::new(None),
            begun,
            waiting,
        }
    }

    /// Begins the stop. Requests must be answered by `ends_at`.
    pub(crate) fn begin(&self, ends_at: Instant) {
        self.ends_at.set(Some(ends_at));
        self.begun.close();
    }

    /// Returns whether the stop ends before a time.
    pub(crate) fn ends_before(&self, time: Instant) -> bool {
        self.ends_at.get().is_some_and(|ends_at| ends_at < time)
    }

    /// Runs a future, and returns `None` if the stop ends first.
    pub(crate) async fn bound<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let complete = async { Some(future.await) };
        let ended = async {
            // The channel carries no messages: it is closed.
            let _ = self.waiting.recv().await;
            match self.ends_at.get() {
                Some(ends_at) => drop(Timer::at(ends_at).await),
                None => std::future::pending::<()>().await,
            }
            None
        };
        futures_lite::FutureExt::or(complete, ended).await
    }
}
