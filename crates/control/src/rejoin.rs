//! Finds instances again that are held for dead, as after a network partition.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use member::Absent;

use crate::gossip;
use crate::state::Control;

/// How often one absent instance is tried. All instances try, so that groups meet in a few seconds.
const REJOIN_INTERVAL: Duration = Duration::from_millis(800);

/// Probes one absent instance at a fixed interval.
pub(crate) async fn run(control: Rc<Control>) {
    loop {
        let jitter_ms = fastrand::u64(..REJOIN_INTERVAL.as_millis() as u64 / 4);
        Timer::after(REJOIN_INTERVAL + Duration::from_millis(jitter_ms)).await;
        let absent = Absent::choose(
            &control.members.borrow(),
            &control.settings.peers,
            &mut fastrand::Rng::new(),
        );
        match absent {
            Some(Absent::Lost(member)) => gossip::rejoin_lost(&control, &member).await,
            Some(Absent::Configured(addr)) => gossip::join(&control, addr).await,
            None => {}
        }
    }
}
