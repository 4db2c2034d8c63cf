//! Callers' requests at the daemon that they reached: passed on to the home, and tried
//! again elsewhere while the home moves, until the caller's time is up.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use common::{Kind, Ran};
use journal::event::Key;
use wire::Body;

use super::action::failure;
use super::home::to_wire;
use super::retries::Retries;
use crate::front::Token;

/// Pause before a request is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Pause where the budget of retries is used up.
const LONG_PAUSE: Duration = Duration::from_secs(2);

/// How long past the caller's time a home's answer is waited for.
pub const GRACE: Duration = Duration::from_millis(500);

/// What a caller asks of a request's home.
#[derive(Debug, Clone)]
pub enum Ask {
    /// Take it in.
    Submit {
        /// The request's body.
        spec: Vec<u8>,
        /// Whether a partition's owner is its home, or any daemon.
        is_durable: bool,
        /// The trace context.
        trace: String,
        /// Whether the caller waits for the result.
        wants_result: bool,
    },
    /// Tell where it stands.
    Status {
        /// Whether the caller waits for the result.
        wants_result: bool,
    },
    /// Stop it.
    Cancel,
    /// Tell why it waits.
    Explain,
}

/// A caller's request on its way to its home.
#[derive(Debug, Clone)]
pub struct Forward {
    /// The caller.
    pub token: Token,
    /// Which request.
    pub key: Key,
    /// What is asked.
    pub ask: Ask,
    /// Until when.
    pub until: Instant,
    /// Whether some home may have kept it.
    pub may_be_kept: bool,
    /// When it came in, in microseconds since 1970.
    pub arrived_us: u64,
    /// Tries so far.
    pub tries: u32,
}

impl Forward {
    /// The call to the request's home.
    pub fn body(&self, now: Instant) -> Body {
        let wait = self.until.saturating_duration_since(now).as_millis() as u64;
        let key = Some(to_wire(&self.key));
        match &self.ask {
            Ask::Submit { spec, trace, wants_result, .. } => Body::Submit(wire::Submit {
                key,
                spec: spec.clone(),
                wait_ms: wait,
                trace: trace.clone(),
                wants_result: *wants_result,
            }),
            Ask::Status { wants_result } => {
                let wait_ms = if *wants_result { wait } else { 0 };
                Body::Query(wire::Query { key, wait_ms, explain: false })
            }
            Ask::Cancel => Body::Cancel(wire::Cancel { key, wait_ms: wait }),
            Ask::Explain => Body::Query(wire::Query { key, wait_ms: 0, explain: true }),
        }
    }

    /// Whether the home is the owner of the request's partition.
    pub fn is_durable(&self) -> bool {
        !matches!(self.ask, Ask::Submit { is_durable: false, .. })
    }

    /// What the caller hears in place of a "not run" that this home cannot know.
    ///
    /// An earlier home may have taken the request. The owner of a partition knows all that
    /// was kept, but not a request that it could not read; a home of quick requests knows
    /// only its own.
    pub fn doubt(&self, kind: Option<Kind>) -> Option<wire::Answer> {
        let is_submit = matches!(self.ask, Ask::Submit { .. });
        let says_not_run = kind.is_some_and(|kind| kind.ran() == Ran::No);
        let knows_all = self.is_durable() && kind != Some(Kind::Malformed);
        let is_doubtful = is_submit && says_not_run && self.may_be_kept && !knows_all;
        is_doubtful.then(|| self.give_up())
    }

    /// What the caller hears when no home answered in time.
    pub fn give_up(&self) -> wire::Answer {
        let is_submit = matches!(self.ask, Ask::Submit { .. });
        if is_submit && self.may_be_kept {
            let text = "the request may have been taken; ask again under the same id";
            failure(Kind::Unknown, text)
        } else {
            failure(Kind::NoOwner, "no daemon accounts for the request at the moment")
        }
    }
}

/// All callers' requests in progress here.
#[derive(Debug, Default)]
pub struct Forwards {
    open: HashMap<Token, Forward>,
    parked: BTreeSet<(Instant, Token)>,
}

impl Forwards {
    /// Takes in a request.
    pub fn insert(&mut self, forward: Forward) {
        self.open.insert(forward.token, forward);
    }

    /// Corrects when a request came in, where its reader saw that.
    pub fn stamp(&mut self, token: Token, arrived_us: u64) {
        if let Some(forward) = self.open.get_mut(&token).filter(|_| arrived_us > 0) {
            forward.arrived_us = arrived_us;
        }
    }

    /// A request in progress.
    pub fn get(&self, token: Token) -> Option<&Forward> {
        self.open.get(&token)
    }

    /// A request in progress, to be changed.
    pub fn get_mut(&mut self, token: Token) -> Option<&mut Forward> {
        self.open.get_mut(&token)
    }

    /// Ends a request.
    pub fn remove(&mut self, token: Token) -> Option<Forward> {
        self.open.remove(&token)
    }

    /// Requests in progress.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Sets a request aside, to be tried again; gives it back where its time is up.
    ///
    /// Where the customer's budget of retries is used up, the pause is longer.
    pub fn park(&mut self, token: Token, retries: &mut Retries, now: Instant) -> Option<Forward> {
        let forward = self.open.get_mut(&token)?;
        forward.tries += 1;
        let is_allowed = retries.allow_customer(&forward.key.customer, now);
        let pause = if is_allowed { RETRY_PAUSE * forward.tries.min(4) } else { LONG_PAUSE };
        let at = now + pause;
        if at >= forward.until {
            return self.open.remove(&token);
        }
        self.parked.insert((at, token));
        None
    }

    /// Takes the requests that are to be tried again now.
    pub fn due(&mut self, now: Instant) -> Vec<Token> {
        let mut due = Vec::new();
        while let Some((at, token)) = self.parked.first().copied() {
            if at > now {
                break;
            }
            self.parked.pop_first();
            due.push(token);
        }
        due
    }
}
