//! Numbered log events of the daemon.
//!
//! `docs/EVENTS.md` lists every event. A number is never reused for another meaning.

use std::fmt::Display;

use slog::{Level, Logger};

macro_rules! events {
    ($($number:literal $level:ident $name:ident $text:literal;)*) => {
        common::key! {
            /// Event that the daemon logs.
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

            /// Level of the log line.
            pub fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }
        }
    };
}

events! {
    1001 Info Started "daemon started";
    1002 Info ShutdownStarted "graceful shutdown started";
    1003 Info Stopped "daemon stopped";
    1004 Warning ShutdownTimedOut "graceful shutdown timed out";
    1005 Error Superseded "replaced by another incarnation of this member";
    2001 Info MemberJoined "member joined";
    2002 Info MemberExpired "member's lease expired";
    2003 Warning LeaseExpired "own lease expired; no actions until it is renewed";
    2004 Info LeaseRenewed "own lease renewed";
    2101 Info ScopeClaimed "scope claimed";
    2102 Info ScopeHandedOver "scope handed over";
    2103 Warning ScopeLost "scope lost to another owner";
    2104 Info ScopeReady "scope recovered and in service";
    2105 Error RecoveryFailed "scope recovery failed; nothing is written for the scope";
    2201 Info PeerConnected "peer connected";
    2202 Info PeerDisconnected "peer connection lost";
    2203 Warning PeerTimedOut "peer connection timed out; closed";
    2204 Warning PeerRejected "peer rejected: invalid greeting, other cell or other version";
    3001 Warning TableUnresponsive "table does not respond";
    3002 Info TableResponsive "table responds again";
    3003 Info Compacted "journal compacted";
    3004 Warning CompactionFailed "journal compaction failed; will be retried";
    4001 Info SettingsInForce "settings version in force";
    4002 Error SettingsInvalid "settings version cannot be parsed; previous version stays in force";
    4003 Warning SettingsUnconfirmed "settings cannot be confirmed; decisions paused";
    4004 Info SettingsConfirmed "settings confirmed again; decisions resumed";
    5001 Warning WorkerUnresponsive "worker does not respond";
    5002 Info WorkerResponsive "worker responds again";
    5003 Warning TaskLeaseExpired "task's lease expired";
    5004 Warning StaleTaskStopped "stopping a task that has no current attempt";
    5005 Info VmLeaving "VM is leaving; it gets no new work";
    6001 Debug RequestAdmitted "request admitted";
    6002 Debug RequestClosed "request closed";
    6003 Warning RequestOutcomeUnknown "request outcome unknown";
    6004 Error JournalEventRejected "event contradicts the recorded state of its request";
    7001 Warning RequestShed "request rejected by load shedding";
}

/// Logs an event, with its number and details as fields.
pub fn emit(log: &Logger, event: Event, detail: impl Display) {
    let (number, text) = (event.number(), event.text());
    let detail = detail.to_string();
    match event.level() {
        Level::Critical | Level::Error => {
            slog::error!(log, "{}", text; "event" => number, "detail" => detail);
        }
        Level::Warning => slog::warn!(log, "{}", text; "event" => number, "detail" => detail),
        Level::Info => slog::info!(log, "{}", text; "event" => number, "detail" => detail),
        Level::Debug | Level::Trace => {
            slog::debug!(log, "{}", text; "event" => number, "detail" => detail);
        }
    }
}
