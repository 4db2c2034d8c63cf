//! Stories and days from a few lines in the form of the daemons' logs.

use std::time::Duration;

use logs::{Day, Line, Story, read};

/// Lines of three daemons, in no order, as a collector hands them on.
const LOGS: &str = include_str!("outage.log");

fn lines() -> Vec<Line> {
    read(LOGS.lines()).0
}

#[test]
fn read_sorts_and_counts_what_holds_no_event() {
    let (lines, unread) = read(LOGS.lines());
    assert_eq!(unread, 2);
    assert!(lines.is_sorted_by_key(|line| line.at));
    assert!(read(["", "{\"msg\":\"cut"]).0.is_empty());
}

#[test]
fn story_names_outage_that_held_a_job() {
    let story = Story::of(&lines(), "09fb713d88796a49");
    assert_eq!(story.lines.len(), 6);
    assert_eq!(story.is_late, Some(true));
    let wait = story.longest.expect("there are gaps");
    assert!(wait.length > Duration::from_secs(2), "{:?}", wait.length);
    let events: Vec<u32> = wait.meanwhile.iter().map(|line| line.event).collect();
    assert_eq!(events, [5201]);
}

#[test]
fn story_of_store_that_was_away_before() {
    let story = Story::of(&lines(), "78aeac6ba1b8e678");
    let wait = story.longest.expect("there are gaps");
    let events: Vec<u32> = wait.meanwhile.iter().map(|line| line.event).collect();
    assert_eq!(events, [5201, 5202]);
    assert_eq!(story.is_late, None);
}

#[test]
fn story_of_request_without_answer_counts_its_wait() {
    let text = r#"{"msg":"request not answered in time","ts":"2026-03-14T18:58:21.500000Z","member":"entry-b-1","sent":true,"waited_ms":2900,"path":"/p/00000000000000aa","event":5409}"#;
    let (lines, _) = read(LOGS.lines().chain([text]));
    let wait = Story::of(&lines, "00000000000000aa").longest.expect("it waited");
    assert_eq!(wait.length, Duration::from_millis(2900));
    assert_eq!(wait.after, "request arrived");
    assert_eq!(wait.meanwhile.iter().map(|line| line.event).collect::<Vec<_>>(), [5201]);
}

#[test]
fn story_of_unknown_job_is_empty() {
    let story = Story::of(&lines(), "ffffffffffffffff");
    assert!(story.lines.is_empty() && story.longest.is_none());
}

#[test]
fn day_counts_seconds_and_troubles() {
    let day = Day::of(&lines()).expect("there are lines");
    let accepted: u32 = day.seconds.iter().map(|second| second.accepted).sum();
    let late: u32 = day.seconds.iter().map(|second| second.late).sum();
    assert_eq!((accepted, late), (3, 1));
    let spans: Vec<(&str, u64)> = day
        .troubles
        .iter()
        .map(|span| (span.what, span.to.saturating_sub(span.from).as_millis() as u64))
        .collect();
    assert_eq!(spans, [("store away", 3210), ("change of leader", 800)]);
    let svg = day.chart().expect("it can be drawn");
    assert!(svg.starts_with("<svg") && svg.contains("accepted"));
    assert!(Day::of(&[]).is_none());
}
