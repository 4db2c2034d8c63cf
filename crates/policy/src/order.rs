//! Which waiting request goes first.
//!
//! Urgent work goes ahead of normal, normal ahead of patient; waiting lifts a request a
//! class per [`AGEING`], so that nothing starves. Within a class the customer with the
//! smaller weighted share of running work goes first, then the smaller slack to the
//! time by which the request must start, then the earlier admission.

use std::cmp::Ordering;
use std::time::Duration;

use settings::rules::Class;

/// Waiting time that lifts a request by one class.
pub const AGEING: Duration = Duration::from_hours(2);

/// Shares within the same step count as equal.
const SHARE_STEP: f64 = 0.1;

common::data! {
    /// What the order needs to know of one waiting request.
    #[derive(Copy)]
    pub struct Candidate {
        /// Its class.
        pub class: Class,
        /// When it was admitted, in milliseconds since 1970.
        pub admitted_ms: i64,
        /// By when it must start, in milliseconds since 1970.
        pub start_by_ms: Option<i64>,
        /// Its customer's running work, divided by the customer's weight.
        pub share: f64,
    }
}

impl Candidate {
    fn tier(&self, now_ms: i64) -> i64 {
        let waited = now_ms.saturating_sub(self.admitted_ms).max(0);
        let lifts = waited / AGEING.as_millis() as i64;
        self.class as i64 - lifts
    }

    fn share_step(&self) -> i64 {
        (self.share / SHARE_STEP) as i64
    }
}

/// Compares two waiting requests; the lesser goes first.
pub fn compare(one: &Candidate, other: &Candidate, now_ms: i64) -> Ordering {
    let deadline = |candidate: &Candidate| candidate.start_by_ms.unwrap_or(i64::MAX);
    one.tier(now_ms)
        .cmp(&other.tier(now_ms))
        .then_with(|| one.share_step().cmp(&other.share_step()))
        .then_with(|| deadline(one).cmp(&deadline(other)))
        .then_with(|| one.admitted_ms.cmp(&other.admitted_ms))
}
