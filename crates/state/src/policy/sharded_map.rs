//! Map whose copies share the parts that have not changed.

use std::borrow;
use std::collections;
use std::hash;
use std::hash::BuildHasher;
use std::sync;

/// Hash map that is split into shards. A copy shares all of them; a change copies one.
#[derive(Debug, Clone)]
pub struct ShardedMap<K, V> {
    shards: Vec<sync::Arc<collections::HashMap<K, V>>>,
    hasher: hash::RandomState,
    length: usize,
}

/// Number of shards: with 57,000 organisations, a change copies a few hundred entries.
const SHARDS: usize = 256;

impl<K, V> Default for ShardedMap<K, V> {
    fn default() -> Self {
        let shards = (0..SHARDS).map(|_| sync::Arc::default()).collect();
        Self { shards, hasher: hash::RandomState::new(), length: 0 }
    }
}

impl<K: hash::Hash + Eq + Clone, V: Clone> ShardedMap<K, V> {
    /// Returns the value of a key.
    pub fn get<Q: hash::Hash + Eq + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: borrow::Borrow<Q>,
    {
        self.shards[self.index(key)].get(key)
    }

    /// Inserts a value, replacing the previous one of the key.
    pub fn insert(&mut self, key: K, value: V) {
        let index = self.index(&key);
        let previous = sync::Arc::make_mut(&mut self.shards[index]).insert(key, value);
        self.length += usize::from(previous.is_none());
    }

    /// Removes a key and returns its value.
    pub fn remove<Q: hash::Hash + Eq + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: borrow::Borrow<Q>,
    {
        let index = self.index(key);
        let is_present = self.shards[index].contains_key(key);
        if !is_present {
            return None;
        }
        self.length -= 1;
        sync::Arc::make_mut(&mut self.shards[index]).remove(key)
    }

    /// Returns the keys, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.shards.iter().flat_map(|shard| shard.keys())
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn index<Q: hash::Hash + ?Sized>(&self, key: &Q) -> usize {
        self.hasher.hash_one(key) as usize % SHARDS
    }
}
