//! A whole book in the object store, and the row that names the current one.

use common::Name;
use snafu::{ResultExt, Snafu, ensure};

use crate::{Book, segment};

/// Version of the snapshot format.
pub const VERSION: u32 = 1;

common::record! {
    /// The row that says where recovery begins.
    #[derive(Default)]
    pub struct Head {
        /// Version of the snapshot's format.
        pub version: u32,
        /// The object that holds the book; none where recovery begins empty.
        pub object: Option<Name>,
        /// Checksum of the object.
        pub crc: u32,
        /// First sequence that the book does not cover.
        pub next: u64,
    }
}

/// Why a partition cannot be recovered.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A segment does not read.
    #[snafu(display("segment {sequence}: {source}"))]
    Segment {
        /// The segment's sequence.
        sequence: u64,
        /// What is wrong with it.
        source: segment::Error,
    },
    /// A segment is missing between others.
    #[snafu(display("segment {expected} is missing; {found} is there"))]
    Gap {
        /// The sequence that should follow.
        expected: u64,
        /// The sequence that does.
        found: u64,
    },
    /// The snapshot is missing.
    #[snafu(display("snapshot is missing"))]
    Missing,
    /// The snapshot was written by a version that this one does not read.
    #[snafu(display("snapshot version {version} is not {VERSION}"))]
    Version {
        /// The snapshot's version.
        version: u32,
    },
    /// The snapshot is not what was written.
    #[snafu(display("snapshot checksum {found:08x} is not {stated:08x}"))]
    Checksum {
        /// Computed from the object.
        found: u32,
        /// Stated in the head row.
        stated: u32,
    },
    /// The snapshot does not parse.
    #[snafu(display("snapshot: {source}"))]
    Json {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// An event does not fit the book.
    #[snafu(display("segment {sequence}: {source}"))]
    Event {
        /// The segment's sequence.
        sequence: u64,
        /// What does not fit.
        source: crate::book::Error,
    },
}

/// The key of a partition's head row.
pub fn head_key(partition: u32) -> String {
    format!("head/{partition:04}")
}

/// The key of a snapshot object.
pub fn object_key(partition: u32, epoch: u64, next: u64) -> String {
    format!("book-{partition:04}-{epoch}-{next}")
}

/// A book's bytes and their checksum.
///
/// # Panics
///
/// Never: a book always has a JSON form.
pub fn encode(book: &Book) -> (Vec<u8>, u32) {
    let bytes = serde_json::to_vec(book).expect("a book has a JSON form");
    let crc = crc32fast::hash(&bytes);
    (bytes, crc)
}

/// Rebuilds a partition's book from its head, its snapshot and `(key, text)` of its rows.
///
/// Gives the book and the next free sequence.
///
/// # Errors
///
/// [`Error`] where anything is missing, foreign, damaged, or does not fit; nothing may
/// then be written for the partition.
pub fn recover(
    head: &Head,
    object: Option<&[u8]>,
    rows: &[(Name, String)],
) -> Result<(Book, u64), Error> {
    let mut book = read_book(head, object)?;
    let mut next = head.next;
    for (key, text) in rows {
        let sequence = segment::sequence(key).unwrap_or(0);
        if sequence < next {
            continue;
        }
        ensure!(sequence == next, GapSnafu { expected: next, found: sequence });
        let segment = segment::Segment::decode(text).context(SegmentSnafu { sequence })?;
        for event in segment.events {
            book.apply(event).context(EventSnafu { sequence })?;
        }
        next += 1;
    }
    Ok((book, next))
}

fn read_book(head: &Head, object: Option<&[u8]>) -> Result<Book, Error> {
    if head.object.is_none() {
        return Ok(Book::default());
    }
    ensure!(head.version == VERSION, VersionSnafu { version: head.version });
    let Some(bytes) = object else {
        return MissingSnafu.fail();
    };
    let found = crc32fast::hash(bytes);
    ensure!(found == head.crc, ChecksumSnafu { found, stated: head.crc });
    serde_json::from_slice(bytes).context(JsonSnafu)
}
