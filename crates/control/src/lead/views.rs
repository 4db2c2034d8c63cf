//! Views of the leader's state for operators, as JSON.

use std::collections::BTreeMap;

use scheduler::forecast::{KindSummary, SpeedSummary};
use scheduler::{Job, JobState, Phase, Progress, Resources, Worker, WorkspaceFigures};
use serde_json::{Value, json};

use crate::answer::{Answer, View};
use crate::lead::Leader;
use crate::node::Context;

/// Most rows of a view, so that it fits into one message between daemons.
const MAX_VIEW_ROWS: usize = 1000;

impl Leader {
    /// Renders a view of the state.
    pub(super) fn render_view(&self, ctx: &Context, view: &View) -> Answer {
        let value = match view {
            View::Job(id) => match self.scheduler.jobs.get(id) {
                Some(job) => self.job_json(ctx, job),
                None => return Answer::JobNotFound,
            },
            View::Queues => rows_json(self.queue_rows()),
            View::Workers => rows_json(
                self.scheduler.pool.iter().map(|worker| worker_row(ctx, worker)).collect(),
            ),
            View::Members => rows_json(self.member_rows(ctx)),
            View::Workspaces => {
                let all = self.scheduler.workspace_figures(ctx.now);
                rows_json(all.iter().map(workspace_row).collect())
            }
            View::Estimates => self.estimates_json(ctx),
        };
        Answer::View(value.to_string())
    }

    /// A job, with the progress of each step.
    fn job_json(&self, ctx: &Context, job: &Job) -> Value {
        let steps = self.scheduler.explain(&job.id, ctx.now).unwrap_or_default();
        let steps: Vec<Value> = steps.iter().enumerate().map(step_row).collect();
        let due_in = job.due_at.as_millis() as i64 - ctx.now.as_millis() as i64;
        json!({
            "id": &*job.id,
            "queue": &*job.queue,
            "workspace": &*job.workspace,
            "state": job.reported_state().map_or("being stored", JobState::as_str),
            "age_ms": ctx.now.saturating_sub(job.arrived).as_millis() as u64,
            "due_in_ms": due_in,
            "ahead": self.scheduler.jobs_ahead_of(&job.id),
            "steps": steps,
            "epoch": self.epoch,
            "leader": &*ctx.config.member,
        })
    }

    /// One row per queue, with its counts of open and waiting jobs.
    fn queue_rows(&self) -> Vec<Value> {
        let Some(rules) = &self.scheduler.rules else { return Vec::new() };
        let mut open: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for job in self.scheduler.jobs.values().filter(|job| job.phase == Phase::Open) {
            let (all, waiting) = open.entry(&job.queue).or_default();
            *all += 1;
            *waiting += u64::from(!job.has_started);
        }
        let row = |queue: &scheduler::Queue| {
            let (all, waiting) = open.get(&*queue.name).copied().unwrap_or_default();
            json!({
                "queue": &*queue.name,
                "service": &*queue.service,
                "priority": queue.priority,
                "max_attempts": queue.max_attempts,
                "advice": queue.advice.is_some(),
                "open": all,
                "waiting": waiting,
                "rules": rules.version,
            })
        };
        rules.queues.iter().map(row).collect()
    }

    /// Learned kinds of steps, those with the latest runs first, and workers by speed.
    fn estimates_json(&self, ctx: &Context) -> Value {
        let forecast = &self.scheduler.forecast;
        let kinds = forecast.kind_summaries().map(|kind| kind_row(&kind)).collect();
        let mut kinds = truncated(kinds, MAX_VIEW_ROWS / 2);
        let mut speeds: Vec<_> = forecast.speed_summaries(ctx.now).collect();
        let left_out = speeds.len().saturating_sub(MAX_VIEW_ROWS / 2);
        speeds.truncate(MAX_VIEW_ROWS / 2);
        speeds.sort_by(|a, b| a.speed.total_cmp(&b.speed));
        let speeds: Vec<Value> = speeds.iter().map(|speed| speed_row(ctx, speed)).collect();
        kinds["speeds"] = json!({ "rows": speeds, "left_out": left_out });
        kinds["speeds_differ"] = forecast.speeds_differ().into();
        kinds
    }

    /// One row per daemon, the leader first.
    fn member_rows(&self, ctx: &Context) -> Vec<Value> {
        let leader = json!({
            "member": &*ctx.config.member,
            "address": &*ctx.config.peer_address,
            "role": "leader",
            "epoch": self.epoch,
            "silent_ms": 0,
        });
        let follower = |(member, address, silent): (&str, &str, std::time::Duration)| {
            json!({
                "member": member,
                "address": address,
                "role": "follower",
                "epoch": self.epoch,
                "silent_ms": silent.as_millis() as u64,
            })
        };
        let followers = self.peers.summaries(ctx.now).map(follower);
        std::iter::once(leader).chain(followers).collect()
    }
}

/// Rows of a view, truncated to the maximum, and the number of omitted rows.
fn rows_json(all: Vec<Value>) -> Value {
    truncated(all, MAX_VIEW_ROWS)
}

/// The first rows, and the number of omitted ones.
fn truncated(mut all: Vec<Value>, most: usize) -> Value {
    let left_out = all.len().saturating_sub(most);
    all.truncate(most);
    json!({ "rows": all, "left_out": left_out })
}

/// What is learned of a kind of steps; a queue as a whole has neither workspace nor size.
fn kind_row(summary: &KindSummary) -> Value {
    let kind = &summary.kind;
    let is_single = !summary.is_of_queue;
    json!({
        "queue": &*kind.queue,
        "workspace": &*kind.workspace,
        "cpu_from": is_single.then(|| 1_u64 << kind.cpu_class),
        "gang": is_single.then_some(kind.is_gang),
        "runs": summary.runs,
        "median_ms": summary.median.as_millis() as u64,
        "high_ms": summary.high.as_millis() as u64,
        "ratio": rounded(summary.ratio),
        "ratio_error": rounded(summary.ratio_error),
        "history_error": rounded(summary.history_error),
        "source": summary.source.as_str(),
    })
}

/// What is learned of a worker.
fn speed_row(ctx: &Context, summary: &SpeedSummary) -> Value {
    json!({
        "worker": &*summary.worker,
        "speed": rounded(summary.speed),
        "error": rounded(summary.deviation),
        "runs": summary.runs,
        "age_s": ctx.now.saturating_sub(summary.updated_at).as_secs(),
        "slow": summary.is_slow,
    })
}

/// A number with two decimals.
fn rounded(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}

/// Progress of one step, in numbers of tasks.
fn step_row((number, progress): (usize, &Progress)) -> Value {
    json!({
        "step": number,
        "tasks": progress.tasks,
        "done": progress.done,
        "placed": progress.placed,
        "failed": progress.failed_runs,
        "crashed": progress.crashes,
        "waits": progress.wait.as_ref().map(ToString::to_string),
    })
}

/// One worker, with its status and capacity.
fn worker_row(ctx: &Context, worker: &Worker) -> Value {
    let labels: Vec<&str> = worker.registration.labels.iter().map(|label| &**label).collect();
    json!({
        "worker": &*worker.registration.id,
        "service": &*worker.registration.service,
        "zone": &*worker.registration.zone,
        "labels": labels,
        "standing": worker_status(ctx, worker),
        "tasks": worker.assignments.len(),
        "used": resources_json(&worker.allocated),
        "room": resources_json(&worker.registration.capacity),
    })
}

/// Whether a worker accepts tasks, or the reason why not.
fn worker_status(ctx: &Context, worker: &Worker) -> &'static str {
    if !worker.is_listed {
        "not listed"
    } else if worker.registration.is_draining {
        "leaving"
    } else if !worker.is_reachable {
        "silent"
    } else if !worker.has_current_token {
        "not asked yet"
    } else if worker.has_unknown_runs {
        "runs unknown tasks"
    } else if worker.quarantined_until > ctx.now {
        "avoided"
    } else if worker.needs_trial() {
        "on trial"
    } else {
        "open"
    }
}

/// One workspace, with its limit and usage.
fn workspace_row(figures: &WorkspaceFigures) -> Value {
    json!({
        "workspace": &*figures.name,
        "weight": figures.weight,
        "limit": resources_json(&figures.limit),
        "used": resources_json(&figures.used),
        "tasks": figures.runs,
        "waiting": figures.waiting_jobs,
        "at_limit": figures.is_at_limit,
        "at_limit_ms": figures.time_at_limit.as_millis() as u64,
    })
}

/// Resources of a task or worker.
fn resources_json(need: &Resources) -> Value {
    json!({ "cpu": need.cpu, "memory": need.mem, "accelerators": need.gpus })
}
