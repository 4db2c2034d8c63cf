//! Tests that the table of error kinds is complete and matches the documentation.

use common::Kind;

#[test]
fn kind_table_ordered_and_unique() {
    for (index, kind) in Kind::all().enumerate() {
        assert_eq!(kind as usize, index, "{kind} is not at its index in the table");
        assert_eq!(Kind::from_code(kind.code()), Some(kind));
        assert_eq!(Kind::from_word(kind.word()), Some(kind));
    }
    assert_eq!(Kind::from_code(0), None);
    assert_eq!(Kind::from_code(9999), Some(Kind::Internal));
}

#[test]
fn kind_table_matches_docs() {
    let path = format!("{}/../../docs/ANSWERS.md", env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(path).expect("docs/ANSWERS.md is readable");
    for kind in Kind::all() {
        let row =
            format!("| {} | {} | {} | {} |", kind.word(), kind.status(), kind.exit(), kind.ran());
        assert!(page.contains(&row), "docs/ANSWERS.md does not contain `{row}`");
    }
}
