//! Checks that the documentation lists exactly the events in the code.

use control::Event;

#[test]
fn events_match_docs() {
    let path = format!("{}/../../docs/EVENTS-PLATFORM.md", env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(path).expect("docs/EVENTS-PLATFORM.md exists");
    for event in Event::ALL {
        let row = format!("| {} | {} |", event.number(), event.text());
        assert!(page.contains(&row), "docs/EVENTS-PLATFORM.md lacks `{row}`");
    }
    let rows =
        page.lines().filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit());
    assert_eq!(
        rows.count(),
        Event::ALL.len(),
        "docs/EVENTS-PLATFORM.md lists events that the code does not define"
    );
}
