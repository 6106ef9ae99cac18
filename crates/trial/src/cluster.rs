//! Stand-ins and entry instances in one process.

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

/// A free port on loopback.
const FREE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// How long starting and settling may take.
const PATIENCE: Duration = Duration::from_secs(20);

/// How often starting and settling are looked at.
const TICK: Duration = Duration::from_millis(20);

/// Threads that run the stand-ins.
const BACKEND_THREADS: usize = 2;

/// A deployment on loopback.
pub struct TestCluster {
    /// The deployment.
    pub deployment: Deployment,
    /// The stand-ins.
    pub backends: FakeBackends,
    /// The entry instances.
    pub instances: Vec<Instance>,
}

impl TestCluster {
    /// Starts stand-ins, declares the deployment, and starts entry instances over its zones.
    ///
    /// # Errors
    ///
    /// Fails when something cannot start in time.
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

    /// Starts the stand-ins alone and declares the deployment.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub fn start_backends(deployment: Deployment, token_ms: u64) -> anyhow::Result<FakeBackends> {
        let executor = Arc::new(Executor::new());
        let plan = FakeBackendsConfig {
            declarations: deployment.declarations()?,
            platform_addr: FREE,
            free_ports: true,
            token_ms,
        };
        let backends = FakeBackends::start(plan, &executor)?;
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

    /// Returns the settings of one instance.
    pub fn settings(&self, index: usize) -> Settings {
        Settings {
            name: format!("entry-{}", index + 1),
            zone: self.deployment.zones()[index % 3].to_owned(),
            listen: FREE,
            peer_listen: FREE,
            peers: self.instances.iter().map(Instance::peer_addr).collect(),
            platform: self.backends.platform_addr,
            gossip_interval_ms: 200,
            receipt_flush_ms: 200,
            settle_interval_ms: 300,
            address_lifetime_ms: 1_000,
            ..Settings::default()
        }
    }

    /// Puts the instances into the platform's list.
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

    /// Waits until every instance serves and knows the others.
    ///
    /// # Errors
    ///
    /// Fails when one does not in time.
    pub fn wait_ready(&self) -> anyhow::Result<()> {
        let end = Instant::now() + PATIENCE;
        let count = self.instances.len();
        let ready =
            |instance: &Instance| instance.is_serving() && instance.live_instances() >= count;
        while !self.instances.iter().all(ready) {
            if Instant::now() > end {
                bail!("an instance does not serve, or does not know the others");
            }
            std::thread::sleep(TICK);
        }
        Ok(())
    }

    /// Makes a caller in a zone.
    pub fn caller(&self, zone: &str) -> Caller {
        Caller::new(
            self.instances.iter().map(Instance::http_addr).collect(),
            zone,
        )
    }

    /// Waits until the billing records hold at least as many receipts as asked and balance, or the timeout ends.
    pub fn wait_for_billing(&self, receipts: usize) -> BillingRecords {
        let end = Instant::now() + PATIENCE;
        loop {
            let billing = BillingRecords::read(&self.backends.state.objects);
            if (billing.receipts.len() >= receipts && billing.is_balanced()) || Instant::now() > end
            {
                return billing;
            }
            std::thread::sleep(TICK);
        }
    }

    /// Returns the record of runs.
    pub fn runs(&self) -> &RunLog {
        &self.backends.state.runs
    }
}
