//! The settings in force: one head row names the versions, each version has its own row.
//!
//! A version only ever goes up. A daemon acts on a version while it can tell that no
//! newer one was accepted: from the table, from a peer that lately confirmed it, or
//! because it is connected with a majority of the members and the table is down. A
//! change is accepted only by a daemon that is connected with a majority, and two
//! majorities meet, so a change cannot pass such a daemon by.

use std::sync::Arc;
use std::time::{Duration, Instant};

use border::table::{Row, Transaction};
use common::Name;
use settings::{Inventory, Rules};

/// The key of the head row.
pub const HEAD: &str = "settings/head";

/// Versions of each file that are kept.
const KEPT: u64 = 16;

common::record! {
    /// The head row.
    #[derive(Default)]
    pub struct Head {
        /// Grows with every change of either file.
        pub version: u64,
        /// Version at which the inventory last changed; zero where there is none.
        pub inventory: u64,
        /// Version at which the rules last changed; zero where there are none.
        pub rules: u64,
        /// Who made the last change.
        pub author: Name,
        /// When, in milliseconds since 1970.
        pub at_ms: i64,
        /// Which file the last change was to.
        pub what: Name,
        /// Tells the last change from another with the same author and time.
        pub nonce: u64,
    }
}

/// The settings as this daemon has them.
#[derive(Debug, Default)]
pub struct Versions {
    /// The head in force.
    pub head: Head,
    /// Version of the head row.
    pub row_version: u64,
    /// The inventory in force.
    pub inventory: Arc<Inventory>,
    /// The rules in force.
    pub rules: Arc<Rules>,
    /// The inventory's text.
    pub inventory_text: Arc<str>,
    /// The rules' text.
    pub rules_text: Arc<str>,
    confirmed: Option<Instant>,
    /// A version that a peer has and we do not.
    pub wanted: u64,
}

/// The key of one version of a file.
pub fn key(what: &str, version: u64) -> Name {
    Name::from(format!("settings/{what}/{version:012}"))
}

impl Versions {
    /// Whether both files have been put in force at least once.
    pub fn is_complete(&self) -> bool {
        self.head.inventory > 0 && self.head.rules > 0
    }

    /// Notes that the version in force was the newest at a time.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed = Some(self.confirmed.map_or(at, |old| old.max(at)));
    }

    /// Time since the version in force was known to be the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    /// Takes a peer's word: its version, and how long ago it was confirmed.
    pub fn hear(&mut self, version: u64, age: Duration, now: Instant) {
        if version > self.head.version {
            self.wanted = self.wanted.max(version);
        } else if version == self.head.version
            && let Some(at) = now.checked_sub(age)
        {
            self.confirm(at);
        }
    }

    /// The rows that a head names and we do not have.
    pub fn missing(&self, head: &Head) -> Vec<Name> {
        let mut keys = Vec::new();
        if head.inventory > self.head.inventory {
            keys.push(key("inventory", head.inventory));
        }
        if head.rules > self.head.rules {
            keys.push(key("rules", head.rules));
        }
        keys
    }

    /// Puts a newer head and its files in force.
    ///
    /// # Errors
    ///
    /// The faults of a file that does not parse; nothing changes then.
    pub fn adopt(&mut self, head: Head, row_version: u64, rows: &[Row]) -> Result<(), String> {
        if head.version <= self.head.version {
            return Ok(());
        }
        let text = |what: &str, version| {
            let key = key(what, version);
            rows.iter().find(|row| row.key == key).map(|row| row.value.clone())
        };
        let inventory = text("inventory", head.inventory);
        let rules = text("rules", head.rules);
        if (head.inventory > self.head.inventory && inventory.is_none())
            || (head.rules > self.head.rules && rules.is_none())
        {
            return Err("a row that the head names is missing".to_owned());
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

    /// The head and the transaction of a change.
    pub fn change(
        &self,
        what: &Name,
        author: Name,
        at_ms: i64,
        nonce: u64,
        text: String,
    ) -> (Head, Transaction) {
        let version = self.head.version + 1;
        let mut head =
            Head { version, author, at_ms, what: what.clone(), nonce, ..self.head.clone() };
        if &**what == "inventory" {
            head.inventory = version;
        } else {
            head.rules = version;
        }
        let value = serde_json::to_string(&head).unwrap_or_default();
        let mut transaction = Transaction::default()
            .check(HEAD, self.row_version)
            .put(HEAD, value)
            .put(key(what, version), text);
        let current = self.version_of(what);
        if current > KEPT {
            transaction = transaction.delete(key(what, current - KEPT));
        }
        (head, transaction)
    }

    /// The version at which a file last changed.
    pub fn version_of(&self, what: &str) -> u64 {
        if what == "inventory" { self.head.inventory } else { self.head.rules }
    }

    /// A file's text.
    pub fn text_of(&self, what: &str) -> &str {
        if what == "inventory" { &self.inventory_text } else { &self.rules_text }
    }
}

fn parse_inventory(text: &str) -> Result<Inventory, String> {
    Inventory::parse(text).map_err(|faults| faults.to_string())
}

fn parse_rules(text: &str) -> Result<Rules, String> {
    Rules::parse(text).map_err(|faults| faults.to_string())
}

/// Checks a file's text.
///
/// # Errors
///
/// Every fault with its place.
pub fn check(what: &str, text: &str) -> Result<(), String> {
    if what == "inventory" { parse_inventory(text).map(drop) } else { parse_rules(text).map(drop) }
}
