//! Encoding of a segment: a table row with a header line, followed by events as JSON.
//!
//! The header contains format, version, epoch, nonce and checksum of the events:
//! `bronzerail-journal 1 <epoch> <nonce> <crc32>`.

use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::Event;

const FORMAT_NAME: &str = "bronzerail-journal";
const FORMAT_VERSION: u32 = 1;

/// Why a row cannot be decoded as a segment.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The row does not have the header of a segment.
    #[snafu(display("row is not a journal segment"))]
    NotASegment,
    /// The row has a format version that this version cannot read.
    #[snafu(display("unsupported journal version {version}, expected version {FORMAT_VERSION}"))]
    UnsupportedVersion {
        /// Format version of the row.
        version: u32,
    },
    /// The events differ from those that were written.
    #[snafu(display("checksum mismatch: header states {stated:08x}, events have {found:08x}"))]
    ChecksumMismatch {
        /// Checksum computed from the events' text.
        found: u32,
        /// Checksum stated in the header.
        stated: u32,
    },
    /// The checksum matches, but the events do not parse.
    #[snafu(display("cannot parse the segment's events: {source}"))]
    InvalidEvents {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

common::data! {
    /// Contents of one journal row.
    pub struct Segment {
        /// Epoch of the partition's owner that wrote the segment.
        pub epoch: u64,
        /// Random number that identifies the writer's own segment after a conflict.
        pub nonce: u64,
        /// Events in the order in which they apply.
        pub events: Vec<Event>,
    }
}

impl Segment {
    /// Encodes the segment as the text of a row.
    ///
    /// # Panics
    ///
    /// Never: events always have a JSON form.
    pub fn encode(&self) -> String {
        let body = serde_json::to_string(&self.events).expect("events have a JSON form");
        let crc = crc32fast::hash(body.as_bytes());
        format!("{FORMAT_NAME} {FORMAT_VERSION} {} {:x} {crc:08x}\n{body}", self.epoch, self.nonce)
    }

    /// Decodes the text of a row.
    ///
    /// # Errors
    ///
    /// [`Error`] if the row is not a segment, has another version or is damaged.
    pub fn decode(text: &str) -> Result<Self, Error> {
        let (header, body) = text.split_once('\n').context(NotASegmentSnafu)?;
        let mut fields = header.split(' ');
        ensure!(fields.next() == Some(FORMAT_NAME), NotASegmentSnafu);
        let version: u32 = parse_number(fields.next(), 10)? as u32;
        ensure!(version == FORMAT_VERSION, UnsupportedVersionSnafu { version });
        let epoch = parse_number(fields.next(), 10)?;
        let nonce = parse_number(fields.next(), 16)?;
        let stated = parse_number(fields.next(), 16)? as u32;
        let found = crc32fast::hash(body.as_bytes());
        ensure!(found == stated, ChecksumMismatchSnafu { found, stated });
        let events = serde_json::from_str(body).context(InvalidEventsSnafu)?;
        Ok(Self { epoch, nonce, events })
    }
}

/// Parses one header field.
fn parse_number(field: Option<&str>, radix: u32) -> Result<u64, Error> {
    let parsed = field.and_then(|text| u64::from_str_radix(text, radix).ok());
    parsed.context(NotASegmentSnafu)
}

/// Key prefix of a partition's segments.
pub fn key_prefix(partition: u32) -> String {
    format!("journal/{partition:04}/")
}

/// Key of one segment; keys sort by sequence.
pub fn segment_key(partition: u32, sequence: u64) -> String {
    format!("{}{sequence:012}", key_prefix(partition))
}

/// Parses the sequence from a segment's key; `None` if it is not a number.
pub fn parse_sequence(key: &str) -> Option<u64> {
    key.rsplit('/').next().and_then(|text| text.parse().ok())
}
