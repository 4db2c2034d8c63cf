//! Local callers' requests on their way to the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use common::Name;
use scheduler::Shown;

use crate::action::Action;
use crate::answer::{Answer, Call, Op, Target, View};
use crate::event::note;
use crate::frame::{Body, Reply, Request};
use crate::meter::{Count, Hop};
use crate::node::Port;

/// How long a request waits for a leader before it is refused, or given up if it was sent.
const LEADER_PATIENCE: Duration = Duration::from_millis(1200);

/// The same where the leader is known to be alive and out of reach.
const CUT_OFF_PATIENCE: Duration = Duration::from_millis(50);

/// Pause that refused callers are told.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Most requests under way at one daemon.
const MAX_PENDING: usize = 1000;

/// Time kept for the way back to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Pending {
    token: u64,
    call: Call,
    arrived: Duration,
    deadline: Duration,
    /// The link on which it was sent last.
    link: Option<u64>,
    was_sent: bool,
}

/// Requests that wait for an answer of the leader.
#[derive(Debug, Default)]
pub(crate) struct Entry {
    pending: BTreeMap<u64, Pending>,
    next: u64,
}

impl Entry {
    /// Takes a caller's request; returns its number, or none where it was refused.
    pub fn arrive(&mut self, port: &mut Port, token: u64, call: Call) -> Option<u64> {
        if self.pending.len() >= MAX_PENDING {
            note!(port, JobRefused, "path" => %call.target, "reason" => "too many requests under way");
            port.answer(token, refused(false));
            return None;
        }
        self.next += 1;
        let deadline = port.now + call.patience.saturating_sub(ANSWER_MARGIN);
        let arrived = port.now;
        let pending = Pending { token, call, arrived, deadline, link: None, was_sent: false };
        self.pending.insert(self.next, pending);
        Some(self.next)
    }

    /// Number of requests under way.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Forgets a caller that left.
    pub fn forget(&mut self, token: u64) {
        self.pending.retain(|_, pending| pending.token != token);
    }

    /// Sends what was not sent on this link yet.
    pub fn send_all(&mut self, port: &mut Port, link: u64) {
        for (id, pending) in &mut self.pending {
            if pending.link == Some(link) {
                continue;
            }
            pending.link = Some(link);
            pending.was_sent = true;
            port.send(link, Body::Request(encode(*id, &pending.call)));
        }
    }

    /// Requests that the local leader has not seen yet.
    pub fn take_local(&mut self) -> Vec<(u64, Call)> {
        let unseen = self.pending.iter_mut().filter(|(_, pending)| pending.link != Some(LOCAL));
        unseen
            .map(|(id, pending)| {
                pending.link = Some(LOCAL);
                pending.was_sent = true;
                (*id, pending.call.clone())
            })
            .collect()
    }

    /// Forgets on which link requests were sent, so that the next leader gets them all.
    pub fn unsend(&mut self) {
        for pending in self.pending.values_mut() {
            pending.link = None;
        }
    }

    /// Tells a caller the leader's answer.
    pub fn answer(&mut self, port: &mut Port, id: u64, answer: Answer) {
        if let Some(pending) = self.pending.remove(&id) {
            port.meter.time(Hop::Answer, port.now.saturating_sub(pending.arrived));
            port.answer(pending.token, answer);
        }
    }

    /// Ends requests whose time is over.
    ///
    /// `leaderless` is how long no leader was reached, if none is; `is_cut_off` says that
    /// one is alive and out of reach.
    pub fn expire(&mut self, port: &mut Port, leaderless: Option<Duration>, is_cut_off: bool) {
        let now = port.now;
        let patience = if is_cut_off { CUT_OFF_PATIENCE } else { LEADER_PATIENCE };
        let is_over = |pending: &Pending| {
            let waits = leaderless
                .is_some_and(|span| span >= patience && now >= pending.arrived + patience);
            now >= pending.deadline || waits
        };
        let over = self.pending.iter().filter(|(_, pending)| is_over(pending));
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for id in over {
            let Some(pending) = self.pending.remove(&id) else { continue };
            let waited = now.saturating_sub(pending.arrived).as_millis() as u64;
            note!(port, CallUnanswered, "path" => %pending.call.target, "waited_ms" => waited,
                "sent" => pending.was_sent, "cut_off" => is_cut_off);
            let changes = matches!(pending.call.op, Op::Submit(_) | Op::Cancel(_));
            let answer = if pending.was_sent && changes {
                Answer::Unknown
            } else {
                refused(leaderless.is_some())
            };
            port.answer(pending.token, answer);
        }
    }
}

/// A refusal; `elsewhere` says that another daemon is the better choice.
pub(crate) fn refused(elsewhere: bool) -> Answer {
    Answer::Refused { retry_after: RETRY_AFTER, elsewhere }
}

/// Stands for the leader in the same process.
const LOCAL: u64 = u64::MAX;

fn encode(id: u64, call: &Call) -> Request {
    let (op, job) = match &call.op {
        Op::Submit(_) => (1, None),
        Op::State(job) => (2, Some(job)),
        Op::Cancel(job) => (3, Some(job)),
        Op::Pending => (4, None),
        Op::View(View::Job(job)) => (5, Some(job)),
        Op::View(View::Queues) => (6, None),
        Op::View(View::Workers) => (7, None),
        Op::View(View::Members) => (8, None),
    };
    let job = job.map(ToString::to_string).unwrap_or_default();
    let submission = match &call.op {
        Op::Submit(submission) => Some(submission.clone()),
        _ => None,
    };
    let (host, path, queue) = match &call.target {
        Target::Route { host, path } => (host.to_string(), path.to_string(), String::new()),
        Target::Queue(queue) => (String::new(), String::new(), queue.to_string()),
    };
    Request { id, host, path, op, job, submission, queue }
}

/// The call of a peer's request; none where this version does not know it.
pub(crate) fn decode(request: Request) -> Option<Call> {
    let op = match request.op {
        1 => Op::Submit(request.submission.unwrap_or_default()),
        2 => Op::State(Name::new(&request.job)),
        3 => Op::Cancel(Name::new(&request.job)),
        4 => Op::Pending,
        5 => Op::View(View::Job(Name::new(&request.job))),
        6 => Op::View(View::Queues),
        7 => Op::View(View::Workers),
        8 => Op::View(View::Members),
        _ => return None,
    };
    let target = if request.host.is_empty() && request.path.is_empty() {
        Target::Queue(Name::new(&request.queue))
    } else {
        Target::Route { host: Name::new(&request.host), path: Name::new(&request.path) }
    };
    Some(Call { target, op, patience: Duration::ZERO })
}

/// The frame of an answer.
pub(crate) fn encode_answer(id: u64, answer: &Answer) -> Reply {
    let text = match answer {
        Answer::View(text) => text.clone(),
        _ => String::new(),
    };
    let (answer, value) = match answer {
        Answer::Accepted => (1, 0),
        Answer::State(shown) => (2, *shown as u64),
        Answer::Cancelled => (3, 0),
        Answer::Pending(count) => (4, *count),
        Answer::NoQueue => (5, 0),
        Answer::NoJob => (6, 0),
        Answer::Refused { retry_after, .. } => (7, retry_after.as_millis() as u64),
        Answer::Unknown => (8, 0),
        Answer::View(_) => (9, 0),
    };
    Reply { id, answer, value, text }
}

/// The answer in a frame; unknown where this version does not know it.
pub(crate) fn decode_answer(reply: &Reply) -> Answer {
    const SHOWN: [Shown; 5] =
        [Shown::Queued, Shown::Running, Shown::Completed, Shown::Failed, Shown::Cancelled];
    match reply.answer {
        1 => Answer::Accepted,
        2 => SHOWN.get(reply.value as usize).map_or(Answer::Unknown, |shown| Answer::State(*shown)),
        3 => Answer::Cancelled,
        4 => Answer::Pending(reply.value),
        5 => Answer::NoQueue,
        6 => Answer::NoJob,
        7 => Answer::Refused { retry_after: Duration::from_millis(reply.value), elsewhere: false },
        9 => Answer::View(reply.text.clone()),
        _ => Answer::Unknown,
    }
}

impl Port {
    fn answer(&mut self, token: u64, answer: Answer) {
        self.meter.count(Count::Answers, word(&answer), 1);
        self.out.push(Action::Answer { token, answer });
    }
}

/// The word for an answer in metrics.
fn word(answer: &Answer) -> &'static str {
    match answer {
        Answer::Accepted => "accepted",
        Answer::State(_) => "state",
        Answer::Cancelled => "cancelled",
        Answer::Pending(_) => "pending",
        Answer::NoQueue => "no_queue",
        Answer::NoJob => "no_job",
        Answer::Refused { .. } => "refused",
        Answer::Unknown => "unknown",
        Answer::View(_) => "view",
    }
}
