//! Numbered log events of the control plane, and the macros that log them.
//!
//! `docs/EVENTS-PLATFORM.md` lists every event. A number is never reused for another meaning.

macro_rules! events {
    ($($number:literal $name:ident $text:literal;)*) => {
        common::key! {
            /// Event that a node logs.
            pub enum Event {
                $(#[doc = $text] $name,)*
            }
        }

        impl Event {
            /// All events in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Number of the event, which never changes.
            pub fn number(self) -> u32 {
                match self { $(Self::$name => $number,)* }
            }

            /// Message of the log line.
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

events! {
    5001 Started "process started";
    5002 ShutdownStarted "graceful shutdown started";
    5003 ShutdownCompleted "graceful shutdown completed";
    5004 Resumed "process resumed after a suspension";
    5005 Reloaded "settings file reloaded";
    5006 ReloadFailed "settings file is invalid; current settings stay in force";
    5007 LinesDropped "log lines about jobs dropped by sampling";
    5008 LoopLoad "load of the event loop";
    5009 StartFailed "process cannot start";
    5010 IntakeFull "listener at its bound";
    5101 LeaderFound "leader found";
    5102 LeaderLost "leader lost";
    5103 Claiming "claiming leadership";
    5104 ClaimFailed "leadership claim failed";
    5105 BecameLeader "became leader";
    5106 AcceptingRequests "state recovered; accepting requests";
    5107 LeaderReplaced "replaced by another leader";
    5108 LeadershipReleased "leadership released";
    5109 ClaimAbandoned "leader is alive; claim abandoned";
    5110 FollowersLost "lost contact with most followers; releasing leadership";
    5111 TimerLagHigh "timer lag far above that of followers; releasing leadership";
    5112 LargerFollower "larger daemon follows; releasing leadership to it";
    5201 StoreLost "store does not respond";
    5202 StoreRecovered "store responds again";
    5203 RowIgnored "row cannot be decoded; ignored";
    5204 CommitRejected "store rejects a transaction";
    5205 CommitConfirmedLate "commit confirmed late; confirming leadership before any start";
    5301 RulesChanged "operator's rules changed";
    5302 WorkerListed "worker listed";
    5303 WorkerUnlisted "worker no longer listed";
    5304 WorkerLost "worker does not respond";
    5305 WorkerRecovered "worker responds again";
    5306 WorkerRestarted "worker restarted";
    5307 WorkerRunsAbandoned "worker's runs abandoned";
    5308 WorkerQuarantined "worker quarantined after failed runs";
    5309 LeasesNotExtended "leadership unconfirmed; leases are not extended";
    5310 LeasesExtended "leadership confirmed; leases are extended again";
    5311 RunLost "run lost with its worker";
    5312 SilenceExplained "heard of a worker that a run was lost with";
    5313 WorkspaceAtLimit "workspace at its limit";
    5314 LaterLifeAnswered "a later life of a worker answered an order";
    5315 WorkerRegisteredAnew "worker registered by another life";
    5316 FormerLifeAnswered "list of runs may come from a former life of its worker; ignored";
    5401 JobAccepted "job accepted";
    5402 JobEnded "job ended";
    5403 RequestRefused "request refused";
    5404 TaskStarted "task started";
    5405 TaskNotStarted "task not started";
    5406 TaskStartUnanswered "no answer to task start";
    5407 TaskEnded "task ended";
    5408 AdviceFailed "advice call failed";
    5409 RequestTimedOut "request timed out";
    5410 TaskStopRequested "task stop requested";
    5411 JobOverdue "job overdue and still waiting";
    5412 JobNotStored "job cannot be stored; given up";
    5413 CheckpointTooLong "checkpoint too long; former one kept";
    5414 TaskCrashesWorkers "workers crash under a task; its job fails";
    5415 AccessDenied "request not authorized";
}

/// Logs an event with its fields.
macro_rules! log_event {
    ($ctx:expr, $event:ident $(, $($fields:tt)*)?) => {
        slog::info!(
            $ctx.log, "{}", $crate::event::Event::$event.text();
            "event" => $crate::event::Event::$event.number() $(, $($fields)*)?
        )
    };
}

/// Logs an event of a job with its fields, unless sampling drops the line.
macro_rules! log_job_event {
    ($ctx:expr, $job:expr, $event:ident $(, $($fields:tt)*)?) => {
        if $ctx.sampler.should_log($job, $ctx.now) {
            $crate::event::log_event!($ctx, $event, "job" => %$job $(, $($fields)*)?);
        }
    };
}

pub(crate) use {log_event, log_job_event};
