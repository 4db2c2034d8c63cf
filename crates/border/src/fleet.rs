//! Interface to the platform's list of live and leaving VMs, which may be out of date.

use common::Name;
use stakker::Ret;

use crate::Error;

common::record! {
    /// A VM of the list.
    pub struct Vm {
        /// Name of the worker or executor on the VM.
        pub name: Name,
        /// Whether the VM is about to shut down.
        #[serde(default)]
        pub leaving: bool,
    }
}

/// Result of a read of the list.
pub type ListResult = Result<Vec<Vm>, Error>;

/// Client of the list of VMs.
pub trait VmList {
    /// Reads the whole list.
    fn read(&mut self, ret: Ret<ListResult>);
}
