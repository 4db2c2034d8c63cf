//! Reports of attempts to their homes, until the outcomes are durable there.

use std::time::Duration;

use border::workers::{AttemptId, StopRequest};
use common::ErrorKind;
use wire::Body;

use super::{Allocator, WorkerCall, build_report, key_of};
use crate::event::Event;
use crate::node::action::Action;
use crate::node::call::Purpose;
use crate::node::shared::Shared;

/// Interval between reports of an attempt until the home acknowledges.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// How long a worker keeps an ended attempt if a start's reply was lost.
const FORGET_DELAY: Duration = Duration::from_mins(1);

impl Allocator {
    /// Reports ended attempts, and running ones that their home has not confirmed.
    pub(super) fn report_due(&mut self, shared: &Shared) {
        let partitions = shared.config.partition_count;
        for (run, tracked) in &mut self.runs {
            if tracked.report_at > shared.now || (tracked.is_confirmed && !tracked.is_ended()) {
                continue;
            }
            tracked.report_at = shared.now + REPORT_INTERVAL;
            let partition = key_of(run).partition(partitions);
            let body = Body::Report(build_report(&self.name, run, tracked));
            let purpose = Purpose::Report { rack: self.name.clone(), run: run.clone() };
            self.actions.push(Action::CallHome(partition, body, purpose));
        }
    }

    /// Handles a home's reply to a report; `None` if the reply was lost.
    ///
    /// An attempt that the home does not know as current is stopped.
    pub fn handle_ack(&mut self, shared: &Shared, run: &AttemptId, ack: Option<wire::Ack>) {
        let Some(ack) = ack else { return };
        let Some(tracked) = self.runs.get_mut(run) else { return };
        let kind = ErrorKind::from_code(ack.code);
        match (tracked.is_ended(), kind) {
            (true, None | Some(ErrorKind::NotFound)) => self.forget(shared, run),
            (false, None) => tracked.is_confirmed = true,
            (false, Some(ErrorKind::NotFound)) => {
                tracked.report_at = shared.now + REPORT_INTERVAL;
                let stop =
                    StopRequest { run: run.clone(), fence: self.claim.epoch, checkpoint: false };
                self.worker_calls.push(WorkerCall::Stop(tracked.worker.clone(), stop));
                self.actions.push(Action::Log(Event::StaleTaskStopped, run.to_string()));
            }
            (_, Some(_)) => {}
        }
    }

    /// Stops tracking an attempt, and lets its worker drop it with a later renewal.
    pub(super) fn forget(&mut self, shared: &Shared, run: &AttemptId) {
        let Some(tracked) = self.runs.remove(run) else { return };
        // A start whose reply was lost may still arrive; the worker must recognize it then.
        let delay = if tracked.was_reply_lost { FORGET_DELAY } else { Duration::ZERO };
        if let Some(renewal) = self.renewal_states.get_mut(&tracked.worker) {
            renewal.forget.push((run.clone(), shared.now + delay));
        }
    }
}
