//! What happened to one job.

use std::time::Duration;

use control::Event;
use jiff::Timestamp;

use crate::line::Line;

/// Events of the whole cell that can make a job wait.
const CAUSES: [Event; 12] = [
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

/// Causes named for a wait at the most.
const MOST_CAUSES: usize = 12;

common::data! {
    /// The longest time in which nothing happened to the job.
    pub struct Wait {
        /// How long it was.
        pub length: Duration,
        /// What came before it.
        pub after: String,
        /// What ended it.
        pub until: String,
        /// What else was logged meanwhile that may be its cause, in the order of time.
        pub meanwhile: Vec<Line>,
    }

    /// What all daemons wrote about a job, in the order of time.
    pub struct Story {
        /// The job's id.
        pub job: String,
        /// The lines.
        pub lines: Vec<Line>,
        /// The longest wait; none where no line tells of one.
        pub longest: Option<Wait>,
        /// Whether it ended after its objective; none where no line says so.
        pub is_late: Option<bool>,
    }
}

impl Story {
    /// The story of a job out of all lines, which are in the order of time.
    pub fn of(all: &[Line], job: &str) -> Self {
        let lines: Vec<Line> = all.iter().filter(|line| line.job() == job).cloned().collect();
        let ended = lines.iter().rev().find(|line| line.event == Event::JobEnded.number());
        let is_late = ended.and_then(|line| line.number_of("late_ms")).map(|late| late > 0);
        let longest = longest(all, &lines);
        Self { job: job.to_owned(), lines, longest, is_late }
    }
}

/// A time between two things that happened to a job.
struct Gap<'a> {
    from: Timestamp,
    to: Timestamp,
    after: &'a str,
    until: &'a str,
}

fn longest(all: &[Line], lines: &[Line]) -> Option<Wait> {
    let between_lines = lines.windows(2).map(|pair| Gap {
        from: pair[0].at,
        to: pair[1].at,
        after: &pair[0].text,
        until: &pair[1].text,
    });
    let unanswered = lines.iter().filter_map(unanswered);
    let gaps = between_lines.chain(unanswered);
    let gap = gaps.max_by_key(|gap| between(gap.from, gap.to))?;
    let workers: Vec<&str> = lines.iter().map(|line| line.text_of("worker")).collect();
    let is_cause = |line: &&Line| {
        line.at >= gap.from
            && line.at <= gap.to
            && CAUSES.iter().any(|event| event.number() == line.event)
            && (line.text_of("worker").is_empty() || workers.contains(&line.text_of("worker")))
    };
    let meanwhile = all.iter().filter(is_cause).take(MOST_CAUSES).cloned();
    let meanwhile = store_away(all, gap.from).into_iter().cloned().chain(meanwhile).collect();
    let length = between(gap.from, gap.to);
    Some(Wait { length, after: gap.after.to_owned(), until: gap.until.to_owned(), meanwhile })
}

/// The time for which a request that was not answered waited.
fn unanswered(line: &Line) -> Option<Gap<'_>> {
    let waited = Duration::from_millis(line.number_of("waited_ms")?);
    let from = line.at.checked_sub(waited).ok()?;
    Some(Gap { from, to: line.at, after: "request arrived", until: &line.text })
}

/// The line that tells that the store was away at a time; none where it was not.
fn store_away(all: &[Line], at: Timestamp) -> Option<&Line> {
    let before = all.iter().take_while(|line| line.at < at);
    before.fold(None, |away, line| {
        let is = |event: Event| event.number() == line.event;
        let is_same = away.is_some_and(|lost: &Line| lost.member == line.member);
        if is(Event::StoreLost) {
            Some(line)
        } else if is_same && (is(Event::StoreRecovered) || is(Event::Started)) {
            None
        } else {
            away
        }
    })
}

/// Time from one line to a later one.
pub(crate) fn between(from: Timestamp, to: Timestamp) -> Duration {
    to.duration_since(from).try_into().unwrap_or_default()
}
