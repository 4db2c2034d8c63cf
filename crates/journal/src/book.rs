//! The requests of one partition and the rules by which they change.
//!
//! [`Book::apply`] is the only way to change a book, live or in recovery, and refuses
//! whatever would break a promise: a second answer, a second attempt at work that is
//! not repeatable, an outcome of an attempt that is not the current one.

use std::collections::HashMap;

use common::Name;
use settings::Spec;
use snafu::Snafu;

use crate::event::{Answer, Event, Key, Outcome, Place, Terms};

/// Why an event does not fit the book.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The request is not in the book.
    #[snafu(display("no request {key}"))]
    Missing {
        /// The request.
        key: Key,
    },
    /// The request is already in the book.
    #[snafu(display("request {key} is there already"))]
    Doubled {
        /// The request.
        key: Key,
    },
    /// The request has its answer.
    #[snafu(display("request {key} is closed"))]
    Closed {
        /// The request.
        key: Key,
    },
    /// The event names a task or attempt other than the current one.
    #[snafu(display("request {key}: not the current attempt"))]
    Attempt {
        /// The request.
        key: Key,
    },
    /// The work is not repeatable and may have run.
    #[snafu(display("request {key} is not repeatable"))]
    Repeat {
        /// The request.
        key: Key,
    },
    /// The answer does not follow from what the tasks did.
    #[snafu(display("request {key}: the answer contradicts its tasks"))]
    Answer {
        /// The request.
        key: Key,
    },
}

common::record! {
    /// Where one task stands.
    pub enum State {
        /// It waits for room.
        Waiting,
        /// A start may have been sent.
        Started(Place),
        /// It ended.
        Ended {
            /// How.
            outcome: Outcome,
            /// The result, or why it failed.
            result: String,
        },
    }

    /// One task of a request.
    pub struct Task {
        /// Where it stands.
        pub state: State,
        /// Attempts so far, with those that never ran.
        pub attempts: u32,
        /// Attempts so far that may have run.
        pub runs: u32,
        /// Attempts so far that failed or vanished.
        #[serde(default)]
        pub failures: u32,
        /// Workers on which attempts failed, the latest last.
        pub failed_on: Vec<Name>,
        /// Why the latest attempt ended.
        pub reason: String,
    }

    /// One request.
    pub struct Request {
        /// What the caller sent.
        pub spec: Spec,
        /// What the caller was promised.
        pub terms: Terms,
        /// Its tasks, by index.
        pub tasks: Vec<Task>,
        /// Whether the caller wants it stopped.
        pub is_cancelling: bool,
        /// The answer, once it has one.
        pub answer: Option<Answer>,
    }

    /// The requests of one partition.
    #[derive(Default)]
    pub struct Book {
        #[serde(with = "pairs")]
        requests: HashMap<Key, Request>,
    }
}

/// Most workers that a task remembers to have failed on.
const FAILED_ON_MAX: usize = 8;

impl Book {
    /// A request.
    pub fn get(&self, key: &Key) -> Option<&Request> {
        self.requests.get(key)
    }

    /// Every request, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Request)> {
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

    /// Puts a request in as it is.
    pub fn insert(&mut self, key: Key, request: Request) {
        self.requests.insert(key, request);
    }

    /// Takes a request out.
    pub fn remove(&mut self, key: &Key) -> Option<Request> {
        self.requests.remove(key)
    }

    /// Drops closed requests whose answer is older than a time in milliseconds since 1970.
    pub fn prune(&mut self, before_ms: i64) {
        let is_old = |answer: &Answer| answer.at_ms < before_ms;
        self.requests.retain(|_, request| !request.answer.as_ref().is_some_and(is_old));
    }

    /// Whether an event fits the book.
    ///
    /// # Errors
    ///
    /// [`Error`] where it would break a promise; see the module's head.
    pub fn check(&self, event: &Event) -> Result<(), Error> {
        let key = event.key();
        if let Event::Admitted { .. } = event {
            return if self.requests.contains_key(key) {
                DoubledSnafu { key: key.clone() }.fail()
            } else {
                Ok(())
            };
        }
        let request = self.requests.get(key).ok_or_else(|| Error::Missing { key: key.clone() })?;
        if request.answer.is_some() {
            return ClosedSnafu { key: key.clone() }.fail();
        }
        match event {
            Event::Admitted { .. } | Event::Cancelling { .. } => Ok(()),
            Event::Started { places, .. } => check_started(key, request, places),
            Event::Again { task, attempt, may_have_run, .. } => {
                check_current(key, request, *task, *attempt)?;
                if *may_have_run && !request.terms.is_repeatable {
                    return RepeatSnafu { key: key.clone() }.fail();
                }
                Ok(())
            }
            Event::Ended { task, attempt, .. } => check_current(key, request, *task, *attempt),
            Event::Closed { answer, .. } => check_answer(key, request, answer),
        }
    }

    /// Changes the book.
    ///
    /// # Errors
    ///
    /// As [`Book::check`]; the book is then unchanged.
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

fn check_current(key: &Key, request: &Request, task: u32, attempt: u32) -> Result<(), Error> {
    let state = request.tasks.get(task as usize).map(|task| &task.state);
    match state {
        Some(State::Started(place)) if place.attempt == attempt => Ok(()),
        _ => AttemptSnafu { key: key.clone() }.fail(),
    }
}

fn check_started(key: &Key, request: &Request, places: &[Place]) -> Result<(), Error> {
    for (index, place) in places.iter().enumerate() {
        let task = request.tasks.get(place.task as usize);
        let task = task.ok_or_else(|| Error::Attempt { key: key.clone() })?;
        let is_doubled = places[..index].iter().any(|other| other.task == place.task);
        let is_next = task.state == State::Waiting && place.attempt == task.attempts + 1;
        if is_doubled || !is_next {
            return AttemptSnafu { key: key.clone() }.fail();
        }
        if task.runs > 0 && !request.terms.is_repeatable {
            return RepeatSnafu { key: key.clone() }.fail();
        }
    }
    Ok(())
}

/// "Not run" must be true, and success needs every task's result.
fn check_answer(key: &Key, request: &Request, answer: &Answer) -> Result<(), Error> {
    use common::Ran;
    let ran = answer.kind().map(common::Kind::ran);
    let fits = match ran {
        Some(Ran::No) => request.tasks.iter().all(Task::never_ran),
        Some(Ran::Yes | Ran::Unknown) => !request.tasks.iter().any(Task::is_started),
        None => request.tasks.iter().all(Task::is_done),
    };
    if fits { Ok(()) } else { AnswerSnafu { key: key.clone() }.fail() }
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

    /// Whether a start may have been sent whose end is not known.
    pub fn is_started(&self) -> bool {
        matches!(self.state, State::Started(_))
    }

    /// Whether it ended with a result.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Ended { outcome: Outcome::Done, .. })
    }

    /// Where the current attempt runs.
    pub fn place(&self) -> Option<&Place> {
        match &self.state {
            State::Started(place) => Some(place),
            State::Waiting | State::Ended { .. } => None,
        }
    }
}

impl Request {
    fn new(spec: Spec, terms: Terms) -> Self {
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
            Event::Again { task, may_have_run, has_yielded, reason, .. } => {
                self.tasks[task as usize].wait_again(may_have_run, has_yielded, reason);
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

    /// The word for where the request stands.
    pub fn word(&self) -> &'static str {
        if let Some(answer) = &self.answer {
            return answer.kind().map_or("done", common::Kind::word);
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
    fn wait_again(&mut self, may_have_run: bool, has_yielded: bool, reason: String) {
        self.runs += u32::from(may_have_run);
        if may_have_run && !has_yielded {
            self.failures += 1;
            if let State::Started(place) = &self.state {
                self.failed_on.push(place.worker.clone());
            }
            if self.failed_on.len() > FAILED_ON_MAX {
                self.failed_on.remove(0);
            }
        }
        self.state = State::Waiting;
        self.reason = reason;
    }
}

/// JSON has no keys but strings, so the map is kept as a list of pairs.
mod pairs {
    use std::collections::HashMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::{Key, Request};

    pub(super) fn serialize<S>(map: &HashMap<Key, Request>, to: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        to.collect_seq(map)
    }

    pub(super) fn deserialize<'d, D>(from: D) -> Result<HashMap<Key, Request>, D::Error>
    where
        D: Deserializer<'d>,
    {
        let pairs: Vec<(Key, Request)> = Vec::deserialize(from)?;
        Ok(pairs.into_iter().collect())
    }
}
