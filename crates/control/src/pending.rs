//! Requests of local callers: admission, forwarding to the leader, and timeouts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::Action;
use crate::answer::{Answer, CallerRequest, Operation};
use crate::event::{log_event, log_job_event};
use crate::frame::Body;
use crate::in_flight::{Class, InFlight};
use crate::load::Late;
use crate::meter::{Counter, Timing};
use crate::node::Context;
use crate::request_codec::encode_request;

/// Time for which a request waits for a leader; after it, the request is refused.
const LEADER_WAIT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Same as [`LEADER_WAIT_TIMEOUT`], if the leader is known to be alive but unreachable.
const CUT_OFF_WAIT_TIMEOUT: Duration = Duration::from_millis(50);

/// Divisor of the caller's timeout that gives the longest time that a submission waits to be sent.
const MAX_QUEUE_SHARE: u32 = 4;

/// Same as [`MAX_QUEUE_SHARE`], if submissions have waited all this time.
///
/// A short queue then serves as many requests as a long one, and those it serves are in time.
const STANDING_QUEUE_SHARE: u32 = 32;

/// Time after which refused callers are to retry.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest wait that the retry time of a refusal follows.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(2);

/// Longest time after which refused callers return to a backlog, without the spread.
const MAX_BACKLOG_RETRY_WAIT: Duration = Duration::from_secs(10);

/// Maximum number of pending requests per daemon.
const MAX_PENDING_REQUESTS: usize = 1000;

/// Part of the caller's timeout that a refusal needs to reach it, or a leader to answer.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Divisor of the time for which ended jobs are kept that gives the longest wait for an answer.
///
/// A leader that is sent a submission again must still know the job.
const RETENTION_SHARE: u32 = 4;

common::key! {
    /// How a daemon reaches the leader.
    pub(crate) struct Contact {
        /// Epoch of the latest known leader; 0 for none.
        pub epoch: u64,
        /// Time since a leader was last reached; none while one is reached.
        pub lost_for: Option<Duration>,
        /// Whether a leader is alive but unreachable from here.
        pub is_cut_off: bool,
    }

    /// Why a request is no longer waited for.
    enum GiveUp {
        /// The caller's timeout is over.
        Timeout,
        /// No leader was reached for too long.
        NoLeader,
        /// The leader is alive but unreachable.
        CutOff,
        /// The caller closed its connection.
        CallerLeft,
        /// The daemon exits.
        Exit,
    }
}

impl GiveUp {
    /// Reason in the log.
    fn reason(self) -> &'static str {
        match self {
            Self::Timeout => "caller's timeout",
            Self::NoLeader => "no leader",
            Self::CutOff => "cut off from the leader",
            Self::CallerLeft => "caller left",
            Self::Exit => "exit",
        }
    }
}

/// A request that has no answer yet.
#[derive(Debug)]
struct PendingRequest {
    token: u64,
    call: CallerRequest,
    arrived: Duration,
    /// When it is refused, unless it may have had an effect.
    refuse_at: Duration,
    /// When its answer is no longer awaited.
    ends_at: Duration,
    /// Link to the current leader on which it was sent; none if it is to be sent.
    sent_on: Option<u64>,
    /// Whether any leader may have received it.
    was_sent: bool,
    /// Whether a leader before the one that it was last sent to may have received it.
    is_resent: bool,
}

impl PendingRequest {
    /// Whether it waits to be sent on a link.
    fn is_unsent(&self, link: u64) -> bool {
        self.sent_on != Some(link)
    }

    /// Whether it is to be refused instead of being sent for the first time.
    fn is_too_late_to_send(&self, now: Duration) -> bool {
        !self.was_sent && now >= self.refuse_at
    }

    /// Longest time that it waits to be sent, if requests have waited for `backlogged`.
    fn max_queue_time(&self, backlogged: Duration) -> Duration {
        let burst_limit = self.call.timeout / MAX_QUEUE_SHARE;
        match self.call.op {
            Operation::Submit(_) if backlogged > burst_limit => {
                self.call.timeout / STANDING_QUEUE_SHARE
            }
            Operation::Submit(_) => burst_limit,
            _ => Duration::MAX,
        }
    }
}

/// Local callers' requests that wait for the leader's answer, by request id.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<u64, PendingRequest>,
    in_flight: InFlight,
    /// Since when submissions have waited to be sent; none if none waits.
    backlogged_since: Option<Duration>,
    last_id: u64,
}

impl PendingRequests {
    /// Admits a caller's request and returns its id; none if it was refused.
    pub fn admit(&mut self, ctx: &mut Context, token: u64, call: CallerRequest) -> Option<u64> {
        if self.requests.len() >= MAX_PENDING_REQUESTS {
            log_event!(ctx, RequestRefused, "path" => %call.target,
                "reason" => "too many pending requests");
            ctx.answer_caller(token, refusal(false));
            return None;
        }
        let timeout = call.timeout.min(ctx.config.ended_job_retention / RETENTION_SHARE);
        let ends_at = ctx.now + timeout;
        let refuse_at = ctx.now + timeout.saturating_sub(ANSWER_MARGIN);
        let arrived = ctx.now;
        let pending = PendingRequest {
            token,
            call,
            arrived,
            refuse_at,
            ends_at,
            sent_on: None,
            was_sent: false,
            is_resent: false,
        };
        let wait = self.expected_wait(ctx.now);
        if wait > pending.max_queue_time(self.backlogged_for(ctx.now)) {
            Self::refuse_overloaded(ctx, &pending, wait);
            return None;
        }
        self.last_id += 1;
        self.requests.insert(self.last_id, pending);
        Some(self.last_id)
    }

    /// How long submissions have waited to be sent without a break.
    fn backlogged_for(&self, now: Duration) -> Duration {
        self.backlogged_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Expected time until a new submission is sent; zero without a leader.
    fn expected_wait(&self, now: Duration) -> Duration {
        let Some(link) = self.in_flight.link else { return Duration::ZERO };
        let unsent = self.requests.values().filter(|pending| pending.is_unsent(link));
        let ahead = unsent.filter(|pending| Class::of(&pending.call.op) == Class::Submission);
        self.in_flight.expected_wait(ahead.count(), now)
    }

    /// Refuses a submission that was not sent because the leader is overloaded.
    fn refuse_overloaded(ctx: &mut Context, pending: &PendingRequest, wait: Duration) {
        if let Operation::Submit(submission) = &pending.call.op {
            log_job_event!(ctx, &submission.id, RequestRefused, "path" => %pending.call.target,
                "reason" => "leader is overloaded", "wait_ms" => wait.as_millis() as u64);
        }
        let answer = spread_refusal(ctx, wait);
        ctx.answer_caller(pending.token, answer);
    }

    /// Number of pending requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Drops the request of a caller that disconnected.
    pub fn remove_caller(&mut self, ctx: &Context, token: u64, contact: Contact) {
        for (_, pending) in self.requests.extract_if(.., |_, pending| pending.token == token) {
            if pending.may_have_effect() {
                ctx.meter.add(Counter::Answers, "caller_left", 1);
                pending.log_given_up(ctx, GiveUp::CallerLeft, contact);
            }
        }
    }

    /// Forwards the oldest requests that have not been sent on this link, within the limits.
    pub fn forward_unsent(&mut self, ctx: &mut Context, link: u64) {
        for (id, call) in self.take_unsent(ctx.now, link) {
            ctx.send(link, Body::Request(encode_request(id, &call)));
        }
    }

    /// Returns requests that the leader in this process has not received, within the limits.
    pub fn take_for_local_leader(&mut self, now: Duration) -> Vec<(u64, CallerRequest)> {
        self.take_unsent(now, LOCAL_LEADER)
    }

    /// Marks the oldest unsent requests as sent, within the limits, and returns them.
    fn take_unsent(&mut self, now: Duration, link: u64) -> Vec<(u64, CallerRequest)> {
        if self.in_flight.link != Some(link) {
            self.in_flight.select_link(link, now);
            self.backlogged_since = None;
        }
        let mut taken = Vec::new();
        let mut is_backlogged = false;
        if !self.requests.values().any(|pending| pending.is_unsent(link)) {
            self.backlogged_since = None;
            return taken;
        }
        let mut free_slots = self.in_flight.free_slots(now);
        for (id, pending) in &mut self.requests {
            let class = Class::of(&pending.call.op);
            if !pending.is_unsent(link) || pending.is_too_late_to_send(now) {
                continue;
            }
            let Some(slots) = free_slots.get_mut(&class).filter(|slots| **slots > 0) else {
                let is_submission = class == Class::Submission;
                self.in_flight.is_limited |= is_submission;
                is_backlogged |= is_submission;
                continue;
            };
            *slots -= 1;
            pending.sent_on = Some(link);
            pending.is_resent = pending.was_sent;
            pending.was_sent = true;
            self.in_flight.sent.insert(*id, (class, now));
            taken.push((*id, pending.call.clone()));
        }
        self.backlogged_since = is_backlogged.then(|| self.backlogged_since.unwrap_or(now));
        taken
    }

    /// Marks all requests as not sent, so that the next leader receives them all.
    pub fn mark_all_unsent(&mut self) {
        for pending in self.requests.values_mut() {
            pending.sent_on = None;
        }
        self.hold();
    }

    /// Holds all requests, as no leader accepts any.
    pub fn hold(&mut self) {
        self.in_flight.link = None;
    }

    /// Records for how long a request was queued at the leader that answered it.
    pub fn record_queue_time(&mut self, now: Duration, queued: Duration) {
        self.in_flight.record_queue_time(now, queued);
    }

    /// Same as [`Self::answer`], for an answer that came on a link.
    ///
    /// A refusal says nothing of what was sent on another link since.
    pub fn answer_on(&mut self, ctx: &mut Context, link: u64, id: u64, answer: Answer) {
        let sent_on = self.requests.get(&id).and_then(|pending| pending.sent_on);
        let is_refusal = matches!(
            answer,
            Answer::Refused { .. }
                | Answer::QueueNotFound
                | Answer::Unauthorized
                | Answer::IdInUse
                | Answer::NeverFits(_)
        );
        if is_refusal && sent_on.is_some_and(|latest| latest != link) {
            ctx.load.count_late(Late::Answer);
            return;
        }
        self.answer(ctx, id, answer);
    }

    /// Passes the leader's answer to the caller; ignored if the request is no longer pending.
    pub fn answer(&mut self, ctx: &mut Context, id: u64, answer: Answer) {
        self.in_flight.record_answer(id, ctx.now);
        if let Some(pending) = self.requests.remove(&id) {
            ctx.meter.record_duration(Timing::Answer, ctx.now.saturating_sub(pending.arrived));
            let answer =
                if pending.hides_outcome(&answer) { Answer::OutcomeUnknown } else { answer };
            ctx.answer_caller(pending.token, answer);
        } else {
            ctx.load.count_late(Late::Answer);
        }
    }

    /// Refuses submissions that waited too long to be sent to a leader that is reached.
    fn refuse_waiting(&mut self, ctx: &mut Context) {
        let Some(link) = self.in_flight.link else { return };
        let now = ctx.now;
        let backlogged = self.backlogged_for(now);
        let selected_at = self.in_flight.selected_at;
        let is_overdue = |pending: &PendingRequest| {
            // Time without a leader says nothing about the load of the present one.
            let queue_time = now.saturating_sub(pending.arrived.max(selected_at));
            !pending.was_sent
                && pending.is_unsent(link)
                && queue_time > pending.max_queue_time(backlogged)
        };
        let overdue: Vec<_> =
            self.requests.extract_if(.., |_, pending| is_overdue(pending)).collect();
        if overdue.is_empty() {
            return;
        }
        let wait = self.expected_wait(now);
        for (_, pending) in overdue {
            Self::refuse_overloaded(ctx, &pending, wait);
        }
    }

    /// Answers requests whose time is over or that waited too long for a leader.
    pub fn expire(&mut self, ctx: &mut Context, contact: Contact) {
        if contact.lost_for.is_none() {
            self.refuse_waiting(ctx);
        }
        let now = ctx.now;
        let expired = self.requests.iter().filter_map(|(id, pending)| {
            let reason = pending.give_up_reason(now, contact)?;
            Some((*id, reason))
        });
        let expired: Vec<_> = expired.collect();
        for (id, reason) in expired {
            let Some(pending) = self.requests.remove(&id) else { continue };
            pending.give_up(ctx, reason, contact);
        }
    }
}

/// Returns a refusal with the standard retry time; `try_other_daemon` advises to do so.
pub(crate) fn refusal(try_other_daemon: bool) -> Answer {
    Answer::Refused { retry_after: RETRY_AFTER, try_other_daemon }
}

/// Returns a refusal that spreads the callers' return over time, beginning after `wait`.
pub(crate) fn spread_refusal(ctx: &mut Context, wait: Duration) -> Answer {
    let base = wait.clamp(RETRY_AFTER, MAX_RETRY_WAIT);
    let spread = Duration::from_millis(ctx.random_below(base.as_millis() as u64 * 2));
    Answer::Refused { retry_after: base + spread, try_other_daemon: false }
}

/// Part of a wait, as a divisor, over which callers of one workspace return.
const WORKSPACE_SPREAD_DIVISOR: u64 = 4;

/// Returns a refusal that spreads the callers' return over the time after a backlog has shrunk.
///
/// The backlog of a workspace is that of few callers, which return over a shorter time.
pub(crate) fn backlog_refusal(
    ctx: &mut Context,
    excess_wait: Duration,
    is_of_workspace: bool,
) -> Answer {
    let base = excess_wait.clamp(RETRY_AFTER, MAX_BACKLOG_RETRY_WAIT);
    let divisor = if is_of_workspace { WORKSPACE_SPREAD_DIVISOR } else { 1 };
    let spread = Duration::from_millis(ctx.random_below(base.as_millis() as u64 / divisor));
    Answer::Refused { retry_after: base + spread, try_other_daemon: false }
}

/// Link number that denotes a leader in the same process.
const LOCAL_LEADER: u64 = u64::MAX;

impl PendingRequests {
    /// Refuses the requests that no leader has received, as another daemon may serve them.
    pub fn refuse_unsent(&mut self, ctx: &mut Context, reason: &'static str) {
        for (_, pending) in self.requests.extract_if(.., |_, pending| !pending.was_sent) {
            log_event!(ctx, RequestRefused, "path" => %pending.call.target,
                "reason" => reason);
            ctx.answer_caller(pending.token, refusal(true));
        }
    }

    /// Answers all remaining requests of a daemon that exits.
    pub fn answer_all(&mut self, ctx: &mut Context, contact: Contact) {
        for (_, pending) in std::mem::take(&mut self.requests) {
            pending.give_up(ctx, GiveUp::Exit, contact);
        }
    }
}

impl PendingRequest {
    /// Whether a leader may have carried it out.
    ///
    /// Only its answer tells the outcome then, and each leader that is sent it again gives that.
    fn may_have_effect(&self) -> bool {
        self.was_sent && matches!(self.call.op, Operation::Submit(_) | Operation::Cancel(_))
    }

    /// Whether an answer says that it had no effect although an earlier leader may have carried it
    /// out.
    ///
    /// That leader may have known a key that was removed or went to another workspace since.
    fn hides_outcome(&self, answer: &Answer) -> bool {
        self.is_resent
            && self.may_have_effect()
            && matches!(answer, Answer::Unauthorized | Answer::IdInUse)
    }

    /// Why it is no longer waited for; none while it is.
    fn give_up_reason(&self, now: Duration, contact: Contact) -> Option<GiveUp> {
        if self.may_have_effect() {
            return (now >= self.ends_at).then_some(GiveUp::Timeout);
        }
        if now >= self.refuse_at {
            return Some(GiveUp::Timeout);
        }
        let (limit, reason) = if contact.is_cut_off {
            (CUT_OFF_WAIT_TIMEOUT, GiveUp::CutOff)
        } else {
            (LEADER_WAIT_TIMEOUT, GiveUp::NoLeader)
        };
        let is_overdue = contact.lost_for? >= limit && now >= self.arrived + limit;
        is_overdue.then_some(reason)
    }

    /// Answers it although no leader did.
    fn give_up(&self, ctx: &mut Context, reason: GiveUp, contact: Contact) {
        self.log_given_up(ctx, reason, contact);
        let try_other_daemon = reason == GiveUp::Exit || contact.lost_for.is_some();
        ctx.answer_caller(self.token, self.unanswered(try_other_daemon));
    }

    /// Logs that its answer is no longer awaited.
    fn log_given_up(&self, ctx: &Context, reason: GiveUp, contact: Contact) {
        let left = (self.arrived + self.call.timeout).saturating_sub(ctx.now);
        let lost_ms = contact.lost_for.map(|lost_for| lost_for.as_millis() as u64);
        log_event!(ctx, RequestTimedOut, "path" => %self.call.target, "reason" => reason.reason(),
            "waited_ms" => ctx.now.saturating_sub(self.arrived).as_millis() as u64,
            "left_ms" => left.as_millis() as u64, "sent" => self.was_sent,
            "epoch" => contact.epoch, "without_leader_ms" => lost_ms,
            "cut_off" => contact.is_cut_off);
    }

    /// The answer to a request that no leader has answered.
    fn unanswered(&self, try_other_daemon: bool) -> Answer {
        if self.may_have_effect() { Answer::OutcomeUnknown } else { refusal(try_other_daemon) }
    }
}

impl Context {
    /// Counts an answer and passes it to the caller.
    pub(crate) fn answer_caller(&mut self, token: u64, answer: Answer) {
        self.meter.add(Counter::Answers, answer_label(&answer), 1);
        self.actions.push(Action::Answer { token, answer });
    }
}

/// Metric label of an answer.
fn answer_label(answer: &Answer) -> &'static str {
    match answer {
        Answer::Accepted => "accepted",
        Answer::State(_) => "state",
        Answer::Cancelled => "cancelled",
        Answer::Pending(_) => "pending",
        Answer::QueueNotFound => "no_queue",
        Answer::JobNotFound => "no_job",
        Answer::Refused { .. } => "refused",
        Answer::OutcomeUnknown => "unknown",
        Answer::View(_) => "view",
        Answer::TooLarge => "too_large",
        Answer::Authorized => "authorized",
        Answer::Unauthorized => "unauthorized",
        Answer::IdInUse => "id_in_use",
        Answer::NeverFits(_) => "never_fits",
    }
}
