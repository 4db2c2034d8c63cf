//! Tests of the writer against a table that loses responses, and of segments, recovery and the
//! request table.

use arbtest::arbitrary::{Result, Unstructured};
use border::table::{Query, Transaction};
use common::Name;
use journal::event::{AttemptPlacement, Event, Outcome, RequestKey, Terms};
use journal::segment::{self, Segment};
use journal::snapshot::{self, SnapshotHead};
use journal::writer::WriteAction;
use journal::{RequestTable, Writer};
use settings::RequestSpec;
use settings::quantity::Resources;
use settings::rules::{Class, Mode};
use standin::table::Table;

const OWNER: &str = "own/partition/0003";
const PARTITION: u32 = 3;

/// Number of random inputs per test.
const INPUTS: u64 = 1500;

fn key(number: usize) -> RequestKey {
    RequestKey { customer: "c".into(), id: Name::from(format!("r{number}")) }
}

fn admitted(number: usize, is_repeatable: bool) -> Event {
    let spec = RequestSpec {
        customer: "c".into(),
        id: key(number).id,
        kind: "k".into(),
        payload: "p".to_owned(),
        size: None,
        tasks: None,
        within_ms: None,
        repeatable: None,
    };
    let terms = Terms {
        mode: Mode::Study,
        class: Class::Normal,
        is_repeatable,
        attempts: 3,
        size: Resources::default(),
        tasks: 1,
        admitted_ms: 0,
        start_by_ms: None,
    };
    Event::Admitted { key: key(number), spec, terms }
}

fn started(number: usize, attempt: u32) -> Event {
    let place =
        AttemptPlacement { task: 0, attempt, rack: "r".into(), worker: "w".into(), rack_epoch: 1 };
    Event::Started { key: key(number), places: vec![place] }
}

fn claim(table: &mut Table) -> u64 {
    let commit = table.commit(Transaction::default().put(OWNER, "me".to_owned()));
    commit.version
}

fn rows(table: &mut Table) -> Vec<(Name, String)> {
    let query = Query { keys: Vec::new(), prefixes: vec![segment::key_prefix(PARTITION).into()] };
    table.read(&query).into_iter().map(|row| (row.key, row.value)).collect()
}

#[test]
fn commit_lost_responses_recovers_durable_events() {
    for seed in 0..INPUTS {
        arbtest::arbtest(run_with_lost_responses).seed(seed << 32 | 512);
    }
}

/// Appends events while responses are lost and another owner may claim, then recovers.
fn run_with_lost_responses(u: &mut Unstructured<'_>) -> Result<()> {
    let mut table = Table::default();
    let version = claim(&mut table);
    let mut writer = Writer::new(PARTITION, 1, OWNER.into(), version, 0);
    let mut durable = Vec::new();
    let mut next = 0;
    let mut is_fenced = false;
    let mut nonce = 0;
    for _ in 0..20 {
        for _ in 0..u.choose_index(3)? {
            writer.append(admitted(next, true), next as u64);
            next += 1;
        }
        if u.ratio(1, 15)? {
            claim(&mut table);
            is_fenced = true;
        }
        nonce += 1;
        let Some(transaction) =
            writer.begin_commit(nonce).or_else(|| writer.in_flight_transaction())
        else {
            continue;
        };
        let is_received = u.ratio(3, 4)?;
        let commit = is_received.then(|| table.commit(transaction));
        let is_answered = u.ratio(3, 4)?;
        let mut action = writer.handle_commit_reply(commit.as_ref().filter(|_| is_answered));
        if let WriteAction::Read(query) = &action {
            action = writer.resolve_conflict(&table.read(query));
        }
        match action {
            WriteAction::Durable(tokens) => durable.extend(tokens),
            WriteAction::Fenced => {
                assert!(is_fenced, "fenced although no other owner claimed the partition");
                break;
            }
            WriteAction::Resend => {}
            WriteAction::Read(_) => panic!("a resolved conflict must not ask for another read"),
        }
    }
    let (request_table, _) = snapshot::recover(&SnapshotHead::default(), None, &rows(&mut table))
        .expect("the committed segments can be recovered");
    for token in &durable {
        assert!(
            request_table.get(&key(*token as usize)).is_some(),
            "event {token} was reported durable but not recovered"
        );
    }
    let mut deduplicated = durable.clone();
    deduplicated.dedup();
    assert_eq!(deduplicated, durable, "an event was reported durable twice in a row");
    Ok(())
}

#[test]
fn commit_after_claim_fenced() {
    let mut table = Table::default();
    let version = claim(&mut table);
    let mut writer = Writer::new(PARTITION, 1, OWNER.into(), version, 0);
    writer.append(admitted(0, true), 0);
    let transaction = writer.begin_commit(7).expect("an event is pending");
    claim(&mut table);
    let commit = table.commit(transaction);
    assert!(!commit.committed);
    let WriteAction::Read(query) = writer.handle_commit_reply(Some(&commit)) else {
        panic!("a conflict must lead to a read");
    };
    assert_eq!(writer.resolve_conflict(&table.read(&query)), WriteAction::Fenced);
    assert!(rows(&mut table).is_empty());
}

#[test]
fn withdraw_only_before_commit() {
    let mut writer = Writer::new(PARTITION, 1, OWNER.into(), 1, 0);
    writer.append(admitted(0, true), 1);
    assert!(writer.withdraw(1).is_some());
    writer.append(admitted(0, true), 2);
    writer.begin_commit(1).expect("an event is pending");
    assert!(writer.withdraw(2).is_none());
}

#[test]
fn decode_damaged_segment_rejected() {
    let segment = Segment { epoch: 3, nonce: 9, events: vec![admitted(0, true)] };
    let text = segment.encode();
    assert_eq!(Segment::decode(&text).expect("the segment is undamaged"), segment);
    for at in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[at] ^= 1;
        let is_undetected = String::from_utf8(bytes).is_ok_and(|changed| {
            Segment::decode(&changed).is_ok_and(|read| read.events != segment.events)
        });
        assert!(!is_undetected, "a flipped bit at byte {at} was not detected");
    }
    Segment::decode("something else").expect_err("not a segment");
    let newer = text.replacen("bronzerail-journal 1", "bronzerail-journal 2", 1);
    assert!(
        Segment::decode(&newer).expect_err("unsupported version").to_string().contains("version 2")
    );
}

#[test]
fn recover_missing_segment_rejected() {
    let text = Segment { epoch: 1, nonce: 1, events: vec![admitted(0, true)] }.encode();
    let rows = [(Name::from(segment::segment_key(PARTITION, 1)), text)];
    let error =
        snapshot::recover(&SnapshotHead::default(), None, &rows).expect_err("a segment is missing");
    assert!(error.to_string().contains("segment 0 is missing"));
}

#[test]
fn recover_snapshot_and_later_segments() {
    let mut request_table = RequestTable::default();
    request_table.apply(admitted(0, true)).expect("the event is valid");
    let (bytes, crc) = snapshot::encode(&request_table);
    let head =
        SnapshotHead { version: snapshot::FORMAT_VERSION, object: Some("o".into()), crc, next: 5 };
    let tail = Segment { epoch: 1, nonce: 1, events: vec![started(0, 1)] }.encode();
    let rows = [(Name::from(segment::segment_key(PARTITION, 5)), tail)];
    let (request_table, next) =
        snapshot::recover(&head, Some(&bytes), &rows).expect("recovery succeeds");
    assert_eq!(next, 6);
    assert_eq!(
        request_table.get(&key(0)).map(journal::request_table::Request::status_word),
        Some("running")
    );
    snapshot::recover(&head, Some(&bytes[1..]), &rows).expect_err("the snapshot is damaged");
    snapshot::recover(&head, None, &rows).expect_err("the snapshot is missing");
}

#[test]
fn apply_non_repeatable_no_second_attempt() {
    let mut request_table = RequestTable::default();
    request_table.apply(admitted(0, false)).expect("the event is valid");
    request_table.apply(started(0, 1)).expect("the event is valid");
    let requeued = |may_have_run| Event::Requeued {
        key: key(0),
        task: 0,
        attempt: 1,
        may_have_run,
        has_yielded: false,
        reason: String::new(),
    };
    assert!(request_table.apply(requeued(true)).is_err());
    request_table.apply(requeued(false)).expect("the attempt never ran");
    request_table.apply(started(0, 2)).expect("the event is valid");
}

#[test]
fn apply_not_run_answer_contradiction_rejected() {
    let mut request_table = RequestTable::default();
    request_table.apply(admitted(0, true)).expect("the event is valid");
    request_table.apply(started(0, 1)).expect("the event is valid");
    let answer = journal::event::Answer {
        code: common::ErrorKind::Cancelled.code(),
        text: String::new(),
        results: Vec::new(),
        at_ms: 0,
    };
    let closed = Event::Closed { key: key(0), answer };
    assert!(request_table.apply(closed.clone()).is_err());
    let ended = Event::Ended {
        key: key(0),
        task: 0,
        attempt: 1,
        outcome: Outcome::Done,
        result: "r".to_owned(),
    };
    request_table.apply(ended.clone()).expect("the event is valid");
    assert!(request_table.apply(ended).is_err(), "a second outcome of the same attempt");
    assert!(request_table.apply(closed).is_err());
}
