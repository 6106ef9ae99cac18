//! Starts and stops the threads of an instance.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Context as _;
use arc_swap::ArcSwap;
use async_channel::{Sender, bounded};
use async_io::Async;
use kernel::{Clock, Incarnation, SystemClock};
use member::Member;
use smol::Executor;
use store::{HttpPlatformClient, RateLimits};
use upstream::{DispatchSettings, Dispatcher};
use web::{Client, DrainState, Limits, Server};
use wire::Identity;

use crate::answer::{receipt_takeover, receipt_writer};
use crate::api::routes::Router;
use crate::control::{self, Inbox};
use crate::metrics::Metrics;
use crate::peers;
use crate::settings::Settings;
use crate::state::exposure::ExposureLimiter;
use crate::state::keyed_requests::KeyedRequests;
use crate::state::outbox::SharedOutbox;
use crate::state::peer_receipts::PeerReceipts;
use crate::state::quotas::WorkspaceQuotas;
use crate::state::shared::Shared;
use crate::state::view::View;

/// The most receipts that wait for the receipt writer.
const RECEIPT_QUEUE_CAPACITY: usize = 4096;

/// The most call reports that wait for the control thread.
const CALL_REPORT_QUEUE_CAPACITY: usize = 4096;

/// The most closed links of peers whose receipts wait to be saved.
const CLOSED_LINK_QUEUE_CAPACITY: usize = 256;

/// The most messages of peers that wait for the control thread.
const PEER_MESSAGE_QUEUE_CAPACITY: usize = 256;

/// How often a stopping instance polls the number of open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long connections stay open after the address lifetime, so that responses can close them.
const CLOSE_GRACE: Duration = Duration::from_millis(500);

/// A running instance. Dropping it without [`Instance::stop`] ends it with the process.
pub struct Instance {
    shared: Arc<Shared>,
    http_addr: SocketAddr,
    peer_addr: SocketAddr,
    drain: Arc<DrainState>,
    stop_control: Sender<()>,
    stop_traffic: Sender<()>,
    control: JoinHandle<()>,
    traffic: Vec<JoinHandle<()>>,
}

impl Instance {
    /// Binds the listeners and starts the control thread and the traffic threads.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or a thread cannot be started.
    pub fn start(settings: Settings) -> anyhow::Result<Instance> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let incarnation = Incarnation::random();
        let executor = Arc::new(Executor::new());
        let (receipt_queue, receipt_inbox) = bounded(RECEIPT_QUEUE_CAPACITY);
        let (call_reports, call_report_inbox) = bounded(CALL_REPORT_QUEUE_CAPACITY);
        let (peer_messages, peer_inbox) = bounded(PEER_MESSAGE_QUEUE_CAPACITY);
        let (closed_links, closed_link_inbox) = bounded(CLOSED_LINK_QUEUE_CAPACITY);
        let threads = settings.traffic_threads;
        let shared = Arc::new(Shared {
            incarnation,
            identity: Identity::new(incarnation.as_u64(), &settings.fleet),
            started_ms: clock.wall_ms(),
            view: ArcSwap::from_pointee(View::default()),
            dispatcher: Dispatcher::new(dispatch_settings(&settings), clock.clone()),
            http_client: Client::new(settings.connect_timeout_ms),
            platform: Arc::new(platform_client(&settings)),
            keyed_requests: KeyedRequests::new(
                settings.max_keyed_requests,
                settings.max_kept_bytes,
            ),
            quotas: WorkspaceQuotas::default(),
            exposure: ExposureLimiter::default(),
            metrics: Metrics::new(&settings.metrics_addr),
            outbox: SharedOutbox::new(incarnation),
            peer_receipts: PeerReceipts::new(incarnation, settings.max_held_receipts),
            peer_messages,
            closed_links,
            receipt_queue,
            call_reports,
            complete_revision: AtomicU64::new(0),
            peer_bytes: Arc::default(),
            capacity: OnceLock::new(),
            stopping: AtomicBool::new(false),
            other_fleet_seen: AtomicBool::new(false),
            executor: executor.clone(),
            clock,
            settings,
        });
        let settings = &shared.settings;
        let router = Arc::new(Router {
            shared: shared.clone(),
        });
        let server = Server::bind(settings.listen, router, server_limits(settings));
        let server = server.with_context(|| format!("cannot listen on {}", settings.listen))?;
        // Set once.
        let _ = shared.capacity.set(server.capacity());
        let peer_listener = Async::<TcpListener>::bind(settings.peer_listen);
        let peer_listener =
            peer_listener.with_context(|| format!("cannot listen on {}", settings.peer_listen))?;
        let http_addr = server.local_addr()?;
        let peer_addr = peer_listener.get_ref().local_addr()?;
        let member = Member::new(incarnation, &settings.name, &settings.zone)
            .with_addresses(&http_addr.to_string(), &peer_addr.to_string())
            .with_started_ms(shared.started_ms);
        let drain = server.drain();
        executor.spawn(server.run(executor.clone())).detach();
        executor
            .spawn(receipt_writer::run(shared.clone(), receipt_inbox))
            .detach();
        executor
            .spawn(receipt_writer::flush(shared.clone()))
            .detach();
        let (stop_control, stop) = bounded(2);
        let inbox = Inbox {
            call_reports: call_report_inbox,
            stop,
            peer_messages: peer_inbox,
        };
        executor
            .spawn(peers::run(shared.clone(), peer_listener))
            .detach();
        executor
            .spawn(receipt_takeover::run(shared.clone(), closed_link_inbox))
            .detach();
        let control_shared = shared.clone();
        let control = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control::run(control_shared, member, inbox))?;
        let (stop_traffic, traffic_stop) = bounded::<()>(1);
        let mut traffic = Vec::new();
        for index in 0..threads {
            let executor = executor.clone();
            let stop = traffic_stop.clone();
            let serve = move || {
                let _ = smol::block_on(turn::run(&*executor, stop.recv()));
            };
            traffic.push(
                std::thread::Builder::new()
                    .name(format!("traffic-{index}"))
                    .spawn(serve)?,
            );
        }
        Ok(Instance {
            shared,
            http_addr,
            peer_addr,
            drain,
            stop_control,
            stop_traffic,
            control,
            traffic,
        })
    }

    /// Returns the address where callers connect.
    pub fn http_addr(&self) -> SocketAddr {
        self.http_addr
    }

    /// Returns the address where other instances connect.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Returns whether the instance accepts new requests.
    pub fn is_serving(&self) -> bool {
        self.shared.view.load().serving
    }

    /// Returns the number of live instances in the membership view, this one included.
    pub fn live_instances(&self) -> usize {
        self.shared.view.load().members.len()
    }

    /// Stops the instance without aborting any request.
    ///
    /// Address lists omit the instance at once. Callers with an earlier list are served until its
    /// lifetime ends, and each response closes its connection. Then the open requests finish and
    /// the receipts are written to the store.
    pub fn stop(self) {
        tracing::info!("stop: began");
        self.shared.stopping.store(true, Ordering::SeqCst);
        let _ = self.stop_control.send_blocking(());
        self.drain.close_after_response();
        std::thread::sleep(Duration::from_millis(
            self.shared.settings.address_lifetime_ms,
        ));
        std::thread::sleep(CLOSE_GRACE);
        self.drain.stop();
        while self.drain.open_requests() > 0 {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        smol::block_on(receipt_writer::flush_all(&self.shared));
        let _ = self.stop_control.send_blocking(());
        drop(self.control.join());
        drop(self.stop_traffic);
        for thread in self.traffic {
            drop(thread.join());
        }
        tracing::info!("stop: ended");
    }
}

fn dispatch_settings(settings: &Settings) -> DispatchSettings {
    DispatchSettings {
        zone: settings.zone.as_str().into(),
        connect_timeout_ms: settings.connect_timeout_ms,
        head_timeout_ms: settings.head_timeout_ms,
        max_attempts: settings.max_attempts,
    }
}

fn platform_client(settings: &Settings) -> HttpPlatformClient {
    let rate_limits = RateLimits {
        reads_per_s: settings.platform_reads_per_s,
        writes_per_s: settings.platform_writes_per_s,
    };
    HttpPlatformClient::new(settings.platform, settings.platform_timeout_ms, rate_limits)
        .with_caller(&settings.name)
}

fn server_limits(settings: &Settings) -> Limits {
    Limits::default()
        .max_body_bytes(settings.max_body_bytes)
        .max_connections(settings.max_connections)
        .max_held_bytes(settings.max_held_bytes)
        .idle_timeout_ms(settings.idle_timeout_ms)
        .body_timeout_ms(settings.body_timeout_ms)
        .write_timeout_ms(settings.write_timeout_ms)
}
