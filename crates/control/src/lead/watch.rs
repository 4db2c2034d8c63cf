//! Watches of the operator's rules and of the list of workers.

use std::time::Duration;

use crate::Watch;
use crate::action::Action;
use crate::event::note;
use crate::frame::Bounds;
use crate::input::WatchResult;
use crate::lead::Leader;
use crate::node::Port;

/// Longest time that one watch of the rules waits for a change.
const RULES_POLL_WAIT: Duration = Duration::from_secs(1);

/// Interval between reads of the list of workers.
const ROSTER_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Delay before a failed watch is retried.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(150);

impl Leader {
    /// Applies the result of a watch and schedules the next one.
    pub(super) fn handle_watch_result(
        &mut self,
        port: &mut Port,
        what: Watch,
        result: WatchResult,
    ) {
        let change = match result {
            WatchResult::Changed(change) => change,
            WatchResult::HistoryGone => {
                self.set_cursor(what, None, port.now);
                return;
            }
            WatchResult::Failed => {
                self.schedule_watch(what, port.now + WATCH_RETRY_DELAY);
                return;
            }
        };
        let now = port.now;
        let pause = if what == Watch::Roster { ROSTER_POLL_INTERVAL } else { Duration::ZERO };
        self.set_cursor(what, Some(change.cursor), now + pause);
        if let Some(rules) = change.rules
            && self.scheduler.rules.as_ref().is_none_or(|known| known.version < rules.version)
        {
            note!(port, RulesChanged, "version" => rules.version, "queues" => rules.queues.len());
            port.out.push(Action::Bound(Bounds::from(&rules.limits)));
            self.scheduler.set_rules(rules);
            self.broadcast_members(port);
        }
        if what == Watch::Roster {
            if change.is_whole {
                self.unlist_missing(port, &change.registrations);
            }
            for registration in change.registrations {
                self.leases.update_registration(port, &registration);
                self.scheduler.pool.register(registration);
            }
            for id in change.gone {
                self.unlist_worker(port, &id);
            }
        }
        self.needs_placement = true;
    }

    /// Unlists the workers that a full list does not contain.
    fn unlist_missing(&mut self, port: &mut Port, registrations: &[scheduler::Registration]) {
        let is_missing = |worker: &&scheduler::Worker| {
            worker.is_listed
                && !registrations
                    .iter()
                    .any(|registration| registration.id == worker.registration.id)
        };
        let missing = self.scheduler.pool.iter().filter(is_missing);
        let missing: Vec<_> = missing.map(|worker| worker.registration.id.clone()).collect();
        for id in missing {
            self.unlist_worker(port, &id);
        }
    }

    /// Marks a worker as unlisted, and drops its lease if it holds no runs.
    fn unlist_worker(&mut self, port: &mut Port, id: &common::Name) {
        note!(port, WorkerUnlisted, "worker" => %id);
        if self.scheduler.mark_unlisted(id) {
            self.leases.remove(id);
        }
    }

    /// Stores where the next watch resumes, and schedules it.
    fn set_cursor(&mut self, what: Watch, cursor: Option<u64>, at: Duration) {
        match what {
            Watch::Rules => self.rules_cursor = cursor,
            Watch::Roster => self.roster_cursor = cursor,
        }
        self.schedule_watch(what, at);
    }

    /// Schedules the next watch.
    fn schedule_watch(&mut self, what: Watch, at: Duration) {
        match what {
            Watch::Rules => self.rules_watch_at = Some(at),
            Watch::Roster => self.roster_watch_at = Some(at),
        }
    }

    /// Starts the watches that are due.
    pub(super) fn start_due_watches(&mut self, port: &mut Port) {
        if self.rules_watch_at.is_some_and(|at| at <= port.now) {
            self.rules_watch_at = None;
            let (call, cursor) = (port.call(), self.rules_cursor);
            port.out.push(Action::Watch {
                call,
                what: Watch::Rules,
                cursor,
                wait: RULES_POLL_WAIT,
            });
        }
        if self.roster_watch_at.is_some_and(|at| at <= port.now) {
            self.roster_watch_at = None;
            let (call, cursor) = (port.call(), self.roster_cursor);
            let wait = Duration::from_millis(1);
            port.out.push(Action::Watch { call, what: Watch::Roster, cursor, wait });
        }
    }
}
