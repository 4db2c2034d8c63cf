//! Watches of the operator's rules and of the list of workers.

use std::collections::HashSet;
use std::time::Duration;

use common::Name;
use scheduler::Registration;

use crate::WatchTarget;
use crate::action::Action;
use crate::event::log_event;
use crate::frame::RequestLimits;
use crate::input::WatchResult;
use crate::lead::Leader;
use crate::node::Context;

/// Longest time that one watch of the rules waits for a change.
const RULES_POLL_WAIT: Duration = Duration::from_secs(1);

/// Interval between reads of the list of workers.
const WORKERS_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Age of what is known of the workers above which no task is started.
///
/// A worker may have shrunk or begun to leave since. That must be heeded within seconds.
const MAX_WORKERS_AGE: Duration = Duration::from_secs(2);

/// Delay before a failed watch is retried.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(150);

impl Leader {
    /// Whether what is known of the workers is recent enough to start tasks on them.
    pub(super) fn knows_workers(&self, ctx: &Context) -> bool {
        ctx.now < self.workers_known_at + MAX_WORKERS_AGE
    }

    /// Records that the whole list of workers is known; starts that waited for it go on.
    fn record_workers_known(&mut self, ctx: &Context) {
        let knew_workers = self.knows_workers(ctx);
        self.workers_known_at = self.workers_watch_sent;
        if !knew_workers {
            self.journal.request_commit();
        }
    }

    /// Applies the result of a watch and schedules the next one.
    pub(super) fn handle_watch_result(
        &mut self,
        ctx: &mut Context,
        target: WatchTarget,
        result: WatchResult,
    ) {
        let change = match result {
            WatchResult::Changed(change) => change,
            WatchResult::HistoryTruncated => {
                self.set_cursor(target, None, ctx.now);
                return;
            }
            WatchResult::Failed => {
                self.schedule_watch(target, ctx.now + WATCH_RETRY_DELAY);
                return;
            }
        };
        let now = ctx.now;
        let has_pause = target == WatchTarget::Workers && !change.has_more;
        let pause = if has_pause { WORKERS_POLL_INTERVAL } else { Duration::ZERO };
        self.set_cursor(target, Some(change.cursor), now + pause);
        if let Some(rules) = change.rules
            && self.scheduler.rules.as_ref().is_none_or(|known| known.version < rules.version)
        {
            log_event!(ctx, RulesChanged, "version" => rules.version,
                "queues" => rules.queues.len(), "workspaces" => rules.workspaces.iter().count());
            ctx.actions.push(Action::SetRequestLimits(RequestLimits::from(&rules.limits)));
            self.scheduler.set_rules(*rules);
            self.needs_placement = true;
            self.peers.request_list();
        }
        if target == WatchTarget::Workers {
            if !change.has_more {
                self.record_workers_known(ctx);
            }
            if change.is_snapshot {
                self.unlist_missing(ctx, &change.registrations);
            }
            for registration in change.registrations {
                self.update_worker(ctx, registration);
            }
            for id in change.removed {
                self.unlist_worker(ctx, &id);
            }
        }
    }

    /// Applies a worker's registration; heartbeats rewrite its row without a change.
    fn update_worker(&mut self, ctx: &mut Context, registration: Registration) {
        let known = self.scheduler.pool.get(&registration.id);
        if known.is_some_and(|known| known.is_listed && known.registration == registration) {
            return;
        }
        self.leases.update_registration(ctx, &registration);
        let store_clock_ms = self.store_time_ms(ctx.now);
        self.scheduler.register(registration, store_clock_ms);
        self.log_losses(ctx);
        self.needs_placement = true;
    }

    /// Unlists the workers that a full list does not contain.
    fn unlist_missing(&mut self, ctx: &mut Context, registrations: &[Registration]) {
        let listed: HashSet<&Name> =
            registrations.iter().map(|registration| &registration.id).collect();
        let workers = self.scheduler.pool.iter().filter(|worker| worker.is_listed);
        let missing = workers.map(|worker| &worker.registration.id);
        let missing: Vec<Name> = missing.filter(|id| !listed.contains(id)).cloned().collect();
        for id in missing {
            self.unlist_worker(ctx, &id);
        }
    }

    /// Marks a worker as unlisted, and drops its lease if it holds no runs.
    fn unlist_worker(&mut self, ctx: &mut Context, id: &Name) {
        if self.scheduler.pool.get(id).is_none_or(|worker| !worker.is_listed) {
            return;
        }
        self.needs_placement = true;
        log_event!(ctx, WorkerUnlisted, "worker" => %id);
        if self.scheduler.mark_unlisted(id) {
            self.leases.remove(id);
        }
    }

    /// Stores where the next watch resumes, and schedules it.
    fn set_cursor(&mut self, target: WatchTarget, cursor: Option<u64>, at: Duration) {
        match target {
            WatchTarget::Rules => self.rules_cursor = cursor,
            WatchTarget::Workers => self.workers_cursor = cursor,
        }
        self.schedule_watch(target, at);
    }

    /// Schedules the next watch.
    fn schedule_watch(&mut self, target: WatchTarget, at: Duration) {
        match target {
            WatchTarget::Rules => self.rules_watch_at = Some(at),
            WatchTarget::Workers => self.workers_watch_at = Some(at),
        }
    }

    /// Starts the watches that are due.
    pub(super) fn start_due_watches(&mut self, ctx: &mut Context) {
        if self.rules_watch_at.is_some_and(|at| at <= ctx.now) {
            self.rules_watch_at = None;
            let (call, cursor) = (ctx.next_call_id(), self.rules_cursor);
            ctx.actions.push(Action::Watch {
                call,
                target: WatchTarget::Rules,
                cursor,
                max_wait: RULES_POLL_WAIT,
            });
        }
        if self.workers_watch_at.is_some_and(|at| at <= ctx.now) {
            self.workers_watch_at = None;
            self.workers_watch_sent = ctx.now;
            let (call, cursor) = (ctx.next_call_id(), self.workers_cursor);
            let max_wait = Duration::from_millis(1);
            ctx.actions.push(Action::Watch {
                call,
                target: WatchTarget::Workers,
                cursor,
                max_wait,
            });
        }
    }
}
