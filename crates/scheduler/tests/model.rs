//! Random schedules of a pool against a naive model that knows the truth of each worker.
//!
//! Jobs are submitted and cancelled, runs fail, workers restart as another kind, refuse starts and
//! lose orders and their answers, and their lists are cut. After each step the model checks what
//! its workers run. `BRONZERAIL_SCHEDULES` sets the number of seeds, `BRONZERAIL_SEED` the first.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use common::Name;
use scheduler::{
    ActiveRun, FinishedRun, Listing, Outcome, Phase, Refusal, Registration, Resources, RunState,
    Scheduler, StartOrder, Step, StopOrder, TaskKey,
};
use support::{NO_DELAY, NOW, ample_advice, new_registration, pool, step, submit};

/// Seeds that CI runs.
const DEFAULT_SEEDS: u64 = 100;
/// Steps with faults.
const FAULT_STEPS: u32 = 250;
/// Time between two steps.
const STEP_TIME: Duration = Duration::from_millis(50);
/// Steps without faults within which each job that the workers can hold has to end.
const MAX_CALM_STEPS: u32 = 1200;
/// Workers of the pool, and tasks that fit on each.
const WORKERS: usize = 5;
const PLACES: usize = 2;
/// Ended runs that a list shows at most.
const MAX_LISTED_ENDS: usize = 1;

/// The truth of a worker.
#[derive(Default)]
struct Truth {
    incarnation: u64,
    kind: &'static str,
    refuses: bool,
    fails: bool,
    /// Whether its incarnation has listed its runs, so that orders reach it.
    is_known: bool,
    running: BTreeMap<TaskKey, u32>,
    ended: Vec<FinishedRun>,
    last_position: u64,
    highest_runs: BTreeMap<TaskKey, u32>,
    /// Starts without an answer that still may arrive.
    late: Vec<StartOrder>,
}

impl Truth {
    fn end(&mut self, key: &TaskKey, outcome: Outcome) {
        let Some(run) = self.running.remove(key) else { return };
        self.last_position += 1;
        self.ended.push(FinishedRun {
            position: self.last_position,
            key: Some(key.clone()),
            run,
            outcome: Some(outcome),
            checkpoint: Name::default(),
        });
    }

    fn registration(&self, id: &Name) -> Registration {
        Registration {
            incarnation: self.incarnation,
            labels: vec![Name::new(self.kind)],
            ..new_registration(id, PLACES as u32 * 1000)
        }
    }
}

struct Model {
    seed: u64,
    draws: u64,
    now: Duration,
    scheduler: Scheduler,
    truths: BTreeMap<Name, Truth>,
    /// Starts whose jobs are not durable yet.
    starts: Vec<StartOrder>,
    stops: Vec<StopOrder>,
    /// Runs that ended `done`, unless their worker restarted before it said so.
    done: BTreeMap<TaskKey, u32>,
    jobs: u32,
    is_calm: bool,
}

impl Model {
    fn new(seed: u64) -> Self {
        let ids: Vec<String> = (0..WORKERS).map(|number| format!("w{number}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let scheduler = pool(&ids, None);
        let mut model = Self {
            seed,
            draws: 0,
            now: NOW,
            scheduler,
            truths: BTreeMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            done: BTreeMap::new(),
            jobs: 0,
            is_calm: false,
        };
        for id in ids {
            let truth = Truth { incarnation: 1, kind: "a", ..Truth::default() };
            model.scheduler.pool.register(truth.registration(&Name::new(id)));
            model.truths.insert(Name::new(id), truth);
        }
        model
    }

    fn random(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        common::stable_hash(format!("{}.{}", self.seed, self.draws).as_bytes()) % bound
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.random(100) < percent
    }

    fn random_worker(&mut self) -> Name {
        Name::new(&format!("w{}", self.random(WORKERS as u64)))
    }

    fn truth(&mut self, id: &Name) -> &mut Truth {
        self.truths.get_mut(id).expect("the worker exists")
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let requirement =
            ["", "", "", "a", "a", "b", "b", "none"][self.random(8) as usize].to_owned();
        let first = match self.random(6) {
            0 => Step { is_gang: true, ..step(2 + self.random(3) as u32) },
            1 => Step { is_gang: true, ..step(8 + self.random(5) as u32) },
            2 => Step { spread: 1, ..step(1 + self.random(4) as u32) },
            _ => step(1 + self.random(3) as u32),
        };
        let mut steps = vec![Step { requirement, ..first }];
        if self.chance(30) {
            steps.push(Step { after: vec![0], ..step(1) });
        }
        submit(&mut self.scheduler, &format!("j{}", self.jobs), steps);
    }

    /// Restarts a worker, perhaps as another kind; its registration follows at some time.
    fn restart(&mut self, id: &Name) {
        let kind = if self.chance(50) { "a" } else { "b" };
        let truth = self.truth(id);
        let incarnation = truth.incarnation + 1;
        let former = std::mem::replace(truth, Truth { incarnation, kind, ..Truth::default() });
        for ended in former.ended {
            // Nobody else knows that it has ended, so it may run again.
            self.done.retain(|key, _| Some(key) != ended.key.as_ref());
        }
    }

    /// Delivers a worker's list of its runs.
    fn renew(&mut self, id: &Name) {
        let is_cut = !self.is_calm && self.chance(50);
        let (now, limit) = (self.now, if is_cut { MAX_LISTED_ENDS } else { usize::MAX });
        let truth = self.truth(id);
        let running = truth.running.iter().map(|(key, run)| ActiveRun {
            key: Some(key.clone()),
            run: *run,
            checkpoint: Name::default(),
            percent: 0,
        });
        let listing = Listing {
            incarnation: truth.incarnation,
            running: running.collect(),
            finished: truth.ended.iter().take(limit).cloned().collect(),
            is_complete: truth.ended.len() <= limit,
        };
        let is_new = !std::mem::replace(&mut truth.is_known, true);
        let position = self.scheduler.apply_listing(id, &listing, is_new, now, now, 0);
        self.truth(id).ended.retain(|ended| ended.position > position);
    }

    /// A start arrives; the reason if it is refused.
    fn start_on_worker(&mut self, start: &StartOrder) -> Option<Refusal> {
        let truth = self.truth(&start.worker);
        if truth.refuses {
            return Some(Refusal::Unhealthy);
        }
        if truth.running.get(&start.key) == Some(&start.run) {
            return None;
        }
        if truth.highest_runs.get(&start.key).is_some_and(|highest| start.run <= *highest) {
            return Some(Refusal::StaleRun);
        }
        truth.highest_runs.insert(start.key.clone(), start.run);
        truth.running.insert(start.key.clone(), start.run);
        let (kind, active) = (truth.kind, truth.running.len());
        let context = format!("seed {}, {start:?} at {:?}", self.seed, self.now);
        assert!(active <= PLACES, "{context}: over its capacity");
        let spec = self.spec(&start.key);
        assert!(
            spec.requirement.is_empty() || spec.requirement == kind,
            "{context}: its present incarnation is of kind {kind}"
        );
        let is_in_gang = |key: &TaskKey| {
            spec.is_gang && (&key.job, key.step) == (&start.key.job, start.key.step)
        };
        let is_same = |(key, run): (&TaskKey, &u32)| {
            *key == start.key || (is_in_gang(key) && *run != start.run)
        };
        assert!(!self.done.iter().any(is_same), "{context}: it has ended done");
        let lives =
            self.truths.values().flat_map(|truth| &truth.running).filter(|run| is_same(*run));
        assert_eq!(lives.count(), 1, "{context}: another run lives");
        None
    }

    fn spec(&self, key: &TaskKey) -> Step {
        self.scheduler.jobs[&key.job].submission.steps[key.step as usize].clone()
    }

    /// Sends a start as the leader does.
    fn send_start(&mut self, start: &StartOrder) {
        let is_open = self.scheduler.jobs[&start.key.job].phase == Phase::Open;
        if !is_open || !self.scheduler.may_send(start) {
            return self.settle(start, Refusal::Withdrawn);
        }
        let now = self.now;
        let Some(assignment) = self.scheduler.pool.get_mut(&start.worker) else { return };
        let Some(assignment) = assignment.assignment_mut(&start.key, start.run) else { return };
        assignment.state = RunState::Sent;
        assignment.fate.record_send();
        let way = if self.is_calm { 99 } else { self.random(100) };
        let is_known = self.truth(&start.worker).is_known;
        let refusal = (is_known && way >= 15).then(|| self.start_on_worker(start)).flatten();
        let worker = self.scheduler.pool.get_mut(&start.worker).expect("it was just used");
        let fate = &mut worker.assignment_mut(&start.key, start.run).expect("it was sent").fate;
        if !is_known {
            fate.record_without_effect(now);
            self.settle(start, Refusal::Unhealthy);
        } else if way < 25 {
            fate.record_unanswered(now);
            self.scheduler.record_refusal(start, now);
            if (10..15).contains(&way) {
                self.truth(&start.worker).late.push(start.clone());
            }
            self.settle(start, Refusal::Unhealthy);
        } else if let Some(refusal) = refusal {
            fate.record_without_effect(now);
            self.settle(start, refusal);
        } else {
            self.scheduler.confirm_start(start, now);
        }
    }

    /// Releases a run that has not started; stops it if it may have.
    fn settle(&mut self, start: &StartOrder, reason: Refusal) {
        match self.scheduler.not_started(start) {
            Some(proof) if reason != Refusal::StaleRun => {
                self.scheduler.reject_start(start, proof, reason, self.now, 0);
            }
            _ => self.scheduler.stop(start.key.clone(), start.run, start.worker.clone()),
        }
    }

    /// Sends the stops; those that are lost are sent again.
    fn send_stops(&mut self) {
        self.stops.append(&mut self.scheduler.stops);
        for stop in std::mem::take(&mut self.stops) {
            let is_lost = !self.truth(&stop.worker).is_known || (!self.is_calm && self.chance(30));
            let worker = self.scheduler.pool.get_mut(&stop.worker);
            let assignment = worker.and_then(|worker| worker.assignment_mut(&stop.key, stop.run));
            let Some(mark) = assignment.map(|assignment| assignment.fate.mark_stop()) else {
                continue;
            };
            if is_lost {
                self.stops.push(stop);
                continue;
            }
            let truth = self.truth(&stop.worker);
            if truth.running.get(&stop.key) == Some(&stop.run) {
                truth.end(&stop.key, Outcome::Stopped);
            }
            let highest = truth.highest_runs.entry(stop.key.clone()).or_default();
            *highest = stop.run.max(*highest);
            self.scheduler.confirm_stop(&stop, mark, self.now);
        }
    }

    /// Ends a random run of a worker.
    fn end_random_run(&mut self, id: &Name) {
        let fails = self.truth(id).fails || (!self.is_calm && self.chance(15));
        let runs = self.truth(id).running.len() as u64;
        if runs == 0 {
            return;
        }
        let index = self.random(runs) as usize;
        let key = self.truth(id).running.keys().nth(index).expect("it is in range").clone();
        let run = self.truth(id).running[&key];
        self.truth(id).end(&key, if fails { Outcome::Failed } else { Outcome::Done });
        if !fails {
            // The workers end the other members of a gang once one has ended.
            let is_member =
                |other: &TaskKey| (&other.job, other.step) == (&key.job, key.step) && *other != key;
            let is_gang = self.spec(&key).is_gang;
            for truth in self.truths.values_mut().filter(|_| is_gang) {
                let members: Vec<_> =
                    truth.running.keys().filter(|other| is_member(other)).cloned().collect();
                for member in &members {
                    truth.end(member, Outcome::GangBroken);
                }
            }
            self.done.insert(key, run);
        }
    }

    /// A random fault or request.
    fn disturb(&mut self) {
        let id = self.random_worker();
        match self.random(30) {
            0..=5 => self.submit(),
            6 | 7 if self.jobs > 0 => {
                let job = format!("j{}", 1 + self.random(self.jobs.into()));
                self.scheduler.cancel(&job, 0);
            }
            8 => self.restart(&id),
            9 | 10 => {
                let truth = self.truth(&id);
                truth.refuses = !truth.refuses;
            }
            11 => {
                let truth = self.truth(&id);
                truth.fails = !truth.fails;
            }
            12 | 13 => {
                for start in std::mem::take(&mut self.truth(&id).late) {
                    self.start_on_worker(&start);
                }
            }
            14..=16 => {
                let registration = self.truth(&id).registration(&id);
                self.scheduler.pool.register(registration);
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        self.now += STEP_TIME;
        let id = self.random_worker();
        if !self.is_calm {
            self.disturb();
        }
        self.end_random_run(&id);
        let id = self.random_worker();
        self.renew(&id);
        self.scheduler.plan(self.now, NO_DELAY, ample_advice());
        self.starts.append(&mut self.scheduler.starts);
        if self.is_calm || self.chance(70) {
            for start in &std::mem::take(&mut self.starts) {
                self.send_start(start);
            }
        }
        self.check_unasked();
        self.send_stops();
        self.check_unasked();
    }

    /// Checks that each run of a cancelled or failed job is being stopped.
    fn check_unasked(&self) {
        let is_stopping = |id: &Name, key: &TaskKey, run: u32| {
            let orders = self.stops.iter().chain(&self.scheduler.stops);
            let mut orders = orders.filter(|stop| stop.worker == *id && stop.key == *key);
            orders.any(|stop| stop.run == run)
        };
        for (id, truth) in &self.truths {
            for (key, run) in &truth.running {
                let phase = self.scheduler.jobs[&key.job].phase;
                let has_ended = matches!(phase, Phase::Cancelled | Phase::Failed);
                assert!(
                    !has_ended || is_stopping(id, key, *run),
                    "seed {}: at {:?} nobody stops run {run} of {key:?} on {id}",
                    self.seed,
                    self.now
                );
            }
        }
    }

    /// Whether the workers can hold each step of a job.
    fn can_hold(&self, job: &str) -> bool {
        self.scheduler.jobs[job].submission.steps.iter().all(|spec| {
            let fits =
                |truth: &&Truth| spec.requirement.is_empty() || spec.requirement == truth.kind;
            let workers = self.truths.values().filter(fits).count() as u32;
            let places = if spec.spread > 0 { spec.spread } else { PLACES as u32 };
            workers * places >= if spec.is_gang { spec.count } else { 1 }
        })
    }

    /// Ends the faults; then each job that the workers can hold has to end.
    fn settle_down(&mut self) {
        self.is_calm = true;
        for id in self.truths.keys().cloned().collect::<Vec<_>>() {
            let truth = self.truth(&id);
            (truth.refuses, truth.fails) = (false, false);
            truth.late.clear();
            let registration = truth.registration(&id);
            self.scheduler.pool.register(registration);
        }
        let is_open = |model: &Self| {
            let open = model.scheduler.jobs.values().filter(|job| job.phase == Phase::Open);
            let open = open.map(|job| job.id.clone()).filter(|id| model.can_hold(id));
            open.collect::<Vec<_>>()
        };
        for _ in 0..MAX_CALM_STEPS {
            self.step();
            if is_open(self).is_empty() {
                return;
            }
        }
        let waits: Vec<_> = is_open(self)
            .into_iter()
            .map(|id| {
                let reason = self.scheduler.first_wait_reason(&id, self.now);
                (id, reason)
            })
            .collect();
        panic!("seed {}: still open: {waits:?}", self.seed);
    }
}

#[test]
fn schedules_agree_with_model() {
    let number = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let first = number("BRONZERAIL_SEED", 1);
    for seed in first..first + number("BRONZERAIL_SCHEDULES", DEFAULT_SEEDS) {
        let mut model = Model::new(seed);
        for _ in 0..FAULT_STEPS {
            model.step();
        }
        model.settle_down();
        let assigned = model.scheduler.pool.iter().map(|worker| worker.allocated);
        let most = Resources { cpu: PLACES as u32 * 1000, mem: 1000, gpus: 0 };
        assert!(assigned.into_iter().all(|allocated| allocated.fits_in(&most)), "seed {seed}");
    }
}
