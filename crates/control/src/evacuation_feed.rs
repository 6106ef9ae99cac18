//! Evacuations of zones, as the store and peers tell of them.
//!
//! The existence of an object is the order, whatever it holds.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use catalog::{Object, kind_of};
use limits::ZoneEvacuation;
use serde_json::Value;
use wire::ConfigDigest;

use crate::codec::Feed;
use crate::state::{Control, STATUS_SUFFIX};

/// How often an instance checks whether it has waited for long enough.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Removes the values of evacuations, so that none is too large to pass on to peers in time.
pub(crate) fn remove_values(feed: Feed, objects: &mut [Object]) {
    if feed != Feed::Evacuations {
        return;
    }
    for object in objects {
        object.value = object.value.take().map(|_| Value::Null);
    }
}

/// Waits until it is known which zones are evacuated, or this instance has waited for long enough.
pub(crate) async fn wait_for_first(control: Rc<Control>) {
    while !control.evacuations.is_known() {
        Timer::after(CHECK_INTERVAL).await;
        if control.evacuations.end_wait(control.now_ms()) {
            tracing::warn!("evacuation: not known, accepting requests");
            control.publish();
            return;
        }
    }
}

impl Control {
    /// Updates and returns the evacuations of the zones in `held`.
    pub(crate) fn update_evacuations(
        &self,
        held: &BTreeSet<&str>,
        has_endpoints: bool,
    ) -> Arc<BTreeMap<Arc<str>, ZoneEvacuation>> {
        let Some(allowed_ms) = self.evacuations.allowed_ms() else {
            return Arc::default();
        };
        let prefix = self.codec.prefix(Feed::Evacuations);
        let mut ordered = BTreeSet::new();
        for object in self.replica.borrow().live() {
            let Some(name) = object.path.strip_prefix(prefix) else {
                continue;
            };
            if !name.ends_with(STATUS_SUFFIX) {
                ordered.insert(name.into());
            }
        }
        self.evacuations.update(&ordered, allowed_ms, self.now_ms());
        Arc::new(self.evacuations.in_force(held, has_endpoints))
    }

    /// Records that the store or a peer told all that it holds of a kind.
    pub(crate) fn record_known_kind(&self, kind: &str) {
        let is_followed = self.evacuations.allowed_ms().is_some();
        if !is_followed || kind != kind_of(self.codec.prefix(Feed::Evacuations)) {
            return;
        }
        if self.evacuations.record_known() {
            self.publish();
        }
    }

    /// Records that a peer has this digest, also after a fetch: it may have sent only some of the objects.
    pub(crate) fn record_peer_digest(&self, digest: &ConfigDigest) {
        if self.missing_since(digest).is_none() {
            self.record_known_kind(&digest.kind);
        }
    }

    /// Returns the kind of evacuations if it is known that there are none. Peers that start learn it from
    /// the digest of no object.
    pub(crate) fn known_empty_kind(&self) -> Option<&str> {
        let kind = kind_of(self.codec.prefix(Feed::Evacuations));
        let is_empty = self.replica.borrow().digest_of(kind).count == 0;
        (self.evacuations.is_known() && is_empty).then_some(kind)
    }
}
