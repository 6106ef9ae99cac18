//! Starts the fake platform and endpoints of one deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, PoisonError};

use catalog::{Declarations, Pool, Resource};
use kernel::SystemClock;
use smol::Executor;
use store::{InstanceState, ListedInstance};
use web::{DrainState, Limits, Server};

use crate::call_log::{OrderLog, RunLog};
use crate::endpoint::Endpoint;
use crate::faults::FaultInjector;
use crate::objects::ObjectStore;
use crate::platform::Platform;
use crate::ratings::Ratings;
use crate::state::FakeState;

/// Which fakes to start, and where.
#[derive(Debug, Clone)]
pub struct FakeBackendsConfig {
    /// Declarations; each endpoint of their pools gets a fake.
    pub declarations: Declarations,
    /// Address on which the platform listens.
    pub platform_addr: SocketAddr,
    /// Whether endpoints listen on free ports, which then replace those in the declarations.
    pub free_ports: bool,
    /// Time per generated token or service call, in milliseconds.
    pub token_ms: u64,
}

/// The fake platform and endpoints of one deployment, running.
pub struct FakeBackends {
    /// State shared by all of them.
    pub state: Arc<FakeState>,
    /// Address on which the platform listens.
    pub platform_addr: SocketAddr,
    /// Declarations with the addresses on which the endpoints listen.
    pub declarations: Declarations,
    drains: Vec<Arc<DrainState>>,
}

impl FakeBackends {
    /// Starts the platform and all endpoints on an executor.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub fn start(
        config: FakeBackendsConfig,
        executor: &Arc<Executor<'static>>,
    ) -> anyhow::Result<FakeBackends> {
        let state = Arc::new(FakeState {
            objects: ObjectStore::default(),
            faults: FaultInjector::default(),
            runs: RunLog::default(),
            orders: OrderLog::default(),
            token_ms: config.token_ms,
            ratings: Ratings::default(),
            instances: Mutex::default(),
            qualities: qualities(&config.declarations),
        });
        let mut backends = FakeBackends {
            state: state.clone(),
            platform_addr: config.platform_addr,
            declarations: config.declarations,
            drains: Vec::new(),
        };
        let platform = Platform {
            state,
            clock: SystemClock::new(),
        };
        backends.platform_addr =
            backends.serve(config.platform_addr, Arc::new(platform), executor)?;
        let mut declarations = std::mem::take(&mut backends.declarations);
        for item in &mut declarations.items {
            if let Resource::Pool(pool) = &mut item.resource {
                backends.start_pool(pool, config.free_ports, executor)?;
                item.value = serde_json::to_value(&*pool)?;
            }
        }
        backends.declarations = declarations;
        Ok(backends)
    }

    /// Stops the platform and all endpoints.
    pub fn stop(&self) {
        for drain in &self.drains {
            drain.stop();
        }
    }

    fn start_pool(
        &mut self,
        pool: &mut Pool,
        free_ports: bool,
        executor: &Arc<Executor<'static>>,
    ) -> anyhow::Result<()> {
        let kind = pool.kind;
        let checks_fencing = pool.checks_fencing;
        for spec in &mut pool.endpoints {
            let mut addr: SocketAddr = spec.addr.parse()?;
            if free_ports {
                addr.set_port(0);
            }
            let endpoint = Endpoint {
                name: spec.name.to_string(),
                kind,
                checks_fencing,
                state: self.state.clone(),
                running: Arc::new(AtomicU32::new(0)),
                clock: SystemClock::new(),
            };
            let addr = self.serve(addr, Arc::new(endpoint), executor)?;
            spec.addr = addr.to_string().into();
            let instance = ListedInstance {
                name: format!("{}/{}", pool.name, spec.name).into(),
                addr: spec.addr.clone(),
                zone: spec.zone.clone(),
                state: InstanceState::Live,
            };
            self.state
                .instances
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(instance);
        }
        Ok(())
    }

    fn serve(
        &mut self,
        addr: SocketAddr,
        handler: Arc<dyn web::Handler>,
        executor: &Arc<Executor<'static>>,
    ) -> anyhow::Result<SocketAddr> {
        let limits = Limits::default().max_body_bytes(16 << 20);
        let server = Server::bind(addr, handler, limits)?;
        let bound = server.local_addr()?;
        self.drains.push(server.drain());
        executor.spawn(server.run(executor.clone())).detach();
        Ok(bound)
    }
}

fn qualities(declarations: &Declarations) -> BTreeMap<Arc<str>, f64> {
    let mut qualities = BTreeMap::new();
    for item in &declarations.items {
        if let Resource::Version(version) = &item.resource {
            qualities.insert(version.name.clone(), version.quality_prior);
        }
    }
    qualities
}
