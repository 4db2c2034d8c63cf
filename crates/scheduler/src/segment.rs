//! Conversion of jobs to the records of a segment and back.
//!
//! The first record of a job is full. Later ones tell only the tasks that changed, so they are
//! valid together with the full record and all changes before them. A record that is too large
//! for a segment is split: the further parts are changes, in segments that follow it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use common::Name;
use prost::Message;
use prost::encoding::encoded_len_varint;

use crate::job::{Job, Phase, Site, StoredWorker, Task};
use crate::record::{
    ChangeRecord, EndedRecord, FullRecord, QueueEntry, Segment, Submission, TaskStates,
};
use crate::rules::Queue;
use crate::validation::MAX_STORED_TASKS;

/// Most bytes that a record's or name's tag and length take in a segment.
const FIELD_OVERHEAD_BYTES: usize = 6;

/// Most bytes of a full record or change without its submission or id and its tasks.
const MAX_FIXED_BYTES: usize = 128;

/// Most bytes of a number in a record.
const MAX_NUMBER_BYTES: usize = 5;

/// Most bytes of a worker's incarnation in a record.
const MAX_INCARNATION_BYTES: usize = 10;

/// What the store holds of a job's state.
#[derive(Debug, Clone)]
pub struct StoredState {
    phase: Phase,
    /// State of each step; empty for an ended job's record.
    steps: Vec<StoredStep>,
}

#[derive(Debug, Clone)]
struct StoredStep {
    tasks: Vec<Task>,
    failed_run: u32,
}

/// The kinds of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordKind {
    Full,
    Change,
    Ended,
}

/// What is to be written of a job.
#[derive(Debug)]
pub struct JobDiff<'a> {
    job: &'a Job,
    kind: RecordKind,
    /// Tasks that the record tells, by their number in the job.
    tasks: Vec<(u32, &'a Task)>,
    /// Index and latest failed gang run of each step whose failed run the record tells.
    failed_runs: Vec<(u32, u32)>,
}

/// Collects records into a segment.
#[derive(Debug, Default)]
pub struct SegmentBuilder {
    segment: Segment,
    /// Position of each worker in the segment's list, by id and incarnation.
    worker_positions: HashMap<(Name, u64), u32>,
    /// Upper bound of the encoded size.
    size: usize,
}

/// A record read from a segment.
#[derive(Debug)]
pub enum Restored {
    /// A job's full state.
    Job(Job),
    /// A change of a job.
    Change(ChangeRecord),
    /// An inconsistent record of the job with this id.
    Invalid(String),
}

impl StoredState {
    /// The state of a job that is about to be stored, or that was read.
    pub fn of(job: &Job) -> Self {
        let steps = job.steps.iter().filter(|_| job.needs_details());
        let to_stored = |step: &crate::StepState| StoredStep {
            tasks: step.tasks.clone(),
            failed_run: step.failed_run,
        };
        Self { phase: job.phase, steps: steps.map(to_stored).collect() }
    }

    /// Takes over what a diff tells.
    pub fn apply(&mut self, diff: &JobDiff<'_>) {
        let mut remaining = self.steps.iter_mut().flat_map(|step| &mut step.tasks);
        let mut next_number = 0;
        // A diff lists tasks in the order of their numbers.
        for (number, task) in &diff.tasks {
            if let Some(stored) = remaining.nth((number - next_number) as usize) {
                *stored = (*task).clone();
            }
            next_number = number + 1;
        }
        for (index, failed_run) in &diff.failed_runs {
            if let Some(step) = self.steps.get_mut(*index as usize) {
                step.failed_run = *failed_run;
            }
        }
    }
}

impl<'a> JobDiff<'a> {
    /// What a full record of a job tells.
    pub fn full(job: &'a Job) -> Self {
        let (mut tasks, mut failed_runs) = (Vec::new(), Vec::new());
        if !job.needs_details() {
            return Self { job, kind: RecordKind::Ended, tasks, failed_runs };
        }
        let mut number = 0;
        for (index, step) in job.steps.iter().enumerate() {
            for task in &step.tasks {
                if !task.is_initial() {
                    tasks.push((number, task));
                }
                number += 1;
            }
            if step.failed_run > 0 {
                failed_runs.push((index as u32, step.failed_run));
            }
        }
        Self { job, kind: RecordKind::Full, tasks, failed_runs }
    }

    /// What changed of a job since `stored`; a full record if its phase changed.
    pub fn since(stored: &StoredState, job: &'a Job) -> Self {
        let has_details = !stored.steps.is_empty();
        if job.phase != stored.phase || job.needs_details() != has_details {
            return Self::full(job);
        }
        let (mut tasks, mut failed_runs) = (Vec::new(), Vec::new());
        let mut number = 0;
        for (index, (step, known)) in job.steps.iter().zip(&stored.steps).enumerate() {
            for (task, known) in step.tasks.iter().zip(&known.tasks) {
                if task != known {
                    tasks.push((number, task));
                }
                number += 1;
            }
            if step.failed_run != known.failed_run {
                failed_runs.push((index as u32, step.failed_run));
            }
        }
        Self { job, kind: RecordKind::Change, tasks, failed_runs }
    }

    /// Whether it is a full record.
    pub fn is_full(&self) -> bool {
        self.kind != RecordKind::Change
    }

    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        !self.is_full() && self.tasks.is_empty() && self.failed_runs.is_empty()
    }

    /// Whether it is the record of an ended job without remaining runs.
    pub fn is_reduced(&self) -> bool {
        self.kind == RecordKind::Ended
    }

    /// Upper bound of the bytes that it adds to a segment.
    pub fn max_size(&self) -> usize {
        let tasks = self.tasks.iter().map(|(number, task)| {
            let workers = named_workers(task).map(max_worker_size);
            max_state_size(*number, task) + workers.sum::<usize>()
        });
        let failed_runs = self.failed_runs.len() * 2 * MAX_NUMBER_BYTES;
        self.max_base_size() + tasks.sum::<usize>() + failed_runs
    }

    /// Upper bound of its size without any tasks.
    fn max_base_size(&self) -> usize {
        let queue_rules = self.job.queue_rules.as_ref().map_or(0, Message::encoded_len);
        let queue = self.job.queue.len() + queue_rules + 2 * FIELD_OVERHEAD_BYTES;
        let fixed = match self.kind {
            RecordKind::Full => self.job.submission.encoded_len() + queue,
            RecordKind::Change => self.job.id.len(),
            RecordKind::Ended => {
                self.job.id.len() + queue + self.job.workspace.len() + FIELD_OVERHEAD_BYTES
            }
        };
        MAX_FIXED_BYTES + fixed
    }

    /// Splits it into parts that each add at most `max_size` bytes to a segment.
    ///
    /// Each part comes with the upper bound of its size. They are valid in segments in their
    /// order, or in one. `None` if what cannot be divided is larger: the submission, or the state
    /// of one task.
    pub fn split(self, max_size: usize) -> Option<Vec<(Self, usize)>> {
        let whole_size = self.max_size();
        if whole_size <= max_size {
            return Some(vec![(self, whole_size)]);
        }
        let Self { job, kind, tasks, failed_runs } = self;
        let mut splitter = Splitter::new(job, kind, max_size);
        for (number, task) in tasks {
            splitter.add_task(number, task)?;
        }
        for failed_run in failed_runs {
            splitter.add_failed_run(failed_run)?;
        }
        splitter.finish()
    }
}

/// Divides a diff into parts of a limited size.
struct Splitter<'a> {
    max_size: usize,
    parts: Vec<(JobDiff<'a>, usize)>,
    /// The part that is being filled.
    part: JobDiff<'a>,
    /// Upper bound of its size.
    size: usize,
    /// Workers that it names; a segment lists each once.
    workers: HashSet<(&'a Name, u64)>,
}

impl<'a> Splitter<'a> {
    fn new(job: &'a Job, kind: RecordKind, max_size: usize) -> Self {
        let part = JobDiff { job, kind, tasks: Vec::new(), failed_runs: Vec::new() };
        let size = part.max_base_size();
        Self { max_size, parts: Vec::new(), part, size, workers: HashSet::new() }
    }

    /// Adds a task to the current part, or to a new one.
    fn add_task(&mut self, number: u32, task: &'a Task) -> Option<()> {
        let state_size = max_state_size(number, task);
        let new_workers =
            named_workers(task).filter(|worker| !self.workers.contains(&life(*worker)));
        let added = state_size + new_workers.map(max_worker_size).sum::<usize>();
        if self.size + added <= self.max_size {
            self.size += added;
        } else {
            let workers = named_workers(task).map(max_worker_size);
            self.start_part(state_size + workers.sum::<usize>())?;
        }
        self.workers.extend(named_workers(task).map(life));
        self.part.tasks.push((number, task));
        Some(())
    }

    /// Adds the failed run of a step to the current part, or to a new one.
    fn add_failed_run(&mut self, failed_run: (u32, u32)) -> Option<()> {
        let added = 2 * MAX_NUMBER_BYTES;
        if self.size + added <= self.max_size {
            self.size += added;
        } else {
            self.start_part(added)?;
        }
        self.part.failed_runs.push(failed_run);
        Some(())
    }

    /// Starts a part with `added` bytes; `None` if they exceed the limit.
    fn start_part(&mut self, added: usize) -> Option<()> {
        let job = self.part.job;
        let kind = RecordKind::Change;
        let next = JobDiff { job, kind, tasks: Vec::new(), failed_runs: Vec::new() };
        let size = next.max_base_size() + added;
        self.parts.push((std::mem::replace(&mut self.part, next), self.size));
        self.size = size;
        self.workers.clear();
        (size <= self.max_size).then_some(())
    }

    /// The parts; `None` if the first one alone exceeds the limit.
    fn finish(mut self) -> Option<Vec<(JobDiff<'a>, usize)>> {
        self.parts.push((self.part, self.size));
        self.parts.iter().all(|(_, size)| *size <= self.max_size).then_some(self.parts)
    }
}

/// Upper bound of the bytes that a record holds for a task, without the names of workers.
fn max_state_size(number: u32, task: &Task) -> usize {
    let number_size = encoded_len_varint(number.into());
    let run = u64::from(task.run) * 2 + 1;
    let mut size = number_size + encoded_len_varint(run) + MAX_NUMBER_BYTES;
    if task.failed_runs > 0 {
        size += number_size + encoded_len_varint(task.failed_runs.into());
    }
    if task.crashed_workers() > 0 {
        size += number_size + 2 * MAX_NUMBER_BYTES;
    }
    size += task.silent_workers.len() * (number_size + MAX_NUMBER_BYTES);
    if !task.checkpoint.is_empty() {
        size += number_size + task.checkpoint.len() + FIELD_OVERHEAD_BYTES;
    }
    size
}

/// Upper bound of the bytes that a worker takes in a segment.
fn max_worker_size((id, site): (&Name, Option<&Arc<Site>>)) -> usize {
    let address = site.map_or(0, |site| site.address.len());
    id.len() + address + MAX_INCARNATION_BYTES + 2 * FIELD_OVERHEAD_BYTES
}

/// The workers that a record names for a task, and where they were.
fn named_workers(task: &Task) -> impl Iterator<Item = (&Name, Option<&Arc<Site>>)> {
    let present = task.worker.as_ref().map(|worker| (worker, task.site.as_ref()));
    let silent = task.silent_workers.iter().map(|worker| (&worker.id, worker.site.as_ref()));
    present.into_iter().chain(silent)
}

/// A worker's id and the start of the life that a record means; 0 if it is unknown.
fn life<'a>((id, site): (&'a Name, Option<&Arc<Site>>)) -> (&'a Name, u64) {
    (id, site.map_or(0, |site| site.incarnation))
}

/// Upper bound of the size of a job's full record without any tasks.
pub fn max_base_size(submission: &Submission, queue: &Queue) -> usize {
    let queue_size = queue.name.len() + queue.record().encoded_len() + 2 * FIELD_OVERHEAD_BYTES;
    MAX_FIXED_BYTES + submission.encoded_len() + queue_size
}

impl SegmentBuilder {
    /// Upper bound of the segment's encoded size.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Adds a record; returns its approximate size.
    pub fn add(&mut self, diff: &JobDiff<'_>) -> usize {
        let before = self.size;
        let job = diff.job;
        let states = self.task_states(diff);
        let record_size = match diff.kind {
            RecordKind::Full => {
                let record = FullRecord {
                    submission: job.submission.clone(),
                    queue: self.queue_position(job),
                    arrived_ms: job.arrived_ms,
                    phase: job.phase.number(),
                    ended_ms: job.ended_ms,
                    states,
                };
                let size = record.encoded_len();
                self.segment.full.push(record);
                size
            }
            RecordKind::Change => {
                let record = ChangeRecord { id: job.id.to_string(), states };
                let size = record.encoded_len();
                self.segment.changes.push(record);
                size
            }
            RecordKind::Ended => {
                let record = EndedRecord {
                    id: job.id.to_string(),
                    queue: self.queue_position(job),
                    arrived_ms: job.arrived_ms,
                    phase: job.phase.number(),
                    ended_ms: job.ended_ms,
                    workspace: job.workspace.to_string(),
                };
                let size = record.encoded_len();
                self.segment.ended.push(record);
                size
            }
        };
        self.size += record_size + FIELD_OVERHEAD_BYTES;
        self.size - before
    }

    /// The encoded segment.
    pub fn finish(self) -> Vec<u8> {
        self.segment.encode_to_vec()
    }

    /// Position of a job's queue in the segment's list.
    fn queue_position(&mut self, job: &Job) -> u32 {
        // The state of an ended job does not depend on its queue's rules.
        let rules = job.queue_rules.as_ref().filter(|_| job.phase == Phase::Open);
        let is_same =
            |entry: &QueueEntry| *entry.name == *job.queue && entry.rules.as_ref() == rules;
        if let Some(position) = self.segment.queues.iter().position(is_same) {
            return position as u32;
        }
        let entry = QueueEntry { name: job.queue.to_string(), rules: rules.cloned() };
        self.size += entry.encoded_len() + FIELD_OVERHEAD_BYTES;
        self.segment.queues.push(entry);
        self.segment.queues.len() as u32 - 1
    }

    /// Position of a worker in the segment's list plus 1.
    fn worker_number(&mut self, worker: (&Name, Option<&Arc<Site>>)) -> u32 {
        let next = self.worker_positions.len() as u32;
        let (id, incarnation) = life(worker);
        let position = *self.worker_positions.entry((id.clone(), incarnation)).or_insert(next);
        if position == next {
            self.size += max_worker_size(worker);
            self.segment.workers.push(id.to_string());
            let address = worker.1.map_or("", |site| &site.address);
            self.segment.worker_addresses.push(address.to_owned());
            self.segment.worker_incarnations.push(incarnation);
        }
        position + 1
    }

    /// Encodes the task states of a diff.
    fn task_states(&mut self, diff: &JobDiff<'_>) -> TaskStates {
        let mut states = TaskStates::default();
        for (number, task) in &diff.tasks {
            let run = task.run * 2 + u32::from(task.is_done);
            let worker = task.worker.as_ref().map(|worker| (worker, task.site.as_ref()));
            let worker = worker.map_or(0, |worker| self.worker_number(worker));
            states.tasks.extend([*number, run, worker]);
            if task.failed_runs > 0 {
                states.failed.extend([*number, task.failed_runs]);
            }
            if task.crashed_workers() > 0 {
                states.lost_workers.extend([
                    *number,
                    task.crashes.into(),
                    task.doubtful_crashes.into(),
                ]);
            }
            for silent in &task.silent_workers {
                let worker = self.worker_number((&silent.id, silent.site.as_ref()));
                states.silent_workers.extend([*number, worker]);
            }
            if !task.checkpoint.is_empty() {
                states.saved_tasks.push(*number);
                states.saved.push(task.checkpoint.to_string());
            }
        }
        for (index, failed_run) in &diff.failed_runs {
            states.failed_runs.extend([*index, *failed_run]);
        }
        states
    }
}

impl Segment {
    /// Passes each record to `visit`, with its size and the segment's workers.
    pub fn restore(self, mut visit: impl FnMut(Restored, usize, &[StoredWorker])) {
        let mut addresses = self.worker_addresses.iter();
        let mut incarnations = self.worker_incarnations.iter();
        let workers = self.workers.iter().map(|id| {
            let address = addresses.next().map(|address| Name::new(address));
            let site = address.zip(incarnations.next().copied());
            let site = site.map(|(address, incarnation)| Site { address, incarnation });
            let site = site.filter(|site| *site != Site::default()).map(Arc::new);
            StoredWorker { id: Name::new(id), site }
        });
        let workers: Vec<StoredWorker> = workers.collect();
        for record in self.jobs {
            let size = record.encoded_len();
            let id = record.submission.id.clone();
            let job = Job::from_record(record, Duration::ZERO);
            visit(job.map_or(Restored::Invalid(id), Restored::Job), size, &workers);
        }
        for record in self.full {
            let size = record.encoded_len();
            let id = record.submission.id.clone();
            let job = job_from_full_record(record, &self.queues, &workers);
            visit(job.map_or(Restored::Invalid(id), Restored::Job), size, &workers);
        }
        for record in self.ended {
            let size = record.encoded_len();
            let id = record.id.clone();
            let job = job_from_ended_record(record, &self.queues);
            visit(job.map_or(Restored::Invalid(id), Restored::Job), size, &workers);
        }
        for record in self.changes {
            let size = record.encoded_len();
            visit(Restored::Change(record), size, &workers);
        }
    }
}

impl Job {
    /// Applies states read from a record; false if they are inconsistent with the job.
    pub fn apply_states(&mut self, states: TaskStates, workers: &[StoredWorker]) -> bool {
        let mut tasks: Vec<&mut Task> =
            self.steps.iter_mut().flat_map(|step| &mut step.tasks).collect();
        for state in states.tasks.chunks(3) {
            let [number, run, worker] = *state else { return false };
            let Some(task) = tasks.get_mut(number as usize) else { return false };
            let worker = match worker {
                0 => None,
                number => match find_worker(workers, number) {
                    None => return false,
                    found => found,
                },
            };
            let (worker, site) =
                worker.map_or((None, None), |worker| (Some(worker.id), worker.site));
            **task = Task { is_done: run % 2 == 1, run: run / 2, worker, site, ..Task::new() };
            self.has_started |= task.is_done;
        }
        for pair in states.failed.chunks(2) {
            let [number, failed_runs] = *pair else { return false };
            let Some(task) = tasks.get_mut(number as usize) else { return false };
            task.failed_runs = failed_runs;
            self.has_started = true;
        }
        for lost in states.lost_workers.chunks(3) {
            let [number, crashes, doubtful] = *lost else { return false };
            let Some(task) = tasks.get_mut(number as usize) else { return false };
            let count = |lost: u32| lost.try_into().unwrap_or(u8::MAX);
            (task.crashes, task.doubtful_crashes) = (count(crashes), count(doubtful));
            self.has_started = true;
        }
        for pair in states.silent_workers.chunks(2) {
            let [number, worker] = *pair else { return false };
            let Some(task) = tasks.get_mut(number as usize) else { return false };
            let Some(worker) = find_worker(workers, worker) else { return false };
            task.silent_workers.push(worker);
            self.has_started = true;
        }
        for (number, checkpoint) in states.saved_tasks.iter().zip(states.saved) {
            let Some(task) = tasks.get_mut(*number as usize) else { return false };
            task.checkpoint = Name::from(checkpoint);
            self.has_started = true;
        }
        for pair in states.failed_runs.chunks(2) {
            let [index, failed_run] = *pair else { return false };
            let Some(step) = self.steps.get_mut(index as usize) else { return false };
            step.failed_run = failed_run;
        }
        true
    }
}

/// The worker at a position in a segment's list, given plus 1.
fn find_worker(workers: &[StoredWorker], number: u32) -> Option<StoredWorker> {
    workers.get((number as usize).checked_sub(1)?).cloned()
}

/// Creates a job from its full record; `None` if the record is inconsistent.
fn job_from_full_record(
    record: FullRecord,
    queues: &[QueueEntry],
    workers: &[StoredWorker],
) -> Option<Job> {
    let phase = Phase::from_number(record.phase)?;
    let queue = queues.get(record.queue as usize)?;
    if record.submission.task_count() > MAX_STORED_TASKS {
        return None;
    }
    let name = Name::new(&queue.name);
    let mut job = Job::new(record.submission, name, Duration::ZERO, record.arrived_ms);
    job.queue_rules.clone_from(&queue.rules);
    job.phase = phase;
    job.durable_phase = Some(phase);
    job.ended_ms = record.ended_ms;
    job.apply_states(record.states, workers).then_some(job)
}

/// Creates a job from an ended job's record; `None` if the record is inconsistent.
fn job_from_ended_record(record: EndedRecord, queues: &[QueueEntry]) -> Option<Job> {
    let phase = Phase::from_number(record.phase).filter(|phase| *phase != Phase::Open)?;
    let queue = Name::new(&queues.get(record.queue as usize)?.name);
    let submission =
        Submission { id: record.id, workspace: record.workspace, ..Submission::default() };
    let mut job = Job::new(submission, queue, Duration::ZERO, record.arrived_ms);
    job.phase = phase;
    job.durable_phase = Some(phase);
    job.ended_ms = record.ended_ms;
    Some(job)
}
