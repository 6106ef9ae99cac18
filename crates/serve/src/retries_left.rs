//! Publishing of what is left of the retry budgets while calls on old versions run to their end.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use crate::request_context::RequestContext;

const INTERVAL: Duration = Duration::from_millis(200);

/// Publishes at a fixed interval how many retries are left for each service whose roll-out moved all traffic.
pub(crate) async fn publish(context: Rc<RequestContext>) {
    loop {
        Timer::after(INTERVAL).await;
        let view = context.view.load_full();
        for (service, pool) in &view.pools {
            if !pool.has_moved() {
                continue;
            }
            let left = context.retries_left(service);
            context.version_counters.record_retries_left(service, left);
        }
    }
}
