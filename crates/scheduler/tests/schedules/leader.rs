//! What a leader does around its scheduler: commits, leases, orders and advice calls.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::Name;
use prost::Message;
use scheduler::{
    AdviceCall, AdviceCapacity, CallClass, Fate, Job, JobDiff, Listing, Loss, Phase, Refusal,
    Registration, Restored, Rules, RunState, Scheduler, Segment, SegmentBuilder, StartOrder,
    StopOrder, StoredState, TaskKey,
};

use crate::worker::{StartRequest, Ticket};

/// Longest lease.
pub const LEASE: Duration = Duration::from_secs(2);
/// Time after which a lease has expired for certain.
const LEASE_MARGIN: Duration = Duration::from_millis(100);
/// Daemons that make advice calls, each one at a time.
const ADVICE_DAEMONS: usize = 2;
/// Most sends of a start.
const MAX_SENDS: u32 = 3;

/// A worker's answer to a start.
#[derive(Debug, Clone, Copy)]
pub enum Answer {
    Done,
    Refused(Refusal),
    /// Nothing reached the worker.
    Unreachable,
    /// The start may take effect, or have done so.
    Unknown,
}

#[derive(Debug, Default)]
struct Lease {
    incarnation: u64,
    has_answered: bool,
    failures: u32,
    granted_until: Duration,
    /// End that may be forgotten by the worker, in its present incarnation.
    ack: u64,
    renewal_sent: Option<Duration>,
}

/// A renewal as it is sent to a worker.
#[derive(Debug)]
pub struct Renewal {
    pub lease_end: Option<Duration>,
    /// Incarnation whose ends may be forgotten, and up to which position.
    pub ack: (u64, u64),
}

/// Ends that a worker may forget once they are stored.
#[derive(Debug, Clone)]
pub struct Acknowledgement {
    pub worker: Name,
    pub incarnation: u64,
    pub position: u64,
}

/// Rows on their way to the store, and what follows from them.
#[derive(Debug)]
pub struct Commit {
    pub row: Vec<u8>,
    phases: Vec<(Name, Phase)>,
    starts: Vec<StartOrder>,
    pub acks: Vec<Acknowledgement>,
}

/// An advice call that a daemon makes.
#[derive(Debug)]
pub struct Call {
    pub call: AdviceCall,
    pub due: Duration,
    /// Whether its answer will not come.
    pub is_lost: bool,
}

#[derive(Debug)]
pub struct Leader {
    pub token: u64,
    pub scheduler: Scheduler,
    /// Workers that have listed their runs to this leader, by incarnation.
    pub known: BTreeSet<(Name, u64)>,
    leases: BTreeMap<Name, Lease>,
    since: Duration,
    changed: BTreeSet<Name>,
    stored: BTreeMap<Name, StoredState>,
    held_starts: Vec<StartOrder>,
    held_acks: Vec<Acknowledgement>,
    pub commit: Option<Commit>,
    /// Starts to send, with the number of sends before.
    pub starts: Vec<(StartOrder, u32)>,
    pub stops: Vec<StopOrder>,
    pub calls: Vec<Call>,
    free_at: [Duration; ADVICE_DAEMONS],
    /// Version of the rules that was known at the first send of each start.
    first_rules: BTreeMap<(TaskKey, u32), u64>,
}

impl Leader {
    /// A leader that has read the rows of the journal, and of the workers first or last.
    pub fn new(
        token: u64,
        rules: Rules,
        journal: &[Vec<u8>],
        workers: &[Registration],
        are_workers_first: bool,
        now: Duration,
    ) -> Self {
        let mut leader = Self {
            token,
            scheduler: Scheduler::default(),
            known: BTreeSet::new(),
            leases: BTreeMap::new(),
            since: now,
            changed: BTreeSet::new(),
            stored: BTreeMap::new(),
            held_starts: Vec::new(),
            held_acks: Vec::new(),
            commit: None,
            starts: Vec::new(),
            stops: Vec::new(),
            calls: Vec::new(),
            free_at: Default::default(),
            first_rules: BTreeMap::new(),
        };
        leader.scheduler.set_rules(rules);
        if are_workers_first {
            leader.register_all(workers);
        }
        for (id, mut job) in read_journal(journal) {
            job.arrived = now;
            leader.stored.insert(id, StoredState::of(&job));
            leader.scheduler.add_job(job);
        }
        leader.register_all(workers);
        leader
    }

    fn register_all(&mut self, workers: &[Registration]) {
        for worker in workers {
            self.scheduler.pool.register(worker.clone());
        }
    }

    fn lease(&mut self, id: &Name) -> &mut Lease {
        let granted_until = self.since + LEASE;
        let registered = self.scheduler.pool.get(id).map(|worker| worker.registration.incarnation);
        self.leases.entry(id.clone()).or_insert_with(|| Lease {
            granted_until,
            incarnation: registered.unwrap_or_default(),
            ..Lease::default()
        })
    }

    /// Runs a pass, if it is time for one, and takes what it requested.
    pub fn plan(&mut self, has_pass: bool, now: Duration) {
        if has_pass {
            let mut capacity = AdviceCapacity::default();
            for class in CallClass::ALL {
                for free_at in &self.free_at {
                    capacity.add_daemon(&[class], None, free_at.saturating_sub(now));
                }
            }
            self.scheduler.plan(now, Duration::ZERO, capacity);
        }
        for call in std::mem::take(&mut self.scheduler.advice_calls) {
            let free_at = self.free_at.iter_mut().min().expect("there are daemons");
            *free_at = now.max(*free_at) + call.expected_duration;
            self.calls.push(Call { call, due: *free_at, is_lost: false });
        }
        self.changed.append(&mut self.scheduler.changed_jobs);
        let mut starts = std::mem::take(&mut self.scheduler.starts);
        starts.sort_by(|one, other| one.key.cmp(&other.key));
        self.held_starts.extend(starts);
    }

    /// Takes the calls that are due.
    pub fn take_due_calls(&mut self, now: Duration) -> Vec<Call> {
        let (due, open) =
            std::mem::take(&mut self.calls).into_iter().partition(|call| call.due <= now);
        self.calls = open;
        due
    }

    /// Begins to store what has changed.
    pub fn begin_commit(&mut self) {
        let has_effects = !self.held_starts.is_empty() || !self.held_acks.is_empty();
        if self.commit.is_some() || (self.changed.is_empty() && !has_effects) {
            return;
        }
        let mut segment = SegmentBuilder::default();
        let mut phases = Vec::new();
        for id in std::mem::take(&mut self.changed) {
            let Some(job) = self.scheduler.jobs.get(&id) else { continue };
            phases.push((id.clone(), job.phase));
            let diff = match self.stored.get(&id) {
                Some(stored) => JobDiff::since(stored, job),
                None => JobDiff::full(job),
            };
            if diff.is_empty() {
                continue;
            }
            segment.add(&diff);
            if diff.is_full() {
                self.stored.insert(id, StoredState::of(job));
            } else if let Some(stored) = self.stored.get_mut(&id) {
                stored.apply(&diff);
            }
        }
        self.commit = Some(Commit {
            row: segment.finish(),
            phases,
            starts: std::mem::take(&mut self.held_starts),
            acks: std::mem::take(&mut self.held_acks),
        });
    }

    /// Does what waited for a commit; returns the jobs that it stored, and its phases.
    pub fn finish_commit(&mut self, commit: Commit) -> Vec<(Name, Phase)> {
        for (id, phase) in &commit.phases {
            if let Some(job) = self.scheduler.jobs.get_mut(id) {
                job.durable_phase = Some(*phase);
            }
        }
        for ack in commit.acks {
            let lease = self.lease(&ack.worker);
            if lease.incarnation == ack.incarnation {
                lease.ack = lease.ack.max(ack.position);
            }
        }
        self.starts.extend(commit.starts.into_iter().map(|start| (start, 0)));
        commit.phases
    }

    /// Whether a renewal to a worker is under way.
    pub fn is_renewing(&mut self, id: &Name) -> bool {
        self.lease(id).renewal_sent.is_some()
    }

    pub fn renew(&mut self, id: &Name, now: Duration) -> Renewal {
        let lease = self.lease(id);
        lease.renewal_sent = Some(now);
        let is_extended = lease.failures == 0;
        let lease_end = is_extended.then_some(now + LEASE);
        lease.granted_until = lease.granted_until.max(lease_end.unwrap_or_default());
        Renewal { lease_end, ack: (lease.incarnation, std::mem::take(&mut lease.ack)) }
    }

    pub fn record_failed_renewal(&mut self, id: &Name, now: Duration) {
        let lease = self.lease(id);
        lease.renewal_sent = None;
        lease.failures += 1;
        lease.ack = 0;
        if let Some(worker) = self.scheduler.pool.get_mut(id)
            && worker.is_reachable
        {
            worker.record_silence(now);
        }
    }

    pub fn apply_listing(&mut self, id: &Name, listing: &Listing, now: Duration) {
        let lease = self.lease(id);
        let sent = lease.renewal_sent.take().expect("a renewal was sent");
        let is_new_incarnation =
            listing.incarnation > lease.incarnation && lease.incarnation > 0 && lease.has_answered;
        if is_new_incarnation {
            lease.ack = 0;
        }
        lease.incarnation = lease.incarnation.max(listing.incarnation);
        lease.failures = 0;
        lease.has_answered = true;
        let incarnation = lease.incarnation;
        self.known.insert((id.clone(), incarnation));
        let position = self.scheduler.apply_listing(id, listing, is_new_incarnation, sent, now, 0);
        self.changed.append(&mut self.scheduler.changed_jobs);
        if position > 0 {
            self.held_acks.push(Acknowledgement { worker: id.clone(), incarnation, position });
        }
    }

    /// Abandons the runs of the workers whose leases have expired; returns these.
    pub fn abandon_expired(&mut self, now: Duration) -> Vec<Name> {
        let has_runs = |id: &&Name| {
            self.scheduler.pool.get(id).is_some_and(|worker| !worker.assignments.is_empty())
        };
        let is_expired =
            |lease: &Lease| lease.failures > 0 && now > lease.granted_until + LEASE_MARGIN;
        let expired = self.leases.iter().filter(|(_, lease)| is_expired(lease));
        let expired: Vec<Name> = expired.map(|(id, _)| id).filter(has_runs).cloned().collect();
        for id in &expired {
            self.scheduler.abandon_runs(id, Loss::Silence, now, 0);
        }
        expired
    }

    /// The request of a start, or none if it is withdrawn.
    pub fn prepare_start(
        &mut self,
        start: &StartOrder,
        sends: u32,
        now: Duration,
    ) -> Option<StartRequest> {
        let worker = self.scheduler.pool.get_mut(&start.worker)?;
        let assignment = worker.assignment_mut(&start.key, start.run)?;
        let is_first = match assignment.state {
            RunState::Committing => true,
            RunState::Sent => false,
            _ => return None,
        };
        let may_send = self.scheduler.may_send(start);
        let job = self.scheduler.jobs.get(&start.key.job)?;
        let needs_ticket = self.scheduler.queue(&job.queue).is_some_and(|q| q.advice.is_some());
        let ticket = job.ticket(start.key.step, &start.worker, now);
        let has_ended = job.phase != Phase::Open;
        let lacks_ticket = needs_ticket && ticket.is_none();
        if !may_send || has_ended || (lacks_ticket && is_first) {
            let refusal = if is_first && needs_ticket && (has_ended || lacks_ticket) {
                Refusal::Ticket
            } else {
                Refusal::Withdrawn
            };
            self.settle(start, refusal, now);
            return None;
        }
        // A start without an answer may have taken effect, so it is sent again under a lower limit.
        let known = self.scheduler.rules.as_ref().map_or(0, |rules| rules.version);
        let rules = *self.first_rules.entry((start.key.clone(), start.run)).or_insert(known);
        let lease = self.lease(&start.worker);
        let lease_end = now + LEASE;
        lease.granted_until = lease.granted_until.max(lease_end);
        let worker = self.scheduler.pool.get_mut(&start.worker)?;
        let assignment = worker.assignment_mut(&start.key, start.run)?;
        assignment.state = RunState::Sent;
        assignment.changed_at = now;
        assignment.fate.record_send();
        debug_assert!(sends < MAX_SENDS);
        // A repeated start may lack a ticket; its worker refuses it unless the run is there.
        let expired = || Ticket {
            job: start.key.job.clone(),
            step: start.key.step,
            worker: start.worker.clone(),
            incarnation: 0,
            expires_ms: 0,
        };
        let ticket = ticket.map(|ticket| Ticket::decode(&ticket));
        Some(StartRequest {
            start: start.clone(),
            token: self.token,
            lease_end,
            ticket: needs_ticket.then(|| ticket.unwrap_or_else(expired)),
            rules,
        })
    }

    fn fate_mut(&mut self, start: &StartOrder) -> Option<&mut Fate> {
        let worker = self.scheduler.pool.get_mut(&start.worker)?;
        Some(&mut worker.assignment_mut(&start.key, start.run)?.fate)
    }

    /// Applies the answer to a start.
    pub fn apply_answer(&mut self, start: &StartOrder, sends: u32, answer: Answer, now: Duration) {
        match answer {
            Answer::Done => self.scheduler.confirm_start(start, now),
            Answer::Refused(reason) => {
                if let Some(fate) = self.fate_mut(start) {
                    fate.record_without_effect(now);
                }
                self.settle(start, reason, now);
            }
            Answer::Unreachable => {
                if let Some(fate) = self.fate_mut(start) {
                    fate.record_without_effect(now);
                    self.scheduler.record_refusal(start, now);
                }
                if self.scheduler.not_started(start).is_some() {
                    self.mark_unreachable(&start.worker, now);
                    self.settle(start, Refusal::Unhealthy, now);
                } else {
                    self.resend(start, sends, now);
                }
            }
            Answer::Unknown => {
                if let Some(fate) = self.fate_mut(start) {
                    fate.record_unanswered(now);
                    self.scheduler.record_refusal(start, now);
                }
                self.resend(start, sends, now);
            }
        }
    }

    /// Sends a start again whose run may have started; stops the run after the last send.
    fn resend(&mut self, start: &StartOrder, sends: u32, now: Duration) {
        let worker = self.scheduler.pool.get_mut(&start.worker);
        let assignment = worker.and_then(|worker| worker.assignment_mut(&start.key, start.run));
        match assignment.map(|assignment| assignment.state) {
            Some(RunState::Stopping | RunState::Stopped) => {
                let StartOrder { key, run, worker } = start.clone();
                self.stops.push(StopOrder { key, run, worker });
            }
            Some(RunState::Sent) if sends < MAX_SENDS => self.starts.push((start.clone(), sends)),
            Some(RunState::Sent) => {
                self.mark_unreachable(&start.worker, now);
                self.settle(start, Refusal::Unhealthy, now);
            }
            _ => {}
        }
    }

    fn mark_unreachable(&mut self, id: &Name, now: Duration) {
        if let Some(worker) = self.scheduler.pool.get_mut(id) {
            worker.record_silence(now);
            worker.has_current_token = false;
        }
    }

    /// Releases a run that has not started; stops it if it may have.
    fn settle(&mut self, start: &StartOrder, reason: Refusal, now: Duration) {
        match self.scheduler.not_started(start) {
            Some(proof) if reason != Refusal::StaleRun => {
                self.scheduler.reject_start(start, proof, reason, now, 0);
            }
            _ if self.fate_mut(start).is_some_and(|fate| fate.is_seen()) => {}
            _ => self.scheduler.stop(start.key.clone(), start.run, start.worker.clone()),
        }
    }

    /// Takes the stops to send now.
    pub fn take_stops(&mut self) -> Vec<StopOrder> {
        self.stops.append(&mut self.scheduler.stops);
        let mut stops = std::mem::take(&mut self.stops);
        stops.sort_by(|one, other| (&one.key, one.run).cmp(&(&other.key, other.run)));
        stops.dedup();
        stops
    }

    /// Applies whether a worker answered a stop; one without an answer is sent again if needed.
    pub fn send_stop(
        &mut self,
        stop: StopOrder,
        now: Duration,
        deliver: impl FnOnce(&StopOrder) -> bool,
    ) {
        let worker = self.scheduler.pool.get_mut(&stop.worker);
        let assignment = worker.and_then(|worker| worker.assignment_mut(&stop.key, stop.run));
        let mark = assignment.map(|assignment| assignment.fate.mark_stop());
        let is_answered = deliver(&stop);
        if is_answered {
            if let Some(mark) = mark {
                self.scheduler.confirm_stop(&stop, mark, now);
            }
            return;
        }
        let worker = self.scheduler.pool.get(&stop.worker);
        let assignment = worker.and_then(|worker| worker.assignments.get(&stop.key));
        let needs_stop = assignment.filter(|run| run.run == stop.run).is_some_and(|run| {
            run.state == RunState::Stopping
                || (run.state == RunState::Stopped && run.fate.has_unanswered_send())
        });
        if needs_stop {
            self.stops.push(stop);
        }
    }
}

/// The jobs in the rows of a journal, in write order.
fn read_journal(journal: &[Vec<u8>]) -> BTreeMap<Name, Job> {
    let mut jobs: BTreeMap<Name, Job> = BTreeMap::new();
    for row in journal {
        let segment = Segment::decode(row.as_slice()).expect("the row is valid");
        segment.restore(|restored, _, workers| match restored {
            Restored::Job(job) => {
                jobs.insert(job.id.clone(), job);
            }
            Restored::Change(change) => {
                let job = jobs.get_mut(&*change.id).expect("the job is known");
                assert!(job.apply_states(change.states, workers), "the change is valid");
            }
            Restored::Invalid(id) => panic!("the record of {id} is invalid"),
        });
    }
    jobs
}
