//! Quotas, rate limits, preemption, load shedding and load peaks.

mod support;

use support::Cell;

#[test]
fn quota_holds_running_tasks() {
    let mut cell = Cell::new(3, 71);
    // The quota of `toolroom` is 4 accelerators; each task uses 2.
    for number in 0..5 {
        let json = format!(
            r#"{{"customer":"toolroom","id":"a{number}","kind":"filling-study","payload":"forever","size":{{"cpu":1000,"memory":1024,"accelerators":2}}}}"#
        );
        let token = cell.submit(0, &json, 0);
        cell.wait_for_answer(token, 5.0);
        cell.run_for(3.0);
    }
    assert_eq!(cell.counts().starts, 2);
    let rows = cell.survey(1, "queue");
    assert_eq!(rows.iter().filter(|row| row["state"] == "queued").count(), 3);
}

#[test]
fn rate_refused_not_run() {
    let rules = support::example("rules.jsonc").replace("\"rate\": 20000", "\"rate\": 10");
    let mut cell = Cell::with_files(2, 72, &support::example("inventory.jsonc"), &rules);
    let tokens: Vec<u64> = (0..50)
        .map(|number| cell.submit_work(0, &format!("q{number}"), "wall-probe", "ms=5", 5000))
        .collect();
    let answers: Vec<_> =
        tokens.into_iter().map(|token| cell.wait_for_answer(token, 6.0)).collect();
    let refused = answers.iter().filter(|answer| answer.body["error"] == "quota").count();
    assert_eq!(
        refused, 40,
        "10 of 50 are admitted: each of two daemons grants half of twice the rate"
    );
    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.body["error"] == "quota", !cell.has_run(&format!("q{number}")));
    }
}

#[test]
fn open_requests_refused_over_quota() {
    let rules = support::example("rules.jsonc").replace("\"open\": 5000", "\"open\": 10");
    let mut cell = Cell::with_files(2, 73, &support::example("inventory.jsonc"), &rules);
    let mut refused = 0;
    for number in 0..30 {
        let token = cell.submit_work(0, &format!("n{number}"), "night-study", "ms=5", 0);
        let answer = cell.wait_for_answer(token, 6.0);
        refused += u32::from(answer.body["error"] == "quota");
        cell.run_for(1.5);
    }
    assert_eq!(refused, 20);
}

#[test]
fn urgent_starts_in_time_on_full_cell() {
    // Preemptible studies occupy all processors for a long time.
    let quota = "\"cpu\": 480, \"memory\": \"2000GB\"";
    let unlimited = "\"cpu\": 9000, \"memory\": \"9000GB\"";
    let rules = support::example("rules.jsonc").replace(quota, unlimited);
    let mut cell = Cell::with_files(3, 74, &support::example("inventory.jsonc"), &rules);
    for number in 0..200 {
        cell.submit_work(number % 3, &format!("s{number}"), "filling-study", "ms=60000", 0);
    }
    cell.run_for(10.0);
    assert_eq!(cell.counts().starts, 150, "the cell is not full");
    let began = cell.now();
    let token = cell.submit_work(0, "u1", "urgent-study", "ms=10", 30_000);
    let answer = cell.wait_for_answer(token, 30.0);
    assert_eq!(answer.body["state"], "done", "{}", answer.body);
    let waited = (cell.now() - began).as_secs_f64();
    // The task and one poll of its worker take a little over one second.
    assert!(waited <= 2.6 + 1.2, "{waited} s: {}", answer.body);
    let counts = cell.counts();
    assert!(counts.starts <= 160, "too many studies were preempted: {counts:?}");
    cell.check_invariants();
}

#[test]
fn load_peak_tenfold_all_answered() {
    let mut cell = Cell::new(5, 75);
    for number in 0..40 {
        cell.submit_work(number % 5, &format!("s{number}"), "filling-study", "ms=20000", 0);
    }
    cell.run_for(3.0);
    let mut tokens = Vec::new();
    // 100 requests/s for two seconds, then 1,000/s for two seconds, 100 ms each on 400 slots.
    for step in 0..400 {
        let count = if step < 200 { 1 } else { 10 };
        for one in 0..count {
            let id = format!("q{step}-{one}");
            tokens.push(cell.submit_work(one % 5, &id, "wall-probe", "ms=100", 2000));
        }
        cell.run_for(0.01);
    }
    let answers: Vec<_> =
        tokens.into_iter().map(|token| cell.wait_for_answer(token, 4.0)).collect();
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(served * 100 >= answers.len() * 99, "{served} of {}", answers.len());
    cell.check_invariants();
}

#[test]
fn overload_shed_not_run() {
    let mut cell = Cell::new(2, 76);
    let mut tokens = Vec::new();
    for number in 0..3000 {
        let id = format!("q{number}");
        tokens.push((id.clone(), cell.submit_work(number % 2, &id, "wall-probe", "ms=900", 2000)));
        if number % 50 == 0 {
            cell.run_for(0.01);
        }
    }
    cell.run_for(5.0);
    let mut refused = 0;
    for (id, token) in tokens {
        let answer = cell.wait_for_answer(token, 1.0);
        match answer.body["ran"].as_str() {
            Some("not run") => {
                refused += 1;
                assert!(!cell.has_run(&id), "{id}: {}", answer.body);
            }
            // The request was still running when its caller's wait ended.
            Some("unknown") => assert!(cell.has_run(&id), "{id}: {}", answer.body),
            _ => assert_eq!(answer.status, 200, "{}", answer.body),
        }
    }
    assert!(refused > 0, "400 slots cannot run 3,000 requests of 0.9 s in 2 s");
    cell.check_invariants();
}

#[test]
fn cancel_burst_all_answered() {
    let mut cell = Cell::new(3, 77);
    for number in 0..300 {
        cell.submit_work(number % 3, &format!("n{number}"), "night-study", "ms=10", 0);
    }
    cell.run_for(5.0);
    let tokens: Vec<u64> =
        (0..100).map(|number| cell.cancel(number % 3, &format!("n{number}"))).collect();
    for token in tokens {
        assert_eq!(cell.wait_for_answer(token, 6.0).body["ran"], "not run");
    }
}
