//! The operator's rules: queues, their services and the limits on requests.

use std::time::Duration;

use common::Name;

common::data! {
    /// What an advice call of a queue costs and how long its tickets last.
    pub struct Hint {
        /// Time of a call without workers.
        pub base: Duration,
        /// Time for each worker named.
        pub each: Duration,
        /// How long a ticket lasts.
        pub validity: Duration,
    }

    /// A queue, found by host and longest path prefix.
    pub struct Queue {
        /// The queue's name.
        pub name: Name,
        /// Host that requests name.
        pub host: Name,
        /// Path that requests begin with.
        pub prefix: Name,
        /// Service whose workers run the queue's tasks.
        pub service: Name,
        /// 0 comes first.
        pub priority: u32,
        /// Failed runs after which a task is given up.
        pub max_attempts: u32,
        /// Factor on the longest chain of work in the objective.
        pub stretch: f64,
        /// Addition to the objective.
        pub target: Duration,
        /// Advice that placements need; none where any worker will do.
        pub hint: Option<Hint>,
    }

    /// Bounds on requests.
    pub struct Limits {
        /// Largest header, in bytes.
        pub header_bytes: usize,
        /// Largest body, in bytes.
        pub body_bytes: usize,
        /// How long a header may take to arrive.
        pub header_timeout: Duration,
        /// How long a connection may be idle.
        pub idle_timeout: Duration,
    }

    /// One version of the operator's rules.
    pub struct Rules {
        /// Rises with each change.
        pub version: u64,
        /// The queues.
        pub queues: Vec<Queue>,
        /// Bounds on requests.
        pub limits: Limits,
    }
}

impl Rules {
    /// The queue with the longest prefix that fits a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |queue: &&Queue| &*queue.host == host && path.starts_with(&*queue.prefix);
        self.queues.iter().filter(fits).max_by_key(|queue| queue.prefix.len())
    }

    /// The queue of a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }
}
