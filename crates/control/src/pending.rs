//! Requests of local callers: admission, forwarding to the leader, timeouts, and their encoding
//! in frames.

use std::collections::BTreeMap;
use std::time::Duration;

use common::Name;
use scheduler::JobState;

use crate::action::Action;
use crate::answer::{Answer, CallerRequest, Operation, Target, View};
use crate::event::log_event;
use crate::frame::{Body, Reply, Request};
use crate::load::Late;
use crate::meter::{Counter, Timing};
use crate::node::Context;

/// Time for which a request waits for a leader.
///
/// After it, a request that was not sent is refused, and the outcome of a sent submission or
/// cancellation is unknown.
const LEADER_WAIT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Same as [`LEADER_WAIT_TIMEOUT`], if the leader is known to be alive but unreachable.
const CUT_OFF_WAIT_TIMEOUT: Duration = Duration::from_millis(50);

/// Time after which refused callers are to retry.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Maximum number of pending requests per daemon.
const MAX_PENDING_REQUESTS: usize = 1000;

/// Part of the caller's timeout reserved for returning the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// A request that has no answer yet.
#[derive(Debug)]
struct PendingRequest {
    token: u64,
    call: CallerRequest,
    arrived: Duration,
    deadline: Duration,
    /// Link to the current leader on which it was sent; none if it is to be sent.
    sent_on: Option<u64>,
    /// Whether any leader may have received it.
    was_sent: bool,
}

/// Local callers' requests that wait for the leader's answer, by request id.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<u64, PendingRequest>,
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
        self.last_id += 1;
        let deadline = ctx.now + call.timeout.saturating_sub(ANSWER_MARGIN);
        let arrived = ctx.now;
        let pending =
            PendingRequest { token, call, arrived, deadline, sent_on: None, was_sent: false };
        self.requests.insert(self.last_id, pending);
        Some(self.last_id)
    }

    /// Number of pending requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Drops the request of a caller that disconnected.
    pub fn remove_caller(&mut self, token: u64) {
        self.requests.retain(|_, pending| pending.token != token);
    }

    /// Forwards all requests that have not been sent on this link.
    pub fn forward_unsent(&mut self, ctx: &mut Context, link: u64) {
        for (id, pending) in &mut self.requests {
            if pending.sent_on == Some(link) {
                continue;
            }
            pending.sent_on = Some(link);
            pending.was_sent = true;
            ctx.send(link, Body::Request(encode_request(*id, &pending.call)));
        }
    }

    /// Returns the requests that the leader in this process has not received.
    pub fn take_for_local_leader(&mut self) -> Vec<(u64, CallerRequest)> {
        let unseen =
            self.requests.iter_mut().filter(|(_, pending)| pending.sent_on != Some(LOCAL_LEADER));
        unseen
            .map(|(id, pending)| {
                pending.sent_on = Some(LOCAL_LEADER);
                pending.was_sent = true;
                (*id, pending.call.clone())
            })
            .collect()
    }

    /// Marks all requests as not sent, so that the next leader receives them all.
    pub fn mark_all_unsent(&mut self) {
        for pending in self.requests.values_mut() {
            pending.sent_on = None;
        }
    }

    /// Passes the leader's answer to the caller; ignored if the request is no longer pending.
    pub fn answer(&mut self, ctx: &mut Context, id: u64, answer: Answer) {
        if let Some(pending) = self.requests.remove(&id) {
            ctx.meter.record_duration(Timing::Answer, ctx.now.saturating_sub(pending.arrived));
            ctx.answer_caller(pending.token, answer);
        } else {
            ctx.load.count_late(Late::Answer);
        }
    }

    /// Answers requests whose deadline has passed or that waited too long for a leader.
    ///
    /// `without_leader` is the time since a leader was last reached, or none while one is reached;
    /// `is_cut_off` means that a leader is alive but unreachable.
    pub fn expire(
        &mut self,
        ctx: &mut Context,
        without_leader: Option<Duration>,
        is_cut_off: bool,
    ) {
        let now = ctx.now;
        let wait_timeout = if is_cut_off { CUT_OFF_WAIT_TIMEOUT } else { LEADER_WAIT_TIMEOUT };
        let is_expired = |pending: &PendingRequest| {
            let is_leader_overdue = without_leader.is_some_and(|absence| {
                absence >= wait_timeout && now >= pending.arrived + wait_timeout
            });
            now >= pending.deadline || is_leader_overdue
        };
        let expired = self.requests.iter().filter(|(_, pending)| is_expired(pending));
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            let Some(pending) = self.requests.remove(&id) else { continue };
            let waited = now.saturating_sub(pending.arrived).as_millis() as u64;
            log_event!(ctx, RequestTimedOut, "path" => %pending.call.target, "waited_ms" => waited,
                "sent" => pending.was_sent, "cut_off" => is_cut_off);
            let answer = pending.unanswered(without_leader.is_some());
            ctx.answer_caller(pending.token, answer);
        }
    }
}

/// Returns a refusal with the standard retry time; `try_other_daemon` advises to do so.
pub(crate) fn refusal(try_other_daemon: bool) -> Answer {
    Answer::Refused { retry_after: RETRY_AFTER, try_other_daemon }
}

/// Link number that denotes a leader in the same process.
const LOCAL_LEADER: u64 = u64::MAX;

/// Encodes a call; its timeout is not transmitted.
fn encode_request(id: u64, call: &CallerRequest) -> Request {
    let (op, job) = match &call.op {
        Operation::Submit(_) => (1, None),
        Operation::GetState(job) => (2, Some(job)),
        Operation::Cancel(job) => (3, Some(job)),
        Operation::CountPending => (4, None),
        Operation::View(View::Job(job)) => (5, Some(job)),
        Operation::View(View::Queues) => (6, None),
        Operation::View(View::Workers) => (7, None),
        Operation::View(View::Members) => (8, None),
    };
    let job = job.map(ToString::to_string).unwrap_or_default();
    let submission = match &call.op {
        Operation::Submit(submission) => Some(submission.clone()),
        _ => None,
    };
    let (host, path, queue) = match &call.target {
        Target::Route { host, path } => (host.to_string(), path.to_string(), String::new()),
        Target::Queue(queue) => (String::new(), String::new(), queue.to_string()),
    };
    Request { id, host, path, op, job, submission, queue }
}

/// Decodes a peer's request; none if its operation is unknown to this version.
pub(crate) fn decode_request(request: Request) -> Option<CallerRequest> {
    let op = match request.op {
        1 => Operation::Submit(request.submission.unwrap_or_default()),
        2 => Operation::GetState(Name::new(&request.job)),
        3 => Operation::Cancel(Name::new(&request.job)),
        4 => Operation::CountPending,
        5 => Operation::View(View::Job(Name::new(&request.job))),
        6 => Operation::View(View::Queues),
        7 => Operation::View(View::Workers),
        8 => Operation::View(View::Members),
        _ => return None,
    };
    let target = if request.host.is_empty() && request.path.is_empty() {
        Target::Queue(Name::new(&request.queue))
    } else {
        Target::Route { host: Name::new(&request.host), path: Name::new(&request.path) }
    };
    Some(CallerRequest { target, op, timeout: Duration::ZERO })
}

/// Encodes an answer; the `try_other_daemon` flag of a refusal is not transmitted.
pub(crate) fn encode_reply(id: u64, answer: &Answer) -> Reply {
    let text = match answer {
        Answer::View(text) => text.clone(),
        _ => String::new(),
    };
    let (answer, value) = match answer {
        Answer::Accepted => (1, 0),
        Answer::State(job_state) => (2, *job_state as u64),
        Answer::Cancelled => (3, 0),
        Answer::Pending(count) => (4, *count),
        Answer::QueueNotFound => (5, 0),
        Answer::JobNotFound => (6, 0),
        Answer::Refused { retry_after, .. } => (7, retry_after.as_millis() as u64),
        Answer::OutcomeUnknown => (8, 0),
        Answer::View(_) => (9, 0),
    };
    Reply { id, answer, value, text }
}

/// Decodes an answer; [`Answer::OutcomeUnknown`] if its code is unknown to this version.
pub(crate) fn decode_answer(reply: &Reply) -> Answer {
    const JOB_STATES: [JobState; 5] = [
        JobState::Queued,
        JobState::Running,
        JobState::Completed,
        JobState::Failed,
        JobState::Cancelled,
    ];
    match reply.answer {
        1 => Answer::Accepted,
        2 => JOB_STATES
            .get(reply.value as usize)
            .map_or(Answer::OutcomeUnknown, |job_state| Answer::State(*job_state)),
        3 => Answer::Cancelled,
        4 => Answer::Pending(reply.value),
        5 => Answer::QueueNotFound,
        6 => Answer::JobNotFound,
        7 => Answer::Refused {
            retry_after: Duration::from_millis(reply.value),
            try_other_daemon: false,
        },
        9 => Answer::View(reply.text.clone()),
        _ => Answer::OutcomeUnknown,
    }
}

impl PendingRequests {
    /// Refuses the requests that no leader has received, as another daemon may serve them.
    pub fn refuse_unsent(&mut self, ctx: &mut Context) {
        for (_, pending) in self.requests.extract_if(.., |_, pending| !pending.was_sent) {
            log_event!(ctx, RequestRefused, "path" => %pending.call.target,
                "reason" => "stopping without a leader");
            ctx.answer_caller(pending.token, refusal(true));
        }
    }

    /// Answers all remaining requests of a daemon that exits.
    pub fn answer_all(&mut self, ctx: &mut Context) {
        for (_, pending) in std::mem::take(&mut self.requests) {
            log_event!(ctx, RequestTimedOut, "path" => %pending.call.target,
                "sent" => pending.was_sent, "reason" => "exit");
            ctx.answer_caller(pending.token, pending.unanswered(true));
        }
    }
}

impl PendingRequest {
    /// The answer to a request that no leader has answered.
    fn unanswered(&self, try_other_daemon: bool) -> Answer {
        match self.call.op {
            Operation::Submit(_) | Operation::Cancel(_) if self.was_sent => Answer::OutcomeUnknown,
            _ => refusal(try_other_daemon),
        }
    }
}

impl Context {
    /// Counts an answer and passes it to the caller.
    fn answer_caller(&mut self, token: u64, answer: Answer) {
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
    }
}
