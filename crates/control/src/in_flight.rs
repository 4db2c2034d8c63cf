//! Limits on requests that were sent to the leader and not answered.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::answer::Operation;

/// Lowest limit on submissions in flight.
///
/// Others wait here, where they can be refused truthfully, and the leader's queue stays short.
const MIN_IN_FLIGHT: usize = 4;

/// Highest limit on submissions in flight.
const MAX_IN_FLIGHT: usize = 32;

/// Most queries that were sent to the leader and not answered.
const MAX_QUERIES_IN_FLIGHT: usize = 8;

/// Queue time at the leader above which fewer requests are sent.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(50);

/// Interval between adjustments of the limit.
const LIMIT_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an unanswered request no longer counts as in flight.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(5);

/// Weight of a new sample in the mean response time.
const RESPONSE_TIME_SMOOTHING: f64 = 0.2;

/// Class of requests with a limit of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Class {
    Submission,
    Query,
    /// Has no limit, as callers rely on the time of a cancellation.
    Cancellation,
}

impl Class {
    pub fn of(op: &Operation) -> Self {
        match op {
            Operation::Submit(_) => Self::Submission,
            Operation::Cancel(_) => Self::Cancellation,
            _ => Self::Query,
        }
    }
}

/// Requests that were sent to the current leader and not answered.
///
/// The number of submissions is limited by the leader's queue: the limit is halved while all
/// requests queue there for too long, and grows by one while it holds requests back.
#[derive(Debug)]
pub(crate) struct InFlight {
    /// Link on which they were sent; none while no leader accepts requests.
    pub link: Option<u64>,
    /// When the link was selected.
    pub selected_at: Duration,
    /// Class of each request and when it was sent, by request id.
    pub sent: BTreeMap<u64, (Class, Duration)>,
    /// Mean time from sending to the answer of a submission.
    response_time: Duration,
    /// Most submissions in flight.
    limit: usize,
    /// When the limit was last adjusted.
    adjusted_at: Duration,
    /// Shortest queue time at the leader since then; none without an answer.
    min_queue_time: Option<Duration>,
    /// Whether the limit held a submission back since then.
    pub is_limited: bool,
}

impl Default for InFlight {
    fn default() -> Self {
        Self {
            link: None,
            selected_at: Duration::ZERO,
            sent: BTreeMap::new(),
            response_time: Duration::ZERO,
            limit: MIN_IN_FLIGHT,
            adjusted_at: Duration::ZERO,
            min_queue_time: None,
            is_limited: false,
        }
    }
}

impl InFlight {
    /// Starts anew on a link; the requests that were sent on another one no longer count.
    pub fn select_link(&mut self, link: u64, now: Duration) {
        *self = Self { link: Some(link), selected_at: now, ..Self::default() };
    }

    /// Number of requests that may be sent, by class.
    pub fn free_slots(&mut self, now: Duration) -> HashMap<Class, usize> {
        self.sent.retain(|_, (_, sent_at)| *sent_at + IN_FLIGHT_TIMEOUT > now);
        let mut free = HashMap::from([
            (Class::Submission, self.limit),
            (Class::Query, MAX_QUERIES_IN_FLIGHT),
            (Class::Cancellation, usize::MAX),
        ]);
        for (class, _) in self.sent.values() {
            if let Some(slots) = free.get_mut(class) {
                *slots = slots.saturating_sub(1);
            }
        }
        free
    }

    /// Records the answer to a request.
    pub fn record_answer(&mut self, id: u64, now: Duration) {
        if let Some((Class::Submission, sent_at)) = self.sent.remove(&id) {
            let sample = now.saturating_sub(sent_at);
            let decayed = self.response_time.mul_f64(1.0 - RESPONSE_TIME_SMOOTHING);
            self.response_time = decayed + sample.mul_f64(RESPONSE_TIME_SMOOTHING);
        }
    }

    /// Expected time until a submission behind `ahead` others is sent.
    pub fn expected_wait(&self, ahead: usize, now: Duration) -> Duration {
        let submissions = self.sent.values().filter(|(class, _)| *class == Class::Submission);
        let oldest = submissions.map(|(_, sent_at)| now.saturating_sub(*sent_at)).max();
        let response_time = self.response_time.max(oldest.unwrap_or_default());
        response_time * ahead as u32 / self.limit as u32
    }

    /// Adjusts the limit to the time for which a request was queued at the leader.
    pub fn record_queue_time(&mut self, now: Duration, queued: Duration) {
        let shortest = self.min_queue_time.map_or(queued, |shortest| shortest.min(queued));
        self.min_queue_time = Some(shortest);
        if now < self.adjusted_at + LIMIT_INTERVAL {
            return;
        }
        if shortest > MAX_QUEUE_TIME {
            self.limit = (self.limit / 2).max(MIN_IN_FLIGHT);
        } else if self.is_limited {
            self.limit = (self.limit + 1).min(MAX_IN_FLIGHT);
        }
        self.adjusted_at = now;
        self.min_queue_time = None;
        self.is_limited = false;
    }
}
