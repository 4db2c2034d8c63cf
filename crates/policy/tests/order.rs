//! Which waiting request goes first.

use std::cmp::Ordering;

use policy::order::{AGEING, Candidate, compare};
use settings::rules::Class;

fn normal() -> Candidate {
    Candidate { class: Class::Normal, admitted_ms: 1000, start_by_ms: None, share: 0.0 }
}

fn goes_first(one: &Candidate, other: &Candidate, now_ms: i64) -> bool {
    compare(one, other, now_ms) == Ordering::Less
}

#[test]
fn compare_class_before_all() {
    let urgent = Candidate { class: Class::Urgent, admitted_ms: 9000, share: 50.0, ..normal() };
    assert!(goes_first(&urgent, &normal(), 10_000));
}

#[test]
fn compare_smaller_share_first() {
    let heavy = Candidate { share: 3.0, admitted_ms: 0, ..normal() };
    assert!(goes_first(&normal(), &heavy, 10_000));
}

#[test]
fn compare_earlier_deadline_first() {
    let due = Candidate { start_by_ms: Some(60_000), admitted_ms: 5000, ..normal() };
    assert!(goes_first(&due, &normal(), 10_000));
}

#[test]
fn compare_ageing_lifts_patient_work() {
    let old = Candidate { class: Class::Patient, admitted_ms: 0, ..normal() };
    let now_ms = AGEING.as_millis() as i64;
    let young = Candidate { admitted_ms: now_ms, ..normal() };
    assert!(goes_first(&young, &old, now_ms - 1));
    assert!(goes_first(&old, &young, now_ms));
}
