//! The cases.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cell::{self, Cell};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

/// Bounds of the settings file.
const CONTACT: Duration = Duration::from_millis(3000);
const CANCEL: Duration = Duration::from_millis(3000);
const STOP_TIMEOUT: Duration = Duration::from_millis(400);
const FINISH: Duration = Duration::from_secs(14);

/// Length of the traffic of the case `rows`.
const TRAFFIC: Duration = Duration::from_secs(45);

/// Added to each bound, for the stand-ins' own time.
const SLACK: Duration = Duration::from_millis(500);

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Runs a case: whether the rule held, or none if the case could not run.
pub fn run(case: &str, record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Option<bool> {
    match case {
        "cancel" => cancel(record, folder, has_trouble),
        "rows" => rows(record, folder, has_trouble),
        "kind" => kind(record, folder, has_trouble),
        "ends" => ends(record, folder, has_trouble),
        "sick" => sick(record, folder, has_trouble),
        "gang" => gang(record, folder, has_trouble),
        _ => None,
    }
}

/// UNASKED: a job is cancelled while a worker is cut off, and the leader is restarted meanwhile.
fn cancel(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Option<bool> {
    let (store, server) = Store::start(record);
    cell::put_config(&store);
    let workers: Vec<_> = (1..=6)
        .map(|number| {
            Worker::start(&format!("i-{number}"), 16_000, &["a", "r1-1"], &store, record, true)
        })
        .collect();
    let mut cell = Cell::start(3, server.address, folder, record);
    let leader = cell.leader()?;
    let follower = (leader + 1) % 3;
    let id = "5c0e7a21d94b36f8";
    let job =
        r#"{"spec":"ms=45000","steps":[{"count":4,"cpu":4000,"mem_mb":1024,"estimate_ms":45000}]}"#;
    cell.request(follower, "POST", id, job).filter(|(status, _)| *status == 200)?;
    sleep(1.0);
    let holder = workers.iter().find(|worker| !worker.running().is_empty())?;
    let cut_at = Instant::now();
    if has_trouble {
        record.write(&format!("{} is cut off", holder.id));
        holder.server.get()?.cut();
    }
    sleep(0.3);
    cell.request(follower, "DELETE", id, "").filter(|(status, _)| *status == 200)?;
    let acked = Instant::now();
    sleep(0.4);
    if has_trouble {
        cell.signal(leader, "TERM");
        std::thread::sleep(Duration::from_millis(2500).saturating_sub(cut_at.elapsed()));
        holder.server.get()?.heal();
        record.write(&format!(
            "the cut of {} ends after {:.2} s",
            holder.id,
            cut_at.elapsed().as_secs_f64()
        ));
        if !cell.wait_for_end(leader, Duration::from_secs(7)) {
            return None;
        }
        sleep(0.5);
        cell.spawn(leader);
        sleep(1.0);
    }
    // A calm stretch: contact_ms without disruption, then cancel_ms + stop_timeout_ms.
    let calm = if has_trouble { CONTACT } else { Duration::ZERO };
    std::thread::sleep(calm + CANCEL + STOP_TIMEOUT + SLACK);
    let left: Vec<_> = workers.iter().flat_map(|worker| worker.running().into_keys()).collect();
    record.write(&format!(
        "{:.1} s after the cancelling was acknowledged, at work: {left:?}",
        acked.elapsed().as_secs_f64()
    ));
    cell.request(follower, "GET", id, "");
    sleep(3.0);
    let later: Vec<_> = workers.iter().flat_map(|worker| worker.running().into_keys()).collect();
    record.write(&format!("{:.1} s after it, at work: {later:?}", acked.elapsed().as_secs_f64()));
    Some(left.is_empty() && later.is_empty())
}

/// LOST: among ordinary traffic, one job of many tasks with checkpoints comes.
fn rows(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Option<bool> {
    let (store, server) = Store::start(record);
    cell::put_config(&store);
    let workers: Vec<_> = (1..=12)
        .map(|number| {
            Worker::start(&format!("i-{number}"), 32_000, &["a", "r1-1"], &store, record, false)
        })
        .collect();
    let cell = Cell::start(3, server.address, folder, record);
    if has_trouble {
        // It takes less than half of the 384 cores. Most of its tasks last 100 s, each 10th one
        // less than 40 s.
        let many = r#"{"spec":"ms=100000 every=10 spread=38000 checkpoints","steps":[{"count":2400,"cpu":70,"mem_mb":32,"estimate_ms":70000,"checkpointing":true}]}"#;
        cell.request(0, "POST", "00000000000000aa", many).filter(|(status, _)| *status == 200)?;
    }
    let small = r#"{"spec":"ms=300","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":300},{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":300,"after":[0]}]}"#;
    let until = Instant::now() + TRAFFIC;
    let accepted: Vec<String> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..3)
            .map(|client| {
                let cell = &cell;
                scope.spawn(move || {
                    let (mut accepted, mut number) = (Vec::new(), 0);
                    while Instant::now() < until {
                        let id = format!("{client:08x}{number:08x}");
                        let answer = cell.request(client, "POST", &id, small);
                        if answer.is_some_and(|(status, _)| status == 200) {
                            accepted.push(id);
                        }
                        number += 1;
                        sleep(0.1);
                    }
                    accepted
                })
            })
            .collect();
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect()
    });
    record.write(&format!("end of the traffic; {} jobs were accepted", accepted.len()));
    std::thread::sleep(FINISH);
    let at_work: usize = workers.iter().map(|worker| worker.running().len()).sum();
    record.write(&format!("{at_work} tasks are at work"));
    let latest = accepted.iter().rev().step_by(accepted.len() / 30 + 1).chain(accepted.last());
    let (mut asked, mut lost) = (0, 0);
    for id in latest.chain(accepted.iter().rev().take(5)) {
        let state = cell.request_until_done("GET", id, "", Duration::from_secs(4));
        let state = state.map(|body| body.get("state").text().to_owned()).unwrap_or_default();
        asked += 1;
        lost += u32::from(state != "completed");
        if lost > 5 {
            break;
        }
    }
    let is_accepted = cell
        .request_until_done("POST", "00000000000000cc", small, Duration::from_secs(10))
        .is_some();
    record.write(&format!("of {asked} accepted jobs, {lost} are not completed; a further job is accepted: {is_accepted}"));
    Some(lost == 0 && is_accepted)
}

/// ROUTE: a worker crashes and starts again under its id, of another kind.
fn kind(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Option<bool> {
    let (store, server) = Store::start(record);
    cell::put_config(&store);
    let first = Worker::start("i-1", 16_000, &["a", "r1-1"], &store, record, true);
    let others: Vec<_> = (2..=8)
        .map(|number| {
            let kind = if number <= 2 { "a" } else { "b" };
            Worker::start(&format!("i-{number}"), 16_000, &[kind, "r1-1"], &store, record, true)
        })
        .collect();
    let cell = Cell::start(3, server.address, folder, record);
    // Jobs that require kind `a` and take a whole worker of it for a while; some always wait.
    let job = r#"{"spec":"ms=1500 label=a","steps":[{"count":2,"cpu":7500,"mem_mb":17000,"estimate_ms":1500,"requirements":"a"}]}"#;
    for round in 0..4 {
        for number in 0..6 {
            let id = format!("00000000000{round:02x}{number:03x}");
            cell.request(number % 3, "POST", &id, job).filter(|(status, _)| *status == 200)?;
        }
        sleep(2.0);
        if has_trouble {
            first.crash();
        }
        sleep(2.0);
        if has_trouble {
            first.restart(&[if round % 2 == 0 { "b" } else { "a" }, "r1-1"]);
        }
        sleep(3.0);
    }
    let misplaced = first.misplaced.lock().unwrap().len()
        + others.iter().map(|worker| worker.misplaced.lock().unwrap().len()).sum::<usize>();
    record.write(&format!("starts on a worker without the required label: {misplaced}"));
    Some(misplaced == 0)
}

/// LOST: a gang that the workers can never hold together comes before other jobs.
fn gang(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Option<bool> {
    let (store, server) = Store::start(record);
    cell::put_config(&store);
    let workers: Vec<_> = (1..=6)
        .map(|number| {
            Worker::start(&format!("i-{number}"), 16_000, &["a", "r1-1"], &store, record, true)
        })
        .collect();
    let cell = Cell::start(3, server.address, folder, record);
    if has_trouble {
        // Thirteen tasks of 7.5 cores, of which a worker of 16 cores holds two, on six workers.
        let hopeless = r#"{"spec":"ms=500","steps":[{"count":13,"cpu":7500,"mem_mb":17000,"estimate_ms":500,"all_or_nothing":true}]}"#;
        cell.request(0, "POST", "00000000000000aa", hopeless)
            .filter(|(status, _)| *status == 200)?;
        sleep(0.3);
    }
    let small =
        r#"{"spec":"ms=500","steps":[{"count":2,"cpu":1400,"mem_mb":4000,"estimate_ms":500}]}"#;
    let ids: Vec<String> = (0..20).map(|number| format!("000000000000b0{number:02x}")).collect();
    let mut accepted = Vec::new();
    for (number, id) in ids.iter().enumerate() {
        // A client that is refused does not come back here.
        if cell.request(number % 3, "POST", id, small).is_some_and(|(status, _)| status == 200) {
            accepted.push(id);
        }
        sleep(0.05);
    }
    record.write("end of the traffic");
    std::thread::sleep(FINISH);
    let mut waiting = accepted.clone();
    let until = Instant::now() + Duration::from_secs(3) + SLACK;
    while Instant::now() < until {
        waiting.retain(|id| {
            !workers
                .iter()
                .any(|worker| worker.running().keys().any(|task| task.starts_with(id.as_str())))
        });
        sleep(0.02);
    }
    let at_work: usize = workers.iter().map(|worker| worker.running().len()).sum();
    let mut lost = 0;
    for id in &waiting {
        let state = cell.request_until_done("GET", id, "", Duration::from_secs(4));
        lost += u32::from(state.is_none_or(|body| body.get("state").text() != "completed"));
    }
    record.write(&format!(
        "{lost} of {} accepted jobs had nothing running for 3 s and are not completed; \
        tasks at work on the 6 workers: {at_work}",
        accepted.len()
    ));
    Some(lost == 0)
}

/// TWICE: the store is down for a while, while many short tasks of a worker end.
fn ends(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Option<bool> {
    let (store, server) = Store::start(record);
    cell::put_config(&store);
    let workers: Vec<_> = (1..=6)
        .map(|number| {
            Worker::start(&format!("i-{number}"), 32_000, &["a", "r1-1"], &store, record, false)
        })
        .collect();
    let cell = Cell::start(3, server.address, folder, record);
    // Sixty jobs of 60 tasks of 0.04 cores: up to 800 tasks a worker, of 2 to 5 s.
    let job = r#"{"spec":"ms=2000 every=1 spread=3000","steps":[{"count":60,"cpu":40,"mem_mb":128,"estimate_ms":4000}]}"#;
    let ids: Vec<String> = (0..60).map(|number| format!("00000000000000{number:02}")).collect();
    for (number, id) in ids.iter().enumerate() {
        cell.request(number % 3, "POST", id, job).filter(|(status, _)| *status == 200)?;
    }
    sleep(0.6);
    let counts = |what: &str| {
        let counts: Vec<usize> = workers.iter().map(|worker| worker.running().len()).collect();
        record.write(&format!("{what}; tasks at work on each worker: {counts:?}"));
    };
    counts("before the disruption");
    if has_trouble {
        store.set_down(true);
    }
    sleep(4.2);
    if has_trouble {
        store.set_down(false);
    }
    counts("after it");
    for id in &ids {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            let state = cell.request_until_done("GET", id, "", Duration::from_secs(4));
            if state.is_some_and(|body| body.get("state").text() == "completed") {
                break;
            }
            sleep(0.5);
        }
    }
    sleep(2.0);
    let ledger = record.ledger.lock().unwrap();
    let repeated = ledger.repeated();
    record.write(&format!(
        "{} tasks have ended done; started again after such an end, which was taken note of: {} {:?}",
        ledger.done.len(),
        repeated.len(),
        repeated.iter().take(5).collect::<Vec<_>>()
    ));
    Some(repeated.is_empty())
}

/// No rule by the pages' length of the disruption: one worker refuses all starts for 6.5 s.
///
/// Holds if each job has begun within 3 s.
fn sick(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Option<bool> {
    let (store, server) = Store::start(record);
    cell::put_config(&store);
    let workers: Vec<_> = (0..10)
        .map(|number| {
            Worker::start(&format!("i-{number}"), 16_000, &["a", "r1-1"], &store, record, false)
        })
        .collect();
    let cell = Cell::start(3, server.address, folder, record);
    workers[0].set_sick(has_trouble);
    let job =
        r#"{"spec":"ms=20000","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":20000}]}"#;
    for number in 0..6 {
        let id = format!("00000000000000e{number}");
        cell.request(number % 3, "POST", &id, job).filter(|(status, _)| *status == 200)?;
    }
    let at_work = || workers.iter().map(|worker| worker.running().len()).sum::<usize>();
    let mut begun = Vec::new();
    for second in 1..=9 {
        sleep(1.0);
        begun.push(at_work());
        if second == 6 {
            sleep(0.5);
            let refused = workers[0].set_sick(false);
            record.write(&format!("the worker recovers; it has refused {refused} starts"));
        }
    }
    record.write(&format!("of 6 jobs, at work after each second: {begun:?}"));
    Some(begun[2] == 6)
}
