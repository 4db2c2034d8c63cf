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
    5002 StopBegan "graceful shutdown started";
    5003 StopDone "graceful shutdown completed";
    5004 Woken "process resumed after a suspension";
    5005 Reloaded "settings file reloaded";
    5006 ReloadRefused "settings file is invalid; current settings stay in force";
    5007 LinesLeftOut "log lines about jobs dropped by sampling";
    5101 LeaderFound "leader found";
    5102 LeaderLost "leader lost";
    5103 Claiming "claiming leadership";
    5104 ClaimFailed "leadership claim failed";
    5105 Leads "became leader";
    5106 Serves "state recovered; accepting requests";
    5107 Deposed "replaced by another leader";
    5108 Resigned "leadership released";
    5109 ClaimSpared "leader is alive; claim abandoned";
    5110 LeaderCutOff "lost contact with most followers; releasing leadership";
    5111 LeaderSlow "timer lag far above that of followers; releasing leadership";
    5201 StoreLost "store does not respond";
    5202 StoreBack "store responds again";
    5203 RowIgnored "row cannot be decoded; ignored";
    5301 RulesChanged "operator's rules changed";
    5302 WorkerListed "worker listed";
    5303 WorkerUnlisted "worker no longer listed";
    5304 WorkerLost "worker does not respond";
    5305 WorkerBack "worker responds again";
    5306 WorkerNewLife "worker restarted";
    5307 WorkerWrittenOff "worker's runs marked as lost";
    5308 WorkerAvoided "worker quarantined after failed runs";
    5401 JobAccepted "job accepted";
    5402 JobEnded "job ended";
    5403 JobRefused "request refused";
    5404 TaskStarted "task started";
    5405 TaskNotStarted "task not started";
    5406 TaskUndecided "no answer to task start";
    5407 TaskEnded "task ended";
    5408 AdviceFailed "advice call failed";
    5409 CallUnanswered "request timed out";
    5410 TaskStopped "task stop requested";
    5411 JobWaits "job overdue and still waiting";
}

/// Logs an event with its fields.
macro_rules! note {
    ($port:expr, $event:ident $(, $($fields:tt)*)?) => {
        slog::info!(
            $port.log, "{}", $crate::event::Event::$event.text();
            "event" => $crate::event::Event::$event.number() $(, $($fields)*)?
        )
    };
}

/// Logs an event of a job with its fields, unless sampling drops the line.
macro_rules! note_job {
    ($port:expr, $job:expr, $event:ident $(, $($fields:tt)*)?) => {
        if $port.sampler.should_log($job, $port.now) {
            $crate::event::note!($port, $event, "job" => %$job $(, $($fields)*)?);
        }
    };
}

pub(crate) use {note, note_job};
