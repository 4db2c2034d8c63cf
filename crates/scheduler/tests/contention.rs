//! Steps of unlike ranks that wait for the same room, on a simulated clock.

mod support;

use std::time::Duration;

use scheduler::{AdvicePolicy, Resources, Step, Submission};
use support::cell::{Cell, QueueConfig};
use support::{NOW, secs, step};

/// Daemons that make advice calls; enough that no call waits.
const DAEMONS: usize = 90;

const QUICK_ADVICE: (u64, u64) = (17_000, 200);
const SLOW_ADVICE: (u64, u64) = (637_000, 9100);

/// A queue whose advice calls take a base duration and one for each worker, in µs.
fn queue(name: &'static str, priority: u32, (base, per_worker): (u64, u64)) -> QueueConfig {
    QueueConfig {
        name,
        priority,
        target_factor: 2.0,
        target_offset: secs(1),
        advice: AdvicePolicy {
            base_duration: Duration::from_micros(base),
            duration_per_worker: Duration::from_micros(per_worker),
            validity: Duration::from_millis(1500),
        },
        allowed_percent: 100,
    }
}

/// Capacity of a worker with a number of places.
fn places(count: u32) -> Resources {
    Resources { cpu: count * 1000, mem: 64_000, gpus: 0 }
}

/// A pool of workers with two places each.
fn pool_of(workers: usize, queues: Vec<QueueConfig>) -> Cell {
    Cell::new(workers, places(2), DAEMONS, queues)
}

fn gang(count: u32) -> Step {
    Step { is_gang: true, ..step(count) }
}

/// Submits a job of one step whose tasks all run for a time.
fn submit(cell: &mut Cell, id: &str, step: Step, run_ms: u64) {
    let run_times = vec![Duration::from_millis(run_ms); step.count as usize];
    cell.submit(
        Submission {
            id: id.to_owned(),
            payload: String::new(),
            steps: vec![step],
            ..Submission::default()
        },
        vec![run_times],
    );
}

/// Submits jobs of one short task, each of another run time.
fn submit_sweeps(cell: &mut Cell, count: u64) {
    for number in 0..count {
        let run_ms = 400 + number * 173 % 500;
        submit(cell, &format!("sweep{number:03}"), Step { estimate: 600, ..step(1) }, run_ms);
    }
}

/// Rounds of calls of the jobs of a queue.
fn rounds(cell: &Cell, queue: &str) -> u32 {
    let rounds = cell.advice_rounds.iter().filter(|(id, _)| id.starts_with(queue));
    rounds.map(|(_, (_, rounds))| rounds).sum()
}

// Guards against a round of calls for each of many steps that see the same free place.
#[test]
fn free_place_is_called_for_once() {
    let queues = vec![queue("long", 0, QUICK_ADVICE), queue("sweep", 1, (182_000, 2600))];
    let mut cell = pool_of(4, queues);
    submit(&mut cell, "long", Step { estimate: 60_000, ..step(7) }, 60_000);
    cell.run_until(NOW + secs(2));
    assert_eq!(cell.unstarted_jobs("long"), 0);
    submit_sweeps(&mut cell, 20);
    cell.tick();
    cell.tick();
    assert!(rounds(&cell, "sweep") <= 2, "{} rounds for one place", rounds(&cell, "sweep"));
}

// Guards against a round of calls for each of many steps that may use the same lent places.
#[test]
fn lent_room_is_called_for_once() {
    let queues = vec![
        queue("long", 0, QUICK_ADVICE),
        queue("gang", 1, SLOW_ADVICE),
        queue("sweep", 2, (182_000, 2600)),
    ];
    let mut cell = pool_of(2, queues);
    submit(&mut cell, "long", Step { estimate: 60_000, ..step(2) }, 60_000);
    cell.run_until(NOW + secs(1));
    submit(&mut cell, "gang", gang(4), 2000);
    cell.run_until(NOW + secs(7));
    submit_sweeps(&mut cell, 60);
    cell.run_until(NOW + secs(30));
    let started = 60 - cell.unstarted_jobs("sweep") as u32;
    assert!(started > 0, "the room of the gang is lent");
    let rounds = rounds(&cell, "sweep");
    assert!(rounds <= 2 * started, "{rounds} rounds for {started} sweeps");
}

// Guards against a pool half of which a gang holds, while tasks of higher rank take the rest of the
// room that it waits for again and again.
#[test]
fn awaited_room_is_not_taken_by_higher_ranks() {
    let queues = vec![queue("probe", 0, QUICK_ADVICE), queue("gang", 1, SLOW_ADVICE)];
    let mut cell = pool_of(2, queues);
    // Probes need no advice, so that they are placed as soon as there is room.
    cell.scheduler.rules.as_mut().expect("there are rules").queues[0].advice = None;
    submit(&mut cell, "probe-first", Step { estimate: 3500, ..step(2) }, 3500);
    cell.run_until(NOW + Duration::from_millis(200));
    submit(&mut cell, "gang", gang(4), 2000);
    cell.run_until(NOW + Duration::from_millis(3200));
    for number in 0..300 {
        let probe = Step { estimate: 200, ..step(1) };
        submit(&mut cell, &format!("probe{number:03}"), probe, 200);
    }
    let (mut samples, mut used) = (0, 0);
    while cell.unstarted_jobs("probe") > 0 {
        cell.tick();
        samples += 1;
        used += cell.used_percent();
    }
    assert!(cell.first_starts.contains_key("gang"));
    assert!(used > 75 * samples, "{}% in use while probes wait", used / samples);
}

// Guards against a gang that gets no room, and keeps those of lower rank from collecting theirs.
#[test]
fn gang_without_room_keeps_nobody_away() {
    let queues = vec![
        queue("long", 0, QUICK_ADVICE),
        queue("big", 1, QUICK_ADVICE),
        queue("gang", 2, QUICK_ADVICE),
        queue("sweep", 3, QUICK_ADVICE),
    ];
    let mut cell = pool_of(4, queues);
    submit(&mut cell, "long", Step { estimate: 60_000, spread: 1, ..step(4) }, 60_000);
    cell.run_until(NOW + Duration::from_millis(500));
    submit_sweeps(&mut cell, 400);
    cell.run_until(NOW + secs(2));
    let need = Resources { cpu: 2000, mem: 100, gpus: 0 };
    submit(&mut cell, "big", Step { need, ..gang(4) }, 1000);
    submit(&mut cell, "gang", gang(4), 1000);
    cell.run_until(NOW + secs(32));
    assert!(!cell.first_starts.contains_key("big"), "a long run is on each worker");
    assert!(cell.first_starts.contains_key("gang"));
}

// Guards against few daemons that are all kept for the calls of one class.
#[test]
fn medium_backlog_leaves_slow_calls_a_daemon() {
    for daemons in 3..=6 {
        let queues = vec![queue("gang", 0, SLOW_ADVICE), queue("sweep", 1, (100_000, 200))];
        let mut cell = Cell::new(40, places(16), daemons, queues);
        submit_sweeps(&mut cell, 900);
        cell.run_until(NOW + Duration::from_millis(500));
        submit(&mut cell, "gang", gang(4), 1000);
        cell.run_until(NOW + secs(10));
        assert!(cell.first_starts.contains_key("gang"), "{daemons} daemons");
    }
}
