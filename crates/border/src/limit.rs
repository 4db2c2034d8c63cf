//! Limits on outgoing calls: token bucket, circuit breaker and exponential backoff.
//!
//! None of them reads a clock: callers pass in the current time.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// A token bucket whose capacity is one second of its rate.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` tokens per second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self { rate, tokens: rate, refilled_at: now }
    }

    /// Changes the rate; available tokens are kept up to the new capacity.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        self.tokens = self.tokens.min(rate);
    }

    /// Takes tokens if at least a `reserve` fraction (0 to 1) of the capacity remains.
    pub fn try_take(&mut self, count: f64, reserve: f64, now: Instant) -> bool {
        self.refill(now);
        let is_allowed = self.tokens - count >= self.rate * reserve;
        if is_allowed {
            self.tokens -= count;
        }
        is_allowed
    }

    /// Takes tokens unconditionally; a negative balance delays later takes.
    pub fn take_unchecked(&mut self, count: f64, now: Instant) {
        self.refill(now);
        self.tokens -= count;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        self.refilled_at = now;
    }
}

/// Number of consecutive failures that open a circuit breaker.
const BREAKER_THRESHOLD: u32 = 3;

/// A circuit breaker; while open, it allows one trial call per backoff delay.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    failures: u32,
    next_trial: Instant,
    backoff: Backoff,
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    pub fn new(backoff: Backoff, now: Instant) -> Self {
        Self { failures: 0, next_trial: now, backoff }
    }

    /// Whether consecutive failures have opened the breaker.
    pub fn is_open(&self) -> bool {
        self.failures >= BREAKER_THRESHOLD
    }

    /// Whether a call may be sent; while open, each allowed call starts a new delay.
    pub fn try_acquire(&mut self, now: Instant, random: &mut impl Rng) -> bool {
        if !self.is_open() {
            return true;
        }
        let is_trial_due = now >= self.next_trial;
        if is_trial_due {
            self.next_trial = now + self.backoff.delay(self.failures, random);
        }
        is_trial_due
    }

    /// Records whether a call succeeded; a success closes the breaker.
    pub fn record(&mut self, is_ok: bool, now: Instant, random: &mut impl Rng) {
        if is_ok {
            self.failures = 0;
            return;
        }
        self.failures = self.failures.saturating_add(1);
        self.next_trial = now + self.backoff.delay(self.failures, random);
    }
}

/// Exponential backoff with jitter.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Delay after the first failure.
    pub initial: Duration,
    /// Maximum delay.
    pub max: Duration,
}

impl Backoff {
    /// Random delay after `failures` failures, between half and all of the exponential delay.
    pub fn delay(&self, failures: u32, random: &mut impl Rng) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let max_delay = self.initial.saturating_mul(1 << doublings).min(self.max);
        max_delay.mul_f64(random.random_range(0.5..=1.0))
    }
}
