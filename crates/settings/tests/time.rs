//! Tests of local time across clock changes and of the parsers of settings files.

use jiff::Timestamp;
use jiff::civil::date;
use jiff::tz::Offset;
use settings::clock::{Clock, OffsetChange};
use settings::window::{Window, next_occurrence};
use settings::{Inventory, Rules};

fn at(text: &str) -> Timestamp {
    text.parse().expect("valid timestamp")
}

fn madrid(changes: &[(&str, i8)]) -> Clock {
    let change = |(when, hours): &(&str, i8)| OffsetChange {
        zone: "Europe/Madrid".into(),
        effective_from: at(when),
        offset: Offset::constant(*hours),
    };
    let changes: Vec<OffsetChange> = changes.iter().map(change).collect();
    Clock::new("Europe/Madrid", &changes).expect("known zone")
}

fn night() -> Window {
    let time = |hour| jiff::civil::time(hour, 0, 0, 0);
    Window { from: time(20), until: time(6), days: Vec::new() }
}

#[test]
fn to_instant_skipped_time() {
    // 02:00 to 03:00 does not exist on 2026-03-29.
    let skipped = madrid(&[]).to_instant(date(2026, 3, 29).at(2, 30, 0, 0));
    assert_eq!(skipped, at("2026-03-29T01:00:00Z"));
}

#[test]
fn to_instant_repeated_time() {
    // 02:30 occurs twice on 2026-10-25.
    let first = madrid(&[]).to_instant(date(2026, 10, 25).at(2, 30, 0, 0));
    assert_eq!(first, at("2026-10-25T00:30:00Z"));
}

#[test]
fn offset_at_listed_change_overrides_database() {
    let clock = madrid(&[("2026-12-01T00:00:00Z", 2)]);
    assert_eq!(clock.offset_at(at("2026-11-30T23:59:59Z")), Offset::constant(1));
    assert_eq!(clock.offset_at(at("2026-12-01T00:00:00Z")), Offset::constant(2));
    assert_eq!(clock.offset_at(at("2027-02-01T00:00:00Z")), Offset::constant(2));
}

#[test]
fn to_instant_listed_gap_and_fold() {
    let gap = madrid(&[("2026-12-01T00:00:00Z", 4)]);
    assert_eq!(gap.to_instant(date(2026, 12, 1).at(2, 0, 0, 0)), at("2026-12-01T00:00:00Z"));
    let fold = madrid(&[("2026-12-01T00:00:00Z", -1)]);
    assert_eq!(fold.to_instant(date(2026, 12, 1).at(0, 30, 0, 0)), at("2026-11-30T23:30:00Z"));
}

#[test]
fn window_past_midnight() {
    let clock = madrid(&[]);
    assert!(night().is_open(&clock, at("2026-12-01T20:00:00Z")));
    assert!(night().is_open(&clock, at("2026-12-01T04:59:59Z")));
    assert!(!night().is_open(&clock, at("2026-12-01T05:00:00Z")));
    let next = night().next_opening(&clock, at("2026-12-01T12:00:00Z"));
    assert_eq!(next, Some(at("2026-12-01T19:00:00Z")));
}

#[test]
fn window_moves_with_clock_change() {
    let noon = at("2026-12-01T12:00:00Z");
    assert!(!night().is_open(&madrid(&[]), noon));
    assert!(night().is_open(&madrid(&[("2026-12-01T00:00:00Z", 9)]), noon));
}

#[test]
fn next_occurrence_after_now() {
    let seven = jiff::civil::time(7, 0, 0, 0);
    let next = next_occurrence(&madrid(&[]), at("2026-12-01T06:00:00Z"), seven);
    assert_eq!(next, at("2026-12-02T06:00:00Z"));
}

#[test]
fn to_instant_matches_linear_scan() {
    // Compares with a scan for the first minute whose local time is at or after the wanted one.
    let clock = madrid(&[("2026-03-20T00:00:00Z", 3), ("2026-03-21T00:00:00Z", -2)]);
    for minute in (0..6 * 24 * 60).step_by(17) {
        let wanted = date(2026, 3, 18).at(0, 0, 0, 0);
        let wanted = wanted + jiff::SignedDuration::from_mins(minute);
        let start = at("2026-03-16T00:00:00Z");
        let minutes =
            (0..10 * 24 * 60).map(|minute| start + jiff::SignedDuration::from_mins(minute));
        let expected = minutes.into_iter().find(|at| clock.to_local(*at) >= wanted);
        assert_eq!(Some(clock.to_instant(wanted)), expected, "{wanted}");
    }
}

#[test]
fn due_follows_clock_change() {
    let text = |changes: &str| {
        format!(
            r#"{{ "zone": "Europe/Madrid", {changes}
            "kinds": [{{ "name": "k", "mode": "study", "cpu": 1, "memory": "1GB", "due": "07:00" }}] }}"#
        )
    };
    let due = |changes: &str| {
        let rules = Rules::parse(&text(changes)).expect("valid settings");
        rules.due_at(&rules.kinds["k"], at("2026-12-01T20:00:00Z"))
    };
    assert_eq!(due(""), Some(at("2026-12-02T06:00:00Z")));
    let moved = r#""clock_changes": [{ "zone": "Europe/Madrid", "at": "2026-12-02T00:00:00Z", "offset": "+02:00" }],"#;
    assert_eq!(due(moved), Some(at("2026-12-02T05:00:00Z")));
}

#[test]
fn parse_examples() {
    for cell in ["es-north", "wa"] {
        let read = |name: &str| {
            let path = format!("{}/../../examples/{cell}/{name}", env!("CARGO_MANIFEST_DIR"));
            std::fs::read_to_string(path).expect("the example file exists")
        };
        let inventory = Inventory::parse(&read("inventory.jsonc")).expect("valid settings");
        assert_eq!(inventory.workers().count(), 50);
        assert!(inventory.racks.values().all(|rack| rack.workers.len() <= 6));
        Rules::parse(&read("rules.jsonc")).expect("valid settings");
        settings::Daemon::parse(&read("daemon.jsonc")).expect("valid settings");
    }
}

#[test]
fn parse_rules_collects_all_errors() {
    let text = r#"{ "zone": "Europe/Madrid", "kinds": [
        { "name": "a", "mode": "study", "cpu": 1, "memory": "1GB", "window": "never" },
        { "name": "a", "mode": "quick" },
    ] }"#;
    let errors = Rules::parse(text).expect_err("invalid rules").to_string();
    assert!(errors.contains("2:9: unknown window `never`"), "{errors}");
    assert!(errors.contains("3:9: quick work needs a `service`"), "{errors}");
    assert!(errors.contains("3:9: duplicate name `a`"), "{errors}");
}

#[test]
fn parse_never_panics() {
    // Truncates and mutates a valid file at every byte: the result may be an error, not a panic.
    let text =
        r#"{ "zone": "UTC", "windows": [{ "name": "n", "from": "20:00", "until": "06:00" }] }"#;
    for at in 0..text.len() {
        let _ = Rules::parse(&text[..at]);
        for byte in ["", "\"", "}", "9", "é"] {
            let changed = format!("{}{byte}{}", &text[..at], &text[at + 1..]);
            let _ = Rules::parse(&changed);
        }
    }
}
