//! What workers saw of their runs, as one JSON line each.
//!
//! Times are of the system's steady clock, so events of several processes on one machine
//! can be compared.

use std::fmt;

use rustix::time::{ClockId, clock_gettime};

common::record! {
    /// Something that happened on a worker.
    pub struct Event {
        /// When it happened, in microseconds of [`now_us`].
        pub at_us: u64,
        /// Instance id of the worker.
        pub worker: String,
        /// When the worker started, in Unix milliseconds.
        pub incarnation: u64,
        /// What happened.
        #[serde(flatten)]
        pub kind: Kind,
    }

    /// What happened on a worker.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum Kind {
        /// The worker takes calls.
        Up {
            /// Address for calls.
            address: String,
        },
        /// The lease was extended; without another extension, all runs end at its end.
        Leased {
            /// End of the lease, in microseconds of [`now_us`].
            until_us: u64,
        },
        /// A run started.
        Started {
            /// Name of the task.
            task: String,
            /// Number of the run.
            run: u64,
            /// Fencing token of the order.
            token: u64,
        },
        /// A run ended.
        Ended {
            /// Name of the task.
            task: String,
            /// Number of the run.
            run: u64,
            /// Outcome, as listed: `done`, `failed`, `stopped` or `lapsed`.
            how: String,
        },
        /// An acknowledgement covered the end of a run.
        Noted {
            /// Name of the task.
            task: String,
            /// Number of the run.
            run: u64,
        },
        /// The lease expired, which ended everything that ran.
        LeaseExpired,
        /// A start took more than the worker's processor capacity.
        OverRoom {
            /// Processor share in use after the start, in thousandths of a core.
            used: u32,
        },
    }
}

/// Receiver of a worker's events.
pub trait Observer: Send + Sync + fmt::Debug {
    /// Takes an event; the worker answers the call that caused it only afterwards.
    fn record(&self, event: Event);
}

/// Observer that drops all events.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ignore;

impl Observer for Ignore {
    fn record(&self, _event: Event) {}
}

/// Clock of a worker.
pub trait Clock: Send + Sync + fmt::Debug {
    /// Time since a fixed moment, in microseconds; it never goes back.
    fn now_us(&self) -> u64;
}

/// The system's steady clock, as [`now_us`] reads it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Steady;

impl Clock for Steady {
    fn now_us(&self) -> u64 {
        now_us()
    }
}

/// Reads the system's steady clock, in microseconds; the same in all processes.
pub fn now_us() -> u64 {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}
