//! The leader: accepts requests, keeps the pool's state durable and sends orders to the workers.
//!
//! [`Leader`] holds the scheduler and passes each input to the part that handles it: `requests`
//! from callers, `peers` for followers, `journal` for commits, `leases` and `orders` for
//! workers, `advice` for advice calls, `watch` for rules and the list of workers. `recovery`
//! reads the state of the previous leader. `measure` and `views` report to operators.

mod access;
mod advice;
mod journal;
mod leases;
mod life;
mod measure;
mod orders;
mod peers;
mod recovery;
mod requests;
mod views;
mod watch;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use scheduler::{Scheduler, StoredState, WaitReason};

use crate::Body;
use crate::action::Action;
use crate::answer::Answer;
use crate::event::log_event;
use crate::frame::Resignation;
use crate::head::Head;
use crate::input::{AdviceResult, Input, OrderReply, PeerEvent, RenewReply};
use crate::load::{Late, Work};
use crate::meter::Counter;
use crate::node::Context;
use crate::store::{CommitResult, Page};

use access::Denials;
use advice::AdviceCalls;
use journal::{CommitOutcome, Effect, Journal};
use leases::Leases;
use orders::Orders;
use peers::Peers;
use recovery::Recovery;

pub(crate) use requests::Caller;

/// Shortest interval between two placement passes.
const MIN_PLACEMENT_INTERVAL: Duration = Duration::from_millis(5);

/// Added to the interval per open job, as a pass visits all of them.
const PLACEMENT_INTERVAL_PER_JOB: Duration = Duration::from_micros(50);

/// Least time from a pass to the next one, as a multiple of the time that the pass took.
const PLACEMENT_REST_FACTOR: u32 = 1;

/// Longest interval that follows from the time that a pass took.
///
/// The process may have been suspended during the pass.
const MAX_COST_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between placement passes while nothing changes, as tickets and quarantines expire.
const IDLE_PLACEMENT_INTERVAL: Duration = Duration::from_millis(50);

/// Most ended jobs that are removed in one pass.
const MAX_REMOVED_PER_PASS: usize = 1000;

/// Interval between passes that remove ended jobs.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(1);

/// Mean timer lag from which a leader may be too slow.
///
/// The usual lag is the timer's resolution, 1 ms.
const SLOW_LAG_THRESHOLD: Duration = Duration::from_millis(5);

/// Least ratio of the leader's timer lag to that of the follower that replaces it.
const SLOW_LAG_RATIO: u32 = 3;

/// How long a leader must be too slow continuously before it resigns.
const SLOW_RESIGN_DELAY: Duration = Duration::from_millis(400);

/// Time after a takeover in which the lag is ignored, as recovery needs CPU time.
const SLOW_CHECK_GRACE: Duration = Duration::from_secs(6);

/// Shortest time between two resignations for slowness.
///
/// If the next leader soon falls behind too, the load is too high for any daemon, and each
/// change of leader adds to it.
const SLOW_RESIGN_COOLDOWN: Duration = Duration::from_mins(1);

/// Longest stall of the event loop that does not count as time without a commit.
const MAX_IGNORED_STALL: Duration = Duration::from_millis(1400);

/// How long a larger follower must have been joined before leadership is released to it.
const PROMOTION_DELAY: Duration = Duration::from_secs(3);

/// Shortest time between two releases to a larger follower.
///
/// It limits changes of leader if the larger daemon fails again and again.
const PROMOTION_COOLDOWN: Duration = Duration::from_secs(20);

/// Latest known reading of the store's clock.
#[derive(Debug, Clone, Copy)]
struct StoreClock {
    /// The reading, in ms.
    store_clock_ms: u64,
    /// When the reading arrived, by the leader's clock.
    received_at: Duration,
}

impl StoreClock {
    /// The store's time now, in ms.
    fn ms_at(&self, now: Duration) -> u64 {
        self.store_clock_ms + now.saturating_sub(self.received_at).as_millis() as u64
    }
}

/// State of a daemon that leads.
#[derive(Debug)]
pub(crate) struct Leader {
    /// Epoch in which it leads, and the fencing token of its orders.
    epoch: u64,
    scheduler: Scheduler,
    journal: Journal,
    leases: Leases,
    orders: Orders,
    advice_calls: AdviceCalls,
    peers: Peers,
    /// Recovery under way; none once the leader may accept requests.
    recovery: Option<Recovery>,
    store_clock: StoreClock,
    /// Answers to callers of this daemon, by request number.
    local_answers: Vec<(u64, Answer)>,
    /// When the next watch of the rules starts; none while one runs.
    rules_watch_at: Option<Duration>,
    /// Position at which the watch resumes; none to read everything.
    rules_cursor: Option<u64>,
    /// When the next watch of the worker list starts; none while one runs.
    workers_watch_at: Option<Duration>,
    /// Position at which the watch resumes; none to read the full list.
    workers_cursor: Option<u64>,
    /// When the watch under way was sent.
    workers_watch_sent: Duration,
    /// When the latest watch was sent by which the whole list of workers is known.
    workers_known_at: Duration,
    /// When the latest placement pass ran.
    last_placement: Duration,
    /// Time that it took.
    placement_cost: Duration,
    /// Whether something changed since the latest placement pass.
    needs_placement: bool,
    /// When ended jobs were last removed.
    last_removal: Duration,
    /// Whether another daemon leads, or leadership was released.
    has_stepped_down: bool,
    /// Whether it is releasing leadership; it accepts no requests and places no tasks.
    is_resigning: bool,
    /// The follower for which it releases leadership; none if any may follow.
    successor: Option<common::Name>,
    /// When leadership became uncertain; none while it is confirmed.
    unconfirmed_since: Option<Duration>,
    /// When the latest commit was confirmed, by the loop clock.
    last_durable: Duration,
    /// When it became leader.
    elected_at: Duration,
    /// Since when its timer lags behind a follower's; none while it does not.
    slow_since: Option<Duration>,
    /// The reason last logged for each overdue job that waits.
    logged_waits: HashMap<common::Name, WaitReason>,
    /// When workspaces were last logged to be at their limits.
    logged_limits: HashMap<common::Name, Duration>,
    /// Jobs of which a checkpoint that was too long has been logged.
    logged_checkpoints: BTreeSet<common::Name>,
    /// When overdue jobs were last checked.
    waits_logged_at: Duration,
    denials: Denials,
}

impl Leader {
    /// Creates a leader from its newly claimed head row, and starts recovery.
    pub fn new(
        ctx: &mut Context,
        head: Head,
        version: u64,
        store_clock_ms: u64,
        members: &[common::Name],
    ) -> Self {
        let now = ctx.now;
        let mut leader = Self {
            epoch: head.epoch,
            scheduler: Scheduler::default(),
            journal: Journal::new(head, version, now, ctx.config.initial_commit_latency),
            leases: Leases::new(now),
            orders: Orders::default(),
            advice_calls: AdviceCalls::default(),
            peers: Peers::with_expected(members, &ctx.config.peer_address, now),
            recovery: None,
            store_clock: StoreClock { store_clock_ms, received_at: now },
            local_answers: Vec::new(),
            rules_watch_at: Some(now),
            rules_cursor: None,
            workers_watch_at: Some(now),
            workers_cursor: None,
            workers_watch_sent: now,
            workers_known_at: Duration::ZERO,
            last_placement: Duration::ZERO,
            placement_cost: Duration::ZERO,
            needs_placement: true,
            last_removal: now,
            has_stepped_down: false,
            is_resigning: false,
            successor: None,
            unconfirmed_since: None,
            last_durable: ctx.loop_clock.now(),
            elected_at: now,
            slow_since: None,
            logged_waits: HashMap::new(),
            logged_limits: HashMap::new(),
            logged_checkpoints: BTreeSet::new(),
            waits_logged_at: now,
            denials: Denials::default(),
        };
        leader.recovery = Some(Recovery::start(ctx));
        // An immediate commit changes the head row and shows others that its owner is alive.
        leader.journal.request_commit();
        leader
    }

    /// Epoch in which it leads.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether it accepts requests.
    pub fn is_serving(&self) -> bool {
        self.recovery.is_none() && !self.is_resigning && self.scheduler.rules.is_some()
    }

    /// Whether another daemon leads, or leadership was released.
    pub fn has_stepped_down(&self) -> bool {
        self.has_stepped_down
    }

    /// The scheduler's state.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Takes the answers to callers of this daemon.
    pub fn take_local_answers(&mut self) -> Vec<(u64, Answer)> {
        std::mem::take(&mut self.local_answers)
    }

    /// Starts to release leadership.
    pub fn resign(&mut self) {
        self.is_resigning = true;
        self.journal.release_leadership();
    }

    /// Records that a request to the store that was sent at a time has confirmed leadership.
    ///
    /// The clock does not tell the age of a request that was sent before a suspension.
    pub fn confirm_leadership(&mut self, ctx: &Context, sent: Duration) {
        if sent >= ctx.resumed_at {
            self.leases.confirm(sent);
        }
    }

    /// Lets what is known and confirmed age by a suspension, which the clock did not count.
    pub fn add_suspension(&mut self, suspended_for: Duration) {
        self.leases.add_suspension(suspended_for);
        self.workers_watch_sent = self.workers_watch_sent.saturating_sub(suspended_for);
        self.workers_known_at = self.workers_known_at.saturating_sub(suspended_for);
    }

    /// Holds back starts until a new commit confirms leadership.
    pub fn require_confirmation(&mut self, now: Duration) {
        self.unconfirmed_since = Some(now);
        self.journal.request_commit();
    }

    /// The store's time now, in ms.
    fn store_time_ms(&self, now: Duration) -> u64 {
        self.store_clock.ms_at(now)
    }

    /// Handles the rows of a read; none if the store did not answer.
    pub fn handle_read(&mut self, ctx: &mut Context, call: u64, page: Option<Page>) {
        let outcome = self.journal.handle_head_read(ctx, call, page.as_ref());
        self.apply_outcome(ctx, outcome);
        if let Some(recovery) = &mut self.recovery {
            recovery.handle_page(ctx, call, page);
        }
    }

    /// Continues the recovery and ends it once the leader may accept requests.
    fn advance_recovery(&mut self, ctx: &mut Context) {
        let Some(recovery) = &mut self.recovery else { return };
        recovery.read_if_due(ctx);
        for (id, mut recovered) in recovery.advance(ctx) {
            let now_ms = self.store_clock.ms_at(ctx.now);
            let age = Duration::from_millis(now_ms.saturating_sub(recovered.job.arrived_ms));
            recovered.job.arrived = ctx.now.saturating_sub(age);
            let state = StoredState::of(&recovered.job);
            self.journal.restore_job(id, recovered.row, recovered.size, state);
            self.scheduler.add_job(recovered.job);
        }
        if !recovery.is_done() {
            return;
        }
        for (row, size) in recovery.take_rows() {
            self.journal.add_row(row, size);
        }
        self.journal.finish_restoring();
        if self.workers_cursor.is_some() {
            self.recovery = None;
            let took = ctx.now.saturating_sub(self.elected_at);
            log_event!(ctx, AcceptingRequests, "epoch" => self.epoch,
                "jobs" => self.scheduler.jobs.len(), "bytes" => self.journal.size(),
                "took_ms" => took.as_millis() as u64);
            let store_clock_ms = self.store_time_ms(ctx.now);
            self.scheduler.explain_silences(store_clock_ms);
            self.log_losses(ctx);
        }
    }

    /// Handles replies of watches, orders and renewals.
    pub fn handle_input(&mut self, ctx: &mut Context, input: Input) {
        match input {
            Input::Watch { target, result, .. } => self.handle_watch_result(ctx, target, result),
            Input::Order { call, reply } => self.handle_order_reply(ctx, call, reply),
            Input::Renew { call, reply } => self.handle_renewal_reply(ctx, call, reply),
            _ => {}
        }
    }

    /// Handles the result of a commit.
    pub fn handle_commit(&mut self, ctx: &mut Context, call: u64, commit: CommitResult) {
        if let CommitResult::Committed { store_clock_ms, .. } = commit {
            self.store_clock = StoreClock { store_clock_ms, received_at: ctx.now };
        }
        let outcome = self.journal.handle_commit(ctx, call, commit);
        self.apply_outcome(ctx, outcome);
    }

    /// Applies what the journal concluded from a reply of the store.
    fn apply_outcome(&mut self, ctx: &mut Context, outcome: CommitOutcome) {
        match outcome {
            CommitOutcome::NoChange => {}
            CommitOutcome::Durable { jobs, effects, first_sent } => {
                self.last_durable = ctx.loop_clock.now();
                self.confirm_leadership(ctx, first_sent);
                self.unconfirmed_since = self.unconfirmed_since.filter(|since| first_sent < *since);
                if self.journal.is_late_confirmation(first_sent, ctx.now) {
                    let age = ctx.now.saturating_sub(first_sent);
                    log_event!(ctx, CommitConfirmedLate, "epoch" => self.epoch,
                        "age_ms" => age.as_millis() as u64);
                    self.require_confirmation(ctx.now);
                }
                for (id, phase) in jobs {
                    self.record_durable_phase(ctx, &id, phase);
                }
                for effect in effects {
                    self.run_effect(ctx, effect);
                }
                self.needs_placement = true;
            }
            CommitOutcome::Released => {
                let chosen = self.successor.take().filter(|member| self.peers.has(member));
                let successor =
                    chosen.or_else(|| self.peers.successor().cloned()).unwrap_or_default();
                log_event!(ctx, LeadershipReleased, "epoch" => self.epoch,
                    "successor" => %successor);
                let resignation =
                    Resignation { epoch: self.epoch, successor: successor.to_string() };
                self.peers.broadcast(ctx, &Body::Resign(resignation));
                self.has_stepped_down = true;
            }
            CommitOutcome::Superseded { epoch } => {
                log_event!(ctx, LeaderReplaced, "epoch" => self.epoch, "by_epoch" => epoch);
                ctx.meter.add(Counter::Leadership, "deposed", 1);
                self.has_stepped_down = true;
            }
        }
    }

    /// Gives up a job that cannot be stored; its callers are answered with the next commit.
    fn give_up(&mut self, ctx: &mut Context, id: &common::Name) {
        if let Some(job) = self.scheduler.jobs.get(id) {
            log_event!(ctx, JobNotStored, "job" => %id, "queue" => %job.queue,
                "stored" => job.durable_phase.is_some(), "epoch" => self.epoch);
        }
        let store_clock_ms = self.store_time_ms(ctx.now);
        self.scheduler.give_up(id, store_clock_ms);
        if !self.scheduler.jobs.contains_key(id) {
            self.journal.forget_given_up(id);
        }
        self.journal.enqueue(std::mem::take(&mut self.scheduler.changed_jobs));
        self.needs_placement = true;
    }

    /// Logs each job once of which a checkpoint was too long to be kept.
    fn log_long_checkpoints(&mut self, ctx: &Context) {
        for id in std::mem::take(&mut self.scheduler.long_checkpoints) {
            if self.logged_checkpoints.insert(id.clone()) {
                log_event!(ctx, CheckpointTooLong, "job" => %id, "epoch" => self.epoch);
            }
        }
    }

    /// Performs a deferred action whose changes are durable.
    fn run_effect(&mut self, ctx: &mut Context, effect: Effect) {
        match effect {
            Effect::Answer(caller, answer, _) => self.send_answer(ctx, &caller, answer),
            Effect::JobState(caller, access, id) => {
                let answer = self.job_state(&id, &access).unwrap_or(Answer::JobNotFound);
                self.send_answer(ctx, &caller, answer);
            }
            Effect::Start(start)
                if self.unconfirmed_since.is_some() || !self.knows_workers(ctx) =>
            {
                self.journal.defer(Effect::Start(start));
            }
            Effect::Start(start) => self.send_start(ctx, start),
            Effect::AcknowledgeFinishedRuns { worker, incarnation, position } => {
                self.leases.acknowledge(ctx.now, &worker, incarnation, position);
            }
        }
    }

    /// Handles the answer of an advice call; none if it failed.
    pub fn handle_advice_result(
        &mut self,
        ctx: &mut Context,
        call: u64,
        result: Option<AdviceResult>,
    ) {
        let Some(key) = self.advice_calls.finish(ctx, call) else {
            ctx.load.count_late(Late::Advice);
            return;
        };
        ctx.meter.add(Counter::Advice, if result.is_some() { "answered" } else { "failed" }, 1);
        if result.is_none() {
            log_event!(ctx, AdviceFailed, "job" => %key.job, "step" => key.step);
        }
        let job = self.scheduler.jobs.get(&key.job);
        let asked = job.and_then(|job| job.steps.get(key.step as usize));
        if asked.is_some_and(|step| step.has_unused_tickets(ctx.now)) {
            ctx.load.count_late(Late::Tickets);
        }
        let allowed = result.map(|answer| (answer.allowed, answer.validity));
        self.scheduler.apply_advice(&key, allowed, ctx.now);
        self.needs_placement = true;
    }

    /// Handles an event on a link to a peer.
    pub fn handle_peer_event(&mut self, ctx: &mut Context, link: u64, event: PeerEvent) {
        match event {
            PeerEvent::Frame(frame) => {
                if let Some(body) = frame.body {
                    self.handle_frame(ctx, link, body);
                }
            }
            PeerEvent::Refused | PeerEvent::Closed => {
                self.peers.remove(link);
                for key in self.advice_calls.drop_link(link) {
                    self.scheduler.apply_advice(&key, None, ctx.now);
                }
            }
            PeerEvent::Connected => self.peers.announce_on(ctx, link, self.epoch),
            PeerEvent::Accepted => {}
        }
    }

    /// Whether a leader of the given epoch is newer than this one.
    pub fn is_older_than(&self, epoch: u64) -> bool {
        self.epoch < epoch
    }

    /// Performs all work that is due.
    pub fn run_due_work(&mut self, ctx: &mut Context) {
        self.start_due_watches(ctx);
        self.advance_recovery(ctx);
        if self.recovery.is_none() {
            self.run_scheduler(ctx);
        }
        ctx.load.attribute(Work::Rest);
        self.check_peers(ctx);
        let store_age = self.store_age(ctx);
        self.peers.send_heartbeat(ctx, self.epoch, store_age, self.is_serving());
        ctx.load.attribute(Work::Followers);
        self.journal.commit_if_due(ctx, &self.scheduler);
        for id in self.journal.take_given_up() {
            self.give_up(ctx, &id);
        }
        ctx.load.attribute(Work::Journal);
    }

    /// Time since the latest commit, without stalls, after which its reply may still be queued.
    fn store_age(&self, ctx: &Context) -> Duration {
        let without_stalls = ctx.loop_clock.now().saturating_sub(self.last_durable);
        let total = self.journal.commit_age(ctx.now);
        without_stalls.max(total.saturating_sub(MAX_IGNORED_STALL))
    }

    /// Drops silent followers; resigns if most of them are lost.
    fn check_peers(&mut self, ctx: &mut Context) {
        for link in self.peers.drop_silent(ctx.now, ctx.loop_clock.now()) {
            ctx.actions.push(Action::Close { link });
            for key in self.advice_calls.drop_link(link) {
                self.scheduler.apply_advice(&key, None, ctx.now);
            }
        }
        self.peers.announce(ctx);
        self.broadcast_members(ctx);
        if self.peers.take_due_successor_check(ctx.now) {
            self.check_lag(ctx);
            self.check_capacity(ctx);
        }
        if self.peers.is_cut_off(ctx.now) && !self.is_resigning {
            log_event!(ctx, FollowersLost, "epoch" => self.epoch);
            self.resign();
        }
    }

    /// Resigns if its timer lags and that of a follower of at least its capacity does not.
    fn check_lag(&mut self, ctx: &Context) {
        let lag = ctx.lag.mean();
        let successor = (lag >= SLOW_LAG_THRESHOLD)
            .then(|| self.peers.quick_successor(ctx.config.capacity, lag / SLOW_LAG_RATIO))
            .flatten();
        let last_resignation_ms = self.journal.last_slow_resignation_ms();
        let is_cooling_down =
            self.is_cooling_down(ctx.now, last_resignation_ms, SLOW_RESIGN_COOLDOWN);
        let is_early = ctx.now < self.elected_at + SLOW_CHECK_GRACE;
        let may_resign = !is_cooling_down && !is_early && !self.is_resigning;
        let Some((member, successor_lag)) = successor.filter(|_| may_resign) else {
            self.slow_since = None;
            return;
        };
        let since = *self.slow_since.get_or_insert(ctx.now);
        if ctx.now >= since + SLOW_RESIGN_DELAY {
            log_event!(ctx, TimerLagHigh, "epoch" => self.epoch, "lag_us" => lag.as_micros() as u64,
                "quickest_us" => successor_lag.as_micros() as u64);
            self.successor = Some(member.clone());
            let store_clock_ms = self.store_time_ms(ctx.now);
            self.journal.record_slow_resignation(store_clock_ms);
            self.resign();
        }
    }

    /// Resigns if a larger daemon has followed for a while.
    fn check_capacity(&mut self, ctx: &Context) {
        let last_promotion_ms = self.journal.last_promotion_ms();
        if self.is_resigning
            || ctx.now < self.elected_at + PROMOTION_DELAY
            || self.is_cooling_down(ctx.now, last_promotion_ms, PROMOTION_COOLDOWN)
        {
            return;
        }
        let (since, capacity) = (ctx.now.saturating_sub(PROMOTION_DELAY), ctx.config.capacity);
        let larger = self.peers.larger_successor(capacity, since, SLOW_LAG_THRESHOLD);
        let Some(member) = larger.cloned() else { return };
        log_event!(ctx, LargerFollower, "epoch" => self.epoch, "successor" => %member);
        self.successor = Some(member);
        let store_clock_ms = self.store_time_ms(ctx.now);
        self.journal.record_promotion(store_clock_ms);
        self.resign();
    }

    /// Whether less than `cooldown` has passed since a store time in ms; 0 stands for never.
    ///
    /// A time that lies further ahead than `cooldown` is not one that a daemon wrote.
    fn is_cooling_down(&self, now: Duration, since_ms: u64, cooldown: Duration) -> bool {
        let elapsed_ms = self.store_time_ms(now).abs_diff(since_ms);
        since_ms > 0 && elapsed_ms < cooldown.as_millis() as u64
    }

    /// Runs placement when it is due, and carries out what the scheduler requests.
    fn run_scheduler(&mut self, ctx: &mut Context) {
        ctx.load.attribute(Work::Rest);
        self.leases.log_limit(ctx, self.epoch);
        self.renew_leases(ctx);
        ctx.load.attribute(Work::LeaseScan);
        self.remove_ended_jobs(ctx);
        let elapsed = ctx.now.saturating_sub(self.last_placement);
        let interval =
            MIN_PLACEMENT_INTERVAL + PLACEMENT_INTERVAL_PER_JOB * self.scheduler.open_jobs() as u32;
        let cost_interval = self.placement_cost * (1 + PLACEMENT_REST_FACTOR);
        let interval = interval.max(cost_interval.min(MAX_COST_INTERVAL));
        let is_due = (self.needs_placement && elapsed >= interval)
            || elapsed >= IDLE_PLACEMENT_INTERVAL.max(interval);
        if is_due && !self.is_resigning {
            self.last_placement = ctx.now;
            self.needs_placement = false;
            ctx.load.attribute(Work::Rest);
            let visited_before = self.scheduler.steps_visited;
            let advice_capacity = self.advice_calls.capacity(&self.peers, ctx.now);
            self.scheduler.plan(ctx.now, self.journal.expected_latency(), advice_capacity);
            ctx.load.record_pass(self.scheduler.steps_visited - visited_before);
            self.placement_cost = ctx.load.attribute(Work::Placement);
        }
        ctx.load.attribute(Work::Rest);
        for key in self.advice_calls.expire(ctx.now) {
            log_event!(ctx, AdviceFailed, "job" => %key.job, "step" => key.step,
                "reason" => "no answer");
            self.scheduler.apply_advice(&key, None, ctx.now);
        }
        for advice_call in std::mem::take(&mut self.scheduler.advice_calls) {
            self.advice_calls.enqueue(advice_call);
        }
        self.advice_calls.dispatch(ctx, &self.peers, &self.scheduler);
        ctx.load.attribute(Work::AdviceDispatch);
        self.log_waits(ctx);
        self.log_long_checkpoints(ctx);
        for stop in std::mem::take(&mut self.scheduler.stops) {
            self.send_stop(ctx, stop);
        }
        self.resend_stops(ctx);
        self.log_withdrawn_starts(ctx);
        for id in std::mem::take(&mut self.scheduler.newly_quarantined) {
            let worker = self.scheduler.pool.get(&id);
            let closed_for = worker.map(|worker| worker.quarantined_until.saturating_sub(ctx.now));
            log_event!(ctx, WorkerQuarantined, "worker" => %id,
                "failures" => worker.map(|worker| worker.consecutive_failures),
                "jobs" => worker.map(scheduler::Worker::failing_jobs),
                "closed_to_all_ms" => closed_for.map(|span| span.as_millis() as u64));
            ctx.meter.add(Counter::Workers, "avoided", 1);
        }
        self.journal.enqueue(std::mem::take(&mut self.scheduler.changed_jobs));
        for start in std::mem::take(&mut self.scheduler.starts) {
            self.journal.defer(Effect::Start(start));
        }
    }

    /// Removes jobs whose end has been stored for longer than `ended_job_retention`.
    fn remove_ended_jobs(&mut self, ctx: &Context) {
        if ctx.now < self.last_removal + REMOVAL_INTERVAL {
            return;
        }
        self.last_removal = ctx.now;
        let now_ms = self.store_time_ms(ctx.now);
        let keep_ms = ctx.config.ended_job_retention.as_millis() as u64;
        let is_expired = |job: &&scheduler::Job| {
            job.phase != scheduler::Phase::Open
                && job.durable_phase == Some(job.phase)
                && job.ended_ms + keep_ms < now_ms
        };
        let expired = self.scheduler.jobs.values().filter(is_expired).take(MAX_REMOVED_PER_PASS);
        let expired: Vec<_> = expired.map(|job| job.id.clone()).collect();
        for id in expired {
            if self.scheduler.remove_ended_job(&id) {
                self.journal.remove_job(&id);
                self.logged_checkpoints.remove(&id);
            }
        }
    }

    /// Handles the reply to a renewal.
    fn handle_renewal_reply(&mut self, ctx: &mut Context, call: u64, reply: RenewReply) {
        self.apply_renewal_reply(ctx, call, reply);
        self.needs_placement = true;
    }

    /// Handles the reply to a start or stop.
    fn handle_order_reply(&mut self, ctx: &mut Context, call: u64, reply: OrderReply) {
        self.apply_order_reply(ctx, call, reply);
        self.needs_placement = true;
    }
}
