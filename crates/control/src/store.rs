//! Rows and transactions of the platform's store, independent of its wire format.

use common::Name;

common::data! {
    /// Full key of a row.
    pub struct RowKey {
        /// Table that holds the row.
        pub table: &'static str,
        /// Key within the pool's part of the table.
        pub key: Name,
    }

    /// A row as read from the store.
    pub struct Row {
        /// Key within the pool's part of the table.
        pub key: Name,
        /// Encoded content.
        pub value: Vec<u8>,
        /// Version of the latest change to the row.
        pub version: u64,
    }

    /// A row to insert or replace.
    pub struct RowWrite {
        /// Key of the row.
        pub key: RowKey,
        /// Encoded content.
        pub value: Vec<u8>,
    }

    /// Atomic changes, conditional on the version of one row.
    pub struct Transaction {
        /// Key of the row whose version is checked.
        pub checked_row: RowKey,
        /// Expected version of the checked row; 0 if the row must not exist.
        pub expected_version: u64,
        /// Rows to insert or replace.
        pub writes: Vec<RowWrite>,
        /// Keys of rows to delete.
        pub deletes: Vec<RowKey>,
    }

    /// Result of a transaction.
    pub enum CommitResult {
        /// The transaction was committed.
        Committed {
            /// New version of the rows written.
            version: u64,
            /// Commit time by the store's clock, in ms.
            store_clock_ms: u64,
        },
        /// The checked row has another version; nothing was written.
        Conflict {
            /// Current checked row; none if it does not exist.
            row: Option<Row>,
        },
        /// The store refused the call for now; nothing was written.
        Refused,
        /// The store rejects the transaction as such, for its size or its form; nothing was
        /// written.
        Rejected,
        /// No answer; the transaction may have been committed, or may be later.
        Unknown,
    }

    /// Result of a range read, which may be partial.
    pub struct Page {
        /// Rows in the order of their keys.
        pub rows: Vec<Row>,
        /// Whether the range holds further rows.
        pub has_more: bool,
        /// Time of the read by the store's clock, in ms.
        pub store_clock_ms: u64,
    }
}

impl Transaction {
    /// Size of the rows written, in bytes.
    pub(crate) fn size(&self) -> usize {
        self.writes.iter().map(|write| write.key.key.len() + write.value.len()).sum()
    }
}
