//! Borders to the platform: table, objects, workers, executors, list of VMs.
//!
//! Each border is a trait whose calls return at once and answer through a
//! [`stakker::Ret`]. [`http`] holds the clients that ship; tests put small fakes in
//! their place. `docs/BORDERS.md` lists what is assumed of the real platform.

pub mod executors;
pub mod fleet;
pub mod http;
pub mod limit;
pub mod objects;
pub mod table;
pub mod workers;

pub use executors::Executors;
pub use fleet::Fleet;
pub use objects::Objects;
pub use table::Table;
pub use workers::Workers;

use snafu::Snafu;

/// Why a call to the platform gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The call was never sent; it took no effect.
    #[snafu(display("not sent: {text}"))]
    Unsent {
        /// What stood in the way.
        text: String,
    },
    /// The answer is lost; the call may have taken effect.
    #[snafu(display("answer lost: {text}"))]
    Lost {
        /// What happened to the answer.
        text: String,
    },
    /// The platform refused; the call took no effect.
    #[snafu(display("refused: {text}"))]
    Refused {
        /// The platform's words.
        text: String,
    },
}

impl Error {
    /// Whether the call may have taken effect.
    pub fn may_have_happened(&self) -> bool {
        matches!(self, Self::Lost { .. })
    }
}
