//! A daemon: its callers, its links to peers, and its role.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slog::Logger;

use crate::action::Action;
use crate::config::Config;
use crate::entry::{self, Entry};
use crate::event::note;
use crate::follow::{Follower, Verdict};
use crate::frame::{Advice, Announce, Ask, Body, Frame, Ticket, Welcome};
use crate::input::{Advised, Input, PeerEvent};
use crate::lag::Lag;
use crate::lead::{Caller, Fate, Leader};
use crate::meter::{Count, Level, Meter};
use crate::sample::Sampler;

/// Time for which a stopping daemon goes on taking connections, so that the platform
/// notices the failing readiness check first.
const LINGER: Duration = Duration::from_millis(3200);

/// Time before the end of the grace period at which a stopping daemon exits anyway.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Pause between two notes of levels.
const MEASURE_PAUSE: Duration = Duration::from_secs(2);

/// Pause between ticks of a daemon that leads.
const LEADER_TICK: Duration = Duration::from_millis(5);

/// Pause between ticks of any other daemon.
const FOLLOWER_TICK: Duration = Duration::from_millis(50);

/// Suspension after which a leader confirms its place before it answers.
const LONG_SUSPENSION: Duration = Duration::from_millis(300);

common::key! {
    /// What a daemon is at the moment.
    pub enum Role {
        /// It looks for a leader.
        Looking,
        /// It passes requests to a leader.
        Following,
        /// It leads and recovers its state.
        Recovering,
        /// It leads and takes requests.
        Leading,
    }
}

/// What the parts of a node share: time, numbers, what is to be done, the log.
#[derive(Debug)]
pub(crate) struct Port {
    pub config: Config,
    pub now: Duration,
    pub out: Vec<Action>,
    pub log: Logger,
    pub meter: Rc<dyn Meter>,
    pub sampler: Sampler,
    pub lag: Lag,
    next_call: u64,
    next_link: u64,
    rng: SmallRng,
}

impl Port {
    /// A new number for a call.
    pub fn call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }

    /// A new number for a link that this daemon opens; links opened by peers have odd ones.
    pub fn link(&mut self) -> u64 {
        self.next_link += 2;
        self.next_link
    }

    /// Sends a frame.
    pub fn send(&mut self, link: u64, body: Body) {
        self.out.push(Action::Send { link, frame: Frame::from(body) });
    }

    /// A random number below a bound.
    pub fn random(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound.max(1))
    }
}

#[derive(Debug)]
enum Part {
    Follower(Box<Follower>),
    Leader(Box<Leader>),
}

/// A daemon without its I/O.
#[derive(Debug)]
pub struct Node {
    port: Port,
    entry: Entry,
    part: Part,
    stopping: Option<Duration>,
    has_exited: bool,
    is_ready: Option<bool>,
    measured: Duration,
    /// Advice calls made for the leader: own number, link and number there.
    asked: Vec<(u64, u64, u64)>,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(config: Config, log: Logger, meter: Rc<dyn Meter>, now: Duration) -> Self {
        let rng = SmallRng::seed_from_u64(config.seed);
        let out = Vec::new();
        let sampler = Sampler::new();
        let lag = Lag::default();
        let (next_call, next_link) = (0, 0);
        let port = Port { config, now, out, log, meter, sampler, lag, next_call, next_link, rng };
        Self {
            port,
            entry: Entry::default(),
            part: Part::Follower(Box::new(Follower::new(now))),
            stopping: None,
            has_exited: false,
            is_ready: None,
            measured: now,
            asked: Vec::new(),
        }
    }

    /// What the daemon is at the moment.
    pub fn role(&self) -> Role {
        match &self.part {
            Part::Follower(follower) if follower.serving_link().is_some() => Role::Following,
            Part::Follower(_) => Role::Looking,
            Part::Leader(leader) if leader.is_serving() => Role::Leading,
            Part::Leader(_) => Role::Recovering,
        }
    }

    /// The scheduler's state, where the daemon leads.
    pub fn scheduler(&self) -> Option<&scheduler::Scheduler> {
        match &self.part {
            Part::Leader(leader) => Some(leader.scheduler()),
            Part::Follower(_) => None,
        }
    }

    /// Pause to the next tick.
    pub fn tick_pause(&self) -> Duration {
        match self.part {
            Part::Leader(_) => LEADER_TICK,
            Part::Follower(_) => FOLLOWER_TICK,
        }
    }

    /// Takes an input and returns what is to be done.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Action> {
        self.port.now = now;
        match input {
            Input::Tick => self.port.lag.tick(now, self.tick_pause()),
            Input::Call { token, call } => self.call(token, call),
            Input::Gone { token } => self.entry.forget(token),
            Input::Peer { link, event } => self.peer(link, event),
            Input::Advised { call, advised } => self.advised(call, advised),
            Input::Stop => self.stop(),
            Input::Configure(config) => self.port.config.renew(config),
            Input::Woken { gap } => self.woken(gap),
            Input::Read { call, page } => {
                let verdict = match &mut self.part {
                    Part::Follower(follower) => follower.read(&mut self.port, call, page),
                    Part::Leader(leader) => {
                        leader.read(&mut self.port, call, page);
                        Verdict::Stay
                    }
                };
                self.decide(verdict);
            }
            Input::Commit { call, commit } => {
                let verdict = match &mut self.part {
                    Part::Follower(follower) => follower.committed(&mut self.port, call, commit),
                    Part::Leader(leader) => {
                        leader.committed(&mut self.port, call, commit);
                        Verdict::Stay
                    }
                };
                self.decide(verdict);
            }
            other => {
                if let Part::Leader(leader) = &mut self.part {
                    leader.input(&mut self.port, other);
                }
            }
        }
        self.progress();
        std::mem::take(&mut self.port.out)
    }

    fn call(&mut self, token: u64, call: crate::Call) {
        let Some(_) = self.entry.arrive(&mut self.port, token, call) else { return };
        if let Part::Follower(follower) = &self.part
            && let Some(link) = follower.serving_link()
        {
            self.entry.send_all(&mut self.port, link);
        }
    }

    fn peer(&mut self, link: u64, event: PeerEvent) {
        if let PeerEvent::Frame(frame) = &event
            && let Some(body) = &frame.body
            && self.common_frame(link, body)
        {
            return;
        }
        match &mut self.part {
            Part::Follower(follower) if follower.is_leader_link(link) => {
                let may_send = follower.peer(&mut self.port, link, &event);
                if follower.serving_link() != Some(link) {
                    self.asked.retain(|(_, asker, _)| *asker != link);
                }
                if may_send {
                    self.entry.send_all(&mut self.port, link);
                }
            }
            Part::Follower(follower) if follower.is_probe(link) => {
                follower.probed(&mut self.port, link, &event);
                if follower.serving_link() == Some(link) {
                    self.entry.send_all(&mut self.port, link);
                }
            }
            Part::Follower(follower) => {
                if let PeerEvent::Frame(frame) = &event
                    && matches!(frame.body, Some(Body::Hello(_)))
                {
                    let (known_epoch, known_leader) = follower.leader();
                    let redirect =
                        Welcome { epoch: 0, is_serving: false, known_epoch, known_leader };
                    self.port.send(link, Body::Welcome(redirect));
                }
            }
            Part::Leader(leader) => leader.peer(&mut self.port, link, event),
        }
    }

    /// Frames that mean the same in each role; true where the frame was one.
    fn common_frame(&mut self, link: u64, body: &Body) -> bool {
        match body {
            Body::Reply(reply) => {
                let answer = entry::decode_answer(reply);
                self.entry.answer(&mut self.port, reply.id, answer);
            }
            Body::Ask(ask) => self.ask(link, ask),
            Body::Announce(announce) => self.announced(announce),
            _ => return false,
        }
        true
    }

    /// Learns of a leader that may have come later than the known one.
    fn announced(&mut self, announce: &Announce) {
        match &mut self.part {
            Part::Follower(follower) => {
                follower.announced(&mut self.port, announce.epoch, &announce.address);
            }
            Part::Leader(leader) if leader.is_older_than(announce.epoch) => {
                note!(self.port, Deposed, "by_epoch" => announce.epoch);
                let mut follower = self.step_down();
                follower.announced(&mut self.port, announce.epoch, &announce.address);
                self.part = Part::Follower(Box::new(follower));
            }
            Part::Leader(_) => {}
        }
    }

    fn step_down(&mut self) -> Follower {
        self.entry.unsend();
        let mut follower = Follower::after_leading(self.port.now);
        follower.is_leaving = self.stopping.is_some();
        follower
    }

    /// Makes an advice call for the leader.
    fn ask(&mut self, link: u64, ask: &Ask) {
        let call = self.port.call();
        self.asked.push((call, link, ask.id));
        self.port.out.push(Action::Advise {
            call,
            job: ask.job.as_str().into(),
            step: ask.step,
            workers: ask.workers.iter().map(|worker| worker.as_str().into()).collect(),
            timeout: Duration::from_millis(ask.timeout_ms.into()),
        });
    }

    fn advised(&mut self, call: u64, advised: Option<Advised>) {
        let position = self.asked.iter().position(|(own, ..)| *own == call);
        let Some(position) = position else {
            if let Part::Leader(leader) = &mut self.part {
                leader.advised(&mut self.port, call, advised);
            }
            return;
        };
        let (_, link, id) = self.asked.swap_remove(position);
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

    fn decide(&mut self, verdict: Verdict) {
        let Verdict::Lead { head, version, store_ms } = verdict else { return };
        note!(self.port, Leads, "epoch" => head.epoch, "version" => version);
        self.port.meter.count(Count::Leadership, "claimed", 1);
        self.entry.unsend();
        self.asked.clear();
        let members = match &self.part {
            Part::Follower(follower) => follower.members(),
            Part::Leader(_) => &[],
        };
        let leader = Leader::new(&mut self.port, head, version, store_ms, members);
        self.part = Part::Leader(Box::new(leader));
    }

    fn stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        note!(self.port, StopBegan, "requests" => self.entry.len());
        self.stopping = Some(self.port.now);
        match &mut self.part {
            Part::Leader(leader) => leader.resign(),
            Part::Follower(follower) => follower.is_leaving = true,
        }
    }

    fn woken(&mut self, gap: Duration) {
        self.port.lag.reset();
        note!(self.port, Woken, "gap_ms" => gap.as_millis() as u64);
        if gap >= LONG_SUSPENSION
            && let Part::Leader(leader) = &mut self.part
        {
            leader.doubt(self.port.now);
        }
    }

    /// Does what is due after each input.
    fn progress(&mut self) {
        let fate = match &mut self.part {
            Part::Follower(follower) => {
                follower.tick(&mut self.port);
                Fate::Stay
            }
            Part::Leader(leader) => {
                if leader.is_serving() {
                    for (id, call) in self.entry.take_local() {
                        leader.request(&mut self.port, Caller::Local(id), call);
                    }
                }
                let fate = leader.progress(&mut self.port);
                for (id, answer) in leader.take_local_answers() {
                    self.entry.answer(&mut self.port, id, answer);
                }
                fate
            }
        };
        if fate == Fate::StepDown {
            self.part = Part::Follower(Box::new(self.step_down()));
        }
        let (leaderless, is_cut_off) = match &self.part {
            Part::Follower(follower) => (follower.leaderless(self.port.now), follower.is_cut_off()),
            Part::Leader(_) => (None, false),
        };
        self.entry.expire(&mut self.port, leaderless, is_cut_off);
        self.tell_ready();
        self.exit_when_done();
        self.measure();
    }

    /// Notes levels, and how many log lines were left out.
    fn measure(&mut self) {
        if self.port.now < self.measured + MEASURE_PAUSE {
            return;
        }
        self.measured = self.port.now;
        let leader = match &self.part {
            Part::Leader(leader) => Some(leader),
            Part::Follower(_) => None,
        };
        self.port.meter.level(Level::Leads, u64::from(leader.is_some()));
        self.port.meter.level(Level::Lag, self.port.lag.mean().as_millis() as u64);
        self.port.meter.level(Level::Requests, self.entry.len() as u64);
        if let Some(leader) = leader {
            leader.measure(&self.port);
        }
        let left_out = self.port.sampler.take_left_out();
        if left_out > 0 {
            self.port.meter.count(Count::LinesLeftOut, "sampled", left_out);
            note!(self.port, LinesLeftOut, "lines" => left_out);
        }
    }

    fn tell_ready(&mut self) {
        let role = self.role();
        let is_ready = self.stopping.is_none() && matches!(role, Role::Following | Role::Leading);
        if self.is_ready != Some(is_ready) {
            self.is_ready = Some(is_ready);
            self.port.out.push(Action::Ready(is_ready));
        }
    }

    fn exit_when_done(&mut self) {
        let Some(since) = self.stopping else { return };
        let elapsed = self.port.now.saturating_sub(since);
        let is_idle = self.entry.len() == 0 && matches!(self.part, Part::Follower(_));
        let is_over = elapsed + EXIT_MARGIN >= self.port.config.grace;
        if !self.has_exited && ((is_idle && elapsed >= LINGER) || is_over) {
            self.has_exited = true;
            note!(self.port, StopDone, "requests" => self.entry.len());
            self.port.out.push(Action::Exit);
        }
    }
}
