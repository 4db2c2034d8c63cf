//! Random schedules of faults over whole cells, against what the promises forbid.
//!
//! `BRONZERAIL_SCHEDULES` sets how many seeds are played, `BRONZERAIL_SEED` the first.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use common::Name;
use control::{Answer, Op};
use scheduler::{Shown, Step};
use support::{World, job, step};

/// Seeds that CI plays.
const SEEDS: u64 = 40;

/// Nodes and workers of a cell.
const NODES: usize = 4;
const WORKERS: usize = 5;

/// Kinds of faults; the first ten are those that the seeds in [`FAILED_ONCE`] were found with.
const FAULT_KINDS: u64 = 12;
const FIRST_FAULT_KINDS: u64 = 10;

/// Length of the time in which faults come.
const TROUBLE_MS: u64 = 20_000;

/// Rows that may remain at the end: the journal's bound of 20, the head, and one commit's.
const MOST_ROWS: usize = 25;

/// Time after the faults in which everything must end.
const CALM: Duration = Duration::from_secs(40);

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Schedule {
    world: World,
    jobs: u64,
    tokens: HashMap<u64, Name>,
    cancelled: HashMap<u64, Name>,
    thaws: Vec<(Duration, usize, Duration)>,
    starts: Vec<(Duration, usize)>,
    heals: Vec<Duration>,
    /// Kinds of faults that are drawn from.
    kinds: u64,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut world = World::new(seed, NODES, WORKERS);
        world.rules = support::rules(seed.is_multiple_of(2));
        world.fit_share = 0.8;
        Self {
            world,
            jobs: 0,
            tokens: HashMap::new(),
            cancelled: HashMap::new(),
            thaws: Vec::new(),
            starts: Vec::new(),
            heals: Vec::new(),
            kinds: FAULT_KINDS,
        }
    }

    fn any_node(&mut self) -> usize {
        self.world.random(NODES as u64) as usize
    }

    fn any_worker(&mut self) -> Name {
        let number = self.world.random(WORKERS as u64);
        Name::from(format!("w{number}").as_str())
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let id = format!("j{}", self.jobs);
        let mut steps: Vec<Step> = vec![step(1 + self.world.random(3) as u32, 500)];
        steps[0].is_gang = self.world.random(4) == 0;
        if self.world.random(3) == 0 {
            let mut second = step(1 + self.world.random(2) as u32, 500);
            second.after = vec![0];
            steps.push(second);
        }
        let node = self.any_node();
        let token = self.world.call(node, Op::Submit(job(&id, steps)));
        self.tokens.insert(token, Name::from(id.as_str()));
    }

    fn cancel(&mut self) {
        if self.jobs == 0 {
            return;
        }
        let id = Name::from(format!("j{}", 1 + self.world.random(self.jobs)).as_str());
        let node = self.any_node();
        let token = self.world.call(node, Op::Cancel(id.clone()));
        self.cancelled.insert(token, id);
    }

    fn fault(&mut self) {
        let node = self.any_node();
        let span = ms(200 + self.world.random(4000));
        let until = self.world.now + span;
        match self.world.random(self.kinds) {
            0 => self.kill(node, until),
            1 => {
                let leader = self.world.leader().unwrap_or(node);
                self.kill(leader, until);
            }
            2 => {
                let leader = self.world.leader().unwrap_or(node);
                self.world.freeze(leader);
                self.thaws.push((until, leader, span));
            }
            3 => {
                self.world.cut_from_store.insert(node);
                self.heals.push(until);
            }
            4 => {
                self.world.cut_from_peers.insert(node);
                self.heals.push(until);
            }
            5 => {
                self.world.trouble.is_store_down = true;
                self.heals.push(until);
            }
            6 => {
                self.world.trouble.lost_commits = 0.3;
                self.world.trouble.late_commits = self.jobs.is_multiple_of(2);
                self.heals.push(until);
            }
            7 => {
                self.world.trouble.late_orders = 0.2;
                self.heals.push(until);
            }
            8 => {
                let worker = self.any_worker();
                let worker = self.world.workers.get_mut(&worker).expect("it is known");
                worker.restart();
            }
            9 => {
                let worker = self.any_worker();
                let worker = self.world.workers.get_mut(&worker).expect("it is known");
                worker.is_reachable = false;
                self.heals.push(until);
            }
            10 => {
                self.world.trouble.store_slowness = 60;
                self.heals.push(until);
            }
            _ => {
                let leader = self.world.leader().unwrap_or(node);
                self.world.late_timers.insert(leader, ms(15));
                self.heals.push(until);
            }
        }
    }

    fn kill(&mut self, node: usize, until: Duration) {
        self.world.kill(node);
        self.starts.push((until, node));
    }

    fn due(&mut self, is_over: bool) {
        let now = self.world.now;
        let thaws: Vec<_> = self.thaws.extract_if(.., |(at, ..)| is_over || *at <= now).collect();
        for (_, node, gap) in thaws {
            self.world.thaw(node, gap);
        }
        let starts: Vec<_> = self.starts.extract_if(.., |(at, _)| is_over || *at <= now).collect();
        for (_, node) in starts {
            if self.world.slots[node].node.is_none() {
                self.world.start(node);
            }
        }
        let before = self.heals.len();
        self.heals.retain(|at| !is_over && *at > now);
        if self.heals.len() < before {
            self.world.trouble = support::Trouble::default();
            self.world.cut_from_store.clear();
            self.world.cut_from_peers.clear();
            self.world.late_timers.clear();
            for worker in self.world.workers.values_mut() {
                worker.is_reachable = true;
            }
        }
    }

    fn play(&mut self) -> Vec<String> {
        self.world.run(ms(1000));
        while self.world.now < ms(TROUBLE_MS) {
            match self.world.random(12) {
                0..=5 => self.submit(),
                6 => self.cancel(),
                7 => self.fault(),
                _ => {}
            }
            let pause = self.world.random(200);
            self.world.run(ms(pause));
            self.due(false);
        }
        self.due(true);
        self.world.run(CALM);
        self.check()
    }

    fn check(&mut self) -> Vec<String> {
        let mut faults = std::mem::take(&mut self.world.violations);
        let rows = self.world.store.rows.len();
        if rows > MOST_ROWS {
            faults.push(format!("the store holds {rows} rows"));
        }
        let mut tokens: Vec<_> = self.tokens.clone().into_iter().collect();
        tokens.sort();
        let confirmed: Vec<Name> = self
            .cancelled
            .iter()
            .filter(|(token, _)| self.world.answers.get(token) == Some(&Answer::Cancelled))
            .map(|(_, id)| id.clone())
            .collect();
        for (token, id) in tokens {
            let answer = self.world.answers.get(&token).cloned();
            let state = self.world.state(&id);
            let is_ended = match &state {
                Some(Answer::State(Shown::Completed)) => !confirmed.contains(&id),
                Some(Answer::State(Shown::Cancelled)) => true,
                _ => false,
            };
            let is_right = match answer {
                Some(Answer::Accepted) => is_ended,
                Some(Answer::Refused { .. } | Answer::NoQueue) => state == Some(Answer::NoJob),
                _ => is_ended || state == Some(Answer::NoJob),
            };
            if !is_right {
                faults.push(format!("{id}: answered {answer:?}, is {state:?}"));
            }
        }
        faults
    }
}

/// Seeds that failed once, with what was wrong.
const FAILED_ONCE: [(u64, &str); 4] = [
    (1, "an old position to acknowledge reached a worker's new life"),
    (32, "an undecided start was taken as gone with the worker's former life"),
    (1022, "an advice call that a follower left unanswered was waited for without end"),
    (2002, "a former leader sent a start again to a worker that had seen no fencing token"),
];

#[test]
fn schedules_failed_once() {
    for (seed, cause) in FAILED_ONCE {
        let mut schedule = Schedule::new(seed);
        schedule.kinds = FIRST_FAULT_KINDS;
        let faults = schedule.play();
        assert!(faults.is_empty(), "seed {seed} ({cause}): {faults:#?}");
    }
}

#[test]
fn schedules_keep_promises() {
    let first = setting("BRONZERAIL_SEED", 1);
    let count = setting("BRONZERAIL_SCHEDULES", SEEDS);
    let mut failed = Vec::new();
    for seed in first..first + count {
        let faults = Schedule::new(seed).play();
        if !faults.is_empty() {
            failed.push((seed, faults));
        }
    }
    assert!(failed.is_empty(), "{} of {count} seeds failed; first: {:#?}", failed.len(), failed[0]);
}
