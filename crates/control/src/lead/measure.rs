//! Log lines and metrics about the leader's jobs, workers and followers.

use std::collections::HashMap;
use std::time::Duration;

use common::Name;
use scheduler::{Phase, Wait, WorkspaceFigures};

use crate::event::{log_event, log_job_event};
use crate::lead::Leader;
use crate::meter::{Counter, Gauge, OTHER_WORKSPACES, Timing, WorkspaceGauge, WorkspaceValues};
use crate::node::Context;
use crate::usage::UsageFields;

/// Interval between checks of what overdue jobs wait for.
const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Most overdue jobs examined per check; each requires a pass over all workers.
const MAX_WAITS_PER_CHECK: usize = 20;

/// Most stuck jobs per check whose awaited worker is logged; each requires a pass over all runs.
const MAX_AWAITED_PER_CHECK: usize = 5;

/// Most workspaces with metrics and log lines of their own.
const MAX_REPORTED_WORKSPACES: usize = 32;

/// Interval at which a workspace at its limit is logged again.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_mins(1);

impl Leader {
    /// Logs what each overdue job waits for, and again when that changes.
    pub(super) fn log_waits(&mut self, ctx: &mut Context) {
        if ctx.now < self.waits_logged_at + WAIT_LOG_INTERVAL {
            return;
        }
        self.waits_logged_at = ctx.now;
        let overdue = self.scheduler.overdue_jobs(ctx.now).take(MAX_WAITS_PER_CHECK);
        let mut waits = HashMap::new();
        let mut examined = 0;
        for id in overdue.map(|job| job.id.clone()).collect::<Vec<_>>() {
            let Some(reason) = self.scheduler.first_wait_reason(&id, ctx.now) else { continue };
            let is_stuck = self.scheduler.is_stuck(&id, ctx.now);
            let has_changed = self.logged_waits.get(&id) != Some(&reason);
            let mut wait = Wait { reason, awaited: None };
            if is_stuck && examined < MAX_AWAITED_PER_CHECK {
                examined += 1;
                wait = self.scheduler.first_wait(&id, ctx.now).unwrap_or(wait);
            }
            // A job that waits for many times its target time is always logged.
            if is_stuck || (has_changed && ctx.sampler.should_log(&id, ctx.now)) {
                let ahead = self.scheduler.jobs_ahead_of(&id);
                log_event!(ctx, JobOverdue, "job" => %id, "reason" => %wait, "ahead" => ahead,
                    "epoch" => self.epoch);
            }
            waits.insert(id, wait.reason);
        }
        self.logged_waits = waits;
    }

    /// Records that a job is durable in a phase; logs its end.
    pub(super) fn record_durable_phase(&mut self, ctx: &mut Context, id: &str, phase: Phase) {
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return };
        let age = ctx.now.saturating_sub(job.arrived);
        if job.durable_phase.is_none() {
            ctx.meter.record_duration(Timing::Admission, age);
        }
        if phase != Phase::Open && job.durable_phase != Some(phase) {
            let label = match phase {
                Phase::Open => "open",
                Phase::Completed => "completed",
                Phase::Failed => "failed",
                Phase::Cancelled => "cancelled",
            };
            ctx.meter.record_duration(Timing::JobTotal, age);
            ctx.meter.add(Counter::JobsEnded, label, 1);
            let late = ctx.now.saturating_sub(job.due_at).as_millis() as u64;
            log_job_event!(ctx, id, JobEnded, "phase" => label, "queue" => %job.queue,
                "age_ms" => age.as_millis() as u64, "late_ms" => late, "epoch" => self.epoch);
            ctx.sampler.end_job(id);
        }
        job.durable_phase = Some(phase);
        job.drop_details();
    }

    /// Reports the values of the largest workspaces by weight, and the sum of the others; logs which
    /// of the former are at their limits.
    fn report_workspaces(&mut self, ctx: &Context) {
        let figures = self.scheduler.workspace_figures(ctx.now);
        let mut reported: Vec<WorkspaceValues> = Vec::new();
        for (number, own) in figures.iter().enumerate() {
            let values = workspace_values(own);
            if number < MAX_REPORTED_WORKSPACES {
                reported.push(WorkspaceValues { workspace: own.name.clone(), values });
                self.log_limit(ctx, own);
                continue;
            }
            if number == MAX_REPORTED_WORKSPACES {
                let workspace = Name::new(OTHER_WORKSPACES);
                reported.push(WorkspaceValues { workspace, values: Default::default() });
            }
            if let Some(others) = reported.last_mut() {
                for (sum, value) in others.values.iter_mut().zip(values) {
                    *sum += value;
                }
            }
        }
        let is_recent = |at: &Duration| ctx.now < *at + LIMIT_LOG_INTERVAL;
        self.logged_limits.retain(|_, logged| is_recent(logged));
        ctx.meter.set_workspaces(reported);
    }

    /// Logs that a workspace is at its limit, unless that was logged lately.
    fn log_limit(&mut self, ctx: &Context, figures: &WorkspaceFigures) {
        let logged = self.logged_limits.get(&figures.name);
        if !figures.is_at_limit || logged.is_some_and(|at| ctx.now < *at + LIMIT_LOG_INTERVAL) {
            return;
        }
        self.logged_limits.insert(figures.name.clone(), ctx.now);
        let WorkspaceFigures { name, used, limit, .. } = figures;
        log_event!(ctx, WorkspaceAtLimit, "workspace" => %name, "tasks" => figures.runs,
            "waiting_jobs" => figures.waiting_jobs, "used_mcpu" => used.cpu,
            "limit_mcpu" => limit.cpu, "used_mb" => used.mem, "limit_mb" => limit.mem,
            "used_gpus" => used.gpus, "limit_gpus" => limit.gpus,
            "at_limit_ms" => figures.time_at_limit.as_millis() as u64, "epoch" => self.epoch);
    }

    /// Logs and counts the unsent starts that were withdrawn as a limit fell.
    pub(super) fn log_withdrawn_starts(&mut self, ctx: &mut Context) {
        for start in std::mem::take(&mut self.scheduler.withdrawn_starts) {
            ctx.meter.add(Counter::StartsRejected, "limit", 1);
            log_job_event!(ctx, &start.key.job, TaskNotStarted, "step" => start.key.step,
                "index" => start.key.index, "run" => start.run, "worker" => %start.worker,
                "reason" => "limit", "epoch" => self.epoch);
        }
    }

    /// Reports the gauges of the leader's jobs, workers, followers and commits; returns the fields
    /// of the log event about the pool.
    pub fn report_gauges(&mut self, ctx: &Context) -> UsageFields {
        let meter = &ctx.meter;
        let usable = self.scheduler.pool.iter().filter(|worker| worker.is_usable(ctx.now));
        let (mut count, mut free) = (0, 0);
        for worker in usable {
            count += 1;
            free += u64::from(worker.free().cpu);
        }
        let assigned =
            self.scheduler.pool.iter().map(|worker| worker.assignments.len() as u64).sum();
        meter.set_gauge(Gauge::OpenJobs, self.scheduler.open_jobs() as u64);
        meter.set_gauge(Gauge::AssignedTasks, assigned);
        meter.set_gauge(Gauge::UsableWorkers, count);
        meter.set_gauge(Gauge::FreeCpu, free);
        meter.set_gauge(Gauge::Followers, self.peers.count() as u64);
        meter.set_gauge(Gauge::CommitAge, self.journal.commit_age(ctx.now).as_millis() as u64);
        self.report_workspaces(ctx);
        let learned = self.scheduler.forecast.counts(ctx.now);
        meter.set_gauge(Gauge::LearnedKinds, learned.kinds as u64);
        meter.set_gauge(Gauge::CorrectedKinds, learned.corrected_kinds as u64);
        meter.set_gauge(Gauge::LearnedWorkers, learned.workers as u64);
        meter.set_gauge(Gauge::SlowWorkers, learned.slow_workers as u64);
        meter.set_gauge(Gauge::SpeedsDiffer, self.scheduler.forecast.speeds_differ().into());
        let waste = self.scheduler.take_wasted_rounds(ctx.now);
        let preempted = std::mem::take(&mut self.scheduler.preempted_runs);
        UsageFields::report(&**meter, self.scheduler.usage(), waste, preempted)
    }
}

/// The value of each gauge of a workspace.
fn workspace_values(figures: &WorkspaceFigures) -> [u64; WorkspaceGauge::ALL.len()] {
    WorkspaceGauge::ALL.map(|gauge| match gauge {
        WorkspaceGauge::Tasks => figures.runs,
        WorkspaceGauge::UsedCpu => figures.used.cpu.into(),
        WorkspaceGauge::LimitCpu => figures.limit.cpu.into(),
        WorkspaceGauge::WaitingJobs => figures.waiting_jobs,
        WorkspaceGauge::TimeAtLimit => figures.time_at_limit.as_millis() as u64,
    })
}
