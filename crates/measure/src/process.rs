//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::time::Duration;

/// Clock ticks per second in `/proc`; fixed on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Processor time that a process has used; zero if it cannot be read.
pub fn cpu_time(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in parentheses may contain spaces; the other fields follow it.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = |index: usize| -> f64 {
        fields.split_whitespace().nth(index).and_then(|text| text.parse().ok()).unwrap_or(0.0)
    };
    Duration::from_secs_f64((ticks(11) + ticks(12)) / TICKS_PER_S)
}

/// Resident memory of a process in MiB; zero if it cannot be read.
pub fn rss_mb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kib.unwrap_or(0.0) / 1024.0
}
