//! The latest time of each of many keys, of which the oldest are forgotten.

use std::collections::HashMap;
use std::hash::Hash;

/// The most keys of one generation.
const MAX_KEYS: usize = 4_096;

/// The latest time of each key, in milliseconds. It keeps the latest 4,096 keys at least.
#[derive(Debug)]
pub(crate) struct RecentTimes<K> {
    newer: HashMap<K, u64>,
    older: HashMap<K, u64>,
}

impl<K> Default for RecentTimes<K> {
    fn default() -> RecentTimes<K> {
        RecentTimes {
            newer: HashMap::new(),
            older: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> RecentTimes<K> {
    pub(crate) fn insert(&mut self, key: K, now_ms: u64) {
        if self.newer.len() == MAX_KEYS {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, now_ms);
    }

    pub(crate) fn get(&self, key: &K) -> Option<u64> {
        let found = self.newer.get(key).or_else(|| self.older.get(key));
        found.copied()
    }
}
