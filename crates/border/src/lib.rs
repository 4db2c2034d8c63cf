//! Clients of the platform: table, object store, workers, executors and list of VMs.
//!
//! Each client is a trait whose calls return immediately and deliver their result through
//! a [`stakker::Ret`]. [`http`] contains the production implementations; tests use fakes
//! instead. `docs/BORDERS.md` lists the assumptions about the real platform.

pub mod executors;
pub mod fleet;
pub mod http;
pub mod limit;
pub mod objects;
pub mod table;
pub mod workers;

pub use executors::Executors;
pub use fleet::VmList;
pub use objects::Objects;
pub use table::Table;
pub use workers::Workers;

use snafu::Snafu;

/// A failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The call was not sent, so it had no effect.
    #[snafu(display("not sent: {text}"))]
    NotSent {
        /// Cause of the failure.
        text: String,
    },
    /// No usable reply arrived; the call may have taken effect.
    #[snafu(display("reply lost: {text}"))]
    ReplyLost {
        /// Cause of the failure.
        text: String,
    },
    /// The platform refused the call, so it had no effect.
    #[snafu(display("refused: {text}"))]
    Refused {
        /// Text of the platform's reply.
        text: String,
    },
}

impl Error {
    /// Whether the call may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::ReplyLost { .. })
    }
}
