//! A pool, its store, its advice service and its leaders, with the truth of each.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::Name;
use scheduler::{
    Listing, Outcome, Phase, Queue, Refusal, Resources, Rules, StartOrder, Step, StopOrder,
    Submission, TaskKey, Workspace, Workspaces,
};

use crate::leader::{Acknowledgement, Answer, Call, Commit, Leader, Renewal};
use crate::schedule::{
    Action, LimitChange, Schedule, Turn, WORKERS, WORKSPACES, first_limit, has_workspaces, hash,
    worker_id, workspace_of,
};
use crate::support::model::slow_policy;
use crate::support::{NOW, advice_policy, rules};
use crate::worker::{StartRequest, Ticket, Truth};

/// Time between two turns.
const TURN: Duration = Duration::from_millis(50);
/// Turns without faults within which each job that the workers can hold has to end.
///
/// The longest quarantine, 24 s, is over by then.
const MAX_CALM_TURNS: u64 = 800;
/// Ended runs that a list shows at most.
const MAX_LISTED_ENDS: usize = 2;
/// Time after which a call without an answer counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a gang's member ends that waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_secs(1);
/// Least time that a run takes without faults.
const CALM_RUN_TIME: Duration = Duration::from_millis(200);

/// A broken rule.
#[derive(Debug, Clone)]
pub struct Fault {
    pub kind: &'static str,
    pub text: String,
}

/// What a schedule came to.
#[derive(Debug)]
pub struct Report {
    pub fault: Option<Fault>,
    pub trace: Vec<String>,
}

/// What was submitted.
struct Spec {
    workspace: &'static str,
    with_advice: bool,
    steps: Vec<Step>,
}

/// An end `done` that a worker has reported or can still report.
struct DoneRun {
    worker: Name,
    incarnation: u64,
    position: u64,
    /// Token of the leader that knows of it.
    known_to: Option<u64>,
    is_stored: bool,
}

/// One version of the limits on workspaces.
#[derive(Clone, Default)]
struct Limits {
    /// Most `cpu` of each workspace; 0 for no limit.
    cpu: BTreeMap<Name, u32>,
    /// Workspaces that the rules do not list any more; a leader that knew their limits keeps them.
    unlisted: BTreeSet<Name>,
}

/// A renewal under way.
struct PendingRenewal {
    due: Duration,
    worker: Name,
    /// `None` once it has reached the worker.
    renewal: Option<Renewal>,
    /// `None` if there will be no answer.
    listing: Option<Listing>,
    fails: bool,
}

/// A start whose answer is under way.
struct PendingAnswer {
    due: Duration,
    start: StartOrder,
    sends: u32,
    answer: Answer,
}

struct World<'a> {
    seed: u64,
    /// The rule that is checked; `None` for all.
    rule: Option<&'a str>,
    salt: u64,
    now: Duration,
    is_calm: bool,
    leader: Leader,
    truths: BTreeMap<Name, Truth>,
    /// The workers' rows, which may be old.
    rows: BTreeMap<Name, scheduler::Registration>,
    journal: Vec<Vec<u8>>,
    store_down_until: Duration,
    advice_down_until: Duration,
    /// All versions of the limits; the first has the number 1.
    limits: Vec<Limits>,
    /// When the leader learns of the last version.
    rules_due: Duration,
    renewals: Vec<PendingRenewal>,
    answers: Vec<PendingAnswer>,
    specs: BTreeMap<Name, Spec>,
    done: BTreeMap<(TaskKey, u32), DoneRun>,
    /// Stored phases that a caller may know.
    accepted: BTreeMap<Name, Phase>,
    /// Runs that were listed, and stops that were sent, in this turn.
    listed: BTreeSet<(Name, TaskKey, u32)>,
    stopped: BTreeSet<(Name, TaskKey, u32)>,
    fault: Option<Fault>,
    trace: Option<Vec<String>>,
}

/// Runs a schedule until a rule is broken, or to its end.
pub fn run(schedule: &Schedule, is_traced: bool) -> Report {
    let mut world = World::new(schedule.seed, schedule.rule.as_deref(), is_traced);
    for turn in &schedule.turns {
        world.take_turn(turn);
        if world.fault.is_some() {
            break;
        }
    }
    if world.fault.is_none() {
        world.settle_down();
    }
    Report { fault: world.fault, trace: world.trace.unwrap_or_default() }
}

/// A version of the rules, with a queue without advice and one with it.
fn rules_of(seed: u64, version: u64, limits: &Limits) -> Rules {
    let mut rules = rules(None);
    rules.version = version;
    let listed = limits.cpu.iter().filter(|(name, _)| !limits.unlisted.contains(*name));
    rules.workspaces = Workspaces::new(listed.map(|(name, cpu)| Workspace {
        name: name.clone(),
        weight: 1,
        limit: Resources { cpu: *cpu, ..Resources::default() },
        keys: Vec::new(),
    }));
    let advice = if seed.is_multiple_of(2) { advice_policy() } else { slow_policy() };
    let with_advice = Queue {
        name: Name::new("advised"),
        prefix: Name::new("/a/"),
        advice: Some(advice),
        ..rules.queues[0].clone()
    };
    rules.queues.push(with_advice);
    rules
}

impl<'a> World<'a> {
    fn new(seed: u64, rule: Option<&'a str>, is_traced: bool) -> Self {
        let new_truth = |number| {
            let kind = if number % 2 == 0 { "a" } else { "b" };
            let id = worker_id(number);
            (id.clone(), Truth::new(id, kind, 2000))
        };
        let truths: BTreeMap<Name, Truth> = (0..WORKERS).map(new_truth).collect();
        let rows: BTreeMap<_, _> =
            truths.iter().map(|(id, truth)| (id.clone(), truth.registration())).collect();
        let registrations: Vec<_> = rows.values().cloned().collect();
        let mut limits = Limits::default();
        if has_workspaces(seed) {
            let first = |name| (Name::new(name), first_limit(seed, name));
            limits.cpu = WORKSPACES.into_iter().map(first).collect();
        }
        let rules = rules_of(seed, 1, &limits);
        let leader = Leader::new(1, rules, &[], &registrations, true, NOW);
        Self {
            seed,
            rule,
            salt: 0,
            now: NOW,
            is_calm: false,
            leader,
            truths,
            rows,
            journal: Vec::new(),
            store_down_until: Duration::ZERO,
            advice_down_until: Duration::ZERO,
            limits: vec![limits],
            rules_due: Duration::ZERO,
            renewals: Vec::new(),
            answers: Vec::new(),
            specs: BTreeMap::new(),
            done: BTreeMap::new(),
            accepted: BTreeMap::new(),
            listed: BTreeSet::new(),
            stopped: BTreeSet::new(),
            fault: None,
            trace: is_traced.then(Vec::new),
        }
    }

    /// A number of the turn that is the same whatever else happens.
    fn draw(&self, topic: &str, bound: u64) -> u64 {
        hash(&format!("{}.{topic}", self.salt)) % bound
    }

    fn is_store_down(&self) -> bool {
        self.now < self.store_down_until
    }

    fn is_cut(&self, id: &Name) -> bool {
        self.now < self.truths[id].cut_until
    }

    /// Whether something happens in a turn with faults.
    fn chance(&self, topic: &str, percent: u64) -> bool {
        !self.is_calm && self.draw(topic, 100) < percent
    }

    fn log(&mut self, text: impl FnOnce() -> String) {
        let now = self.now.saturating_sub(NOW).as_millis();
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{now:>6} ms  {}", text()));
        }
    }

    fn fail(&mut self, kind: &'static str, text: String) {
        if self.rule.is_some_and(|rule| rule != kind) {
            return;
        }
        self.log(|| format!("FAULT {kind}: {text}"));
        self.fault.get_or_insert(Fault { kind, text });
    }

    fn truth(&mut self, id: &Name) -> &mut Truth {
        self.truths.get_mut(id).expect("the worker exists")
    }

    fn ids(&self) -> Vec<Name> {
        self.truths.keys().cloned().collect()
    }

    fn take_turn(&mut self, turn: &Turn) {
        self.salt = turn.salt;
        self.now += TURN;
        self.listed.clear();
        self.stopped.clear();
        for truth in self.truths.values_mut() {
            truth.expire(self.now);
        }
        if let Some(change) = &turn.limit {
            self.change_limit(change);
        }
        self.read_rules();
        self.act(&turn.action);
        self.end_runs();
        self.renew_leases();
        self.deliver_listings();
        self.check_unasked();
        self.deliver_advice();
        self.deliver_answers();
        self.abandon_expired();
        let has_pass = !self.chance("pass", 15);
        self.leader.plan(has_pass, self.now);
        self.commit();
        self.send_starts();
        self.send_stops();
        self.check_unasked();
    }

    fn act(&mut self, action: &Action) {
        if !matches!(action, Action::Idle) {
            self.log(|| action.to_string());
        }
        match action {
            Action::Idle => {}
            Action::Submit { job, with_advice, steps } => self.submit(*job, *with_advice, steps),
            Action::Cancel { job } => {
                self.leader.scheduler.cancel(&format!("j{job}"), 0);
            }
            Action::Restart { worker, kind, cpu } => self.restart(worker, kind, *cpu),
            Action::ReadRow { worker } => self.read_row(worker),
            Action::Refuse { worker, turns } => {
                self.truth(worker).refuses_until = self.now + TURN * *turns;
            }
            Action::Fail { worker, turns } => {
                self.truth(worker).fails_until = self.now + TURN * *turns;
            }
            Action::Cut { worker, turns } => {
                self.truth(worker).cut_until = self.now + TURN * *turns;
            }
            Action::DeliverLate { worker } => self.deliver_late(worker),
            Action::StopStore { turns } => self.store_down_until = self.now + TURN * *turns,
            Action::StopAdvice { turns } => self.advice_down_until = self.now + TURN * *turns,
            Action::KillLeader => {
                if let Some(commit) = self.leader.commit.take()
                    && self.chance("applied", 50)
                {
                    self.log(|| "the last commit takes effect".to_owned());
                    self.store(&commit);
                }
                self.change_leader();
            }
            Action::StopLeader => {
                while !self.is_store_down() {
                    self.leader.begin_commit();
                    let Some(commit) = self.leader.commit.take() else { break };
                    self.finish_commit(commit);
                }
                self.change_leader();
            }
        }
    }

    fn submit(&mut self, job: u64, with_advice: bool, steps: &[Step]) {
        let id = format!("j{job}");
        let queue = Name::new(if with_advice { "advised" } else { "q" });
        let workspace = workspace_of(self.seed, job);
        let submission = Submission {
            id,
            payload: String::new(),
            steps: steps.to_vec(),
            workspace: workspace.to_owned(),
        };
        if let Some(reason) = self.leader.scheduler.never_fits(&submission) {
            return self.log(|| format!("j{job} is refused: {reason}"));
        }
        let spec = Spec { workspace, with_advice, steps: steps.to_vec() };
        self.specs.insert(Name::new(&submission.id), spec);
        self.leader.scheduler.submit(submission, queue, self.now, 0);
    }

    fn restart(&mut self, id: &Name, kind: &'static str, cpu: u32) {
        self.truth(id).restart(kind, cpu);
        // Nobody else knows what has ended there, so it may run again.
        let token = self.leader.token;
        self.done
            .retain(|_, done| done.worker != *id || done.is_stored || done.known_to == Some(token));
    }

    fn read_row(&mut self, id: &Name) {
        let registration = self.truth(id).registration();
        self.rows.insert(id.clone(), registration.clone());
        if !self.is_store_down() {
            self.leader.scheduler.pool.register(registration);
        }
    }

    /// Stores a version of the rules with another limit; the leader learns of it later.
    fn change_limit(&mut self, change: &LimitChange) {
        let mut limits = self.limits.last().cloned().unwrap_or_default();
        match change.limit {
            Some(cpu) => {
                limits.cpu.insert(change.workspace.clone(), cpu);
                limits.unlisted.remove(&change.workspace);
            }
            // The leader knows the last limit that it keeps.
            None if self.is_store_down() => return,
            None => {
                let rules = self.newest_rules();
                self.leader.scheduler.set_rules(rules);
                limits.unlisted.insert(change.workspace.clone());
            }
        }
        self.log(|| format!("{change:?}"));
        self.limits.push(limits);
        self.rules_due = self.now + TURN * self.draw("rules", 30) as u32;
    }

    /// Lets the leader learn of the last version of the rules, if it is time for it.
    fn read_rules(&mut self) {
        let known = self.leader.scheduler.rules.as_ref().map_or(0, |rules| rules.version);
        if known < self.limits.len() as u64 && self.now >= self.rules_due && !self.is_store_down() {
            self.log(|| "the leader reads the rules".to_owned());
            let rules = self.newest_rules();
            self.leader.scheduler.set_rules(rules);
        }
    }

    fn newest_rules(&self) -> Rules {
        let limits = self.limits.last().cloned().unwrap_or_default();
        rules_of(self.seed, self.limits.len() as u64, &limits)
    }

    /// Checks what a workspace has running as one of its tasks starts against the highest of its
    /// limits since the version that the sender of the start knew.
    fn check_limit(&mut self, request: &StartRequest) {
        let spec = &self.specs[&request.start.key.job];
        let first = (request.rules as usize).saturating_sub(1);
        let limits = self.limits[first..].iter().map(|limits| limits.cpu.get(spec.workspace));
        let limits = limits.map(|cpu| cpu.copied().filter(|cpu| *cpu > 0).unwrap_or(u32::MAX));
        let Some(most) = limits.max().filter(|most| *most < u32::MAX) else { return };
        let runs = self.truths.values().flat_map(|truth| truth.running.keys());
        let own = runs.filter(|key| self.specs[&key.job].workspace == spec.workspace);
        let used: u32 = own.map(|key| self.specs[&key.job].steps[key.step as usize].need.cpu).sum();
        let one = spec.steps[request.start.key.step as usize].need.cpu;
        if used > most * 11 / 10 + one {
            let start = start_name(&request.start);
            let text = format!("{start}: {} uses {used}, {most} at most", spec.workspace);
            self.fail("limit", text);
        }
    }

    /// Starts a leader from what is stored.
    fn change_leader(&mut self) {
        self.store_down_until = Duration::ZERO;
        self.renewals.clear();
        self.answers.clear();
        let truths = &self.truths;
        self.done.retain(|_, done| {
            done.known_to = None;
            done.is_stored || truths[&done.worker].incarnation == done.incarnation
        });
        let token = self.leader.token + 1;
        let workers: Vec<_> = self.rows.values().cloned().collect();
        let are_workers_first = self.draw("workers first", 2) == 0;
        // The next leader never knew the limits of unlisted workspaces.
        let mut limits = self.limits.last().cloned().unwrap_or_default();
        for name in limits.unlisted.clone() {
            limits.cpu.insert(name, 0);
        }
        self.limits.push(limits);
        let rules = self.newest_rules();
        self.leader =
            Leader::new(token, rules, &self.journal, &workers, are_workers_first, self.now);
        let jobs = &self.leader.scheduler.jobs;
        let is_lost = |(id, phase): &(&Name, &Phase)| {
            jobs.get(*id).is_none_or(|job| **phase != Phase::Open && job.phase != **phase)
        };
        let lost: Vec<_> = self.accepted.iter().filter(is_lost).collect();
        if !lost.is_empty() {
            let text = format!("stored jobs are not known to the next leader: {lost:?}");
            self.fail("lost", text);
        }
    }

    /// Ends some runs.
    fn end_runs(&mut self) {
        if !self.is_calm {
            let id = worker_id(self.draw("end at", WORKERS));
            if self.draw("end", 100) < [10, 30, 80][(self.seed % 3) as usize] {
                self.end_run(&id);
            }
            return;
        }
        for id in self.ids() {
            self.end_run(&id);
        }
    }

    /// Ends a run of a worker.
    fn end_run(&mut self, id: &Name) {
        let (now, draw) = (self.now, self.draw(&format!("end {id}"), 1 << 32) as usize);
        let has_failed = self.chance(&format!("fail {id}"), 12);
        let truth = self.truth(id);
        let keys: Vec<TaskKey> = truth.running.keys().cloned().collect();
        if keys.is_empty() {
            return;
        }
        let key = keys[draw % keys.len()].clone();
        let (run, fails) = (truth.running[&key].clone(), now < truth.fails_until || has_failed);
        if self.is_calm && now < run.since + CALM_RUN_TIME {
            return;
        }
        let spec = &self.specs[&key.job].steps[key.step as usize];
        if !spec.is_gang {
            let outcome = if fails { Outcome::Failed } else { Outcome::Done };
            return self.end(id, &key, outcome);
        }
        let count = spec.count as usize;
        let members: Vec<(Name, TaskKey)> = self
            .truths
            .iter()
            .flat_map(|(id, truth)| truth.running.iter().map(move |(key, run)| (id, key, run)))
            .filter(|(_, other, other_run)| {
                (&other.job, other.step) == (&key.job, key.step) && other_run.run == run.run
            })
            .map(|(id, key, _)| (id.clone(), key.clone()))
            .collect();
        if members.len() < count {
            if now > run.since + GANG_TIMEOUT {
                self.end(id, &key, Outcome::GangTimedOut);
            }
            return;
        }
        self.end(id, &key, if fails { Outcome::Failed } else { Outcome::Done });
        for (worker, member) in members.iter().filter(|(_, member)| *member != key) {
            let is_broken = fails || self.draw(&format!("broken {}", member.index), 2) == 0;
            let outcome = if is_broken { Outcome::GangBroken } else { Outcome::Done };
            self.end(worker, member, outcome);
        }
    }

    fn end(&mut self, id: &Name, key: &TaskKey, outcome: Outcome) {
        let truth = self.truth(id);
        truth.end(key, outcome);
        let ended = truth.ended.last().expect("it was just added").clone();
        let incarnation = truth.incarnation;
        self.log(|| format!("{id} ends {} run {}: {outcome:?}", name(key), ended.run));
        if outcome == Outcome::Done {
            let done = DoneRun {
                worker: id.clone(),
                incarnation,
                position: ended.position,
                known_to: None,
                is_stored: false,
            };
            self.done.insert((key.clone(), ended.run), done);
        }
    }

    fn renew_leases(&mut self) {
        for id in self.ids() {
            let is_due = self.is_calm || self.draw(&format!("renew {id}"), 100) < 50;
            if !is_due || self.leader.is_renewing(&id) {
                continue;
            }
            let renewal = self.leader.renew(&id, self.now);
            let is_cut = self.is_cut(&id);
            let fails = is_cut || self.chance(&format!("renewal lost {id}"), 5);
            let turns = if self.is_calm { 0 } else { self.draw(&format!("list {id}"), 4) as u32 };
            let due = self.now + if fails { CALL_TIMEOUT } else { TURN * turns };
            let worker = id.clone();
            let mut pending =
                PendingRenewal { due, worker, renewal: Some(renewal), listing: None, fails };
            let is_early = self.draw(&format!("early {id}"), 2) == 0;
            if is_early && !is_cut {
                self.execute_renewal(&mut pending);
            }
            self.renewals.push(pending);
        }
    }

    /// Lets a renewal reach its worker.
    fn execute_renewal(&mut self, pending: &mut PendingRenewal) {
        let Some(renewal) = pending.renewal.take() else { return };
        let token = self.leader.token;
        let truth = self.truth(&pending.worker);
        truth.token = truth.token.max(token);
        truth.lease_end = truth.lease_end.max(renewal.lease_end.unwrap_or_default());
        let (incarnation, position) = renewal.ack;
        if truth.incarnation == incarnation {
            truth.acknowledge(position);
        }
        pending.listing = Some(truth.list(MAX_LISTED_ENDS));
    }

    fn deliver_listings(&mut self) {
        let (due, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.renewals)
            .into_iter()
            .partition(|renewal| renewal.due <= self.now);
        self.renewals = open;
        for mut pending in due {
            let id = pending.worker.clone();
            if !self.is_cut(&id) && !pending.fails {
                self.execute_renewal(&mut pending);
            }
            let is_answered = !pending.fails && !self.is_cut(&id);
            if let Some(listing) = pending.listing.filter(|_| is_answered) {
                self.deliver_listing(&id, &listing);
            } else {
                self.log(|| format!("{id} does not answer a renewal"));
                self.leader.record_failed_renewal(&id, self.now);
            }
        }
    }

    fn deliver_listing(&mut self, id: &Name, listing: &Listing) {
        let token = self.leader.token;
        if !listing.running.is_empty() || !listing.finished.is_empty() {
            let running: Vec<_> =
                listing.running.iter().map(|run| run_name(run.key.as_ref(), run.run)).collect();
            let ended = listing.finished.iter();
            let ended: Vec<_> =
                ended.map(|run| (run_name(run.key.as_ref(), run.run), run.outcome)).collect();
            let incarnation = listing.incarnation;
            self.log(|| format!("{id} (life {incarnation}) lists {running:?}, ended {ended:?}"));
        }
        for finished in &listing.finished {
            let key = finished.key.clone().expect("it is named");
            if let Some(done) = self.done.get_mut(&(key, finished.run)) {
                done.known_to = Some(token);
            }
        }
        for run in &listing.running {
            let key = run.key.clone().expect("it is named");
            self.listed.insert((id.clone(), key, run.run));
        }
        self.leader.apply_listing(id, listing, self.now);
    }

    fn deliver_advice(&mut self) {
        for Call { call, due, is_lost } in self.leader.take_due_calls(self.now) {
            let topic = format!("{:?}", call.key);
            if !is_lost && self.chance(&format!("lost {topic}"), 4) {
                let due = due + 3 * CALL_TIMEOUT;
                self.leader.calls.push(Call { call, due, is_lost: true });
                continue;
            }
            let is_down = self.now < self.advice_down_until;
            let fails = is_lost || is_down || self.chance(&topic, 6);
            let validity = advice_policy().validity;
            let expires_ms = (self.now + validity).as_millis();
            let (job, step) = (&call.key.job, call.key.step);
            let allowed = call.workers.iter().filter(|worker| self.is_allowed(job, step, worker));
            let allowed = allowed.map(|worker| {
                let incarnation = self.truths[worker].incarnation;
                let worker = worker.clone();
                let ticket = Ticket {
                    job: job.clone(),
                    step,
                    worker: worker.clone(),
                    incarnation,
                    expires_ms,
                };
                (worker, ticket.encode())
            });
            let allowed: Vec<_> = allowed.collect();
            let answer = (!fails).then_some((allowed, validity));
            self.log(|| {
                let ids = |(allowed, _): &(Vec<(Name, Name)>, Duration)| {
                    allowed.iter().map(|(id, _)| id.to_string()).collect::<Vec<_>>()
                };
                let allowed = answer.as_ref().map(ids);
                format!("advice on {job}.{step} names {:?}: {allowed:?}", call.workers)
            });
            self.leader.scheduler.apply_advice(&call.key, answer, self.now);
        }
    }

    /// Whether advice allows a step on the present incarnation of a worker.
    fn is_allowed(&self, job: &Name, step: u32, worker: &Name) -> bool {
        let share = 30 + hash(&format!("share {}", self.seed)) % 70;
        let incarnation = self.truths[worker].incarnation;
        let text = format!("allowed {}.{job}.{step}.{worker}.{incarnation}", self.seed);
        hash(&text) % 100 < share
    }

    fn deliver_answers(&mut self) {
        let (due, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|answer| answer.due <= self.now);
        self.answers = open;
        for PendingAnswer { start, sends, answer, .. } in due {
            self.log(|| format!("answer to {}: {answer:?}", start_name(&start)));
            self.leader.apply_answer(&start, sends, answer, self.now);
        }
    }

    fn abandon_expired(&mut self) {
        for id in self.leader.abandon_expired(self.now) {
            self.log(|| format!("the lease of {id} has expired"));
            let token = self.leader.token;
            self.done.retain(|_, done| {
                done.worker != id || done.is_stored || done.known_to == Some(token)
            });
        }
    }

    fn commit(&mut self) {
        let (is_down, is_late) = (self.is_store_down(), self.chance("commit", 40));
        if let Some(commit) = self.leader.commit.take_if(|_| !is_down && !is_late) {
            self.finish_commit(commit);
        }
        self.leader.begin_commit();
        if self.is_calm
            && let Some(commit) = self.leader.commit.take()
        {
            self.finish_commit(commit);
        }
    }

    fn finish_commit(&mut self, commit: Commit) {
        self.store(&commit);
        let phases = self.leader.finish_commit(commit);
        self.accepted.extend(phases);
    }

    /// Lets a commit take effect in the store.
    fn store(&mut self, commit: &Commit) {
        self.journal.push(commit.row.clone());
        for Acknowledgement { worker, incarnation, position } in &commit.acks {
            for done in self.done.values_mut() {
                done.is_stored |= done.worker == *worker
                    && done.incarnation == *incarnation
                    && done.position <= *position;
            }
        }
    }

    fn send_starts(&mut self) {
        for (start, sends) in std::mem::take(&mut self.leader.starts) {
            let Some(request) = self.leader.prepare_start(&start, sends, self.now) else {
                self.log(|| format!("{} is withdrawn", start_name(&start)));
                continue;
            };
            self.check_ticket(&request);
            let topic = format!("start {} {sends}", start_name(&start));
            let chance = if self.is_calm { 99 } else { self.draw(&topic, 100) };
            let delay = TURN
                * if self.is_calm { 0 } else { self.draw(&format!("delay {topic}"), 4) as u32 };
            let incarnation = self.truth(&start.worker).incarnation;
            let is_known = self.leader.known.contains(&(start.worker.clone(), incarnation));
            let is_cut = self.is_cut(&start.worker);
            let (answer, delay) = if !is_known || (is_cut && chance >= 60) {
                (Answer::Unreachable, delay)
            } else if chance < 6 || (is_cut && chance < 40) {
                (Answer::Unknown, CALL_TIMEOUT)
            } else if chance < 12 || is_cut {
                self.truth(&start.worker).late.push(request);
                (Answer::Unknown, CALL_TIMEOUT)
            } else {
                let answer = match self.start_on_worker(&request) {
                    None => Answer::Done,
                    Some(refusal) => Answer::Refused(refusal),
                };
                if chance < 20 { (Answer::Unknown, CALL_TIMEOUT) } else { (answer, delay) }
            };
            self.log(|| format!("send {}, send {sends}: {answer:?}", start_name(&start)));
            let due = self.now + delay;
            self.answers.push(PendingAnswer { due, start, sends: sends + 1, answer });
        }
    }

    /// Checks that a start that needs a ticket has one for its step and worker.
    fn check_ticket(&mut self, request: &StartRequest) {
        let Some(ticket) = &request.ticket else { return };
        let start = &request.start;
        let is_own = (&ticket.job, ticket.step) == (&start.key.job, start.key.step)
            && ticket.worker == start.worker;
        if !is_own {
            let text = format!("{} has a ticket for {ticket:?}", start_name(start));
            self.fail("ticket", text);
        }
    }

    fn deliver_late(&mut self, id: &Name) {
        for request in std::mem::take(&mut self.truth(id).late) {
            let refusal = self.start_on_worker(&request);
            let start = start_name(&request.start);
            self.log(|| format!("{start} arrives late: {refusal:?}"));
        }
    }

    /// A start arrives; the reason if it is refused.
    fn start_on_worker(&mut self, request: &StartRequest) -> Option<Refusal> {
        let (now, start) = (self.now, &request.start);
        match self.truth(&start.worker).start(request, now) {
            Err(refusal) => return Some(refusal),
            Ok(false) => return None,
            Ok(true) => {}
        }
        self.check_limit(request);
        let spec = self.specs[&start.key.job].steps[start.key.step as usize].clone();
        let used: u32 = self.truths[&start.worker]
            .running
            .keys()
            .map(|key| self.specs[&key.job].steps[key.step as usize].need.cpu)
            .sum();
        let (kind, cpu) = (self.truths[&start.worker].kind, self.truths[&start.worker].cpu);
        if used > cpu {
            let text = format!("{} exceeds the capacity: {used} of {cpu}", start_name(start));
            self.fail("capacity", text);
        }
        if !spec.requirement.is_empty() && spec.requirement != kind {
            let text = format!("{} needs {}: it is {kind}", start_name(start), spec.requirement);
            self.fail("kind", text);
        }
        let is_in_gang = |key: &TaskKey| {
            spec.is_gang && (&key.job, key.step) == (&start.key.job, start.key.step)
        };
        let is_same =
            |key: &TaskKey, run: u32| *key == start.key || (is_in_gang(key) && run != start.run);
        let done = self.done.iter().find(|((key, run), _)| is_same(key, *run));
        if let Some(((key, run), _)) = done {
            let text = format!("{}: {} run {run} has ended done", start_name(start), name(key));
            return self.fail_start(text);
        }
        let lives = self
            .truths
            .iter()
            .flat_map(|(id, truth)| truth.running.iter().map(move |(key, run)| (id, key, run.run)));
        let other = lives.into_iter().find(|(id, key, run)| {
            is_same(key, *run) && (**id != start.worker || **key != start.key)
        });
        if let Some((id, key, run)) = other {
            let text = format!("{}: {} run {run} lives on {id}", start_name(start), name(key));
            return self.fail_start(text);
        }
        None
    }

    fn fail_start(&mut self, text: String) -> Option<Refusal> {
        self.fail("twice", text);
        None
    }

    fn send_stops(&mut self) {
        for stop in self.leader.take_stops() {
            let topic = format!("stop {}.{} {}", name(&stop.key), stop.run, stop.worker);
            let incarnation = self.truth(&stop.worker).incarnation;
            let is_known = self.leader.known.contains(&(stop.worker.clone(), incarnation));
            let is_cut = self.is_cut(&stop.worker);
            let is_lost = !is_known || is_cut || self.chance(&topic, 45);
            let is_answered = !is_lost && !self.chance(&format!("answer {topic}"), 15);
            self.log(|| format!("{topic}, arrives: {}, answered: {is_answered}", !is_lost));
            self.stopped.insert((stop.worker.clone(), stop.key.clone(), stop.run));
            let token = self.leader.token;
            let truth = self.truths.get_mut(&stop.worker).expect("the worker exists");
            let deliver = |stop: &StopOrder| {
                let is_taken = !is_lost && truth.stop(&stop.key, stop.run, token);
                is_taken && is_answered
            };
            self.leader.send_stop(stop, self.now, deliver);
        }
    }

    /// Checks that each run of a job that was cancelled, has failed or is unknown is being stopped
    /// by the leader that started it or was told of it in this turn.
    fn check_unasked(&mut self) {
        let leader = &self.leader;
        let orders = leader.stops.iter().chain(&leader.scheduler.stops);
        let orders = orders.map(|stop| (stop.worker.clone(), stop.key.clone(), stop.run));
        let stops: BTreeSet<_> = orders.chain(self.stopped.iter().cloned()).collect();
        let mut unasked = None;
        for (id, truth) in &self.truths {
            for (key, run) in &truth.running {
                let phase = leader.scheduler.jobs.get(&key.job).map(|job| job.phase);
                let is_wanted = matches!(phase, Some(Phase::Open | Phase::Completed));
                let life = (id.clone(), key.clone(), run.run);
                let is_told = run.token == leader.token || self.listed.contains(&life);
                if !is_wanted && is_told && !stops.contains(&life) {
                    unasked = Some(format!("{} run {} on {id}: {phase:?}", name(key), run.run));
                }
            }
        }
        if let Some(text) = unasked {
            self.fail("unasked", text);
        }
    }

    /// Whether the workers can hold each step of a job.
    fn can_hold(&self, id: &Name) -> bool {
        let spec = &self.specs[id];
        let limits = self.limits.last().and_then(|limits| limits.cpu.get(spec.workspace));
        let limit = limits.copied().filter(|cpu| *cpu > 0).unwrap_or(u32::MAX);
        spec.steps.iter().enumerate().all(|(index, step)| {
            // A gang that was accepted under a higher limit waits for one.
            let gang = step.need.cpu * step.count;
            if step.is_gang && u64::from(gang) * 10 > u64::from(limit) * 11 {
                return false;
            }
            let places = self.truths.iter().map(|(worker, truth)| {
                let fits = step.requirement.is_empty() || step.requirement == truth.kind;
                let is_allowed = !spec.with_advice || self.is_allowed(id, index as u32, worker);
                let places = if fits && is_allowed { truth.cpu / step.need.cpu } else { 0 };
                if step.spread > 0 { places.min(step.spread) } else { places }
            });
            places.sum::<u32>() >= if step.is_gang { step.count } else { 1 }
        })
    }

    /// Open jobs that the workers can hold.
    fn waiting_jobs(&self) -> Vec<Name> {
        let jobs = self.leader.scheduler.jobs.values();
        let open = jobs.filter(|job| job.phase == Phase::Open).map(|job| job.id.clone());
        let mut open: Vec<Name> = open.filter(|id| self.can_hold(id)).collect();
        open.sort();
        open
    }

    /// Ends the faults; then each job that the workers can hold has to end.
    fn settle_down(&mut self) {
        self.log(|| "the faults end".to_owned());
        self.is_calm = true;
        (self.store_down_until, self.advice_down_until) = Default::default();
        for id in self.ids() {
            let truth = self.truth(&id);
            (truth.refuses_until, truth.fails_until, truth.cut_until) = Default::default();
            self.deliver_late(&id);
            self.read_row(&id);
        }
        for number in 0..MAX_CALM_TURNS {
            if self.fault.is_some() {
                return;
            }
            if self.waiting_jobs().is_empty() {
                return self.log(|| "the last job has ended".to_owned());
            }
            let salt = hash(&format!("calm {}.{number}", self.seed));
            self.take_turn(&Turn { salt, action: Action::Idle, limit: None });
        }
        let waits = self.waiting_jobs().into_iter().map(|id| {
            let reason = self.leader.scheduler.first_wait_reason(&id, self.now);
            (id, reason)
        });
        let waits: Vec<_> = waits.collect();
        self.fail("waits", format!("still open: {waits:?}"));
    }
}

/// A short name of a task.
fn name(key: &TaskKey) -> String {
    format!("{}.{}.{}", key.job, key.step, key.index)
}

fn run_name(key: Option<&TaskKey>, run: u32) -> String {
    format!("{}#{run}", key.map(name).unwrap_or_default())
}

fn start_name(start: &StartOrder) -> String {
    format!("{} on {}", run_name(Some(&start.key), start.run), start.worker)
}
