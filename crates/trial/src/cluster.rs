//! Fake backends and entry instances in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::bail;
use catalog::{KEY_RING_PATH, KeyRing, SigningKey};
use entry::{Instance, Settings};
use fakes::{FakeBackends, FakeBackendsConfig, RunLog};
use serde_json::json;
use smol::Executor;
use store::{InstanceState, ListedInstance, Precondition};

use crate::audit::BillingRecords;
use crate::caller::Caller;
use crate::deployment::Deployment;

/// Loopback with a port chosen by the system.
const FREE_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Limit for starting instances and for settling receipts.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polling interval of the waits.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Threads that run the fake backends.
const BACKEND_THREADS: usize = 2;

/// Entry instances and fake backends of a sample deployment, on loopback.
pub struct TestCluster {
    /// Sample deployment that is declared.
    pub deployment: Deployment,
    /// Fake platform and endpoints.
    pub backends: FakeBackends,
    /// Entry instances, in the order of their start.
    pub instances: Vec<Instance>,
}

impl TestCluster {
    /// Starts fake backends, writes the declarations, and starts entry instances over the zones.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or an instance is not ready in time.
    pub fn start(
        deployment: Deployment,
        instances: usize,
        token_ms: u64,
    ) -> anyhow::Result<TestCluster> {
        let backends = TestCluster::start_backends(deployment, token_ms)?;
        let mut cluster = TestCluster {
            deployment,
            backends,
            instances: Vec::new(),
        };
        for index in 0..instances {
            let settings = cluster.settings(index);
            cluster.instances.push(Instance::start(settings)?);
            cluster.list_instances();
        }
        cluster.wait_ready()?;
        Ok(cluster)
    }

    /// Starts the fake backends only, and writes the declarations and a signing key.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub fn start_backends(deployment: Deployment, token_ms: u64) -> anyhow::Result<FakeBackends> {
        let executor = Arc::new(Executor::new());
        let config = FakeBackendsConfig {
            declarations: deployment.declarations()?,
            platform_addr: FREE_PORT,
            free_ports: true,
            token_ms,
        };
        let backends = FakeBackends::start(config, &executor)?;
        for _ in 0..BACKEND_THREADS {
            let executor = executor.clone();
            std::thread::spawn(move || smol::block_on(executor.run(std::future::pending::<()>())));
        }
        for item in &backends.declarations.items {
            backends
                .state
                .objects
                .put(&item.path(), item.value.clone(), Precondition::Any)?;
        }
        let key = SigningKey {
            id: "k1".into(),
            secret_hex: format!("{:032x}", fastrand::u128(..)).into(),
        };
        backends.state.objects.put(
            KEY_RING_PATH,
            json!(KeyRing { keys: vec![key] }),
            Precondition::Any,
        )?;
        Ok(backends)
    }

    /// Returns the settings of the instance with an index, which names it and selects its zone.
    pub fn settings(&self, index: usize) -> Settings {
        Settings {
            name: format!("entry-{}", index + 1),
            fleet: self.backends.platform_addr.to_string(),
            zone: self.deployment.zones()[index % 3].to_owned(),
            listen: FREE_PORT,
            peer_listen: FREE_PORT,
            peers: self.instances.iter().map(Instance::peer_addr).collect(),
            platform: self.backends.platform_addr,
            gossip_interval_ms: 200,
            receipt_flush_ms: 200,
            settle_interval_ms: 300,
            address_lifetime_ms: 1_000,
            ..Settings::default()
        }
    }

    /// Writes the entry instances to the platform's instance list.
    pub fn list_instances(&self) {
        let mut list = Vec::new();
        for (index, instance) in self.instances.iter().enumerate() {
            list.push(ListedInstance {
                name: format!("entry-{}", index + 1).into(),
                addr: instance.peer_addr().to_string().into(),
                zone: self.deployment.zones()[index % 3].into(),
                state: InstanceState::Live,
            });
        }
        self.backends.state.set_instances(list);
    }

    /// Waits until every instance serves and has discovered the others.
    ///
    /// # Errors
    ///
    /// Fails when an instance is not ready in time.
    pub fn wait_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let count = self.instances.len();
        let ready =
            |instance: &Instance| instance.is_serving() && instance.live_instances() >= count;
        while !self.instances.iter().all(ready) {
            if Instant::now() > deadline {
                bail!("an entry instance is not serving or has not discovered the others");
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Creates a caller in a zone.
    pub fn caller(&self, zone: &str) -> Caller {
        Caller::new(
            self.instances.iter().map(Instance::http_addr).collect(),
            zone,
        )
    }

    /// Waits until there are at least as many receipts as given and the statements equal their sums.
    ///
    /// Returns the records as they are when the wait times out.
    pub fn wait_for_billing(&self, receipts: usize) -> BillingRecords {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let billing = BillingRecords::read(&self.backends.state.objects);
            if (billing.receipts.len() >= receipts && billing.is_balanced())
                || Instant::now() > deadline
            {
                return billing;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the log of executed calls.
    pub fn runs(&self) -> &RunLog {
        &self.backends.state.runs
    }
}
