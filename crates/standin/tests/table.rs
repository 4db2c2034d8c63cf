//! Tests of the in-memory table: atomic transactions and reads by prefix.

use border::table::{Query, Transaction};
use standin::table::Table;

#[test]
fn commit_failed_check_changes_nothing() {
    let mut table = Table::default();
    assert!(table.commit(Transaction::default().put("a", "1".to_owned())).committed);
    let refused = table.commit(Transaction::default().check("a", 0).put("b", "2".to_owned()));
    assert!(!refused.committed);
    assert_eq!(refused.conflicts, ["a".into()]);
    let rows = table.read(&Query { keys: vec!["b".into()], prefixes: Vec::new() });
    assert!(rows.is_empty());
}

#[test]
fn read_prefix_in_order() {
    let mut table = Table::default();
    for key in ["p/2", "p/1", "q/1"] {
        table.commit(Transaction::default().put(key, key.to_owned()));
    }
    let rows = table.read(&Query { keys: Vec::new(), prefixes: vec!["p/".into()] });
    let keys: Vec<&str> = rows.iter().map(|row| &*row.key).collect();
    assert_eq!(keys, ["p/1", "p/2"]);
}
