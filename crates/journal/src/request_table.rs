//! State of one partition's requests and the rules for changing it.
//!
//! [`RequestTable::apply`] makes every change of a request's state, both live and in recovery. It
//! rejects a second answer, a second attempt at non-repeatable work that may have run, and
//! an outcome of any attempt but the current one.

use std::collections::HashMap;

use common::Name;
use settings::RequestSpec;
use snafu::Snafu;

use crate::event::{Answer, AttemptPlacement, Event, Outcome, RequestKey, Terms};

/// Why an event cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The request is not in the request table.
    #[snafu(display("request {key} does not exist in this partition"))]
    UnknownRequest {
        /// Key of the request.
        key: RequestKey,
    },
    /// A request with this key is already in the request table.
    #[snafu(display("request {key} already exists in this partition"))]
    DuplicateRequest {
        /// Key of the request.
        key: RequestKey,
    },
    /// The request already has its answer.
    #[snafu(display("request {key} already has its answer"))]
    AlreadyClosed {
        /// Key of the request.
        key: RequestKey,
    },
    /// The event names a task or attempt other than the current one.
    #[snafu(display("request {key}: the event does not match the task's current attempt"))]
    AttemptMismatch {
        /// Key of the request.
        key: RequestKey,
    },
    /// The work is not repeatable and may have run.
    #[snafu(display("request {key} is not repeatable and may already have run"))]
    NotRepeatable {
        /// Key of the request.
        key: RequestKey,
    },
    /// The answer contradicts the state of the tasks.
    #[snafu(display("request {key}: the answer contradicts the state of its tasks"))]
    InconsistentAnswer {
        /// Key of the request.
        key: RequestKey,
    },
}

common::record! {
    /// State of one task.
    pub enum State {
        /// The task waits for capacity.
        Waiting,
        /// An attempt may have been started at this place.
        Started(AttemptPlacement),
        /// The task ended for good.
        Ended {
            /// How the task ended.
            outcome: Outcome,
            /// Result of the task, or the reason it has none.
            result: String,
        },
    }

    /// One task of a request.
    pub struct Task {
        /// Current state.
        pub state: State,
        /// Number of attempts so far, including those that never ran.
        pub attempts: u32,
        /// Number of ended attempts that may have run.
        pub runs: u32,
        /// Number of attempts that failed or were lost; preempted ones do not count.
        #[serde(default)]
        pub failures: u32,
        /// Workers on which recent attempts failed, the latest last.
        pub failed_on: Vec<Name>,
        /// Why the last unsuccessful attempt ended; empty before that.
        pub reason: String,
    }

    /// One request and the state of its tasks.
    pub struct Request {
        /// Specification that the caller submitted.
        pub spec: RequestSpec,
        /// Terms fixed at admission.
        pub terms: Terms,
        /// Tasks by index.
        pub tasks: Vec<Task>,
        /// Whether the caller has asked to cancel it.
        pub is_cancelling: bool,
        /// Final answer; `None` while the request is open.
        pub answer: Option<Answer>,
    }

    /// Requests of one partition by key, open and closed.
    #[derive(Default)]
    pub struct RequestTable {
        #[serde(with = "pairs")]
        requests: HashMap<RequestKey, Request>,
    }
}

/// Maximum number of workers in [`Task::failed_on`]; older ones are dropped.
const MAX_FAILED_WORKERS: usize = 8;

impl RequestTable {
    /// Looks up a request.
    pub fn get(&self, key: &RequestKey) -> Option<&Request> {
        self.requests.get(key)
    }

    /// All requests, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestKey, &Request)> {
        self.requests.iter()
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Inserts or replaces a request without any check.
    pub fn insert(&mut self, key: RequestKey, request: Request) {
        self.requests.insert(key, request);
    }

    /// Removes a request and returns it.
    pub fn remove(&mut self, key: &RequestKey) -> Option<Request> {
        self.requests.remove(key)
    }

    /// Drops requests answered before a time in Unix milliseconds.
    pub fn remove_answered_before(&mut self, before_ms: i64) {
        let is_expired = |answer: &Answer| answer.at_ms < before_ms;
        self.requests.retain(|_, request| !request.answer.as_ref().is_some_and(is_expired));
    }

    /// Checks whether an event can be applied.
    ///
    /// # Errors
    ///
    /// [`Error`] if the event breaks one of the rules in the module documentation.
    pub fn check(&self, event: &Event) -> Result<(), Error> {
        let key = event.key();
        if let Event::Admitted { .. } = event {
            return if self.requests.contains_key(key) {
                DuplicateRequestSnafu { key: key.clone() }.fail()
            } else {
                Ok(())
            };
        }
        let request =
            self.requests.get(key).ok_or_else(|| Error::UnknownRequest { key: key.clone() })?;
        if request.answer.is_some() {
            return AlreadyClosedSnafu { key: key.clone() }.fail();
        }
        match event {
            Event::Admitted { .. } | Event::Cancelling { .. } => Ok(()),
            Event::Started { places, .. } => check_starts(key, request, places),
            Event::Requeued { task, attempt, may_have_run, .. } => {
                check_current(key, request, *task, *attempt)?;
                if *may_have_run && !request.terms.is_repeatable {
                    return NotRepeatableSnafu { key: key.clone() }.fail();
                }
                Ok(())
            }
            Event::Ended { task, attempt, .. } => check_current(key, request, *task, *attempt),
            Event::Closed { answer, .. } => check_answer(key, request, answer),
        }
    }

    /// Checks an event and applies it.
    ///
    /// # Errors
    ///
    /// Same as [`RequestTable::check`]; the request table is unchanged on error.
    pub fn apply(&mut self, event: Event) -> Result<(), Error> {
        self.check(&event)?;
        let key = event.key().clone();
        if let Event::Admitted { spec, terms, .. } = event {
            self.requests.insert(key, Request::new(spec, terms));
            return Ok(());
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.apply(event);
        }
        Ok(())
    }
}

/// Checks that an attempt is the started one of its task.
fn check_current(
    key: &RequestKey,
    request: &Request,
    task: u32,
    attempt: u32,
) -> Result<(), Error> {
    let state = request.tasks.get(task as usize).map(|task| &task.state);
    match state {
        Some(State::Started(place)) if place.attempt == attempt => Ok(()),
        _ => AttemptMismatchSnafu { key: key.clone() }.fail(),
    }
}

/// Checks that each place is the next attempt of a distinct waiting task.
fn check_starts(
    key: &RequestKey,
    request: &Request,
    places: &[AttemptPlacement],
) -> Result<(), Error> {
    for (index, place) in places.iter().enumerate() {
        let task = request.tasks.get(place.task as usize);
        let task = task.ok_or_else(|| Error::AttemptMismatch { key: key.clone() })?;
        let is_duplicate = places[..index].iter().any(|other| other.task == place.task);
        let is_next_attempt = task.state == State::Waiting && place.attempt == task.attempts + 1;
        if is_duplicate || !is_next_attempt {
            return AttemptMismatchSnafu { key: key.clone() }.fail();
        }
        if task.runs > 0 && !request.terms.is_repeatable {
            return NotRepeatableSnafu { key: key.clone() }.fail();
        }
    }
    Ok(())
}

/// Checks that "not run" is true and that a success has every task's result.
fn check_answer(key: &RequestKey, request: &Request, answer: &Answer) -> Result<(), Error> {
    use common::Execution;
    let ran = answer.kind().map(common::ErrorKind::execution);
    let is_consistent = match ran {
        Some(Execution::No) => request.tasks.iter().all(Task::never_ran),
        Some(Execution::Yes | Execution::Unknown) => !request.tasks.iter().any(Task::is_started),
        None => request.tasks.iter().all(Task::is_done),
    };
    if is_consistent { Ok(()) } else { InconsistentAnswerSnafu { key: key.clone() }.fail() }
}

impl Task {
    fn new() -> Self {
        Self {
            state: State::Waiting,
            attempts: 0,
            runs: 0,
            failures: 0,
            failed_on: Vec::new(),
            reason: String::new(),
        }
    }

    /// Whether no attempt can have run.
    pub fn never_ran(&self) -> bool {
        self.state == State::Waiting && self.runs == 0
    }

    /// Whether an attempt may have been started and is not known to have ended.
    pub fn is_started(&self) -> bool {
        matches!(self.state, State::Started(_))
    }

    /// Whether the task ended with a result.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Ended { outcome: Outcome::Done, .. })
    }

    /// Place of the current attempt; `None` while waiting or after the end.
    pub fn place(&self) -> Option<&AttemptPlacement> {
        match &self.state {
            State::Started(place) => Some(place),
            State::Waiting | State::Ended { .. } => None,
        }
    }
}

impl Request {
    fn new(spec: RequestSpec, terms: Terms) -> Self {
        let tasks = vec![Task::new(); terms.tasks as usize];
        Self { spec, terms, tasks, is_cancelling: false, answer: None }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Admitted { .. } => {}
            Event::Started { places, .. } => {
                for place in places {
                    let task = &mut self.tasks[place.task as usize];
                    task.attempts = place.attempt;
                    task.state = State::Started(place);
                }
            }
            Event::Requeued { task, may_have_run, has_yielded, reason, .. } => {
                self.tasks[task as usize].requeue(may_have_run, has_yielded, reason);
            }
            Event::Ended { task, outcome, result, .. } => {
                let task = &mut self.tasks[task as usize];
                task.runs += 1;
                task.state = State::Ended { outcome, result };
            }
            Event::Cancelling { .. } => self.is_cancelling = true,
            Event::Closed { answer, .. } => self.answer = Some(answer),
        }
    }

    /// Word that reports the request's state to callers.
    pub fn status_word(&self) -> &'static str {
        if let Some(answer) = &self.answer {
            return answer.kind().map_or("done", common::ErrorKind::as_str);
        }
        if self.is_cancelling {
            "cancelling"
        } else if self.tasks.iter().any(Task::is_started) {
            "running"
        } else {
            "queued"
        }
    }
}

impl Task {
    /// Ends the current attempt and returns the task to the waiting state.
    fn requeue(&mut self, may_have_run: bool, has_yielded: bool, reason: String) {
        self.runs += u32::from(may_have_run);
        if may_have_run && !has_yielded {
            self.failures += 1;
            if let State::Started(place) = &self.state {
                self.failed_on.push(place.worker.clone());
            }
            if self.failed_on.len() > MAX_FAILED_WORKERS {
                self.failed_on.remove(0);
            }
        }
        self.state = State::Waiting;
        self.reason = reason;
    }
}

/// Serializes the map as a list of pairs, because JSON keys must be strings.
mod pairs {
    use std::collections::HashMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::{Request, RequestKey};

    pub(super) fn serialize<S>(
        map: &HashMap<RequestKey, Request>,
        serializer: S,
    ) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_seq(map)
    }

    pub(super) fn deserialize<'d, D>(
        deserializer: D,
    ) -> Result<HashMap<RequestKey, Request>, D::Error>
    where
        D: Deserializer<'d>,
    {
        let pairs: Vec<(RequestKey, Request)> = Vec::deserialize(deserializer)?;
        Ok(pairs.into_iter().collect())
    }
}
