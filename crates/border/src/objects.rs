//! Interface to the object store: whole values, read and written by key.

use common::Name;
use stakker::Ret;

use crate::Error;

/// Result of a read; `None` if the object does not exist.
pub type ReadResult = Result<Option<Vec<u8>>, Error>;

/// Result of a write or deletion.
pub type WriteResult = Result<(), Error>;

/// Client of the platform's object store.
pub trait Objects {
    /// Reads an object whole.
    fn get(&mut self, key: Name, ret: Ret<ReadResult>);

    /// Writes an object, replacing any previous value.
    fn put(&mut self, key: Name, value: Vec<u8>, ret: Ret<WriteResult>);

    /// Deletes an object; a missing object is not an error.
    fn delete(&mut self, key: Name, ret: Ret<WriteResult>);
}
