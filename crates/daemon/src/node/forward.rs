//! Callers' requests at the daemon that received them: forwarded to their home, and
//! retried while the home moves, until the caller's deadline.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use common::{ErrorKind, Execution};
use journal::event::RequestKey;
use wire::Body;

use super::action::failure;
use super::home::to_wire;
use super::retries::Retries;
use crate::front::Token;

/// Base delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Delay before a retry when the retry budget is exhausted.
const LONG_RETRY_DELAY: Duration = Duration::from_secs(2);

/// How long past the caller's deadline to wait for the home's answer.
pub const REPLY_GRACE: Duration = Duration::from_millis(500);

/// Operation that a caller requests.
#[derive(Debug, Clone)]
pub enum Operation {
    /// Submit the request.
    Submit {
        /// Encoded request.
        spec: Vec<u8>,
        /// Whether a partition's owner is its home, rather than any daemon.
        is_durable: bool,
        /// Trace context of the caller.
        trace: String,
        /// Whether the caller waits for the result.
        wants_result: bool,
    },
    /// Get its state.
    Status {
        /// Whether the caller waits for the result.
        wants_result: bool,
    },
    /// Cancel the request.
    Cancel,
    /// Explain why it is waiting.
    Explain,
}

/// Caller's request that is forwarded to its home.
#[derive(Debug, Clone)]
pub struct Forward {
    /// Token of the caller's HTTP request.
    pub token: Token,
    /// Key of the request.
    pub key: RequestKey,
    /// Operation to perform.
    pub operation: Operation,
    /// Deadline of the caller.
    pub deadline: Instant,
    /// Whether an earlier home may have accepted it.
    pub may_be_accepted: bool,
    /// Arrival, in Unix microseconds.
    pub arrived_us: u64,
    /// Number of retries so far.
    pub retries: u32,
}

impl Forward {
    /// Builds the call to the request's home.
    pub fn build_body(&self, now: Instant) -> Body {
        let wait = self.deadline.saturating_duration_since(now).as_millis() as u64;
        let key = Some(to_wire(&self.key));
        match &self.operation {
            Operation::Submit { spec, trace, wants_result, .. } => Body::Submit(wire::Submit {
                key,
                spec: spec.clone(),
                wait_ms: wait,
                trace: trace.clone(),
                wants_result: *wants_result,
            }),
            Operation::Status { wants_result } => {
                let wait_ms = if *wants_result { wait } else { 0 };
                Body::Query(wire::Query { key, wait_ms, explain: false })
            }
            Operation::Cancel => Body::Cancel(wire::Cancel { key, wait_ms: wait }),
            Operation::Explain => Body::Query(wire::Query { key, wait_ms: 0, explain: true }),
        }
    }

    /// Whether the home is the owner of the request's partition, rather than any daemon.
    pub fn is_durable(&self) -> bool {
        !matches!(self.operation, Operation::Submit { is_durable: false, .. })
    }

    /// Replaces an error that claims "not run" if this home cannot be certain of that.
    ///
    /// An earlier home may have accepted the request. The owner of a partition knows every
    /// request that was stored, except one that it could not parse; a home of quick requests
    /// knows only those that it received.
    pub fn uncertain_answer(&self, kind: Option<ErrorKind>) -> Option<wire::Answer> {
        let is_submit = matches!(self.operation, Operation::Submit { .. });
        let says_not_run = kind.is_some_and(|kind| kind.execution() == Execution::No);
        let knows_all = self.is_durable() && kind != Some(ErrorKind::Malformed);
        let is_doubtful = is_submit && says_not_run && self.may_be_accepted && !knows_all;
        is_doubtful.then(|| self.timeout_answer())
    }

    /// Builds the answer for a request that no home answered in time.
    pub fn timeout_answer(&self) -> wire::Answer {
        let is_submit = matches!(self.operation, Operation::Submit { .. });
        if is_submit && self.may_be_accepted {
            let text = "the request may have been accepted; submit it again with the same id";
            failure(ErrorKind::Unknown, text)
        } else {
            failure(ErrorKind::NoOwner, "no daemon currently owns the request")
        }
    }
}

/// Callers' requests in progress on this daemon.
#[derive(Debug, Default)]
pub struct Forwards {
    open: HashMap<Token, Forward>,
    /// Scheduled retries by time.
    scheduled: BTreeSet<(Instant, Token)>,
}

impl Forwards {
    /// Adds a request.
    pub fn insert(&mut self, forward: Forward) {
        self.open.insert(forward.token, forward);
    }

    /// Sets the arrival time measured by the HTTP server, in Unix microseconds; 0 means unknown.
    pub fn set_arrival(&mut self, token: Token, arrived_us: u64) {
        if let Some(forward) = self.open.get_mut(&token).filter(|_| arrived_us > 0) {
            forward.arrived_us = arrived_us;
        }
    }

    /// Returns a request in progress.
    pub fn get(&self, token: Token) -> Option<&Forward> {
        self.open.get(&token)
    }

    /// Returns a request in progress for modification.
    pub fn get_mut(&mut self, token: Token) -> Option<&mut Forward> {
        self.open.get_mut(&token)
    }

    /// Removes and returns a request.
    pub fn remove(&mut self, token: Token) -> Option<Forward> {
        self.open.remove(&token)
    }

    /// Number of requests in progress.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Schedules a retry; removes and returns the request if its deadline comes first.
    ///
    /// The delay is longer if the customer's retry budget is exhausted.
    pub fn schedule_retry(
        &mut self,
        token: Token,
        retries: &mut Retries,
        now: Instant,
    ) -> Option<Forward> {
        let forward = self.open.get_mut(&token)?;
        forward.retries += 1;
        let is_allowed = retries.allow_customer(&forward.key.customer, now);
        let delay =
            if is_allowed { RETRY_DELAY * forward.retries.min(4) } else { LONG_RETRY_DELAY };
        let at = now + delay;
        if at >= forward.deadline {
            return self.open.remove(&token);
        }
        self.scheduled.insert((at, token));
        None
    }

    /// Removes and returns the scheduled retries that are due.
    pub fn take_due(&mut self, now: Instant) -> Vec<Token> {
        let mut due = Vec::new();
        while let Some((at, token)) = self.scheduled.first().copied() {
            if at > now {
                break;
            }
            self.scheduled.pop_first();
            due.push(token);
        }
        due
    }
}
