//! Counters, timings and gauges of a node; the host exports them as metrics.

use std::fmt::Debug;
use std::time::Duration;

common::key! {
    /// Counter, with one label for the reason or outcome.
    pub enum Count {
        /// Answers to callers.
        Answers,
        /// Task starts confirmed by workers.
        Starts,
        /// Task starts that were rejected or failed.
        NotStarted,
        /// Runs that ended.
        Ends,
        /// Jobs that ended.
        Jobs,
        /// Workers that stopped responding, were quarantined, or whose runs were marked as lost.
        Workers,
        /// Claims and losses of leadership.
        Leadership,
        /// Commit attempts that were refused or unanswered, or found committed later.
        Commits,
        /// Advice calls that ended.
        Advice,
        /// Log lines dropped by sampling.
        LinesLeftOut,
    }

    /// Duration that is measured.
    pub enum Hop {
        /// Caller's request, from its arrival to its answer at the daemon that accepted it.
        Answer,
        /// Submission of a job, from its arrival at the leader until it is stored.
        Accept,
        /// Commit, from its first attempt to its result.
        Commit,
        /// Advice call, from its request to its answer.
        Advice,
        /// Wait of a job, from arrival at the leader to its first start.
        FirstStart,
        /// Start order, from its sending to the worker's answer.
        Start,
        /// Run that succeeded.
        Run,
        /// Complete job, from its arrival at the leader until its end is stored.
        Job,
    }

    /// Gauge.
    pub enum Level {
        /// Whether the daemon leads: 1 or 0.
        Leads,
        /// Pending requests at the daemon.
        Requests,
        /// Open jobs.
        OpenJobs,
        /// Tasks assigned to workers.
        Assigned,
        /// Workers that may start tasks.
        UsableWorkers,
        /// Free CPU capacity of the usable workers, in thousandths of a core.
        FreeCpu,
        /// Connected followers.
        Followers,
        /// Time since the last commit, in ms.
        StoreAge,
        /// Mean lag of the daemon's timer, in ms.
        Lag,
    }
}

/// Receiver of a node's measurements.
pub trait Meter: Debug {
    /// Adds `by` to a counter under a label.
    fn count(&self, what: Count, label: &'static str, by: u64);
    /// Records a duration.
    fn time(&self, hop: Hop, span: Duration);
    /// Sets a gauge to a value.
    fn level(&self, level: Level, value: u64);
}

/// A meter that discards all measurements.
#[derive(Debug, Clone, Copy)]
pub struct NoMeter;

impl Meter for NoMeter {
    fn count(&self, _what: Count, _label: &'static str, _by: u64) {}
    fn time(&self, _hop: Hop, _span: Duration) {}
    fn level(&self, _level: Level, _value: u64) {}
}

impl Count {
    /// All counters.
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
    /// All durations.
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
    /// All gauges.
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
