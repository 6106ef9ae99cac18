//! The control thread: its start, its tasks and its shutdown.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender, bounded, unbounded};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::block_on;
use kernel::{Clock, Incarnation};
use member::Member;
use serve::{SharedLoads, VersionCounters, View};
use store::ObjectApi;

use crate::codec::StoreCodec;
use crate::config_checks;
use crate::coordinator;
use crate::evacuation_feed;
use crate::expiry_grace::MIN_KEPT_MS;
use crate::fetch;
use crate::fetch_counters::FetchCounters;
use crate::gossip;
use crate::loads;
use crate::peers;
use crate::registration;
use crate::rejoin;
use crate::settings::Settings;
use crate::state::{Components, Control};
use crate::store_pings;
use crate::watch;

/// How often it is checked whether the store answers this instance: a small part of the time within which
/// a change must be in force.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(100);

/// The interfaces through which the control thread reads the store and publishes its state.
pub struct Dependencies {
    /// The clock for timeouts and for the start time that members see.
    pub clock: Arc<dyn Clock>,
    /// The platform's store.
    pub store: Arc<dyn ObjectApi>,
    /// Decodes and encodes the store's objects.
    pub codec: Arc<dyn StoreCodec>,
    /// The outcomes of calls by service and version, recorded by the request pipeline.
    pub version_counters: Arc<VersionCounters>,
    /// The loads of endpoints by the pipeline's requests and by those of other instances.
    pub shared_loads: Arc<SharedLoads>,
    /// Where the view is published for requests.
    pub view: Arc<ArcSwap<View>>,
}

/// A handle on the running control thread.
pub struct Handle {
    stop: Sender<()>,
    members: Arc<ArcSwap<Vec<Member>>>,
    fetch_counters: Arc<FetchCounters>,
    thread: JoinHandle<()>,
}

impl Handle {
    /// Returns the published list of the instances that are not dead.
    pub fn members(&self) -> Arc<ArcSwap<Vec<Member>>> {
        self.members.clone()
    }

    /// Returns the counts of fetches from peers.
    pub fn fetch_counters(&self) -> Arc<FetchCounters> {
        self.fetch_counters.clone()
    }

    /// Makes the instance leave: it notifies peers and removes its entry from the store.
    pub fn leave(&self) {
        // The channel has room for this message and for the second one, which ends the thread.
        let _ = self.stop.try_send(());
    }

    /// Ends the thread and waits for it; the instance leaves first if it has not.
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
    dependencies: Dependencies,
) -> std::io::Result<Handle> {
    let listener = Async::<TcpListener>::bind(listen)?;
    let load_socket = match Async::<UdpSocket>::bind(listen) {
        Ok(socket) => Some(socket),
        Err(err) => {
            // Placement works without it, only less evenly.
            tracing::warn!(%listen, error = %err, "member: loads are not exchanged");
            None
        }
    };
    let members: Arc<ArcSwap<Vec<Member>>> = Arc::default();
    let published = Published {
        members: members.clone(),
        fetch_counters: Arc::default(),
    };
    let fetch_counters = published.fetch_counters.clone();
    let (stop, stopped) = bounded(2);
    let sockets = Sockets {
        listener,
        load_socket,
    };
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run(settings, dependencies, published, sockets, stopped))?;
    Ok(Handle {
        stop,
        members,
        fetch_counters,
        thread,
    })
}

/// What the thread publishes besides the view.
struct Published {
    members: Arc<ArcSwap<Vec<Member>>>,
    fetch_counters: Arc<FetchCounters>,
}

/// The sockets on the address for other instances.
struct Sockets {
    listener: Async<TcpListener>,
    load_socket: Option<Async<UdpSocket>>,
}

fn run(
    settings: Settings,
    dependencies: Dependencies,
    published: Published,
    sockets: Sockets,
    stopped: Receiver<()>,
) {
    let own_member = Member::new(Incarnation::random(), &settings.name, &settings.zone)
        .with_addresses(&settings.http_addr, &settings.peer_addr)
        .with_carry_addr(&settings.carry_addr)
        .with_started_ms(dependencies.clock.wall_ms());
    let (offers, received_offers) = unbounded();
    let control = Rc::new(Control::new(Components {
        offers,
        settings,
        own_member,
        clock: dependencies.clock,
        store: dependencies.store,
        codec: dependencies.codec,
        version_counters: dependencies.version_counters,
        shared_loads: dependencies.shared_loads,
        view: dependencies.view,
        fetch_counters: published.fetch_counters,
        published_members: published.members,
    }));
    control.publish_members();
    let executor = Rc::new(LocalExecutor::new());
    for feed in control.settings.feeds() {
        executor.spawn(watch::run(control.clone(), feed)).detach();
    }
    if control.settings.evacuate_ms.is_some() {
        let waiting = evacuation_feed::wait_for_first(control.clone());
        executor.spawn(waiting).detach();
    }
    executor
        .spawn(peers::run(
            control.clone(),
            sockets.listener,
            executor.clone(),
        ))
        .detach();
    if let Some(socket) = sockets.load_socket.map(Rc::new) {
        executor
            .spawn(loads::send(control.clone(), socket.clone()))
            .detach();
        executor
            .spawn(loads::receive(control.clone(), socket))
            .detach();
    }
    executor
        .spawn(gossip::run(control.clone(), executor.clone()))
        .detach();
    executor
        .spawn(gossip::push_changes(control.clone(), executor.clone()))
        .detach();
    executor.spawn(rejoin::run(control.clone())).detach();
    executor
        .spawn(fetch::run(
            control.clone(),
            received_offers,
            executor.clone(),
        ))
        .detach();
    executor
        .spawn(store_pings::run(control.clone(), executor.clone()))
        .detach();
    executor.spawn(registration::run(control.clone())).detach();
    executor
        .spawn(coordinator::run(control.clone(), executor.clone()))
        .detach();
    executor
        .spawn(config_checks::run(
            control.config_checks.clone(),
            control.codec.clone(),
        ))
        .detach();
    executor.spawn(expire_endpoints(control.clone())).detach();
    executor.spawn(hand_over_watches(control.clone())).detach();
    // The traffic thread polls the reactor. A second thread that polled it would add a hop to each
    // of its events.
    block_on(turn::run(&*executor, async {
        // An error means that the handle was dropped, which ends the thread as well.
        let _ = stopped.recv().await;
        control.stopping.set(true);
        control.publish();
        // Peers are notified first, so that a slow store does not delay them.
        gossip::leave(&control).await;
        registration::remove_entry(&control).await;
        let _ = stopped.recv().await;
    }));
}

/// Checks at a fixed interval whether others are to watch the store in place of this instance.
async fn hand_over_watches(control: Rc<Control>) {
    loop {
        Timer::after(HAND_OVER_INTERVAL).await;
        control.update_lost_store();
    }
}

/// Removes each expired endpoint when its grace period ends.
async fn expire_endpoints(control: Rc<Control>) {
    loop {
        let next_ms = control.next_expiry_in_ms().unwrap_or(MIN_KEPT_MS);
        let pause_ms = next_ms.clamp(1, MIN_KEPT_MS);
        Timer::after(Duration::from_millis(pause_ms)).await;
        control.expire_endpoints();
    }
}
