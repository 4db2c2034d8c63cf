//! Interface to callers and operators: the typed requests, their answers and the HTTP API.

pub mod api;
mod server;

pub use server::Server;

use common::Name;
use journal::event::RequestKey;
use serde_json::Value;

/// Number of one open request, unique in the process.
pub type Token = u64;

common::data! {
    /// Request from a caller or an operator.
    pub enum Request {
        /// Admit work.
        Submit {
            /// JSON body, not parsed yet.
            body: Vec<u8>,
            /// Longest wait for the answer, in milliseconds; `None` if the caller gave none.
            wait_ms: Option<u64>,
            /// The caller's `traceparent`, if it sent a valid one.
            trace: Option<String>,
            /// Arrival in Unix microseconds; 0 if unknown.
            arrived_us: u64,
        },
        /// Return the state of a request.
        Status {
            /// Customer and id of the request.
            key: RequestKey,
            /// Longest wait for the request to end, in milliseconds.
            wait_ms: u64,
        },
        /// Cancel a request.
        Cancel {
            /// Customer and id of the request.
            key: RequestKey,
        },
        /// Explain why a request waits, or where it runs.
        Explain {
            /// Customer and id of the request.
            key: RequestKey,
        },
        /// Return a settings file that is in force.
        GetSettings {
            /// `inventory` or `rules`.
            file: Name,
        },
        /// Replace a settings file.
        ApplySettings {
            /// `inventory` or `rules`.
            file: Name,
            /// The version that the change is based on.
            base: u64,
            /// Author of the change.
            author: Name,
            /// New text of the file.
            text: String,
        },
        /// Return one view of the cell's state.
        Survey {
            /// `members`, `workers` or `queue`.
            view: Name,
        },
        /// Return whether the daemon accepts new requests.
        Readiness,
    }

    /// Answer to one request.
    pub struct Answer {
        /// HTTP status code.
        pub status: u16,
        /// JSON body.
        pub body: Value,
    }
}

/// Sends answers to callers and operators.
pub trait Front {
    /// Answers a request; does nothing if the token is no longer open.
    fn answer(&mut self, token: Token, answer: Answer);

    /// Closes each connection with its next answer, so that the exit cuts none off.
    fn close_connections(&mut self);
}
