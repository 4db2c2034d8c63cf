//! Random schedules of faults under load, from fixed seeds.
//!
//! `BRONZERAIL_SCHEDULES=2000 cargo test -p daemon --test schedules` runs more of them.

mod support;

use arbtest::arbitrary::{Result, Unstructured};
use bronzeraild::front::Request;
use common::Name;
use support::Cell;

const DAEMONS: usize = 5;
const ROUNDS: usize = 8;
const SCHEDULES: u64 = 60;

/// Bytes of entropy of one schedule.
const ENTROPY: u64 = 4096;

struct Asked {
    id: String,
    token: u64,
}

fn inject(cell: &mut Cell, u: &mut Unstructured<'_>) -> Result<()> {
    let one = u.choose_index(DAEMONS)?;
    let other = u.choose_index(DAEMONS)?;
    match u.choose_index(13)? {
        0 if cell.is_alive(one) => cell.kill(one),
        1 | 2 if !cell.is_alive(one) => cell.boot(one),
        3 => cell.pause(one),
        4 | 5 => cell.wake(one),
        6 if one != other => cell.cut(one, other),
        7 => cell.world.borrow_mut().faults.table_down = u.arbitrary()?,
        8 => {
            cell.world.borrow_mut().faults.table_down_for.insert(one);
        }
        9 => cell.world.borrow_mut().faults.lose_commits = 0.2,
        10 => cell.world.borrow_mut().faults.lose_starts = 0.3,
        11 => {
            let worker = Name::from(format!("es-north-w{:02}", 1 + u.choose_index(50)?));
            cell.world.borrow_mut().faults.silent_workers.insert(worker);
        }
        12 => {
            for index in 0..DAEMONS {
                cell.wake(index);
            }
            cell.heal();
        }
        _ => {}
    }
    Ok(())
}

fn ask(cell: &mut Cell, u: &mut Unstructured<'_>, asked: &mut Vec<Asked>) -> Result<()> {
    let at = u.choose_index(DAEMONS)?;
    let number = asked.len();
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
        let victim = u.choose_index(number)?;
        let id = asked[victim].id.clone();
        let token = cell.cancel(u.choose_index(DAEMONS)?, &id);
        asked.push(Asked { id, token });
    }
    asked.push(Asked { id, token });
    Ok(())
}

fn settle(cell: &mut Cell) {
    for index in 0..DAEMONS {
        if !cell.is_alive(index) {
            cell.boot(index);
        }
        cell.wake(index);
    }
    cell.heal();
    cell.run_for(120.0);
}

fn check(cell: &mut Cell, asked: &[Asked], seed: u64) {
    cell.check_promises();
    for Asked { id, token } in asked {
        let Some(answer) = cell.peek(*token) else {
            continue;
        };
        let ran = answer.body["ran"].as_str();
        let is_current = answer.body["error"] != "no-owner" && answer.body["error"] != "not-found";
        if ran == Some("not run") && is_current && answer.body["error"] != "unconfirmed" {
            assert!(!cell.ran(id), "seed {seed}: {id} was told not run: {}", answer.body);
        }
        if let Some(result) = answer.body["results"][0].as_str().filter(|text| !text.is_empty()) {
            let is_own = result.contains(&format!("/{id}")) || !result.starts_with("result of");
            assert!(is_own, "seed {seed}: {id} got another's answer: {}", answer.body);
        }
    }
    // Every request that was kept comes to its answer once the faults are over.
    let ids: Vec<String> = asked.iter().map(|one| one.id.clone()).collect();
    for id in ids {
        let token = cell.status(0, &id, 0);
        let answer = cell.answer(token, 12.0);
        let state = answer.body["state"].as_str().unwrap_or_default();
        let is_open = matches!(state, "queued" | "running" | "cancelling");
        if is_open {
            let token = cell.request(0, Request::Explain { key: support::key(&id) });
            let why = cell.answer(token, 12.0);
            panic!("seed {seed}: {id} never ended: {}", why.body["text"]);
        }
    }
}

fn run(seed: u64) {
    arbtest::arbtest(|u| {
        let mut cell = Cell::new(DAEMONS, seed);
        let mut asked = Vec::new();
        for _ in 0..ROUNDS {
            inject(&mut cell, u)?;
            for _ in 0..3 {
                ask(&mut cell, u, &mut asked)?;
                cell.run_for(0.05 * u.choose_index(30)? as f64);
            }
        }
        settle(&mut cell);
        check(&mut cell, &asked, seed);
        Ok(())
    })
    .seed(seed << 32 | ENTROPY);
}

#[test]
fn schedule_stale_digest() {
    // A home held a rack's slots to be used up, and its owner had nothing new to tell.
    run(2574);
}

#[test]
fn schedule_reply_to_earlier_life() {
    // A daemon was replaced, and a peer's late reply to a call of the earlier one reached
    // the call with the same number of the later one.
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
