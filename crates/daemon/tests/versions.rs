//! The version of the settings in force never decreases.

mod support;

use std::time::{Duration, Instant};

use border::table::Row;
use bronzeraild::node::versions::{Head, Versions, key};

fn head(version: u64) -> Head {
    Head { version, inventory: version, rules: version, ..Head::default() }
}

/// Rows of a version: the inventory, then the rules.
fn rows(version: u64) -> Vec<Row> {
    let row = |what: &str, file: &str| Row {
        key: key(what, version),
        value: support::example(file),
        version,
    };
    vec![row("inventory", "inventory.jsonc"), row("rules", "rules.jsonc")]
}

#[test]
fn adopt_older_stays() {
    let mut versions = Versions::default();
    versions.adopt(head(2), 7, &rows(2)).expect("the settings are valid");
    versions.adopt(head(1), 5, &rows(1)).expect("an older version is ignored");
    assert_eq!((versions.head.version, versions.row_version), (2, 7));
}

#[test]
fn adopt_unreadable_changes_nothing() {
    let mut versions = Versions::default();
    versions.adopt(head(2), 7, &rows(2)).expect("the settings are valid");
    let mut bad = rows(3);
    bad[1].value = "{".to_owned();
    versions.adopt(head(3), 9, &bad).expect_err("the rules are invalid");
    versions.adopt(head(3), 9, &bad[..1]).expect_err("a row is missing");
    assert_eq!(versions.head.version, 2);
    assert!(versions.is_complete());
}

#[test]
fn hear_same_version_confirms() {
    let now = Instant::now() + Duration::from_mins(1);
    let mut versions = Versions::default();
    versions.adopt(head(2), 7, &rows(2)).expect("the settings are valid");
    versions.apply_peer_version(2, Duration::from_secs(3), now);
    assert_eq!(versions.age(now), Some(Duration::from_secs(3)));
    versions.apply_peer_version(2, Duration::from_secs(5), now);
    assert_eq!(
        versions.age(now),
        Some(Duration::from_secs(3)),
        "an older confirmation changes the age"
    );
    versions.apply_peer_version(3, Duration::ZERO, now);
    assert_eq!(versions.newest_known, 3);
    assert_eq!(versions.age(now), Some(Duration::from_secs(3)));
}
