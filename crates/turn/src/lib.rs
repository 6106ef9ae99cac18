//! Bounds how long a task runs before other tasks of its thread do.
//!
//! A task that never waits, for example as its peer always has more bytes to send, keeps an executor's thread
//! for itself: no other task runs, and neither timers nor signals are seen. [`run`] runs an executor in turns of
//! one task each, and whatever a task may repeat without a wait calls [`yield_if_over`] or [`poll_yield`]. Outside
//! of [`run`] a turn begins with the first of these calls.
//!
//! # Examples
//!
//! ```
//! use async_executor::LocalExecutor;
//! use futures_lite::future::block_on;
//!
//! let executor = LocalExecutor::new();
//! let endless = executor.spawn(async {
//!     loop {
//!         turn::yield_if_over().await;
//!     }
//! });
//! let other = executor.spawn(async { 7 });
//! assert_eq!(block_on(turn::run(&executor, other)), 7);
//! drop(endless);
//! ```

mod clock;
mod tasks;

pub use clock::{MAX_TURN, has_yielded, poll_yield, yield_if_over};
pub use tasks::{Tasks, run};
