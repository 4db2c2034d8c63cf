//! The daemon's state machine: dispatches inputs to the current role and collects actions.
//!
//! A node is either a follower or the leader. Requests of local callers are kept here, so that
//! they survive a change of role.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slog::Logger;

use crate::action::Action;
use crate::config::Config;
use crate::entry::{self, PendingRequests};
use crate::event::note;
use crate::follow::{Follower, Transition};
use crate::frame::{Advice, Announce, Ask, Body, Frame, Ticket, Welcome};
use crate::input::{Advised, Input, PeerEvent};
use crate::lag::TimerLag;
use crate::lead::{Caller, Fate, Leader};
use crate::meter::{Count, Level, Meter};
use crate::sample::Sampler;

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
pub(crate) struct Port {
    pub config: Config,
    /// Time of the input in progress, on the host's monotonic clock.
    pub now: Duration,
    /// Actions to return for the input in progress.
    pub out: Vec<Action>,
    pub log: Logger,
    pub meter: Rc<dyn Meter>,
    pub sampler: Sampler,
    pub lag: TimerLag,
    last_call: u64,
    last_link: u64,
    rng: SmallRng,
}

impl Port {
    /// Returns a new call number.
    pub fn call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    /// Returns a new number for a link that this daemon opens.
    ///
    /// The numbers are even; those of links opened by peers are odd.
    pub fn link(&mut self) -> u64 {
        self.last_link += 2;
        self.last_link
    }

    /// Queues a frame to be sent on a link.
    pub fn send(&mut self, link: u64, body: Body) {
        self.out.push(Action::Send { link, frame: Frame::from(body) });
    }

    /// Returns a random number below `bound`; 0 if the bound is 0.
    pub fn random(&mut self, bound: u64) -> u64 {
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
    port: Port,
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
        let out = Vec::new();
        let sampler = Sampler::new();
        let lag = TimerLag::default();
        let (last_call, last_link) = (0, 0);
        let port = Port { config, now, out, log, meter, sampler, lag, last_call, last_link, rng };
        Self {
            port,
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
    pub fn tick_pause(&self) -> Duration {
        match self.role_state {
            RoleState::Leader(_) => LEADER_TICK_INTERVAL,
            RoleState::Follower(_) => FOLLOWER_TICK_INTERVAL,
        }
    }

    /// Processes an input at the time `now` and returns the actions to perform.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Action> {
        self.port.now = now;
        match input {
            Input::Tick => self.port.lag.record_tick(now, self.tick_pause()),
            Input::Call { token, call } => self.handle_call(token, call),
            Input::Gone { token } => self.pending_requests.remove_caller(token),
            Input::Peer { link, event } => self.handle_peer_event(link, event),
            Input::Advised { call, advised } => self.handle_advice_result(call, advised),
            Input::Stop => self.begin_stop(),
            Input::Configure(config) => self.port.config.reload(config),
            Input::Woken { gap } => self.handle_resume(gap),
            Input::Read { call, page } => {
                let transition = match &mut self.role_state {
                    RoleState::Follower(follower) => {
                        follower.handle_read_result(&mut self.port, call, page)
                    }
                    RoleState::Leader(leader) => {
                        leader.read(&mut self.port, call, page);
                        Transition::Stay
                    }
                };
                self.apply_transition(transition);
            }
            Input::Commit { call, commit } => {
                let transition = match &mut self.role_state {
                    RoleState::Follower(follower) => {
                        follower.handle_claim_result(&mut self.port, call, commit)
                    }
                    RoleState::Leader(leader) => {
                        leader.committed(&mut self.port, call, commit);
                        Transition::Stay
                    }
                };
                self.apply_transition(transition);
            }
            other => {
                if let RoleState::Leader(leader) = &mut self.role_state {
                    leader.input(&mut self.port, other);
                }
            }
        }
        self.run_due_work();
        std::mem::take(&mut self.port.out)
    }

    fn handle_call(&mut self, token: u64, call: crate::Call) {
        let Some(_) = self.pending_requests.admit(&mut self.port, token, call) else { return };
        if let RoleState::Follower(follower) = &self.role_state
            && let Some(link) = follower.serving_link()
        {
            self.pending_requests.forward_unsent(&mut self.port, link);
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
                let may_send = follower.handle_leader_event(&mut self.port, link, &event);
                if follower.serving_link() != Some(link) {
                    self.proxied_advice.retain(|(_, asker, _)| *asker != link);
                }
                if may_send {
                    self.pending_requests.forward_unsent(&mut self.port, link);
                }
            }
            RoleState::Follower(follower) if follower.is_probe_link(link) => {
                follower.handle_probe_event(&mut self.port, link, &event);
                if follower.serving_link() == Some(link) {
                    self.pending_requests.forward_unsent(&mut self.port, link);
                }
            }
            RoleState::Follower(follower) => {
                if let PeerEvent::Frame(frame) = &event
                    && matches!(frame.body, Some(Body::Hello(_)))
                {
                    let (known_epoch, known_leader) = follower.joined_leader();
                    let redirect =
                        Welcome { epoch: 0, is_serving: false, known_epoch, known_leader };
                    self.port.send(link, Body::Welcome(redirect));
                }
            }
            RoleState::Leader(leader) => leader.peer(&mut self.port, link, event),
        }
    }

    /// Handles a frame whose meaning does not depend on the role; false if it is another one.
    fn handle_shared_frame(&mut self, link: u64, body: &Body) -> bool {
        match body {
            Body::Reply(reply) => {
                let answer = entry::decode_answer(reply);
                self.pending_requests.answer(&mut self.port, reply.id, answer);
            }
            Body::Ask(ask) => self.proxy_advice_call(link, ask),
            Body::Announce(announce) => self.handle_announce(announce),
            _ => return false,
        }
        true
    }

    /// Handles a leader's announcement; its epoch may be higher than the known one.
    fn handle_announce(&mut self, announce: &Announce) {
        match &mut self.role_state {
            RoleState::Follower(follower) => {
                follower.handle_announce(&mut self.port, announce.epoch, &announce.address);
            }
            RoleState::Leader(leader) if leader.is_older_than(announce.epoch) => {
                note!(self.port, Deposed, "by_epoch" => announce.epoch);
                let mut follower = self.step_down();
                follower.handle_announce(&mut self.port, announce.epoch, &announce.address);
                self.role_state = RoleState::Follower(Box::new(follower));
            }
            RoleState::Leader(_) => {}
        }
    }

    /// Returns the follower that replaces a former leader, and queues all requests anew.
    fn step_down(&mut self) -> Follower {
        self.pending_requests.mark_all_unsent();
        let mut follower = Follower::after_leading(self.port.now);
        follower.is_stopping = self.stop_requested_at.is_some();
        follower
    }

    /// Makes an advice call on behalf of the leader.
    fn proxy_advice_call(&mut self, link: u64, ask: &Ask) {
        let call = self.port.call();
        self.proxied_advice.push((call, link, ask.id));
        self.port.out.push(Action::Advise {
            call,
            job: ask.job.as_str().into(),
            step: ask.step,
            workers: ask.workers.iter().map(|worker| worker.as_str().into()).collect(),
            timeout: Duration::from_millis(ask.timeout_ms.into()),
        });
    }

    /// Passes an advice result to the leader, which may be this daemon.
    fn handle_advice_result(&mut self, call: u64, advised: Option<Advised>) {
        let position = self.proxied_advice.iter().position(|(own, ..)| *own == call);
        let Some(position) = position else {
            if let RoleState::Leader(leader) = &mut self.role_state {
                leader.advised(&mut self.port, call, advised);
            }
            return;
        };
        let (_, link, id) = self.proxied_advice.swap_remove(position);
        let mut advice = Advice { id, ..Advice::default() };
        if let Some(advised) = advised {
            advice.is_answered = true;
            advice.validity_ms = advised.validity.as_millis() as u32;
            let ticket = |(worker, ticket): (common::Name, common::Name)| Ticket {
                worker: worker.to_string(),
                ticket: ticket.to_string(),
            };
            advice.allowed = advised.allowed.into_iter().map(ticket).collect();
        }
        self.port.send(link, Body::Advice(advice));
    }

    /// Becomes leader if the follower's claim succeeded.
    fn apply_transition(&mut self, transition: Transition) {
        let Transition::BecomeLeader { head, version, store_ms } = transition else { return };
        note!(self.port, Leads, "epoch" => head.epoch, "version" => version);
        self.port.meter.count(Count::Leadership, "claimed", 1);
        self.pending_requests.mark_all_unsent();
        self.proxied_advice.clear();
        let members = match &self.role_state {
            RoleState::Follower(follower) => follower.peer_addresses(),
            RoleState::Leader(_) => &[],
        };
        let leader = Leader::new(&mut self.port, head, version, store_ms, members);
        self.role_state = RoleState::Leader(Box::new(leader));
    }

    /// Begins a graceful stop; a repeated stop has no effect.
    fn begin_stop(&mut self) {
        if self.stop_requested_at.is_some() {
            return;
        }
        note!(self.port, StopBegan, "requests" => self.pending_requests.len());
        self.stop_requested_at = Some(self.port.now);
        match &mut self.role_state {
            RoleState::Leader(leader) => leader.resign(),
            RoleState::Follower(follower) => follower.is_stopping = true,
        }
    }

    /// Handles the end of a process suspension of length `gap`.
    fn handle_resume(&mut self, gap: Duration) {
        self.port.lag.reset();
        note!(self.port, Woken, "gap_ms" => gap.as_millis() as u64);
        if gap >= CONFIRM_AFTER_SUSPENSION
            && let RoleState::Leader(leader) = &mut self.role_state
        {
            leader.doubt(self.port.now);
        }
    }

    /// Runs the work that is due after each input.
    fn run_due_work(&mut self) {
        let fate = match &mut self.role_state {
            RoleState::Follower(follower) => {
                follower.tick(&mut self.port);
                Fate::Stay
            }
            RoleState::Leader(leader) => {
                if leader.is_serving() {
                    for (id, call) in self.pending_requests.take_for_local_leader() {
                        leader.request(&mut self.port, Caller::Local(id), call);
                    }
                }
                let fate = leader.progress(&mut self.port);
                for (id, answer) in leader.take_local_answers() {
                    self.pending_requests.answer(&mut self.port, id, answer);
                }
                fate
            }
        };
        if fate == Fate::StepDown {
            self.role_state = RoleState::Follower(Box::new(self.step_down()));
        }
        let (without_leader, is_cut_off) = match &self.role_state {
            RoleState::Follower(follower) => {
                (follower.time_without_leader(self.port.now), follower.is_cut_off())
            }
            RoleState::Leader(_) => (None, false),
        };
        self.pending_requests.expire(&mut self.port, without_leader, is_cut_off);
        self.report_readiness();
        self.exit_if_stopped();
        self.report_gauges();
    }

    /// Reports gauges and the number of log lines dropped by sampling.
    fn report_gauges(&mut self) {
        if self.port.now < self.gauges_reported_at + GAUGE_INTERVAL {
            return;
        }
        self.gauges_reported_at = self.port.now;
        let leader = match &self.role_state {
            RoleState::Leader(leader) => Some(leader),
            RoleState::Follower(_) => None,
        };
        self.port.meter.level(Level::Leads, u64::from(leader.is_some()));
        self.port.meter.level(Level::Lag, self.port.lag.mean().as_millis() as u64);
        self.port.meter.level(Level::Requests, self.pending_requests.len() as u64);
        if let Some(leader) = leader {
            leader.measure(&self.port);
        }
        let dropped_lines = self.port.sampler.take_dropped_lines();
        if dropped_lines > 0 {
            self.port.meter.count(Count::LinesLeftOut, "sampled", dropped_lines);
            note!(self.port, LinesLeftOut, "lines" => dropped_lines);
        }
    }

    /// Reports a change of readiness.
    fn report_readiness(&mut self) {
        let role = self.role();
        let is_ready =
            self.stop_requested_at.is_none() && matches!(role, Role::Following | Role::Leading);
        if self.reported_ready != Some(is_ready) {
            self.reported_ready = Some(is_ready);
            self.port.out.push(Action::Ready(is_ready));
        }
    }

    /// Exits once a graceful stop is complete or the grace period is almost over.
    fn exit_if_stopped(&mut self) {
        let Some(since) = self.stop_requested_at else { return };
        let elapsed = self.port.now.saturating_sub(since);
        let is_idle =
            self.pending_requests.len() == 0 && matches!(self.role_state, RoleState::Follower(_));
        let is_grace_over = elapsed + EXIT_MARGIN >= self.port.config.grace;
        if !self.has_exited && ((is_idle && elapsed >= READINESS_DRAIN) || is_grace_over) {
            self.has_exited = true;
            note!(self.port, StopDone, "requests" => self.pending_requests.len());
            self.port.out.push(Action::Exit);
        }
    }
}
