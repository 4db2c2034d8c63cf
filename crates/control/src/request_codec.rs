//! Encoding of callers' requests and of their answers in frames.

use std::time::Duration;

use common::Name;
use scheduler::{JobState, KeyDigest};

use crate::answer::{Answer, CallerRequest, Credential, Operation, Target, View};
use crate::frame::{Reply, Request};

/// Encodes a call; its timeout is not transmitted.
pub(crate) fn encode_request(id: u64, call: &CallerRequest) -> Request {
    let (op, job) = match &call.op {
        Operation::Submit(_) => (1, None),
        Operation::GetState(job) => (2, Some(job)),
        Operation::Cancel(job) => (3, Some(job)),
        Operation::CountPending => (4, None),
        Operation::CheckAccess => (10, None),
        Operation::View(View::Job(job)) => (5, Some(job)),
        Operation::View(View::Queues) => (6, None),
        Operation::View(View::Workers) => (7, None),
        Operation::View(View::Members) => (8, None),
        Operation::View(View::Workspaces) => (9, None),
        Operation::View(View::Estimates) => (11, None),
    };
    let job = job.map(ToString::to_string).unwrap_or_default();
    let submission = match &call.op {
        Operation::Submit(submission) => Some(Box::new(submission.clone())),
        _ => None,
    };
    let (host, path, queue) = match &call.target {
        Target::Route { host, path } => (host.to_string(), path.to_string(), String::new()),
        Target::Queue(queue) => (String::new(), String::new(), queue.to_string()),
    };
    let key_digest = match &call.credential {
        Credential::Key(digest) => digest.as_bytes().to_vec(),
        Credential::Operator | Credential::Missing => Vec::new(),
    };
    let is_operator = call.credential == Credential::Operator;
    Request { id, host, path, op, job, submission, queue, key_digest, is_operator }
}

/// Decodes a peer's request; none if this version does not know its operation, or if its job is
/// not one that a daemon of this version accepts.
pub(crate) fn decode_request(request: Request) -> Option<CallerRequest> {
    let op = match request.op {
        1 => {
            let submission = *request.submission?;
            submission.validate_steps().ok()?;
            Operation::Submit(submission)
        }
        2 => Operation::GetState(Name::new(&request.job)),
        3 => Operation::Cancel(Name::new(&request.job)),
        4 => Operation::CountPending,
        10 => Operation::CheckAccess,
        5 => Operation::View(View::Job(Name::new(&request.job))),
        6 => Operation::View(View::Queues),
        7 => Operation::View(View::Workers),
        8 => Operation::View(View::Members),
        9 => Operation::View(View::Workspaces),
        11 => Operation::View(View::Estimates),
        _ => return None,
    };
    let target = if request.host.is_empty() && request.path.is_empty() {
        Target::Queue(Name::new(&request.queue))
    } else {
        Target::Route { host: Name::new(&request.host), path: Name::new(&request.path) }
    };
    let credential = match KeyDigest::from_bytes(&request.key_digest) {
        _ if request.is_operator => Credential::Operator,
        Some(digest) => Credential::Key(digest),
        None => Credential::Missing,
    };
    Some(CallerRequest { target, op, credential, timeout: Duration::ZERO })
}

/// Encodes an answer; the `try_other_daemon` flag of a refusal is not transmitted.
pub(crate) fn encode_reply(id: u64, answer: &Answer, queued: Duration) -> Reply {
    let text = match answer {
        Answer::View(text) | Answer::NeverFits(text) => text.clone(),
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
        Answer::TooLarge => (10, 0),
        Answer::Unauthorized => (11, 0),
        Answer::IdInUse => (12, 0),
        Answer::NeverFits(_) => (13, 0),
        Answer::Authorized => (14, 0),
    };
    Reply { id, answer, value, text, queued_us: queued.as_micros() as u64 }
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
        10 => Answer::TooLarge,
        11 => Answer::Unauthorized,
        12 => Answer::IdInUse,
        13 => Answer::NeverFits(reply.text.clone()),
        14 => Answer::Authorized,
        _ => Answer::OutcomeUnknown,
    }
}
