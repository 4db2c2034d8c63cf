//! Interface to the transactional table: versioned rows and multi-row compare-and-set.

use common::Name;
use serde::{Deserialize, Serialize};
use stakker::Ret;

use crate::Error;

common::record! {
    /// A row of the table, with its version.
    pub struct Row {
        /// Key of the row.
        pub key: Name,
        /// Value of the row.
        pub value: String,
        /// Version, which increases with every write of the row; never zero.
        pub version: u64,
    }

    /// A version that a row must have for a commit to succeed.
    pub struct Check {
        /// Key of the row.
        pub key: Name,
        /// Expected version; zero if the row must not exist.
        pub version: u64,
    }

    /// A row to write.
    pub struct Put {
        /// Key of the row.
        pub key: Name,
        /// New value of the row.
        pub value: String,
    }

    /// Checks and writes that are committed atomically.
    #[derive(Default)]
    pub struct Transaction {
        /// Version checks, all of which must succeed.
        pub checks: Vec<Check>,
        /// Rows to write.
        #[serde(default)]
        pub puts: Vec<Put>,
        /// Keys of rows to delete.
        #[serde(default)]
        pub deletes: Vec<Name>,
    }

    /// The outcome of a transaction.
    #[derive(Default)]
    pub struct CommitReply {
        /// Whether the transaction was committed.
        pub committed: bool,
        /// Version of all rows that the transaction wrote.
        pub version: u64,
        /// Keys whose checks failed; empty if the transaction was committed.
        #[serde(default)]
        pub conflicts: Vec<Name>,
    }

    /// Rows to read, by key and by key prefix.
    #[derive(Default)]
    pub struct Query {
        /// Keys of single rows.
        #[serde(default)]
        pub keys: Vec<Name>,
        /// Key prefixes; all rows of each are read in key order.
        #[serde(default)]
        pub prefixes: Vec<Name>,
    }
}

impl Transaction {
    /// Adds a version check; zero requires that the row does not exist.
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

    /// Adds a row to delete.
    #[must_use]
    pub fn delete(mut self, key: impl Into<Name>) -> Self {
        self.deletes.push(key.into());
        self
    }

    /// Number of rows that the transaction writes or deletes.
    pub fn write_count(&self) -> usize {
        self.puts.len() + self.deletes.len()
    }
}

/// Result of a read: the rows found.
pub type ReadResult = Result<Vec<Row>, Error>;

/// Result of a commit; a conflict is not an error.
pub type CommitResult = Result<CommitReply, Error>;

/// Client of the platform's transactional table.
pub trait Table {
    /// Reads rows; rows that do not exist are left out.
    fn read(&mut self, query: Query, ret: Ret<ReadResult>);

    /// Commits a transaction if all its checks succeed.
    fn commit(&mut self, transaction: Transaction, ret: Ret<CommitResult>);
}

/// JSON body of a read reply.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadReply {
    /// Rows that were found.
    pub rows: Vec<Row>,
}
