//! Group commit: a log of changed jobs and the head row, one transaction at a time.
//!
//! A journal row holds the jobs that changed together, each in full, so that a slow store
//! takes many jobs with few rows. The latest row that names a job counts. Rows are removed
//! from the oldest on, once each of their jobs was written again or forgotten; a job whose
//! latest row is removed can then not come back in an older state.
//!
//! Each transaction is conditional on the head row's version and writes the head row, so
//! transactions form a chain: one whose answer was lost is sent again unchanged, and either
//! takes effect then or conflicts with a head row that shows it took effect before. A read
//! of the head row tells a lost answer, which is made good at once, from a slow store.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

use common::Name;
use prost::Message;
use scheduler::{Phase, Scheduler, Segment};

use crate::action::Action;
use crate::answer::Answer;
use crate::event::note;
use crate::head::{HEAD, Head, JOURNAL, TABLE, read_head};
use crate::lead::requests::Caller;
use crate::meter::{Count, Hop};
use crate::node::Port;
use crate::store::{Commit, Key, Page, Row, Transaction, Write};

/// Pause after a commit in which changes gather for the next one.
const GROUP_WINDOW: Duration = Duration::from_millis(10);

/// Longest pause between commits; followers take a longer one for a sign of death.
const IDLE_COMMIT: Duration = Duration::from_millis(200);

/// Pause before a refused transaction is sent again.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);

/// Longest time that is waited for the answer to one sending of a commit.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Least time after which the head row is read for an unanswered commit.
const LEAST_CHECK: Duration = Duration::from_millis(120);

/// Commits of the usual length after which an answer may be lost.
const CHECK_FACTOR: u32 = 6;

/// Growth of the pause between reads while the store is slow.
const CHECK_GROWTH: u32 = 2;

/// Time of a read up to which the store counts as quick, so that a commit that has not taken
/// effect is sent again; each sending costs the store a transaction.
const QUICK_READ: Duration = Duration::from_millis(80);

/// Jobs written again with each commit at the most.
const COMPACTED_AT_ONCE: usize = 64;

/// Bytes that a record takes beside its own.
const RECORD_OVERHEAD: usize = 8;

/// Weight of a new observation in the mean time of a commit.
const LATENCY_WEIGHT: f64 = 0.2;

/// Time without a commit after which the store is taken for lost, for the log.
const LOST_AFTER: Duration = Duration::from_secs(1);

/// What follows once a change is durable.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Tell a caller.
    Answer(Caller, Answer),
    /// Tell a caller a job's state, or that there is no such job.
    State(Caller, Name),
    /// Send a start.
    Start(scheduler::Start),
    /// Acknowledge a worker's ends.
    Seen {
        /// The worker.
        worker: Name,
        /// Its life.
        born: u64,
        /// Position up to which ends are acknowledged.
        number: u64,
    },
}

/// What a commit's outcome means.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// Nothing yet.
    None,
    /// A batch is durable.
    Durable {
        /// The jobs written, with their phases.
        jobs: Vec<(Name, Phase)>,
        /// What follows.
        effects: Vec<Effect>,
        /// When the batch was sent first.
        sent: Duration,
    },
    /// The place is given up.
    Released,
    /// Another daemon leads.
    Deposed { epoch: u64 },
}

/// A job that is written with a batch.
#[derive(Debug)]
struct Packed {
    id: Name,
    phase: Phase,
    row: Name,
}

#[derive(Debug)]
struct Batch {
    /// Sendings that are not answered.
    calls: Vec<u64>,
    transaction: Transaction,
    commit: u64,
    jobs: Vec<Packed>,
    effects: Vec<Effect>,
    is_release: bool,
    sent: Duration,
    last_sent: Duration,
    /// The read of the head row under way, and when it was sent.
    check: Option<(u64, Duration)>,
    check_at: Duration,
    /// Pause before the next read.
    pause: Duration,
}

/// Changes on their way to the store.
#[derive(Debug)]
pub(crate) struct Journal {
    head: Head,
    version: u64,
    queue: VecDeque<Name>,
    queued: HashSet<Name>,
    popped: u64,
    effects: VecDeque<(u64, Effect)>,
    /// The jobs whose latest record is in a row, by the row's key.
    rows: BTreeMap<Name, HashSet<Name>>,
    /// The row of each job's latest record.
    places: HashMap<Name, Name>,
    batch: Option<Batch>,
    finished: Duration,
    latency: Duration,
    is_releasing: bool,
    is_confirming: bool,
    is_lost: bool,
}

impl Journal {
    /// The journal of a leader whose head row has a version.
    pub fn new(head: Head, version: u64, now: Duration, commit_time: Duration) -> Self {
        Self {
            head,
            version,
            queue: VecDeque::new(),
            queued: HashSet::new(),
            popped: 0,
            effects: VecDeque::new(),
            rows: BTreeMap::new(),
            places: HashMap::new(),
            batch: None,
            finished: now,
            latency: commit_time,
            is_releasing: false,
            is_confirming: false,
            is_lost: false,
        }
    }

    /// Time since the last commit.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.finished)
    }

    /// How long a change takes until it is durable, roughly.
    pub fn latency(&self) -> Duration {
        self.latency + GROUP_WINDOW
    }

    /// Marks jobs for writing.
    pub fn enqueue(&mut self, jobs: BTreeSet<Name>) {
        for job in jobs {
            if self.queued.insert(job.clone()) {
                self.queue.push_back(job);
            }
        }
    }

    /// Has an effect carried out once all that is marked now is durable.
    pub fn after(&mut self, effect: Effect) {
        self.effects.push_back((self.popped + self.queue.len() as u64, effect));
    }

    /// Notes that a job's latest record is in a row.
    pub fn place(&mut self, job: Name, row: Name) {
        if let Some(former) = self.places.insert(job.clone(), row.clone())
            && let Some(jobs) = self.rows.get_mut(&former)
        {
            jobs.remove(&job);
        }
        self.rows.entry(row).or_default().insert(job);
    }

    /// Notes that a row holds no job's latest record.
    pub fn note_row(&mut self, row: Name) {
        self.rows.entry(row).or_default();
    }

    /// Forgets a job; its records go with their rows.
    pub fn forget(&mut self, job: &Name) {
        if let Some(row) = self.places.remove(job)
            && let Some(jobs) = self.rows.get_mut(&row)
        {
            jobs.remove(job);
        }
    }

    /// Has some jobs of the oldest rows written again, if there are too many rows.
    fn compact(&mut self, most_rows: usize) {
        if self.rows.len() < most_rows {
            return;
        }
        let oldest = self.rows.values().flatten();
        let moved: BTreeSet<Name> = oldest.take(COMPACTED_AT_ONCE).cloned().collect();
        self.enqueue(moved);
    }

    /// Takes the oldest rows that hold nothing of use.
    fn take_spent(&mut self, most: usize) -> Vec<Key> {
        let mut spent = Vec::new();
        while spent.len() < most {
            let Some(oldest) = self.rows.first_entry().filter(|row| row.get().is_empty()) else {
                break;
            };
            spent.push(Key { table: TABLE, key: oldest.remove_entry().0 });
        }
        spent
    }

    /// Gives the place up with the last batch.
    pub fn release(&mut self) {
        self.is_releasing = true;
    }

    /// When a leader last gave its place up for slowness, by the store's clock, in ms.
    pub fn slow_ms(&self) -> u64 {
        self.head.slow_ms
    }

    /// Notes that the place is given up for slowness.
    pub fn note_slow(&mut self, store_ms: u64) {
        self.head.slow_ms = store_ms;
    }

    /// Commits soon even where nothing has changed.
    pub fn confirm(&mut self) {
        self.is_confirming = true;
    }

    /// Sends what is due.
    pub fn progress(&mut self, port: &mut Port, scheduler: &Scheduler) {
        let now = port.now;
        if !self.is_lost && self.age(now) > LOST_AFTER {
            self.is_lost = true;
            note!(port, StoreLost, "age_ms" => self.age(now).as_millis() as u64);
        }
        if let Some(batch) = &mut self.batch {
            batch.progress(port);
            return;
        }
        let age = self.age(now);
        let has_work = !self.queue.is_empty() || !self.effects.is_empty();
        let is_due = (has_work && age >= GROUP_WINDOW)
            || age >= IDLE_COMMIT
            || self.is_confirming
            || self.is_releasing;
        if is_due {
            let mut batch = self.gather(port, scheduler);
            batch.send(port);
            self.batch = Some(batch);
        }
    }

    fn gather(&mut self, port: &Port, scheduler: &Scheduler) -> Batch {
        let mut head = self.head.clone();
        head.commit += 1;
        self.compact(port.config.most_rows);
        let (jobs, mut writes) = self.pack(port, scheduler, head.commit);
        let removes = self.take_spent(port.config.max_writes.saturating_sub(writes.len() + 2));
        let ready = self.effects.iter().take_while(|(needs, _)| *needs <= self.popped).count();
        let effects = self.effects.drain(..ready).map(|(_, effect)| effect).collect();
        let is_release = self.is_releasing && self.queue.is_empty() && self.effects.is_empty();
        head.is_released = is_release;
        self.is_confirming = false;
        let guard = Key { table: TABLE, key: Name::new(HEAD) };
        writes.push(Write { key: guard.clone(), value: head.encode_to_vec() });
        let transaction = Transaction { guard, version: self.version, writes, removes };
        Batch {
            calls: Vec::new(),
            transaction,
            commit: head.commit,
            jobs,
            effects,
            is_release,
            sent: port.now,
            last_sent: port.now,
            check: None,
            check_at: port.now,
            pause: (self.latency * CHECK_FACTOR).max(LEAST_CHECK),
        }
    }

    /// Packs jobs that are to be written into rows.
    fn pack(
        &mut self,
        port: &Port,
        scheduler: &Scheduler,
        commit: u64,
    ) -> (Vec<Packed>, Vec<Write>) {
        let (mut jobs, mut writes) = (Vec::new(), Vec::new());
        let (mut segment, mut filled, mut total) = (Segment::default(), 0, 0);
        while total < port.config.max_bytes {
            let Some(id) = self.queue.pop_front() else { break };
            self.queued.remove(&id);
            self.popped += 1;
            let Some(job) = scheduler.jobs.get(&id) else { continue };
            let record = job.record();
            let size = record.encoded_len() + RECORD_OVERHEAD;
            if filled + size > port.config.max_row && filled > 0 {
                let full = std::mem::take(&mut segment);
                writes.push(self.row(commit, writes.len(), &full));
                filled = 0;
            }
            filled += size;
            total += size;
            let row = self.row_key(commit, writes.len());
            jobs.push(Packed { id, phase: job.phase, row });
            segment.jobs.push(record);
        }
        if !segment.jobs.is_empty() {
            writes.push(self.row(commit, writes.len(), &segment));
        }
        (jobs, writes)
    }

    fn row(&self, commit: u64, number: usize, segment: &Segment) -> Write {
        let key = Key { table: TABLE, key: self.row_key(commit, number) };
        Write { key, value: segment.encode_to_vec() }
    }

    /// Keys sort by the order in which the rows were written.
    fn row_key(&self, commit: u64, number: usize) -> Name {
        let epoch = self.head.epoch;
        Name::from(format!("{JOURNAL}{epoch:010}/{commit:010}/{number:03}").as_str())
    }

    /// Takes the outcome of a commit.
    pub fn committed(&mut self, port: &mut Port, call: u64, commit: Commit) -> Outcome {
        let Some(batch) = self.batch.as_mut() else { return Outcome::None };
        let Some(position) = batch.calls.iter().position(|own| *own == call) else {
            return Outcome::None;
        };
        batch.calls.swap_remove(position);
        match commit {
            Commit::Done { version, .. } => {
                let took = port.now.saturating_sub(batch.last_sent);
                let weighed = self.latency.mul_f64(1.0 - LATENCY_WEIGHT);
                self.latency = weighed + took.mul_f64(LATENCY_WEIGHT);
                self.durable(port, version)
            }
            Commit::Conflict { row } => self.conflict(port, row),
            Commit::Refused | Commit::Unknown => {
                let word = if commit == Commit::Refused { "refused" } else { "unanswered" };
                port.meter.count(Count::Commits, word, 1);
                if batch.calls.is_empty() {
                    batch.check_at = batch.check_at.min(port.now + REFUSED_PAUSE);
                }
                Outcome::None
            }
        }
    }

    /// Takes the head row that was read for an unanswered commit.
    pub fn read(&mut self, port: &mut Port, call: u64, page: Option<&Page>) -> Outcome {
        let Some(batch) = self.batch.as_mut() else { return Outcome::None };
        let Some((_, sent)) = batch.check.take_if(|(own, _)| *own == call) else {
            return Outcome::None;
        };
        let took = port.now.saturating_sub(sent);
        let row = page.and_then(|page| page.rows.first().cloned());
        let found = row.as_ref().and_then(|row| Head::decode(&*row.value).ok());
        let (Some(row), Some(found)) = (row, found) else {
            batch.check_at = port.now + batch.pause;
            return Outcome::None;
        };
        if found.epoch != self.head.epoch {
            return Outcome::Deposed { epoch: found.epoch };
        }
        if found.commit == batch.commit {
            port.meter.count(Count::Commits, "found", 1);
            return self.durable(port, row.version);
        }
        if took <= QUICK_READ {
            batch.send(port);
        } else {
            batch.pause = (batch.pause * CHECK_GROWTH).min(ANSWER_TIMEOUT);
            batch.check_at = port.now + batch.pause;
        }
        Outcome::None
    }

    /// Tells a batch that took effect unheard from a change of leader.
    fn conflict(&mut self, port: &mut Port, row: Option<Row>) -> Outcome {
        let found = row.as_ref().and_then(|row| Head::decode(&*row.value).ok());
        let expected = self.batch.as_ref().map(|batch| batch.commit);
        match (row, found) {
            (Some(row), Some(found))
                if found.epoch == self.head.epoch && Some(found.commit) == expected =>
            {
                self.durable(port, row.version)
            }
            (_, found) => Outcome::Deposed { epoch: found.map_or(0, |head| head.epoch) },
        }
    }

    fn durable(&mut self, port: &mut Port, version: u64) -> Outcome {
        let Some(batch) = self.batch.take() else { return Outcome::None };
        self.version = version;
        self.head.commit = batch.commit;
        let took = port.now.saturating_sub(batch.sent);
        port.meter.time(Hop::Commit, took);
        self.finished = port.now;
        if self.is_lost {
            self.is_lost = false;
            note!(port, StoreBack, "took_ms" => took.as_millis() as u64);
        }
        if batch.is_release {
            return Outcome::Released;
        }
        let mut jobs = Vec::with_capacity(batch.jobs.len());
        for packed in batch.jobs {
            self.place(packed.id.clone(), packed.row);
            jobs.push((packed.id, packed.phase));
        }
        Outcome::Durable { jobs, effects: batch.effects, sent: batch.sent }
    }
}

impl Batch {
    /// Sends the transaction, unchanged.
    fn send(&mut self, port: &mut Port) {
        let call = port.call();
        self.calls.push(call);
        self.last_sent = port.now;
        self.check_at = port.now + self.pause;
        let transaction = self.transaction.clone();
        port.out.push(Action::Commit { call, transaction, timeout: ANSWER_TIMEOUT });
    }

    /// Sends the transaction again where the store refused it, or looks what became of it.
    fn progress(&mut self, port: &mut Port) {
        if port.now < self.check_at || self.check.is_some() {
            return;
        }
        if self.calls.is_empty() {
            self.send(port);
            return;
        }
        let call = port.call();
        self.check = Some((call, port.now));
        port.out.push(read_head(call, ANSWER_TIMEOUT));
    }
}
