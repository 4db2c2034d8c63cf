//! Faults that tests inject while the stand-in runs.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

common::record! {
    /// Faults of one part of the platform.
    #[derive(Default)]
    pub struct Fault {
        /// Whether every call fails without taking effect.
        #[serde(default)]
        pub down: bool,
        /// Delay before each call takes effect, in milliseconds.
        #[serde(default)]
        pub delay_ms: u64,
        /// Probability that a reply is lost after the call took effect, 0 to 1.
        #[serde(default)]
        pub lose: f64,
    }

    /// Faults by part: `table`, `objects`, `workers`, `executors`, `fleet`.
    #[derive(Default)]
    pub struct Faults(pub BTreeMap<String, Fault>);
}

/// Faults to inject into one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InjectedFault {
    /// Whether to drop the call before it takes effect.
    pub refuse: bool,
    /// Delay before the call takes effect.
    pub delay: Duration,
    /// Whether to drop the reply after the call took effect.
    pub lose: bool,
}

impl Faults {
    /// Chooses the faults of one call to a part; reply loss is random.
    pub fn for_call(&self, part: &str) -> InjectedFault {
        let fault = self.0.get(part).cloned().unwrap_or_default();
        InjectedFault {
            refuse: fault.down,
            delay: Duration::from_millis(fault.delay_ms),
            lose: fault.lose > 0.0 && rand::rng().random_bool(fault.lose.min(1.0)),
        }
    }
}
