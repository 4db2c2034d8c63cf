//! The leader: accepts requests, keeps the pool's state durable and sends orders to the workers.
//!
//! [`Leader`] holds the scheduler and passes each input to the part that handles it: `requests`
//! from callers, `peers` for followers, `journal` for commits, `leases` and `orders` for
//! workers, `advice` for advice calls, `watch` for rules and the list of workers. `recovery`
//! reads the state of the previous leader. `measure` and `views` report to operators.

mod advice;
mod journal;
mod leases;
mod measure;
mod orders;
mod peers;
mod recovery;
mod requests;
mod views;
mod watch;

use std::collections::HashMap;
use std::time::Duration;

use scheduler::{Scheduler, StoredState, WaitReason};

use crate::Body;
use crate::action::Action;
use crate::answer::Answer;
use crate::event::log_event;
use crate::frame::Resignation;
use crate::head::Head;
use crate::input::{AdviceResult, Input, OrderReply, PeerEvent, RenewReply};
use crate::meter::Counter;
use crate::node::Context;
use crate::store::{CommitResult, Page};

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

/// Interval between placement passes while nothing changes, as tickets and quarantines expire.
const IDLE_PLACEMENT_INTERVAL: Duration = Duration::from_millis(50);

/// Most ended jobs that are removed in one pass.
const MAX_REMOVED_PER_PASS: usize = 50;

/// Interval between passes that remove ended jobs.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(1);

/// Mean timer lag from which a leader may be too slow.
///
/// The usual lag is the timer's resolution, 1 ms.
const SLOW_LAG_THRESHOLD: Duration = Duration::from_millis(5);

/// Least ratio of the leader's timer lag to the least lagged follower's.
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

common::key! {
    /// Whether a daemon remains leader.
    pub(crate) enum LeaderStatus {
        /// It remains leader.
        Leading,
        /// It becomes a follower: another daemon leads, or leadership was released.
        SteppedDown,
    }
}

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
    /// When the latest placement pass ran.
    last_placement: Duration,
    /// Whether something changed since the latest placement pass.
    needs_placement: bool,
    /// When ended jobs were last removed.
    last_removal: Duration,
    /// Whether the daemon remains leader.
    status: LeaderStatus,
    /// Whether it is releasing leadership; it accepts no requests and places no tasks.
    is_resigning: bool,
    /// When leadership became uncertain; none while it is confirmed.
    unconfirmed_since: Option<Duration>,
    /// When it became leader.
    elected_at: Duration,
    /// Since when its timer lags behind a follower's; none while it does not.
    slow_since: Option<Duration>,
    /// The reason last logged for each overdue job that waits.
    logged_waits: HashMap<common::Name, WaitReason>,
    /// When overdue jobs were last checked.
    waits_logged_at: Duration,
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
            last_placement: Duration::ZERO,
            needs_placement: true,
            last_removal: now,
            status: LeaderStatus::Leading,
            is_resigning: false,
            unconfirmed_since: None,
            elected_at: now,
            slow_since: None,
            logged_waits: HashMap::new(),
            waits_logged_at: now,
        };
        leader.recovery = Some(Recovery::start(ctx));
        // An immediate commit changes the head row and shows others that its owner is alive.
        leader.journal.request_commit();
        leader
    }

    /// Whether it accepts requests.
    pub fn is_serving(&self) -> bool {
        self.recovery.is_none() && !self.is_resigning && self.scheduler.rules.is_some()
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
            let jobs = self.scheduler.jobs.len();
            log_event!(ctx, AcceptingRequests, "epoch" => self.epoch, "jobs" => jobs);
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
                self.unconfirmed_since = self.unconfirmed_since.filter(|since| first_sent < *since);
                for (id, phase) in jobs {
                    self.record_durable_phase(ctx, &id, phase);
                }
                for effect in effects {
                    self.run_effect(ctx, effect);
                }
                self.needs_placement = true;
            }
            CommitOutcome::Released => {
                let successor = self.peers.successor().unwrap_or_default();
                log_event!(ctx, LeadershipReleased, "epoch" => self.epoch,
                    "successor" => %successor);
                let resignation =
                    Resignation { epoch: self.epoch, successor: successor.to_string() };
                self.peers.broadcast(ctx, &Body::Resign(resignation));
                self.status = LeaderStatus::SteppedDown;
            }
            CommitOutcome::Superseded { epoch } => {
                log_event!(ctx, LeaderReplaced, "epoch" => self.epoch, "by_epoch" => epoch);
                ctx.meter.add(Counter::Leadership, "deposed", 1);
                self.status = LeaderStatus::SteppedDown;
            }
        }
    }

    /// Performs a deferred action whose changes are durable.
    fn run_effect(&mut self, ctx: &mut Context, effect: Effect) {
        match effect {
            Effect::Answer(caller, answer) => self.send_answer(ctx, &caller, answer),
            Effect::JobState(caller, id) => {
                let answer = self.job_state(&id).unwrap_or(Answer::JobNotFound);
                self.send_answer(ctx, &caller, answer);
            }
            Effect::Start(start) if self.unconfirmed_since.is_some() => {
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
        let Some((job, step)) = self.advice_calls.finish(ctx, call) else { return };
        ctx.meter.add(Counter::Advice, if result.is_some() { "answered" } else { "failed" }, 1);
        if result.is_none() {
            log_event!(ctx, AdviceFailed, "job" => %job, "step" => step);
        }
        let allowed = result.map(|answer| (answer.allowed, answer.validity));
        self.scheduler.apply_advice(&job, step, allowed, ctx.now);
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
                for (job, step) in self.advice_calls.drop_link(link) {
                    self.scheduler.apply_advice(&job, step, None, ctx.now);
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

    /// Performs all work that is due; returns whether the daemon remains leader.
    pub fn run_due_work(&mut self, ctx: &mut Context) -> LeaderStatus {
        if self.status == LeaderStatus::SteppedDown {
            return self.status;
        }
        self.start_due_watches(ctx);
        self.advance_recovery(ctx);
        if self.recovery.is_none() {
            self.run_scheduler(ctx);
        }
        self.check_peers(ctx);
        let store_age = self.journal.commit_age(ctx.now);
        self.peers.send_heartbeat(ctx, self.epoch, store_age, self.is_serving());
        self.journal.commit_if_due(ctx, &self.scheduler);
        self.status
    }

    /// Drops silent followers; resigns if most of them are lost.
    fn check_peers(&mut self, ctx: &mut Context) {
        for link in self.peers.drop_silent(ctx.now) {
            ctx.actions.push(Action::Close { link });
            for (job, step) in self.advice_calls.drop_link(link) {
                self.scheduler.apply_advice(&job, step, None, ctx.now);
            }
        }
        self.peers.announce(ctx);
        self.check_lag(ctx);
        if self.peers.is_cut_off(ctx.now) && !self.is_resigning {
            log_event!(ctx, FollowersLost, "epoch" => self.epoch);
            self.resign();
        }
    }

    /// Resigns if its timer lags and a follower's does not.
    fn check_lag(&mut self, ctx: &Context) {
        let lag = ctx.lag.mean();
        let least_lagged = self.peers.least_lagged();
        let is_slow = lag >= SLOW_LAG_THRESHOLD
            && least_lagged.is_some_and(|(_, follower)| lag >= follower * SLOW_LAG_RATIO);
        let cooldown_until =
            self.journal.last_slow_resignation_ms() + SLOW_RESIGN_COOLDOWN.as_millis() as u64;
        let is_cooling_down = self.journal.last_slow_resignation_ms() > 0
            && self.store_time_ms(ctx.now) < cooldown_until;
        if !is_slow
            || is_cooling_down
            || self.is_resigning
            || ctx.now < self.elected_at + SLOW_CHECK_GRACE
        {
            self.slow_since = None;
            return;
        }
        let since = *self.slow_since.get_or_insert(ctx.now);
        if ctx.now >= since + SLOW_RESIGN_DELAY {
            log_event!(ctx, TimerLagHigh, "epoch" => self.epoch, "lag_us" => lag.as_micros() as u64,
                "quickest_us" => least_lagged.map_or(0, |(_, lag)| lag.as_micros() as u64));
            let store_clock_ms = self.store_time_ms(ctx.now);
            self.journal.record_slow_resignation(store_clock_ms);
            self.resign();
        }
    }

    /// Runs placement when it is due, and carries out what the scheduler requests.
    fn run_scheduler(&mut self, ctx: &mut Context) {
        self.renew_leases(ctx);
        self.remove_ended_jobs(ctx);
        let elapsed = ctx.now.saturating_sub(self.last_placement);
        let interval =
            MIN_PLACEMENT_INTERVAL + PLACEMENT_INTERVAL_PER_JOB * self.scheduler.open_jobs() as u32;
        let is_due = (self.needs_placement && elapsed >= interval)
            || elapsed >= IDLE_PLACEMENT_INTERVAL.max(interval);
        if is_due && !self.is_resigning {
            self.last_placement = ctx.now;
            self.needs_placement = false;
            self.scheduler.plan(ctx.now, self.journal.expected_latency());
        }
        for (job, step) in self.advice_calls.expire(ctx.now) {
            log_event!(ctx, AdviceFailed, "job" => %job, "step" => step, "reason" => "no answer");
            self.scheduler.apply_advice(&job, step, None, ctx.now);
        }
        for advice_call in std::mem::take(&mut self.scheduler.advice_calls) {
            self.advice_calls.enqueue(advice_call);
        }
        self.advice_calls.dispatch(ctx, &self.peers, &self.scheduler);
        self.log_waits(ctx);
        for stop in std::mem::take(&mut self.scheduler.stops) {
            self.send_stop(ctx, stop);
        }
        self.resend_stops(ctx);
        for worker in std::mem::take(&mut self.scheduler.newly_quarantined) {
            log_event!(ctx, WorkerQuarantined, "worker" => %worker);
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
