//! Random schedules of faults in a simulated cell, checked for violated invariants.
//!
//! `BRONZERAIL_SCHEDULES` sets the number of seeds, `BRONZERAIL_SEED` the first seed.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use common::Name;
use control::{Answer, Capacity, Operation};
use scheduler::{JobState, Step};
use support::{Simulation, job, step};

/// Default number of seeds, which CI runs.
const DEFAULT_SEED_COUNT: u64 = 40;

/// Default number of seeds with nodes of different capacity.
const MIXED_SEED_COUNT: u64 = 20;

/// Number of nodes in a cell.
const NODES: usize = 4;
/// Number of workers in a cell.
const WORKERS: usize = 5;

/// Number of kinds of faults.
const FAULT_KINDS: u64 = 12;
/// Number of kinds of faults when the seeds in [`REGRESSIONS`] were found.
const ORIGINAL_FAULT_KINDS: u64 = 10;

/// Time from the start in which faults are injected, in ms.
const FAULT_PHASE_MS: u64 = 20_000;

/// Maximum number of rows at the end: the journal's limit of 20, the head row, and the rows of
/// one commit.
const MAX_ROWS: usize = 25;

/// Time after the faults within which all jobs must end.
const RECOVERY_TIME: Duration = Duration::from_secs(40);

/// Reads a number from the environment.
fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A simulation with the faults and requests of one seed.
struct Schedule {
    sim: Simulation,
    submitted_jobs: u64,
    /// Job ids by the tokens of their submissions.
    submit_tokens: HashMap<u64, Name>,
    /// Job ids by the tokens of their cancellations.
    cancel_tokens: HashMap<u64, Name>,
    /// Due time, node and length of each suspension.
    resumes: Vec<(Duration, usize, Duration)>,
    /// Due time and node of each restart.
    restarts: Vec<(Duration, usize)>,
    /// Times at which all other faults end.
    heal_times: Vec<Duration>,
    /// Number of kinds of faults that may be injected.
    fault_kinds: u64,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        Self::with_capacities(seed, [Capacity::UNKNOWN; NODES])
    }

    fn with_capacities(seed: u64, capacities: [Capacity; NODES]) -> Self {
        let mut sim = Simulation::with_capacities(seed, &capacities, WORKERS);
        sim.rules = support::rules(seed.is_multiple_of(2));
        sim.allowed_share = 0.8;
        Self {
            sim,
            submitted_jobs: 0,
            submit_tokens: HashMap::new(),
            cancel_tokens: HashMap::new(),
            resumes: Vec::new(),
            restarts: Vec::new(),
            heal_times: Vec::new(),
            fault_kinds: FAULT_KINDS,
        }
    }

    fn random_node(&mut self) -> usize {
        self.sim.random(NODES as u64) as usize
    }

    fn random_worker(&mut self) -> Name {
        let number = self.sim.random(WORKERS as u64);
        Name::from(format!("w{number}").as_str())
    }

    fn submit(&mut self) {
        self.submitted_jobs += 1;
        let id = format!("j{}", self.submitted_jobs);
        let mut steps: Vec<Step> = vec![step(1 + self.sim.random(3) as u32, 500)];
        steps[0].is_gang = self.sim.random(4) == 0;
        if self.sim.random(3) == 0 {
            let mut second = step(1 + self.sim.random(2) as u32, 500);
            second.after = vec![0];
            steps.push(second);
        }
        let node = self.random_node();
        let token = self.sim.call(node, Operation::Submit(job(&id, steps)));
        self.submit_tokens.insert(token, Name::from(id.as_str()));
    }

    fn cancel(&mut self) {
        if self.submitted_jobs == 0 {
            return;
        }
        let id = Name::from(format!("j{}", 1 + self.sim.random(self.submitted_jobs)).as_str());
        let node = self.random_node();
        let token = self.sim.call(node, Operation::Cancel(id.clone()));
        self.cancel_tokens.insert(token, id);
    }

    /// Injects a random fault that lasts less than 4.2 s.
    fn inject_fault(&mut self) {
        let node = self.random_node();
        let span = ms(200 + self.sim.random(4000));
        let until = self.sim.now + span;
        match self.sim.random(self.fault_kinds) {
            0 => self.kill(node, until),
            1 => {
                let leader = self.sim.leader().unwrap_or(node);
                self.kill(leader, until);
            }
            2 => {
                let leader = self.sim.leader().unwrap_or(node);
                self.sim.suspend(leader);
                self.resumes.push((until, leader, span));
            }
            3 => {
                self.sim.cut_from_store.insert(node);
                self.heal_times.push(until);
            }
            4 => {
                self.sim.cut_from_peers.insert(node);
                self.heal_times.push(until);
            }
            5 => {
                self.sim.faults.is_store_down = true;
                self.heal_times.push(until);
            }
            6 => {
                self.sim.faults.lost_commit_share = 0.3;
                self.sim.faults.delay_lost_commits = self.submitted_jobs.is_multiple_of(2);
                self.heal_times.push(until);
            }
            7 => {
                self.sim.faults.late_order_share = 0.2;
                self.heal_times.push(until);
            }
            8 => {
                let (worker, now) = (self.random_worker(), self.sim.now);
                let worker = self.sim.workers.get_mut(&worker).expect("the worker exists");
                worker.restart(now);
            }
            9 => {
                let worker = self.random_worker();
                let worker = self.sim.workers.get_mut(&worker).expect("the worker exists");
                worker.is_reachable = false;
                self.heal_times.push(until);
            }
            10 => {
                self.sim.faults.store_slowdown = 60;
                self.heal_times.push(until);
            }
            _ => {
                let leader = self.sim.leader().unwrap_or(node);
                self.sim.timer_lags.insert(leader, ms(15));
                self.heal_times.push(until);
            }
        }
    }

    fn kill(&mut self, node: usize, until: Duration) {
        self.sim.kill(node);
        self.restarts.push((until, node));
    }

    /// Resumes and restarts nodes that are due; ends all other faults once one of them is due.
    fn end_due_faults(&mut self, end_all: bool) {
        let now = self.sim.now;
        let resumes: Vec<_> =
            self.resumes.extract_if(.., |(at, ..)| end_all || *at <= now).collect();
        for (_, node, gap) in resumes {
            // Either the machine was suspended, or the process was stopped while its clock went on.
            let is_counted = gap.as_millis().is_multiple_of(2);
            self.sim.resume(node, if is_counted { Duration::ZERO } else { gap });
        }
        let restarts: Vec<_> =
            self.restarts.extract_if(.., |(at, _)| end_all || *at <= now).collect();
        for (_, node) in restarts {
            if self.sim.slots[node].node.is_none() {
                self.sim.start(node);
            }
        }
        let before = self.heal_times.len();
        self.heal_times.retain(|at| !end_all && *at > now);
        if self.heal_times.len() < before {
            self.sim.faults = support::FaultConfig::default();
            self.sim.cut_from_store.clear();
            self.sim.cut_from_peers.clear();
            self.sim.timer_lags.clear();
            for worker in self.sim.workers.values_mut() {
                worker.is_reachable = true;
            }
        }
    }

    /// Runs the schedule and returns the violations found.
    fn run_schedule(&mut self) -> Vec<String> {
        self.sim.run(ms(1000));
        while self.sim.now < ms(FAULT_PHASE_MS) {
            match self.sim.random(12) {
                0..=5 => self.submit(),
                6 => self.cancel(),
                7 => self.inject_fault(),
                _ => {}
            }
            let pause = self.sim.random(200);
            self.sim.run(ms(pause));
            self.end_due_faults(false);
        }
        self.end_due_faults(true);
        self.sim.run(RECOVERY_TIME);
        self.check_outcome()
    }

    /// Compares the final states of all jobs with the answers that callers got.
    fn check_outcome(&mut self) -> Vec<String> {
        let mut violations = std::mem::take(&mut self.sim.violations);
        let rows = self.sim.store.rows.len();
        if rows > MAX_ROWS {
            violations.push(format!("the store holds {rows} rows"));
        }
        let mut tokens: Vec<_> = self.submit_tokens.clone().into_iter().collect();
        tokens.sort();
        let confirmed: Vec<Name> = self
            .cancel_tokens
            .iter()
            .filter(|(token, _)| self.sim.answers.get(token) == Some(&Answer::Cancelled))
            .map(|(_, id)| id.clone())
            .collect();
        for (token, id) in tokens {
            let answer = self.sim.answers.get(&token).cloned();
            let state = self.sim.state(&id);
            let has_ended = match &state {
                Some(Answer::State(JobState::Completed)) => !confirmed.contains(&id),
                Some(Answer::State(JobState::Cancelled)) => true,
                _ => false,
            };
            let is_allowed = match answer {
                Some(Answer::Accepted) => has_ended,
                Some(Answer::Refused { .. } | Answer::QueueNotFound) => {
                    state == Some(Answer::JobNotFound)
                }
                _ => has_ended || state == Some(Answer::JobNotFound),
            };
            if !is_allowed {
                violations.push(format!("{id}: answer {answer:?}, final state {state:?}"));
            }
        }
        violations
    }
}

/// Seeds that failed in the past, with the cause of the failure.
const REGRESSIONS: [(u64, &str); 4] = [
    (1, "an outdated acknowledgement reached a worker's new incarnation"),
    (32, "a start without an answer was considered lost with the worker's former incarnation"),
    (1022, "the leader waited forever for an advice call that a follower left unanswered"),
    (2002, "a former leader resent a start to a worker that had seen no fencing token"),
];

#[test]
fn schedules_former_failures() {
    for (seed, cause) in REGRESSIONS {
        let mut schedule = Schedule::new(seed);
        schedule.fault_kinds = ORIGINAL_FAULT_KINDS;
        let violations = schedule.run_schedule();
        assert!(violations.is_empty(), "seed {seed} ({cause}): {violations:#?}");
    }
}

/// Runs the schedules of consecutive seeds; none may violate an invariant.
fn run_schedules(default_count: u64, create: impl Fn(u64) -> Schedule) {
    let first = env_number("BRONZERAIL_SEED", 1);
    let count = env_number("BRONZERAIL_SCHEDULES", default_count);
    let mut failed = Vec::new();
    for seed in first..first + count {
        let violations = create(seed).run_schedule();
        if !violations.is_empty() {
            failed.push((seed, violations));
        }
    }
    assert!(failed.is_empty(), "{} of {count} seeds failed; first: {:#?}", failed.len(), failed[0]);
}

#[test]
fn schedules_keep_invariants() {
    run_schedules(DEFAULT_SEED_COUNT, Schedule::new);
}

#[test]
fn schedules_of_mixed_capacities_keep_invariants() {
    let large = Capacity { cpu_millis: 500, link_kbps: 200_000 };
    let small = Capacity { cpu_millis: 120, link_kbps: 10_000 };
    let capacities = [small, large, Capacity::UNKNOWN, small];
    run_schedules(MIXED_SEED_COUNT, |seed| Schedule::with_capacities(seed, capacities));
}
