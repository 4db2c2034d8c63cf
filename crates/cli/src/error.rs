//! Errors of commands and their exit codes.

use common::ErrorKind;
use settings::ParseErrors;
use snafu::Snafu;

use crate::config::Config;

/// Exit code if the daemon gave no answer.
const EXIT_NO_ANSWER: u8 = 20;

/// Exit code if the request is still open.
const EXIT_OPEN: u8 = 21;

/// Exit code if a checked configuration has errors, cannot be read, or the call is wrong.
pub(crate) const EXIT_CONFIG_ERRORS: u8 = 1;

/// Exit code if a checked configuration has warnings and no errors.
const EXIT_CONFIG_WARNINGS: u8 = 2;

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The value of an option is invalid.
    #[snafu(display("--{option}: {text}"))]
    Option {
        /// Name of the option, without dashes.
        option: &'static str,
        /// What is invalid.
        text: String,
    },
    /// A file cannot be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A settings file has errors.
    #[snafu(display("{}", source.with_path(path)))]
    Settings {
        /// Path of the file.
        path: String,
        /// Errors in the file.
        source: ParseErrors,
    },
    /// The daemon gave no answer, or none that could be parsed.
    #[snafu(display("{server}: {text}"))]
    NoAnswer {
        /// Base URL of the daemon.
        server: String,
        /// Cause of the failure.
        text: String,
    },
    /// The daemon refused the call, or the work ended without a result.
    #[snafu(display("{kind}: {text}"))]
    Refused {
        /// Kind of the error.
        kind: ErrorKind,
        /// Message of the daemon, and whether the work ran.
        text: String,
    },
    /// The logs hold no line about a job, or none at all.
    #[snafu(display("no log line found for {}", if job.is_empty() { "the cell" } else { job }))]
    NoLines {
        /// Id of the job; empty if the logs hold no line at all.
        job: String,
    },
    /// The chart cannot be drawn.
    #[snafu(display("{text}"))]
    Chart {
        /// Error of the chart library.
        text: String,
    },
    /// A checked configuration has errors, or warnings only.
    #[snafu(display("the configuration has {}", if *has_errors { "errors" } else { "warnings" }))]
    Findings {
        /// Whether there are errors.
        has_errors: bool,
    },
    /// The request has not ended.
    #[snafu(display("the request is {state}"))]
    Open {
        /// State of the request.
        state: String,
    },
}

impl Error {
    /// Exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Option { .. } | Self::File { .. } | Self::Settings { .. } => {
                ErrorKind::Malformed.exit_code()
            }
            Self::NoLines { .. } => ErrorKind::NotFound.exit_code(),
            Self::Chart { .. } => ErrorKind::Internal.exit_code(),
            Self::NoAnswer { .. } => EXIT_NO_ANSWER,
            Self::Refused { kind, .. } => kind.exit_code(),
            Self::Open { .. } => EXIT_OPEN,
            Self::Findings { has_errors: true } => EXIT_CONFIG_ERRORS,
            Self::Findings { has_errors: false } => EXIT_CONFIG_WARNINGS,
        }
    }

    /// Whether the output on stdout already reports this error.
    pub fn is_printed(&self, config: &Config) -> bool {
        match self {
            Self::Open { .. } | Self::Findings { .. } => true,
            Self::Refused { .. } => config.is_json,
            _ => false,
        }
    }
}
