//! Retry budgets, so that retries do not amplify an overload.
//!
//! Each customer and each peer has its own token bucket, so that a failing one exhausts
//! only its own budget.

use std::collections::HashMap;
use std::time::Instant;

use border::limit::TokenBucket;
use common::Name;

/// Retry budgets of all customers and peers.
#[derive(Debug)]
pub struct Retries {
    rate: f64,
    customers: HashMap<Name, TokenBucket>,
    peers: HashMap<Name, TokenBucket>,
}

impl Retries {
    /// Creates budgets of `rate` retries a second for each customer and each peer.
    pub fn new(rate: u32) -> Self {
        Self { rate: f64::from(rate), customers: HashMap::new(), peers: HashMap::new() }
    }

    /// Takes a retry from a customer's budget; false if it is exhausted.
    pub fn allow_customer(&mut self, customer: &Name, now: Instant) -> bool {
        allow(&mut self.customers, customer, self.rate, now)
    }

    /// Takes a retry from a peer's budget; false if it is exhausted.
    pub fn allow_peer(&mut self, peer: &Name, now: Instant) -> bool {
        allow(&mut self.peers, peer, self.rate, now)
    }
}

fn allow(buckets: &mut HashMap<Name, TokenBucket>, name: &Name, rate: f64, now: Instant) -> bool {
    let bucket = buckets.entry(name.clone()).or_insert_with(|| TokenBucket::new(rate, now));
    bucket.try_take(1.0, 0.0, now)
}
