//! Servers that answer quick requests.

use std::time::Duration;

use common::Name;
use stakker::Ret;

use crate::Error;

common::data! {
    /// A request to one executor.
    pub struct Call {
        /// The executor's name.
        pub executor: Name,
        /// Names the request in the executor's logs: customer and id.
        pub request: String,
        /// Trace context, as `traceparent` has it.
        pub trace: String,
        /// The request's payload.
        pub payload: Vec<u8>,
        /// Longest wait for the answer.
        pub timeout: Duration,
    }

    /// An executor's answer.
    pub struct Reply {
        /// Whether the work succeeded.
        pub is_ok: bool,
        /// The result, or the failure's text.
        pub body: Vec<u8>,
        /// When the request was sent, in microseconds since 1970.
        pub asked_us: u64,
    }
}

/// What a call gives.
pub type Answer = Result<Reply, Error>;

/// The executors of all services.
pub trait Executors {
    /// Sends a request to an executor.
    fn call(&mut self, call: Call, ret: Ret<Answer>);
}
