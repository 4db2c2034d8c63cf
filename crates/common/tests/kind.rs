//! Tests that the table of error kinds is complete and matches the documentation.

use common::ErrorKind;

#[test]
fn kind_table_ordered_and_unique() {
    for (index, kind) in ErrorKind::all().enumerate() {
        assert_eq!(kind as usize, index, "{kind} is not at its index in the table");
        assert_eq!(ErrorKind::from_code(kind.code()), Some(kind));
        assert_eq!(ErrorKind::from_name(kind.as_str()), Some(kind));
    }
    assert_eq!(ErrorKind::from_code(0), None);
    assert_eq!(ErrorKind::from_code(9999), Some(ErrorKind::Internal));
}

#[test]
fn kind_table_matches_docs() {
    let path = format!("{}/../../docs/ANSWERS.md", env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(path).expect("docs/ANSWERS.md is readable");
    for kind in ErrorKind::all() {
        let row = format!(
            "| {} | {} | {} | {} |",
            kind.as_str(),
            kind.http_status(),
            kind.exit_code(),
            kind.execution()
        );
        assert!(page.contains(&row), "docs/ANSWERS.md does not contain `{row}`");
    }
}
