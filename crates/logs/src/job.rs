//! The history of one job, with its longest wait and the events that may have caused it.

use std::time::Duration;

use control::Event;
use jiff::Timestamp;

use crate::line::Line;

/// Events of the cell that can make a job wait.
const WAIT_CAUSES: [Event; 12] = [
    Event::ShutdownStarted,
    Event::Resumed,
    Event::LeaderLost,
    Event::BecameLeader,
    Event::AcceptingRequests,
    Event::LeaderReplaced,
    Event::LeadershipReleased,
    Event::FollowersLost,
    Event::StoreLost,
    Event::StoreRecovered,
    Event::WorkerLost,
    Event::WorkerRunsAbandoned,
];

/// Maximum number of events during a wait that are listed as possible causes.
const MAX_CAUSES: usize = 12;

common::data! {
    /// The longest time during which nothing was logged about a job.
    pub struct Wait {
        /// Time between the messages before and after it.
        pub duration: Duration,
        /// Message logged before it, or the arrival of the request.
        pub after: String,
        /// Message that ended it.
        pub until: String,
        /// Events that may have caused it, in time order.
        ///
        /// A store outage that began before the wait comes first.
        pub possible_causes: Vec<Line>,
    }

    /// What all daemons logged about a job.
    pub struct JobHistory {
        /// Id of the job.
        pub job: String,
        /// Lines about the job, in time order; empty if the job is unknown.
        pub lines: Vec<Line>,
        /// The longest wait; `None` if it has fewer than two lines and none logs a wait.
        pub longest_wait: Option<Wait>,
        /// Whether it ended after its objective; `None` if no end was logged.
        pub is_late: Option<bool>,
    }
}

impl JobHistory {
    /// Collects the history of a job from lines in time order.
    pub fn from_lines(all: &[Line], job: &str) -> Self {
        let lines: Vec<Line> = all.iter().filter(|line| line.job() == job).cloned().collect();
        let ended = lines.iter().rev().find(|line| line.event == Event::JobEnded.number());
        let is_late = ended.and_then(|line| line.u64_field("late_ms")).map(|late| late > 0);
        let longest_wait = longest_wait(all, &lines);
        Self { job: job.to_owned(), lines, longest_wait, is_late }
    }
}

/// Time between two messages about a job, or since the arrival of an unanswered request.
struct Gap<'a> {
    from: Timestamp,
    to: Timestamp,
    after: &'a str,
    until: &'a str,
}

/// Finds the longest wait among a job's `lines`, and its possible causes among all lines.
fn longest_wait(all: &[Line], lines: &[Line]) -> Option<Wait> {
    let between_lines = lines.windows(2).map(|pair| Gap {
        from: pair[0].time,
        to: pair[1].time,
        after: &pair[0].message,
        until: &pair[1].message,
    });
    let unanswered = lines.iter().filter_map(unanswered_gap);
    let gaps = between_lines.chain(unanswered);
    let gap = gaps.max_by_key(|gap| duration_between(gap.from, gap.to))?;
    let workers: Vec<&str> = lines.iter().map(|line| line.str_field("worker")).collect();
    let is_cause = |line: &&Line| {
        line.time >= gap.from
            && line.time <= gap.to
            && WAIT_CAUSES.iter().any(|event| event.number() == line.event)
            && (line.str_field("worker").is_empty() || workers.contains(&line.str_field("worker")))
    };
    let possible_causes = all.iter().filter(is_cause).take(MAX_CAUSES).cloned();
    let possible_causes =
        open_store_outage(all, gap.from).into_iter().cloned().chain(possible_causes).collect();
    let duration = duration_between(gap.from, gap.to);
    Some(Wait {
        duration,
        after: gap.after.to_owned(),
        until: gap.until.to_owned(),
        possible_causes,
    })
}

/// Time that a request waited without an answer; `None` if the line logs no such time.
fn unanswered_gap(line: &Line) -> Option<Gap<'_>> {
    let waited = Duration::from_millis(line.u64_field("waited_ms")?);
    let from = line.time.checked_sub(waited).ok()?;
    Some(Gap { from, to: line.time, after: "request arrived", until: &line.message })
}

/// Line that began a store outage still open at a time; `None` if there was none.
fn open_store_outage(all: &[Line], time: Timestamp) -> Option<&Line> {
    let before = all.iter().take_while(|line| line.time < time);
    before.fold(None, |outage, line| {
        let is = |event: Event| event.number() == line.event;
        let is_same = outage.is_some_and(|lost: &Line| lost.member == line.member);
        if is(Event::StoreLost) {
            Some(line)
        } else if is_same && (is(Event::StoreRecovered) || is(Event::Started)) {
            None
        } else {
            outage
        }
    })
}

/// Time from `from` to `to`; zero if `to` is earlier.
pub(crate) fn duration_between(from: Timestamp, to: Timestamp) -> Duration {
    to.duration_since(from).try_into().unwrap_or_default()
}
