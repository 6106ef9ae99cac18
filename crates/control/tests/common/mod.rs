//! An in-memory store with injected failures, and control threads that use it.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod partition;
pub mod slow_fleet;
pub mod slow_link;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_io::Timer;
use catalog::Object;
use check::Findings;
use control::{
    DecodeError, Dependencies, Feed, Handle, RolloutSpec, RolloutState, Settings, StoreCodec,
};
use kernel::{Clock, SystemClock, Verdict};
use route::{Route, Table, Target};
use serde_json::{Value, json};
use serve::{Endpoint, SharedLoads, VersionCounters, View};
use store::{Listing, ObjectApi, Precondition, StoreError};
use web::BoxFuture;

/// How long a test waits for a condition.
const TIMEOUT: Duration = Duration::from_secs(8);

/// The longest time that a watch call waits for a change.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(4);

/// How long a client waits for a response beyond the requested wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How often conditions and changes are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone, Default)]
struct StoreState {
    revision: u64,
    era: u64,
    objects: BTreeMap<String, Object>,
    log: Vec<Object>,
    /// The prefixes whose calls fail.
    failing_prefixes: BTreeSet<String>,
}

/// An older copy of a store.
pub struct StoreCopy(StoreState);

/// A store in memory. Clones share the same objects.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<StoreState>>,
}

impl MemoryStore {
    /// Writes an object.
    pub fn write(&self, path: &str, value: Value) {
        self.change(path, Some(value));
    }

    /// Removes an object.
    pub fn remove(&self, path: &str) {
        self.change(path, None);
    }

    /// Returns an object's value.
    pub fn value(&self, path: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        state
            .objects
            .get(path)
            .and_then(|object| object.value.clone())
    }

    /// Returns a copy of the store, from which it may come back.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().unwrap().clone())
    }

    /// Comes back from an older copy, in a new era.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock().unwrap();
        let era = state.era + 1;
        *state = StoreState {
            era,
            ..copy.0.clone()
        };
    }

    fn change(&self, path: &str, value: Option<Value>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let object = Object {
            path: path.into(),
            revision: state.revision,
            value,
        };
        state.log.push(object.clone());
        if object.value.is_some() {
            state.objects.insert(path.to_owned(), object);
        } else {
            state.objects.remove(path);
        }
        state.revision
    }
}

/// One instance's connection to the store.
#[derive(Clone, Default)]
pub struct StoreConnection {
    pub store: MemoryStore,
    pub failing_prefixes: Arc<Mutex<BTreeSet<String>>>,
    /// The number of calls made.
    pub calls: Arc<AtomicU64>,
    /// The number of calls that failed, by path.
    failed_calls: Arc<Mutex<BTreeMap<String, u64>>>,
    /// Whether watches get no response at all, not even at the end of their wait.
    pub stalled: Arc<AtomicBool>,
    /// Whether all responses are lost.
    silent: Arc<AtomicBool>,
    /// How often the watches that were waiting were lost.
    lost_watches: Arc<AtomicU64>,
}

impl StoreConnection {
    /// Returns a connection of its own to a store.
    pub fn to(store: &MemoryStore) -> StoreConnection {
        StoreConnection {
            store: store.clone(),
            ..StoreConnection::default()
        }
    }

    /// Makes the calls on a prefix fail, or work again.
    pub fn set_unavailable(&self, prefix: &str, unavailable: bool) {
        let mut set = self.failing_prefixes.lock().unwrap();
        if unavailable {
            set.insert(prefix.to_owned());
        } else {
            set.remove(prefix);
        }
    }

    /// Makes all calls fail, or work again.
    pub fn set_all_unavailable(&self, unavailable: bool) {
        for feed in Feed::ALL {
            self.set_unavailable(PlainCodec.prefix(feed), unavailable);
        }
    }

    /// Returns the number of calls on a path that failed.
    pub fn failed_calls(&self, path: &str) -> u64 {
        let failed_calls = self.failed_calls.lock().unwrap();
        failed_calls.get(path).copied().unwrap_or_default()
    }

    /// Makes the store lose all its responses, or respond again.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Makes the watches that are waiting now get no response.
    pub fn lose_watches(&self) {
        self.lost_watches.fetch_add(1, Ordering::Relaxed);
    }

    /// Waits for a response that was lost until the client's timeout.
    async fn lost_response<T>(&self, deadline: Instant) -> Result<T, StoreError> {
        Timer::at(deadline + RESPONSE_TIMEOUT).await;
        Err(StoreError::Unavailable {
            verdict: Verdict::MayHaveRun,
            message: "no response".to_owned(),
        })
    }

    /// Returns the response of a call that does not wait, unless it is lost.
    async fn respond<T>(&self, response: Result<T, StoreError>) -> Result<T, StoreError> {
        self.respond_by(Instant::now(), response).await
    }

    /// Returns the response of a call that waits until the deadline, unless it is lost.
    async fn respond_by<T>(
        &self,
        deadline: Instant,
        response: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        if self.silent.load(Ordering::Relaxed) {
            return self.lost_response(deadline).await;
        }
        response
    }

    fn check(&self, path: &str) -> Result<(), StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let failing_prefixes = self.failing_prefixes.lock().unwrap();
        if failing_prefixes
            .iter()
            .any(|prefix| path.starts_with(&**prefix))
        {
            let mut failed_calls = self.failed_calls.lock().unwrap();
            *failed_calls.entry(path.to_owned()).or_default() += 1;
            return Err(StoreError::Unavailable {
                verdict: Verdict::NotRun,
                message: "store unavailable".to_owned(),
            });
        }
        Ok(())
    }

    async fn wait(&self, prefix: &str, from: u64, wait_ms: u64) -> Result<Listing, StoreError> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let lost_watches = self.lost_watches.load(Ordering::Relaxed);
        loop {
            self.check(prefix)?;
            if self.lost_watches.load(Ordering::Relaxed) != lost_watches {
                return self.lost_response(deadline).await;
            }
            while self.stalled.load(Ordering::Relaxed) {
                Timer::after(POLL_INTERVAL).await;
            }
            let (revision, era, objects) = {
                let state = self.store.state.lock().unwrap();
                let newer =
                    |object: &&Object| object.revision > from && object.path.starts_with(prefix);
                let objects: Vec<Object> = state.log.iter().filter(newer).cloned().collect();
                if from > state.revision {
                    return Err(StoreError::Expired);
                }
                (state.revision, state.era, objects)
            };
            if !objects.is_empty() || Instant::now() >= deadline {
                return self
                    .respond_by(
                        deadline,
                        Ok(Listing {
                            revision,
                            era,
                            objects,
                        }),
                    )
                    .await;
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

impl ObjectApi for StoreConnection {
    fn get<'a>(&'a self, path: &'a str) -> BoxFuture<'a, Result<Object, StoreError>> {
        Box::pin(async move {
            self.check(path)?;
            let object = {
                let state = self.store.state.lock().unwrap();
                state.objects.get(path).cloned().ok_or(StoreError::NotFound)
            };
            self.respond(object).await
        })
    }

    fn ping(&self) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async move {
            let turned_away = self.failing_prefixes.lock().unwrap().len() == Feed::ALL.len();
            let response = if turned_away {
                Err(StoreError::Unavailable {
                    verdict: Verdict::NotRun,
                    message: "store unavailable".to_owned(),
                })
            } else {
                Ok(())
            };
            self.respond(response).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            self.check(prefix)?;
            let listing = {
                let state = self.store.state.lock().unwrap();
                let listed = state.objects.values();
                let objects = listed.filter(|object| object.path.starts_with(prefix));
                Listing {
                    revision: state.revision,
                    era: state.era,
                    objects: objects.cloned().collect(),
                }
            };
            self.respond(Ok(listing)).await
        })
    }

    fn put<'a>(
        &'a self,
        path: &'a str,
        value: &'a Value,
        expect: Precondition,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            self.check(path)?;
            let held = {
                let state = self.store.state.lock().unwrap();
                // A first status is written with the revision of the object that it describes.
                let owner = path.strip_suffix("/status").unwrap_or(path);
                let object = state.objects.get(path).or_else(|| state.objects.get(owner));
                object.map(|object| object.revision)
            };
            let matches = match expect {
                Precondition::Any => true,
                Precondition::Absent => held.is_none(),
                Precondition::Revision(revision) => held == Some(revision),
            };
            if !matches {
                return Err(StoreError::Conflict);
            }
            self.respond(Ok(self.store.change(path, Some(value.clone()))))
                .await
        })
    }

    fn delete<'a>(
        &'a self,
        path: &'a str,
        _expect: Precondition,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            self.check(path)?;
            Ok(self.store.change(path, None))
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from_revision: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<Listing, StoreError>> {
        Box::pin(self.wait(
            prefix,
            from_revision,
            wait_ms.min(MAX_WATCH_WAIT.as_millis() as u64),
        ))
    }
}

/// A codec for plain JSON values.
pub struct PlainCodec;

fn text(value: &Value, field: &str) -> Result<String, DecodeError> {
    let text = value.get(field).and_then(Value::as_str);
    text.map(str::to_owned).ok_or_else(|| DecodeError {
        message: format!("field '{field}' is missing"),
    })
}

impl StoreCodec for PlainCodec {
    fn prefix(&self, feed: Feed) -> &str {
        match feed {
            Feed::Config => "config/",
            Feed::Endpoints => "endpoints/",
            Feed::Rollouts => "rollouts/",
            Feed::Instances => "instances/",
            Feed::Shifts => "shifts/",
            Feed::Evacuations => "evacuations/",
        }
    }

    fn decode_table(&self, object: &Object) -> Result<Table, DecodeError> {
        let value = object.value.clone().unwrap_or_default();
        let version = value.get("version").and_then(Value::as_u64);
        let version = version.ok_or_else(|| DecodeError {
            message: "field 'version' is missing".to_owned(),
        })?;
        let route = Route::new("x", "h", "/").with_target(Target::new("app", 1));
        Ok(Table::new(version).with_route(route))
    }

    fn check_config(&self, object: &Object, _limit: usize) -> Findings {
        let value = object.value.as_ref();
        let check_ms = value.and_then(|value| value["check_ms"].as_u64());
        std::thread::sleep(Duration::from_millis(check_ms.unwrap_or_default()));
        Findings::default()
    }

    fn decode_endpoint(&self, object: &Object) -> Result<Endpoint, DecodeError> {
        let value = object.value.clone().unwrap_or_default();
        Ok(Endpoint {
            id: object.path.clone(),
            started_ms: value.get("born").and_then(Value::as_u64),
            service: text(&value, "service")?.into(),
            addr: "127.0.0.1:1".parse().unwrap(),
            zone: "z".into(),
            version: text(&value, "version")?.into(),
            slots: 1,
            draining: value.get("leaving").is_some(),
            cold_left: None,
        })
    }

    fn decode_rollout(&self, object: &Object) -> Result<RolloutSpec, DecodeError> {
        let value = object.value.clone().unwrap_or_default();
        Ok(RolloutSpec {
            service: text(&value, "service")?.into(),
            target: text(&value, "target")?.into(),
            duration_ms: 4_000,
        })
    }

    fn decode_rollout_state(&self, status: &Value, target: &str) -> Option<RolloutState> {
        if status["target"] != target {
            return None;
        }
        match status["state"].as_str()? {
            "running" => Some(RolloutState::Running),
            "succeeded" => Some(RolloutState::Succeeded),
            _ => Some(RolloutState::RolledBack),
        }
    }

    fn encode_rollout_state(&self, state: RolloutState, target: &str) -> Value {
        let state = match state {
            RolloutState::Running => "running",
            RolloutState::Succeeded => "succeeded",
            RolloutState::RolledBack => "rolled-back",
        };
        json!({ "state": state, "target": target })
    }
}

/// A running control thread.
pub struct Instance {
    clock: Arc<SystemClock>,
    pub shared_loads: Arc<SharedLoads>,
    pub version_counters: Arc<VersionCounters>,
    pub connection: StoreConnection,
    pub view: Arc<ArcSwap<View>>,
    pub handle: Handle,
    pub peer_addr: SocketAddr,
}

/// Returns an address on which nothing listens.
pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

impl Instance {
    /// Starts an instance with a connection of its own to a store.
    pub fn start(name: &str, store: &MemoryStore) -> Instance {
        Instance::start_on(name, StoreConnection::to(store))
    }

    /// Starts an instance on an existing connection to a store.
    pub fn start_on(name: &str, connection: StoreConnection) -> Instance {
        Instance::start_with(name, connection, |settings| settings)
    }

    /// Starts an instance with adjusted settings.
    pub fn start_with(
        name: &str,
        connection: StoreConnection,
        adjust: impl Fn(Settings) -> Settings,
    ) -> Instance {
        let listen = free_addr();
        Instance::start_behind(name, connection, listen, listen, adjust)
    }

    /// Starts an instance that listens on `listen` and that peers reach at `peer_addr`.
    pub fn start_behind(
        name: &str,
        connection: StoreConnection,
        listen: SocketAddr,
        peer_addr: SocketAddr,
        adjust: impl Fn(Settings) -> Settings,
    ) -> Instance {
        let view: Arc<ArcSwap<View>> = Arc::default();
        let settings = Settings::new(name, "z")
            .addresses(&format!("{name}:80"), &peer_addr.to_string())
            .gossip_interval_ms(50);
        let settings = adjust(settings);
        let shared_loads: Arc<SharedLoads> = Arc::default();
        let version_counters: Arc<VersionCounters> = Arc::default();
        let clock = Arc::new(SystemClock::new());
        let dependencies = Dependencies {
            clock: clock.clone(),
            store: Arc::new(connection.clone()),
            codec: Arc::new(PlainCodec),
            version_counters: version_counters.clone(),
            shared_loads: shared_loads.clone(),
            view: view.clone(),
        };
        let handle = control::start(settings, listen, dependencies).unwrap();
        Instance {
            clock,
            shared_loads,
            version_counters,
            connection,
            view,
            handle,
            peer_addr,
        }
    }

    /// Returns the time of the instance's clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.mono_ms()
    }

    /// Returns the ids of the endpoints that accept requests.
    pub fn endpoints(&self) -> Vec<String> {
        let view = self.view.load();
        let pool = view.pools.get("app");
        let ids = pool.map(|pool| {
            pool.endpoints
                .iter()
                .map(|endpoint| endpoint.id.to_string())
        });
        ids.into_iter().flatten().collect()
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.view.load().table.as_ref().map(|table| table.version())
    }
}

/// Waits until a condition holds, and panics after the timeout.
pub fn eventually(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the value of an endpoint's entry with this version.
pub fn entry(version: &str) -> Value {
    json!({ "service": "app", "version": version })
}
