//! Settings in force: a head row names the versions, and each version has its own row.
//!
//! Versions only increase. A daemon acts on a version while it can confirm that no newer
//! one was accepted: from the table, from a peer that recently confirmed it, or because
//! it is connected to a majority of the members and the table is down. Only a daemon that
//! is connected to a majority accepts a change, and any two majorities overlap, so such a
//! daemon cannot miss a change.

use std::sync::Arc;
use std::time::{Duration, Instant};

use border::table::{Row, Transaction};
use common::Name;
use settings::{Inventory, Rules};

/// Key of the head row.
pub const HEAD_KEY: &str = "settings/head";

/// How many versions back the row of a file is deleted when the file changes.
const RETAINED_VERSIONS: u64 = 16;

common::record! {
    /// Value of the head row.
    #[derive(Default)]
    pub struct Head {
        /// Incremented by every change of either file.
        pub version: u64,
        /// Version at which the inventory last changed; 0 if there is none.
        pub inventory: u64,
        /// Version at which the rules last changed; 0 if there are none.
        pub rules: u64,
        /// Author of the last change.
        pub author: Name,
        /// Time of the last change, in Unix milliseconds.
        pub at_ms: i64,
        /// File that the last change replaced: `inventory` or `rules`.
        pub what: Name,
        /// Random value; distinguishes changes with the same author and time.
        pub nonce: u64,
    }
}

/// Settings in force on this daemon, with their confirmation state.
#[derive(Debug, Default)]
pub struct Versions {
    /// The head in force.
    pub head: Head,
    /// Table version of the head row.
    pub row_version: u64,
    /// The inventory in force.
    pub inventory: Arc<Inventory>,
    /// The rules in force.
    pub rules: Arc<Rules>,
    /// Source text of the inventory.
    pub inventory_text: Arc<str>,
    /// Source text of the rules.
    pub rules_text: Arc<str>,
    /// When the head was last known to be the newest; `None` if never.
    confirmed_at: Option<Instant>,
    /// Highest version known to exist; fetched if newer than the head.
    pub newest_known: u64,
}

/// Key of the row with one version of a file.
pub fn key(file: &str, version: u64) -> Name {
    Name::from(format!("settings/{file}/{version:012}"))
}

impl Versions {
    /// Whether both files have been put in force at least once.
    pub fn is_complete(&self) -> bool {
        self.head.inventory > 0 && self.head.rules > 0
    }

    /// Records that the version in force was the newest at an instant.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |old| old.max(at)));
    }

    /// Time since the last confirmation; `None` if there was none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Applies a peer's version and the time since the peer confirmed it.
    pub fn apply_peer_version(&mut self, version: u64, age: Duration, now: Instant) {
        if version > self.head.version {
            self.newest_known = self.newest_known.max(version);
        } else if version == self.head.version
            && let Some(at) = now.checked_sub(age)
        {
            self.confirm(at);
        }
    }

    /// Keys of the rows that a head names and that are not loaded.
    pub fn missing_keys(&self, head: &Head) -> Vec<Name> {
        let mut keys = Vec::new();
        if head.inventory > self.head.inventory {
            keys.push(key("inventory", head.inventory));
        }
        if head.rules > self.head.rules {
            keys.push(key("rules", head.rules));
        }
        keys
    }

    /// Puts a newer head and its files in force; ignores an older head.
    ///
    /// # Errors
    ///
    /// Fails if a row is missing or a file does not parse; then nothing changes.
    pub fn adopt(&mut self, head: Head, row_version: u64, rows: &[Row]) -> Result<(), String> {
        if head.version <= self.head.version {
            return Ok(());
        }
        let text = |file: &str, version| {
            let key = key(file, version);
            rows.iter().find(|row| row.key == key).map(|row| row.value.clone())
        };
        let inventory = text("inventory", head.inventory);
        let rules = text("rules", head.rules);
        if (head.inventory > self.head.inventory && inventory.is_none())
            || (head.rules > self.head.rules && rules.is_none())
        {
            return Err("a row named by the settings head is missing".to_owned());
        }
        let inventory = inventory.map(|text| parse_inventory(&text).map(|parsed| (parsed, text)));
        let rules = rules.map(|text| parse_rules(&text).map(|parsed| (parsed, text)));
        let (inventory, rules) = (inventory.transpose()?, rules.transpose()?);
        if let Some((inventory, text)) = inventory {
            self.inventory = Arc::new(inventory);
            self.inventory_text = Arc::from(text);
        }
        if let Some((rules, text)) = rules {
            self.rules = Arc::new(rules);
            self.rules_text = Arc::from(text);
        }
        self.head = head;
        self.row_version = row_version;
        Ok(())
    }

    /// Builds the new head and the transaction that writes a changed file.
    pub fn build_change(
        &self,
        file: &Name,
        author: Name,
        at_ms: i64,
        nonce: u64,
        text: String,
    ) -> (Head, Transaction) {
        let version = self.head.version + 1;
        let mut head =
            Head { version, author, at_ms, what: file.clone(), nonce, ..self.head.clone() };
        if &**file == "inventory" {
            head.inventory = version;
        } else {
            head.rules = version;
        }
        let value = serde_json::to_string(&head).unwrap_or_default();
        let mut transaction = Transaction::default()
            .check(HEAD_KEY, self.row_version)
            .put(HEAD_KEY, value)
            .put(key(file, version), text);
        let current = self.version_of(file);
        if current > RETAINED_VERSIONS {
            transaction = transaction.delete(key(file, current - RETAINED_VERSIONS));
        }
        (head, transaction)
    }

    /// Version at which a file last changed; 0 if there is none.
    pub fn version_of(&self, file: &str) -> u64 {
        if file == "inventory" { self.head.inventory } else { self.head.rules }
    }

    /// Source text of a file in force.
    pub fn text_of(&self, file: &str) -> &str {
        if file == "inventory" { &self.inventory_text } else { &self.rules_text }
    }
}

fn parse_inventory(text: &str) -> Result<Inventory, String> {
    Inventory::parse(text).map_err(|errors| errors.to_string())
}

fn parse_rules(text: &str) -> Result<Rules, String> {
    Rules::parse(text).map_err(|errors| errors.to_string())
}

/// Validates the text of a file.
///
/// # Errors
///
/// Lists every error with its position.
pub fn validate(file: &str, text: &str) -> Result<(), String> {
    if file == "inventory" { parse_inventory(text).map(drop) } else { parse_rules(text).map(drop) }
}
