//! Graceful shutdown: withdraw readiness, hand over scopes, finish answering callers.

use std::time::{Duration, Instant};

use border::table::{CommitResult, Transaction};
use stakker::{CX, Ret, after, ret, ret_some_to};

use super::{Node, TableCall};
use crate::event::Event;

/// Time for the balancer to notice that this daemon is not ready.
const BALANCER_NOTICE: Duration = Duration::from_secs(3);

/// Delay between the last answer and the exit.
const EXIT_DELAY: Duration = Duration::from_millis(300);

/// Graceful shutdown in progress.
pub(super) struct Stop {
    since: Instant,
    done: Option<Ret<bool>>,
    /// Whether the deletion of the member row was sent.
    is_row_deletion_sent: bool,
}

impl std::fmt::Debug for Stop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Stop").field("since", &self.since).finish_non_exhaustive()
    }
}

impl Node {
    /// Begins a graceful shutdown; ignored if one is in progress.
    pub(super) fn begin_stop(&mut self, cx: CX![], done: Ret<bool>) {
        if self.stop.is_some() {
            return;
        }
        self.log_event(Event::ShutdownStarted, self.shared.own_name());
        self.stop =
            Some(Stop { since: self.shared.now, done: Some(done), is_row_deletion_sent: false });
        self.interfaces.http.close_connections();
        self.shared.membership.mark_leaving();
        self.renew_member(cx);
        self.schedule_table_read();
        self.send_heartbeats(cx, Vec::new(), Vec::new());
    }

    /// Whether new submissions are refused; true once the balancer has had time to react.
    pub(super) fn refuses_submissions(&self) -> bool {
        let since = self.stop.as_ref().map(|stop| stop.since);
        since.is_some_and(|since| self.shared.now >= since + BALANCER_NOTICE)
    }

    /// Ends the shutdown when all work is finished or handed over, or at its timeout.
    pub(super) fn continue_stop(&mut self, cx: CX![]) {
        let Some(stop) = &self.stop else { return };
        let waited = self.shared.now.saturating_duration_since(stop.since);
        let is_late = waited >= self.shared.config.timing.stop_timeout;
        if waited < BALANCER_NOTICE || !(is_late || self.is_drained()) {
            return;
        }
        if is_late {
            let text = format!(
                "{} callers, {} quick requests, {} scopes",
                self.forwards.open(),
                self.quick_tracker.open(),
                self.shared.claims.held_scopes().count()
            );
            self.log_event(Event::ShutdownTimedOut, text);
            return self.end_stop(false);
        }
        self.delete_member_row(cx);
    }

    /// Whether no work is in progress and no scope is held that another member could own.
    fn is_drained(&self) -> bool {
        let has_successors = !self.shared.membership.staying().is_empty();
        let holds_nothing = self.shared.claims.held_scopes().next().is_none() || !has_successors;
        let is_serving = self.allocators.values().any(|allocator| allocator.rack.used_slots() > 0);
        holds_nothing && !is_serving && self.forwards.open() == 0 && self.quick_tracker.open() == 0
    }

    /// Deletes the member row, so that the others need not wait for the lease to expire.
    fn delete_member_row(&mut self, cx: CX![]) {
        let Some(stop) = &mut self.stop else { return };
        if stop.is_row_deletion_sent || self.schedule.is_in_flight(TableCall::Renewal) {
            return;
        }
        stop.is_row_deletion_sent = true;
        let key = self.shared.membership.my_key();
        let version = self.shared.membership.version;
        let transaction = Transaction::default().check(key.clone(), version).delete(key);
        let ret = ret_some_to!([cx], on_member_row_deleted() as (CommitResult));
        self.schedule.begin(TableCall::Renewal);
        self.interfaces.table.commit(transaction, ret);
    }

    fn on_member_row_deleted(&mut self, cx: CX![], _result: CommitResult) {
        self.update_clock(cx);
        // If the deletion failed, the lease expires by itself.
        after!(EXIT_DELAY, [cx], finish_stop());
    }

    /// Ends the shutdown if no caller is waiting; otherwise checks again after a delay.
    fn finish_stop(&mut self, cx: CX![]) {
        self.update_clock(cx);
        if self.forwards.open() > 0 {
            after!(EXIT_DELAY, [cx], finish_stop());
        } else {
            self.end_stop(true);
        }
    }

    /// Reports the end of the shutdown and whether it was clean.
    fn end_stop(&mut self, is_clean: bool) {
        let done = self.stop.as_mut().and_then(|stop| stop.done.take());
        if let Some(done) = done {
            self.log_event(Event::Stopped, self.shared.own_name());
            ret!([done], is_clean);
        }
    }
}
