//! Arenas: vectors addressed by typed `Copy` keys. Items are never removed, so keys stay valid.

use serde::{Deserialize, Serialize};
use std::marker::PhantomData;

/// Declares a `Copy` key type, a `u32` index into an [`Arena`].
#[macro_export]
macro_rules! arena_key {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        pub struct $name(pub u32);

        impl From<usize> for $name {
            fn from(i: usize) -> Self {
                Self(u32::try_from(i).expect("arena larger than u32"))
            }
        }

        impl From<$name> for usize {
            fn from(k: $name) -> Self {
                k.0 as usize
            }
        }
    };
}

arena_key!(
    /// A worker in an arena of workers; used by the platform stand-in and the entry's scheduler.
    WorkerKey
);

/// A vector addressed by a typed key `K`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Arena<K, V> {
    items: Vec<V>,
    #[serde(skip)]
    _key: PhantomData<K>,
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self { items: Vec::new(), _key: PhantomData }
    }
}

impl<K: From<usize> + Into<usize> + Copy, V> Arena<K, V> {
    /// Adds `v` and returns its key.
    pub fn push(&mut self, v: V) -> K {
        self.items.push(v);
        K::from(self.items.len() - 1)
    }

    /// The item under `k`; panics if `k` is out of range, as a key of another arena can be.
    pub fn get(&self, k: K) -> &V {
        &self.items[k.into()]
    }

    /// The item under `k`, mutable; panics if `k` is out of range.
    pub fn get_mut(&mut self, k: K) -> &mut V {
        &mut self.items[k.into()]
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the arena has no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Keys and items in key order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.items.iter().enumerate().map(|(i, v)| (K::from(i), v))
    }

    /// Keys and mutable items in key order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.items.iter_mut().enumerate().map(|(i, v)| (K::from(i), v))
    }
}
