//! HTTP clients of the platform, by `ureq` on bounded pools of threads.

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
pub use pool::Pool;
pub use table::Table;
pub use workers::Workers;
