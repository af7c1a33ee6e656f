//! The object store of the platform stand-in: named blobs with versions.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One stored object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Version number; grows by one with each put.
    pub version: u64,
    /// The content; the stand-in stores JSON text.
    pub body: String,
}

/// All objects, by name.
#[derive(Debug, Default)]
pub struct Store {
    objects: BTreeMap<String, Object>,
    /// Puts served.
    pub puts: u64,
    /// Gets served.
    pub gets: u64,
}

impl Store {
    /// Stores `body` under `name` and returns its new version.
    pub fn put(&mut self, name: &str, body: String) -> u64 {
        self.puts += 1;
        let version = self.objects.get(name).map_or(0, |o| o.version) + 1;
        self.objects.insert(name.to_string(), Object { version, body });
        version
    }

    /// The object under `name`.
    pub fn get(&mut self, name: &str) -> Option<Object> {
        self.gets += 1;
        self.objects.get(name).cloned()
    }

    /// Bodies of the objects whose names start with `prefix`, in the order of their names.
    pub fn bodies(&self, prefix: &str) -> Vec<String> {
        let named = self.objects.range(prefix.to_string()..);
        named.take_while(|(n, _)| n.starts_with(prefix)).map(|(_, o)| o.body.clone()).collect()
    }

    /// Number of objects and their total size in bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.objects.len(), self.objects.values().map(|o| o.body.len()).sum())
    }
}
