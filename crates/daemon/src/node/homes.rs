//! Handlers of the calls to homes, from peers and from this daemon's own callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::{ErrorKind, Name};
use journal::event::{RequestKey, Terms};
use settings::RequestSpec;
use settings::rules::Mode;
use stakker::CX;
use wire::Body;

use super::Node;
use super::action::{Waiter, failure};
use super::home::{Home, Submission, WaitingCaller};
use super::peers::decode_key;
use super::quick;

impl Node {
    /// Handles a submission: validates it and passes it to its home.
    pub(super) fn handle_submit(&mut self, cx: CX![], from: Waiter, submit: wire::Submit) {
        let spec = match RequestSpec::parse(&submit.spec) {
            Ok(spec) => spec,
            Err(text) => return self.answer(cx, from, failure(ErrorKind::Malformed, text)),
        };
        if !self.shared.has_confirmed_settings() {
            return self.answer(cx, from, unconfirmed_answer());
        }
        let rules = Arc::clone(&self.shared.versions.rules);
        let kind = match spec.resolve_kind(&rules) {
            Ok(kind) => kind,
            Err(text) => return self.answer(cx, from, failure(ErrorKind::Malformed, text)),
        };
        let deadline = self.shared.now + Duration::from_millis(submit.wait_ms);
        let is_repeatable = spec.is_repeatable(kind);
        if kind.mode == Mode::Quick && is_repeatable {
            let service = kind.service.clone().unwrap_or_default();
            let deadline = spec
                .start_within()
                .map_or(deadline, |within| deadline.min(self.shared.now + within));
            let arrival =
                quick::Arrival { spec, service, waiter: from, deadline, trace: submit.trace };
            return self.quick_tracker.submit(&mut self.shared, arrival);
        }
        let terms = self.build_terms(&spec, kind);
        let partition = RequestKey::from_spec(&spec).partition(self.shared.config.partition_count);
        let wants_result = submit.wants_result;
        let submission = Submission {
            spec,
            terms,
            caller: WaitingCaller { waiter: from, deadline, wants_result },
            trace: submit.trace,
            arrived_us: self.shared.wall_us,
        };
        if let Err(text) = self.check_owned(partition) {
            return self.answer(cx, submission.caller.waiter, failure(ErrorKind::NoOwner, text));
        }
        if let Some(home) = self.homes.get_mut(&partition) {
            home.submit(&mut self.shared, submission);
        }
    }

    /// Derives the terms of a request from its spec and kind.
    fn build_terms(&self, spec: &RequestSpec, kind: &settings::rules::WorkKind) -> Terms {
        let admitted_ms = self.shared.wall_ms();
        let within = spec.within_ms.map(|within| admitted_ms.saturating_add(within.cast_signed()));
        let is_repeatable = spec.is_repeatable(kind);
        Terms {
            mode: kind.mode,
            class: kind.class,
            is_repeatable,
            attempts: if is_repeatable { kind.attempts } else { 1 },
            size: spec.task_size(kind),
            tasks: spec.task_count(),
            admitted_ms,
            start_by_ms: within,
        }
    }

    /// Fails unless this daemon owns the partition under a valid lease.
    fn check_owned(&self, partition: u32) -> Result<(), &'static str> {
        if !self.shared.can_act_as_owner() {
            return Err("this daemon's lease is not valid");
        }
        if !self.homes.contains_key(&partition) {
            return Err("this daemon does not own the partition");
        }
        Ok(())
    }

    /// Handles a query for a request's state, result or explanation.
    pub(super) fn handle_query(&mut self, cx: CX![], from: Waiter, query: &wire::Query) {
        let key = decode_key(query.key.as_ref());
        let partition = key.partition(self.shared.config.partition_count);
        if let Err(text) = self.check_owned(partition) {
            return self.answer(cx, from, failure(ErrorKind::NoOwner, text));
        }
        let deadline = self.shared.now + Duration::from_millis(query.wait_ms);
        let Some(home) = self.homes.get_mut(&partition) else { return };
        if query.explain {
            let text = home.explain(&key, &self.shared);
            let mut answer = home.describe(&key);
            answer.text = text;
            return self.answer(cx, from, answer);
        }
        home.query(&key, WaitingCaller { waiter: from, deadline, wants_result: query.wait_ms > 0 });
    }

    /// Handles a cancellation.
    pub(super) fn handle_cancel(&mut self, cx: CX![], from: Waiter, cancel: &wire::Cancel) {
        let key = decode_key(cancel.key.as_ref());
        let partition = key.partition(self.shared.config.partition_count);
        if let Err(text) = self.check_owned(partition) {
            return self.answer(cx, from, failure(ErrorKind::NoOwner, text));
        }
        let deadline = self.shared.now + Duration::from_millis(cancel.wait_ms);
        if let Some(home) = self.homes.get_mut(&partition) {
            home.cancel(&self.shared, &key, from, deadline);
        }
    }

    /// Handles a rack owner's report about an attempt.
    pub(super) fn handle_report(&mut self, cx: CX![], from: Waiter, report: wire::Report) {
        let key = decode_key(report.key.as_ref());
        let partition = key.partition(self.shared.config.partition_count);
        if let Some(home) = self.homes.get_mut(&partition) {
            home.handle_report(&self.shared, report, Some(from));
        } else {
            let code = ErrorKind::NoOwner.code();
            self.reply(cx, &from, Body::Ack(wire::Ack { code, text: String::new() }));
        }
    }

    /// Drops a home and tells the waiting callers that the partition moved.
    pub(super) fn drop_home(&mut self, cx: CX![], mut home: Home) {
        self.journals.remove(&home.partition);
        self.resend_at.remove(&home.partition);
        self.flush_at.remove(&home.partition);
        for (_, caller) in home.take_waiting_callers() {
            let mut answer = failure(ErrorKind::NoOwner, "the partition moved to another daemon");
            super::STATE_MOVED.clone_into(&mut answer.state);
            self.answer(cx, caller.waiter, answer);
        }
        for action in home.take_actions() {
            self.perform_action(cx, action);
        }
    }

    /// Sums the usage of all homes by customer.
    pub(super) fn update_usage(&mut self) {
        let mut sum: BTreeMap<Name, super::usage::Usage> = BTreeMap::new();
        for (customer, usage) in self.homes.values().flat_map(Home::usage) {
            sum.entry(customer.clone()).or_default().add(usage);
        }
        self.shared.usages.set_own(sum);
    }
}

/// Error text of a daemon that cannot confirm that its settings are current.
pub(super) const UNCONFIRMED_TEXT: &str =
    "this daemon cannot confirm its settings; nothing was started";

/// Answer of a daemon that cannot confirm that its settings are current.
pub(super) fn unconfirmed_answer() -> wire::Answer {
    failure(ErrorKind::Unconfirmed, UNCONFIRMED_TEXT)
}
