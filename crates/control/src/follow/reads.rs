//! Whether the store answers a follower's reads of the head row, for the log.

use std::time::Duration;

use crate::event::log_event;
use crate::node::Context;

/// Time without an answer to a read after which the store is logged as lost.
const STORE_LOST_AFTER: Duration = Duration::from_millis(600);

/// Reads of the head row that got no answer.
#[derive(Debug, Default)]
pub(super) struct Reads {
    /// When the first of them was sent, by the loop clock; none if the latest read got an answer.
    unanswered_since: Option<Duration>,
    /// Whether one of them has failed, so that the store is not merely slow.
    has_failed: bool,
    /// Whether the latest log event about the store is that it is lost.
    is_lost: bool,
}

impl Reads {
    /// Records that a read is sent.
    pub fn record_sent(&mut self, ctx: &Context) {
        self.unanswered_since.get_or_insert(ctx.loop_clock.now());
    }

    /// Records that a read has failed.
    pub fn record_failed(&mut self) {
        self.has_failed = true;
    }

    /// Records an answer.
    pub fn record_answer(&mut self, ctx: &Context) {
        let age = self.age(ctx);
        let was_lost = self.is_lost;
        *self = Self::default();
        if was_lost {
            log_event!(ctx, StoreRecovered, "took_ms" => age.as_millis() as u64);
        }
    }

    /// Records that a leader answers, so that the store is not read; what was logged holds.
    pub fn pause(&mut self) {
        if !self.is_lost {
            *self = Self::default();
        }
    }

    /// Logs once that the store does not answer.
    pub fn report(&mut self, ctx: &Context) {
        let age = self.age(ctx);
        if age < STORE_LOST_AFTER || self.is_lost {
            return;
        }
        self.is_lost = true;
        let reason = if self.has_failed { "reads fail" } else { "no answer" };
        log_event!(ctx, StoreLost, "age_ms" => age.as_millis() as u64, "reason" => reason);
    }

    /// Time since the first unanswered read; zero if there is none.
    fn age(&self, ctx: &Context) -> Duration {
        let since = self.unanswered_since.unwrap_or(ctx.loop_clock.now());
        ctx.loop_clock.now().saturating_sub(since)
    }
}
