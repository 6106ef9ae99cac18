//! The control thread.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender, bounded};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::block_on;
use kernel::{Clock, Incarnation};
use member::Member;
use serve::{VersionCounters, View};
use store::ObjectApi;

use crate::announce;
use crate::codec::{Feed, StoreCodec};
use crate::gossip;
use crate::lead;
use crate::peers;
use crate::settings::Settings;
use crate::state::{Control, Parts};
use crate::watch;

/// How often time alone is looked at; what is kept for a while is kept at most this much longer.
const TICK: Duration = Duration::from_millis(150);

/// What the control thread reaches the world through.
pub struct Dependencies {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The platform's store.
    pub store: Arc<dyn ObjectApi>,
    /// How the store's objects are written.
    pub codec: Arc<dyn StoreCodec>,
    /// What became of calls.
    pub version_counters: Arc<VersionCounters>,
    /// Where requests read what is believed.
    pub view: Arc<ArcSwap<View>>,
}

/// The running control thread.
pub struct Handle {
    stop: Sender<()>,
    members: Arc<ArcSwap<Vec<Member>>>,
    thread: JoinHandle<()>,
}

impl Handle {
    /// Returns the instances that are not dead.
    pub fn members(&self) -> Arc<ArcSwap<Vec<Member>>> {
        self.members.clone()
    }

    /// Tells peers and the store that this instance leaves.
    pub fn leave(&self) {
        // The thread ends only after a second message, so that this one always has room.
        let _ = self.stop.try_send(());
    }

    /// Ends the thread, which leaves first if it has not.
    pub fn shutdown(self) {
        drop(self.stop);
        if self.thread.join().is_err() {
            tracing::error!("control: the thread panicked");
        }
    }
}

/// Starts the control thread.
///
/// # Errors
///
/// Fails when the peers' address cannot be bound or the thread cannot start.
pub fn start(
    settings: Settings,
    listen: SocketAddr,
    ports: Dependencies,
) -> std::io::Result<Handle> {
    let listener = Async::<TcpListener>::bind(listen)?;
    let members: Arc<ArcSwap<Vec<Member>>> = Arc::default();
    let members_out = members.clone();
    let (stop, stopped) = bounded(2);
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run(settings, ports, members_out, listener, stopped))?;
    Ok(Handle {
        stop,
        members,
        thread,
    })
}

fn run(
    settings: Settings,
    ports: Dependencies,
    members_out: Arc<ArcSwap<Vec<Member>>>,
    listener: Async<TcpListener>,
    stopped: Receiver<()>,
) {
    let me = Member::new(Incarnation::random(), &settings.name, &settings.zone)
        .with_addresses(&settings.http_addr, &settings.peer_addr)
        .with_started_ms(ports.clock.wall_ms());
    let control = Rc::new(Control::new(Parts {
        settings,
        me,
        clock: ports.clock,
        store: ports.store,
        codec: ports.codec,
        version_counters: ports.version_counters,
        view: ports.view,
        members_out,
    }));
    control.publish_members();
    let executor = Rc::new(LocalExecutor::new());
    for feed in Feed::ALL {
        executor.spawn(watch::run(control.clone(), feed)).detach();
    }
    executor
        .spawn(peers::run(control.clone(), listener, executor.clone()))
        .detach();
    executor.spawn(gossip::run(control.clone())).detach();
    executor.spawn(gossip::push(control.clone())).detach();
    executor.spawn(announce::run(control.clone())).detach();
    executor.spawn(lead::run(control.clone())).detach();
    executor.spawn(tick(control.clone())).detach();
    // The traffic thread polls the reactor; a second one that waits there would add a hop to each
    // of its events.
    block_on(executor.run(async {
        // An error means that the handle is gone, which ends the thread as well.
        let _ = stopped.recv().await;
        control.stopping.set(true);
        control.publish();
        // Peers hear at once, also while the store is slow.
        gossip::leave(&control).await;
        announce::remove(&control).await;
        let _ = stopped.recv().await;
    }));
}

/// Lets time pass for what is kept only for a while.
async fn tick(control: Rc<Control>) {
    loop {
        Timer::after(TICK).await;
        control.tick();
    }
}
