//! The operator's rules: queues, their services and limits on requests.

use std::time::Duration;

use common::Name;

use crate::record::QueueRecord;
use crate::workspace::Workspaces;

common::data! {
    /// Expected duration of a queue's advice calls, and the validity of tickets.
    pub struct AdvicePolicy {
        /// Duration of a call without workers.
        pub base_duration: Duration,
        /// Additional duration for each worker named.
        pub duration_per_worker: Duration,
        /// Validity of a ticket.
        pub validity: Duration,
    }

    /// A queue, selected by host and longest path prefix.
    pub struct Queue {
        /// Name of the queue.
        pub name: Name,
        /// Host of matching requests.
        pub host: Name,
        /// Path prefix of matching requests.
        pub prefix: Name,
        /// Service whose workers run the queue's tasks.
        pub service: Name,
        /// Priority; 0 is the highest.
        pub priority: u32,
        /// Failed runs of a task after which its job fails.
        pub max_attempts: u32,
        /// Factor on the critical path in the target completion time.
        pub target_factor: f64,
        /// Constant part of the target completion time.
        pub target_offset: Duration,
        /// Advice that placements need; `None` if no advice is needed.
        pub advice: Option<AdvicePolicy>,
        /// Whether calls need no key.
        pub is_public: bool,
    }

    /// A service whose workers run tasks.
    pub struct Service {
        /// Name of the service.
        pub name: Name,
        /// Most open connections at one of its workers; `None` if the operator states none.
        pub max_connections: Option<u32>,
    }

    /// Limits on requests.
    pub struct Limits {
        /// Largest header, in bytes.
        pub header_bytes: usize,
        /// Largest body, in bytes.
        pub body_bytes: usize,
        /// Longest time for a header to arrive.
        pub header_timeout: Duration,
        /// Longest time for which a connection may be idle.
        pub idle_timeout: Duration,
    }

    /// One version of the operator's rules.
    pub struct Rules {
        /// Version number; increases with each change.
        pub version: u64,
        /// The queues.
        pub queues: Vec<Queue>,
        /// The services.
        pub services: Vec<Service>,
        /// Limits on requests.
        pub limits: Limits,
        /// The workspaces; none if calls need no key.
        pub workspaces: Workspaces,
    }
}

impl AdvicePolicy {
    /// Expected duration of a call that names a number of workers.
    pub(crate) fn call_duration(&self, workers: usize) -> Duration {
        self.base_duration + self.duration_per_worker * workers as u32
    }
}

impl Rules {
    /// The queue with the longest prefix that matches a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| &*queue.host == host && path.starts_with(&*queue.prefix);
        self.queues.iter().filter(matches).max_by_key(|queue| queue.prefix.len())
    }

    /// Most open connections at a worker of a service; `None` if the operator states none.
    pub fn max_connections(&self, service: &str) -> Option<u32> {
        self.services.iter().find(|own| &*own.name == service)?.max_connections
    }

    /// The queue with a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }
}

impl Queue {
    /// The queue rules to store with a job.
    pub fn record(&self) -> QueueRecord {
        let advice = self.advice.as_ref();
        let micros = |span: fn(&AdvicePolicy) -> Duration| {
            advice.map_or(0, |policy| span(policy).as_micros() as u32)
        };
        QueueRecord {
            service: self.service.to_string(),
            priority: self.priority,
            max_attempts: self.max_attempts,
            stretch: self.target_factor,
            target_ms: self.target_offset.as_millis() as u32,
            hint_base_us: micros(|policy| policy.base_duration),
            hint_each_us: micros(|policy| policy.duration_per_worker),
            hint_validity_ms: micros(|policy| policy.validity) / 1000,
        }
    }

    /// Creates a queue from a job's row, without host and prefix.
    pub fn from_record(name: Name, record: &QueueRecord) -> Self {
        let advice = AdvicePolicy {
            base_duration: Duration::from_micros(record.hint_base_us.into()),
            duration_per_worker: Duration::from_micros(record.hint_each_us.into()),
            validity: Duration::from_millis(record.hint_validity_ms.into()),
        };
        Self {
            name,
            host: Name::default(),
            prefix: Name::default(),
            service: Name::new(&record.service),
            priority: record.priority,
            max_attempts: record.max_attempts,
            target_factor: record.stretch,
            target_offset: Duration::from_millis(record.target_ms.into()),
            advice: (!advice.validity.is_zero()).then_some(advice),
            is_public: false,
        }
    }
}
