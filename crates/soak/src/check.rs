//! Checks the guarantees of a cell from what its clients and workers saw.
//!
//! The checker takes events in any order and judges them by their times. A worker that was
//! stopped reports late, so violations found while a soak runs are provisional: a later event
//! can show that a run had ended in time. After [`Checker::end`] the result is final.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use standin::platform::event::{Event, Kind};

/// Time after a cancellation's acknowledgement in which its tasks may still start, in
/// microseconds.
const CANCEL_TIME_US: u64 = 3_000_000;

/// Outcome of a run that succeeded.
const DONE: &str = "done";

/// Outcome of a run that counts as a failed attempt.
const FAILED: &str = "failed";

common::key! {
    /// A guarantee of the cell.
    pub enum Rule {
        /// A task runs once at a time, and not after an acknowledged success.
        Twice,
        /// An accepted job ends and stays known.
        Lost,
        /// A start doesn't exceed its worker's capacity.
        OverRoom,
        /// Only tasks of submitted jobs start, and not after a cancellation.
        Unasked,
        /// A rejected job never runs.
        Refused,
        /// A known key is served, and a removed one is not.
        Key,
    }

    /// State of a job as a client sees it.
    pub enum State {
        /// No task has started.
        Queued,
        /// A task has started.
        Running,
        /// All tasks succeeded.
        Completed,
        /// A task has used up its attempts.
        Failed,
        /// A client cancelled the job.
        Cancelled,
        /// The cell knows no such job.
        Unknown,
    }
}

impl State {
    /// Reads the name of a state in a reply; `None` for any other text.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "queued" => Some(Self::Queued),
            "running" => Some(Self::Running),
            "completed" => Some(Self::Completed),
            "failed" => Some(Self::Failed),
            "cancelled" => Some(Self::Cancelled),
            _ => None,
        }
    }
}

common::data! {
    /// A broken guarantee.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Violation {
        /// When it was broken, in microseconds of the steady clock.
        pub at_us: u64,
        /// The guarantee.
        pub rule: Rule,
        /// Task or job concerned; the worker if a start exceeded its capacity.
        pub subject: String,
        /// What happened: task, runs, workers and times.
        pub text: String,
    }

    /// What the checker has to know of a cell.
    #[derive(Copy)]
    pub struct Settings {
        /// Start of the soak, from which texts count their times, in microseconds of the
        /// steady clock.
        pub origin_us: u64,
        /// Failed runs of a task after which its job may fail.
        pub max_attempts: usize,
        /// Whether starts after an acknowledged cancellation are violations, if no disturbance
        /// was in between.
        pub judges_cancellations: bool,
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.text)
    }
}

common::key! {
    /// What the answers to a job's submissions say; later variants win.
    #[derive(Default)]
    enum Submission {
        /// Nothing for certain.
        #[default]
        Unknown,
        /// All attempts were rejected.
        Refused,
        /// An attempt was accepted.
        Accepted,
    }
}

/// What clients saw of a job.
#[derive(Debug, Default)]
struct Job {
    submission: Submission,
    is_cancel_sent: bool,
    cancel_acked_us: Option<u64>,
    /// Last state shown, and when.
    shown: Option<(u64, State)>,
    /// Whether the job was ever shown as completed.
    is_completed: bool,
}

/// A worker's id and incarnation.
type Life = (String, u64);

/// A run of a task, from its start to its end.
#[derive(Debug, Clone, Copy)]
struct Run<'a> {
    life: &'a Life,
    number: u64,
    token: u64,
    started_us: u64,
    /// When the run ended, by its worker's account or by the worker's end; `None` if it runs.
    ended_us: Option<u64>,
    /// Outcome that the worker listed; empty if it listed none.
    outcome: &'a str,
    noted_us: Option<u64>,
}

/// What one incarnation of a worker recorded, and when it was gone.
#[derive(Debug, Default)]
struct Record<'a> {
    first_us: u64,
    down_us: Option<u64>,
    /// End of the last lease.
    lease_end_us: Option<u64>,
    expiries_us: Vec<u64>,
    /// Ends by task and run: time and outcome.
    ends: HashMap<(&'a str, u64), (u64, &'a str)>,
    /// Times of acknowledgements by task and run.
    notes: HashMap<(&'a str, u64), u64>,
}

/// Runs of each task in the order of their starts, and what else judges them.
#[derive(Debug, Default)]
struct Account<'a> {
    records: BTreeMap<&'a Life, Record<'a>>,
    runs: BTreeMap<&'a str, Vec<Run<'a>>>,
}

/// Collects what clients and workers saw, and finds violations in it.
#[derive(Debug)]
pub struct Checker {
    settings: Settings,
    jobs: BTreeMap<String, Job>,
    events: Vec<(Life, Event)>,
    /// Workers that were killed, and when each was gone.
    downs: Vec<(String, u64)>,
    /// Starts and ends of disturbances.
    disturbances: Vec<(u64, u64)>,
    ended_us: Option<u64>,
    /// Violations of [`Rule::Key`].
    key_violations: Vec<Violation>,
    /// Violations that [`Checker::take_new`] has returned.
    reported: BTreeSet<(Rule, String, u64)>,
}

impl Checker {
    /// Creates a checker that has seen nothing.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            jobs: BTreeMap::new(),
            events: Vec::new(),
            downs: Vec::new(),
            disturbances: Vec::new(),
            ended_us: None,
            key_violations: Vec::new(),
            reported: BTreeSet::new(),
        }
    }

    /// Takes an event of a worker.
    pub fn worker_event(&mut self, event: Event) {
        self.events.push(((event.worker.clone(), event.incarnation), event));
    }

    /// Takes that a worker was killed; the time is one at which its process was gone.
    pub fn worker_down(&mut self, worker: &str, at_us: u64) {
        self.downs.push((worker.to_owned(), at_us));
    }

    /// Takes that processes or links were disturbed; cancellations are judged outside of it.
    pub fn disturbed(&mut self, from_us: u64, until_us: u64) {
        self.disturbances.push((from_us, until_us));
    }

    /// Takes that a client is about to send a job.
    pub fn submitted(&mut self, job: &str) {
        self.job(job);
    }

    /// Takes that a client's job was accepted.
    pub fn accepted(&mut self, job: &str) {
        self.job(job).submission = Submission::Accepted;
    }

    /// Takes that all of a client's attempts to submit a job were rejected.
    pub fn refused(&mut self, job: &str) {
        let job = self.job(job);
        job.submission = job.submission.max(Submission::Refused);
    }

    /// Takes that an answer to a request about something does not follow from the request's key.
    pub fn key_violation(&mut self, subject: &str, at_us: u64, text: String) {
        let text = format!("{text} at {}", self.seconds(at_us));
        self.key_violations.push(violation(Rule::Key, subject, at_us, text));
    }

    /// Takes that a client is about to cancel a job, whether or not it gets an answer.
    pub fn cancel_sent(&mut self, job: &str) {
        self.job(job).is_cancel_sent = true;
    }

    /// Takes that the cancellation of a job was acknowledged.
    pub fn cancel_acked(&mut self, job: &str, at_us: u64) {
        let job = self.job(job);
        job.is_cancel_sent = true;
        job.cancel_acked_us = Some(job.cancel_acked_us.map_or(at_us, |first| first.min(at_us)));
    }

    /// Takes that a client was shown a state of a job.
    pub fn state(&mut self, job: &str, state: State, at_us: u64) {
        let job = self.job(job);
        job.is_completed |= state == State::Completed;
        if job.shown.is_none_or(|(last_us, _)| last_us <= at_us) {
            job.shown = Some((at_us, state));
        }
    }

    /// Takes that the soak has ended and that each job had the time to end; jobs are judged now.
    pub fn end(&mut self, at_us: u64) {
        self.ended_us = Some(at_us);
    }

    fn job(&mut self, job: &str) -> &mut Job {
        self.jobs.entry(job.to_owned()).or_default()
    }

    /// Violations that no earlier call returned; provisional until the soak has ended.
    pub fn take_new(&mut self) -> Vec<Violation> {
        let mut violations = self.violations();
        violations.retain(|violation| {
            let key = (violation.rule, violation.subject.clone(), violation.at_us);
            self.reported.insert(key)
        });
        violations
    }

    /// All violations so far, in the order of their times.
    pub fn violations(&self) -> Vec<Violation> {
        let account = self.account();
        let mut violations = self.key_violations.clone();
        for (task, runs) in &account.runs {
            self.check_overlaps(task, runs, &mut violations);
            self.check_reruns(task, runs, &account, &mut violations);
            self.check_orders(task, runs, &mut violations);
        }
        self.check_room(&mut violations);
        if let Some(ended_us) = self.ended_us {
            self.check_jobs(ended_us, &account, &mut violations);
        }
        violations.sort();
        violations
    }

    /// Whether no disturbance overlaps with a span.
    fn is_calm(&self, from_us: u64, until_us: u64) -> bool {
        self.disturbances.iter().all(|(start_us, end_us)| *end_us < from_us || until_us < *start_us)
    }

    /// Seconds since the start of the soak.
    fn seconds(&self, at_us: u64) -> String {
        let elapsed_us = i128::from(at_us) - i128::from(self.settings.origin_us);
        format!("{:.3} s", elapsed_us as f64 / 1e6)
    }

    /// Brings the events in order, and derives the runs from them.
    fn account(&self) -> Account<'_> {
        let mut events: Vec<&(Life, Event)> = self.events.iter().collect();
        events.sort_by_key(|(_, event)| event.at_us);
        // A lease that ends later than all that is known may still be extended.
        let last_event_us = events.last().map(|(_, event)| event.at_us);
        let last_down_us = self.downs.iter().map(|(_, at_us)| *at_us).max();
        let last_us = last_event_us.max(last_down_us).max(self.ended_us).unwrap_or(0);
        let mut records: BTreeMap<&Life, Record> = BTreeMap::new();
        let mut starts = Vec::new();
        for (life, event) in events {
            let at_us = event.at_us;
            let record = records
                .entry(life)
                .or_insert_with(|| Record { first_us: at_us, ..Record::default() });
            match &event.kind {
                Kind::Leased { until_us } => {
                    record.lease_end_us = record.lease_end_us.max(Some(*until_us));
                }
                Kind::LeaseExpired => record.expiries_us.push(at_us),
                Kind::Started { task, run, token } => {
                    starts.push((life, at_us, task.as_str(), *run, *token));
                }
                Kind::Ended { task, run, how } => {
                    record.ends.entry((task, *run)).or_insert((at_us, how));
                }
                Kind::Noted { task, run } => {
                    record.notes.entry((task, *run)).or_insert(at_us);
                }
                Kind::Up { .. } | Kind::OverRoom { .. } => {}
            }
        }
        self.find_downs(&mut records);
        let mut runs: BTreeMap<&str, Vec<Run>> = BTreeMap::new();
        for (life, started_us, task, number, token) in starts {
            let record = &records[life];
            let end = record.ends.get(&(task, number)).copied();
            // A worker that was killed while it was stopped couldn't report its runs' ends.
            let limits = [record.down_us, record.lease_end_us];
            let unreported_us =
                || limits.into_iter().flatten().min().filter(|at_us| *at_us <= last_us);
            runs.entry(task).or_default().push(Run {
                life,
                number,
                token,
                started_us,
                ended_us: end.map(|(at_us, _)| at_us).or_else(unreported_us),
                outcome: end.map_or("", |(_, outcome)| outcome),
                noted_us: record.notes.get(&(task, number)).copied(),
            });
        }
        Account { records, runs }
    }

    /// Finds out when each incarnation was gone: at its kill, at the latest when the next began.
    fn find_downs(&self, records: &mut BTreeMap<&Life, Record<'_>>) {
        let begins: Vec<(&Life, u64)> =
            records.iter().map(|(life, record)| (*life, record.first_us)).collect();
        for (life, record) in records {
            let kills = self.downs.iter().filter(|(worker, _)| *worker == life.0);
            let kills = kills.map(|(_, at_us)| *at_us);
            let next = begins.iter().filter(|((worker, _), _)| *worker == life.0);
            let next = next.map(|(_, at_us)| *at_us);
            let after = kills.chain(next).filter(|at_us| *at_us > record.first_us);
            record.down_us = after.min();
        }
    }

    /// Finds runs of a task at the same time.
    fn check_overlaps(&self, task: &str, runs: &[Run<'_>], violations: &mut Vec<Violation>) {
        // The run that ends last among those that started before.
        let mut last: Option<Run> = None;
        for run in runs {
            if let Some(earlier) = last
                && earlier.ended_us.is_none_or(|end| end > run.started_us)
            {
                let text = format!(
                    "task {task}: {}, while {}",
                    self.describe(run),
                    self.describe(&earlier)
                );
                violations.push(violation(Rule::Twice, task, run.started_us, text));
            }
            let is_later = |earlier: Run| match (earlier.ended_us, run.ended_us) {
                (Some(earlier), Some(end)) => end > earlier,
                (Some(_), None) => true,
                (None, _) => false,
            };
            if last.is_none_or(is_later) {
                last = Some(*run);
            }
        }
    }

    /// Finds starts of a task after an acknowledged success.
    fn check_reruns(
        &self,
        task: &str,
        runs: &[Run<'_>],
        account: &Account<'_>,
        violations: &mut Vec<Violation>,
    ) {
        let counting = runs.iter().filter_map(|run| {
            let (ended_us, noted_us) = (run.ended_us?, run.noted_us?);
            let mut expiries = account.records[run.life].expiries_us.iter();
            // An end that was acknowledged after the lease expired does not count.
            let is_void = expiries.any(|at_us| (ended_us..=noted_us).contains(at_us));
            (run.outcome == DONE && !is_void).then_some((run, ended_us, noted_us))
        });
        let Some((done, ended_us, noted_us)) = counting.min_by_key(|(_, ended_us, _)| *ended_us)
        else {
            return;
        };
        for run in runs.iter().filter(|run| run.started_us >= ended_us) {
            let text = format!(
                "task {task}: {}, after {}, which was noted at {}",
                self.describe(run),
                self.describe(done),
                self.seconds(noted_us)
            );
            violations.push(violation(Rule::Twice, task, run.started_us, text));
        }
    }

    /// Finds starts that no client asked for.
    fn check_orders(&self, task: &str, runs: &[Run<'_>], violations: &mut Vec<Violation>) {
        let Some(job) = self.jobs.get(job_of(task)) else {
            let found = runs.iter().map(|run| {
                let text =
                    format!("task {task} of a job that no client sent: {}", self.describe(run));
                violation(Rule::Unasked, task, run.started_us, text)
            });
            violations.extend(found);
            return;
        };
        if job.submission == Submission::Refused {
            let found = runs.iter().map(|run| {
                let text = format!("task {task} of a rejected job: {}", self.describe(run));
                violation(Rule::Refused, task, run.started_us, text)
            });
            violations.extend(found);
        }
        if self.settings.judges_cancellations
            && let Some(acked_us) = job.cancel_acked_us
        {
            let late = runs.iter().filter(|run| {
                run.started_us > acked_us + CANCEL_TIME_US && self.is_calm(acked_us, run.started_us)
            });
            let found = late.map(|run| {
                let text = format!(
                    "task {task} of a job whose cancellation was acknowledged at {}: {}",
                    self.seconds(acked_us),
                    self.describe(run)
                );
                violation(Rule::Unasked, task, run.started_us, text)
            });
            violations.extend(found);
        }
    }

    /// Finds starts that exceeded a worker's capacity.
    fn check_room(&self, violations: &mut Vec<Violation>) {
        for (_, event) in &self.events {
            if let Kind::OverRoom { used } = event.kind {
                let text = format!(
                    "worker {}: a start at {} brought it to {used} thousandths of a core in use",
                    event.worker,
                    self.seconds(event.at_us)
                );
                violations.push(violation(Rule::OverRoom, &event.worker, event.at_us, text));
            }
        }
    }

    /// Finds accepted jobs that did not end, or ended without cause.
    fn check_jobs(&self, ended_us: u64, account: &Account<'_>, violations: &mut Vec<Violation>) {
        for (name, job) in &self.jobs {
            if job.submission != Submission::Accepted || job.is_cancel_sent || job.is_completed {
                continue;
            }
            let fault = match job.shown {
                None => "was accepted, and no query for it was answered".to_owned(),
                Some((_, State::Failed)) => {
                    let attempts = most_failures(name, account);
                    if attempts >= self.settings.max_attempts {
                        continue;
                    }
                    format!(
                        "was shown as failed after at most {attempts} failed runs of a task, {} \
                         allowed",
                        self.settings.max_attempts
                    )
                }
                Some((at_us, state)) => {
                    format!("was accepted, and is shown as {state:?} at {}", self.seconds(at_us))
                }
            };
            let text = format!("job {name} {fault}");
            violations.push(violation(Rule::Lost, name, ended_us, text));
        }
    }

    /// Run, worker and times of a run.
    fn describe(&self, run: &Run<'_>) -> String {
        let (worker, incarnation) = run.life;
        let end = match (run.ended_us, run.outcome) {
            (None, _) => "still on".to_owned(),
            (Some(at_us), "") => {
                format!("gone with its worker or lease at {}", self.seconds(at_us))
            }
            (Some(at_us), outcome) => format!("ended {outcome} at {}", self.seconds(at_us)),
        };
        format!(
            "run {} on {worker} (incarnation {incarnation}, token {}) from {}, {end}",
            run.number,
            run.token,
            self.seconds(run.started_us)
        )
    }
}

/// Name of a task's job: its first part.
fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or(task)
}

/// Most failed runs of any task of a job.
fn most_failures(job: &str, account: &Account<'_>) -> usize {
    let tasks = account.runs.iter().filter(|(task, _)| job_of(task) == job);
    let failures = |runs: &Vec<Run>| runs.iter().filter(|run| run.outcome == FAILED).count();
    tasks.map(|(_, runs)| failures(runs)).max().unwrap_or(0)
}

fn violation(rule: Rule, subject: &str, at_us: u64, text: String) -> Violation {
    Violation { at_us, rule, subject: subject.to_owned(), text }
}
