//! What a node counts and times; the host turns it into metrics.

use std::fmt::Debug;
use std::time::Duration;

common::key! {
    /// Something that is counted, with a reason or outcome.
    pub enum Count {
        /// Answers to callers.
        Answers,
        /// Starts that workers confirmed.
        Starts,
        /// Starts that did not happen.
        NotStarted,
        /// Ends of runs.
        Ends,
        /// Jobs that ended.
        Jobs,
        /// Workers that stopped to answer, were avoided or written off.
        Workers,
        /// Changes of leader.
        Leadership,
        /// Commits that were sent again or refused.
        Commits,
        /// Advice calls.
        Advice,
        /// Log lines left out.
        LinesLeftOut,
    }

    /// A part of a request's way that is timed.
    pub enum Hop {
        /// A caller's request, from arrival to answer at the daemon that took it.
        Answer,
        /// A job, from arrival at the leader until it is stored.
        Accept,
        /// A commit, from its first sending.
        Commit,
        /// An advice call.
        Advice,
        /// A job, from arrival at the leader to its first start.
        FirstStart,
        /// A start, from its sending to the worker's word.
        Start,
        /// A run that succeeded.
        Run,
        /// A job, from arrival at the leader until its end is stored.
        Job,
    }

    /// Something that has a level.
    pub enum Level {
        /// Whether the daemon leads.
        Leads,
        /// Requests under way at the daemon.
        Requests,
        /// Jobs that are open.
        OpenJobs,
        /// Tasks on workers.
        Assigned,
        /// Workers that may take tasks.
        UsableWorkers,
        /// Room of those workers that is free, in thousandths of a core.
        FreeCpu,
        /// Followers that are connected.
        Followers,
        /// Time since the last commit, in ms.
        StoreAge,
        /// Mean lateness of the daemon's timer, in ms.
        Lag,
    }
}

/// Takes what a node measures.
pub trait Meter: Debug {
    /// Counts something.
    fn count(&self, what: Count, label: &'static str, by: u64);
    /// Notes how long something took.
    fn time(&self, hop: Hop, span: Duration);
    /// Notes a level.
    fn level(&self, level: Level, value: u64);
}

/// A meter that forgets everything.
#[derive(Debug, Clone, Copy)]
pub struct NoMeter;

impl Meter for NoMeter {
    fn count(&self, _what: Count, _label: &'static str, _by: u64) {}
    fn time(&self, _hop: Hop, _span: Duration) {}
    fn level(&self, _level: Level, _value: u64) {}
}

impl Count {
    /// Every count.
    pub const ALL: [Self; 10] = [
        Self::Answers,
        Self::Starts,
        Self::NotStarted,
        Self::Ends,
        Self::Jobs,
        Self::Workers,
        Self::Leadership,
        Self::Commits,
        Self::Advice,
        Self::LinesLeftOut,
    ];

    /// The metric's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answers => "bronzerail.answers",
            Self::Starts => "bronzerail.starts",
            Self::NotStarted => "bronzerail.starts.rejected",
            Self::Ends => "bronzerail.runs.ended",
            Self::Jobs => "bronzerail.jobs.ended",
            Self::Workers => "bronzerail.workers.events",
            Self::Leadership => "bronzerail.leadership.changes",
            Self::Commits => "bronzerail.store.commits",
            Self::Advice => "bronzerail.advice.calls",
            Self::LinesLeftOut => "bronzerail.log.dropped",
        }
    }
}

impl Hop {
    /// Every hop.
    pub const ALL: [Self; 8] = [
        Self::Answer,
        Self::Accept,
        Self::Commit,
        Self::Advice,
        Self::FirstStart,
        Self::Start,
        Self::Run,
        Self::Job,
    ];

    /// The metric's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answer => "bronzerail.answer.duration",
            Self::Accept => "bronzerail.accept.duration",
            Self::Commit => "bronzerail.commit.duration",
            Self::Advice => "bronzerail.advice.duration",
            Self::FirstStart => "bronzerail.first_start.duration",
            Self::Start => "bronzerail.start.duration",
            Self::Run => "bronzerail.run.duration",
            Self::Job => "bronzerail.job.duration",
        }
    }
}

impl Level {
    /// Every level.
    pub const ALL: [Self; 9] = [
        Self::Leads,
        Self::Requests,
        Self::OpenJobs,
        Self::Assigned,
        Self::UsableWorkers,
        Self::FreeCpu,
        Self::Followers,
        Self::StoreAge,
        Self::Lag,
    ];

    /// The metric's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leads => "bronzerail.leads",
            Self::Requests => "bronzerail.requests.open",
            Self::OpenJobs => "bronzerail.jobs.open",
            Self::Assigned => "bronzerail.tasks.assigned",
            Self::UsableWorkers => "bronzerail.workers.usable",
            Self::FreeCpu => "bronzerail.workers.free_cpu",
            Self::Followers => "bronzerail.followers",
            Self::StoreAge => "bronzerail.store.age",
            Self::Lag => "bronzerail.loop.lag",
        }
    }
}
