//! Renewal of workers' leases, and the lists of runs that workers return with each renewal.
//!
//! The end of a lease is a reading of the worker's clock, which may run slow. The leader keeps
//! the latest lease end that it sent, and treats a lease as expired only once the slowest
//! possible clock must have passed that end. All this is known of one life of the worker: see
//! [`Life`]. A run whose start was not confirmed may be one of a later life that has not been heard of,
//! so it ends with the longest lease that may have been granted since.
//!
//! A new leader that cannot reach a worker waits for the longest lease from its claim on. So a
//! leader grants no lease that ends later than that after the store last confirmed that it leads:
//! it may have been replaced since, and still reach workers that the new leader cannot reach.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use common::Name;
use scheduler::{Assignment, Loss, Outcome, Registration, TaskKey};

use crate::action::Action;
use crate::event::{log_event, log_job_event};
use crate::input::RenewReply;
use crate::lead::life::{Life, Origin, longest_expiry};
use crate::lead::{Leader, journal::Effect};
use crate::load::Late;
use crate::meter::{Counter, Timing};
use crate::node::Context;

/// Longest time that a worker holds a renewal open while no run finishes.
const LONG_POLL_WAIT: Duration = Duration::from_secs(1);

/// Added to the long-poll wait to give the timeout of a renewal.
const RENEWAL_TIMEOUT_SLACK: Duration = Duration::from_millis(600);

/// Delay before a failed renewal is retried.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Longest time that the next renewal is held back until listed finished runs are durable.
const ACK_COMMIT_WAIT: Duration = Duration::from_millis(500);

/// Interval between renewals of a worker without runs.
const IDLE_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Most renewals that are sent after a batch of inputs, longest due first; the others follow
/// after the next ones.
///
/// A new leader renews the leases of all workers.
const MAX_RENEWALS_PER_BATCH: usize = 32;

/// Shortest time between two checks of whether a lease has expired.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// What a worker's lease needs.
#[derive(Debug)]
enum LeaseCheck {
    /// A renewal that was due at this time.
    Renew(Duration),
    /// The end of its runs, as it has expired.
    Expired,
    /// Nothing before this time; none if nothing is due without a change.
    Later(Option<Duration>),
}

/// Lease and renewal state of one worker.
#[derive(Debug)]
struct WorkerLease {
    /// Address that accepts orders; empty until it is known.
    address: Name,
    /// Life that its latest registration names.
    registered: u64,
    /// Life that sent its latest list of runs; 0 before the first.
    listed: u64,
    /// The latest life that was heard of.
    life: Life,
    /// End of the time within which the requests that extend a lease have been carried out or given up.
    extended_until: Duration,
    /// When the latest answer of the worker arrived; zero before the first.
    last_answer: Duration,
    /// Call number of the renewal under way, and when it was sent.
    renewal: Option<(u64, Duration)>,
    /// Earliest time of the next renewal.
    next_renewal: Duration,
    /// Failed renewals in a row.
    failures: u32,
    /// Its entry in the queue of due checks; none if it has none.
    next_check: Option<Duration>,
}

/// Leases of all known workers, and the renewals under way.
#[derive(Debug)]
pub(crate) struct Leases {
    workers: HashMap<Name, WorkerLease>,
    /// The worker of each renewal under way, by call number.
    renewals: HashMap<u64, Name>,
    /// Workers whose leases are to be checked after the current batch of inputs.
    unchecked: BTreeSet<Name>,
    /// Later checks by time.
    checks: BTreeSet<(Duration, Name)>,
    /// When this leader took over.
    elected_at: Duration,
    /// When the latest request was sent by which the store confirmed that this leader leads.
    confirmed_at: Duration,
    /// Time since then that the leader's clock did not count.
    uncounted: Duration,
    /// Whether the latest log event about the limit of leases is that it has passed.
    is_limit_passed: bool,
}

impl Leases {
    /// Creates the state of a leader that knows no workers yet.
    pub fn new(elected_at: Duration) -> Self {
        Self {
            workers: HashMap::new(),
            renewals: HashMap::new(),
            unchecked: BTreeSet::new(),
            checks: BTreeSet::new(),
            elected_at,
            confirmed_at: Duration::ZERO,
            uncounted: Duration::ZERO,
            is_limit_passed: false,
        }
    }

    /// Records that the store confirmed this leader by a request that was sent at a time.
    pub fn confirm(&mut self, sent: Duration) {
        if sent > self.confirmed_at {
            self.confirmed_at = sent;
            self.uncounted = Duration::ZERO;
        }
    }

    /// Adds a suspension, which the leader's clock did not count.
    pub fn add_suspension(&mut self, suspended_for: Duration) {
        self.uncounted += suspended_for;
    }

    /// Latest time at which a lease may end, by the leader's clock.
    fn limit(&self, ctx: &Context) -> Duration {
        (self.confirmed_at + ctx.config.max_lease).saturating_sub(self.uncounted)
    }

    /// Logs when leases are no longer extended, and when they are extended again.
    pub fn log_limit(&mut self, ctx: &Context, epoch: u64) {
        let is_passed = ctx.now >= self.limit(ctx);
        if is_passed == self.is_limit_passed {
            return;
        }
        self.is_limit_passed = is_passed;
        if is_passed {
            log_event!(ctx, LeasesNotExtended, "epoch" => epoch);
        } else {
            log_event!(ctx, LeasesExtended, "epoch" => epoch);
        }
    }

    /// Makes the checks that are due unchecked.
    fn take_due(&mut self, now: Duration) {
        while self.checks.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = self.checks.pop_first() else { return };
            if let Some(lease) = self.workers.get_mut(&id) {
                lease.next_check = None;
            }
            self.unchecked.insert(id);
        }
    }

    /// Replaces the time of a worker's next check.
    fn schedule_check(&mut self, id: &Name, next_check: Option<Duration>) {
        let Some(lease) = self.workers.get_mut(id) else { return };
        if lease.next_check == next_check {
            return;
        }
        if let Some(former) = std::mem::replace(&mut lease.next_check, next_check) {
            self.checks.remove(&(former, id.clone()));
        }
        if let Some(at) = next_check {
            self.checks.insert((at, id.clone()));
        }
    }

    /// A worker's lease, which is checked again after the current batch of inputs.
    fn get_mut(&mut self, id: &str) -> Option<&mut WorkerLease> {
        let lease = self.workers.get_mut(id)?;
        self.unchecked.insert(Name::new(id));
        Some(lease)
    }

    /// Adds a newly registered worker, or updates the address and the life of a known one.
    ///
    /// The list of workers tells of changes in their order, so the registration is a later one.
    pub fn update_registration(&mut self, ctx: &Context, registration: &Registration) {
        if let Some(lease) = self.workers.get_mut(&registration.id) {
            self.unchecked.insert(registration.id.clone());
            lease.address = registration.address.clone();
            lease.update_registered(ctx, registration);
            return;
        }
        log_event!(ctx, WorkerListed, "worker" => %registration.id,
            "born" => registration.incarnation, "cpu" => registration.capacity.cpu,
            "mem" => registration.capacity.mem);
        let lease = WorkerLease::new(registration, self.elected_at, ctx.now);
        self.workers.insert(registration.id.clone(), lease);
    }

    /// Removes a worker and its lease.
    pub fn remove(&mut self, id: &str) {
        if let Some((id, lease)) = self.workers.remove_entry(id)
            && let Some(at) = lease.next_check
        {
            self.checks.remove(&(at, id));
        }
    }

    /// The address at which a worker accepts orders.
    pub fn address(&self, id: &str) -> Option<Name> {
        self.workers.get(id).map(|lease| lease.address.clone())
    }

    /// Extends a worker's lease for an order with a timeout and returns its end, in the worker's ms.
    pub fn extend_lease(&mut self, ctx: &Context, id: &str, timeout: Duration) -> Option<u64> {
        let limit = self.limit(ctx);
        self.workers.get_mut(id)?.extend(ctx.now, limit, timeout)
    }

    /// Updates a worker's clock from the reply to an order sent at `sent`, which may be the first that
    /// is heard of a later life; 0 if the reply has no reading.
    pub fn update_clock(&mut self, ctx: &Context, id: &str, clock_ms: u64, sent: Duration) {
        let Some(lease) = self.get_mut(id) else { return };
        lease.last_answer = ctx.now;
        if clock_ms == 0 {
            return;
        }
        match lease.life.origin(clock_ms, sent) {
            Origin::Known => {}
            Origin::Later => {
                log_event!(ctx, LaterLifeAnswered, "worker" => id, "born" => lease.life.incarnation,
                    "clock_ms" => clock_ms, "known_clock_ms" => lease.life.clock_ms());
                lease.begin_life(0, ctx.now);
                lease.next_renewal = lease.next_renewal.min(ctx.now);
            }
            Origin::Unclear => return,
        }
        lease.life.record_reading(clock_ms, ctx.now, ctx.config.max_lease);
    }

    /// Whether a worker has answered since `sent`, so that a reply to a request sent then does not
    /// prove that it is gone.
    pub fn has_answered_since(&self, id: &str, sent: Duration) -> bool {
        self.workers.get(id).is_some_and(|lease| lease.last_answer > sent)
    }

    /// Acknowledges finished runs up to a durable position with the worker's next renewal.
    pub fn acknowledge(&mut self, now: Duration, id: &str, incarnation: u64, position: u64) {
        if let Some(lease) = self.get_mut(id).filter(|lease| lease.life.incarnation == incarnation)
        {
            lease.life.ack_position = lease.life.ack_position.max(position);
            lease.next_renewal = lease.next_renewal.min(now);
        }
    }

    /// Makes a worker's next renewal due now.
    pub fn renew_soon(&mut self, id: &str, now: Duration) {
        if let Some(lease) = self.get_mut(id) {
            lease.next_renewal = lease.next_renewal.min(now);
        }
    }
}

impl WorkerLease {
    fn new(registration: &Registration, elected_at: Duration, now: Duration) -> Self {
        Self {
            address: registration.address.clone(),
            registered: registration.incarnation,
            listed: 0,
            // Former leaders' leases are counted from when this one took over.
            life: Life::new(registration.incarnation, now, elected_at),
            extended_until: Duration::ZERO,
            last_answer: Duration::ZERO,
            renewal: None,
            next_renewal: now,
            failures: 0,
            next_check: None,
        }
    }

    /// Replaces what is known of the worker by a later life, which may still carry out the orders that
    /// are under way.
    fn begin_life(&mut self, incarnation: u64, now: Duration) {
        self.life = Life::new(incarnation, now, self.extended_until.max(now));
    }

    /// Begins a life that a registration is the first to name; its next list decides.
    ///
    /// A life that only a reply to an order has told of has no name yet, so it may be this one.
    fn update_registered(&mut self, ctx: &Context, registration: &Registration) {
        let incarnation = registration.incarnation;
        let is_new = incarnation != self.registered && incarnation != self.life.incarnation;
        self.registered = incarnation;
        if is_new && incarnation > 0 && self.life.incarnation > 0 {
            log_event!(ctx, WorkerRegisteredAnew, "worker" => %registration.id,
                "born" => incarnation, "former_born" => self.life.incarnation,
                "known_clock_ms" => self.life.clock_ms());
            self.begin_life(incarnation, ctx.now);
            self.next_renewal = self.next_renewal.min(ctx.now);
        }
    }

    /// Extends the lease from now, up to a limit, by a request with a timeout.
    ///
    /// Returns its end, in the worker's ms; none until the worker's clock is known.
    fn extend(&mut self, now: Duration, limit: Duration, timeout: Duration) -> Option<u64> {
        let end = self.life.extend(now, limit)?;
        self.extended_until = self.extended_until.max(now + timeout);
        Some(end)
    }

    /// When a run has ended unless the lease is extended.
    fn run_expires_at(&self, run: &Assignment, max_lease: Duration) -> Duration {
        let expiry = self.life.expires_at(max_lease);
        if run.fate.is_unconfirmed() {
            return expiry.max(self.extended_until + longest_expiry(max_lease));
        }
        expiry
    }

    /// Whether a list comes from the life that is known, and not from another one of its name.
    fn is_listed_by_known(&self, incarnation: u64, clock_ms: u64, sent: Duration) -> bool {
        let known = self.life.incarnation;
        let may_be_known = known == incarnation || known == 0 || incarnation == 0;
        may_be_known && self.life.origin(clock_ms, sent) != Origin::Later
    }
}

impl Leader {
    /// Sends due renewals, and abandons the runs of workers whose leases expired.
    ///
    /// Only workers that have changed and those with something due are visited.
    pub(super) fn renew_leases(&mut self, ctx: &mut Context) {
        self.leases.unchecked.extend(self.scheduler.pool.take_changed());
        self.leases.take_due(ctx.now);
        let mut due = BTreeSet::new();
        let unchecked = std::mem::take(&mut self.leases.unchecked);
        let checked = unchecked.len() as u64;
        for id in unchecked {
            match self.check_lease(ctx, &id) {
                LeaseCheck::Renew(due_at) => {
                    due.insert((due_at, id));
                }
                LeaseCheck::Expired => self.abandon_expired_runs(ctx, &id),
                LeaseCheck::Later(next_check) => self.leases.schedule_check(&id, next_check),
            }
        }
        let renewed = due.len().min(MAX_RENEWALS_PER_BATCH);
        for _ in 0..renewed {
            let Some((_, id)) = due.pop_first() else { break };
            self.send_renewal(ctx, &id);
        }
        self.leases.unchecked.extend(due.into_iter().map(|(_, id)| id));
        ctx.load.record_leases(checked, renewed as u64);
    }

    /// Determines what a worker's lease needs now.
    fn check_lease(&mut self, ctx: &Context, id: &Name) -> LeaseCheck {
        let Some(worker) = self.scheduler.pool.get(id) else { return LeaseCheck::Later(None) };
        let elected_at = self.leases.elected_at;
        let lease = self
            .leases
            .workers
            .entry(id.clone())
            .or_insert_with(|| WorkerLease::new(&worker.registration, elected_at, ctx.now));
        let has_runs = !worker.assignments.is_empty();
        let may_expire = has_runs && (lease.failures > 0 || lease.address.is_empty());
        let run_expiry = |run| lease.run_expires_at(run, ctx.config.max_lease);
        let expiry =
            if may_expire { worker.assignments.values().map(run_expiry).min() } else { None };
        if expiry.is_some_and(|at| at <= ctx.now) {
            return LeaseCheck::Expired;
        }
        let expiry = expiry.map(|at| at.max(ctx.now + MIN_CHECK_INTERVAL));
        if lease.renewal.is_some() || lease.address.is_empty() {
            return LeaseCheck::Later(expiry);
        }
        let needs_renewal =
            !worker.has_current_token || has_runs || lease.life.unacked_position > 0;
        let idle_interval = if needs_renewal { Duration::ZERO } else { IDLE_RENEWAL_INTERVAL };
        let due_at = lease.next_renewal + idle_interval;
        if ctx.now >= due_at {
            return LeaseCheck::Renew(due_at);
        }
        LeaseCheck::Later(Some(expiry.map_or(due_at, |at| at.min(due_at))))
    }

    /// Sends a renewal to a worker.
    fn send_renewal(&mut self, ctx: &mut Context, id: &Name) {
        let Some(worker) = self.scheduler.pool.get(id) else { return };
        let max_connections = self.scheduler.max_connections(&worker.registration.service);
        let limit = self.leases.limit(ctx);
        let Some(lease) = self.leases.workers.get_mut(id) else { return };
        let has_runs = !worker.assignments.is_empty();
        let ack = std::mem::take(&mut lease.life.ack_position);
        let is_settled =
            worker.has_current_token && lease.failures == 0 && lease.life.unacked_position <= ack;
        let max_wait = if is_settled && has_runs { LONG_POLL_WAIT } else { Duration::ZERO };
        // The lease of an unresponsive worker is not extended, so that it expires and the
        // worker's runs can be abandoned.
        let timeout = max_wait + RENEWAL_TIMEOUT_SLACK;
        let lease_end_ms =
            if lease.failures == 0 { lease.extend(ctx.now, limit, timeout) } else { None };
        let call = ctx.next_call_id();
        lease.renewal = Some((call, ctx.now));
        self.leases.renewals.insert(call, id.clone());
        ctx.actions.push(Action::Renew {
            call,
            worker: id.clone(),
            address: lease.address.clone(),
            max_connections,
            fencing_token: self.epoch,
            lease_end_ms,
            acked_position: ack,
            incarnation: lease.life.incarnation,
            max_wait,
            timeout,
        });
        // Its expiry, if any, is due before the reply.
        self.leases.unchecked.insert(id.clone());
    }

    /// Abandons the runs of an unresponsive worker whose leases have expired.
    fn abandon_expired_runs(&mut self, ctx: &mut Context, id: &Name) {
        let (now, max_lease) = (ctx.now, ctx.config.max_lease);
        let Some(worker) = self.scheduler.pool.get(id) else { return };
        let Some(lease) = self.leases.workers.get(id) else { return };
        let expired = worker.assignments.iter();
        let expired = expired.filter(|(_, run)| lease.run_expires_at(run, max_lease) <= now);
        let expired: BTreeSet<TaskKey> = expired.map(|(key, _)| key.clone()).collect();
        let kept = worker.assignments.len() - expired.len();
        let led_for = now.saturating_sub(self.elected_at);
        log_event!(ctx, WorkerRunsAbandoned, "worker" => %id, "reason" => "lease expired",
            "epoch" => self.epoch, "answered" => lease.life.has_answered(),
            "born" => lease.life.incarnation, "clock_ms" => lease.life.clock_ms(),
            "lease_end_ms" => lease.life.lease_end_ms(), "unconfirmed" => kept,
            "led_ms" => led_for.as_millis() as u64);
        self.abandon_runs_of(ctx, id, Loss::Silence, |key| expired.contains(key));
    }

    /// Abandons all runs of a worker, whose tasks are then placed again.
    pub(super) fn abandon_runs(&mut self, ctx: &mut Context, id: &Name, loss: Loss) {
        self.abandon_runs_of(ctx, id, loss, |_| true);
    }

    /// Abandons the runs of some tasks on a worker.
    fn abandon_runs_of(
        &mut self,
        ctx: &mut Context,
        id: &Name,
        loss: Loss,
        is_meant: impl Fn(&TaskKey) -> bool,
    ) {
        ctx.meter.add(Counter::Workers, "written_off", 1);
        let store_clock_ms = self.store_time_ms(ctx.now);
        let worker = self.scheduler.pool.get(id);
        let is_draining = worker.is_some_and(|worker| worker.registration.is_draining);
        let loss = if is_draining { Loss::Departure } else { loss };
        self.scheduler.abandon_runs_of(id, loss, is_meant, ctx.now, store_clock_ms);
        self.log_losses(ctx);
        if self.scheduler.pool.get(id).is_none() {
            self.leases.remove(id);
        }
        self.needs_placement = true;
    }

    /// Abandons the runs of a worker in whose place another incarnation answered a request sent at
    /// `sent`; false if the worker has answered since, perhaps at another address.
    pub(super) fn abandon_if_gone(&mut self, ctx: &mut Context, id: &Name, sent: Duration) -> bool {
        if self.leases.has_answered_since(id, sent) {
            return false;
        }
        log_event!(ctx, WorkerRunsAbandoned, "worker" => %id,
            "reason" => "another incarnation answers");
        self.scheduler.mark_unlisted(id);
        self.abandon_runs(ctx, id, Loss::Crash);
        true
    }

    /// Applies the reply to a renewal: the worker's lists, or a failure.
    pub(super) fn apply_renewal_reply(&mut self, ctx: &mut Context, call: u64, reply: RenewReply) {
        let Some(id) = self.leases.renewals.remove(&call) else {
            ctx.load.count_late(Late::Renewal);
            return;
        };
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let Some((_, sent)) = lease.renewal.take_if(|(own, _)| *own == call) else { return };
        match reply {
            RenewReply::Renewed { clock_ms, listing } => {
                self.apply_listing(ctx, &id, sent, clock_ms, &listing);
            }
            RenewReply::Fenced => {
                lease.next_renewal = ctx.now + RENEWAL_RETRY_DELAY;
                self.journal.request_commit();
            }
            RenewReply::OtherIncarnation => {
                lease.next_renewal = ctx.now;
                self.abandon_if_gone(ctx, &id, sent);
            }
            RenewReply::Refused | RenewReply::Failed => {
                let is_refusal = matches!(reply, RenewReply::Refused);
                lease.failures += 1;
                lease.life.ack_position = 0;
                lease.next_renewal = ctx.now + RENEWAL_RETRY_DELAY;
                if let Some(worker) = self.scheduler.pool.get_mut(&id)
                    && worker.is_reachable
                {
                    worker.record_silence(ctx.now);
                    ctx.meter.add(Counter::Workers, "lost", 1);
                    log_event!(ctx, WorkerLost, "worker" => %id,
                        "reason" => if is_refusal { "connection refused" } else { "no answer" },
                        "holds" => worker.assignments.len());
                }
            }
        }
    }

    /// Applies a worker's lists of running and finished runs to the scheduler.
    fn apply_listing(
        &mut self,
        ctx: &mut Context,
        id: &Name,
        sent: Duration,
        clock_ms: u64,
        listing: &scheduler::Listing,
    ) {
        let Some(lease) = self.leases.workers.get_mut(id) else { return };
        let now = ctx.now;
        lease.last_answer = now;
        let is_known = lease.is_listed_by_known(listing.incarnation, clock_ms, sent);
        if !is_known && lease.life.may_be_former(sent) {
            log_event!(ctx, FormerLifeAnswered, "worker" => %id, "born" => listing.incarnation,
                "known_born" => lease.life.incarnation);
            lease.next_renewal = now;
            return;
        }
        let is_new_incarnation = lease.listed > 0
            && listing.incarnation > 0
            && (listing.incarnation != lease.listed || !is_known);
        if is_new_incarnation {
            log_event!(ctx, WorkerRestarted, "worker" => %id, "born" => listing.incarnation);
        }
        if !is_known {
            lease.begin_life(listing.incarnation, now);
        }
        if listing.incarnation > 0 {
            lease.life.incarnation = listing.incarnation;
        }
        lease.listed = lease.life.incarnation;
        if lease.failures > 0 {
            log_event!(ctx, WorkerRecovered, "worker" => %id, "failures" => lease.failures);
        }
        lease.failures = 0;
        lease.life.record_reading(clock_ms, now, ctx.config.max_lease);
        let incarnation = lease.life.incarnation;
        let store_clock_ms = self.store_time_ms(now);
        let position = self.scheduler.apply_listing(
            id,
            listing,
            is_new_incarnation,
            sent,
            now,
            store_clock_ms,
        );
        self.log_ended_runs(ctx, id);
        self.log_losses(ctx);
        if self.scheduler.pool.get(id).is_some_and(|worker| !worker.is_described()) {
            self.workers_watch_at = self.workers_watch_at.map(|at| at.min(now));
        }
        let Some(lease) = self.leases.workers.get_mut(id) else { return };
        lease.next_renewal = now;
        lease.life.unacked_position = position;
        if position > 0 && position > lease.life.ack_position {
            lease.next_renewal = now + ACK_COMMIT_WAIT;
            self.journal.enqueue(std::mem::take(&mut self.scheduler.changed_jobs));
            self.journal.defer(Effect::AcknowledgeFinishedRuns {
                worker: id.clone(),
                incarnation,
                position,
            });
        }
    }

    /// Logs and counts the runs that were lost with their worker, what became of silent workers, and the
    /// jobs that failed for it.
    pub(super) fn log_losses(&mut self, ctx: &mut Context) {
        self.log_lost_runs(ctx);
        self.log_crashing_tasks(ctx);
    }

    /// Logs and counts the runs that were lost with their worker, and what became of silent workers.
    fn log_lost_runs(&mut self, ctx: &mut Context) {
        for lost in std::mem::take(&mut self.scheduler.lost_runs) {
            let (key, loss) = (&lost.key, loss_label(lost.loss));
            ctx.meter.add(Counter::RunsLost, loss, 1);
            log_job_event!(ctx, &key.job, RunLost, "step" => key.step, "index" => key.index,
                "run" => lost.run, "worker" => %lost.worker, "reason" => loss,
                "confirmed" => lost.is_confirmed, "ran_ms" => lost.ran_for.as_millis() as u64,
                "together" => lost.lost_together, "epoch" => self.epoch);
        }
        for explained in std::mem::take(&mut self.scheduler.explanations) {
            let (key, loss) = (&explained.key, explained.loss.map_or("alive", loss_label));
            ctx.meter.add(Counter::SilencesExplained, loss, 1);
            log_job_event!(ctx, &key.job, SilenceExplained, "step" => key.step,
                "index" => key.index, "worker" => %explained.worker, "reason" => loss,
                "epoch" => self.epoch);
        }
    }

    /// Logs the tasks whose jobs failed as workers crashed under them.
    fn log_crashing_tasks(&mut self, ctx: &Context) {
        for key in std::mem::take(&mut self.scheduler.crashing_tasks) {
            let job = self.scheduler.jobs.get(&key.job);
            let step = job.and_then(|job| job.steps.get(key.step as usize));
            let task = step.and_then(|step| step.tasks.get(key.index as usize));
            let (crashes, doubtful) =
                task.map_or((0, 0), |task| (task.crashes, task.doubtful_crashes));
            log_event!(ctx, TaskCrashesWorkers, "job" => %key.job, "step" => key.step,
                "index" => key.index, "crashes" => crashes, "doubtful" => doubtful,
                "epoch" => self.epoch);
        }
    }

    /// Logs and counts the runs that a worker listed as finished.
    fn log_ended_runs(&mut self, ctx: &mut Context, worker: &Name) {
        for ended in std::mem::take(&mut self.scheduler.ended_runs) {
            let outcome = outcome_label(ended.outcome);
            ctx.meter.add(Counter::RunsEnded, outcome, 1);
            if ended.outcome == Outcome::Done {
                ctx.meter.record_duration(Timing::Run, ended.run_time);
            }
            let key = &ended.key;
            log_job_event!(ctx, &key.job, TaskEnded, "step" => key.step, "index" => key.index,
                "run" => ended.run, "worker" => %worker, "how" => outcome,
                "ran_ms" => ended.run_time.as_millis() as u64, "epoch" => self.epoch);
        }
    }
}

/// The label of a loss in logs and metrics.
fn loss_label(loss: Loss) -> &'static str {
    match loss {
        Loss::Crash => "crash",
        Loss::Departure => "departure",
        Loss::Silence => "silence",
    }
}

/// The label of a run's outcome in logs and metrics.
fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Failed => "failed",
        Outcome::Stopped => "stopped",
        Outcome::LeaseExpired => "lapsed",
        Outcome::GangBroken => "broken",
        Outcome::GangTimedOut => "alone",
    }
}
