//! Handling of callers' requests at the leader.

use std::time::Duration;

use common::Name;
use scheduler::{Submission, max_base_size};

use crate::answer::{Answer, CallerRequest, Operation, Target};
use crate::event::log_job_event;
use crate::lead::access::{self, Access, Denial, DeniedRequest};
use crate::lead::{Leader, journal::Effect};
use crate::node::Context;
use crate::pending::{backlog_refusal, refusal};

/// Origin of a request, to which the answer goes.
#[derive(Debug, Clone)]
pub(crate) enum Caller {
    /// A caller of this daemon, by request number.
    Local(u64),
    /// A caller of a follower.
    Peer {
        /// Link to the follower.
        link: u64,
        /// Number that the follower gave the request.
        id: u64,
        /// Time for which the request was queued here.
        queued: Duration,
    },
}

impl Leader {
    /// Handles a request; the answer may wait until a commit.
    pub fn handle_request(&mut self, ctx: &mut Context, caller: Caller, call: CallerRequest) {
        let Some(rules) = &self.scheduler.rules else {
            self.send_answer(ctx, &caller, refusal(false));
            return;
        };
        let queue = match &call.target {
            Target::Route { host, path } => rules.route(host, path),
            Target::Queue(name) => rules.queue(name),
        };
        let denied = DeniedRequest::new(rules, queue, &call);
        let access = access::authorize(rules, queue, &call);
        let queue = queue.map(|queue| queue.name.clone());
        let needs_queue = matches!(
            call.op,
            Operation::Submit(_) | Operation::CountPending | Operation::CheckAccess
        );
        let access = match access {
            Ok(access) => access,
            Err(denial) => {
                let is_not_found = queue.is_none() && needs_queue && denial.is_of_key();
                let answer = if is_not_found {
                    Answer::QueueNotFound
                } else {
                    self.denials.record(ctx, denial, &denied);
                    Answer::Unauthorized
                };
                self.send_answer(ctx, &caller, answer);
                return;
            }
        };
        match call.op {
            Operation::Submit(mut submission) => {
                access.workspace().clone_into(&mut submission.workspace);
                self.submit(ctx, caller, queue, submission, &access, &denied);
            }
            Operation::GetState(id) => {
                self.record_if_foreign(ctx, &id, &access, &denied);
                self.send_job_state(ctx, caller, access, id);
            }
            Operation::Cancel(id) => {
                self.record_if_foreign(ctx, &id, &access, &denied);
                self.cancel(ctx, caller, &access, &id);
            }
            Operation::CountPending => {
                let answer = queue.map_or(Answer::QueueNotFound, |queue| {
                    Answer::Pending(self.scheduler.pending_jobs(&queue) as u64)
                });
                self.send_answer(ctx, &caller, answer);
            }
            Operation::CheckAccess => {
                let is_denied = queue.is_none() && access != Access::All;
                let answer = if is_denied { Answer::QueueNotFound } else { Answer::Authorized };
                self.send_answer(ctx, &caller, answer);
            }
            Operation::View(view) => {
                let answer = self.render_view(ctx, &view);
                self.send_answer(ctx, &caller, answer);
            }
        }
    }

    /// Whether a job exists that a request may not use.
    fn is_foreign(&self, id: &str, access: &Access) -> bool {
        self.scheduler.jobs.get(id).is_some_and(|job| !access.allows(&job.workspace))
    }

    /// Records a request on a job that it may not use.
    fn record_if_foreign(
        &mut self,
        ctx: &Context,
        id: &str,
        access: &Access,
        denied: &DeniedRequest,
    ) {
        if self.is_foreign(id, access) {
            self.denials.record(ctx, Denial::OtherWorkspace, denied);
        }
    }

    /// Accepts a job, idempotently by id, and answers once it is durable.
    fn submit(
        &mut self,
        ctx: &mut Context,
        caller: Caller,
        queue: Option<Name>,
        job: Submission,
        access: &Access,
        denied: &DeniedRequest,
    ) {
        if self.is_foreign(&job.id, access) {
            let answer = if queue.is_some() {
                self.denials.record(ctx, Denial::OtherWorkspace, denied);
                Answer::IdInUse
            } else {
                Answer::QueueNotFound
            };
            self.send_answer(ctx, &caller, answer);
            return;
        }
        let known = self.scheduler.jobs.get(&*job.id).map(|job| job.durable_phase.is_some());
        match (known, queue) {
            (Some(true), _) => self.send_answer(ctx, &caller, Answer::Accepted),
            (Some(false), _) => {
                let id = Name::new(&job.id);
                self.journal.defer(Effect::Answer(caller, Answer::Accepted, id));
            }
            (None, None) => self.send_answer(ctx, &caller, Answer::QueueNotFound),
            (None, Some(queue)) => {
                let id = Name::new(&job.id);
                if self.exceeds_row(ctx, &job, &queue) {
                    log_job_event!(ctx, &job.id, RequestRefused, "queue" => %queue,
                        "reason" => "job is too large for a row", "epoch" => self.epoch);
                    self.send_answer(ctx, &caller, Answer::TooLarge);
                    return;
                }
                if let Some(reason) = self.scheduler.never_fits(&job) {
                    log_job_event!(ctx, &job.id, RequestRefused, "queue" => %queue,
                        "workspace" => &job.workspace, "reason" => &reason, "epoch" => self.epoch);
                    self.send_answer(ctx, &caller, Answer::NeverFits(reason));
                    return;
                }
                if let Some(excess) = self.scheduler.excess_wait(&job, &queue, ctx.now) {
                    log_job_event!(ctx, &job.id, RequestRefused, "queue" => %queue,
                        "workspace" => &job.workspace,
                        "excess_wait_ms" => excess.as_millis() as u64, "epoch" => self.epoch);
                    let is_of_workspace = self.scheduler.has_workspaces();
                    let answer = backlog_refusal(ctx, excess, is_of_workspace);
                    self.send_answer(ctx, &caller, answer);
                    return;
                }
                let version = self.scheduler.rules.as_ref().map_or(0, |rules| rules.version);
                log_job_event!(ctx, &job.id, JobAccepted, "queue" => %queue, "rules" => version,
                    "steps" => job.steps.len(), "epoch" => self.epoch);
                let store_clock_ms = self.store_time_ms(ctx.now);
                self.scheduler.submit(job, queue, ctx.now, store_clock_ms);
                self.journal.enqueue(std::mem::take(&mut self.scheduler.changed_jobs));
                self.journal.defer(Effect::Answer(caller, Answer::Accepted, id));
                self.needs_placement = true;
            }
        }
    }

    /// Whether what a job's record cannot divide is too large for a row.
    fn exceeds_row(&self, ctx: &Context, job: &Submission, queue: &str) -> bool {
        let queue = self.scheduler.queue(queue);
        queue.is_some_and(|queue| max_base_size(job, queue) > ctx.config.max_row_bytes)
    }

    /// The state of a durable job that a request may use; none for any other.
    pub(super) fn job_state(&self, id: &str, access: &Access) -> Option<Answer> {
        let job = self.scheduler.jobs.get(id).filter(|job| access.allows(&job.workspace))?;
        job.reported_state().map(Answer::State)
    }

    /// Sends a job's state, after a commit if the job is not durable.
    ///
    /// A job that the request may not use is answered as an unknown one is, also in time.
    fn send_job_state(&mut self, ctx: &mut Context, caller: Caller, access: Access, id: Name) {
        match self.job_state(&id, &access) {
            Some(answer) => self.send_answer(ctx, &caller, answer),
            None => self.journal.defer(Effect::JobState(caller, access, id)),
        }
    }

    /// Cancels a job; the answer waits until the cancellation is durable.
    ///
    /// A job that the request may not use is answered as an unknown one is, also in time.
    fn cancel(&mut self, ctx: &mut Context, caller: Caller, access: &Access, id: &str) {
        let store_clock_ms = self.store_time_ms(ctx.now);
        if self.is_foreign(id, access) {
            // The answer names no job, as it does not depend on whether this one can be stored.
            let effect = Effect::Answer(caller, Answer::JobNotFound, Name::default());
            self.journal.defer(effect);
            return;
        }
        let answer = if self.scheduler.cancel(id, store_clock_ms) {
            Answer::Cancelled
        } else {
            Answer::JobNotFound
        };
        self.journal.enqueue(std::mem::take(&mut self.scheduler.changed_jobs));
        self.journal.defer(Effect::Answer(caller, answer, Name::new(id)));
        self.needs_placement = true;
    }
}
