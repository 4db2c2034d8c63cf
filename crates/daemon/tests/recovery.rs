//! Recovery from snapshots, damaged rows, and members that join and leave.

mod support;

use border::table::{Query, Transaction};
use support::Cell;

/// Owner of each partition.
fn owners(cell: &mut Cell) -> Vec<usize> {
    (0..24).map(|one| cell.owner_of(&format!("own/partition/{one:04}"))).collect()
}

/// Rows of the table whose keys start with the prefix.
fn rows_under(cell: &Cell, prefix: &str) -> Vec<border::table::Row> {
    let query = Query { keys: Vec::new(), prefixes: vec![prefix.into()] };
    cell.simulation.borrow_mut().table.read(&query)
}

/// Ids whose requests are in the same partition as `r0`.
fn ids_in_same_partition(count: usize) -> Vec<String> {
    let partitions = settings::daemon::DEFAULT_PARTITIONS;
    let wanted = support::key("r0").partition(partitions);
    let ids = (0..).map(|number| format!("r{number}"));
    ids.filter(|id| support::key(id).partition(partitions) == wanted).take(count).collect()
}

/// Completes each request before the next starts, so that each has its own segments.
fn run_one_by_one(cell: &mut Cell, ids: &[String]) {
    for id in ids {
        let token = cell.submit_work(0, id, "filling-study", "ms=10", 20_000);
        let answer = cell.wait_for_answer(token, 20.0);
        assert_eq!(answer.body["state"], "done", "{}", answer.body);
    }
}

#[test]
fn recover_from_snapshot_and_tail() {
    let mut cell = Cell::new(3, 61);
    let ids = ids_in_same_partition(40);
    run_one_by_one(&mut cell, &ids);
    cell.run_for(30.0);
    let partition = support::key("r0").partition(settings::daemon::DEFAULT_PARTITIONS);
    let rows = rows_under(&cell, &format!("journal/{partition:04}/"));
    assert!(rows.len() <= 64, "{} of more than 100 segments remain after compaction", rows.len());
    let home = cell.home_of("r0");
    cell.kill(home);
    let other = (home + 1) % 3;
    for id in &ids {
        let token = cell.submit_work(other, id, "filling-study", "ms=10", 20_000);
        let answer = cell.wait_for_answer(token, 20.0);
        assert_eq!(answer.body["results"][0], format!("result of trim-supplier/{id} task 0"));
    }
    assert_eq!(cell.counts().starts, 40, "a request ran again after the takeover");
}

#[test]
fn compact_while_objects_down_loses_nothing() {
    let mut cell = Cell::new(3, 62);
    cell.simulation.borrow_mut().faults.objects_down = true;
    let ids = ids_in_same_partition(40);
    run_one_by_one(&mut cell, &ids);
    let home = cell.home_of("r0");
    cell.kill(home);
    cell.run_for(8.0);
    let token = cell.request_status((home + 1) % 3, &ids[0], 0);
    assert_eq!(cell.wait_for_answer(token, 12.0).body["state"], "done");
    cell.check_invariants();
}

#[test]
fn recover_damaged_row_nothing_overwritten() {
    let mut cell = Cell::new(3, 63);
    run_one_by_one(&mut cell, &ids_in_same_partition(3));
    let partition = support::key("r0").partition(settings::daemon::DEFAULT_PARTITIONS);
    let prefix = format!("journal/{partition:04}/");
    let mut damaged = rows_under(&cell, &prefix)[0].clone();
    damaged.value = damaged.value.replace("trim-supplier", "somebody-else");
    let put = Transaction::default().put(damaged.key.clone(), damaged.value.clone());
    assert!(cell.simulation.borrow_mut().table.commit(put).committed);
    let before = rows_under(&cell, &prefix);
    let home = cell.home_of("r0");
    cell.kill(home);
    cell.run_for(10.0);
    let other = (home + 1) % 3;
    let token = cell.submit_work(other, "r0", "filling-study", "ms=10", 3000);
    let answer = cell.wait_for_answer(token, 12.0);
    assert_eq!(answer.body["error"], "no-owner", "{}", answer.body);
    assert_eq!(rows_under(&cell, &prefix), before);
    let token = cell.submit_work(other, "q1", "wall-probe", "ms=5", 3000);
    assert_eq!(
        cell.wait_for_answer(token, 5.0).status,
        200,
        "the rest of the cell keeps serving requests"
    );
}

#[test]
fn join_moves_only_to_new_member() {
    let mut cell = Cell::new(5, 64);
    cell.kill(4);
    cell.run_for(15.0);
    let before = owners(&mut cell);
    cell.boot(4);
    cell.run_for(30.0);
    let after = owners(&mut cell);
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
    assert!(moved.clone().all(|(_, new)| *new == 4), "{before:?} {after:?}");
    assert!((1..=10).contains(&moved.count()), "{before:?} {after:?}");
    let epochs = rows_under(&cell, "own/");
    cell.run_for(60.0);
    assert_eq!(rows_under(&cell, "own/"), epochs, "ownership changed without a change of members");
}

#[test]
fn replace_every_daemon_in_turn() {
    let mut cell = Cell::new(5, 65);
    let token = cell.submit_work(0, "s1", "filling-study", "ms=90000", 0);
    cell.wait_for_answer(token, 5.0);
    for index in 0..5 {
        cell.kill(index);
        cell.run_for(8.0);
        cell.boot(index);
        cell.run_for(8.0);
    }
    cell.run_for(30.0);
    let token = cell.request_status(2, "s1", 30_000);
    assert_eq!(cell.wait_for_answer(token, 32.0).body["state"], "done");
    assert_eq!(cell.counts().starts, 1);
    cell.check_invariants();
}
