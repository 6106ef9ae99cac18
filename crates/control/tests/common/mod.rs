//! A store that tests steer, and instances over it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_io::Timer;
use catalog::Object;
use control::{
    DecodeError, Dependencies, Feed, Handle, RolloutSpec, RolloutState, Settings, StoreCodec,
};
use kernel::{SystemClock, Verdict};
use route::{Route, Table, Target};
use serde_json::{Value, json};
use serve::{Endpoint, VersionCounters, View};
use store::{Expect, Listing, ObjectApi, StoreError};
use web::BoxFuture;

/// How long a test waits for something to come about.
const PATIENCE: Duration = Duration::from_secs(8);

/// The longest that a watch waits.
pub const LONGEST_WAIT: Duration = Duration::from_secs(4);

/// How often it looks.
const TICK: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Shelf {
    revision: u64,
    objects: BTreeMap<String, Object>,
    log: Vec<Object>,
    /// The prefixes whose calls fail.
    away: BTreeSet<String>,
}

/// A store in memory, whose clones are the same store.
#[derive(Clone, Default)]
pub struct Shelves {
    shelf: Arc<Mutex<Shelf>>,
}

impl Shelves {
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
        let shelf = self.shelf.lock().unwrap();
        shelf
            .objects
            .get(path)
            .and_then(|object| object.value.clone())
    }

    fn change(&self, path: &str, value: Option<Value>) -> u64 {
        let mut shelf = self.shelf.lock().unwrap();
        shelf.revision += 1;
        let object = Object {
            path: path.into(),
            revision: shelf.revision,
            value,
        };
        shelf.log.push(object.clone());
        if object.value.is_some() {
            shelf.objects.insert(path.to_owned(), object);
        } else {
            shelf.objects.remove(path);
        }
        shelf.revision
    }
}

/// One instance's way to the store.
#[derive(Clone, Default)]
pub struct Way {
    pub shelves: Shelves,
    pub away: Arc<Mutex<BTreeSet<String>>>,
    /// The calls that were made.
    pub calls: Arc<AtomicU64>,
    /// Whether watches get no answer any more, not even an end.
    pub silent: Arc<AtomicBool>,
}

impl Way {
    /// Makes the calls on a prefix fail, or work again.
    pub fn set_away(&self, prefix: &str, away: bool) {
        let mut set = self.away.lock().unwrap();
        if away {
            set.insert(prefix.to_owned());
        } else {
            set.remove(prefix);
        }
    }

    /// Makes all calls fail, or work again.
    pub fn set_all_away(&self, away: bool) {
        for feed in Feed::ALL {
            self.set_away(PlainCodec.prefix(feed), away);
        }
    }

    fn check(&self, path: &str) -> Result<(), StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let away = self.away.lock().unwrap();
        if away.iter().any(|prefix| path.starts_with(&**prefix)) {
            return Err(StoreError::Unavailable {
                verdict: Verdict::NotRun,
                message: "away".to_owned(),
            });
        }
        Ok(())
    }

    async fn wait(&self, prefix: &str, from: u64, wait_ms: u64) -> Result<Listing, StoreError> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            self.check(prefix)?;
            while self.silent.load(Ordering::Relaxed) {
                Timer::after(TICK).await;
            }
            let (revision, objects) = {
                let shelf = self.shelves.shelf.lock().unwrap();
                let newer =
                    |object: &&Object| object.revision > from && object.path.starts_with(prefix);
                let objects: Vec<Object> = shelf.log.iter().filter(newer).cloned().collect();
                (shelf.revision, objects)
            };
            if !objects.is_empty() || Instant::now() >= until {
                return Ok(Listing { revision, objects });
            }
            Timer::after(TICK).await;
        }
    }
}

impl ObjectApi for Way {
    fn get<'a>(&'a self, path: &'a str) -> BoxFuture<'a, Result<Object, StoreError>> {
        Box::pin(async move {
            self.check(path)?;
            let shelf = self.shelves.shelf.lock().unwrap();
            shelf.objects.get(path).cloned().ok_or(StoreError::NotFound)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            self.check(prefix)?;
            let shelf = self.shelves.shelf.lock().unwrap();
            let listed = shelf.objects.values();
            let objects = listed.filter(|object| object.path.starts_with(prefix));
            Ok(Listing {
                revision: shelf.revision,
                objects: objects.cloned().collect(),
            })
        })
    }

    fn put<'a>(
        &'a self,
        path: &'a str,
        value: &'a Value,
        expect: Expect,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            self.check(path)?;
            let held = {
                let shelf = self.shelves.shelf.lock().unwrap();
                // A status has the revision of the object that it belongs to.
                let owner = path.strip_suffix("/status").unwrap_or(path);
                let object = shelf.objects.get(path).or_else(|| shelf.objects.get(owner));
                object.map(|object| object.revision)
            };
            let fits = match expect {
                Expect::Any => true,
                Expect::Absent => held.is_none(),
                Expect::Revision(revision) => held == Some(revision),
            };
            if !fits {
                return Err(StoreError::Conflict);
            }
            Ok(self.shelves.change(path, Some(value.clone())))
        })
    }

    fn delete<'a>(
        &'a self,
        path: &'a str,
        _expect: Expect,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            self.check(path)?;
            Ok(self.shelves.change(path, None))
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
            wait_ms.min(LONGEST_WAIT.as_millis() as u64),
        ))
    }
}

/// Objects as plain values.
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

/// One running instance.
pub struct Instance {
    pub way: Way,
    pub view: Arc<ArcSwap<View>>,
    pub handle: Handle,
    pub peer_addr: SocketAddr,
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

impl Instance {
    /// Starts an instance over a store.
    pub fn start(name: &str, shelves: &Shelves) -> Instance {
        let way = Way {
            shelves: shelves.clone(),
            ..Way::default()
        };
        Instance::start_over(name, way)
    }

    /// Starts an instance over its way to the store.
    pub fn start_over(name: &str, way: Way) -> Instance {
        Instance::start_with(name, way, |settings| settings)
    }

    /// Starts an instance with settings of its own.
    pub fn start_with(name: &str, way: Way, adjust: impl Fn(Settings) -> Settings) -> Instance {
        let peer_addr = free_addr();
        let view: Arc<ArcSwap<View>> = Arc::default();
        let settings = Settings::new(name, "z")
            .addresses(&format!("{name}:80"), &peer_addr.to_string())
            .gossip_interval_ms(50);
        let settings = adjust(settings);
        let ports = Dependencies {
            clock: Arc::new(SystemClock::new()),
            store: Arc::new(way.clone()),
            codec: Arc::new(PlainCodec),
            version_counters: Arc::new(VersionCounters::default()),
            view: view.clone(),
        };
        let handle = control::start(settings, peer_addr, ports).unwrap();
        Instance {
            way,
            view,
            handle,
            peer_addr,
        }
    }

    /// Returns the endpoints that take work.
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

/// Waits until something holds.
pub fn eventually(what: &str, holds: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "never came about: {what}");
        std::thread::sleep(TICK);
    }
}

/// An endpoint's entry.
pub fn entry(version: &str) -> Value {
    json!({ "service": "app", "version": version })
}
