//! Tests for the queue order of waiting requests.

use std::cmp::Ordering;

use policy::order::{PROMOTION_INTERVAL, QueuedRequest, compare_priority};
use settings::rules::Class;

fn normal() -> QueuedRequest {
    QueuedRequest { class: Class::Normal, admitted_ms: 1000, start_by_ms: None, share: 0.0 }
}

fn precedes(left: &QueuedRequest, right: &QueuedRequest, now_ms: i64) -> bool {
    compare_priority(left, right, now_ms) == Ordering::Less
}

#[test]
fn compare_class_outranks_share_and_age() {
    let urgent = QueuedRequest { class: Class::Urgent, admitted_ms: 9000, share: 50.0, ..normal() };
    assert!(precedes(&urgent, &normal(), 10_000));
}

#[test]
fn compare_smaller_share_first() {
    let larger_share = QueuedRequest { share: 3.0, admitted_ms: 0, ..normal() };
    assert!(precedes(&normal(), &larger_share, 10_000));
}

#[test]
fn compare_earlier_deadline_first() {
    let with_deadline = QueuedRequest { start_by_ms: Some(60_000), admitted_ms: 5000, ..normal() };
    assert!(precedes(&with_deadline, &normal(), 10_000));
}

#[test]
fn compare_waiting_promotes_patient_work() {
    let waiting = QueuedRequest { class: Class::Patient, admitted_ms: 0, ..normal() };
    let now_ms = PROMOTION_INTERVAL.as_millis() as i64;
    let recent = QueuedRequest { admitted_ms: now_ms, ..normal() };
    assert!(precedes(&recent, &waiting, now_ms - 1));
    assert!(precedes(&waiting, &recent, now_ms));
}
