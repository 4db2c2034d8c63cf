//! The daemon's state machine: dispatches inputs to the current role and collects actions.
//!
//! A node is either a follower or the leader. Requests of local callers are kept here, so that
//! they survive a change of role.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use scheduler::Rules;
use slog::Logger;

use crate::action::Action;
use crate::answer::{Answer, Operation};
use crate::backlog::QueuedInput;
use crate::config::Config;
use crate::event::log_event;
use crate::follow::{Follower, Transition};
use crate::frame::{Advice, AdviceRequest, Announcement, Body, Frame, Ticket, Welcome};
use crate::input::{AdviceResult, Input, PeerEvent};
use crate::lag::{LoopClock, TimerLag};
use crate::lead::{Caller, Leader};
use crate::load::{Late, Load, Work};
use crate::meter::{Counter, Gauge, Meter};
use crate::pending::{ANSWER_MARGIN, Contact, PendingRequests};
use crate::request_codec::decode_answer;
use crate::sampler::Sampler;
use crate::usage::UsageFields;

/// Time for which a stopping daemon still accepts connections.
///
/// The platform must notice the failing readiness check first.
const READINESS_DRAIN: Duration = Duration::from_millis(3200);

/// Remaining grace period at which a stopping daemon exits despite open requests.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Interval between gauge reports.
const GAUGE_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between ticks of a leader.
const LEADER_TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Interval between ticks of a follower.
const FOLLOWER_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum length of a suspension after which a leader confirms its leadership.
///
/// It confirms with a commit, and starts no further tasks before.
const CONFIRM_AFTER_SUSPENSION: Duration = Duration::from_millis(300);

common::key! {
    /// Current role of a daemon.
    pub enum Role {
        /// Searches for a leader.
        Searching,
        /// Forwards requests to a leader.
        Following,
        /// Leads, but still recovers its state from the store.
        Recovering,
        /// Leads and accepts requests.
        Leading,
    }
}

/// Context shared by the parts of a node: clock, settings, pending actions, log and metrics.
#[derive(Debug)]
pub(crate) struct Context {
    pub config: Config,
    /// Time of the input in progress, on the host's monotonic clock.
    pub now: Duration,
    /// End of the machine's latest suspension, which the clock did not count; zero before the first.
    pub resumed_at: Duration,
    /// Actions to return for the input in progress.
    pub actions: Vec<Action>,
    pub log: Logger,
    pub meter: Rc<dyn Meter>,
    pub sampler: Sampler,
    pub lag: TimerLag,
    pub load: Load,
    pub loop_clock: LoopClock,
    /// Whether callers need keys by the rules last heard of; none before any were.
    pub needs_keys: Option<bool>,
    /// The newest rules that this process has applied as leader.
    applied_rules: Option<Box<Rules>>,
    last_call_id: u64,
    last_link_id: u64,
    rng: SmallRng,
}

impl Context {
    /// Returns a new call number.
    pub fn next_call_id(&mut self) -> u64 {
        self.last_call_id += 1;
        self.last_call_id
    }

    /// Returns a new number for a link that this daemon opens.
    ///
    /// The numbers are even; those of links opened by peers are odd.
    pub fn next_link_id(&mut self) -> u64 {
        self.last_link_id += 2;
        self.last_link_id
    }

    /// The newer of the rules just read and those that this process applied before.
    ///
    /// A process that leads again may read an older version than it applied in its earlier term.
    pub fn newest_rules(&mut self, read: Box<Rules>) -> Box<Rules> {
        match &self.applied_rules {
            Some(applied) if applied.version > read.version => applied.clone(),
            _ => {
                self.applied_rules = Some(read.clone());
                read
            }
        }
    }

    /// Queues a frame to be sent on a link.
    pub fn send(&mut self, link: u64, body: Body) {
        self.actions.push(Action::Send { link, frame: Frame::from(body) });
    }

    /// Returns a random number below `bound`; 0 if the bound is 0.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound.max(1))
    }
}

/// State of the current role.
#[derive(Debug)]
enum RoleState {
    Follower(Box<Follower>),
    Leader(Box<Leader>),
}

/// State machine of a daemon, free of I/O.
#[derive(Debug)]
pub struct Node {
    ctx: Context,
    pending_requests: PendingRequests,
    role_state: RoleState,
    stop_requested_at: Option<Duration>,
    has_exited: bool,
    /// Readiness last reported; none before the first report.
    reported_ready: Option<bool>,
    gauges_reported_at: Duration,
    /// Advice calls made for the leader: own call number, link, and the leader's call number.
    proxied_advice: Vec<(u64, u64, u64)>,
}

impl Node {
    /// Creates a follower that knows no leader.
    pub fn new(config: Config, log: Logger, meter: Rc<dyn Meter>, now: Duration) -> Self {
        let rng = SmallRng::seed_from_u64(config.seed);
        let actions = Vec::new();
        let sampler = Sampler::new();
        let lag = TimerLag::default();
        let load = Load::new(Rc::clone(&meter), now);
        let loop_clock = LoopClock::new(now);
        let (last_call_id, last_link_id) = (0, 0);
        let ctx = Context {
            config,
            now,
            resumed_at: Duration::ZERO,
            actions,
            log,
            meter,
            sampler,
            lag,
            load,
            loop_clock,
            needs_keys: None,
            applied_rules: None,
            last_call_id,
            last_link_id,
            rng,
        };
        Self {
            ctx,
            pending_requests: PendingRequests::default(),
            role_state: RoleState::Follower(Box::new(Follower::new(now))),
            stop_requested_at: None,
            has_exited: false,
            reported_ready: None,
            gauges_reported_at: now,
            proxied_advice: Vec::new(),
        }
    }

    /// Current role of the daemon.
    pub fn role(&self) -> Role {
        match &self.role_state {
            RoleState::Follower(follower) if follower.serving_link().is_some() => Role::Following,
            RoleState::Follower(_) => Role::Searching,
            RoleState::Leader(leader) if leader.is_serving() => Role::Leading,
            RoleState::Leader(_) => Role::Recovering,
        }
    }

    /// The scheduler's state; none unless the daemon leads.
    pub fn scheduler(&self) -> Option<&scheduler::Scheduler> {
        match &self.role_state {
            RoleState::Leader(leader) => Some(leader.scheduler()),
            RoleState::Follower(_) => None,
        }
    }

    /// Time until the next [`Input::Tick`] is due.
    pub fn tick_interval(&self) -> Duration {
        match self.role_state {
            RoleState::Leader(_) => LEADER_TICK_INTERVAL,
            RoleState::Follower(_) => FOLLOWER_TICK_INTERVAL,
        }
    }

    /// Records that the host has started the actions of the last batch.
    pub fn record_actions_started(&mut self) {
        self.ctx.load.attribute(Work::Actions);
    }

    /// Processes an input at the time `now` and returns the actions to perform.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Action> {
        self.handle_batch(now, [QueuedInput { input, queued_at: now }], 0)
    }

    /// Processes inputs at the time `now` and returns the actions to perform.
    ///
    /// `queued` is the number of inputs that were queued when the batch was taken.
    pub fn handle_batch(
        &mut self,
        now: Duration,
        batch: impl IntoIterator<Item = QueuedInput>,
        queued: usize,
    ) -> Vec<Action> {
        self.ctx.now = now;
        self.ctx.loop_clock.record_input(now);
        self.ctx.load.begin_batch(queued);
        for QueuedInput { input, queued_at } in batch {
            let work = Work::of(&input);
            self.ctx.load.begin_input(work, now.saturating_sub(queued_at));
            self.apply_input(input);
            self.ctx.load.attribute(work);
            self.step_down_if_replaced();
        }
        self.run_due_work();
        self.ctx.load.attribute(Work::Pending);
        std::mem::take(&mut self.ctx.actions)
    }

    /// Applies an input without the work that is due after it.
    fn apply_input(&mut self, input: Input) {
        let now = self.ctx.now;
        match input {
            Input::Tick => self.ctx.lag.record_tick(now, self.tick_interval()),
            Input::Call { token, call } => self.handle_call(token, call),
            Input::CallerDisconnected { token } => {
                let contact = self.leader_contact();
                self.pending_requests.remove_caller(&self.ctx, token, contact);
            }
            Input::Peer { link, event } => self.handle_peer_event(link, event),
            Input::Advice { call, result } => self.handle_advice_result(call, result),
            Input::Stop => self.begin_stop(),
            Input::Reload(config) => self.ctx.config.reload(config),
            Input::Resumed { suspended_for } => self.handle_resume(suspended_for),
            Input::Read { call, page } => {
                let transition = match &mut self.role_state {
                    RoleState::Follower(follower) => {
                        follower.handle_read_result(&mut self.ctx, call, page)
                    }
                    RoleState::Leader(leader) => {
                        leader.handle_read(&mut self.ctx, call, page);
                        Transition::Stay
                    }
                };
                self.apply_transition(transition);
            }
            Input::Commit { call, commit } => {
                let transition = match &mut self.role_state {
                    RoleState::Follower(follower) => {
                        follower.handle_claim_result(&mut self.ctx, call, commit)
                    }
                    RoleState::Leader(leader) => {
                        leader.handle_commit(&mut self.ctx, call, commit);
                        Transition::Stay
                    }
                };
                self.apply_transition(transition);
            }
            other => {
                if let RoleState::Leader(leader) = &mut self.role_state {
                    leader.handle_input(&mut self.ctx, other);
                }
            }
        }
    }

    /// Becomes a follower if this daemon is no longer the leader.
    fn step_down_if_replaced(&mut self) {
        if let RoleState::Leader(leader) = &mut self.role_state
            && leader.has_stepped_down()
        {
            for (id, answer) in leader.take_local_answers() {
                self.pending_requests.answer(&mut self.ctx, id, answer);
            }
            self.role_state = RoleState::Follower(Box::new(self.step_down()));
        }
    }

    fn handle_call(&mut self, token: u64, call: crate::CallerRequest) {
        if self.ctx.load.input_age() > call.timeout {
            self.ctx.load.count_late(Late::Request);
        }
        if call.op == Operation::CheckAccess && self.ctx.needs_keys == Some(false) {
            self.ctx.answer_caller(token, Answer::Authorized);
            return;
        }
        self.pending_requests.admit(&mut self.ctx, token, call);
        if self.has_exited {
            let contact = self.leader_contact();
            self.pending_requests.answer_all(&mut self.ctx, contact);
        }
    }

    fn handle_peer_event(&mut self, link: u64, event: PeerEvent) {
        if let PeerEvent::Frame(frame) = &event
            && let Some(body) = &frame.body
            && self.handle_shared_frame(link, body)
        {
            return;
        }
        match &mut self.role_state {
            RoleState::Follower(follower) if follower.is_leader_link(link) => {
                follower.handle_leader_event(&mut self.ctx, link, &event);
                if follower.serving_link() != Some(link) {
                    self.proxied_advice.retain(|(_, requester, _)| *requester != link);
                }
            }
            RoleState::Follower(follower) if follower.is_probe_link(link) => {
                follower.handle_probe_event(&mut self.ctx, link, &event);
            }
            RoleState::Follower(follower) => {
                if let PeerEvent::Frame(frame) = &event
                    && matches!(frame.body, Some(Body::Hello(_)))
                {
                    let (known_epoch, known_leader) = follower.joined_leader();
                    let redirect =
                        Welcome { epoch: 0, is_serving: false, known_epoch, known_leader };
                    self.ctx.send(link, Body::Welcome(redirect));
                }
            }
            RoleState::Leader(leader) => leader.handle_peer_event(&mut self.ctx, link, event),
        }
    }

    /// Handles a frame whose meaning does not depend on the role; false if it is another one.
    fn handle_shared_frame(&mut self, link: u64, body: &Body) -> bool {
        match body {
            Body::Reply(reply) => {
                let answer = decode_answer(reply);
                let queued = Duration::from_micros(reply.queued_us);
                self.pending_requests.record_queue_time(self.ctx.now, queued);
                self.pending_requests.answer_on(&mut self.ctx, link, reply.id, answer);
            }
            Body::Ask(request) => self.proxy_advice_call(link, request),
            Body::Announce(announcement) => self.handle_announce(announcement),
            _ => return false,
        }
        true
    }

    /// Handles a leader's announcement; its epoch may be higher than the known one.
    fn handle_announce(&mut self, announcement: &Announcement) {
        match &mut self.role_state {
            RoleState::Follower(follower) => {
                follower.handle_announce(&mut self.ctx, announcement.epoch, &announcement.address);
            }
            RoleState::Leader(leader) if leader.is_older_than(announcement.epoch) => {
                log_event!(self.ctx, LeaderReplaced, "by_epoch" => announcement.epoch);
                let mut follower = self.step_down();
                follower.handle_announce(&mut self.ctx, announcement.epoch, &announcement.address);
                self.role_state = RoleState::Follower(Box::new(follower));
            }
            RoleState::Leader(_) => {}
        }
    }

    /// Returns the follower that replaces a former leader, and marks all requests as unsent.
    fn step_down(&mut self) -> Follower {
        self.pending_requests.mark_all_unsent();
        let mut follower = Follower::after_leading(self.ctx.now);
        follower.is_stopping = self.stop_requested_at.is_some();
        follower
    }

    /// Makes an advice call on behalf of the leader.
    fn proxy_advice_call(&mut self, link: u64, request: &AdviceRequest) {
        let call = self.ctx.next_call_id();
        self.proxied_advice.push((call, link, request.id));
        self.ctx.actions.push(Action::RequestAdvice {
            call,
            job: request.job.as_str().into(),
            step: request.step,
            workers: request.workers.iter().map(|worker| worker.as_str().into()).collect(),
            timeout: Duration::from_millis(request.timeout_ms.into()),
        });
    }

    /// Passes an advice result to the leader, which may be this daemon.
    fn handle_advice_result(&mut self, call: u64, result: Option<AdviceResult>) {
        let position = self.proxied_advice.iter().position(|(own, ..)| *own == call);
        let Some(position) = position else {
            if let RoleState::Leader(leader) = &mut self.role_state {
                leader.handle_advice_result(&mut self.ctx, call, result);
            }
            return;
        };
        let (_, link, id) = self.proxied_advice.swap_remove(position);
        let mut advice = Advice { id, ..Advice::default() };
        if let Some(answer) = result {
            advice.is_answered = true;
            advice.validity_ms = answer.validity.as_millis() as u32;
            let ticket = |(worker, ticket): (common::Name, common::Name)| Ticket {
                worker: worker.to_string(),
                ticket: ticket.to_string(),
            };
            advice.allowed = answer.allowed.into_iter().map(ticket).collect();
        }
        self.ctx.send(link, Body::Advice(advice));
    }

    /// Becomes leader if the follower's claim succeeded.
    fn apply_transition(&mut self, transition: Transition) {
        let Transition::BecomeLeader { head, version, store_clock_ms, confirmed_at } = transition
        else {
            return;
        };
        log_event!(self.ctx, BecameLeader, "epoch" => head.epoch, "version" => version);
        self.ctx.meter.add(Counter::Leadership, "claimed", 1);
        self.pending_requests.mark_all_unsent();
        self.proxied_advice.clear();
        let members = match &self.role_state {
            RoleState::Follower(follower) => follower.peer_addresses(),
            RoleState::Leader(_) => &[],
        };
        let mut leader = Leader::new(&mut self.ctx, head, version, store_clock_ms, members);
        leader.confirm_leadership(&self.ctx, confirmed_at);
        self.role_state = RoleState::Leader(Box::new(leader));
    }

    /// Begins a graceful stop; a repeated stop has no effect.
    fn begin_stop(&mut self) {
        if self.stop_requested_at.is_some() {
            return;
        }
        log_event!(self.ctx, ShutdownStarted, "requests" => self.pending_requests.len());
        self.stop_requested_at = Some(self.ctx.now);
        match &mut self.role_state {
            RoleState::Leader(leader) => leader.resign(),
            RoleState::Follower(follower) => follower.is_stopping = true,
        }
    }

    /// Handles the end of a process suspension of length `suspended_for`.
    fn handle_resume(&mut self, suspended_for: Duration) {
        self.ctx.lag.reset();
        log_event!(self.ctx, Resumed, "gap_ms" => suspended_for.as_millis() as u64);
        self.ctx.resumed_at = self.ctx.now;
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        leader.add_suspension(suspended_for);
        if suspended_for >= CONFIRM_AFTER_SUSPENSION {
            leader.require_confirmation(self.ctx.now);
        }
    }

    /// Whether the process exits before a request that is sent now would be answered.
    fn is_exit_near(&self) -> bool {
        self.stop_requested_at.is_some_and(|since| {
            let elapsed = self.ctx.now.saturating_sub(since);
            elapsed + EXIT_MARGIN + ANSWER_MARGIN >= self.ctx.config.grace_period
        })
    }

    /// Runs the work that is due after a batch of inputs.
    fn run_due_work(&mut self) {
        if self.is_exit_near() {
            self.pending_requests.refuse_unsent(&mut self.ctx, "exiting");
        }
        match &mut self.role_state {
            RoleState::Follower(follower) => {
                follower.tick(&mut self.ctx);
                self.ctx.load.attribute(Work::Followers);
                match follower.serving_link() {
                    Some(link) => self.pending_requests.forward_unsent(&mut self.ctx, link),
                    None => self.pending_requests.hold(),
                }
            }
            RoleState::Leader(leader) => {
                if leader.is_serving() {
                    for (id, call) in self.pending_requests.take_for_local_leader(self.ctx.now) {
                        leader.handle_request(&mut self.ctx, Caller::Local(id), call);
                    }
                }
                self.ctx.load.attribute(Work::Pending);
                leader.run_due_work(&mut self.ctx);
                for (id, answer) in leader.take_local_answers() {
                    self.pending_requests.answer(&mut self.ctx, id, answer);
                }
            }
        }
        self.step_down_if_replaced();
        let contact = self.leader_contact();
        self.pending_requests.expire(&mut self.ctx, contact);
        if self.stop_requested_at.is_some() && self.role() != Role::Following {
            self.pending_requests.refuse_unsent(&mut self.ctx, "stopping without a leader");
        }
        self.report_readiness();
        self.exit_if_stopped();
        self.report_gauges();
    }

    /// How the leader is reached, which may be this daemon.
    fn leader_contact(&self) -> Contact {
        match &self.role_state {
            RoleState::Follower(follower) => follower.contact(self.ctx.now),
            RoleState::Leader(leader) => {
                Contact { epoch: leader.epoch(), lost_for: None, is_cut_off: false }
            }
        }
    }

    /// Reports gauges and the number of log lines dropped by sampling.
    fn report_gauges(&mut self) {
        if self.ctx.now < self.gauges_reported_at + GAUGE_INTERVAL {
            return;
        }
        self.gauges_reported_at = self.ctx.now;
        let leader = match &mut self.role_state {
            RoleState::Leader(leader) => Some(leader),
            RoleState::Follower(_) => None,
        };
        self.ctx.meter.set_gauge(Gauge::IsLeader, u64::from(leader.is_some()));
        self.ctx.meter.set_gauge(Gauge::TimerLag, self.ctx.lag.mean().as_millis() as u64);
        self.ctx.meter.set_gauge(Gauge::Requests, self.pending_requests.len() as u64);
        let is_leader = leader.is_some();
        let open_jobs = leader.as_ref().map(|leader| leader.scheduler().open_jobs());
        let usage = leader.map_or_else(UsageFields::none, |leader| leader.report_gauges(&self.ctx));
        let is_logged = is_leader || self.ctx.load.is_late();
        let load = self.ctx.load.report(self.ctx.now);
        if is_logged {
            log_event!(self.ctx, LoopLoad, "leads" => is_leader,
                "lag_us" => self.ctx.lag.mean().as_micros() as u64,
                "requests_open" => self.pending_requests.len(),
                "jobs_open" => open_jobs, load, usage);
        }
        let dropped_lines = self.ctx.sampler.take_dropped_lines();
        if dropped_lines > 0 {
            self.ctx.meter.add(Counter::LinesDropped, "sampled", dropped_lines);
            log_event!(self.ctx, LinesDropped, "lines" => dropped_lines);
        }
    }

    /// Reports a change of readiness.
    fn report_readiness(&mut self) {
        let role = self.role();
        let is_ready =
            self.stop_requested_at.is_none() && matches!(role, Role::Following | Role::Leading);
        if self.reported_ready != Some(is_ready) {
            self.reported_ready = Some(is_ready);
            self.ctx.actions.push(Action::SetReady(is_ready));
        }
    }

    /// Exits once a graceful stop is complete or the grace period is almost over.
    fn exit_if_stopped(&mut self) {
        let Some(since) = self.stop_requested_at else { return };
        let elapsed = self.ctx.now.saturating_sub(since);
        let is_idle =
            self.pending_requests.len() == 0 && matches!(self.role_state, RoleState::Follower(_));
        let is_grace_over = elapsed + EXIT_MARGIN >= self.ctx.config.grace_period;
        if !self.has_exited && ((is_idle && elapsed >= READINESS_DRAIN) || is_grace_over) {
            self.has_exited = true;
            log_event!(self.ctx, ShutdownCompleted, "requests" => self.pending_requests.len());
            let contact = self.leader_contact();
            self.pending_requests.answer_all(&mut self.ctx, contact);
            self.ctx.actions.push(Action::Exit);
        }
    }
}
