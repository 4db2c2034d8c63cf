//! Random schedules of faults under load, generated from fixed seeds.
//!
//! `BRONZERAIL_SCHEDULES=2000 cargo test -p daemon --test schedules` runs 2000 schedules;
//! `BRONZERAIL_FIRST` sets the first seed.

mod support;

use arbtest::arbitrary::{Result, Unstructured};
use bronzeraild::front::Request;
use common::Name;
use support::Cell;

/// Number of daemons in the cell.
const DAEMONS: usize = 5;
/// Number of rounds of one fault and three requests in a schedule.
const ROUNDS: usize = 8;
/// Number of schedules to run if `BRONZERAIL_SCHEDULES` is not set.
const SCHEDULES: u64 = 60;

/// Bytes of random input for one schedule.
const ENTROPY_BYTES: u64 = 4096;

/// Submission or cancellation that was sent, and the token of its answer.
struct SentRequest {
    id: String,
    token: u64,
}

/// Injects or clears one random fault.
fn inject_fault(cell: &mut Cell, u: &mut Unstructured<'_>) -> Result<()> {
    let one = u.choose_index(DAEMONS)?;
    let other = u.choose_index(DAEMONS)?;
    match u.choose_index(13)? {
        0 if cell.is_alive(one) => cell.kill(one),
        1 | 2 if !cell.is_alive(one) => cell.boot(one),
        3 => cell.pause(one),
        4 | 5 => cell.resume(one),
        6 if one != other => cell.cut_link(one, other),
        7 => cell.simulation.borrow_mut().faults.table_down = u.arbitrary()?,
        8 => {
            cell.simulation.borrow_mut().faults.table_down_for.insert(one);
        }
        9 => cell.simulation.borrow_mut().faults.lose_commits = 0.2,
        10 => cell.simulation.borrow_mut().faults.lose_starts = 0.3,
        11 => {
            let worker = Name::from(format!("es-north-w{:02}", 1 + u.choose_index(50)?));
            cell.simulation.borrow_mut().faults.silent_workers.insert(worker);
        }
        12 => {
            for index in 0..DAEMONS {
                cell.resume(index);
            }
            cell.clear_faults();
        }
        _ => {}
    }
    Ok(())
}

/// Submits a random request, and sometimes cancels an earlier one.
fn send_random_request(
    cell: &mut Cell,
    u: &mut Unstructured<'_>,
    sent: &mut Vec<SentRequest>,
) -> Result<()> {
    let at = u.choose_index(DAEMONS)?;
    let number = sent.len();
    let id = format!("r{number}");
    let length = 100 + 500 * u.choose_index(20)?;
    let body = match u.choose_index(6)? {
        0 => format!(r#""kind":"billed-study","payload":"once ms={length}""#),
        1 => format!(r#""kind":"packing-gang","tasks":3,"payload":"ms={length}""#),
        2 => format!(r#""kind":"wall-probe","payload":"ms={}""#, length / 20),
        3 => {
            format!(r#""kind":"wall-probe","repeatable":false,"payload":"once ms={}""#, length / 20)
        }
        4 => format!(r#""kind":"filling-study","within_ms":3000,"payload":"ms={length}""#),
        _ => format!(r#""kind":"filling-study","payload":"ms={length}""#),
    };
    let json = format!(r#"{{"customer":"trim-supplier","id":"{id}",{body}}}"#);
    let token = cell.submit(at, &json, 60_000);
    if u.ratio(1, 10)? && number > 0 {
        let earlier = u.choose_index(number)?;
        let id = sent[earlier].id.clone();
        let token = cell.cancel(u.choose_index(DAEMONS)?, &id);
        sent.push(SentRequest { id, token });
    }
    sent.push(SentRequest { id, token });
    Ok(())
}

/// Clears all faults, restarts all daemons and gives open requests time to end.
fn recover(cell: &mut Cell) {
    for index in 0..DAEMONS {
        if !cell.is_alive(index) {
            cell.boot(index);
        }
        cell.resume(index);
    }
    cell.clear_faults();
    cell.run_for(120.0);
}

/// Checks the invariants, the answers received so far, and that every request ended.
fn check(cell: &mut Cell, sent: &[SentRequest], seed: u64) {
    cell.check_invariants();
    for SentRequest { id, token } in sent {
        let Some(answer) = cell.received_answer(*token) else {
            continue;
        };
        let ran = answer.body["ran"].as_str();
        let is_current = answer.body["error"] != "no-owner" && answer.body["error"] != "not-found";
        if ran == Some("not run") && is_current && answer.body["error"] != "unconfirmed" {
            assert!(
                !cell.has_run(id),
                "seed {seed}: {id} ran but was reported as not run: {}",
                answer.body
            );
        }
        if let Some(result) = answer.body["results"][0].as_str().filter(|text| !text.is_empty()) {
            let is_own = result.contains(&format!("/{id}")) || !result.starts_with("result of");
            assert!(is_own, "seed {seed}: {id} got the answer of another request: {}", answer.body);
        }
    }
    // Every recorded request must end once the faults are cleared.
    let ids: Vec<String> = sent.iter().map(|one| one.id.clone()).collect();
    for id in ids {
        let token = cell.request_status(0, &id, 0);
        let answer = cell.wait_for_answer(token, 12.0);
        let state = answer.body["state"].as_str().unwrap_or_default();
        let is_open = matches!(state, "queued" | "running" | "cancelling");
        if is_open {
            let token = cell.send_request(0, Request::Explain { key: support::key(&id) });
            let why = cell.wait_for_answer(token, 12.0);
            panic!("seed {seed}: {id} did not end: {}", why.body["text"]);
        }
    }
}

/// Runs the schedule of a seed.
fn run(seed: u64) {
    arbtest::arbtest(|u| {
        let mut cell = Cell::new(DAEMONS, seed);
        let mut sent = Vec::new();
        for _ in 0..ROUNDS {
            inject_fault(&mut cell, u)?;
            for _ in 0..3 {
                send_random_request(&mut cell, u, &mut sent)?;
                cell.run_for(0.05 * u.choose_index(30)? as f64);
            }
        }
        recover(&mut cell);
        check(&mut cell, &sent, seed);
        Ok(())
    })
    .seed(seed << 32 | ENTROPY_BYTES);
}

#[test]
fn schedule_stale_digest() {
    // A home counted all slots of a rack as used, and the rack's owner sent no new digest
    // because nothing had changed.
    run(2574);
}

#[test]
fn schedule_reply_to_earlier_incarnation() {
    // A daemon was replaced, and a peer's late reply to a call of the old incarnation was
    // taken as the reply to the new incarnation's call with the same number.
    run(20110);
}

#[test]
fn schedule_fixed_seeds() {
    let count = std::env::var("BRONZERAIL_SCHEDULES").ok().and_then(|text| text.parse().ok());
    let first = std::env::var("BRONZERAIL_FIRST").ok().and_then(|text| text.parse().ok());
    let first: u64 = first.unwrap_or(1);
    for seed in first..first + count.unwrap_or(SCHEDULES) {
        run(seed);
    }
}
