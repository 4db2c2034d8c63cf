//! Limits on what is sent: token bucket, circuit breaker, backoff.
//!
//! All take the time as an argument and keep no clock.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// A token bucket; it holds one second's worth.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    tokens: f64,
    last: Instant,
}

impl Bucket {
    /// A full bucket that refills at a rate per second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self { rate, tokens: rate, last: now }
    }

    /// Changes the rate; what is in the bucket stays, up to the new size.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        self.tokens = self.tokens.min(rate);
    }

    /// Takes tokens where more than `keep` of the bucket (0 to 1) stays for others.
    pub fn take(&mut self, count: f64, keep: f64, now: Instant) -> bool {
        self.refill(now);
        let enough = self.tokens - count >= self.rate * keep;
        if enough {
            self.tokens -= count;
        }
        enough
    }

    /// Takes tokens whether or not they are there; later takers wait for the debt.
    pub fn force(&mut self, count: f64, now: Instant) {
        self.refill(now);
        self.tokens -= count;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        self.last = now;
    }
}

/// Failures in a row that open a breaker.
const BREAKER_FAILURES: u32 = 3;

/// A circuit breaker: after failures in a row, one trial per pause until one succeeds.
#[derive(Debug, Clone)]
pub struct Breaker {
    failures: u32,
    next_trial: Instant,
    backoff: Backoff,
}

impl Breaker {
    /// A closed breaker.
    pub fn new(backoff: Backoff, now: Instant) -> Self {
        Self { failures: 0, next_trial: now, backoff }
    }

    /// Whether failures hold calls back.
    pub fn is_open(&self) -> bool {
        self.failures >= BREAKER_FAILURES
    }

    /// Whether a call may go out; while open, each yes is a trial and starts a pause.
    pub fn allow(&mut self, now: Instant, random: &mut impl Rng) -> bool {
        if !self.is_open() {
            return true;
        }
        let due = now >= self.next_trial;
        if due {
            self.next_trial = now + self.backoff.delay(self.failures, random);
        }
        due
    }

    /// Notes how a call ended.
    pub fn note(&mut self, is_ok: bool, now: Instant, random: &mut impl Rng) {
        if is_ok {
            self.failures = 0;
            return;
        }
        self.failures = self.failures.saturating_add(1);
        self.next_trial = now + self.backoff.delay(self.failures, random);
    }
}

/// Delay that doubles with each failure, with jitter.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Delay after the first failure.
    pub base: Duration,
    /// Longest delay.
    pub most: Duration,
}

impl Backoff {
    /// The delay after so many failures, between half and all of the doubled base.
    pub fn delay(&self, failures: u32, random: &mut impl Rng) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let full = self.base.saturating_mul(1 << doublings).min(self.most);
        full.mul_f64(random.random_range(0.5..=1.0))
    }
}
