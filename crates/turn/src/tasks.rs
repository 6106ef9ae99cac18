//! Running of an executor in turns.

use std::future::poll_fn;
use std::pin::pin;
use std::time::Duration;

use async_executor::{Executor, LocalExecutor};
use futures_lite::FutureExt;
use futures_lite::future::yield_now;

use crate::clock::{MAX_TURN, begin};

/// The tasks of an executor.
pub trait Tasks {
    /// Polls one task, and waits until there is one to poll.
    fn tick(&self) -> impl Future<Output = ()>;
}

impl Tasks for Executor<'_> {
    fn tick(&self) -> impl Future<Output = ()> {
        Executor::tick(self)
    }
}

impl Tasks for LocalExecutor<'_> {
    fn tick(&self) -> impl Future<Output = ()> {
        LocalExecutor::tick(self)
    }
}

/// Runs an executor until a future completes, one turn for each task in order.
///
/// The thread returns to its reactor after tasks have run for [`MAX_TURN`], unlike with [`Executor::run`], which
/// first polls 200 of them.
pub async fn run<T>(tasks: &impl Tasks, future: impl Future<Output = T>) -> T {
    let run_tasks = async {
        loop {
            let mut busy = Duration::ZERO;
            while busy < MAX_TURN {
                let mut tick = pin!(tasks.tick());
                let began_at = poll_fn(|context| {
                    let began_at = begin();
                    tick.as_mut().poll(context).map(|()| began_at)
                });
                busy += began_at.await.elapsed();
            }
            yield_now().await;
        }
    };
    future.or(run_tasks).await
}
