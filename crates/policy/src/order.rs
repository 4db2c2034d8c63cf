//! Queue order of waiting requests.
//!
//! Urgent work precedes normal work, and normal precedes patient work. A waiting request is
//! promoted by one class per [`PROMOTION_INTERVAL`], which prevents starvation. Within a
//! class, the customer with the smaller weighted share of running work goes first, then the
//! request with the earlier start deadline, then the one admitted earlier.

use std::cmp::Ordering;
use std::time::Duration;

use settings::rules::Class;

/// Waiting time after which a request is promoted by one class.
pub const PROMOTION_INTERVAL: Duration = Duration::from_hours(2);

/// Shares are rounded down to multiples of this before they are compared.
const SHARE_QUANTUM: f64 = 0.1;

common::data! {
    /// Properties of a waiting request that determine its queue position.
    #[derive(Copy)]
    pub struct QueuedRequest {
        /// Priority class before any promotion.
        pub class: Class,
        /// Admission time, in Unix milliseconds.
        pub admitted_ms: i64,
        /// Start deadline, in Unix milliseconds; `None` if it has none.
        pub start_by_ms: Option<i64>,
        /// The customer's running work divided by the customer's weight.
        pub share: f64,
    }
}

impl QueuedRequest {
    /// Class after promotion; a lower number goes first, and it may be negative.
    fn effective_class(&self, now_ms: i64) -> i64 {
        let waited_ms = now_ms.saturating_sub(self.admitted_ms).max(0);
        let promotions = waited_ms / PROMOTION_INTERVAL.as_millis() as i64;
        self.class as i64 - promotions
    }

    fn quantized_share(&self) -> i64 {
        (self.share / SHARE_QUANTUM) as i64
    }
}

/// Compares two waiting requests at a time in Unix milliseconds; the lesser goes first.
pub fn compare_priority(left: &QueuedRequest, right: &QueuedRequest, now_ms: i64) -> Ordering {
    let deadline = |request: &QueuedRequest| request.start_by_ms.unwrap_or(i64::MAX);
    left.effective_class(now_ms)
        .cmp(&right.effective_class(now_ms))
        .then_with(|| left.quantized_share().cmp(&right.quantized_share()))
        .then_with(|| deadline(left).cmp(&deadline(right)))
        .then_with(|| left.admitted_ms.cmp(&right.admitted_ms))
}
