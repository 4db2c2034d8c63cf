//! The transactional table: rows with versions, conditional commits of several rows.

use common::Name;
use serde::{Deserialize, Serialize};
use stakker::Ret;

use crate::Error;

common::record! {
    /// One row.
    pub struct Row {
        /// Its key.
        pub key: Name,
        /// Its text.
        pub value: String,
        /// A number that grows with every write of the row; never zero.
        pub version: u64,
    }

    /// What a commit demands of a row.
    pub struct Check {
        /// The row's key.
        pub key: Name,
        /// The version that it must have; zero stands for no such row.
        pub version: u64,
    }

    /// A row to write.
    pub struct Put {
        /// The row's key.
        pub key: Name,
        /// Its new text.
        pub value: String,
    }

    /// Writes that take effect together or not at all.
    #[derive(Default)]
    pub struct Transaction {
        /// All of these must hold.
        pub checks: Vec<Check>,
        /// Rows to write.
        #[serde(default)]
        pub puts: Vec<Put>,
        /// Keys of rows to remove.
        #[serde(default)]
        pub deletes: Vec<Name>,
    }

    /// The answer to a transaction.
    #[derive(Default)]
    pub struct Commit {
        /// Whether it took effect.
        pub committed: bool,
        /// The version of every row that it wrote.
        pub version: u64,
        /// Where it did not: the keys whose checks failed.
        #[serde(default)]
        pub conflicts: Vec<Name>,
    }

    /// Rows to read: some by key, some by prefix.
    #[derive(Default)]
    pub struct Query {
        /// Keys.
        #[serde(default)]
        pub keys: Vec<Name>,
        /// Prefixes; all rows of each, in the order of their keys.
        #[serde(default)]
        pub prefixes: Vec<Name>,
    }
}

impl Transaction {
    /// Adds a check.
    #[must_use]
    pub fn check(mut self, key: impl Into<Name>, version: u64) -> Self {
        self.checks.push(Check { key: key.into(), version });
        self
    }

    /// Adds a row to write.
    #[must_use]
    pub fn put(mut self, key: impl Into<Name>, value: String) -> Self {
        self.puts.push(Put { key: key.into(), value });
        self
    }

    /// Adds a row to remove.
    #[must_use]
    pub fn delete(mut self, key: impl Into<Name>) -> Self {
        self.deletes.push(key.into());
        self
    }

    /// Rows that the transaction writes or removes.
    pub fn writes(&self) -> usize {
        self.puts.len() + self.deletes.len()
    }
}

/// What a read gives.
pub type Rows = Result<Vec<Row>, Error>;

/// What a commit gives.
pub type Committed = Result<Commit, Error>;

/// The platform's table.
pub trait Table {
    /// Reads rows; those that are not there are left out.
    fn read(&mut self, query: Query, ret: Ret<Rows>);

    /// Commits a transaction.
    fn commit(&mut self, transaction: Transaction, ret: Ret<Committed>);
}

/// Rows, as the HTTP interface wraps them.
#[derive(Debug, Serialize, Deserialize)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
}
