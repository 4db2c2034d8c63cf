//! HTTP clients of the platform, which make blocking `ureq` calls on bounded thread pools.

mod agent;
mod executors;
mod fleet;
mod objects;
mod pool;
mod table;
mod workers;

pub use executors::Executors;
pub use fleet::Fleet;
pub use objects::Objects;
pub use pool::ThreadPool;
pub use table::Table;
pub use workers::Workers;
