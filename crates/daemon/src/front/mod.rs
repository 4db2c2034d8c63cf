//! The border to callers and operators.

pub mod api;
mod server;

pub use server::Server;

use common::Name;
use journal::event::Key;
use serde_json::Value;

/// Names one request in progress.
pub type Token = u64;

common::data! {
    /// What a caller or operator asks.
    pub enum Request {
        /// Take in work.
        Submit {
            /// The body.
            body: Vec<u8>,
            /// How long to wait for the answer, in milliseconds.
            wait_ms: Option<u64>,
            /// The caller's trace context.
            trace: Option<String>,
            /// When it came in, in microseconds since 1970; zero where nobody looked.
            arrived_us: u64,
        },
        /// Tell where a request stands.
        Status {
            /// The request.
            key: Key,
            /// How long to wait for the answer, in milliseconds.
            wait_ms: u64,
        },
        /// Stop a request.
        Cancel {
            /// The request.
            key: Key,
        },
        /// Tell why a request waits or runs where it does.
        Explain {
            /// The request.
            key: Key,
        },
        /// Show a settings file in force.
        GetSettings {
            /// `inventory` or `rules`.
            what: Name,
        },
        /// Replace a settings file.
        Apply {
            /// `inventory` or `rules`.
            what: Name,
            /// The version that the change is based on.
            base: u64,
            /// Who makes it.
            author: Name,
            /// The new text.
            text: String,
        },
        /// Show a part of the cell's state.
        Survey {
            /// `members`, `workers` or `queue`.
            what: Name,
        },
        /// Tell whether new requests are welcome.
        Ready,
    }

    /// What goes back.
    pub struct Answer {
        /// The HTTP status.
        pub status: u16,
        /// The body.
        pub body: Value,
    }
}

/// Gives answers back to those who asked.
pub trait Front {
    /// Answers a request; a token that is gone is no error.
    fn answer(&mut self, token: Token, answer: Answer);

    /// Ends each connection with its next answer, so that none is cut at the exit.
    fn close_connections(&mut self);
}
