//! What can go wrong, and the exit code for it.

use common::Kind;
use settings::Faults;
use snafu::Snafu;

use crate::config::Config;

/// Exit code where no daemon answered.
const EXIT_NO_ANSWER: u8 = 20;

/// Exit code where the request still goes on.
const EXIT_OPEN: u8 = 21;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// An option's value does not parse.
    #[snafu(display("--{option}: {text}"))]
    Option {
        /// The option.
        option: &'static str,
        /// What is wrong.
        text: String,
    },
    /// A file cannot be read.
    #[snafu(display("{path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A settings file has faults.
    #[snafu(display("{}", source.in_file(path)))]
    Settings {
        /// The file.
        path: String,
        /// The faults.
        source: Faults,
    },
    /// No daemon answered.
    #[snafu(display("{server}: {text}"))]
    NoAnswer {
        /// The daemon.
        server: String,
        /// What happened.
        text: String,
    },
    /// The daemon refused, or the work ended without a result.
    #[snafu(display("{kind}: {text}"))]
    Refused {
        /// The error kind.
        kind: Kind,
        /// The daemon's words.
        text: String,
    },
    /// The logs say nothing of a job, or nothing at all.
    #[snafu(display("no log line tells of {}", if job.is_empty() { "anything" } else { job }))]
    NoLines {
        /// The job; empty where any line would do.
        job: String,
    },
    /// The picture cannot be drawn.
    #[snafu(display("{text}"))]
    Chart {
        /// What is wrong.
        text: String,
    },
    /// The request goes on.
    #[snafu(display("the request is {state}"))]
    Open {
        /// Where it stands.
        state: String,
    },
}

impl Error {
    /// The exit code.
    pub fn exit(&self) -> u8 {
        match self {
            Self::Option { .. } | Self::File { .. } | Self::Settings { .. } => {
                Kind::Malformed.exit()
            }
            Self::NoLines { .. } => Kind::NotFound.exit(),
            Self::Chart { .. } => Kind::Internal.exit(),
            Self::NoAnswer { .. } => EXIT_NO_ANSWER,
            Self::Refused { kind, .. } => kind.exit(),
            Self::Open { .. } => EXIT_OPEN,
        }
    }

    /// Whether the output on stdout already says it.
    pub fn is_told(&self, config: &Config) -> bool {
        match self {
            Self::Open { .. } => true,
            Self::Refused { .. } => config.is_json,
            _ => false,
        }
    }
}
