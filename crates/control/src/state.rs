//! The state of the control thread.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use arc_swap::ArcSwap;
use async_channel::Sender;
use catalog::{Object, Position, Replica, kind_of};
use kernel::{Clock, Incarnation};
use member::{Member, MemberTable as Members, MemberTableSettings, Status};
use serve::{Pool, SharedLoads, VersionCounters, View};
use store::{Listing, ObjectApi};
use wire::{ConfigDigest, Identity};

use crate::codec::{Feed, StoreCodec};
use crate::config_checks::ConfigChecks;
use crate::convert::missing_since;
use crate::encoded::EncodedObjects;
use crate::evacuations::Evacuations;
use crate::expiry_grace::ExpiryGrace;
use crate::fetch_counters::FetchCounters;
use crate::offer::Offer;
use crate::peer_loads::PeerLoads;
use crate::peer_paces::PeerPaces;
use crate::registry::EndpointRegistry;
use crate::settings::Settings;
use crate::store_liveness::StoreLiveness;
use crate::tracker::RolloutTrackers;
use crate::watch_interrupts::WatchInterrupts;

/// How long the store may be unavailable, in milliseconds. Changes are fetched from peers once a
/// fifth of it has passed since the first failed call about a feed.
const STORE_SILENT_MS: u64 = 1_500;

/// How long the store does not answer a watcher before others watch in its place, in milliseconds: a
/// second call fails by then.
const HAND_OVER_MS: u64 = 250;

/// How long an instance that no longer calls the store counts as one that it does not answer, in
/// milliseconds.
const LOST_STORE_MS: u64 = 10_000;

/// The path suffix of status objects; the rest is the path of the object that they describe.
pub(crate) const STATUS_SUFFIX: &str = "/status";

/// Whether the store answers this instance's calls about a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FeedStatus {
    Available,
    /// When the first failed call ended, in milliseconds.
    UnavailableSince(u64),
}

/// The latest position in this replica while a peer holds a later one, and since when.
#[derive(Debug, Clone, Copy)]
struct ReplicaLag {
    position: Position,
    since_ms: u64,
    is_reported: bool,
}

/// How long a peer may be ahead before its objects are fetched although the store seems to answer,
/// in milliseconds: many times what a watch takes to deliver a change.
const MAX_LAG_MS: u64 = 600;

/// The state of the control thread. Its cells must not stay borrowed across an await.
pub(crate) struct Control {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) identity: Identity,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: Arc<dyn ObjectApi>,
    pub(crate) codec: Arc<dyn StoreCodec>,
    pub(crate) version_counters: Arc<VersionCounters>,
    pub(crate) shared_loads: Arc<SharedLoads>,
    pub(crate) peer_loads: RefCell<PeerLoads>,
    pub(crate) peer_paces: RefCell<PeerPaces>,
    pub(crate) fetch_counters: Arc<FetchCounters>,
    pub(crate) view: Arc<ArcSwap<View>>,
    pub(crate) published_members: Arc<ArcSwap<Vec<Member>>>,
    pub(crate) replica: RefCell<Replica>,
    pub(crate) members: RefCell<Members>,
    pub(crate) trackers: RefCell<RolloutTrackers>,
    registry: RefCell<EndpointRegistry>,
    table: RefCell<Option<Arc<route::Table>>>,
    table_position: Cell<Position>,
    feed_statuses: RefCell<BTreeMap<Feed, FeedStatus>>,
    expiry_grace: ExpiryGrace,
    pub(crate) evacuations: Evacuations,
    pub(crate) liveness: StoreLiveness,
    pub(crate) interrupts: WatchInterrupts,
    pub(crate) config_checks: Rc<ConfigChecks>,
    /// When this instance said that the store does not answer it.
    lost_store_ms: Cell<Option<u64>>,
    pub(crate) stopping: Cell<bool>,
    /// Whether a message of another fleet was refused.
    pub(crate) other_fleet_seen: Cell<bool>,
    /// Whether every configured peer has responded or failed once.
    pub(crate) peers_tried: Cell<bool>,
    /// Whether a change has not been pushed to peers yet.
    pub(crate) has_unsent_changes: Cell<bool>,
    /// By kind of object, set from the time when a peer was first seen ahead of this replica.
    lags: RefCell<BTreeMap<String, ReplicaLag>>,
    /// Objects that peers offer.
    pub(crate) offers: Sender<Offer>,
    pub(crate) encoded: RefCell<EncodedObjects>,
    generation: Cell<u64>,
}

/// What the control state is built from.
pub(crate) struct Components {
    pub(crate) settings: Settings,
    pub(crate) own_member: Member,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: Arc<dyn ObjectApi>,
    pub(crate) codec: Arc<dyn StoreCodec>,
    pub(crate) version_counters: Arc<VersionCounters>,
    pub(crate) shared_loads: Arc<SharedLoads>,
    pub(crate) fetch_counters: Arc<FetchCounters>,
    pub(crate) offers: Sender<Offer>,
    pub(crate) view: Arc<ArcSwap<View>>,
    pub(crate) published_members: Arc<ArcSwap<Vec<Member>>>,
}

impl Control {
    pub(crate) fn new(components: Components) -> Control {
        let table = MemberTableSettings {
            suspect_timeout_ms: components.settings.suspect_ms,
            ..MemberTableSettings::default()
        };
        Control {
            incarnation: components.own_member.incarnation,
            identity: Identity::new(
                components.own_member.incarnation.as_u64(),
                &components.settings.fleet,
            ),
            replica: RefCell::default(),
            members: RefCell::new(Members::new(components.own_member, table)),
            trackers: RefCell::default(),
            registry: RefCell::new(EndpointRegistry::default()),
            table: RefCell::default(),
            table_position: Cell::default(),
            feed_statuses: RefCell::default(),
            expiry_grace: ExpiryGrace::new(components.settings.expiry_grace_ms),
            evacuations: Evacuations::new(components.settings.evacuate_ms),
            liveness: StoreLiveness::default(),
            interrupts: WatchInterrupts::new(),
            config_checks: Rc::new(ConfigChecks::new()),
            lost_store_ms: Cell::new(None),
            stopping: Cell::new(false),
            other_fleet_seen: Cell::new(false),
            peers_tried: Cell::new(false),
            has_unsent_changes: Cell::new(false),
            lags: RefCell::default(),
            offers: components.offers,
            encoded: RefCell::default(),
            generation: Cell::new(0),
            settings: components.settings,
            clock: components.clock,
            store: components.store,
            codec: components.codec,
            version_counters: components.version_counters,
            shared_loads: components.shared_loads,
            peer_loads: RefCell::default(),
            peer_paces: RefCell::default(),
            fetch_counters: components.fetch_counters,
            view: components.view,
            published_members: components.published_members,
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.mono_ms()
    }

    /// Applies objects of an era from the store or a peer, publishes the result at once, and returns whether
    /// any object was new.
    pub(crate) fn apply_objects(&self, era: u64, objects: Vec<Object>) -> bool {
        let mut changed = false;
        for object in objects {
            let behind_ms = self.behind_ms(&object);
            let path = object.path.clone();
            if !self.replica.borrow_mut().apply(era, object) {
                continue;
            }
            changed = true;
            if let Some(object) = self.replica.borrow().get(&path) {
                self.apply_object(object, behind_ms);
            }
        }
        if changed {
            self.has_unsent_changes.set(true);
            self.publish();
        }
        changed
    }

    /// Applies objects that a peer holds of a kind: all of them if their era is later than that of the own
    /// ones, else those that were missing.
    pub(crate) fn apply_fetched(&self, digest: &ConfigDigest, era: u64, objects: Vec<Object>) {
        if era <= self.era_of(&digest.kind) {
            self.apply_objects(era, objects);
            self.record_peer_digest(digest);
            return;
        }
        let listing = Listing {
            revision: digest.max_revision,
            era,
            objects,
        };
        self.apply_listing_of(&digest.kind, listing);
        self.record_peer_digest(digest);
    }

    /// Returns the latest position of the objects of a kind.
    fn position_of(&self, kind: &str) -> Position {
        Position {
            era: self.era_of(kind),
            revision: self.replica.borrow().digest_of(kind).max_revision,
        }
    }

    /// Compares the era of a peer's objects with that of the own ones. A peer of an earlier build does not
    /// know it, so that it counts as the same.
    fn compare_era(&self, theirs: &ConfigDigest) -> Ordering {
        match theirs.era {
            0 => Ordering::Equal,
            theirs_plus_one => theirs_plus_one.cmp(&(self.era_of(&theirs.kind) + 1)),
        }
    }

    /// Returns the era of the objects of a kind.
    pub(crate) fn era_of(&self, kind: &str) -> u64 {
        self.replica.borrow().era_of(kind)
    }

    /// Returns the revision after which a peer has objects that this replica lacks.
    pub(crate) fn missing_since(&self, theirs: &ConfigDigest) -> Option<u64> {
        match self.compare_era(theirs) {
            Ordering::Less => None,
            Ordering::Equal => missing_since(theirs, self.replica.borrow().digest_of(&theirs.kind)),
            // None of the objects held here counts.
            Ordering::Greater => Some(0),
        }
    }

    /// Applies a complete listing of a feed, which also removes the objects that it lacks.
    pub(crate) fn apply_listing(&self, feed: Feed, listing: Listing) {
        let kind = kind_of(self.codec.prefix(feed));
        self.apply_listing_of(kind, listing);
        self.record_known_kind(kind);
    }

    fn apply_listing_of(&self, kind: &str, listing: Listing) {
        let before = self.position_of(kind);
        let position = listing.position();
        let prefix = format!("{kind}/");
        let mut replica = self.replica.borrow_mut();
        if !replica.apply_listing(&prefix, position, listing.objects) {
            return;
        }
        drop(replica);
        let Position { era, revision } = position;
        // An instance that starts takes its first objects from a peer as well.
        if era > before.era && before.revision > 0 {
            tracing::warn!(
                kind,
                revision,
                before = before.revision,
                era,
                "store: went back to an older copy"
            );
        }
        let before = before.revision;
        tracing::info!(kind, revision, before, era, "config: listing applied");
        self.apply_all_of(kind);
    }

    /// Replaces the objects of a feed by a listing of a store that went back without a later era.
    pub(crate) fn replace_listing(&self, feed: Feed, listing: Listing) {
        let kind = kind_of(self.codec.prefix(feed));
        let before = self.position_of(kind).revision;
        let position = listing.position();
        let Position { era, revision } = position;
        tracing::warn!(
            kind,
            revision,
            before,
            era,
            "store: went back in the same era"
        );
        self.replica
            .borrow_mut()
            .replace_kind(kind, position, listing.objects);
        // The revision of the configuration in force may be given out again.
        self.table_position.set(Position::default());
        self.apply_all_of(kind);
    }

    /// Updates the table or the registry with all objects of a kind, and publishes them.
    fn apply_all_of(&self, kind: &str) {
        for object in self.replica.borrow().since_of(kind, 0, usize::MAX) {
            self.apply_object(object, None);
        }
        self.has_unsent_changes.set(true);
        self.publish();
    }

    /// Decodes one changed object and updates the table or the registry with it.
    fn apply_object(&self, object: &Object, behind_ms: Option<u64>) {
        let is_in = |feed| object.path.starts_with(self.codec.prefix(feed));
        if is_in(Feed::Config) {
            self.apply_config(object, behind_ms);
        } else if is_in(Feed::Endpoints) {
            self.apply_endpoint(object);
        } else if is_in(Feed::Rollouts) {
            self.log_unreadable_rollout(object);
        }
    }

    /// Logs that a changed roll-out cannot be decoded. It is left out whenever roll-outs are evaluated.
    fn log_unreadable_rollout(&self, object: &Object) {
        if object.value.is_none() || object.path.ends_with(STATUS_SUFFIX) {
            return;
        }
        if let Err(err) = self.codec.decode_rollout(object) {
            tracing::warn!(path = &*object.path, problem = %err, "rollout: spec unreadable");
        }
    }

    fn apply_config(&self, object: &Object, behind_ms: Option<u64>) {
        let position = Position {
            era: self.era_of(object.kind()),
            revision: object.revision,
        };
        if object.value.is_none() || position <= self.table_position.get() {
            return;
        }
        match self.codec.decode_table(object) {
            Ok(table) => {
                let current = self.table.borrow().as_ref().map(|table| table.version());
                if current.is_some_and(|current| current > table.version()) {
                    return;
                }
                self.table_position.set(position);
                tracing::info!(
                    version = table.version(),
                    revision = object.revision,
                    behind_ms,
                    "config: in force"
                );
                if current != Some(table.version()) {
                    self.config_checks.request(object, table.version());
                }
                self.log_unknown_homes(&table);
                *self.table.borrow_mut() = Some(Arc::new(table));
            }
            Err(err) => {
                tracing::warn!(
                    path = &*object.path,
                    problem = %err,
                    "config: unreadable, keeping the last valid one"
                );
            }
        }
    }

    /// Logs home regions that the settings name for no zone. They remain in force, as homes limit where data may go.
    fn log_unknown_homes(&self, table: &route::Table) {
        for region in table.home_regions() {
            let mut known = self.settings.regions.values();
            if !known.any(|known| known == region) {
                tracing::warn!(region = &**region, "config: home region without a zone");
            }
        }
    }

    fn apply_endpoint(&self, object: &Object) {
        if object.path.ends_with(STATUS_SUFFIX) {
            return;
        }
        let mut registry = self.registry.borrow_mut();
        if object.value.is_none() {
            let kept_until_ms = self.expiry_grace.kept_until_ms(self.now_ms());
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
            Err(err) => {
                tracing::warn!(path = &*object.path, problem = %err, "endpoint: unusable entry");
                registry.invalidate(&object.path);
            }
        }
    }

    /// Records whether a call to the store about a feed succeeded.
    pub(crate) fn record_store_call(&self, feed: Feed, succeeded: bool) {
        let now_ms = self.now_ms();
        let was_unavailable = self.store_unavailable();
        let status = match (succeeded, self.feed_statuses.borrow().get(&feed)) {
            (true, _) => FeedStatus::Available,
            (false, Some(FeedStatus::UnavailableSince(since_ms))) => {
                FeedStatus::UnavailableSince(*since_ms)
            }
            (false, _) => FeedStatus::UnavailableSince(now_ms),
        };
        let before = self.feed_statuses.borrow_mut().insert(feed, status);
        if feed == Feed::Endpoints && succeeded && before != Some(FeedStatus::Available) {
            self.publish();
        }
        let unavailable = self.store_unavailable();
        if was_unavailable == unavailable {
            return;
        }
        self.publish();
        if unavailable {
            tracing::warn!(?feed, "store: lost");
        } else {
            tracing::info!(?feed, "store: regained");
        }
    }

    /// Records that a call about a feed, begun at a time in milliseconds, failed.
    pub(crate) fn record_failed_call(&self, feed: Feed, began_ms: u64) {
        if feed == Feed::Endpoints {
            self.expiry_grace.record_unanswered(began_ms);
        }
        self.record_store_call(feed, false);
    }

    /// Records that the store responded to a call about a feed, begun at a time in milliseconds, before
    /// its objects are applied. A short call that began earlier and waits was lost in an outage.
    pub(crate) fn record_response(&self, feed: Feed, began_ms: u64) {
        let status = self.feed_statuses.borrow().get(&feed).copied();
        if feed != Feed::Endpoints || !matches!(status, Some(FeedStatus::UnavailableSince(_))) {
            return;
        }
        if let Some(lost_ms) = self.liveness.latest_waiting_before(began_ms) {
            self.expiry_grace.record_unanswered(lost_ms);
        }
    }

    /// Records that a short call, begun at a time in milliseconds, got no response. Watches that wait may
    /// have lost theirs as well.
    pub(crate) fn record_unanswered_ping(&self, began_ms: u64) {
        let is_silent = self.liveness.is_silent();
        if is_silent {
            self.expiry_grace.record_unanswered(began_ms);
        }
        for feed in self.settings.feeds() {
            if is_silent {
                self.record_store_call(feed, false);
            }
            self.interrupts.send(feed);
        }
    }

    /// Returns whether this instance follows the store's feeds.
    pub(crate) fn calls_store(&self) -> bool {
        !self.feed_statuses.borrow().is_empty()
    }

    /// Lets others watch in place of this instance if the store does not answer it, and takes part again
    /// when it does, or after a while.
    pub(crate) fn update_lost_store(&self) {
        let now_ms = self.now_ms();
        let statuses = self.feed_statuses.borrow();
        let is_lost = statuses.values().any(|status| match status {
            FeedStatus::Available => false,
            FeedStatus::UnavailableSince(since_ms) => now_ms >= since_ms + HAND_OVER_MS,
        });
        let is_calling = !statuses.is_empty();
        let is_answered = is_calling
            && statuses
                .values()
                .all(|status| *status == FeedStatus::Available);
        drop(statuses);
        let said_ms = self.lost_store_ms.get();
        let has_expired =
            !is_calling && said_ms.is_some_and(|said_ms| now_ms >= said_ms + LOST_STORE_MS);
        if is_lost && said_ms.is_none() && self.has_non_watchers() {
            self.lost_store_ms.set(Some(now_ms));
        } else if said_ms.is_some() && (is_answered || has_expired) {
            self.lost_store_ms.set(None);
        } else {
            return;
        }
        let lost_store = self.lost_store_ms.get().is_some();
        tracing::info!(lost_store, "store: watchers change");
        self.members.borrow_mut().set_lost_store(lost_store);
        self.has_unsent_changes.set(true);
    }

    /// Clears the status of a feed that this instance no longer watches.
    pub(crate) fn clear_feed_status(&self, feed: Feed) {
        self.feed_statuses.borrow_mut().remove(&feed);
    }

    /// Returns whether the store refuses this instance's calls or cannot be reached, for any feed.
    /// Also true while no call is on record, as on an instance that does not watch the store.
    pub(crate) fn store_unavailable(&self) -> bool {
        let feed_statuses = self.feed_statuses.borrow();
        feed_statuses.is_empty()
            || feed_statuses
                .values()
                .any(|status| *status != FeedStatus::Available)
    }

    /// Returns whether the objects of one kind must be fetched from a peer with this digest because
    /// the store does not deliver them.
    pub(crate) fn should_fetch(&self, theirs: &ConfigDigest) -> bool {
        if self.missing_since(theirs).is_none() {
            return false;
        }
        let is_lagging = self.record_lag(&theirs.kind, theirs.max_revision);
        is_lagging || self.should_fetch_from_peers()
    }

    /// Records that a peer is ahead, and returns whether this replica has lagged for so long that
    /// the store's watches must have stopped delivering.
    fn record_lag(&self, kind: &str, theirs: u64) -> bool {
        let now_ms = self.now_ms();
        let position = self.position_of(kind);
        let mut lags = self.lags.borrow_mut();
        let current = lags.get(kind).filter(|lag| lag.position == position);
        let mut lag = current.copied().unwrap_or(ReplicaLag {
            position,
            since_ms: now_ms,
            is_reported: false,
        });
        let is_long = now_ms >= lag.since_ms + MAX_LAG_MS;
        if is_long && !lag.is_reported {
            lag.is_reported = true;
            let Position { era, revision } = position;
            tracing::info!(kind, era, revision, theirs, "config: behind a peer");
            self.interrupt_watch_of(kind);
        }
        lags.insert(kind.to_owned(), lag);
        is_long
    }

    /// Signals that the watch of a kind of object may have been lost.
    fn interrupt_watch_of(&self, kind: &str) {
        for feed in self.settings.feeds() {
            if kind_of(self.codec.prefix(feed)) == kind {
                self.interrupts.send(feed);
            }
        }
    }

    /// Returns how long ago a peer was first seen ahead in an object's kind, if one was.
    fn behind_ms(&self, object: &Object) -> Option<u64> {
        let position = self.position_of(object.kind());
        let lags = self.lags.borrow();
        let lag = lags.get(object.kind())?;
        (lag.position == position).then(|| self.now_ms() - lag.since_ms)
    }

    /// Returns whether changes must be fetched from peers because the store does not deliver them.
    fn should_fetch_from_peers(&self) -> bool {
        let now_ms = self.now_ms();
        let feed_statuses = self.feed_statuses.borrow();
        let is_lost = feed_statuses.values().any(|status| match status {
            FeedStatus::Available => false,
            FeedStatus::UnavailableSince(since_ms) => now_ms >= since_ms + STORE_SILENT_MS / 5,
        });
        feed_statuses.is_empty() || is_lost || !self.is_watcher()
    }

    /// Returns the instances that watch the store. All instances with the same member table choose
    /// the same ones.
    pub(crate) fn watchers(&self) -> Vec<Member> {
        let members = self.members.borrow();
        // Live members are sorted by incarnation.
        let mut alive = members.live();
        alive.retain(|member| member.status == Status::Alive);
        if alive.len() > self.settings.full_watch_max_instances {
            alive = member::store_watchers(&alive, self.settings.watchers);
        }
        alive.into_iter().cloned().collect()
    }

    /// Returns the incarnations of the instances that watch the store.
    pub(crate) fn watcher_incarnations(&self) -> Vec<Incarnation> {
        incarnations(&self.watchers())
    }

    /// Returns whether this instance is among those that watch the store.
    pub(crate) fn is_watcher(&self) -> bool {
        let watchers = self.watchers();
        watchers
            .iter()
            .any(|member| member.incarnation == self.incarnation)
    }

    /// Returns whether some instances receive changes from peers only.
    pub(crate) fn has_non_watchers(&self) -> bool {
        self.members.borrow().live().len() > self.settings.full_watch_max_instances
    }

    /// Returns whether a configuration is in force.
    pub(crate) fn is_configured(&self) -> bool {
        self.table.borrow().is_some()
    }

    /// Returns how long it takes until the next kept endpoint is removed, in milliseconds, if one is
    /// kept.
    pub(crate) fn next_expiry_in_ms(&self) -> Option<u64> {
        let until_ms = self.registry.borrow().next_expiry_ms()?;
        Some(until_ms.saturating_sub(self.now_ms()))
    }

    /// Removes endpoints whose grace period is over.
    pub(crate) fn expire_endpoints(&self) {
        let now_ms = self.now_ms();
        if self.registry.borrow_mut().expire(now_ms) {
            self.publish();
        }
    }

    /// Returns the configuration in force, if it is loaded.
    pub(crate) fn table(&self) -> Option<Arc<route::Table>> {
        self.table.borrow().clone()
    }

    /// Publishes the live members if they changed.
    pub(crate) fn publish_members(&self) {
        let members = self.members.borrow();
        let live: Vec<Member> = members.live().into_iter().cloned().collect();
        if **self.published_members.load() == live {
            return;
        }
        let names: Vec<&str> = live
            .iter()
            .filter(|member| member.accepts_requests())
            .map(|member| &*member.name)
            .collect();
        tracing::info!(takes_work = names.join(","), "member: changed");
        self.published_members.store(Arc::new(live));
        drop(members);
        if incarnations(&self.accepting_members()) != incarnations(&self.view.load().members) {
            self.publish();
        }
    }

    fn accepting_members(&self) -> Vec<Member> {
        let mut members = self.published_members.load().to_vec();
        members.retain(Member::accepts_requests);
        members
    }

    /// Publishes a new view for requests to read.
    pub(crate) fn publish(&self) {
        let now_ms = self.now_ms();
        let mut pools: HashMap<Arc<str>, Pool> = HashMap::new();
        for endpoint in self.registry.borrow().usable(now_ms) {
            let pool = pools.entry(endpoint.service.clone()).or_default();
            pool.endpoints.push(endpoint);
        }
        for (service, pool) in &mut pools {
            pool.rollout = self.trackers.borrow().view(service, &self.settings.rollout);
        }
        let members = self.accepting_members();
        let table = self.table.borrow().clone();
        let listed =
            self.feed_statuses.borrow().get(&Feed::Endpoints) == Some(&FeedStatus::Available);
        let has_endpoints = listed || !self.registry.borrow().is_empty();
        let mut zones: BTreeSet<&str> = BTreeSet::new();
        zones.extend(members.iter().map(|member| &*member.zone));
        for pool in pools.values() {
            zones.extend(pool.endpoints.iter().map(|endpoint| &*endpoint.zone));
        }
        let evacuations = self.update_evacuations(&zones, has_endpoints);
        let is_ready = table.is_some() && has_endpoints;
        let awaits_evacuations = self.evacuations.is_awaited(is_ready, now_ms);
        self.generation.set(self.generation.get() + 1);
        self.view.store(Arc::new(View {
            generation: self.generation.get(),
            accepting: is_ready && !awaits_evacuations && !self.stopping.get(),
            table,
            table_revision: self.table_position.get().revision,
            pools: pools
                .into_iter()
                .map(|(service, pool)| (service, Arc::new(pool)))
                .collect(),
            instance_count: members.len().max(1),
            members: Arc::new(members),
            incarnation: Some(self.incarnation),
            store_unreachable: self.store_unavailable(),
            evacuations,
            awaits_evacuations,
            regions: self.settings.regions.clone(),
        }));
    }
}

fn incarnations(members: &[Member]) -> Vec<Incarnation> {
    members.iter().map(|member| member.incarnation).collect()
}
