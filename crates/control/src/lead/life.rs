//! What is known of one life of a worker, from the start of its process to its end.
//!
//! A worker may start again under its id and address. The next life has a clock, leases and a list of
//! finished runs of its own, so all that is known of one life is kept in one value, and each
//! new life gets a new one. `born` names a life; the names of two lives tell nothing of their order.
//!
//! An order carries the end of a lease by the clock of the life that it is meant for. If a later life
//! carries it out, whose clock reads less, that life takes the longest lease that workers grant.

use std::time::Duration;

/// Length of a lease that is granted; below the platform's maximum.
const LEASE_LENGTH: Duration = Duration::from_secs(4);

/// Slowest possible rate of a worker's clock, relative to the leader's.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Added to the end of a lease before it counts as expired.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// Difference up to which readings count as those of one clock; less than the margin of a lease's end.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(50);

/// Latest known reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    /// The reading, in ms.
    clock_ms: u64,
    /// When it arrived, by the leader's clock.
    received_at: Duration,
}

/// One life of a worker.
#[derive(Debug)]
pub(super) struct Life {
    /// Name of the life: its start in ms of Unix time; 0 while it is unknown.
    pub incarnation: u64,
    /// When the life was first heard of; answers to earlier requests may come from a former one.
    since: Duration,
    /// Latest reading of its clock; `None` until it has answered this leader.
    reading: Option<Reading>,
    /// Latest time at which it may have carried out an order with the end of a lease by another clock.
    others_until: Duration,
    /// Latest lease end that may be in force, in ms of its clock; 0 until the clock is known.
    lease_end_ms: u64,
    /// Position in its list of finished runs to acknowledge with the next renewal; 0 for none.
    pub ack_position: u64,
    /// Highest listed position that is not acknowledged yet; 0 for none.
    pub unacked_position: u64,
}

/// What a reading of a clock tells of the life that answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// It may be the known life.
    Known,
    /// It is a later life, as its clock reads less.
    Later,
    /// It may be a former life, as the request was sent before the known one was heard of.
    Unclear,
}

impl Reading {
    /// The latest reading that the clock may show now, in ms.
    fn latest_ms(&self, now: Duration) -> u64 {
        self.clock_ms + now.saturating_sub(self.received_at).as_millis() as u64
    }

    /// The earliest reading that the clock may show at a time before or after this reading, in ms.
    fn earliest_ms(&self, at: Duration) -> u64 {
        let before = self.received_at.saturating_sub(at).as_millis() as u64;
        let elapsed = at.saturating_sub(self.received_at).mul_f64(MIN_CLOCK_RATE);
        (self.clock_ms + elapsed.as_millis() as u64).saturating_sub(before)
    }
}

/// Time until the longest lease that is granted now has certainly expired.
pub(super) fn longest_expiry(max_lease: Duration) -> Duration {
    max_lease.mul_f64(1.0 / MIN_CLOCK_RATE) + LEASE_EXPIRY_MARGIN
}

impl Life {
    /// A life that has not answered yet, and that may carry out orders meant for another one until a
    /// time.
    pub fn new(incarnation: u64, since: Duration, others_until: Duration) -> Self {
        Self {
            incarnation,
            since,
            reading: None,
            others_until,
            lease_end_ms: 0,
            ack_position: 0,
            unacked_position: 0,
        }
    }

    /// Whether it has answered this leader.
    pub fn has_answered(&self) -> bool {
        self.reading.is_some()
    }

    /// Latest known reading of its clock, in ms.
    pub fn clock_ms(&self) -> Option<u64> {
        self.reading.map(|reading| reading.clock_ms)
    }

    /// Latest lease end that may be in force, in ms of its clock; 0 until the clock is known.
    pub fn lease_end_ms(&self) -> u64 {
        self.lease_end_ms
    }

    /// Whose clock an answer shows that names no life, if the request was sent at `sent`.
    ///
    /// A later life has a lower clock than this one, but for the tolerance.
    pub fn origin(&self, clock_ms: u64, sent: Duration) -> Origin {
        let Some(reading) = self.reading.filter(|_| sent >= self.since) else {
            return Origin::Unclear;
        };
        let tolerated_ms = clock_ms + CLOCK_TOLERANCE.as_millis() as u64;
        if tolerated_ms < reading.earliest_ms(sent) {
            return Origin::Later;
        }
        Origin::Known
    }

    /// Whether the answer to a request that was sent at `sent` may come from a former life.
    pub fn may_be_former(&self, sent: Duration) -> bool {
        sent < self.since
    }

    /// Records a reading of its clock, unless a later one is known.
    ///
    /// The first one ends the time for which nothing is known of its leases but the longest length.
    pub fn record_reading(&mut self, clock_ms: u64, now: Duration, max_lease: Duration) {
        match self.reading {
            None => {
                let longest = max_lease + self.others_until.saturating_sub(now);
                self.lease_end_ms = clock_ms + longest.as_millis() as u64;
                self.since = now;
            }
            Some(known) if clock_ms < known.clock_ms => return,
            Some(_) => {}
        }
        self.reading = Some(Reading { clock_ms, received_at: now });
    }

    /// Extends its lease from now, up to a limit, and returns its end in ms of its clock; `None` until
    /// the clock is known.
    ///
    /// The end counts as in force from now on, as the worker may receive it.
    pub fn extend(&mut self, now: Duration, limit: Duration) -> Option<u64> {
        let length = LEASE_LENGTH.min(limit.saturating_sub(now));
        let end = self.reading?.latest_ms(now) + length.as_millis() as u64;
        self.lease_end_ms = self.lease_end_ms.max(end);
        Some(end)
    }

    /// When all its leases have certainly expired unless they are extended.
    pub fn expires_at(&self, max_lease: Duration) -> Duration {
        let Some(reading) = self.reading else {
            return self.others_until + longest_expiry(max_lease);
        };
        let last_ms = self.lease_end_ms + LEASE_EXPIRY_MARGIN.as_millis() as u64 + 1;
        let remaining = Duration::from_millis(last_ms.saturating_sub(reading.clock_ms));
        reading.received_at + remaining.mul_f64(1.0 / MIN_CLOCK_RATE)
    }
}
