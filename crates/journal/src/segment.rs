//! One table row of the journal: a header line, then events as JSON.
//!
//! The header names format, version, epoch, nonce and checksum:
//! `bronzerail-journal 1 <epoch> <nonce> <crc32>`.

use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::Event;

const FORMAT: &str = "bronzerail-journal";
const VERSION: u32 = 1;

/// Why a row is no segment.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The row was written by something else.
    #[snafu(display("not a journal segment"))]
    Foreign,
    /// The row was written by a version that this one does not read.
    #[snafu(display("journal version {version} is not {VERSION}"))]
    Version {
        /// The row's version.
        version: u32,
    },
    /// The text is not what was written.
    #[snafu(display("checksum {found:08x} is not {stated:08x}"))]
    Checksum {
        /// Computed from the text.
        found: u32,
        /// Stated in the header.
        stated: u32,
    },
    /// The checksum fits, the events do not parse.
    #[snafu(display("events: {source}"))]
    Events {
        /// The parser's error.
        source: serde_json::Error,
    },
}

common::data! {
    /// The contents of one row.
    pub struct Segment {
        /// Epoch of the partition's owner that wrote it.
        pub epoch: u64,
        /// Tells the writer's own row from another's.
        pub nonce: u64,
        /// The events, in order.
        pub events: Vec<Event>,
    }
}

impl Segment {
    /// The row's text.
    ///
    /// # Panics
    ///
    /// Never: events always have a JSON form.
    pub fn encode(&self) -> String {
        let body = serde_json::to_string(&self.events).expect("events have a JSON form");
        let crc = crc32fast::hash(body.as_bytes());
        format!("{FORMAT} {VERSION} {} {:x} {crc:08x}\n{body}", self.epoch, self.nonce)
    }

    /// Reads a row's text.
    ///
    /// # Errors
    ///
    /// [`Error`] where the row is foreign, of another version, or damaged.
    pub fn decode(text: &str) -> Result<Self, Error> {
        let (header, body) = text.split_once('\n').context(ForeignSnafu)?;
        let mut fields = header.split(' ');
        ensure!(fields.next() == Some(FORMAT), ForeignSnafu);
        let version: u32 = number(fields.next(), 10)? as u32;
        ensure!(version == VERSION, VersionSnafu { version });
        let epoch = number(fields.next(), 10)?;
        let nonce = number(fields.next(), 16)?;
        let stated = number(fields.next(), 16)? as u32;
        let found = crc32fast::hash(body.as_bytes());
        ensure!(found == stated, ChecksumSnafu { found, stated });
        let events = serde_json::from_str(body).context(EventsSnafu)?;
        Ok(Self { epoch, nonce, events })
    }
}

fn number(field: Option<&str>, radix: u32) -> Result<u64, Error> {
    let parsed = field.and_then(|text| u64::from_str_radix(text, radix).ok());
    parsed.context(ForeignSnafu)
}

/// The prefix of every segment of a partition.
pub fn prefix(partition: u32) -> String {
    format!("journal/{partition:04}/")
}

/// The key of one segment; keys sort by sequence.
pub fn key(partition: u32, sequence: u64) -> String {
    format!("{}{sequence:012}", prefix(partition))
}

/// The sequence in a segment's key.
pub fn sequence(key: &str) -> Option<u64> {
    key.rsplit('/').next().and_then(|text| text.parse().ok())
}
