//! Workers that restart under their id: nothing known of a former life decides about the next one.

mod support;

use std::time::Duration;

use common::Name;
use control::{Answer, Operation};
use scheduler::JobState;
use support::{PathFaults, Simulation, job, step};

/// Tasks that fill a worker.
const PLACES: u32 = 4;

/// Start of a worker's next life by its machine's time of day.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Born {
    Later,
    Earlier,
    /// The time of day has jumped back by the time between the two starts.
    Same,
}

const ALL_BORN: [Born; 3] = [Born::Later, Born::Earlier, Born::Same];

/// What the leader learns of the starts in a worker's next life before it is cut off.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Answers {
    Arrive,
    Lost,
}

/// Whether the leader reads the list of workers before the cut is over.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rows {
    Read,
    Missing,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn first_worker() -> Name {
    Name::new("w0")
}

/// Starts a cell whose workers have been idle for a while, with tasks that outlast a lease.
fn start_cell(seed: u64, nodes: usize) -> Simulation {
    let mut sim = Simulation::new(seed, nodes, 3);
    sim.run_time = Some(ms(13_000));
    for worker in sim.workers.values_mut() {
        worker.incarnation = 10;
    }
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(15_000));
    sim
}

fn restart(sim: &mut Simulation, born: Born) {
    let now = sim.now;
    let worker = sim.workers.get_mut(&first_worker()).expect("the worker exists");
    let incarnation = match born {
        Born::Later => worker.incarnation + 1,
        Born::Earlier => worker.incarnation - 1,
        Born::Same => worker.incarnation,
    };
    worker.restart_as(incarnation, now);
}

/// Submits a job that fills the first worker, and waits until it runs there.
fn fill(sim: &mut Simulation) {
    sim.call(0, Operation::Submit(job("j1", vec![step(PLACES, 13_000)])));
    let is_full = |sim: &Simulation| sim.workers["w0"].running.len() == PLACES as usize;
    sim.run_until(ms(200), is_full);
}

/// Cuts the first worker off from all daemons for a time; it runs on.
fn cut(sim: &mut Simulation, span: Duration) {
    sim.workers.get_mut(&first_worker()).expect("the worker exists").is_reachable = false;
    sim.run(span);
    sim.workers.get_mut(&first_worker()).expect("the worker exists").is_reachable = true;
}

/// Guards against the end of a lease by the clock of a former life, which the next one takes for the
/// longest lease: the runs were given up and started again while it still had them.
///
/// The times are those from the restart to the starts, and from the starts to the cut, in ms.
fn play_cut_after_restart(born: Born, answers: Answers, rows: Rows) {
    for (to_start, to_cut) in [(0, 4), (0, 100), (50, 4), (150, 100), (300, 30), (390, 4)] {
        let mut sim = start_cell(1, 1);
        sim.faults.is_feed_down = rows == Rows::Missing;
        restart(&mut sim, born);
        sim.run(ms(to_start));
        if answers == Answers::Lost {
            sim.lossy_workers.insert(first_worker());
            sim.faults.path = PathFaults { lost_answer_share: 1.0, ..PathFaults::default() };
        }
        fill(&mut sim);
        sim.run(ms(to_cut));
        cut(&mut sim, ms(9000));
        sim.lossy_workers.clear();
        sim.faults.is_feed_down = false;
        sim.run(ms(40_000));
        let case = format!("{born:?} {answers:?} {rows:?} {to_start} {to_cut}");
        assert_eq!(sim.violations, Vec::<String>::new(), "{case}");
        assert_eq!(sim.state("j1"), Some(Answer::State(JobState::Completed)), "{case}");
    }
}

#[test]
fn starts_in_later_life_run_once_over_a_cut() {
    play_cut_after_restart(Born::Later, Answers::Arrive, Rows::Read);
}

#[test]
fn starts_in_life_with_lower_name_run_once_over_a_cut() {
    play_cut_after_restart(Born::Earlier, Answers::Arrive, Rows::Read);
}

#[test]
fn starts_in_life_of_same_name_run_once_over_a_cut() {
    play_cut_after_restart(Born::Same, Answers::Arrive, Rows::Read);
}

#[test]
fn starts_in_unlisted_life_run_once_over_a_cut() {
    for born in ALL_BORN {
        play_cut_after_restart(born, Answers::Arrive, Rows::Missing);
    }
}

#[test]
fn unanswered_starts_in_later_life_run_once_over_a_cut() {
    play_cut_after_restart(Born::Later, Answers::Lost, Rows::Read);
}

#[test]
fn unanswered_starts_in_life_with_lower_name_run_once_over_a_cut() {
    play_cut_after_restart(Born::Earlier, Answers::Lost, Rows::Read);
}

#[test]
fn unanswered_starts_in_unlisted_life_run_once_over_a_cut() {
    for born in ALL_BORN {
        play_cut_after_restart(born, Answers::Lost, Rows::Missing);
    }
}

// Guards against the same fault in a leader that has known the worker's next life for a while.
#[test]
fn known_life_runs_once_over_a_cut() {
    for born in ALL_BORN {
        for to_cut in [100, 1500, 3000] {
            let mut sim = start_cell(2, 1);
            restart(&mut sim, born);
            sim.run(ms(6000));
            fill(&mut sim);
            sim.run(ms(to_cut));
            cut(&mut sim, ms(9000));
            sim.run(ms(40_000));
            assert_eq!(sim.violations, Vec::<String>::new(), "{born:?} {to_cut}");
            let state = sim.state("j1");
            assert_eq!(state, Some(Answer::State(JobState::Completed)), "{born:?} {to_cut}");
        }
    }
}

// Guards against a next leader that counts on less than the longest lease after such starts.
#[test]
fn starts_in_next_life_run_once_under_next_leader() {
    for born in ALL_BORN {
        let mut sim = start_cell(3, 4);
        let leader = sim.leader().expect("there is a leader");
        restart(&mut sim, born);
        let node = (leader + 1) % 4;
        sim.call(node, Operation::Submit(job("j1", vec![step(PLACES, 13_000)])));
        sim.run_until(ms(200), |sim| !sim.workers["w0"].running.is_empty());
        sim.run(ms(20));
        sim.kill(leader);
        cut(&mut sim, ms(9500));
        sim.run(ms(40_000));
        assert_eq!(sim.violations, Vec::<String>::new(), "{born:?}");
        assert!(sim.wait_for_state("j1", JobState::Completed, ms(40_000)), "{born:?}");
    }
}

// Guards against ends of runs that are never acknowledged, as their worker restarted with a lower name:
// beyond 500 of them later ones are not listed any more.
#[test]
fn ends_of_life_with_lower_name_are_acknowledged() {
    for born in ALL_BORN {
        let mut sim = start_cell(4, 1);
        sim.run_time = Some(ms(50));
        restart(&mut sim, born);
        let mut accepted = Vec::new();
        for number in 0..150 {
            let id = format!("k{number}");
            if sim.submit(job(&id, vec![step(12, 50)])) == Some(Answer::Accepted) {
                accepted.push(id);
            }
        }
        sim.run(ms(10_000));
        assert_eq!(sim.workers["w0"].finished.len(), 0, "{born:?}");
        assert!(accepted.len() > 140, "{born:?}: {} jobs", accepted.len());
        for id in accepted {
            assert_eq!(sim.state(&id), Some(Answer::State(JobState::Completed)), "{born:?} {id}");
        }
        assert_eq!(sim.violations, Vec::<String>::new(), "{born:?}");
    }
}

// Guards against a start that a list of the former life overtakes: the lower clock of the next life, which
// carries it out, is then taken for an earlier reading of the former one.
#[test]
fn start_overtaken_by_list_runs_once_over_a_cut() {
    for offset in (0..1000).step_by(50) {
        let mut sim = start_cell(5, 1);
        sim.call(0, Operation::Submit(job("j0", vec![step(1, 13_000)])));
        sim.run(ms(100 + offset));
        sim.faults.is_feed_down = true;
        sim.faults.path =
            PathFaults { request_delay: ms(300), spares_renewals: true, ..PathFaults::default() };
        sim.lossy_workers.insert(first_worker());
        sim.call(0, Operation::Submit(job("j1", vec![step(PLACES - 1, 13_000)])));
        sim.run(ms(270));
        restart(&mut sim, Born::Later);
        sim.run_until(ms(100), |sim| sim.workers["w0"].running.len() == PLACES as usize - 1);
        sim.run(ms(4));
        cut(&mut sim, ms(9000));
        sim.lossy_workers.clear();
        sim.faults.is_feed_down = false;
        sim.run(ms(40_000));
        assert_eq!(sim.violations, Vec::<String>::new(), "{offset}");
    }
}
