//! What this daemon may ask of the table: its share of the budget, and a breaker.

use std::time::{Duration, Instant};

use border::limit::{Backoff, Breaker, Bucket};
use rand::Rng;

/// How much of a bucket each use leaves for those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// Renewals and ownership; taken even from an empty bucket.
    Ownership,
    /// Journal segments.
    Journal,
    /// Settings.
    Settings,
    /// Snapshots and compaction.
    Snapshot,
}

impl Priority {
    fn keep(self) -> f64 {
        match self {
            Self::Ownership => 0.0,
            Self::Journal => 0.1,
            Self::Settings => 0.2,
            Self::Snapshot => 0.5,
        }
    }
}

const BACKOFF: Backoff =
    Backoff { base: Duration::from_millis(250), most: Duration::from_millis(1500) };

/// Access to the table, rationed.
#[derive(Debug)]
pub struct Store {
    breaker: Breaker,
    writes: Bucket,
    reads: Bucket,
    budgets: (f64, f64),
    /// Transactions sent so far.
    pub commits: u64,
    /// Rows written so far.
    pub rows_written: u64,
    /// Reads sent so far.
    pub queries: u64,
}

impl Store {
    /// Access with the cell's budgets, to be shared among its members.
    pub fn new(writes: u32, reads: u32, now: Instant) -> Self {
        let budgets = (f64::from(writes), f64::from(reads));
        Self {
            breaker: Breaker::new(BACKOFF, now),
            writes: Bucket::new(budgets.0, now),
            reads: Bucket::new(budgets.1, now),
            budgets,
            commits: 0,
            rows_written: 0,
            queries: 0,
        }
    }

    /// Shares the budgets among so many members.
    pub fn share(&mut self, members: usize) {
        let members = members.max(1) as f64;
        self.writes.set_rate(self.budgets.0 / members);
        self.reads.set_rate(self.budgets.1 / members);
    }

    /// Whether a transaction of so many rows may go out now.
    pub fn may_write(
        &mut self,
        rows: usize,
        priority: Priority,
        now: Instant,
        random: &mut impl Rng,
    ) -> bool {
        if priority != Priority::Ownership && !self.breaker.allow(now, random) {
            return false;
        }
        let rows = rows as f64;
        let may = if priority == Priority::Ownership {
            self.writes.force(rows, now);
            true
        } else {
            self.writes.take(rows, priority.keep(), now)
        };
        if may {
            self.commits += 1;
            self.rows_written += rows as u64;
        }
        may
    }

    /// Counts a read of about so many rows; reads of ownership always go out.
    pub fn note_read(&mut self, rows: usize, now: Instant) {
        self.reads.force(rows as f64, now);
        self.queries += 1;
    }

    /// Whether the read budget has room.
    pub fn may_read(&mut self, rows: usize, now: Instant) -> bool {
        let may = self.reads.take(rows as f64, 0.1, now);
        if may {
            self.queries += 1;
        }
        may
    }

    /// Notes how a call ended; says whether the table went down or came back.
    pub fn note(&mut self, is_ok: bool, now: Instant, random: &mut impl Rng) -> Option<bool> {
        let was_open = self.breaker.is_open();
        self.breaker.note(is_ok, now, random);
        let is_open = self.breaker.is_open();
        (was_open != is_open).then_some(!is_open)
    }

    /// Whether the table counts as down.
    pub fn is_down(&self) -> bool {
        self.breaker.is_open()
    }
}
