//! Faults that can be switched on while the stand-in runs.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

common::record! {
    /// How one part of the platform misbehaves.
    #[derive(Default)]
    pub struct Fault {
        /// Whether it refuses every call.
        #[serde(default)]
        pub down: bool,
        /// How much later it answers, in milliseconds.
        #[serde(default)]
        pub delay_ms: u64,
        /// The share of answers that are lost after the call took effect.
        #[serde(default)]
        pub lose: f64,
    }

    /// Faults by part: `table`, `objects`, `workers`, `executors`, `fleet`.
    #[derive(Default)]
    pub struct Faults(pub BTreeMap<String, Fault>);
}

/// What to do with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Whether to refuse it.
    pub refuse: bool,
    /// How long to wait first.
    pub delay: Duration,
    /// Whether to lose its answer.
    pub lose: bool,
}

impl Faults {
    /// Decides what happens to a call to a part.
    pub fn judge(&self, part: &str) -> Verdict {
        let fault = self.0.get(part).cloned().unwrap_or_default();
        Verdict {
            refuse: fault.down,
            delay: Duration::from_millis(fault.delay_ms),
            lose: fault.lose > 0.0 && rand::rng().random_bool(fault.lose.min(1.0)),
        }
    }
}
