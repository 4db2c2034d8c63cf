//! Job histories and cell reports from log lines of an outage.

use std::time::Duration;

use logs::{CellReport, JobHistory, Line, read};

/// Log lines of three daemons, unsorted, as a collector delivers them.
const LOGS: &str = include_str!("outage.log");

fn lines() -> Vec<Line> {
    read(LOGS.lines()).0
}

#[test]
fn read_unsorted_lines_sorted_and_skipped_counted() {
    let (lines, skipped) = read(LOGS.lines());
    assert_eq!(skipped, 2);
    assert!(lines.is_sorted_by_key(|line| line.time));
    assert!(read(["", "{\"msg\":\"cut"]).0.is_empty());
}

#[test]
fn job_history_store_outage_during_wait() {
    let history = JobHistory::from_lines(&lines(), "09fb713d88796a49");
    assert_eq!(history.lines.len(), 6);
    assert_eq!(history.is_late, Some(true));
    let wait = history.longest_wait.expect("the job waited");
    assert!(wait.duration > Duration::from_secs(2), "{:?}", wait.duration);
    let events: Vec<u32> = wait.possible_causes.iter().map(|line| line.event).collect();
    assert_eq!(events, [5201]);
}

#[test]
fn job_history_store_outage_before_wait() {
    let history = JobHistory::from_lines(&lines(), "78aeac6ba1b8e678");
    let wait = history.longest_wait.expect("the job waited");
    let events: Vec<u32> = wait.possible_causes.iter().map(|line| line.event).collect();
    assert_eq!(events, [5201, 5202]);
    assert_eq!(history.is_late, None);
}

#[test]
fn job_history_unanswered_request_wait() {
    let text = r#"{"msg":"request not answered in time","ts":"2026-03-14T18:58:21.500000Z","member":"entry-b-1","sent":true,"waited_ms":2900,"path":"/p/00000000000000aa","event":5409}"#;
    let (lines, _) = read(LOGS.lines().chain([text]));
    let wait = JobHistory::from_lines(&lines, "00000000000000aa")
        .longest_wait
        .expect("the request waited");
    assert_eq!(wait.duration, Duration::from_millis(2900));
    assert_eq!(wait.after, "request arrived");
    assert_eq!(wait.possible_causes.iter().map(|line| line.event).collect::<Vec<_>>(), [5201]);
}

#[test]
fn job_history_unknown_job_empty() {
    let history = JobHistory::from_lines(&lines(), "ffffffffffffffff");
    assert!(history.lines.is_empty() && history.longest_wait.is_none());
}

#[test]
fn cell_report_counts_and_outages() {
    let report = CellReport::from_lines(&lines()).expect("the log has lines");
    let accepted: u32 = report.seconds.iter().map(|second| second.accepted).sum();
    let late: u32 = report.seconds.iter().map(|second| second.late).sum();
    assert_eq!((accepted, late), (3, 1));
    let outages: Vec<(&str, u64)> = report
        .outages
        .iter()
        .map(|outage| (outage.kind, outage.to.saturating_sub(outage.from).as_millis() as u64))
        .collect();
    assert_eq!(outages, [("store away", 3210), ("change of leader", 800)]);
    let svg = report.draw_chart().expect("the chart is drawn");
    assert!(svg.starts_with("<svg") && svg.contains("accepted"));
    assert!(CellReport::from_lines(&[]).is_none());
}
