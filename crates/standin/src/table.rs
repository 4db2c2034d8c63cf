//! Rows with versions and conditional transactions, in memory.

use std::collections::BTreeMap;

use border::table::{CommitReply, Query, Row, Transaction};
use common::Name;

/// The table.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<Name, Row>,
    version: u64,
    /// Transactions taken.
    pub commits: u64,
    /// Rows written or removed.
    pub writes: u64,
    /// Reads taken.
    pub queries: u64,
    /// Rows read.
    pub reads: u64,
}

impl Table {
    /// Reads rows.
    pub fn read(&mut self, query: &Query) -> Vec<Row> {
        let by_key = query.keys.iter().filter_map(|key| self.rows.get(key));
        let mut rows: Vec<Row> = by_key.cloned().collect();
        for prefix in &query.prefixes {
            let from = self.rows.range(prefix.clone()..);
            let under = from.take_while(|(key, _)| key.starts_with(&**prefix));
            rows.extend(under.map(|(_, row)| row.clone()));
        }
        self.queries += 1;
        self.reads += rows.len().max(query.keys.len()) as u64;
        rows
    }

    /// Commits a transaction, where all its checks hold.
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
