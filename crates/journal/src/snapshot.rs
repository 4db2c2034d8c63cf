//! Snapshots of a partition's request table, and recovery from a snapshot and later segments.
//!
//! A snapshot is an object in the object store. The partition's head row names the current
//! one.

use common::Name;
use snafu::{ResultExt, Snafu, ensure};

use crate::{RequestTable, segment};

/// Format version of the snapshots that this version reads and writes.
pub const FORMAT_VERSION: u32 = 1;

common::record! {
    /// Contents of the head row, which says where recovery begins.
    #[derive(Default)]
    pub struct SnapshotHead {
        /// Format version of the snapshot.
        pub version: u32,
        /// Key of the snapshot object; `None` if recovery begins with an empty request table.
        pub object: Option<Name>,
        /// CRC-32 of the snapshot object.
        pub crc: u32,
        /// Sequence of the first segment that the snapshot does not cover.
        pub next: u64,
    }
}

/// Why a partition cannot be recovered.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A segment cannot be decoded.
    #[snafu(display("cannot read segment {sequence}: {source}"))]
    InvalidSegment {
        /// Sequence of the segment.
        sequence: u64,
        /// Why it cannot be decoded.
        source: segment::Error,
    },
    /// A segment is missing before the next one.
    #[snafu(display("segment {expected} is missing; the next one found is {found}"))]
    MissingSegment {
        /// Sequence of the missing segment.
        expected: u64,
        /// Sequence of the segment found in its place.
        found: u64,
    },
    /// The object that the head row names does not exist.
    #[snafu(display("the snapshot that the head row names is missing"))]
    MissingSnapshot,
    /// The snapshot has a format version that this version cannot read.
    #[snafu(display("unsupported snapshot version {version}, expected version {FORMAT_VERSION}"))]
    UnsupportedVersion {
        /// Format version of the snapshot, from the head row.
        version: u32,
    },
    /// The snapshot differs from the one that was written.
    #[snafu(display(
        "snapshot checksum mismatch: head row states {stated:08x}, object has {found:08x}"
    ))]
    ChecksumMismatch {
        /// Checksum computed from the object.
        found: u32,
        /// Checksum stated in the head row.
        stated: u32,
    },
    /// The snapshot does not parse.
    #[snafu(display("cannot parse the snapshot: {source}"))]
    InvalidSnapshot {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// An event cannot be applied to the request table.
    #[snafu(display("cannot apply an event of segment {sequence}: {source}"))]
    InvalidEvent {
        /// Sequence of the segment that contains the event.
        sequence: u64,
        /// Why the event cannot be applied.
        source: crate::request_table::Error,
    },
}

/// Table key of a partition's head row.
pub fn head_key(partition: u32) -> String {
    format!("head/{partition:04}")
}

/// Key of a snapshot object whose first uncovered segment is `next`.
pub fn object_key(partition: u32, epoch: u64, next: u64) -> String {
    format!("book-{partition:04}-{epoch}-{next}")
}

/// Encodes a request table as a snapshot; returns its bytes and their CRC-32.
///
/// # Panics
///
/// Never: a request table always has a JSON form.
pub fn encode(request_table: &RequestTable) -> (Vec<u8>, u32) {
    let bytes = serde_json::to_vec(request_table).expect("a request table has a JSON form");
    let crc = crc32fast::hash(&bytes);
    (bytes, crc)
}

/// Rebuilds a partition's request table from its head row, its snapshot and its segment rows.
///
/// `rows` are pairs of key and text, sorted by key. Returns the request table and the next unused
/// sequence.
///
/// # Errors
///
/// [`Error`] if a segment or the snapshot is missing, damaged or of another format, or an
/// event cannot be applied. Nothing may then be written for the partition.
pub fn recover(
    head: &SnapshotHead,
    object: Option<&[u8]>,
    rows: &[(Name, String)],
) -> Result<(RequestTable, u64), Error> {
    let mut request_table = read_request_table(head, object)?;
    let mut next = head.next;
    for (key, text) in rows {
        let sequence = segment::parse_sequence(key).unwrap_or(0);
        if sequence < next {
            continue;
        }
        ensure!(sequence == next, MissingSegmentSnafu { expected: next, found: sequence });
        let segment = segment::Segment::decode(text).context(InvalidSegmentSnafu { sequence })?;
        for event in segment.events {
            request_table.apply(event).context(InvalidEventSnafu { sequence })?;
        }
        next += 1;
    }
    Ok((request_table, next))
}

/// Decodes the snapshot that the head row names; an empty request table if it names none.
fn read_request_table(head: &SnapshotHead, object: Option<&[u8]>) -> Result<RequestTable, Error> {
    if head.object.is_none() {
        return Ok(RequestTable::default());
    }
    ensure!(head.version == FORMAT_VERSION, UnsupportedVersionSnafu { version: head.version });
    let Some(bytes) = object else {
        return MissingSnapshotSnafu.fail();
    };
    let found = crc32fast::hash(bytes);
    ensure!(found == head.crc, ChecksumMismatchSnafu { found, stated: head.crc });
    serde_json::from_slice(bytes).context(InvalidSnapshotSnafu)
}
