//! Graceful stop: readiness goes first, scopes are handed over, callers get their answers.

use std::time::{Duration, Instant};

use border::table::{Committed, Transaction};
use stakker::{CX, Ret, after, ret, ret_some_to};

use super::{Errand, Node};
use crate::event::Event;

/// How long the balancer is given to notice that we are not ready.
const BALANCER_NOTICE: Duration = Duration::from_secs(3);

/// Between the last answer and the exit.
const LINGER: Duration = Duration::from_millis(300);

/// A stop in progress.
pub(super) struct Stop {
    since: Instant,
    done: Option<Ret<bool>>,
    is_row_going: bool,
}

impl std::fmt::Debug for Stop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Stop").field("since", &self.since).finish_non_exhaustive()
    }
}

impl Node {
    pub(super) fn begin_stop(&mut self, cx: CX![], done: Ret<bool>) {
        if self.stop.is_some() {
            return;
        }
        self.note(Event::Stopping, self.shared.me());
        self.stop = Some(Stop { since: self.shared.now, done: Some(done), is_row_going: false });
        self.borders.front.close_connections();
        self.shared.membership.leave();
        self.renew_member(cx);
        self.read_soon();
        self.send_heartbeats(cx, Vec::new(), Vec::new());
    }

    /// Whether the balancer has had its time and new requests belong elsewhere.
    pub(super) fn is_shut(&self) -> bool {
        let since = self.stop.as_ref().map(|stop| stop.since);
        since.is_some_and(|since| self.shared.now >= since + BALANCER_NOTICE)
    }

    /// Ends the stop when nothing is left here, or when its time is up.
    pub(super) fn continue_stop(&mut self, cx: CX![]) {
        let Some(stop) = &self.stop else { return };
        let waited = self.shared.now.saturating_duration_since(stop.since);
        let is_late = waited >= self.shared.config.timing.stop;
        if waited < BALANCER_NOTICE || !(is_late || self.is_empty()) {
            return;
        }
        if is_late {
            let text = format!(
                "{} callers, {} quick requests, {} scopes",
                self.forwards.open(),
                self.quicks.open(),
                self.shared.claims.all_held().count()
            );
            self.note(Event::StopForced, text);
            return self.end_stop(false);
        }
        self.remove_row(cx);
    }

    /// Whether nobody waits here and nothing is owned that another could own.
    fn is_empty(&self) -> bool {
        let has_heirs = !self.shared.membership.staying().is_empty();
        let is_rid = self.shared.claims.all_held().next().is_none() || !has_heirs;
        let is_serving = self.allocators.values().any(|allocator| allocator.rack.slots_used() > 0);
        is_rid && !is_serving && self.forwards.open() == 0 && self.quicks.open() == 0
    }

    /// Removes our row, so that nobody waits for its lease to run out.
    fn remove_row(&mut self, cx: CX![]) {
        let Some(stop) = &mut self.stop else { return };
        if stop.is_row_going || self.schedule.is_on(Errand::Renewal) {
            return;
        }
        stop.is_row_going = true;
        let key = self.shared.membership.my_key();
        let version = self.shared.membership.version;
        let transaction = Transaction::default().check(key.clone(), version).delete(key);
        let ret = ret_some_to!([cx], row_removed() as (Committed));
        self.schedule.begin(Errand::Renewal);
        self.borders.table.commit(transaction, ret);
    }

    fn row_removed(&mut self, cx: CX![], _answer: Committed) {
        self.touch(cx);
        // A row that stays behind is gone when its lease runs out.
        after!(LINGER, [cx], leave_quietly());
    }

    /// Ends the stop once the last answers have had their time to be written.
    fn leave_quietly(&mut self, cx: CX![]) {
        self.touch(cx);
        if self.forwards.open() > 0 {
            after!(LINGER, [cx], leave_quietly());
        } else {
            self.end_stop(true);
        }
    }

    fn end_stop(&mut self, is_clean: bool) {
        let done = self.stop.as_mut().and_then(|stop| stop.done.take());
        if let Some(done) = done {
            self.note(Event::Stopped, self.shared.me());
            ret!([done], is_clean);
        }
    }
}
