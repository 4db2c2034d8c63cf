//! In-memory object store.

use std::collections::HashMap;

/// Objects by key.
#[derive(Debug, Default)]
pub struct Objects {
    objects: HashMap<String, Vec<u8>>,
}

impl Objects {
    /// Returns a copy of an object; `None` if it does not exist.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.objects.get(key).cloned()
    }

    /// Writes an object, replacing an existing one.
    pub fn put(&mut self, key: &str, value: Vec<u8>) {
        self.objects.insert(key.to_owned(), value);
    }

    /// Removes an object if it exists.
    pub fn delete(&mut self, key: &str) {
        self.objects.remove(key);
    }
}
