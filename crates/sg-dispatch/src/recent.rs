//! A map that keeps the entries used last and forgets the others.

use std::hash::Hash;

use sg_types::prelude::*;

/// A map of bounded size. An entry is kept at least until half as many other entries as the bound allows
/// were used. All operations take constant time.
#[derive(Debug, Clone)]
pub(crate) struct Recent<K, V> {
    limit: usize,
    newer: IndexMap<K, V>,
    older: IndexMap<K, V>,
}

impl<K: Hash + Eq, V> Recent<K, V> {
    /// Creates a map of at most `limit` entries.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            newer: IndexMap::new(),
            older: IndexMap::new(),
        }
    }

    /// Returns the entry of `key` and keeps it.
    pub fn get(&mut self, key: &K) -> Option<&mut V> {
        if let Some((key, value)) = self.older.swap_remove_entry(key) {
            self.insert(key, value);
        }
        self.newer.get_mut(key)
    }

    /// Sets the entry of `key`.
    pub fn insert(&mut self, key: K, value: V) {
        if self.newer.len() >= self.limit / 2 && !self.newer.contains_key(&key) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.older.swap_remove(&key);
        self.newer.insert(key, value);
    }
}
