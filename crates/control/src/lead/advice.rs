//! Distribution of advice calls over the daemons.
//!
//! The advice service handles the calls of one machine one after the other, so a slow call
//! delays those behind it. A call is requested only when a daemon is about to be free, so that
//! its answer arrives while the room that it is for is free, and steps are served by rank.
//! With three daemons or more, each class has daemons that make few or no calls of slower ones, so
//! that fast and medium calls do not wait behind slow ones. Medium calls are sent before slow ones,
//! but never to all of their daemons.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use scheduler::{AdviceCall, AdviceCapacity, AdviceKey, CallClass, Phase, Scheduler};

use crate::action::Action;
use crate::frame::{self, Body};
use crate::lead::peers::Peers;
use crate::meter::Timing;
use crate::node::Context;

/// Largest backlog at which a daemon gets another call.
///
/// It is above zero so that the service has no gap between two calls.
const MAX_BACKLOG: Duration = Duration::from_millis(20);

/// Time after a call's expected end from which its daemon gets no other call.
const OVERDUE_CALL_MARGIN: Duration = Duration::from_millis(100);

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
    key: AdviceKey,
    /// Expected duration.
    expected_duration: Duration,
    sent: Duration,
    /// When the call times out at the leader.
    deadline: Duration,
}

/// Advice calls that are queued or under way.
#[derive(Debug, Default)]
pub(crate) struct AdviceCalls {
    /// Queued calls of each class.
    queued: [VecDeque<AdviceCall>; CallClass::ALL.len()],
    /// Calls under way, by call number.
    pending: HashMap<u64, PendingCall>,
}

/// Daemons that make the calls of each class, as links; none is the leader itself.
///
/// Of equally busy daemons, the first gets the next call.
struct DaemonGroups {
    by_class: [Vec<Option<u64>>; CallClass::ALL.len()],
    /// Daemons that make calls of one class only while it is short of daemons.
    kept_for: BTreeMap<Option<u64>, CallClass>,
}

impl DaemonGroups {
    /// Given three daemons or more, a third is for fast calls, half of them for others too unless
    /// fast ones are short of daemons. A third of the rest is for slow calls, and the others are for
    /// slow ones too unless medium ones are short of daemons.
    fn new(peers: &Peers, now: Duration) -> Self {
        // The leader comes first among the fast ones, as its own calls need no relay.
        let mut fast = vec![None];
        fast.extend(peers.responsive_links(now).map(Some));
        if fast.len() < 3 {
            let by_class = [fast.clone(), fast.clone(), fast];
            return Self { by_class, kept_for: BTreeMap::new() };
        }
        let mut slow = fast.split_off(fast.len() / 3);
        let share = (slow.len() / 3).max(1);
        let mut medium: Vec<_> = slow[share..].iter().rev().copied().collect();
        let shared_fast = &fast[fast.len().div_ceil(2)..];
        let kept_for_medium = slow[share..].iter();
        let kept_for = kept_for_medium.map(|daemon| (*daemon, CallClass::Medium));
        let kept_for = kept_for.chain(shared_fast.iter().map(|daemon| (*daemon, CallClass::Fast)));
        let kept_for = kept_for.collect();
        medium.extend(shared_fast);
        slow.extend(shared_fast);
        Self { by_class: [fast, medium, slow], kept_for }
    }

    fn of(&self, class: CallClass) -> &[Option<u64>] {
        &self.by_class[class as usize]
    }

    /// All daemons, with the classes of their calls.
    fn classes(&self) -> BTreeMap<Option<u64>, Vec<CallClass>> {
        let mut classes: BTreeMap<_, Vec<CallClass>> = BTreeMap::new();
        for class in CallClass::ALL {
            for daemon in self.of(class) {
                classes.entry(*daemon).or_default().push(class);
            }
        }
        classes
    }
}

impl AdviceCalls {
    /// Queues a call.
    pub fn enqueue(&mut self, advice_call: AdviceCall) {
        let class = CallClass::of(advice_call.expected_duration);
        self.queued[class as usize].push_back(advice_call);
    }

    /// Daemons that can make further calls, after those that are queued or under way.
    pub fn capacity(&self, peers: &Peers, now: Duration) -> AdviceCapacity {
        let daemons = DaemonGroups::new(peers, now);
        let mut capacity = AdviceCapacity::default();
        for (daemon, classes) in daemons.classes() {
            if let Some(wait) = self.wait(daemon, now) {
                capacity.add_daemon(&classes, daemons.kept_for.get(&daemon).copied(), wait);
            }
        }
        for class in CallClass::ALL {
            for advice_call in &self.queued[class as usize] {
                capacity.assign(advice_call.expected_duration);
            }
        }
        capacity
    }

    /// Sends queued calls to daemons that are about to be free.
    pub fn dispatch(&mut self, ctx: &mut Context, peers: &Peers, scheduler: &Scheduler) {
        if self.queued.iter().all(VecDeque::is_empty) {
            return;
        }
        let daemons = DaemonGroups::new(peers, ctx.now);
        for class in CallClass::ALL {
            let queue = std::mem::take(&mut self.queued[class as usize]);
            let remaining = self.dispatch_queue(ctx, queue, daemons.of(class), scheduler);
            self.queued[class as usize] = remaining;
        }
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
            let job = scheduler.jobs.get(&advice_call.key.job);
            if job.is_none_or(|job| job.phase != Phase::Open) {
                continue;
            }
            let free = daemons.iter().min_by_key(|daemon| self.backlog(**daemon));
            match free {
                Some(daemon) if self.backlog(*daemon) <= MAX_BACKLOG => {
                    self.send(ctx, *daemon, advice_call);
                }
                _ => {
                    queue.push_front(advice_call);
                    break;
                }
            }
        }
        queue
    }

    /// Expected time until a daemon is free; `None` if a call at it is overdue.
    fn wait(&self, link: Option<u64>, now: Duration) -> Option<Duration> {
        let calls = || self.pending.values().filter(|call| call.link == link);
        let Some(first_sent) = calls().map(|call| call.sent).min() else {
            return Some(Duration::ZERO);
        };
        let end = first_sent + self.backlog(link);
        (now <= end + OVERDUE_CALL_MARGIN).then(|| end.saturating_sub(now))
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
        let AdviceCall { key, workers, expected_duration } = advice_call;
        let (job, step) = (key.job.clone(), key.step);
        match daemon {
            None => {
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
            PendingCall { link: daemon, key, expected_duration, sent: ctx.now, deadline };
        self.pending.insert(call, pending_call);
    }

    /// Removes the calls whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<AdviceKey> {
        let expired = self.pending.extract_if(|_, call| call.deadline <= now);
        expired.map(|(_, call)| call.key).collect()
    }

    /// Removes a call that ended and records its duration.
    pub fn finish(&mut self, ctx: &Context, call: u64) -> Option<AdviceKey> {
        let call = self.pending.remove(&call)?;
        ctx.meter.record_duration(Timing::Advice, ctx.now.saturating_sub(call.sent));
        Some(call.key)
    }

    /// Removes the calls of a follower that left.
    pub fn drop_link(&mut self, link: u64) -> Vec<AdviceKey> {
        let lost = self.pending.extract_if(|_, call| call.link == Some(link));
        lost.map(|(_, call)| call.key).collect()
    }
}
