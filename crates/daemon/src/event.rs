//! Numbered log events; `docs/EVENTS.md` is their catalogue.

use std::fmt::Display;

use slog::{Level, Logger};

macro_rules! events {
    ($($number:literal $level:ident $name:ident $text:literal;)*) => {
        common::key! {
            /// Everything that the daemon logs.
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

            /// The level of the log line.
            pub fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }
        }
    };
}

events! {
    1001 Info Started "daemon started";
    1002 Info Stopping "graceful stop began";
    1003 Info Stopped "daemon stopped";
    1004 Warning StopForced "graceful stop ran out of time";
    1005 Error Superseded "another incarnation took the member name";
    2001 Info MemberJoined "member joined";
    2002 Info MemberGone "member's lease ran out";
    2003 Warning LeaseLapsed "own lease lapsed; not acting until renewed";
    2004 Info LeaseRegained "own lease renewed";
    2101 Info ScopeClaimed "scope claimed";
    2102 Info ScopeReleased "scope handed over";
    2103 Warning ScopeLost "scope lost to another owner";
    2104 Info ScopeReady "scope recovered and in service";
    2105 Error RecoveryFailed "scope cannot be recovered; nothing is written for it";
    2201 Info PeerUp "peer connected";
    2202 Info PeerDown "peer connection lost";
    2203 Warning PeerSilent "peer connection silent; dropped";
    2204 Warning PeerRefused "peer refused: other cell or version";
    3001 Warning TableDown "table does not answer";
    3002 Info TableUp "table answers again";
    3003 Info Compacted "journal compacted";
    3004 Warning CompactionFailed "journal compaction failed; it is tried again";
    4001 Info SettingsInForce "settings version in force";
    4002 Error SettingsUnreadable "settings version does not parse; the older stays in force";
    4003 Warning Unconfirmed "settings cannot be confirmed; not deciding";
    4004 Info Confirmed "settings confirmed again; deciding";
    5001 Warning WorkerSilent "worker does not answer";
    5002 Info WorkerBack "worker answers";
    5003 Warning TaskLapsed "task's lease lapsed";
    5004 Warning OrphanStopped "task without a current attempt stopped";
    5005 Info VmLeaving "VM is leaving; no new work for it";
    6001 Debug Admitted "request admitted";
    6002 Debug Closed "request closed";
    6003 Warning UnknownOutcome "request's outcome is unknown";
    6004 Error BookRefused "event does not fit the book";
    7001 Warning Shed "request shed";
}

/// Writes one event with its details.
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
