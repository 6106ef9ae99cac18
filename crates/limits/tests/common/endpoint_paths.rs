//! What one instance knows of its paths to the endpoints of a service, in virtual time.

use limits::{Path, ReachProbes};

/// How long a connection that was not established keeps requests from the endpoint.
const PAUSE_MS: u64 = 1_000;

/// Paths of one instance to the endpoints of a service, and its probes.
pub struct EndpointPaths {
    pub paths: Vec<Path>,
    pub probes: ReachProbes,
    paused_until_ms: Vec<u64>,
}

impl EndpointPaths {
    /// Creates the paths of an instance of a fleet, whose rank differs from endpoint to endpoint.
    pub fn new(endpoints: usize, instance: usize, instances: usize) -> EndpointPaths {
        let path = |endpoint: usize| Path {
            rank: (instance + endpoint * 7) % instances,
            ..Path::default()
        };
        EndpointPaths {
            paths: (0..endpoints).map(path).collect(),
            probes: ReachProbes::default(),
            paused_until_ms: vec![0; endpoints],
        }
    }

    /// Returns the endpoints that may get requests.
    pub fn open(&self, now_ms: u64) -> Vec<usize> {
        let is_open = |endpoint: &usize| self.paused_until_ms[*endpoint] <= now_ms;
        (0..self.paths.len()).filter(is_open).collect()
    }

    /// Records a connection that is established, and returns whether the endpoint was out of reach.
    pub fn record_connected(&mut self, endpoint: usize, now_ms: u64) -> bool {
        let path = &mut self.paths[endpoint];
        path.connected_ms = Some(now_ms);
        path.received_ms = now_ms;
        let was_unreached = path.unreached_since_ms.is_some();
        if was_unreached {
            self.restore(endpoint);
        }
        was_unreached
    }

    /// Records that a connection opened at a time was not established.
    pub fn record_failed(&mut self, endpoint: usize, opened_ms: u64, now_ms: u64) {
        let path = &mut self.paths[endpoint];
        path.failed_ms = path.failed_ms.max(Some(opened_ms));
        path.unreached_since_ms.get_or_insert(now_ms);
        self.paused_until_ms[endpoint] = now_ms + PAUSE_MS;
    }

    /// Plans the probes of an instance of a fleet, and returns the endpoints to probe now.
    pub fn plan(
        &mut self,
        instances: usize,
        now_ms: u64,
        random: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let plan = self.probes.plan(&self.paths, instances, now_ms, random);
        for endpoint in plan.restore {
            self.restore(endpoint);
        }
        for endpoint in &plan.probe {
            self.paths[*endpoint].probed_ms = Some(now_ms);
        }
        plan.probe
    }

    fn restore(&mut self, endpoint: usize) {
        self.paths[endpoint].unreached_since_ms = None;
        self.paused_until_ms[endpoint] = 0;
    }
}
