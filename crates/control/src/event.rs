//! Numbered log events of the control plane; `docs/EVENTS-PLATFORM.md` is their catalogue.

macro_rules! events {
    ($($number:literal $name:ident $text:literal;)*) => {
        common::key! {
            /// Everything that a node logs.
            pub enum Event {
                $(#[doc = $text] $name,)*
            }
        }

        impl Event {
            /// Every event, in the order of the numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The event's number, which never changes its meaning.
            pub fn number(self) -> u32 {
                match self { $(Self::$name => $number,)* }
            }

            /// What the log line says.
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

events! {
    5001 Started "process started";
    5002 StopBegan "graceful stop began";
    5003 StopDone "graceful stop done";
    5004 Woken "process was suspended";
    5005 Reloaded "settings file read again";
    5006 ReloadRefused "settings file has faults; the former settings stay";
    5007 LinesLeftOut "log lines about jobs were left out";
    5101 LeaderFound "leader found";
    5102 LeaderLost "leader lost";
    5103 Claiming "leadership claimed";
    5104 ClaimFailed "claim failed";
    5105 Leads "leads from now on";
    5106 Serves "state recovered; serving";
    5107 Deposed "no longer leader";
    5108 Resigned "leadership given up";
    5109 ClaimSpared "leader is alive; not claimed";
    5110 LeaderCutOff "most followers fell silent; giving the place up";
    5111 LeaderSlow "processor falls behind; giving the place up";
    5201 StoreLost "store does not answer";
    5202 StoreBack "store answers again";
    5203 RowIgnored "row cannot be read; ignored";
    5301 RulesChanged "operator's rules changed";
    5302 WorkerListed "worker listed";
    5303 WorkerUnlisted "worker no longer listed";
    5304 WorkerLost "worker does not answer";
    5305 WorkerBack "worker answers again";
    5306 WorkerNewLife "worker started anew";
    5307 WorkerWrittenOff "worker's runs written off";
    5308 WorkerAvoided "worker avoided after failed runs";
    5401 JobAccepted "job accepted";
    5402 JobEnded "job ended";
    5403 JobRefused "request refused";
    5404 TaskStarted "task started";
    5405 TaskNotStarted "task not started";
    5406 TaskUndecided "start not answered";
    5407 TaskEnded "task ended";
    5408 AdviceFailed "advice call failed";
    5409 CallUnanswered "request not answered in time";
    5410 TaskStopped "task stop ordered";
    5411 JobWaits "job waits beyond its objective";
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

/// Logs an event of a job, if the job is one of those that are logged.
macro_rules! note_job {
    ($port:expr, $job:expr, $event:ident $(, $($fields:tt)*)?) => {
        if $port.sampler.takes($job, $port.now) {
            $crate::event::note!($port, $event, "job" => %$job $(, $($fields)*)?);
        }
    };
}

pub(crate) use {note, note_job};
