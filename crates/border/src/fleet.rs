//! The platform's list of live and leaving VMs; it lags.

use common::Name;
use stakker::Ret;

use crate::Error;

common::record! {
    /// One VM of the list.
    pub struct Vm {
        /// The worker's or executor's name.
        pub name: Name,
        /// Whether it is about to go.
        #[serde(default)]
        pub leaving: bool,
    }
}

/// What a look at the list gives.
pub type Vms = Result<Vec<Vm>, Error>;

/// The list of VMs.
pub trait Fleet {
    /// Reads the whole list.
    fn list(&mut self, ret: Ret<Vms>);
}
