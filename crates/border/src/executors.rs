//! Interface to the executors, which handle quick requests.

use std::time::Duration;

use common::Name;
use stakker::Ret;

use crate::Error;

common::data! {
    /// A request to be sent to one executor.
    pub struct Call {
        /// Name of the executor.
        pub executor: Name,
        /// Request identifier for the executor's logs: customer and id.
        pub request: String,
        /// Trace context, in the format of the `traceparent` header.
        pub trace: String,
        /// Input of the work.
        pub payload: Vec<u8>,
        /// Timeout of the whole call.
        pub timeout: Duration,
    }

    /// An executor's reply.
    pub struct Reply {
        /// Whether the work succeeded.
        pub is_ok: bool,
        /// Result, or the error message of failed work.
        pub body: Vec<u8>,
        /// Time at which the call was sent, in Unix microseconds.
        pub sent_at_us: u64,
    }
}

/// Result of a call; failed work is a reply, not an error.
pub type CallResult = Result<Reply, Error>;

/// Client of the executors of all services.
pub trait Executors {
    /// Sends a request to an executor and returns its reply.
    fn call(&mut self, call: Call, ret: Ret<CallResult>);
}
