//! The leader's watches: the operator's rules and the list of workers.

use std::time::Duration;

use crate::Watch;
use crate::action::Action;
use crate::event::note;
use crate::frame::Bounds;
use crate::input::WatchResult;
use crate::lead::Leader;
use crate::node::Port;

/// How long one watch of the rules waits for a change.
const RULES_WAIT: Duration = Duration::from_secs(1);

/// Pause between two looks at the list of workers.
const ROSTER_PAUSE: Duration = Duration::from_millis(400);

/// Pause before a watch that failed is made again.
const WATCH_RETRY: Duration = Duration::from_millis(150);

impl Leader {
    /// Takes what a watch found.
    pub(super) fn watched(&mut self, port: &mut Port, what: Watch, result: WatchResult) {
        let change = match result {
            WatchResult::Changed(change) => change,
            WatchResult::HistoryGone => {
                self.set_cursor(what, None, port.now);
                return;
            }
            WatchResult::Failed => {
                self.schedule(what, port.now + WATCH_RETRY);
                return;
            }
        };
        let now = port.now;
        let pause = if what == Watch::Roster { ROSTER_PAUSE } else { Duration::ZERO };
        self.set_cursor(what, Some(change.cursor), now + pause);
        if let Some(rules) = change.rules
            && self.scheduler.rules.as_ref().is_none_or(|known| known.version < rules.version)
        {
            note!(port, RulesChanged, "version" => rules.version, "queues" => rules.queues.len());
            port.out.push(Action::Bound(Bounds::from(&rules.limits)));
            self.scheduler.set_rules(rules);
            self.tell_members(port);
        }
        if what == Watch::Roster {
            if change.is_whole {
                self.unlist_missing(port, &change.reports);
            }
            for report in change.reports {
                self.links.report(port, &report);
                self.scheduler.pool.report(report);
            }
            for id in change.gone {
                self.unlist(port, &id);
            }
        }
        self.is_changed = true;
    }

    fn unlist_missing(&mut self, port: &mut Port, reports: &[scheduler::Report]) {
        let is_missing = |worker: &&scheduler::Worker| {
            worker.is_listed && !reports.iter().any(|report| report.id == worker.report.id)
        };
        let missing = self.scheduler.pool.iter().filter(is_missing);
        let missing: Vec<_> = missing.map(|worker| worker.report.id.clone()).collect();
        for id in missing {
            self.unlist(port, &id);
        }
    }

    fn unlist(&mut self, port: &mut Port, id: &common::Name) {
        note!(port, WorkerUnlisted, "worker" => %id);
        if self.scheduler.unlist(id) {
            self.links.remove(id);
        }
    }

    fn set_cursor(&mut self, what: Watch, cursor: Option<u64>, at: Duration) {
        match what {
            Watch::Rules => self.rules_cursor = cursor,
            Watch::Roster => self.roster_cursor = cursor,
        }
        self.schedule(what, at);
    }

    fn schedule(&mut self, what: Watch, at: Duration) {
        match what {
            Watch::Rules => self.rules_at = Some(at),
            Watch::Roster => self.roster_at = Some(at),
        }
    }

    /// Makes the watches that are due.
    pub(super) fn watch(&mut self, port: &mut Port) {
        if self.rules_at.is_some_and(|at| at <= port.now) {
            self.rules_at = None;
            let (call, cursor) = (port.call(), self.rules_cursor);
            port.out.push(Action::Watch { call, what: Watch::Rules, cursor, wait: RULES_WAIT });
        }
        if self.roster_at.is_some_and(|at| at <= port.now) {
            self.roster_at = None;
            let (call, cursor) = (port.call(), self.roster_cursor);
            let wait = Duration::from_millis(1);
            port.out.push(Action::Watch { call, what: Watch::Roster, cursor, wait });
        }
    }
}
