//! Conversion of jobs to records and back.

mod support;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use common::Name;
use prost::Message;
use scheduler::{
    Job, JobDiff, Phase, Restored, Segment, SegmentBuilder, Site, StoredState, StoredWorker,
    Submission,
};
use support::step;

/// Small deterministic generator.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) % bound
    }
}

fn new_job(id: &str) -> Job {
    let submission = Submission {
        id: id.to_owned(),
        payload: "p".to_owned(),
        steps: vec![step(3), step(40)],
        ..Submission::default()
    };
    let mut job = Job::new(submission, Name::new("q"), Duration::ZERO, 7);
    job.queue_rules = Some(support::rules(None).queues[0].record());
    job
}

/// Changes a few tasks at random.
fn change_tasks(job: &mut Job, random: &mut Random) {
    for _ in 0..random.below(4) {
        let step = &mut job.steps[random.below(2) as usize];
        step.failed_run = random.below(3) as u32;
        let index = random.below(step.tasks.len() as u64) as usize;
        let task = &mut step.tasks[index];
        task.run += 1;
        task.is_done = random.below(3) == 0;
        task.failed_runs = random.below(3) as u32;
        let worker = format!("w{}", random.below(200));
        task.worker = (!task.is_done && random.below(2) == 0).then(|| Name::from(worker));
        let checkpoint = if random.below(3) == 0 { "saved" } else { "" };
        task.checkpoint = Name::new(checkpoint);
    }
}

/// Lets a few workers fall silent under tasks, and others be heard of.
fn change_silent_workers(job: &mut Job, random: &mut Random) {
    for _ in 0..random.below(9) {
        let tasks = &mut job.steps[1].tasks;
        let index = random.below(tasks.len() as u64) as usize;
        let silent = &mut tasks[index].silent_workers;
        if random.below(4) == 0 {
            silent.clear();
        }
        let id = Name::from(format!("w{}", random.below(9)).as_str());
        let site = Site { address: id.clone(), incarnation: 1 + random.below(3) };
        silent.push(StoredWorker { id, site: Some(Arc::new(site)) });
    }
}

/// Reads jobs from segments in order.
fn restore(segments: &[Vec<u8>]) -> HashMap<Name, Job> {
    let mut jobs: HashMap<Name, Job> = HashMap::new();
    for value in segments {
        let segment = Segment::decode(&**value).expect("the segment decodes");
        segment.restore(|restored, _, workers| match restored {
            Restored::Job(job) => {
                jobs.insert(job.id.clone(), job);
            }
            Restored::Change(change) => {
                let job = jobs.get_mut(&*change.id).expect("the job has a full record");
                assert!(job.apply_states(change.states, workers));
            }
            Restored::Invalid(id) => panic!("the record of {id} is invalid"),
        });
    }
    jobs
}

fn assert_same(restored: &Job, job: &Job) {
    assert_eq!(restored.steps, job.steps);
    assert_eq!(restored.submission, job.submission);
    assert_eq!((restored.phase, restored.queue.clone()), (job.phase, job.queue.clone()));
    assert_eq!((restored.arrived_ms, restored.ended_ms), (job.arrived_ms, job.ended_ms));
    assert_eq!(restored.queue_rules, job.queue_rules);
}

#[test]
fn restore_full_and_changes() {
    for seed in 0..200 {
        let mut random = Random(seed);
        let mut jobs = [new_job("a"), new_job("b")];
        let mut stored: HashMap<Name, StoredState> = HashMap::new();
        let mut segments = Vec::new();
        for _ in 0..20 {
            let mut builder = SegmentBuilder::default();
            for job in &mut jobs {
                change_tasks(job, &mut random);
                let diff = match stored.get(&job.id).filter(|_| random.below(5) > 0) {
                    Some(state) => JobDiff::since(state, job),
                    None => JobDiff::full(job),
                };
                let (before, max_size) = (builder.size(), diff.max_size());
                let size = builder.add(&diff);
                assert!(builder.size() == before + size && size <= max_size, "seed {seed}");
                if diff.is_full() {
                    stored.insert(job.id.clone(), StoredState::of(job));
                } else if let Some(state) = stored.get_mut(&job.id) {
                    state.apply(&diff);
                }
            }
            let size = builder.size();
            let value = builder.finish();
            assert!(value.len() <= size, "seed {seed}");
            segments.push(value);
            let restored = restore(&segments);
            for job in &jobs {
                assert_same(&restored[&job.id], job);
            }
        }
    }
}

// Guards against a next leader that never hears what became of the workers that were silent before.
#[test]
fn silent_workers_return() {
    for seed in 0..50 {
        let mut random = Random(seed);
        let mut job = new_job("a");
        change_silent_workers(&mut job, &mut random);
        let mut segments = write_parts(JobDiff::full(&job), 900 + random.below(2000) as usize);
        for _ in 0..5 {
            let stored = StoredState::of(&job);
            change_tasks(&mut job, &mut random);
            change_silent_workers(&mut job, &mut random);
            let diff = JobDiff::since(&stored, &job);
            segments.extend(write_parts(diff, 300 + random.below(2000) as usize));
            assert_same(&restore(&segments)["a"], &job);
        }
    }
}

#[test]
fn restore_earlier_form() {
    let mut job = new_job("a");
    change_tasks(&mut job, &mut Random(3));
    let earlier = Segment { jobs: vec![job.record()], ..Segment::default() };
    let mut segments = vec![earlier.encode_to_vec()];
    assert_same(&restore(&segments)["a"], &job);
    let stored = StoredState::of(&job);
    change_tasks(&mut job, &mut Random(5));
    let mut builder = SegmentBuilder::default();
    let diff = JobDiff::since(&stored, &job);
    assert!(!diff.is_full() && !diff.is_empty());
    builder.add(&diff);
    segments.push(builder.finish());
    assert_same(&restore(&segments)["a"], &job);
}

#[test]
fn since_unchanged_is_empty() {
    let mut job = new_job("a");
    change_tasks(&mut job, &mut Random(3));
    assert!(JobDiff::since(&StoredState::of(&job), &job).is_empty());
    job.phase = Phase::Cancelled;
    assert!(JobDiff::since(&StoredState::of(&job), &job).is_empty());
}

#[test]
fn since_ended_is_full_and_reduced() {
    let mut job = new_job("a");
    job.steps[0].tasks[0].worker = Some(Name::new("w"));
    job.steps[0].tasks[0].run = 1;
    let open = StoredState::of(&job);
    job.phase = Phase::Cancelled;
    job.ended_ms = 9;
    let diff = JobDiff::since(&open, &job);
    assert!(diff.is_full());
    let with_run = StoredState::of(&job);
    job.steps[0].tasks[0].worker = None;
    let diff = JobDiff::since(&with_run, &job);
    assert!(diff.is_full());
    let mut builder = SegmentBuilder::default();
    builder.add(&diff);
    let ended = &restore(&[builder.finish()])["a"];
    assert_eq!((ended.phase, ended.ended_ms, ended.steps.len()), (Phase::Cancelled, 9, 0));
    let reduced = StoredState::of(&job);
    job.drop_details();
    assert!(JobDiff::since(&reduced, &job).is_empty());
}

/// Guards against a row whose number of tasks takes up the memory of the leader that reads it.
#[test]
fn restore_too_many_tasks_is_invalid() {
    let mut builder = SegmentBuilder::default();
    builder.add(&JobDiff::full(&new_job("a")));
    let mut segment = Segment::decode(&*builder.finish()).expect("the segment decodes");
    segment.full[0].submission.steps[0].count = u32::MAX;
    let mut invalid = Vec::new();
    segment.restore(|restored, _, _| match restored {
        Restored::Invalid(id) => invalid.push(id),
        Restored::Job(_) | Restored::Change(_) => panic!("the record is not valid"),
    });
    assert_eq!(invalid, ["a"]);
}

/// Guards against a damaged row that ends the leader which reads it, or takes up its memory.
#[test]
fn segment_random_changes_return() {
    let mut random = Random(11);
    let mut job = new_job("a");
    change_tasks(&mut job, &mut random);
    let mut builder = SegmentBuilder::default();
    builder.add(&JobDiff::full(&job));
    let valid = builder.finish();
    let mut restored_jobs = 0;
    for _ in 0..20_000 {
        let mut bytes = valid.clone();
        for _ in 0..=random.below(4) {
            let at = random.below(bytes.len() as u64) as usize;
            match random.below(3) {
                0 => bytes[at] = random.below(256) as u8,
                1 => drop(bytes.remove(at)),
                _ => bytes.insert(at, random.below(256) as u8),
            }
        }
        let Ok(segment) = Segment::decode(&*bytes) else { continue };
        segment.restore(|restored, _, _| match restored {
            Restored::Job(job) => {
                let tasks: usize = job.steps.iter().map(|step| step.tasks.len()).sum();
                assert!(tasks <= 1_000_000, "{tasks} tasks");
                restored_jobs += 1;
            }
            Restored::Change(_) | Restored::Invalid(_) => {}
        });
    }
    assert!(restored_jobs > 0, "some rows stay valid");
}

/// A job of one step in which each task has a run, a worker and a checkpoint.
fn new_wide_job(tasks: u32) -> Job {
    let mut submission = new_job("a").submission;
    submission.steps = vec![step(tasks)];
    let mut job = Job::new(submission, Name::new("q"), Duration::ZERO, 7);
    job.queue_rules = Some(support::rules(None).queues[0].record());
    job.steps[0].failed_run = 3;
    for (index, task) in job.steps[0].tasks.iter_mut().enumerate() {
        task.run = 1 + index as u32 % 200;
        task.failed_runs = index as u32 % 3;
        task.worker = Some(Name::from(format!("i-{:010x}", index % 350).as_str()));
        task.checkpoint = Name::from(format!("{index:016x}").as_str());
    }
    job
}

/// Writes each part of a diff to a segment of its own.
fn write_parts(diff: JobDiff<'_>, max_size: usize) -> Vec<Vec<u8>> {
    let parts = diff.split(max_size).expect("the diff can be divided");
    let write_part = |(part, size): (JobDiff<'_>, usize)| {
        let mut builder = SegmentBuilder::default();
        assert!(builder.add(&part) <= size && size <= max_size);
        let value = builder.finish();
        assert!(value.len() <= max_size, "{} bytes", value.len());
        value
    };
    parts.into_iter().map(write_part).collect()
}

/// Guards against a record that no row holds, so that nothing is committed any more.
#[test]
fn split_wide_job_fits_rows() {
    let job = new_wide_job(10_000);
    let segments = write_parts(JobDiff::full(&job), 48_000);
    assert!(segments.len() > 1);
    let total: usize = segments.iter().map(Vec::len).sum();
    assert!(total <= 600_000, "{total} bytes");
    assert_same(&restore(&segments)["a"], &job);
}

/// Guards against tasks that are lost or taken from another part, at any place of the cut.
#[test]
fn split_at_any_size_restores() {
    for max_size in (400..4000).step_by(97) {
        let initial = new_job("a");
        let mut segments = write_parts(JobDiff::full(&initial), 48_000);
        let mut stored = StoredState::of(&initial);
        let mut job = initial.clone();
        let mut random = Random(max_size as u64);
        for _ in 0..5 {
            for _ in 0..20 {
                change_tasks(&mut job, &mut random);
            }
            let diff = JobDiff::since(&stored, &job);
            segments.extend(write_parts(diff, max_size));
            stored = StoredState::of(&job);
            assert_same(&restore(&segments)["a"], &job);
        }
        segments.extend(write_parts(JobDiff::full(&job), max_size));
        assert_same(&restore(&segments)["a"], &job);
    }
}

/// Guards against a later part that does not apply to the first one in the same segment.
#[test]
fn split_parts_in_one_segment_restore() {
    let job = new_wide_job(300);
    let mut builder = SegmentBuilder::default();
    let parts = JobDiff::full(&job).split(4000).expect("the diff can be divided");
    assert!(parts.len() > 2);
    for (part, _) in &parts {
        builder.add(part);
    }
    assert_same(&restore(&[builder.finish()])["a"], &job);
}

/// Guards against a part that is too large although the diff was divided.
#[test]
fn split_indivisible_is_none() {
    let mut job = new_wide_job(3);
    job.steps[0].tasks[1].checkpoint = Name::from("x".repeat(5000).as_str());
    assert!(JobDiff::full(&job).split(4000).is_none());
    let mut job = new_wide_job(3);
    job.submission.payload = "x".repeat(5000);
    assert!(JobDiff::full(&job).split(4000).is_none());
}

#[test]
fn apply_parts_gives_state() {
    let mut job = new_wide_job(500);
    let mut stored = StoredState::of(&job);
    for task in job.steps[0].tasks.iter_mut().step_by(3) {
        task.is_done = true;
        task.worker = None;
    }
    job.steps[0].failed_run = 9;
    for (part, _) in JobDiff::since(&stored, &job).split(1000).expect("the diff can be divided") {
        stored.apply(&part);
    }
    assert!(JobDiff::since(&stored, &job).is_empty());
}
