//! Signals to the watches of feeds that they may never get a response.

use async_channel::{Receiver, Sender, bounded};

use crate::codec::Feed;

/// One signal for each feed, which is kept until it is waited for or cleared.
pub(crate) struct WatchInterrupts {
    signals: [Signal; Feed::ALL.len()],
}

struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl WatchInterrupts {
    pub(crate) fn new() -> WatchInterrupts {
        let signals = Feed::ALL.map(|_| {
            let (sender, receiver) = bounded(1);
            Signal { sender, receiver }
        });
        WatchInterrupts { signals }
    }

    /// Signals that the watch of a feed may have been lost.
    pub(crate) fn send(&self, feed: Feed) {
        // A full channel holds a signal already.
        let _ = self.signal(feed).sender.try_send(());
    }

    /// Forgets a signal that came before a watch began.
    pub(crate) fn clear(&self, feed: Feed) {
        // An empty channel holds no signal.
        let _ = self.signal(feed).receiver.try_recv();
    }

    /// Waits for the signal of a feed.
    pub(crate) async fn wait(&self, feed: Feed) {
        // The channel closes only with this.
        let _ = self.signal(feed).receiver.recv().await;
    }

    fn signal(&self, feed: Feed) -> &Signal {
        &self.signals[feed as usize]
    }
}
