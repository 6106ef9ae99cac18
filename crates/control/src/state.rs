//! The state of the control thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use arc_swap::ArcSwap;
use catalog::{Object, Replica};
use kernel::{Clock, Incarnation};
use member::{Member, MemberTable as Members, MemberTableSettings, Status};
use serve::{Pool, VersionCounters, View};
use store::ObjectApi;

use crate::codec::{Feed, StoreCodec};
use crate::registry::EndpointRegistry;
use crate::settings::Settings;
use crate::shift::Shifts;

/// How long the store may be silent beyond a watch before peers are asked, in milliseconds.
const STORE_SILENT_MS: u64 = 1_500;

/// The end of the paths of objects that say how another one stands.
pub(crate) const STATUS_SUFFIX: &str = "/status";

/// How this instance stands with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Contact {
    Good,
    LostAt(u64),
}

/// A revision that is held here while a peer is ahead of it.
#[derive(Debug, Clone, Copy)]
struct Behind {
    revision: u64,
    since_ms: u64,
}

/// How long a peer may be ahead before its objects are fetched although the store seems to answer, in
/// milliseconds: many times what a watch takes to tell of a change.
const BEHIND_MS: u64 = 600;

/// The control state, used on one thread and never borrowed across a wait.
pub(crate) struct Control {
    pub(crate) settings: Settings,
    pub(crate) me: Incarnation,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: Arc<dyn ObjectApi>,
    pub(crate) codec: Arc<dyn StoreCodec>,
    pub(crate) version_counters: Arc<VersionCounters>,
    pub(crate) view: Arc<ArcSwap<View>>,
    pub(crate) members_out: Arc<ArcSwap<Vec<Member>>>,
    pub(crate) replica: RefCell<Replica>,
    pub(crate) members: RefCell<Members>,
    pub(crate) shifts: RefCell<Shifts>,
    registry: RefCell<EndpointRegistry>,
    table: RefCell<Option<Arc<route::Table>>>,
    table_revision: Cell<u64>,
    contacts: RefCell<BTreeMap<Feed, Contact>>,
    regained_ms: Cell<Option<u64>>,
    pub(crate) stopping: Cell<bool>,
    /// Whether peers are still to be told of a change.
    pub(crate) untold: Cell<bool>,
    /// Since when a peer is ahead of the revision held here.
    behind: Cell<Option<Behind>>,
    generation: Cell<u64>,
}

/// What the control thread is made of.
pub(crate) struct Parts {
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: Arc<dyn ObjectApi>,
    pub(crate) codec: Arc<dyn StoreCodec>,
    pub(crate) version_counters: Arc<VersionCounters>,
    pub(crate) view: Arc<ArcSwap<View>>,
    pub(crate) members_out: Arc<ArcSwap<Vec<Member>>>,
}

impl Control {
    pub(crate) fn new(parts: Parts) -> Control {
        let table = MemberTableSettings {
            suspect_timeout_ms: parts.settings.suspect_ms,
            ..MemberTableSettings::default()
        };
        Control {
            me: parts.me.incarnation,
            replica: RefCell::default(),
            members: RefCell::new(Members::new(parts.me, table)),
            shifts: RefCell::default(),
            registry: RefCell::new(EndpointRegistry::default()),
            table: RefCell::default(),
            table_revision: Cell::new(0),
            contacts: RefCell::default(),
            regained_ms: Cell::new(None),
            stopping: Cell::new(false),
            untold: Cell::new(false),
            behind: Cell::new(None),
            generation: Cell::new(0),
            settings: parts.settings,
            clock: parts.clock,
            store: parts.store,
            codec: parts.codec,
            version_counters: parts.version_counters,
            view: parts.view,
            members_out: parts.members_out,
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.mono_ms()
    }

    /// Takes objects from the store or a peer, publishes them at once, and returns whether any was
    /// new.
    pub(crate) fn take(&self, objects: Vec<Object>) -> bool {
        let mut fresh = false;
        for object in objects {
            if !self.replica.borrow_mut().apply(object.clone()) {
                continue;
            }
            fresh = true;
            self.interpret(&object);
        }
        if fresh {
            self.untold.set(true);
            self.publish();
        }
        fresh
    }

    /// Takes a whole listing of a feed.
    pub(crate) fn take_listing(&self, feed: Feed, revision: u64, objects: Vec<Object>) {
        let prefix = self.codec.prefix(feed).to_owned();
        let before = self.replica.borrow().digest().max_revision;
        let changed = self
            .replica
            .borrow_mut()
            .apply_listing(&prefix, revision, objects);
        if !changed {
            return;
        }
        tracing::info!(?feed, revision, before, "config: listed anew");
        let under: Vec<Object> = {
            let replica = self.replica.borrow();
            let newer = replica.since(0, usize::MAX);
            newer
                .into_iter()
                .filter(|object| object.path.starts_with(&prefix))
                .collect()
        };
        for object in under {
            self.interpret(&object);
        }
        self.untold.set(true);
        self.publish();
    }

    /// Reads one changed object into what it stands for.
    fn interpret(&self, object: &Object) {
        let under = |feed| object.path.starts_with(self.codec.prefix(feed));
        if under(Feed::Config) {
            self.interpret_config(object);
        } else if under(Feed::Endpoints) {
            self.interpret_endpoint(object);
        }
    }

    fn interpret_config(&self, object: &Object) {
        if object.value.is_none() || object.revision <= self.table_revision.get() {
            return;
        }
        match self.codec.decode_table(object) {
            Ok(table) => {
                let held = self.table.borrow().as_ref().map(|table| table.version());
                if held.is_some_and(|held| held > table.version()) {
                    return;
                }
                self.table_revision.set(object.revision);
                tracing::info!(
                    version = table.version(),
                    revision = object.revision,
                    "config: in force"
                );
                *self.table.borrow_mut() = Some(Arc::new(table));
            }
            Err(problem) => {
                tracing::warn!(path = &*object.path, %problem, "config: unreadable, kept the last");
            }
        }
    }

    fn interpret_endpoint(&self, object: &Object) {
        if object.path.ends_with(STATUS_SUFFIX) {
            return;
        }
        let mut registry = self.registry.borrow_mut();
        if object.value.is_none() {
            let kept_until_ms = self.kept_until_ms();
            registry.remove(&object.path, kept_until_ms);
            tracing::info!(
                path = &*object.path,
                revision = object.revision,
                kept_until_ms,
                "endpoint: gone"
            );
            return;
        }
        match self.codec.decode_endpoint(object) {
            Ok(endpoint) => {
                tracing::info!(
                    id = &*endpoint.id,
                    service = &*endpoint.service,
                    version = &*endpoint.version,
                    leaving = endpoint.draining,
                    revision = object.revision,
                    "endpoint: entry"
                );
                registry.insert(&object.path, endpoint);
            }
            Err(problem) => {
                tracing::warn!(path = &*object.path, %problem, "endpoint: unusable entry");
                registry.invalidate(&object.path);
            }
        }
    }

    /// Notes how a call to the store about a feed ended.
    pub(crate) fn note_contact(&self, feed: Feed, good: bool) {
        let now_ms = self.now_ms();
        let was_away = self.store_away();
        let contact = match (good, self.contacts.borrow().get(&feed)) {
            (true, _) => Contact::Good,
            (false, Some(Contact::LostAt(since_ms))) => Contact::LostAt(*since_ms),
            (false, _) => Contact::LostAt(now_ms),
        };
        let before = self.contacts.borrow_mut().insert(feed, contact);
        let was_lost = matches!(before, Some(Contact::LostAt(_)));
        if feed == Feed::Endpoints && good && was_lost {
            self.regained_ms.set(Some(now_ms));
        }
        if feed == Feed::Endpoints && good && before != Some(Contact::Good) {
            self.publish();
        }
        let away = self.store_away();
        if was_away == away {
            return;
        }
        self.publish();
        if away {
            tracing::warn!(?feed, "store: lost");
        } else {
            tracing::info!(?feed, "store: regained");
        }
    }

    /// Forgets a feed that is watched by others.
    pub(crate) fn forget_contact(&self, feed: Feed) {
        self.contacts.borrow_mut().remove(&feed);
    }

    /// Returns whether the store turns this instance away, or cannot be reached.
    pub(crate) fn store_away(&self) -> bool {
        let contacts = self.contacts.borrow();
        contacts.is_empty() || contacts.values().any(|contact| *contact != Contact::Good)
    }

    /// Notes whether a peer is ahead, and returns whether one has been for so long that the store's
    /// watches must have gone silent.
    pub(crate) fn note_behind(&self, ahead: bool, revision: u64) -> bool {
        if !ahead {
            return false;
        }
        let now_ms = self.now_ms();
        let held = self.behind.get().filter(|held| held.revision == revision);
        let behind = held.unwrap_or(Behind {
            revision,
            since_ms: now_ms,
        });
        self.behind.set(Some(behind));
        now_ms >= behind.since_ms + BEHIND_MS
    }

    /// Returns whether peers must be asked for what the store does not tell.
    pub(crate) fn needs_peers(&self) -> bool {
        let now_ms = self.now_ms();
        let contacts = self.contacts.borrow();
        let silent = contacts.values().any(|contact| match contact {
            Contact::Good => false,
            Contact::LostAt(since_ms) => now_ms >= since_ms + STORE_SILENT_MS / 5,
        });
        contacts.is_empty() || silent || !self.is_watcher()
    }

    /// Returns until when an endpoint is kept whose entry went away just now: entries that lapse in
    /// an outage of the store are written again soon after it.
    fn kept_until_ms(&self) -> Option<u64> {
        let now_ms = self.now_ms();
        let grace_ms = self.settings.expiry_grace_ms;
        let contact = self.contacts.borrow().get(&Feed::Endpoints).copied();
        if let Some(Contact::LostAt(_)) = contact {
            return Some(now_ms + grace_ms);
        }
        let until_ms = self.regained_ms.get()? + grace_ms;
        (now_ms < until_ms).then_some(until_ms)
    }

    /// Returns the instances that watch the store, which all instances choose alike.
    pub(crate) fn watchers(&self) -> Vec<Member> {
        let members = self.members.borrow();
        let mut alive: Vec<&Member> = members
            .live()
            .into_iter()
            .filter(|member| member.status == Status::Alive)
            .collect();
        if alive.len() > self.settings.full_watch_max_instances {
            // Live members come sorted by incarnation.
            alive.truncate(self.settings.watchers);
        }
        alive.into_iter().cloned().collect()
    }

    /// Returns whether this instance is among those that watch the store.
    pub(crate) fn is_watcher(&self) -> bool {
        let watchers = self.watchers();
        watchers.iter().any(|member| member.incarnation == self.me)
    }

    /// Returns whether some instances hear of changes from peers only.
    pub(crate) fn has_listeners(&self) -> bool {
        self.members.borrow().live().len() > self.settings.full_watch_max_instances
    }

    /// Returns whether a configuration is known.
    pub(crate) fn is_configured(&self) -> bool {
        self.table.borrow().is_some()
    }

    /// Does what time alone brings about.
    pub(crate) fn tick(&self) {
        let now_ms = self.now_ms();
        if self.registry.borrow_mut().expire(now_ms) {
            self.publish();
        }
    }

    /// Publishes the members, after probes.
    pub(crate) fn publish_members(&self) {
        let members = self.members.borrow();
        let live: Vec<Member> = members.live().into_iter().cloned().collect();
        if **self.members_out.load() == live {
            return;
        }
        let names: Vec<&str> = live
            .iter()
            .filter(|member| member.accepts_requests())
            .map(|member| &*member.name)
            .collect();
        tracing::info!(takes_work = names.join(","), "member: changed");
        let instances = names.len().max(1);
        self.members_out.store(Arc::new(live));
        drop(members);
        if self.view.load().instance_count != instances {
            self.publish();
        }
    }

    /// Publishes what requests read.
    pub(crate) fn publish(&self) {
        let now_ms = self.now_ms();
        let mut pools: HashMap<Arc<str>, Pool> = HashMap::new();
        for endpoint in self.registry.borrow().usable(now_ms) {
            let pool = pools.entry(endpoint.service.clone()).or_default();
            pool.endpoints.push(endpoint);
        }
        for (service, pool) in &mut pools {
            pool.rollout = self.shifts.borrow().view(service, &self.settings.rollout);
        }
        let members = self.members_out.load();
        let instances = members
            .iter()
            .filter(|member| member.accepts_requests())
            .count();
        let table = self.table.borrow().clone();
        let listed = self.contacts.borrow().get(&Feed::Endpoints) == Some(&Contact::Good);
        let knows_endpoints = listed || !self.registry.borrow().is_empty();
        self.generation.set(self.generation.get() + 1);
        self.view.store(Arc::new(View {
            generation: self.generation.get(),
            accepting: table.is_some() && knows_endpoints && !self.stopping.get(),
            table,
            table_revision: self.table_revision.get(),
            pools: pools
                .into_iter()
                .map(|(service, pool)| (service, Arc::new(pool)))
                .collect(),
            instance_count: instances.max(1),
            store_unreachable: self.store_away(),
        }));
    }
}
