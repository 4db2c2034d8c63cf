//! The follower: finds the leader, monitors it, and claims leadership on failover.
//!
//! A leader writes the head row at least every 250 ms. A follower that lost its leader reads
//! the row twice and claims leadership only if the row has not changed in between. The claim
//! is conditional on the version that was read, so it fails if the leader is alive after all,
//! and two claims never both succeed. A daemon waits longer before its claim if it knows others
//! of larger capacity, which lead better.

mod probe;
mod reads;

use std::time::Duration;

use common::Name;

use crate::action::Action;
use crate::config::Capacity;
use crate::event::log_event;
use crate::frame::{Body, Heartbeat};
use crate::head::{HEAD_KEY, Head, POOL_TABLE, read_head};
use crate::input::PeerEvent;
use crate::node::Context;
use crate::pending::Contact;
use crate::store::{CommitResult, Page, Row, RowKey, RowWrite, Transaction};

use reads::Reads;

/// Time without a heartbeat after which the leader is suspected to have failed.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(650);

/// Longest such time; it applies to a leader whose heartbeats have been late.
const MAX_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1300);

/// Multiple of the time between late heartbeats after which the leader is suspected.
const HEARTBEAT_TIMEOUT_FACTOR: u32 = 2;

/// Share that the longest time between heartbeats keeps with each further one.
const HEARTBEAT_INTERVAL_DECAY: f64 = 0.8;

/// Timeout for the leader's welcome on a new connection.
const JOIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Most wrong suspicions of a leader that make followers more patient with it.
const MAX_COUNTED_SUSPICIONS: u32 = 2;

/// Time without a wrong suspicion after which earlier ones are forgotten.
const SUSPICION_MEMORY: Duration = Duration::from_secs(10);

/// Age of the leader's last commit above which it is suspected, in ms.
const MAX_STORE_AGE_MS: u32 = 600;

/// Interval between reads of the head row while no leader is known.
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Delay before the second read of the head row if the leader is silent.
///
/// Longer than the leader's interval between commits.
const SILENT_DELAY: Duration = Duration::from_millis(350);

/// Delay before the second read of the head row if the connection was refused.
const REFUSED_DELAY: Duration = Duration::from_millis(60);

/// Multiple of the store's read latency that is added to the delay.
///
/// The leader's commits are as slow as the reads.
const STORE_LATENCY_FACTOR: u32 = 4;

/// Upper bound of the random delay that spreads claims over time, in ms.
const MAX_CLAIM_JITTER_MS: u64 = 80;

/// Delay after a resignation before followers other than the named successor claim.
const SUCCESSOR_HEAD_START: Duration = Duration::from_millis(300);

/// Additional delay before a claim if daemons of larger capacity are known.
const OUTRANKED_DELAY: Duration = Duration::from_millis(300);

/// Additional delay if there are still larger daemons than those.
const TWICE_OUTRANKED_DELAY: Duration = Duration::from_millis(500);

/// Delay before a former leader may claim a released leadership.
const RESIGNED_BACKOFF: Duration = Duration::from_millis(1500);

/// Time after which the head row is read for an unanswered claim.
const CLAIM_CHECK_DELAY: Duration = Duration::from_millis(120);

/// Timeout for reads and claims.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Progress in finding or replacing the leader.
#[derive(Debug)]
enum Stage {
    /// No leader is known.
    Searching,
    /// A connection to the leader is opened, or its welcome is awaited since a time of the loop
    /// clock.
    Joining { link: u64, since: Duration },
    /// The leader has welcomed this daemon and sends heartbeats; the time of the latest one is
    /// by the loop clock.
    Joined { link: u64, last_heartbeat: Duration, store_age_ms: u32, is_serving: bool },
    /// A claim has been sent and not answered.
    Claiming { call: u64, head: Head, since: Duration },
}

/// State of the head row since the leader was suspected to have failed.
#[derive(Debug)]
struct Suspicion {
    /// Version of the row at its first read; 0 before it.
    version: u64,
    since: Duration,
    /// Time after `since` at which an unchanged row allows a claim.
    delay: Duration,
}

/// Recent suspicions of a leader that proved to be alive.
#[derive(Debug, Default)]
struct WrongSuspicions {
    epoch: u64,
    count: u32,
    latest: Duration,
}

/// Change of role that results from an input.
#[derive(Debug)]
pub(crate) enum Transition {
    /// The daemon remains a follower.
    Stay,
    /// A request sent at `confirmed_at` showed that the claim succeeded; the daemon becomes leader.
    BecomeLeader { head: Head, version: u64, store_clock_ms: u64, confirmed_at: Duration },
}

/// State of a daemon that does not lead.
#[derive(Debug)]
pub(crate) struct Follower {
    stage: Stage,
    /// Call number and start of the read of the head row in progress.
    pending_read: Option<(u64, Duration)>,
    next_read_at: Duration,
    /// Reads of the head row that got no answer.
    reads: Reads,
    /// Latest known head row and its version; version 0 if learned from a peer.
    known_head: Option<(Head, u64)>,
    suspicion: Option<Suspicion>,
    /// Time before which a released leadership is not claimed.
    claim_not_before: Duration,
    /// Epoch of the latest known release, which `claim_not_before` considers; 0 for none.
    released_epoch: u64,
    /// Time since which no leader has been reached; meaningless while one is.
    leaderless_since: Duration,
    /// Duration of the latest read of the head row.
    store_latency: Duration,
    /// Whether the head row has changed since its leader was suspected.
    is_leader_alive: bool,
    /// Longest recent time between two heartbeats; it decays with each heartbeat.
    heartbeat_interval: Duration,
    wrong_suspicions: WrongSuspicions,
    /// Whether the leader is alive but unreachable from here.
    is_cut_off: bool,
    /// Peer addresses, as last sent by a leader.
    peer_addresses: Vec<Name>,
    /// Capacities of the peers in `peer_addresses`.
    peer_capacities: Vec<Capacity>,
    /// Links to peers that are probed for the leader.
    probes: Vec<u64>,
    /// Whether the daemon is stopping; it then makes no claim.
    pub is_stopping: bool,
}

impl Follower {
    /// Creates a follower that knows no leader.
    pub fn new(now: Duration) -> Self {
        Self {
            stage: Stage::Searching,
            pending_read: None,
            next_read_at: now,
            reads: Reads::default(),
            known_head: None,
            suspicion: None,
            claim_not_before: Duration::ZERO,
            released_epoch: 0,
            leaderless_since: now,
            store_latency: Duration::ZERO,
            is_leader_alive: false,
            heartbeat_interval: Duration::ZERO,
            wrong_suspicions: WrongSuspicions::default(),
            is_cut_off: false,
            peer_addresses: Vec::new(),
            peer_capacities: Vec::new(),
            probes: Vec::new(),
            is_stopping: false,
        }
    }

    /// Creates the follower that replaces a former leader; it delays its next claim.
    pub fn after_leading(now: Duration) -> Self {
        Self { claim_not_before: now + RESIGNED_BACKOFF, ..Self::new(now) }
    }

    /// Link to a leader that accepts requests; none if there is no such leader.
    pub fn serving_link(&self) -> Option<u64> {
        match self.stage {
            Stage::Joined { link, is_serving: true, .. } => Some(link),
            _ => None,
        }
    }

    /// Peer addresses, as last sent by a leader; empty before.
    pub fn peer_addresses(&self) -> &[Name] {
        &self.peer_addresses
    }

    /// Time since a leader was last reached; none while one is reached.
    pub fn time_without_leader(&self, now: Duration) -> Option<Duration> {
        let is_joined = matches!(self.stage, Stage::Joined { .. });
        (!is_joined).then(|| now.saturating_sub(self.leaderless_since))
    }

    /// How the latest known leader is reached.
    pub fn contact(&self, now: Duration) -> Contact {
        Contact {
            epoch: self.known_head.as_ref().map_or(0, |(head, _)| head.epoch),
            lost_for: self.time_without_leader(now),
            is_cut_off: self.is_cut_off,
        }
    }

    /// Epoch and address of the connected leader; 0 and empty if there is none.
    pub fn joined_leader(&self) -> (u64, String) {
        let is_joined = matches!(self.stage, Stage::Joined { .. });
        let known = self.known_head.as_ref().filter(|_| is_joined);
        known.map_or((0, String::new()), |(head, _)| (head.epoch, head.address.clone()))
    }

    /// Whether a link leads to the current leader.
    pub fn is_leader_link(&self, other: u64) -> bool {
        match self.stage {
            Stage::Joining { link, .. } | Stage::Joined { link, .. } => link == other,
            _ => false,
        }
    }

    /// Runs work that is due: timeouts of the leader and reads of the head row.
    pub fn tick(&mut self, ctx: &mut Context) {
        let loop_now = ctx.loop_clock.now();
        self.reads.report(ctx);
        match self.stage {
            Stage::Searching => self.read_head_if_due(ctx),
            Stage::Joining { link, since } if loop_now > since + JOIN_TIMEOUT => {
                ctx.actions.push(Action::Close { link });
                self.lose_leader(ctx, self.silent_delay(ctx.now), "no welcome");
            }
            Stage::Joined { link, last_heartbeat, .. }
                if loop_now > last_heartbeat + self.heartbeat_timeout() =>
            {
                ctx.actions.push(Action::Close { link });
                self.lose_leader(ctx, self.silent_delay(ctx.now), "no heartbeat");
            }
            Stage::Joined { store_age_ms, .. } if store_age_ms > MAX_STORE_AGE_MS => {
                self.read_head_if_due(ctx);
            }
            Stage::Claiming { since, .. } if ctx.now > since + CLAIM_CHECK_DELAY => {
                self.read_head_if_due(ctx);
            }
            _ => {}
        }
    }

    /// Time without a heartbeat after which the leader is suspected.
    fn heartbeat_timeout(&self) -> Duration {
        let timeout = self.heartbeat_interval * HEARTBEAT_TIMEOUT_FACTOR;
        timeout.clamp(HEARTBEAT_TIMEOUT, MAX_HEARTBEAT_TIMEOUT)
    }

    /// Factor on the delay of a suspicion; it grows if earlier ones of the leader were wrong.
    fn patience(&self, now: Duration) -> u32 {
        let wrong = &self.wrong_suspicions;
        let is_current =
            self.known_head.as_ref().is_some_and(|(head, _)| head.epoch == wrong.epoch);
        let is_recent = now < wrong.latest + SUSPICION_MEMORY;
        if is_current && is_recent { 1 + wrong.count.min(MAX_COUNTED_SUSPICIONS) } else { 1 }
    }

    /// Delay before the second read of the head row if the leader is silent.
    fn silent_delay(&self, now: Duration) -> Duration {
        SILENT_DELAY * self.patience(now)
    }

    /// Records that a suspected leader has changed the head row.
    fn record_wrong_suspicion(&mut self, now: Duration, epoch: u64) {
        let count = if self.patience(now) > 1 { self.wrong_suspicions.count } else { 0 };
        self.wrong_suspicions = WrongSuspicions { epoch, count: count + 1, latest: now };
    }

    /// Reads the head row if that is due and no read is in progress.
    fn read_head_if_due(&mut self, ctx: &mut Context) {
        if self.pending_read.is_some() || ctx.now < self.next_read_at {
            return;
        }
        let call = ctx.next_call_id();
        self.pending_read = Some((call, ctx.now));
        self.reads.record_sent(ctx);
        ctx.actions.push(read_head(call, STORE_TIMEOUT));
    }

    /// Drops the current leader and suspects it to have failed.
    fn lose_leader(&mut self, ctx: &mut Context, delay: Duration, reason: &'static str) {
        let epoch = self.known_head.as_ref().map_or(0, |(head, _)| head.epoch);
        log_event!(ctx, LeaderLost, "epoch" => epoch, "reason" => reason);
        if matches!(self.stage, Stage::Joined { .. }) {
            self.leaderless_since = ctx.now;
        }
        self.is_cut_off = self.is_leader_alive;
        let delay = self.suspicion.as_ref().map_or(delay, |suspicion| suspicion.delay.min(delay));
        self.stage = Stage::Searching;
        self.next_read_at = ctx.now;
        self.suspicion = Some(Suspicion { version: 0, since: ctx.now, delay });
    }

    /// Handles the head row that was read; none if the store did not answer.
    pub fn handle_read_result(
        &mut self,
        ctx: &mut Context,
        call: u64,
        page: Option<Page>,
    ) -> Transition {
        let Some((_, sent)) = self.pending_read.take_if(|(own, _)| *own == call) else {
            return Transition::Stay;
        };
        self.next_read_at = ctx.now + HEAD_POLL_INTERVAL;
        let Some(page) = page else {
            self.reads.record_failed();
            self.probe_peers(ctx);
            return Transition::Stay;
        };
        self.reads.record_answer(ctx);
        if let Stage::Claiming { head, .. } = &self.stage {
            return verify_claim(head, &page, sent);
        }
        let took = ctx.now.saturating_sub(sent);
        self.store_latency = took;
        if let Some(suspicion) = &mut self.suspicion
            && suspicion.version == 0
        {
            suspicion.delay += took * STORE_LATENCY_FACTOR;
        }
        self.evaluate_head(ctx, page.rows.into_iter().next());
        Transition::Stay
    }

    /// Claims, joins or keeps waiting, depending on the head row; none if it does not exist.
    fn evaluate_head(&mut self, ctx: &mut Context, row: Option<Row>) {
        let Some(row) = row else {
            self.claim(ctx, 0, 0);
            return;
        };
        let head = match Head::from_row(&row.value) {
            Ok(head) => head,
            Err(error) => {
                log_event!(ctx, RowIgnored, "key" => HEAD_KEY, "reason" => %error);
                return;
            }
        };
        let (epoch, version) = (head.epoch, row.version);
        let is_own = *head.address == *ctx.config.peer_address;
        let is_released = head.is_released;
        let known_epoch = self.known_head.as_ref().map(|(known, _)| known.epoch);
        if known_epoch.is_some_and(|known| known > epoch) {
            // Read before the leader claimed that has announced itself since.
            return;
        }
        let is_new = known_epoch != Some(epoch);
        if is_new && !is_own && !is_released {
            self.leave_leader(ctx, "head row names another leader");
        }
        self.known_head = Some((head, version));
        if is_released && self.released_epoch != epoch {
            self.released_epoch = epoch;
            self.claim_not_before = self.claim_not_before.max(ctx.now + self.rank_delay(ctx));
        }
        if (is_own && !is_released) || (is_released && ctx.now >= self.claim_not_before) {
            self.claim(ctx, epoch, version);
        } else if is_released {
            self.next_read_at = self.claim_not_before;
        } else if is_new {
            self.suspicion = None;
            self.connect_to_leader(ctx);
        } else {
            self.claim_if_head_unchanged(ctx, epoch, version);
        }
    }

    /// Claims if the head row has not changed since the leader was suspected.
    fn claim_if_head_unchanged(&mut self, ctx: &mut Context, epoch: u64, version: u64) {
        let is_joined = matches!(self.stage, Stage::Joined { .. });
        // A leader that still sends heartbeats has itself reported that it lost the store, so the
        // shorter delay suffices.
        let min_delay = if is_joined && self.patience(ctx.now) == 1 {
            REFUSED_DELAY + self.store_latency * STORE_LATENCY_FACTOR
        } else {
            self.silent_delay(ctx.now)
        };
        let delay = self.suspicion.as_ref().map_or(min_delay, |suspicion| suspicion.delay);
        match &self.suspicion {
            Some(suspicion) if suspicion.version == version => {
                if ctx.now >= suspicion.since + suspicion.delay {
                    self.claim(ctx, epoch, version);
                } else {
                    self.next_read_at = suspicion.since + suspicion.delay;
                }
            }
            Some(suspicion) if suspicion.version != 0 => {
                log_event!(ctx, ClaimAbandoned, "epoch" => epoch, "version" => version);
                self.suspicion = None;
                self.record_wrong_suspicion(ctx.now, epoch);
                if !is_joined {
                    self.is_leader_alive = true;
                    self.connect_to_leader(ctx);
                }
            }
            _ if is_joined || self.suspicion.is_some() => {
                let jitter = ctx.random_below(MAX_CLAIM_JITTER_MS);
                let delay = delay + self.rank_delay(ctx) + Duration::from_millis(jitter);
                self.suspicion = Some(Suspicion { version, since: ctx.now, delay });
                self.next_read_at = ctx.now + delay;
            }
            _ => self.connect_to_leader(ctx),
        }
    }

    /// Delay of a claim in favor of daemons of larger capacity that may be alive.
    fn rank_delay(&self, ctx: &Context) -> Duration {
        let own = ctx.config.capacity;
        let lost = self.known_head.as_ref().map(|(head, _)| head);
        let peers = self.peer_addresses.iter().zip(&self.peer_capacities);
        let alive =
            peers.filter(|(address, _)| lost.is_none_or(|head| *head.address != ***address));
        let mut larger: Vec<Capacity> =
            alive.map(|(_, capacity)| *capacity).filter(|peer| peer.outranks(own)).collect();
        // Without a list of members, the last leader's capacity tells what daemons there are.
        if self.peer_addresses.is_empty() {
            larger.extend(lost.map(Head::capacity).filter(|former| former.outranks(own)));
        }
        let is_outranked = |peer: &Capacity| larger.iter().any(|other| other.outranks(*peer));
        if larger.iter().any(is_outranked) {
            TWICE_OUTRANKED_DELAY
        } else if larger.is_empty() {
            Duration::ZERO
        } else {
            OUTRANKED_DELAY
        }
    }

    /// Leaves the current leader, if there is one, to join another or to claim.
    fn leave_leader(&mut self, ctx: &mut Context, reason: &'static str) {
        let (Stage::Joined { link, .. } | Stage::Joining { link, .. }) = self.stage else { return };
        ctx.actions.push(Action::Close { link });
        if matches!(self.stage, Stage::Joined { .. }) {
            let epoch = self.known_head.as_ref().map_or(0, |(head, _)| head.epoch);
            log_event!(ctx, LeaderLost, "epoch" => epoch, "reason" => reason);
            self.leaderless_since = ctx.now;
        }
        self.stage = Stage::Searching;
    }

    /// Opens a connection to the last known leader.
    fn connect_to_leader(&mut self, ctx: &mut Context) {
        let Some((head, _)) = &self.known_head else { return };
        let link = ctx.next_link_id();
        let address = Name::new(&head.address);
        ctx.actions.push(Action::Connect { link, address });
        self.stage = Stage::Joining { link, since: ctx.loop_clock.now() };
    }

    /// Claims leadership in the next epoch, conditional on the head row's version.
    fn claim(&mut self, ctx: &mut Context, epoch: u64, version: u64) {
        if self.is_stopping || matches!(self.stage, Stage::Claiming { .. }) {
            return;
        }
        let Some(next_epoch) = epoch.checked_add(1) else {
            log_event!(ctx, RowIgnored, "key" => HEAD_KEY, "reason" => "no epoch is higher");
            return;
        };
        self.leave_leader(ctx, "claiming leadership");
        let former = self.known_head.as_ref().filter(|(known, _)| known.epoch == epoch);
        let head = Head {
            slow_ms: former.map_or(0, |(known, _)| known.slow_ms),
            promotion_ms: former.map_or(0, |(known, _)| known.promotion_ms),
            epoch: next_epoch,
            member: ctx.config.member.to_string(),
            address: ctx.config.peer_address.to_string(),
            incarnation: ctx.config.incarnation,
            commit: 0,
            is_released: false,
            cpu_millis: ctx.config.capacity.cpu_millis,
            link_kbps: ctx.config.capacity.link_kbps,
        };
        log_event!(ctx, Claiming, "epoch" => head.epoch, "version" => version);
        let call = ctx.next_call_id();
        let checked_row = RowKey { table: POOL_TABLE, key: Name::new(HEAD_KEY) };
        let write = RowWrite { key: checked_row.clone(), value: head.to_row() };
        let transaction = Transaction {
            checked_row,
            expected_version: version,
            writes: vec![write],
            deletes: Vec::new(),
        };
        ctx.actions.push(Action::Commit { call, transaction, timeout: STORE_TIMEOUT });
        self.stage = Stage::Claiming { call, head, since: ctx.now };
        self.suspicion = None;
    }

    /// Handles the result of a claim.
    pub fn handle_claim_result(
        &mut self,
        ctx: &mut Context,
        answered: u64,
        commit: CommitResult,
    ) -> Transition {
        let Stage::Claiming { call, head, since } = &self.stage else { return Transition::Stay };
        if *call != answered {
            return Transition::Stay;
        }
        let (head, confirmed_at) = (head.clone(), *since);
        self.stage = Stage::Searching;
        self.next_read_at = ctx.now + HEAD_POLL_INTERVAL;
        match commit {
            CommitResult::Committed { version, store_clock_ms } => {
                Transition::BecomeLeader { head, version, store_clock_ms, confirmed_at }
            }
            CommitResult::Conflict { row } => {
                log_event!(ctx, ClaimFailed, "epoch" => head.epoch, "reason" => "head row changed");
                self.known_head = None;
                self.evaluate_head(ctx, row);
                Transition::Stay
            }
            CommitResult::Refused | CommitResult::Rejected | CommitResult::Unknown => {
                let is_rejected = commit == CommitResult::Rejected;
                let reason = if is_rejected { "rejected by the store" } else { "no answer" };
                log_event!(ctx, ClaimFailed, "epoch" => head.epoch, "reason" => reason);
                Transition::Stay
            }
        }
    }

    /// Handles an event on the link to the leader; true if requests may be forwarded now.
    pub fn handle_leader_event(&mut self, ctx: &mut Context, from: u64, event: &PeerEvent) -> bool {
        if !self.is_leader_link(from) {
            return false;
        }
        match event {
            PeerEvent::Connected => self.send_hello(ctx, from),
            PeerEvent::Refused => self.lose_leader(ctx, REFUSED_DELAY, "connection refused"),
            PeerEvent::Closed => {
                // A dead process refuses the next connection; a live one may just have closed
                // this one.
                self.lose_leader(ctx, self.silent_delay(ctx.now), "connection closed");
                self.connect_to_leader(ctx);
            }
            PeerEvent::Accepted => {}
            PeerEvent::Frame(frame) => return self.handle_frame(ctx, from, frame.body.as_ref()),
        }
        false
    }

    /// Handles a frame from the leader; true if requests may be forwarded now.
    fn handle_frame(&mut self, ctx: &mut Context, from: u64, body: Option<&Body>) -> bool {
        let epoch = self.known_head.as_ref().map_or(0, |(head, _)| head.epoch);
        match body {
            Some(Body::Welcome(welcome)) if welcome.epoch < epoch || welcome.epoch == 0 => {
                ctx.actions.push(Action::Close { link: from });
                // The peer is reachable and may not know yet that its claim succeeded.
                self.is_leader_alive = false;
                self.lose_leader(ctx, REFUSED_DELAY, "peer does not lead");
            }
            Some(Body::Welcome(welcome)) => {
                log_event!(ctx, LeaderFound, "epoch" => welcome.epoch);
                self.heartbeat_interval = Duration::ZERO;
                self.mark_joined(ctx, from, welcome.is_serving, 0);
                return welcome.is_serving;
            }
            Some(Body::Beat(heartbeat)) => {
                if let Stage::Joined { last_heartbeat, .. } = self.stage {
                    let interval = ctx.loop_clock.now().saturating_sub(last_heartbeat);
                    let decayed = self.heartbeat_interval.mul_f64(HEARTBEAT_INTERVAL_DECAY);
                    self.heartbeat_interval = interval.max(decayed);
                }
                self.mark_joined(ctx, from, heartbeat.is_serving, heartbeat.store_age_ms);
                let lag_us = ctx.lag.mean().as_micros() as u32;
                let (epoch, is_stopping) = (heartbeat.epoch, self.is_stopping);
                let reply = Heartbeat { epoch, lag_us, is_stopping, ..Heartbeat::default() };
                ctx.send(from, Body::Beat(reply));
                return heartbeat.is_serving;
            }
            Some(Body::Members(members)) => {
                (self.peer_addresses, self.peer_capacities) =
                    members.iter().map(|(address, peer)| (Name::new(address), peer)).unzip();
                if let Some(bounds) = members.bounds {
                    ctx.needs_keys = Some(members.needs_keys);
                    ctx.actions.push(Action::SetRequestLimits(bounds));
                }
            }
            Some(Body::Resign(resignation)) => {
                let is_successor = *resignation.successor == *ctx.config.member;
                ctx.actions.push(Action::Close { link: from });
                self.lose_leader(ctx, REFUSED_DELAY, "leader resigned");
                self.released_epoch = resignation.epoch;
                self.claim_not_before = if is_successor {
                    Duration::ZERO
                } else {
                    ctx.now + SUCCESSOR_HEAD_START + self.rank_delay(ctx)
                };
            }
            _ => {}
        }
        false
    }

    /// Records that the leader has answered on a link.
    fn mark_joined(&mut self, ctx: &Context, link: u64, is_serving: bool, store_age_ms: u32) {
        if store_age_ms <= MAX_STORE_AGE_MS {
            self.suspicion = None;
        }
        self.is_leader_alive = false;
        self.is_cut_off = false;
        self.reads.pause();
        let last_heartbeat = ctx.loop_clock.now();
        self.stage = Stage::Joined { link, last_heartbeat, store_age_ms, is_serving };
    }
}

/// Checks in the head row, read at `sent`, whether a claim succeeded whose answer was lost.
fn verify_claim(claim: &Head, page: &Page, sent: Duration) -> Transition {
    let Some(row) = page.rows.first() else { return Transition::Stay };
    match Head::from_row(&row.value) {
        Ok(head) if head == *claim => Transition::BecomeLeader {
            head,
            version: row.version,
            store_clock_ms: page.store_clock_ms,
            confirmed_at: sent,
        },
        _ => Transition::Stay,
    }
}
