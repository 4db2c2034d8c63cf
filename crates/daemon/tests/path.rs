//! Requests from submission to answer, without faults.

mod support;

use support::Cell;

#[test]
fn submit_quick_answered() {
    let mut cell = Cell::new(3, 1);
    let token = cell.submit_work(0, "q1", "wall-probe", "ms=5", 5000);
    let answer = cell.wait_for_answer(token, 1.0);
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.body["results"][0], "result of trim-supplier/q1");
    cell.check_invariants();
}

#[test]
fn submit_study_answered() {
    let mut cell = Cell::new(3, 2);
    let token = cell.submit_work(1, "s1", "filling-study", "ms=300", 10_000);
    let answer = cell.wait_for_answer(token, 5.0);
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.body["results"][0], "result of trim-supplier/s1 task 0");
    cell.check_invariants();
}

#[test]
fn submit_gang_all_tasks() {
    let mut cell = Cell::new(3, 3);
    let json = r#"{"customer":"trim-supplier","id":"g1","kind":"packing-gang","tasks":12,"payload":"ms=300"}"#;
    let token = cell.submit(0, json, 20_000);
    let answer = cell.wait_for_answer(token, 5.0);
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.body["results"].as_array().map(Vec::len), Some(12));
    cell.check_invariants();
}

#[test]
fn submit_service_spreads() {
    let mut cell = Cell::new(3, 4);
    let json = r#"{"customer":"trim-supplier","id":"v1","kind":"press-monitor","tasks":4,"payload":"forever"}"#;
    let token = cell.submit(0, json, 0);
    assert_eq!(cell.wait_for_answer(token, 5.0).status, 202);
    cell.run_for(5.0);
    let rows = cell.survey(1, "workers");
    let busy = rows.iter().filter(|row| row["tasks"].as_u64() > Some(0));
    let mut domains: Vec<&str> = busy
        .filter_map(|row| row["rack"].as_str())
        .filter_map(|rack| rack.rsplit_once("-r").map(|(domain, _)| domain))
        .collect();
    domains.dedup();
    assert_eq!(domains.len(), 4, "tasks do not cover four failure domains: {domains:?}");
}

#[test]
fn submit_same_id_same_answer() {
    let mut cell = Cell::new(3, 5);
    let first = cell.submit_work(0, "s1", "filling-study", "ms=500", 10_000);
    let second = cell.submit_work(2, "s1", "filling-study", "ms=500", 10_000);
    let (first, second) = (cell.wait_for_answer(first, 5.0), cell.wait_for_answer(second, 5.0));
    assert_eq!(first.body["results"], second.body["results"]);
    assert_eq!(cell.counts().starts, 1);
}

#[test]
fn submit_same_id_other_body() {
    let mut cell = Cell::new(3, 6);
    let token = cell.submit_work(0, "s1", "filling-study", "ms=500", 0);
    assert_eq!(cell.wait_for_answer(token, 5.0).status, 202);
    let token = cell.submit_work(1, "s1", "filling-study", "ms=501", 0);
    let answer = cell.wait_for_answer(token, 5.0);
    assert_eq!(answer.status, 409);
    assert_eq!(answer.body["error"], "id-taken");
}

#[test]
fn submit_impossible_refused() {
    let mut cell = Cell::new(1, 7);
    let json = r#"{"customer":"trim-supplier","id":"x","kind":"filling-study","size":{"cpu":999000,"memory":1}}"#;
    let token = cell.submit(0, json, 0);
    let answer = cell.wait_for_answer(token, 1.0);
    assert_eq!(answer.status, 422);
    assert!(answer.body["text"].as_str().is_some_and(|text| text.contains("processors")));
}

#[test]
fn submit_night_study_waits() {
    let mut cell = Cell::new(3, 8);
    let token = cell.submit_work(0, "n1", "night-study", "ms=100", 0);
    assert_eq!(cell.wait_for_answer(token, 5.0).status, 202);
    cell.run_for(5.0);
    assert!(!cell.has_run("n1"), "n1 ran outside its time window, at noon");
    // A change of the legal time moves the clock eight hours ahead, into the night window.
    let change = r#""clock_changes": [{ "zone": "Europe/Madrid", "at": "2026-12-01T00:00:00Z", "offset": "+09:00" }],
  "windows": ["#;
    let rules = support::example("rules.jsonc").replace(r#""windows": ["#, change);
    let answer = cell.apply(1, "rules", 2, &rules);
    assert_eq!(answer.status, 200, "{}", answer.body);
    let token = cell.request_status(2, "n1", 8000);
    assert_eq!(cell.wait_for_answer(token, 10.0).body["state"], "done");
}

#[test]
fn cancel_waiting_not_run() {
    let mut cell = Cell::new(3, 9);
    let token = cell.submit_work(0, "n1", "night-study", "ms=100", 0);
    cell.wait_for_answer(token, 5.0);
    let token = cell.cancel(1, "n1");
    let answer = cell.wait_for_answer(token, 5.0);
    assert_eq!(answer.body["ran"], "not run", "{}", answer.body);
    cell.run_for(20.0);
    assert!(!cell.has_run("n1"));
    let token = cell.cancel(2, "n1");
    assert_eq!(
        cell.wait_for_answer(token, 5.0).body["ran"],
        "not run",
        "a repeated cancel gets another answer"
    );
}

#[test]
fn cancel_running_stopped() {
    let mut cell = Cell::new(3, 10);
    let token = cell.submit_work(0, "s1", "filling-study", "forever", 0);
    cell.wait_for_answer(token, 5.0);
    cell.run_for(3.0);
    let token = cell.cancel(1, "s1");
    let answer = cell.wait_for_answer(token, 8.0);
    assert_eq!(answer.body["error"], "stopped", "{}", answer.body);
    assert_eq!(answer.body["ran"], "ran");
}

#[test]
fn submit_once_quick_runs_once() {
    let mut cell = Cell::new(3, 11);
    let json = r#"{"customer":"trim-supplier","id":"o1","kind":"wall-probe","payload":"once ms=20","repeatable":false}"#;
    let token = cell.submit(0, json, 10_000);
    let answer = cell.wait_for_answer(token, 5.0);
    assert_eq!(answer.body["results"][0], "result of trim-supplier/o1", "{}", answer.body);
    cell.check_invariants();
}

#[test]
fn submit_failing_retried_then_failed() {
    let mut cell = Cell::new(3, 12);
    let token = cell.submit_work(0, "f1", "filling-study", "fail ms=50", 30_000);
    let answer = cell.wait_for_answer(token, 30.0);
    assert_eq!(answer.body["error"], "failed", "{}", answer.body);
    assert_eq!(cell.counts().starts, 3, "the rules allow three attempts");
}
