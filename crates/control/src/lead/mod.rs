//! The leader: takes requests, keeps the pool's state durable, drives the workers.

mod advisors;
mod journal;
mod links;
mod measure;
mod orders;
mod peers;
mod recovery;
mod requests;
mod views;
mod watch;

use std::collections::HashMap;
use std::time::Duration;

use scheduler::{Scheduler, Wait};

use crate::Body;
use crate::action::Action;
use crate::answer::Answer;
use crate::event::note;
use crate::frame::Resign;
use crate::head::Head;
use crate::input::{Advised, Input, OrderReply, PeerEvent, RenewReply};
use crate::meter::Count;
use crate::node::Port;
use crate::store::{Commit, Page};

use advisors::Advisors;
use journal::{Effect, Journal, Outcome};
use links::Links;
use orders::Orders;
use peers::Peers;
use recovery::Recovery;

pub(crate) use requests::Caller;

/// Least pause between two placement passes.
const PLAN_PAUSE: Duration = Duration::from_millis(5);

/// Added to the pause for each open job, since a pass looks at them all.
const PLAN_PAUSE_A_JOB: Duration = Duration::from_micros(50);

/// Longest pause between two placement passes, as tickets and quarantines run out.
const PLAN_IDLE: Duration = Duration::from_millis(50);

/// Jobs forgotten at once at the most.
const FORGET_AT_ONCE: usize = 50;

/// Pause between two looks for jobs to forget.
const FORGET_PAUSE: Duration = Duration::from_secs(1);

/// Mean lateness of the timer from which on a leader may be too slow; the usual one is the
/// timer's resolution, 1 ms.
const LAG_LIMIT: Duration = Duration::from_millis(5);

/// How much later than the quickest follower's the leader's timer must be.
const LAG_FACTOR: u32 = 3;

/// How long the leader must be too slow before it gives its place up.
const LAG_PATIENCE: Duration = Duration::from_millis(400);

/// Time after a takeover in which slowness is no sign, as recovery takes the processor.
const LAG_GRACE: Duration = Duration::from_secs(6);

/// Least time between two changes of leader for slowness: where the next leader soon falls
/// behind too, the work is too much for any of them, and each change costs more.
const LAG_REST: Duration = Duration::from_mins(1);

common::key! {
    /// What becomes of a leader.
    pub(crate) enum Fate {
        /// It goes on.
        Stay,
        /// Another leads, or its place is given up.
        StepDown,
    }
}

/// The store's clock as last heard.
#[derive(Debug, Clone, Copy)]
struct Clock {
    store_ms: u64,
    heard: Duration,
}

impl Clock {
    fn at(&self, now: Duration) -> u64 {
        self.store_ms + now.saturating_sub(self.heard).as_millis() as u64
    }
}

/// State of the daemon that leads.
#[derive(Debug)]
pub(crate) struct Leader {
    epoch: u64,
    scheduler: Scheduler,
    journal: Journal,
    links: Links,
    orders: Orders,
    advisors: Advisors,
    peers: Peers,
    recovery: Option<Recovery>,
    clock: Clock,
    local_answers: Vec<(u64, Answer)>,
    rules_at: Option<Duration>,
    rules_cursor: Option<u64>,
    roster_at: Option<Duration>,
    roster_cursor: Option<u64>,
    planned: Duration,
    is_changed: bool,
    forgot: Duration,
    fate: Fate,
    is_resigning: bool,
    /// Since when it is not sure that it leads; none while it is.
    doubted: Option<Duration>,
    /// Since when it leads.
    began: Duration,
    /// Since when its processor falls behind those of its followers.
    slow_since: Option<Duration>,
    /// What overdue jobs were last logged to wait for.
    waits: HashMap<common::Name, Wait>,
    waits_noted: Duration,
}

impl Leader {
    /// A leader that has just claimed its place.
    pub fn new(
        port: &mut Port,
        head: Head,
        version: u64,
        store_ms: u64,
        members: &[common::Name],
    ) -> Self {
        let now = port.now;
        let mut leader = Self {
            epoch: head.epoch,
            scheduler: Scheduler::default(),
            journal: Journal::new(head, version, now, port.config.commit_time),
            links: Links::new(now),
            orders: Orders::default(),
            advisors: Advisors::default(),
            peers: Peers::expecting(members, &port.config.address, now),
            recovery: None,
            clock: Clock { store_ms, heard: now },
            local_answers: Vec::new(),
            rules_at: Some(now),
            rules_cursor: None,
            roster_at: Some(now),
            roster_cursor: None,
            planned: Duration::ZERO,
            is_changed: true,
            forgot: now,
            fate: Fate::Stay,
            is_resigning: false,
            doubted: None,
            began: now,
            slow_since: None,
            waits: HashMap::new(),
            waits_noted: now,
        };
        leader.recovery = Some(Recovery::begin(port));
        // The head row moves at once, so that others see that its owner is alive.
        leader.journal.confirm();
        leader
    }

    /// Whether it takes requests.
    pub fn is_serving(&self) -> bool {
        self.recovery.is_none() && !self.is_resigning && self.scheduler.rules.is_some()
    }

    /// The scheduler's state.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Answers for callers of this process.
    pub fn take_local_answers(&mut self) -> Vec<(u64, Answer)> {
        std::mem::take(&mut self.local_answers)
    }

    /// Begins to give its place up.
    pub fn resign(&mut self) {
        self.is_resigning = true;
        self.journal.release();
    }

    /// Makes sure that it still leads before it starts anything more.
    pub fn doubt(&mut self, now: Duration) {
        self.doubted = Some(now);
        self.journal.confirm();
    }

    fn store_ms(&self, now: Duration) -> u64 {
        self.clock.at(now)
    }

    /// Takes rows that were read; none where the store did not answer.
    pub fn read(&mut self, port: &mut Port, call: u64, page: Option<Page>) {
        let outcome = self.journal.read(port, call, page.as_ref());
        self.settle(port, outcome);
        let Some(recovery) = &mut self.recovery else { return };
        let Some(recovered) = recovery.read(port, call, page) else { return };
        for row in recovered.rows {
            self.journal.note_row(row);
        }
        for (id, (row, record)) in recovered.jobs {
            let now_ms = self.clock.at(port.now);
            let age = Duration::from_millis(now_ms.saturating_sub(record.arrived_ms));
            let arrived = port.now.saturating_sub(age);
            self.journal.place(common::Name::from(id.as_str()), row);
            recovery::restore(port, &mut self.scheduler, record, arrived);
        }
    }

    /// Takes any other input.
    pub fn input(&mut self, port: &mut Port, input: Input) {
        match input {
            Input::Watch { what, result, .. } => self.watched(port, what, result),
            Input::Order { call, reply } => self.order_reply(port, call, reply),
            Input::Renew { call, reply } => self.renew_reply(port, call, reply),
            _ => {}
        }
    }

    /// Takes the outcome of a commit.
    pub fn committed(&mut self, port: &mut Port, call: u64, commit: Commit) {
        if let Commit::Done { store_ms, .. } = commit {
            self.clock = Clock { store_ms, heard: port.now };
        }
        let outcome = self.journal.committed(port, call, commit);
        self.settle(port, outcome);
    }

    /// Does what follows from a commit.
    fn settle(&mut self, port: &mut Port, outcome: Outcome) {
        match outcome {
            Outcome::None => {}
            Outcome::Durable { jobs, effects, sent } => {
                self.doubted = self.doubted.filter(|since| sent < *since);
                for (id, phase) in jobs {
                    self.job_durable(port, &id, phase);
                }
                for effect in effects {
                    self.carry_out(port, effect);
                }
                self.is_changed = true;
            }
            Outcome::Released => {
                let successor = self.peers.successor().unwrap_or_default();
                note!(port, Resigned, "epoch" => self.epoch, "successor" => %successor);
                let resign = Resign { epoch: self.epoch, successor: successor.to_string() };
                self.peers.broadcast(port, &Body::Resign(resign));
                self.fate = Fate::StepDown;
            }
            Outcome::Deposed { epoch } => {
                note!(port, Deposed, "epoch" => self.epoch, "by_epoch" => epoch);
                port.meter.count(Count::Leadership, "deposed", 1);
                self.fate = Fate::StepDown;
            }
        }
    }

    fn carry_out(&mut self, port: &mut Port, effect: Effect) {
        match effect {
            Effect::Answer(caller, answer) => self.answer(port, &caller, answer),
            Effect::State(caller, id) => {
                let answer = self.state(&id).unwrap_or(Answer::NoJob);
                self.answer(port, &caller, answer);
            }
            Effect::Start(start) if self.doubted.is_some() => {
                self.journal.after(Effect::Start(start));
            }
            Effect::Start(start) => self.send_start(port, start),
            Effect::Seen { worker, born, number } => {
                self.links.acknowledge(port.now, &worker, born, number);
            }
        }
    }

    /// Takes the answer of an advice call made here.
    pub fn advised(&mut self, port: &mut Port, call: u64, advised: Option<Advised>) {
        let Some((job, step)) = self.advisors.done(port, call) else { return };
        port.meter.count(Count::Advice, if advised.is_some() { "answered" } else { "failed" }, 1);
        if advised.is_none() {
            note!(port, AdviceFailed, "job" => %job, "step" => step);
        }
        let allowed = advised.map(|advised| (advised.allowed, advised.validity));
        self.scheduler.advised(&job, step, allowed, port.now);
        self.is_changed = true;
    }

    /// Takes an event on a link to a peer.
    pub fn peer(&mut self, port: &mut Port, link: u64, event: PeerEvent) {
        match event {
            PeerEvent::Frame(frame) => {
                if let Some(body) = frame.body {
                    self.frame(port, link, body);
                }
            }
            PeerEvent::Refused | PeerEvent::Closed => {
                self.peers.remove(link);
                for (job, step) in self.advisors.drop_link(link) {
                    self.scheduler.advised(&job, step, None, port.now);
                }
            }
            PeerEvent::Connected => self.peers.connected(port, link, self.epoch),
            PeerEvent::Accepted => {}
        }
    }

    /// Learns of another leader; true where that one came later.
    pub fn is_older_than(&self, epoch: u64) -> bool {
        self.epoch < epoch
    }

    /// Does what is due.
    pub fn progress(&mut self, port: &mut Port) -> Fate {
        if self.fate == Fate::StepDown {
            return self.fate;
        }
        self.watch(port);
        if let Some(recovery) = &mut self.recovery {
            recovery.tick(port);
            if recovery.is_done() && self.roster_cursor.is_some() {
                self.recovery = None;
                let jobs = self.scheduler.jobs.len();
                note!(port, Serves, "epoch" => self.epoch, "jobs" => jobs);
            }
        }
        if self.recovery.is_none() {
            self.drive(port);
        }
        self.watch_peers(port);
        let store_age = self.journal.age(port.now);
        self.peers.beat(port, self.epoch, store_age, self.is_serving());
        self.journal.progress(port, &self.scheduler);
        self.fate
    }

    /// Drops silent followers, and gives its place up where most of them fell silent.
    fn watch_peers(&mut self, port: &mut Port) {
        for link in self.peers.drop_silent(port.now) {
            port.out.push(Action::Close { link });
            for (job, step) in self.advisors.drop_link(link) {
                self.scheduler.advised(&job, step, None, port.now);
            }
        }
        self.peers.announce(port);
        self.watch_lag(port);
        if self.peers.is_cut_off(port.now) && !self.is_resigning {
            note!(port, LeaderCutOff, "epoch" => self.epoch);
            self.resign();
        }
    }

    /// Gives its place up where its processor falls behind and a follower's does not.
    fn watch_lag(&mut self, port: &Port) {
        let lag = port.lag.mean();
        let quickest = self.peers.quickest();
        let is_slow =
            lag >= LAG_LIMIT && quickest.is_some_and(|(_, follower)| lag >= follower * LAG_FACTOR);
        let rests_until = self.journal.slow_ms() + LAG_REST.as_millis() as u64;
        let rests = self.journal.slow_ms() > 0 && self.store_ms(port.now) < rests_until;
        if !is_slow || rests || self.is_resigning || port.now < self.began + LAG_GRACE {
            self.slow_since = None;
            return;
        }
        let since = *self.slow_since.get_or_insert(port.now);
        if port.now >= since + LAG_PATIENCE {
            note!(port, LeaderSlow, "epoch" => self.epoch, "lag_us" => lag.as_micros() as u64,
                "quickest_us" => quickest.map_or(0, |(_, lag)| lag.as_micros() as u64));
            let store_ms = self.store_ms(port.now);
            self.journal.note_slow(store_ms);
            self.resign();
        }
    }

    fn drive(&mut self, port: &mut Port) {
        self.renew_workers(port);
        self.forget_ended(port);
        let since = port.now.saturating_sub(self.planned);
        let pause = PLAN_PAUSE + PLAN_PAUSE_A_JOB * self.scheduler.open_jobs() as u32;
        let is_due = (self.is_changed && since >= pause) || since >= PLAN_IDLE.max(pause);
        if is_due && !self.is_resigning {
            self.planned = port.now;
            self.is_changed = false;
            self.scheduler.plan(port.now, self.journal.latency());
        }
        for (job, step) in self.advisors.expire(port.now) {
            note!(port, AdviceFailed, "job" => %job, "step" => step, "reason" => "no answer");
            self.scheduler.advised(&job, step, None, port.now);
        }
        for ask in std::mem::take(&mut self.scheduler.asks) {
            self.advisors.ask(ask);
        }
        self.advisors.progress(port, &self.peers, &self.scheduler);
        self.note_waits(port);
        for stop in std::mem::take(&mut self.scheduler.stops) {
            self.send_stop(port, stop);
        }
        self.retry_orders(port);
        for worker in std::mem::take(&mut self.scheduler.quarantined) {
            note!(port, WorkerAvoided, "worker" => %worker);
            port.meter.count(Count::Workers, "avoided", 1);
        }
        self.journal.enqueue(std::mem::take(&mut self.scheduler.dirty));
        for start in std::mem::take(&mut self.scheduler.starts) {
            self.journal.after(Effect::Start(start));
        }
    }

    fn forget_ended(&mut self, port: &Port) {
        if port.now < self.forgot + FORGET_PAUSE {
            return;
        }
        self.forgot = port.now;
        let now_ms = self.store_ms(port.now);
        let keep_ms = port.config.keep_ended.as_millis() as u64;
        let is_old = |job: &&scheduler::Job| {
            job.phase != scheduler::Phase::Open
                && job.durable == Some(job.phase)
                && job.ended_ms + keep_ms < now_ms
        };
        let old = self.scheduler.jobs.values().filter(is_old).take(FORGET_AT_ONCE);
        let old: Vec<_> = old.map(|job| job.id.clone()).collect();
        for id in old {
            if self.scheduler.forget(&id) {
                self.journal.forget(&id);
            }
        }
    }

    fn renew_reply(&mut self, port: &mut Port, call: u64, reply: RenewReply) {
        self.listed(port, call, reply);
        self.is_changed = true;
    }

    fn order_reply(&mut self, port: &mut Port, call: u64, reply: OrderReply) {
        self.ordered(port, call, reply);
        self.is_changed = true;
    }
}
