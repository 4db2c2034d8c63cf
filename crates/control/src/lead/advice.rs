//! Distribution of advice calls over the daemons.
//!
//! The advice service handles the calls of one machine one after the other, so a slow call
//! delays those behind it. Calls are queued at the leader until a daemon is about to be free.
//! With three daemons or more, fast calls go to other daemons than slow and medium calls, so
//! that they never wait behind slow ones.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use common::Name;
use scheduler::{AdviceCall, Phase, Scheduler};

use crate::action::Action;
use crate::frame::{self, Body};
use crate::lead::peers::Peers;
use crate::meter::Timing;
use crate::node::Context;

/// Expected duration from which a call counts as slow.
const SLOW_CALL_THRESHOLD: Duration = Duration::from_millis(200);

/// Expected duration from which a call counts as medium; shorter ones are fast.
const MEDIUM_CALL_THRESHOLD: Duration = Duration::from_millis(30);

/// Largest backlog at which a daemon gets another call.
///
/// It is above zero so that the service has no gap between two calls.
const MAX_BACKLOG: Duration = Duration::from_millis(20);

/// Factor from the expected wait for a call to its timeout.
const TIMEOUT_FACTOR: u32 = 2;

/// Added to the timeout of each call.
const TIMEOUT_SLACK: Duration = Duration::from_millis(600);

/// Added to the timeout for the round trip to a follower.
const RELAY_TIMEOUT_SLACK: Duration = Duration::from_millis(200);

/// An advice call under way.
#[derive(Debug)]
struct PendingCall {
    /// Link of the follower that makes it; none for the leader itself.
    link: Option<u64>,
    job: Name,
    step: u32,
    /// Expected duration.
    expected_duration: Duration,
    sent: Duration,
    /// When the call times out at the leader.
    deadline: Duration,
}

/// Advice calls that are queued or under way.
#[derive(Debug, Default)]
pub(crate) struct AdviceCalls {
    /// Queued slow calls.
    slow: VecDeque<AdviceCall>,
    /// Queued medium calls.
    medium: VecDeque<AdviceCall>,
    /// Queued fast calls.
    fast: VecDeque<AdviceCall>,
    /// Calls under way, by call number.
    pending: HashMap<u64, PendingCall>,
}

/// Daemons that make advice calls, as links; none is the leader itself.
struct DaemonGroups {
    /// For slow and medium calls.
    slow: Vec<Option<u64>>,
    /// For fast calls.
    fast: Vec<Option<u64>>,
}

impl DaemonGroups {
    /// Reserves a third of the daemons for fast calls, given three or more.
    fn new(peers: &Peers, now: Duration) -> Self {
        let mut all: Vec<Option<u64>> = peers.responsive_links(now).map(Some).collect();
        all.push(None);
        if all.len() < 3 {
            return Self { slow: all.clone(), fast: all };
        }
        let fast = all.split_off(all.len() - all.len() / 3);
        Self { slow: all, fast }
    }
}

impl AdviceCalls {
    /// Queues a call.
    pub fn enqueue(&mut self, advice_call: AdviceCall) {
        let queue = match advice_call.expected_duration {
            expected_duration if expected_duration >= SLOW_CALL_THRESHOLD => &mut self.slow,
            expected_duration if expected_duration >= MEDIUM_CALL_THRESHOLD => &mut self.medium,
            _ => &mut self.fast,
        };
        queue.push_back(advice_call);
    }

    /// Sends queued calls to daemons that are about to be free.
    pub fn dispatch(&mut self, ctx: &mut Context, peers: &Peers, scheduler: &Scheduler) {
        if self.slow.is_empty() && self.medium.is_empty() && self.fast.is_empty() {
            return;
        }
        let daemons = DaemonGroups::new(peers, ctx.now);
        let queues = [
            (std::mem::take(&mut self.fast), &daemons.fast),
            (std::mem::take(&mut self.medium), &daemons.slow),
            (std::mem::take(&mut self.slow), &daemons.slow),
        ];
        let [fast, medium, slow] =
            queues.map(|(queue, daemons)| self.dispatch_queue(ctx, queue, daemons, scheduler));
        (self.fast, self.medium, self.slow) = (fast, medium, slow);
    }

    /// Sends queued calls to a group of daemons; returns those that stay queued.
    ///
    /// Calls for jobs that have ended are dropped.
    fn dispatch_queue(
        &mut self,
        ctx: &mut Context,
        mut queue: VecDeque<AdviceCall>,
        daemons: &[Option<u64>],
        scheduler: &Scheduler,
    ) -> VecDeque<AdviceCall> {
        while let Some(advice_call) = queue.pop_front() {
            let job = scheduler.jobs.get(&advice_call.job);
            if job.is_none_or(|job| job.phase != Phase::Open) {
                continue;
            }
            let free = daemons.iter().map(|daemon| (self.backlog(*daemon), *daemon)).min();
            match free {
                Some((backlog, daemon)) if backlog <= MAX_BACKLOG => {
                    self.send(ctx, daemon, advice_call);
                }
                _ => {
                    queue.push_front(advice_call);
                    break;
                }
            }
        }
        queue
    }

    /// Expected duration of all calls under way at a daemon.
    fn backlog(&self, link: Option<u64>) -> Duration {
        self.pending
            .values()
            .filter(|call| call.link == link)
            .map(|call| call.expected_duration)
            .sum()
    }

    /// Makes a call from a daemon; none is the leader itself.
    fn send(&mut self, ctx: &mut Context, daemon: Option<u64>, advice_call: AdviceCall) {
        let timeout =
            (self.backlog(daemon) + advice_call.expected_duration) * TIMEOUT_FACTOR + TIMEOUT_SLACK;
        let call = ctx.next_call_id();
        let deadline = ctx.now + timeout + RELAY_TIMEOUT_SLACK;
        let AdviceCall { job, step, workers, expected_duration } = advice_call;
        match daemon {
            None => {
                let job = job.clone();
                ctx.actions.push(Action::RequestAdvice { call, job, step, workers, timeout });
            }
            Some(link) => {
                let workers = workers.iter().map(ToString::to_string).collect();
                let timeout_ms = timeout.as_millis() as u32;
                let job = job.to_string();
                ctx.send(
                    link,
                    Body::Ask(frame::AdviceRequest { id: call, job, step, workers, timeout_ms }),
                );
            }
        }
        let pending_call =
            PendingCall { link: daemon, job, step, expected_duration, sent: ctx.now, deadline };
        self.pending.insert(call, pending_call);
    }

    /// Removes the calls whose deadline has passed; returns their jobs and steps.
    pub fn expire(&mut self, now: Duration) -> Vec<(Name, u32)> {
        let expired = self.pending.extract_if(|_, call| call.deadline <= now);
        expired.map(|(_, call)| (call.job, call.step)).collect()
    }

    /// Removes a call that ended and records its duration; returns its job and step.
    pub fn finish(&mut self, ctx: &Context, call: u64) -> Option<(Name, u32)> {
        let call = self.pending.remove(&call)?;
        ctx.meter.record_duration(Timing::Advice, ctx.now.saturating_sub(call.sent));
        Some((call.job, call.step))
    }

    /// Removes the calls of a follower that left; returns their jobs and steps.
    pub fn drop_link(&mut self, link: u64) -> Vec<(Name, u32)> {
        let lost = self.pending.extract_if(|_, call| call.link == Some(link));
        lost.map(|(_, call)| (call.job, call.step)).collect()
    }
}
