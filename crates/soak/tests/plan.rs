//! Plans of faults.

use std::time::Duration;

use soak::plan::{Kind, Plan, Spec, Target};

const SPEC: Spec = Spec { daemons: 9, workers: 24, zones: 3, length: Duration::from_secs(45) };

#[test]
fn draw_same_seed_gives_same_plan() {
    assert_eq!(Plan::draw(7, &SPEC), Plan::draw(7, &SPEC));
    assert_eq!(Plan::leaders(7, &SPEC), Plan::leaders(7, &SPEC));
}

#[test]
fn draw_other_seed_gives_other_plan() {
    assert_ne!(Plan::draw(7, &SPEC), Plan::draw(8, &SPEC));
    assert_ne!(Plan::leaders(7, &SPEC).faults, Plan::leaders(8, &SPEC).faults);
}

#[test]
fn draw_faults_start_in_order_within_the_run() {
    for seed in 0..50 {
        let plan = Plan::draw(seed, &SPEC);
        assert!(!plan.faults.is_empty());
        assert!(plan.faults.is_sorted_by_key(|fault| fault.at));
        assert!(plan.faults.iter().all(|fault| fault.at < SPEC.length));
    }
}

#[test]
fn draw_many_seeds_give_each_kind() {
    let faults = (0..200).flat_map(|seed| Plan::draw(seed, &SPEC).faults);
    let kinds: std::collections::HashSet<_> =
        faults.map(|fault| std::mem::discriminant(&fault.kind)).collect();
    // Cut, one way, five of a daemon, five of the store, three of a worker.
    assert_eq!(kinds.len(), 15);
}

#[test]
fn leaders_cuts_the_leader_twice_for_longer_than_a_lease() {
    for seed in 0..50 {
        let plan = Plan::leaders(seed, &SPEC);
        assert_eq!(plan.faults.len(), 2);
        for fault in &plan.faults {
            let Kind::Cut { daemons, workers, .. } = &fault.kind else { panic!("{fault}") };
            assert_eq!(daemons, &[Target::Leader]);
            assert_eq!(workers.len(), SPEC.workers / 2);
            assert!(fault.lasts > Duration::from_millis(10_400));
        }
        assert!(plan.faults[1].at >= plan.faults[0].at + plan.faults[0].lasts);
    }
}
