//! Objects by key, in memory.

use std::collections::HashMap;

/// The object store.
#[derive(Debug, Default)]
pub struct Objects {
    objects: HashMap<String, Vec<u8>>,
}

impl Objects {
    /// Reads an object.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.objects.get(key).cloned()
    }

    /// Writes an object.
    pub fn put(&mut self, key: &str, value: Vec<u8>) {
        self.objects.insert(key.to_owned(), value);
    }

    /// Removes an object.
    pub fn delete(&mut self, key: &str) {
        self.objects.remove(key);
    }
}
