//! Limits on this daemon's use of the table: its share of the budgets, and a circuit breaker.

use std::time::{Duration, Instant};

use border::limit::{Backoff, CircuitBreaker, TokenBucket};
use rand::Rng;

/// Priority of a write, highest first; lower ones leave part of the budget unused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// Lease renewals and ownership; allowed even if the budget is exhausted.
    Ownership,
    /// Writes of journal segments.
    Journal,
    /// Writes of settings, and releases of scopes.
    Settings,
    /// Deletion of segments after a snapshot.
    Snapshot,
}

impl Priority {
    /// Fraction of the budget left for higher priorities.
    fn reserved_fraction(self) -> f64 {
        match self {
            Self::Ownership => 0.0,
            Self::Journal => 0.1,
            Self::Settings => 0.2,
            Self::Snapshot => 0.5,
        }
    }
}

/// Backoff between the breaker's probes while the table is down.
const BACKOFF: Backoff =
    Backoff { initial: Duration::from_millis(250), max: Duration::from_millis(1500) };

/// Budgets, circuit breaker and counters of table calls.
#[derive(Debug)]
pub struct Store {
    breaker: CircuitBreaker,
    writes: TokenBucket,
    reads: TokenBucket,
    /// Write and read budgets of the cell, in rows a second.
    budgets: (f64, f64),
    /// Number of transactions sent.
    pub commits: u64,
    /// Number of rows written.
    pub rows_written: u64,
    /// Number of reads sent.
    pub queries: u64,
}

impl Store {
    /// Creates the limits from the whole cell's budgets, in rows a second.
    pub fn new(writes: u32, reads: u32, now: Instant) -> Self {
        let budgets = (f64::from(writes), f64::from(reads));
        Self {
            breaker: CircuitBreaker::new(BACKOFF, now),
            writes: TokenBucket::new(budgets.0, now),
            reads: TokenBucket::new(budgets.1, now),
            budgets,
            commits: 0,
            rows_written: 0,
            queries: 0,
        }
    }

    /// Sets this daemon's budgets to an even share among the members.
    pub fn set_member_count(&mut self, members: usize) {
        let members = members.max(1) as f64;
        self.writes.set_rate(self.budgets.0 / members);
        self.reads.set_rate(self.budgets.1 / members);
    }

    /// Takes a write from the budget; false if it may not be sent now.
    pub fn take_write(
        &mut self,
        rows: usize,
        priority: Priority,
        now: Instant,
        random: &mut impl Rng,
    ) -> bool {
        if priority != Priority::Ownership && !self.breaker.try_acquire(now, random) {
            return false;
        }
        let rows = rows as f64;
        let is_allowed = if priority == Priority::Ownership {
            self.writes.take_unchecked(rows, now);
            true
        } else {
            self.writes.try_take(rows, priority.reserved_fraction(), now)
        };
        if is_allowed {
            self.commits += 1;
            self.rows_written += rows as u64;
        }
        is_allowed
    }

    /// Charges a read that is sent even if the budget is exhausted.
    pub fn charge_read(&mut self, rows: usize, now: Instant) {
        self.reads.take_unchecked(rows as f64, now);
        self.queries += 1;
    }

    /// Takes a read from the budget; false if it may not be sent now.
    pub fn take_read(&mut self, rows: usize, now: Instant) -> bool {
        let is_allowed = self.reads.try_take(rows as f64, 0.1, now);
        if is_allowed {
            self.queries += 1;
        }
        is_allowed
    }

    /// Records a call's result; returns whether the table is up, if that changed.
    pub fn record_result(
        &mut self,
        is_ok: bool,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<bool> {
        let was_open = self.breaker.is_open();
        self.breaker.record(is_ok, now, random);
        let is_open = self.breaker.is_open();
        (was_open != is_open).then_some(!is_open)
    }

    /// Whether the circuit breaker is open.
    pub fn is_down(&self) -> bool {
        self.breaker.is_open()
    }
}
