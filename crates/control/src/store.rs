//! Rows of the platform's store, as the product sees them.

use common::Name;

common::data! {
    /// A row's place: its table, and its key within the pool's part.
    pub struct Key {
        /// The table.
        pub table: &'static str,
        /// The key.
        pub key: Name,
    }

    /// A row that was read.
    pub struct Row {
        /// Its key.
        pub key: Name,
        /// Its bytes.
        pub value: Vec<u8>,
        /// The version of its latest change.
        pub version: u64,
    }

    /// A row to write.
    pub struct Write {
        /// Where.
        pub key: Key,
        /// The bytes.
        pub value: Vec<u8>,
    }

    /// Writes that take effect together, if one row has the version expected.
    pub struct Transaction {
        /// The row whose version is checked.
        pub guard: Key,
        /// The version that it must have; 0 where it must not exist.
        pub version: u64,
        /// Rows to write.
        pub writes: Vec<Write>,
        /// Rows to remove.
        pub removes: Vec<Key>,
    }

    /// How a transaction ended.
    pub enum Commit {
        /// It took effect.
        Done {
            /// The version of the rows written.
            version: u64,
            /// The store's clock, in ms.
            store_ms: u64,
        },
        /// The guard's row has another version; nothing was done.
        Conflict {
            /// The row as it is; none where it does not exist.
            row: Option<Row>,
        },
        /// The store refused the call; nothing was done.
        Refused,
        /// No answer; it may have taken effect, or may yet.
        Unknown,
    }

    /// Rows that were read.
    pub struct Page {
        /// The rows, by key.
        pub rows: Vec<Row>,
        /// Whether more follow.
        pub has_more: bool,
        /// The store's clock, in ms.
        pub store_ms: u64,
    }
}
