//! The object store: whole values by key.

use common::Name;
use stakker::Ret;

use crate::Error;

/// What a read gives; none where there is no such object.
pub type Object = Result<Option<Vec<u8>>, Error>;

/// What a write or removal gives.
pub type Done = Result<(), Error>;

/// The platform's object store.
pub trait Objects {
    /// Reads an object.
    fn get(&mut self, key: Name, ret: Ret<Object>);

    /// Writes an object whole.
    fn put(&mut self, key: Name, value: Vec<u8>, ret: Ret<Done>);

    /// Removes an object; one that is not there is no error.
    fn delete(&mut self, key: Name, ret: Ret<Done>);
}
