//! In-memory table: versioned rows and conditional transactions.

use std::collections::BTreeMap;

use border::table::{CommitReply, Query, Row, Transaction};
use common::Name;

/// Table of rows, with counts of its use.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<Name, Row>,
    version: u64,
    /// Number of transactions, committed or rejected.
    pub commits: u64,
    /// Number of rows written or removed.
    pub writes: u64,
    /// Number of read calls.
    pub queries: u64,
    /// Number of rows read; a key without a row counts too.
    pub reads: u64,
}

impl Table {
    /// Returns the rows of the given keys, then those under each prefix in order.
    pub fn read(&mut self, query: &Query) -> Vec<Row> {
        let by_key = query.keys.iter().filter_map(|key| self.rows.get(key));
        let mut rows: Vec<Row> = by_key.cloned().collect();
        for prefix in &query.prefixes {
            let following = self.rows.range(prefix.clone()..);
            let matching = following.take_while(|(key, _)| key.starts_with(&**prefix));
            rows.extend(matching.map(|(_, row)| row.clone()));
        }
        self.queries += 1;
        self.reads += rows.len().max(query.keys.len()) as u64;
        rows
    }

    /// Commits a transaction if all its checks hold; otherwise returns the conflicting keys.
    pub fn commit(&mut self, transaction: Transaction) -> CommitReply {
        self.commits += 1;
        let version = |key: &Name| self.rows.get(key).map_or(0, |row| row.version);
        let failed = transaction.checks.iter().filter(|check| version(&check.key) != check.version);
        let conflicts: Vec<Name> = failed.map(|check| check.key.clone()).collect();
        if !conflicts.is_empty() {
            return CommitReply { committed: false, version: 0, conflicts };
        }
        self.writes += transaction.write_count() as u64;
        self.version += 1;
        for put in transaction.puts {
            let row = Row { key: put.key.clone(), value: put.value, version: self.version };
            self.rows.insert(put.key, row);
        }
        for key in transaction.deletes {
            self.rows.remove(&key);
        }
        CommitReply { committed: true, version: self.version, conflicts: Vec::new() }
    }
}
