//! How many requests this instance carries for peers.

use std::cell::Cell;
use std::rc::Rc;

use kernel::{Failure, Reason};

use crate::carry_message::CarryOrder;

/// The most requests that are carried at a time. Each takes two connections, as the instance's own do.
const MAX_CARRIED: usize = 256;

/// The most at which those are taken that are not the most urgent.
const MAX_LESS_URGENT: usize = 192;

/// Retry-after of a request that was turned down for too many others, in milliseconds.
const FULL_RETRY_AFTER_MS: u64 = 120;

/// The number of requests that are being carried.
#[derive(Debug, Default)]
pub(crate) struct CarriedCount {
    count: Rc<Cell<usize>>,
}

/// The carrying of one request, which ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Carried {
    pub(crate) order: CarryOrder,
    count: Rc<Cell<usize>>,
}

impl CarriedCount {
    /// Takes on a request of a route with this priority, where 0 is the most urgent.
    ///
    /// # Errors
    ///
    /// Fails if too many are carried already; the request did not run then.
    pub(crate) fn take_on(&self, order: CarryOrder, priority: u8) -> Result<Carried, Failure> {
        let most = if priority == 0 {
            MAX_CARRIED
        } else {
            MAX_LESS_URGENT
        };
        if self.count.get() >= most {
            let detail = format!("this instance carries {} requests", self.count.get());
            let failure = Failure::not_run(Reason::Overloaded, detail);
            return Err(failure.retry_after_ms(FULL_RETRY_AFTER_MS));
        }
        self.count.set(self.count.get() + 1);
        Ok(Carried {
            order,
            count: self.count.clone(),
        })
    }
}

impl Drop for Carried {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
