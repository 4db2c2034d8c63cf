//! Group commit of changed jobs to a journal in the store, one transaction at a time.
//!
//! A journal row holds the records of jobs that changed together, so that many jobs fit into few
//! rows of a slow store. A job's latest full record and the changes in later rows are valid.
//! Rows are removed oldest first, once each job with its latest full record there has been
//! rewritten in full to a later row or removed. So no older record of a job is left when its
//! latest full record is removed, and no change that applies to a record is removed before it.
//!
//! Each transaction is conditional on the version of the head row and writes that row, so the
//! transactions form a chain. A transaction whose reply was lost is resent unchanged: it either
//! takes effect then, or conflicts with a head row that shows that it took effect before. While
//! a reply is outstanding, a read of the head row distinguishes a lost reply from a slow store.
//!
//! A record that exceeds a row is split over rows of one transaction. A transaction that the store
//! rejects as such is taken back and never resent: its jobs are written in smaller transactions,
//! under new commit numbers, until the job at fault is found. That job is given up once the store
//! has committed a transaction without it, so a store that rejects all costs no job.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

use common::Name;
use scheduler::{Job, JobDiff, Phase, Scheduler, SegmentBuilder, StoredState};

use crate::action::Action;
use crate::answer::Answer;
use crate::event::log_event;
use crate::head::{HEAD_KEY, Head, JOURNAL_KEY_PREFIX, POOL_TABLE, read_head};
use crate::lead::access::Access;
use crate::lead::requests::Caller;
use crate::meter::{Counter, Timing};
use crate::node::Context;
use crate::store::{CommitResult, Page, Row, RowKey, RowWrite, Transaction};

/// Time after a commit in which changes are collected for the next one.
const GROUP_COMMIT_WINDOW: Duration = Duration::from_millis(10);

/// Longest interval between commits; after a longer one, followers suspect a dead leader.
const IDLE_COMMIT_INTERVAL: Duration = Duration::from_millis(200);

/// Delay before a refused transaction is resent.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Longest delay after rejections of a transaction that writes no job.
const MAX_REJECTED_DELAY: Duration = Duration::from_secs(2);

/// Entries of a transaction for the head row: its expected version and its value.
const HEAD_ENTRIES: usize = 2;

/// Jobs of a transaction from which the search for a job at fault ends.
const SEARCH_END_JOBS: usize = 1024;

/// Timeout of one send of a commit; also bounds the delay between checks.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(4);

/// Shortest delay before the head row is read for an unanswered commit.
const MIN_CHECK_DELAY: Duration = Duration::from_millis(120);

/// Mean commit latencies to wait before a reply may be lost.
const CHECK_DELAY_FACTOR: u32 = 6;

/// Growth of the delay between checks while the store is slow.
const CHECK_BACKOFF_FACTOR: u32 = 2;

/// Longest head read after which an uncommitted transaction is resent.
///
/// A slower store is given more time instead, as each send costs it a transaction.
const FAST_READ_LIMIT: Duration = Duration::from_millis(80);

/// Most jobs of the oldest rows that are rewritten with one commit.
const MAX_COMPACTED_PER_COMMIT: usize = 64;

/// Size of the journal, in bytes, up to which obsolete records are kept.
const MIN_COMPACTED_BYTES: usize = 256 * 1024;

/// Largest size of the journal beyond that, relative to its valid records.
const MAX_SIZE_FACTOR: usize = 2;

/// Weight of a new sample in the mean commit latency.
const LATENCY_SMOOTHING: f64 = 0.2;

/// Age of a commit at its confirmation from which another daemon may have taken over since.
///
/// A follower reads the head row twice before a claim, with a longer time between.
const LATE_CONFIRMATION: Duration = Duration::from_millis(300);

/// Mean commit latencies that a confirmation may always take.
const LATE_CONFIRMATION_FACTOR: u32 = 3;

/// Time without a commit after which the store is logged as lost.
const STORE_LOST_AFTER: Duration = Duration::from_secs(1);

/// An action that is deferred until a change is durable.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Send an answer to a caller about the job with this id.
    Answer(Caller, Answer, Name),
    /// Send a caller a job's state, or that there is no such job.
    JobState(Caller, Access, Name),
    /// Send a start to its worker.
    Start(scheduler::StartOrder),
    /// Acknowledge the finished runs that a worker listed.
    AcknowledgeFinishedRuns {
        /// The worker.
        worker: Name,
        /// Start of its incarnation, in ms of Unix time.
        incarnation: u64,
        /// Position up to which finished runs are acknowledged.
        position: u64,
    },
}

/// What the leader has to do after a reply from the store.
#[derive(Debug)]
pub(crate) enum CommitOutcome {
    /// Nothing; the commit is not decided, or the reply was outdated.
    NoChange,
    /// A batch is durable.
    Durable {
        /// The jobs written, with their stored phases.
        jobs: Vec<(Name, Phase)>,
        /// The deferred actions that are now due.
        effects: Vec<Effect>,
        /// When the batch was first sent.
        first_sent: Duration,
    },
    /// Leadership is released.
    Released,
    /// Another daemon leads, in this epoch; 0 if it could not be read.
    Superseded { epoch: u64 },
}

/// A row of the journal.
#[derive(Debug, Default)]
struct JournalRow {
    /// Jobs with their latest full record in the row.
    jobs: BTreeSet<Name>,
    /// Size of its value, in bytes.
    size: usize,
}

/// Records of a job in the journal.
#[derive(Debug)]
struct StoredJob {
    /// Key of the row with the latest full record.
    row: Name,
    /// Size of that record and the changes since, in bytes.
    size: usize,
    /// State that the records give.
    state: StoredState,
    /// Whether a change in `state` was taken back, so that a full record must follow.
    is_outdated: bool,
}

/// Search for the job for which the store rejects a transaction.
#[derive(Debug)]
struct Search {
    /// Most jobs to write with the next batch.
    max_jobs: usize,
    /// The job that a rejected transaction wrote alone.
    suspect: Option<Name>,
}

/// Jobs and rows that a batch writes.
#[derive(Debug, Default)]
struct Packed {
    /// Jobs that are durable with the batch, with their phases.
    jobs: Vec<(Name, Phase)>,
    /// Those of them that have a record in the batch.
    written: Vec<Name>,
    /// Jobs with a full record, and the row of their former one.
    full: Vec<(Name, Option<Name>)>,
    writes: Vec<RowWrite>,
}

/// The transaction under way.
#[derive(Debug)]
struct Batch {
    /// Call numbers of the sends without a reply.
    open_calls: Vec<u64>,
    transaction: Transaction,
    /// Number of the commit in the epoch.
    commit: u64,
    /// Jobs that are durable with the batch, with their phases.
    jobs: Vec<(Name, Phase)>,
    /// Those of them that have a record in the batch.
    written: Vec<Name>,
    /// Jobs with a full record, and the row of their former one.
    full: Vec<(Name, Option<Name>)>,
    /// Rows that it deletes, with their sizes.
    removed_rows: Vec<(Name, usize)>,
    /// Actions that are due once the batch is durable, with what they waited for.
    effects: Vec<(u64, Effect)>,
    /// Whether the batch releases leadership.
    is_release: bool,
    first_sent: Duration,
    last_sent: Duration,
    /// Call number of the head read under way, and when it was sent.
    head_read: Option<(u64, Duration)>,
    /// When the batch is next resent or checked.
    next_check: Duration,
    /// Delay before the next check.
    check_delay: Duration,
}

/// Changes that are queued for the store or being written.
#[expect(clippy::struct_excessive_bools, reason = "each is a separate condition")]
#[derive(Debug)]
pub(crate) struct Journal {
    /// The head row as of the latest commit.
    head: Head,
    /// The head row's version in the store.
    head_version: u64,
    /// Number of the latest commit that was built.
    last_commit_number: u64,
    /// Changed jobs, in the order in which they are written.
    write_queue: VecDeque<Name>,
    /// The jobs in `write_queue`.
    queued: HashSet<Name>,
    /// Number of jobs taken from `write_queue` so far.
    dequeued: u64,
    /// Deferred actions, each with the value of `dequeued` that it waits for.
    deferred: VecDeque<(u64, Effect)>,
    /// Queued jobs that are to be written in full although they have a record.
    moved: HashSet<Name>,
    /// The journal's rows by key, with those of the batch under way.
    rows: BTreeMap<Name, JournalRow>,
    /// Records of each job, with those of the batch under way.
    stored: HashMap<Name, StoredJob>,
    /// Size of all rows, in bytes.
    total_size: usize,
    /// Size of all valid records, in bytes.
    valid_size: usize,
    /// Whether the rows of previous leaders are known; none is removed before.
    is_restored: bool,
    batch: Option<Batch>,
    /// Search for the job at fault for a rejected transaction; none while there is none.
    search: Option<Search>,
    /// Time before which no batch is built after a rejection.
    not_before: Duration,
    /// Delay after the latest rejection of a transaction that wrote no job.
    rejected_delay: Duration,
    /// Jobs that cannot be stored before they have ended without remaining runs, and whether the
    /// store rejects their records even then.
    unstorable: HashMap<Name, bool>,
    /// Jobs newly found to be so.
    given_up: Vec<Name>,
    /// When the latest commit was confirmed.
    last_commit: Duration,
    /// Mean time from a send to its reply.
    mean_latency: Duration,
    /// Whether leadership is to be released once everything is written.
    is_releasing: bool,
    /// Whether the next commit is due even without changes.
    is_commit_requested: bool,
    /// Whether the latest log event about the store is that it is lost.
    is_store_lost: bool,
}

impl Journal {
    /// Creates the journal of a new leader, with the version of its head row.
    pub fn new(
        head: Head,
        head_version: u64,
        now: Duration,
        initial_commit_latency: Duration,
    ) -> Self {
        Self {
            last_commit_number: head.commit,
            head,
            head_version,
            write_queue: VecDeque::new(),
            queued: HashSet::new(),
            dequeued: 0,
            deferred: VecDeque::new(),
            moved: HashSet::new(),
            rows: BTreeMap::new(),
            stored: HashMap::new(),
            total_size: 0,
            valid_size: 0,
            is_restored: false,
            batch: None,
            search: None,
            not_before: now,
            rejected_delay: REFUSED_RETRY_DELAY,
            unstorable: HashMap::new(),
            given_up: Vec::new(),
            last_commit: now,
            mean_latency: initial_commit_latency,
            is_releasing: false,
            is_commit_requested: false,
            is_store_lost: false,
        }
    }

    /// Time since the latest commit.
    pub fn commit_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_commit)
    }

    /// Whether a commit that was first sent at a time is confirmed so late that another daemon may
    /// have taken over since.
    pub fn is_late_confirmation(&self, first_sent: Duration, now: Duration) -> bool {
        let usual = self.mean_latency * LATE_CONFIRMATION_FACTOR;
        now.saturating_sub(first_sent) > usual.max(LATE_CONFIRMATION)
    }

    /// Expected time until a change is durable.
    pub fn expected_latency(&self) -> Duration {
        self.mean_latency + GROUP_COMMIT_WINDOW
    }

    /// Queues jobs to be written; a job that is queued already keeps its position.
    pub fn enqueue(&mut self, jobs: BTreeSet<Name>) {
        for job in jobs {
            if self.queued.insert(job.clone()) {
                self.write_queue.push_back(job);
            }
        }
    }

    /// Defers an action until all jobs queued so far are durable.
    pub fn defer(&mut self, effect: Effect) {
        self.deferred.push_back((self.dequeued + self.write_queue.len() as u64, effect));
    }

    /// Adds a row with the size of its value.
    pub fn add_row(&mut self, row: Name, size: usize) {
        self.rows.entry(row).or_default().size = size;
        self.total_size += size;
    }

    /// Adds a job that was read: the row with its latest full record, and its size there.
    pub fn restore_job(&mut self, job: Name, row: Name, size: usize, state: StoredState) {
        self.set_full_record(job, StoredJob { row, size, state, is_outdated: false });
    }

    /// Size of all rows, in bytes.
    pub fn size(&self) -> usize {
        self.total_size
    }

    /// Allows rows to be removed, once all of them have been restored with their jobs.
    pub fn finish_restoring(&mut self) {
        self.is_restored = true;
    }

    /// Sets a job's latest full record; returns the row of the former one.
    fn set_full_record(&mut self, job: Name, record: StoredJob) -> Option<Name> {
        let former_row = self.remove_job(&job);
        self.rows.entry(record.row.clone()).or_default().jobs.insert(job.clone());
        self.valid_size += record.size;
        self.stored.insert(job, record);
        former_row
    }

    /// Removes a job; its records are removed with their rows. Returns the row of its full record.
    pub fn remove_job(&mut self, job: &Name) -> Option<Name> {
        let record = self.stored.remove(job)?;
        self.valid_size = self.valid_size.saturating_sub(record.size);
        if let Some(row) = self.rows.get_mut(&record.row) {
            row.jobs.remove(job);
        }
        Some(record.row)
    }

    /// Takes the jobs newly found to be impossible to store.
    pub fn take_given_up(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.given_up)
    }

    /// Gives up a job that cannot be stored; callers that wait for it are told.
    fn give_up(&mut self, id: &Name) {
        for (_, effect) in &mut self.deferred {
            let Effect::Answer(_, answer, job) = effect else { continue };
            if job == id {
                let is_new = *answer == Answer::Accepted;
                *answer = if is_new { Answer::TooLarge } else { Answer::OutcomeUnknown };
            }
        }
        if let Some(is_final) = self.unstorable.get_mut(id) {
            *is_final = true;
            return;
        }
        self.unstorable.insert(id.clone(), false);
        self.given_up.push(id.clone());
    }

    /// Forgets that a job was given up, as it no longer exists.
    pub fn forget_given_up(&mut self, id: &Name) {
        self.unstorable.remove(id);
    }

    /// Queues jobs of the oldest rows for rewriting once the journal is too large.
    fn compact(&mut self, compaction_row_limit: usize) {
        let size_limit = MIN_COMPACTED_BYTES + self.valid_size * MAX_SIZE_FACTOR;
        let is_too_large = self.rows.len() >= compaction_row_limit || self.total_size > size_limit;
        if !is_too_large || !self.is_restored || self.is_releasing || self.search.is_some() {
            return;
        }
        let oldest = self.rows.values().flat_map(|row| &row.jobs);
        let moved: BTreeSet<Name> = oldest.take(MAX_COMPACTED_PER_COMMIT).cloned().collect();
        self.moved.extend(moved.iter().cloned());
        self.enqueue(moved);
    }

    /// Takes the oldest rows, while they hold no job's latest full record, to be removed.
    fn take_empty_rows(&mut self, max_rows: usize) -> Vec<(Name, usize)> {
        let mut removable = Vec::new();
        while self.is_restored && self.search.is_none() && removable.len() < max_rows {
            let Some(oldest) = self.rows.first_entry().filter(|row| row.get().jobs.is_empty())
            else {
                break;
            };
            let (key, row) = oldest.remove_entry();
            self.total_size = self.total_size.saturating_sub(row.size);
            removable.push((key, row.size));
        }
        removable
    }

    /// Releases leadership with the batch that empties the queue; nothing more is rewritten.
    pub fn release_leadership(&mut self) {
        self.is_releasing = true;
        self.moved.clear();
    }

    /// Store time of the last resignation for slowness, in ms; 0 for never.
    pub fn last_slow_resignation_ms(&self) -> u64 {
        self.head.slow_ms
    }

    /// Records a resignation for slowness at a store time in ms.
    pub fn record_slow_resignation(&mut self, store_clock_ms: u64) {
        self.head.slow_ms = store_clock_ms;
    }

    /// Store time of the last release to a larger daemon, in ms; 0 for never.
    pub fn last_promotion_ms(&self) -> u64 {
        self.head.promotion_ms
    }

    /// Records a release to a larger daemon at a store time in ms.
    pub fn record_promotion(&mut self, store_clock_ms: u64) {
        self.head.promotion_ms = store_clock_ms;
    }

    /// Requests a commit even if nothing has changed, to confirm leadership.
    pub fn request_commit(&mut self) {
        self.is_commit_requested = true;
    }

    /// Sends the next batch, or resends or checks the current one, when due.
    pub fn commit_if_due(&mut self, ctx: &mut Context, scheduler: &Scheduler) {
        let now = ctx.now;
        if !self.is_store_lost && self.commit_age(now) > STORE_LOST_AFTER {
            self.is_store_lost = true;
            log_event!(ctx, StoreLost, "age_ms" => self.commit_age(now).as_millis() as u64);
        }
        if let Some(batch) = &mut self.batch {
            batch.resend_or_check(ctx);
            return;
        }
        let age = self.commit_age(now);
        let has_work = !self.write_queue.is_empty() || !self.deferred.is_empty();
        let is_due = (has_work && age >= GROUP_COMMIT_WINDOW)
            || age >= IDLE_COMMIT_INTERVAL
            || self.is_commit_requested
            || self.is_releasing;
        if is_due && now >= self.not_before {
            let mut batch = self.build_batch(ctx, scheduler);
            batch.send(ctx);
            self.batch = Some(batch);
        }
    }

    /// Builds a batch from the queued jobs, obsolete rows and deferred actions.
    fn build_batch(&mut self, ctx: &Context, scheduler: &Scheduler) -> Batch {
        let mut head = self.head.clone();
        self.last_commit_number += 1;
        head.commit = self.last_commit_number;
        self.compact(ctx.config.compaction_row_limit);
        let Packed { jobs, written, full, mut writes } =
            self.pack_rows(ctx, scheduler, head.commit);
        let max_rows = ctx.config.max_transaction_rows;
        let removed_rows =
            self.take_empty_rows(max_rows.saturating_sub(writes.len() + HEAD_ENTRIES));
        let deletes = removed_rows.iter();
        let deletes = deletes.map(|(key, _)| RowKey { table: POOL_TABLE, key: key.clone() });
        let deletes = deletes.collect();
        let ready =
            self.deferred.iter().take_while(|(required, _)| *required <= self.dequeued).count();
        let effects = self.deferred.drain(..ready).collect();
        let is_release =
            self.is_releasing && self.write_queue.is_empty() && self.deferred.is_empty();
        head.is_released = is_release;
        self.is_commit_requested = false;
        let checked_row = RowKey { table: POOL_TABLE, key: Name::new(HEAD_KEY) };
        writes.push(RowWrite { key: checked_row.clone(), value: head.to_row() });
        let transaction =
            Transaction { checked_row, expected_version: self.head_version, writes, deletes };
        Batch {
            open_calls: Vec::new(),
            transaction,
            commit: head.commit,
            jobs,
            written,
            full,
            removed_rows,
            effects,
            is_release,
            first_sent: ctx.now,
            last_sent: ctx.now,
            head_read: None,
            next_check: ctx.now,
            check_delay: (self.mean_latency * CHECK_DELAY_FACTOR).max(MIN_CHECK_DELAY),
        }
    }

    /// Packs queued jobs into rows, up to the transaction's limits.
    fn pack_rows(&mut self, ctx: &Context, scheduler: &Scheduler, commit: u64) -> Packed {
        let max_rows = ctx.config.max_transaction_rows.saturating_sub(HEAD_ENTRIES);
        let max_row_bytes = ctx.config.max_row_bytes;
        let max_jobs = self.search.as_ref().map_or(usize::MAX, |search| search.max_jobs);
        let group_commit_bytes = ctx.config.group_commit_bytes();
        let mut packed = Packed::default();
        let (mut segment, mut packed_size) = (SegmentBuilder::default(), 0);
        while packed_size + segment.size() < group_commit_bytes
            && packed.writes.len() < max_rows
            && packed.written.len() < max_jobs
        {
            let Some(id) = self.write_queue.front().cloned() else { break };
            let Some(job) = scheduler.jobs.get(&id) else {
                self.unstorable.remove(&id);
                self.dequeue();
                continue;
            };
            let diff = self.diff(&id, job);
            if !self.may_store(&id, &diff) {
                self.dequeue();
                continue;
            }
            if diff.is_empty() {
                packed.jobs.push((id, job.phase));
                self.dequeue();
                continue;
            }
            let Some(parts) = diff.split(max_row_bytes) else {
                self.give_up(&id);
                continue;
            };
            if parts.len() > 1 {
                let size: usize = parts.iter().map(|(_, size)| size).sum();
                if size > ctx.config.max_transaction_bytes || parts.len() > max_rows {
                    self.give_up(&id);
                    continue;
                }
                // It fits a transaction of its own.
                let open_rows = packed.writes.len() + usize::from(segment.size() > 0);
                let is_first = open_rows == 0;
                let total = packed_size + segment.size() + size;
                let fits = total <= group_commit_bytes && open_rows + parts.len() <= max_rows;
                if !is_first && !fits {
                    break;
                }
            } else if packed.writes.len() + 1 == max_rows
                && segment.size() > 0
                && segment.size() + parts[0].1 > max_row_bytes
            {
                break;
            }
            self.dequeue();
            packed.written.push(id.clone());
            packed.jobs.push((id.clone(), job.phase));
            for (part, max_size) in parts {
                if segment.size() > 0 && segment.size() + max_size > max_row_bytes {
                    packed_size += segment.size();
                    self.add_row_write(commit, &mut packed.writes, std::mem::take(&mut segment));
                }
                let size = segment.add(&part);
                if part.is_full() {
                    let row = self.row_key(commit, packed.writes.len());
                    let state = StoredState::of(job);
                    let record = StoredJob { row, size, state, is_outdated: false };
                    let former_row = self.set_full_record(id.clone(), record);
                    packed.full.push((id.clone(), former_row));
                } else if let Some(stored) = self.stored.get_mut(&id) {
                    stored.state.apply(&part);
                    stored.size += size;
                    self.valid_size += size;
                }
            }
        }
        if segment.size() > 0 {
            self.add_row_write(commit, &mut packed.writes, segment);
        }
        packed
    }

    /// Takes the first job from the queue.
    fn dequeue(&mut self) {
        if let Some(id) = self.write_queue.pop_front() {
            self.queued.remove(&id);
            self.moved.remove(&id);
            self.dequeued += 1;
        }
    }

    /// What is to be written of a queued job.
    fn diff<'a>(&self, id: &Name, job: &'a Job) -> JobDiff<'a> {
        let stored = self.stored.get(id);
        match stored.filter(|stored| !stored.is_outdated && !self.moved.contains(id)) {
            Some(stored) => JobDiff::since(&stored.state, job),
            None => JobDiff::full(job),
        }
    }

    /// Whether a job is not given up, or its record has become small.
    fn may_store(&self, id: &Name, diff: &JobDiff<'_>) -> bool {
        self.unstorable.get(id).is_none_or(|is_final| !is_final && diff.is_reduced())
    }

    /// Takes back the batch under way, which the store has rejected, and limits the next one.
    ///
    /// A late copy of it that takes effect nevertheless has another commit number than the next
    /// batch, which then conflicts, and leadership is given up.
    fn take_back_batch(&mut self, ctx: &Context) {
        let Some(batch) = self.batch.take() else { return };
        let transaction = &batch.transaction;
        log_event!(ctx, CommitRejected, "jobs" => batch.written.len(),
            "rows" => transaction.writes.len(), "deleted_rows" => transaction.deletes.len(),
            "bytes" => transaction.size());
        for write in &transaction.writes {
            if let Some(row) = self.rows.remove(&write.key.key) {
                self.total_size = self.total_size.saturating_sub(row.size);
            }
        }
        for (row, size) in batch.removed_rows {
            self.add_row(row, size);
        }
        for (id, former_row) in batch.full {
            let Some(former_row) = former_row else {
                self.remove_job(&id);
                continue;
            };
            if let Some(stored) = self.stored.get_mut(&id) {
                self.rows.entry(former_row.clone()).or_default().jobs.insert(id);
                stored.row = former_row;
            }
        }
        for (id, _) in batch.jobs.into_iter().rev() {
            if let Some(stored) = self.stored.get_mut(&id) {
                stored.is_outdated = true;
            }
            self.queued.insert(id.clone());
            self.write_queue.push_front(id);
            self.dequeued -= 1;
        }
        for effect in batch.effects.into_iter().rev() {
            self.deferred.push_front(effect);
        }
        let mut delay = REFUSED_RETRY_DELAY;
        self.search = Some(match &*batch.written {
            [] => {
                delay = self.rejected_delay;
                self.rejected_delay = (delay * 2).min(MAX_REJECTED_DELAY);
                Search { max_jobs: 1, suspect: None }
            }
            [suspect] => Search { max_jobs: 0, suspect: Some(suspect.clone()) },
            jobs => Search { max_jobs: jobs.len() / 2, suspect: None },
        });
        self.not_before = ctx.now + delay;
    }

    /// Continues the search for a job at fault after a commit.
    fn continue_search(&mut self, search: Search) {
        if let Some(suspect) = search.suspect {
            self.give_up(&suspect);
        } else if search.max_jobs < SEARCH_END_JOBS {
            let max_jobs = search.max_jobs * 2;
            self.search = Some(Search { max_jobs, suspect: None });
        }
    }

    /// Adds the write of a journal row to those of a commit.
    fn add_row_write(&mut self, commit: u64, writes: &mut Vec<RowWrite>, segment: SegmentBuilder) {
        let key = self.row_key(commit, writes.len());
        let value = segment.finish();
        self.add_row(key.clone(), value.len());
        writes.push(RowWrite { key: RowKey { table: POOL_TABLE, key }, value });
    }

    /// Key of a journal row; keys sort in write order.
    fn row_key(&self, commit: u64, number: usize) -> Name {
        let epoch = self.head.epoch;
        Name::from(format!("{JOURNAL_KEY_PREFIX}{epoch:010}/{commit:010}/{number:03}").as_str())
    }

    /// Handles the store's reply to a commit.
    pub fn handle_commit(
        &mut self,
        ctx: &mut Context,
        call: u64,
        commit: CommitResult,
    ) -> CommitOutcome {
        let Some(batch) = self.batch.as_mut() else { return CommitOutcome::NoChange };
        let Some(position) = batch.open_calls.iter().position(|own| *own == call) else {
            return CommitOutcome::NoChange;
        };
        batch.open_calls.swap_remove(position);
        match commit {
            CommitResult::Committed { version, .. } => {
                let took = ctx.now.saturating_sub(batch.last_sent);
                let decayed = self.mean_latency.mul_f64(1.0 - LATENCY_SMOOTHING);
                self.mean_latency = decayed + took.mul_f64(LATENCY_SMOOTHING);
                self.finish_batch(ctx, version)
            }
            CommitResult::Conflict { row } => self.resolve_conflict(ctx, row),
            CommitResult::Rejected => {
                ctx.meter.add(Counter::Commits, "rejected", 1);
                self.take_back_batch(ctx);
                CommitOutcome::NoChange
            }
            CommitResult::Refused | CommitResult::Unknown => {
                let label = if commit == CommitResult::Refused { "refused" } else { "unanswered" };
                ctx.meter.add(Counter::Commits, label, 1);
                if batch.open_calls.is_empty() {
                    batch.next_check = batch.next_check.min(ctx.now + REFUSED_RETRY_DELAY);
                }
                CommitOutcome::NoChange
            }
        }
    }

    /// Handles the head row read for an unanswered commit; none if that failed.
    pub fn handle_head_read(
        &mut self,
        ctx: &mut Context,
        call: u64,
        page: Option<&Page>,
    ) -> CommitOutcome {
        let Some(batch) = self.batch.as_mut() else { return CommitOutcome::NoChange };
        let Some((_, sent)) = batch.head_read.take_if(|(own, _)| *own == call) else {
            return CommitOutcome::NoChange;
        };
        let took = ctx.now.saturating_sub(sent);
        let row = page.and_then(|page| page.rows.first().cloned());
        let found = row.as_ref().and_then(|row| Head::from_row(&row.value).ok());
        let (Some(row), Some(found)) = (row, found) else {
            batch.next_check = ctx.now + batch.check_delay;
            return CommitOutcome::NoChange;
        };
        if found.epoch != self.head.epoch {
            return CommitOutcome::Superseded { epoch: found.epoch };
        }
        if found.commit == batch.commit {
            ctx.meter.add(Counter::Commits, "found", 1);
            return self.finish_batch(ctx, row.version);
        }
        if took <= FAST_READ_LIMIT {
            batch.send(ctx);
        } else {
            batch.check_delay = (batch.check_delay * CHECK_BACKOFF_FACTOR).min(COMMIT_TIMEOUT);
            batch.next_check = ctx.now + batch.check_delay;
        }
        CommitOutcome::NoChange
    }

    /// Distinguishes a batch that took effect without a reply from a change of leader.
    fn resolve_conflict(&mut self, ctx: &mut Context, row: Option<Row>) -> CommitOutcome {
        let found = row.as_ref().and_then(|row| Head::from_row(&row.value).ok());
        let expected = self.batch.as_ref().map(|batch| batch.commit);
        match (row, found) {
            (Some(row), Some(found))
                if found.epoch == self.head.epoch && Some(found.commit) == expected =>
            {
                self.finish_batch(ctx, row.version)
            }
            (_, found) => CommitOutcome::Superseded { epoch: found.map_or(0, |head| head.epoch) },
        }
    }

    /// Completes the batch under way, which is durable.
    fn finish_batch(&mut self, ctx: &mut Context, version: u64) -> CommitOutcome {
        let Some(batch) = self.batch.take() else { return CommitOutcome::NoChange };
        self.head_version = version;
        self.head.commit = batch.commit;
        let took = ctx.now.saturating_sub(batch.first_sent);
        ctx.meter.record_duration(Timing::Commit, took);
        self.last_commit = ctx.now;
        self.rejected_delay = REFUSED_RETRY_DELAY;
        if let Some(search) = self.search.take() {
            self.continue_search(search);
        }
        if self.is_store_lost {
            self.is_store_lost = false;
            log_event!(ctx, StoreRecovered, "took_ms" => took.as_millis() as u64);
        }
        if batch.is_release {
            return CommitOutcome::Released;
        }
        CommitOutcome::Durable {
            jobs: batch.jobs,
            effects: batch.effects.into_iter().map(|(_, effect)| effect).collect(),
            first_sent: batch.first_sent,
        }
    }
}

impl Batch {
    /// Sends the transaction, always unchanged.
    fn send(&mut self, ctx: &mut Context) {
        let call = ctx.next_call_id();
        self.open_calls.push(call);
        self.last_sent = ctx.now;
        let transfer_time = ctx.config.capacity.transfer_time(self.transaction.size());
        self.next_check = ctx.now + self.check_delay + transfer_time;
        let transaction = self.transaction.clone();
        ctx.actions.push(Action::Commit { call, transaction, timeout: COMMIT_TIMEOUT });
    }

    /// When due, resends a batch without open sends, or else reads the head row.
    fn resend_or_check(&mut self, ctx: &mut Context) {
        if ctx.now < self.next_check || self.head_read.is_some() {
            return;
        }
        if self.open_calls.is_empty() {
            self.send(ctx);
            return;
        }
        let call = ctx.next_call_id();
        self.head_read = Some((call, ctx.now));
        ctx.actions.push(read_head(call, COMMIT_TIMEOUT));
    }
}
