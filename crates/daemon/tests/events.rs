//! The events in the code match the list in `docs/EVENTS.md`.

use bronzeraild::event::Event;

#[test]
fn events_match_docs() {
    let path = format!("{}/../../docs/EVENTS.md", env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(path).expect("docs/EVENTS.md exists");
    for event in Event::ALL {
        let row = format!("| {} | {} | {} |", event.number(), event.level().as_str(), event.text());
        assert!(page.contains(&row), "docs/EVENTS.md lacks `{row}`");
    }
    let rows =
        page.lines().filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit());
    assert_eq!(
        rows.count(),
        Event::ALL.len(),
        "docs/EVENTS.md lists events that the code does not have"
    );
}
