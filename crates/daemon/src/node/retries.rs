//! Budgets of retries, so that trouble is not multiplied by those who ask again.
//!
//! Each customer and each peer has a bucket of its own: one that is in trouble uses up
//! its own and nobody else's.

use std::collections::HashMap;
use std::time::Instant;

use border::limit::Bucket;
use common::Name;

/// Buckets of retries.
#[derive(Debug)]
pub struct Retries {
    rate: f64,
    customers: HashMap<Name, Bucket>,
    peers: HashMap<Name, Bucket>,
}

impl Retries {
    /// Budgets of so many retries a second, for each customer and each peer.
    pub fn new(rate: u32) -> Self {
        Self { rate: f64::from(rate), customers: HashMap::new(), peers: HashMap::new() }
    }

    /// Takes a retry out of a customer's budget; false where it is used up.
    pub fn allow_customer(&mut self, customer: &Name, now: Instant) -> bool {
        allow(&mut self.customers, customer, self.rate, now)
    }

    /// Takes a retry out of a peer's budget; false where it is used up.
    pub fn allow_peer(&mut self, peer: &Name, now: Instant) -> bool {
        allow(&mut self.peers, peer, self.rate, now)
    }
}

fn allow(buckets: &mut HashMap<Name, Bucket>, name: &Name, rate: f64, now: Instant) -> bool {
    let bucket = buckets.entry(name.clone()).or_insert_with(|| Bucket::new(rate, now));
    bucket.take(1.0, 0.0, now)
}
