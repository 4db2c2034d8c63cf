//! Counters, timings and gauges of a node; the host exports them as metrics.

use std::fmt::Debug;
use std::time::Duration;

use common::Name;

common::key! {
    /// Counter, with one label for the reason or outcome.
    pub enum Counter {
        /// Answers to callers.
        Answers,
        /// Task starts confirmed by workers.
        Starts,
        /// Task starts that were rejected or failed.
        StartsRejected,
        /// Runs that ended.
        RunsEnded,
        /// Runs that were lost with their worker.
        RunsLost,
        /// Runs lost by silence whose workers were heard of since.
        SilencesExplained,
        /// Jobs that ended.
        JobsEnded,
        /// Workers that stopped responding, were quarantined, or whose runs were abandoned.
        Workers,
        /// Claims and losses of leadership.
        Leadership,
        /// Commit attempts that were refused or unanswered, or found committed later.
        Commits,
        /// Advice calls that ended.
        Advice,
        /// Log lines dropped by sampling.
        LinesDropped,
        /// Time that the event loop spent, in µs, by kind of work.
        LoopBusy,
        /// Inputs that the event loop handled.
        LoopInputs,
        /// Results and requests that came too late to be used.
        Late,
        /// Placement passes, and the steps that they visited.
        Placement,
        /// Checks of workers' leases, and renewals sent.
        Leases,
        /// Requests that were not authorized, by reason.
        Denied,
        /// Rounds of advice calls whose tickets all expired unused, these tickets, and those for gangs.
        Waste,
        /// Runs stopped to make room for gangs of higher priority.
        Preempted,
    }

    /// Duration that is measured.
    pub enum Timing {
        /// Caller's request, from its arrival to its answer at the daemon that accepted it.
        Answer,
        /// Submission of a job, from its arrival at the leader until it is stored.
        Admission,
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
        JobTotal,
    }

    /// Current value that is reported at intervals.
    pub enum Gauge {
        /// Whether the daemon leads: 1 or 0.
        IsLeader,
        /// Pending requests at the daemon.
        Requests,
        /// Open jobs.
        OpenJobs,
        /// Tasks assigned to workers.
        AssignedTasks,
        /// Workers that may start tasks.
        UsableWorkers,
        /// Free CPU capacity of the usable workers, in thousandths of a core.
        FreeCpu,
        /// CPU of the usable workers as of the last placement pass, in thousandths of a core.
        PoolCpu,
        /// Part of it in use by assigned runs.
        PoolUsedCpu,
        /// Part of it reserved for steps and not used.
        PoolReservedCpu,
        /// Part of the reserved CPU that is lent.
        PoolLentCpu,
        /// Part of it withheld on workers on trial.
        PoolWithheldCpu,
        /// Part of it that is neither used, reserved nor withheld.
        PoolFreeCpu,
        /// Steps whose turn has come and of which no task is assigned.
        IdleSteps,
        /// Gangs among them.
        IdleGangs,
        /// Gangs for which the last placement pass reserved room.
        CollectingGangs,
        /// Gangs among those without an advice call under way.
        UncalledGangs,
        /// Kinds of steps with learned run times.
        LearnedKinds,
        /// Kinds among those whose predictions differ from the clients' estimates.
        CorrectedKinds,
        /// Workers whose speed is learned.
        LearnedWorkers,
        /// Workers among those that are far slower than others, or than they were.
        SlowWorkers,
        /// Whether the speeds of workers differ beyond noise: 1 or 0.
        SpeedsDiffer,
        /// Connected followers.
        Followers,
        /// Time since the last commit, in ms.
        CommitAge,
        /// Mean lag of the daemon's timer, in ms.
        TimerLag,
        /// Longest time that an input was queued since the last report, in ms.
        InputAge,
        /// Most inputs that were queued at a time since the last report.
        InputQueue,
    }
}

common::key! {
    /// Current value of a workspace that is reported at intervals.
    pub enum WorkspaceGauge {
        /// Tasks assigned to workers.
        Tasks,
        /// CPU that they use, in thousandths of a core.
        UsedCpu,
        /// Limit on it; 0 for none.
        LimitCpu,
        /// Jobs that wait with nothing assigned.
        WaitingJobs,
        /// Time at the limit since the leader began, in ms.
        TimeAtLimit,
    }
}

common::data! {
    /// Values of one workspace, or of all that have none of their own.
    pub struct WorkspaceValues {
        /// Name of the workspace; [`OTHER_WORKSPACES`] for the sum of the others.
        pub workspace: Name,
        /// The value of each gauge.
        pub values: [u64; WorkspaceGauge::ALL.len()],
    }
}

/// Label of the sum of all workspaces that have no values of their own.
pub const OTHER_WORKSPACES: &str = "(others)";

/// Receiver of a node's measurements.
pub trait Meter: Debug {
    /// Adds `by` to a counter under a label.
    fn add(&self, counter: Counter, label: &'static str, by: u64);
    /// Records a duration.
    fn record_duration(&self, timing: Timing, duration: Duration);
    /// Sets a gauge to a value.
    fn set_gauge(&self, gauge: Gauge, value: u64);

    /// Replaces the values of all workspaces.
    fn set_workspaces(&self, _workspaces: Vec<WorkspaceValues>) {}

    /// Reading of the clock that measures work; it stands still if work is not measured.
    fn work_clock(&self) -> Duration {
        Duration::ZERO
    }
}

/// A meter that discards all measurements.
#[derive(Debug, Clone, Copy)]
pub struct NoopMeter;

impl Meter for NoopMeter {
    fn add(&self, _counter: Counter, _label: &'static str, _by: u64) {}
    fn record_duration(&self, _timing: Timing, _duration: Duration) {}
    fn set_gauge(&self, _gauge: Gauge, _value: u64) {}
}

impl Counter {
    /// All counters.
    pub const ALL: [Self; 20] = [
        Self::Answers,
        Self::Starts,
        Self::StartsRejected,
        Self::RunsEnded,
        Self::RunsLost,
        Self::SilencesExplained,
        Self::JobsEnded,
        Self::Workers,
        Self::Leadership,
        Self::Commits,
        Self::Advice,
        Self::LinesDropped,
        Self::LoopBusy,
        Self::LoopInputs,
        Self::Late,
        Self::Placement,
        Self::Leases,
        Self::Denied,
        Self::Waste,
        Self::Preempted,
    ];

    /// The metric's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answers => "bronzerail.answers",
            Self::Starts => "bronzerail.starts",
            Self::StartsRejected => "bronzerail.starts.rejected",
            Self::RunsEnded => "bronzerail.runs.ended",
            Self::RunsLost => "bronzerail.runs.lost",
            Self::SilencesExplained => "bronzerail.silences.explained",
            Self::JobsEnded => "bronzerail.jobs.ended",
            Self::Workers => "bronzerail.workers.events",
            Self::Leadership => "bronzerail.leadership.changes",
            Self::Commits => "bronzerail.store.commits",
            Self::Advice => "bronzerail.advice.calls",
            Self::LinesDropped => "bronzerail.log.dropped",
            Self::LoopBusy => "bronzerail.loop.busy_us",
            Self::LoopInputs => "bronzerail.loop.inputs",
            Self::Late => "bronzerail.late",
            Self::Placement => "bronzerail.placement",
            Self::Leases => "bronzerail.leases",
            Self::Denied => "bronzerail.access.denied",
            Self::Waste => "bronzerail.advice.wasted",
            Self::Preempted => "bronzerail.preempted",
        }
    }
}

impl Timing {
    /// All durations.
    pub const ALL: [Self; 8] = [
        Self::Answer,
        Self::Admission,
        Self::Commit,
        Self::Advice,
        Self::FirstStart,
        Self::Start,
        Self::Run,
        Self::JobTotal,
    ];

    /// The metric's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answer => "bronzerail.answer.duration",
            Self::Admission => "bronzerail.accept.duration",
            Self::Commit => "bronzerail.commit.duration",
            Self::Advice => "bronzerail.advice.duration",
            Self::FirstStart => "bronzerail.first_start.duration",
            Self::Start => "bronzerail.start.duration",
            Self::Run => "bronzerail.run.duration",
            Self::JobTotal => "bronzerail.job.duration",
        }
    }
}

impl Gauge {
    /// All gauges.
    pub const ALL: [Self; 26] = [
        Self::IsLeader,
        Self::Requests,
        Self::OpenJobs,
        Self::AssignedTasks,
        Self::UsableWorkers,
        Self::FreeCpu,
        Self::PoolCpu,
        Self::PoolUsedCpu,
        Self::PoolReservedCpu,
        Self::PoolLentCpu,
        Self::PoolWithheldCpu,
        Self::PoolFreeCpu,
        Self::IdleSteps,
        Self::IdleGangs,
        Self::CollectingGangs,
        Self::UncalledGangs,
        Self::LearnedKinds,
        Self::CorrectedKinds,
        Self::LearnedWorkers,
        Self::SlowWorkers,
        Self::SpeedsDiffer,
        Self::Followers,
        Self::CommitAge,
        Self::TimerLag,
        Self::InputAge,
        Self::InputQueue,
    ];

    /// The metric's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::IsLeader => "bronzerail.leads",
            Self::Requests => "bronzerail.requests.open",
            Self::OpenJobs => "bronzerail.jobs.open",
            Self::AssignedTasks => "bronzerail.tasks.assigned",
            Self::UsableWorkers => "bronzerail.workers.usable",
            Self::FreeCpu => "bronzerail.workers.free_cpu",
            Self::PoolCpu => "bronzerail.pool.cpu",
            Self::PoolUsedCpu => "bronzerail.pool.used_cpu",
            Self::PoolReservedCpu => "bronzerail.pool.reserved_cpu",
            Self::PoolLentCpu => "bronzerail.pool.lent_cpu",
            Self::PoolWithheldCpu => "bronzerail.pool.withheld_cpu",
            Self::PoolFreeCpu => "bronzerail.pool.free_cpu",
            Self::IdleSteps => "bronzerail.steps.idle",
            Self::IdleGangs => "bronzerail.gangs.idle",
            Self::CollectingGangs => "bronzerail.gangs.collecting",
            Self::UncalledGangs => "bronzerail.gangs.uncalled",
            Self::LearnedKinds => "bronzerail.estimates.kinds",
            Self::CorrectedKinds => "bronzerail.estimates.corrected_kinds",
            Self::LearnedWorkers => "bronzerail.estimates.workers",
            Self::SlowWorkers => "bronzerail.estimates.slow_workers",
            Self::SpeedsDiffer => "bronzerail.estimates.speeds_differ",
            Self::Followers => "bronzerail.followers",
            Self::CommitAge => "bronzerail.store.age",
            Self::TimerLag => "bronzerail.loop.lag",
            Self::InputAge => "bronzerail.loop.oldest_input",
            Self::InputQueue => "bronzerail.loop.queue",
        }
    }
}

impl WorkspaceGauge {
    /// All gauges.
    pub const ALL: [Self; 5] =
        [Self::Tasks, Self::UsedCpu, Self::LimitCpu, Self::WaitingJobs, Self::TimeAtLimit];

    /// The metric's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Tasks => "bronzerail.workspace.tasks",
            Self::UsedCpu => "bronzerail.workspace.used_cpu",
            Self::LimitCpu => "bronzerail.workspace.limit_cpu",
            Self::WaitingJobs => "bronzerail.workspace.jobs_waiting",
            Self::TimeAtLimit => "bronzerail.workspace.at_limit_ms",
        }
    }
}
