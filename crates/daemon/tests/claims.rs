//! Claims of one scope by several members, on the stand-in's table.

use std::time::{Duration, Instant};

use border::table::{Query, Row, Transaction};
use bronzeraild::node::claims::{Claims, PREFIX, Scope};
use bronzeraild::node::membership::{Member, Membership};
use common::Name;
use standin::table::Table;

/// Lease of a member.
const LEASE: Duration = Duration::from_millis(3500);

fn member(name: &str, incarnation: u64) -> Member {
    let address = "127.0.0.1:1".parse().expect("the address is valid");
    Member {
        name: Name::new(name),
        incarnation,
        domain: Name::new("d"),
        peer_address: address,
        http_address: address,
        beat: 1,
        is_leaving: false,
    }
}

fn membership(name: &str, now: Instant) -> Membership {
    Membership::new(member(name, 1), LEASE, now)
}

/// All ownership rows.
fn rows(table: &mut Table) -> Vec<Row> {
    table.read(&Query { keys: Vec::new(), prefixes: vec![Name::new(PREFIX)] })
}

/// Row of a member after `beat` heartbeats.
fn member_row(name: &str, beat: u64) -> Row {
    let row = Member { beat, ..member(name, 1) };
    let value = serde_json::to_string(&row).expect("the row serializes");
    Row { key: Name::from(format!("member/{name}")), value, version: beat }
}

/// Claims of member `a`, which holds one scope.
fn claims_of_holder(table: &mut Table, scope: &Scope, now: Instant) -> Claims {
    let (mut claims, ours) = (Claims::default(), membership("a", now));
    let (transaction, epochs) = claims.claim_transaction(std::slice::from_ref(scope), &ours);
    let commit = table.commit(transaction);
    claims.record_claim(scope.clone(), epochs[0].1, commit.version, ours.own_member());
    claims
}

#[test]
fn claim_race_one_wins() {
    let now = Instant::now();
    let mut table = Table::default();
    let scopes = [Scope::Partition(1), Scope::Rack(Name::new("r"))];
    let one = Claims::default().claim_transaction(&scopes, &membership("a", now)).0;
    let other = Claims::default().claim_transaction(&scopes[..1], &membership("b", now)).0;
    assert!(table.commit(one).committed);
    assert!(!table.commit(other).committed, "the row has changed since it was read");
}

#[test]
fn claim_after_release_grows_epoch() {
    let now = Instant::now();
    let mut table = Table::default();
    let scopes = [Scope::Partition(1)];
    let mut one = claims_of_holder(&mut table, &scopes[0], now);
    let release = one.release_transaction(&scopes[0]).expect("the scope is held");
    assert!(table.commit(release).committed);
    let (mut other, theirs) = (Claims::default(), membership("b", now));
    other.apply_rows(&rows(&mut table));
    let (transaction, epochs) = other.claim_transaction(&scopes, &theirs);
    assert_eq!(epochs[0].1, 2);
    assert!(table.commit(transaction).committed);
    assert_eq!(
        one.apply_rows(&rows(&mut table)),
        [scopes[0].clone()],
        "the first owner does not notice that it lost the scope"
    );
}

#[test]
fn alive_until_lease_after_last_heartbeat() {
    let start = Instant::now();
    let mut membership = membership("a", start);
    let name = Name::new("b");
    for step in 0..4 {
        let now = start + Duration::from_secs(step);
        membership.apply_rows(&[member_row("b", step + 1)], now);
    }
    let mut now = start + Duration::from_secs(3);
    for _ in 0..3 {
        now += Duration::from_secs(1);
        membership.apply_rows(&[member_row("b", 4)], now);
        assert!(membership.may_hold_lease(&name, 1, now));
    }
    now += Duration::from_secs(1);
    membership.apply_rows(&[member_row("b", 4)], now);
    assert!(
        !membership.may_hold_lease(&name, 1, now),
        "alive after four seconds without a heartbeat"
    );
}

#[test]
fn alive_after_gap_in_observations() {
    let start = Instant::now();
    let mut membership = membership("a", start);
    membership.apply_rows(&[member_row("b", 1)], start);
    let now = start + Duration::from_mins(1);
    membership.apply_rows(&[member_row("b", 1)], now);
    assert!(
        membership.may_hold_lease(&Name::new("b"), 1, now),
        "the lease expired during a minute without observations"
    );
}

#[test]
fn own_lease_counts_from_sending() {
    let start = Instant::now();
    let mut membership = membership("a", start);
    assert!(!membership.is_valid(start));
    membership.record_renewal(start, 1);
    assert!(membership.is_valid(start + Duration::from_secs(3)));
    assert!(
        !membership.is_valid(start + Duration::from_millis(3300)),
        "valid within the safety margin before its end"
    );
}

#[test]
fn release_refused_after_loss() {
    let now = Instant::now();
    let mut table = Table::default();
    let scopes = [Scope::Partition(1)];
    let one = claims_of_holder(&mut table, &scopes[0], now);
    table.commit(Transaction::default().put(scopes[0].key(), "taken".to_owned()));
    let release =
        one.release_transaction(&scopes[0]).expect("the member still lists the scope as held");
    assert!(!table.commit(release).committed);
}
