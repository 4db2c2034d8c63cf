//! State of one daemon, as an actor: handles input, performs I/O and runs periodic work.
//!
//! The modules that decide ([`home`], [`allocator`], [`quick`], [`claims`],
//! [`membership`]) do no I/O; [`home`], [`allocator`] and [`quick`] queue
//! [`action::Action`]s that the node performs after each input.

pub mod action;
pub mod allocator;
mod apply;
pub mod call;
pub mod claims;
pub mod digests;
mod entry;
pub mod forward;
pub mod home;
mod homes;
mod journals;
mod leave;
pub mod membership;
mod ownership;
mod peers;
pub mod quick;
mod racks;
pub mod retries;
pub mod shared;
pub mod store;
pub mod survey;
pub mod usage;
pub mod versions;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant, UNIX_EPOCH};

use border::{Executors, Objects, Table, VmList, Workers};
use common::{ErrorKind, Name};
use rand::SeedableRng;
use rand::rngs::StdRng;
use slog::Logger;
use stakker::{CX, Ret, after, call};
use wire::{Body, Frame};

use self::action::{Action, Waiter};
use self::allocator::Allocator;
use self::call::{Call, Calls, Purpose};
use self::claims::Scope;
use self::home::Home;
use self::membership::{Member, Membership};
use self::shared::Shared;
use self::store::Store;
use crate::event::{Event, emit};
use crate::front::Front;
use crate::mesh::Mesh;
use crate::telemetry::Metrics;

/// Interval between runs of the periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of calls that carry no time limit of their own.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// State in the answer of a home whose partition moved to another owner.
const STATE_MOVED: &str = "moved";

/// Interfaces to everything outside the node.
pub struct Interfaces {
    /// Table of the platform.
    pub table: Box<dyn Table>,
    /// Object store of the platform.
    pub objects: Box<dyn Objects>,
    /// Client of the workers.
    pub workers: Box<dyn Workers>,
    /// Client of the executors.
    pub executors: Box<dyn Executors>,
    /// Source of the list of VMs.
    pub vms: Box<dyn VmList>,
    /// Connections to the other daemons.
    pub mesh: Box<dyn Mesh>,
    /// HTTP server for callers and operators.
    pub http: Box<dyn Front>,
}

impl std::fmt::Debug for Interfaces {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Interfaces").finish_non_exhaustive()
    }
}

/// Initial configuration of a node.
#[derive(Debug)]
pub struct Setup {
    /// Settings of the daemon.
    pub config: settings::Daemon,
    /// Identifies this start; grows with each start unless the clock runs backwards.
    pub incarnation: u64,
    /// Seed of the random generator for jitter and sampling.
    pub seed: u64,
    /// Logger for the numbered events.
    pub log: Logger,
    /// Recorder of metrics and traces.
    pub metrics: Metrics,
}

/// Actor that holds the state of one daemon.
#[derive(Debug)]
pub struct Node {
    shared: Shared,
    interfaces: Interfaces,
    log: Logger,
    metrics: Metrics,
    calls: Calls,
    /// Calls that could not be sent, to be ended on the next turn.
    failed_calls: Vec<u64>,
    homes: HashMap<u32, Home>,
    /// Partitions whose journal is being read.
    recovering: HashSet<u32>,
    handovers: BTreeMap<Scope, Handover>,
    journals: journals::Journals,
    /// When to resend the segment in flight, by partition.
    resend_at: HashMap<u32, Instant>,
    /// Earliest time of the next segment, by partition.
    flush_at: HashMap<u32, Instant>,
    allocators: BTreeMap<Name, Allocator>,
    quick_tracker: quick::Tracker,
    forwards: forward::Forwards,
    peers: HashMap<Name, peers::PeerState>,
    surveys: survey::Surveys,
    pending_changes: Vec<apply::PendingChange>,
    leaving_vms: HashSet<Name>,
    /// Submission rate limits by customer.
    rate_limits: HashMap<Name, border::limit::TokenBucket>,
    schedule: Schedule,
    outage: Outage,
    stop: Option<leave::Stop>,
    /// When the last tick ran.
    last_tick: Instant,
}

/// Progress of a scope's handover.
#[derive(Debug, Clone, Copy)]
struct Handover {
    /// Whether the release is committed or in flight.
    is_release_sent: bool,
}

common::key! {
    /// Kind of table call; at most one of each kind is in flight.
    enum TableCall {
        /// Renewal or deletion of this daemon's member row.
        Renewal,
        /// Read of the settings head, the member rows and the ownership rows.
        Read,
        /// Claim of scopes.
        Claim,
        /// Fetch of newer settings.
        Fetch,
    }
}

/// When each kind of recurring work is next due, and which table calls are in flight.
#[derive(Debug)]
struct Schedule {
    renew: Instant,
    read: Instant,
    claims_read: Instant,
    heartbeat: Instant,
    digest: Instant,
    usage: Instant,
    vm_list: Instant,
    in_flight: BTreeSet<TableCall>,
    /// Byte budget for digests.
    digest_bytes: border::limit::TokenBucket,
}

/// State of a table outage, and the lease and settings state last logged.
#[derive(Debug, Default)]
struct Outage {
    /// Whether a connected majority of the members agrees that the table is down.
    is_agreed: bool,
    /// Whether the lease was valid when last logged.
    was_valid: bool,
    /// Whether the settings were confirmed when last logged.
    was_confirmed: bool,
}

impl Node {
    /// Creates the node and schedules its first tick.
    pub fn init(cx: CX![], setup: Setup, interfaces: Interfaces) -> Option<Self> {
        let now = cx.now();
        let Setup { config, incarnation, seed, log, metrics } = setup;
        let me = Member {
            name: config.member.clone(),
            incarnation,
            domain: config.domain.clone(),
            peer_address: config.peer_address,
            http_address: config.http_address,
            beat: 0,
            is_leaving: false,
        };
        let membership = Membership::new(me, config.timing.member_lease, now);
        let store =
            Store::new(config.budgets.table_writes_per_s, config.budgets.table_reads_per_s, now);
        let retries = retries::Retries::new(config.budgets.retries_per_s);
        let digest_rate = f64::from(config.budgets.digest_bytes_per_s);
        let shared = Shared {
            config,
            retries,
            versions: versions::Versions::default(),
            digests: digests::Digests::default(),
            claims: claims::Claims::default(),
            membership,
            usages: usage::Usages::default(),
            store,
            random: StdRng::seed_from_u64(seed),
            now,
            wall_us: 0,
            is_outage_agreed: false,
        };
        after!(Duration::ZERO, [cx], tick());
        Some(Self {
            shared,
            interfaces,
            log,
            metrics,
            calls: Calls::new(incarnation),
            failed_calls: Vec::new(),
            homes: HashMap::new(),
            recovering: HashSet::new(),
            handovers: BTreeMap::new(),
            journals: journals::Journals::default(),
            resend_at: HashMap::new(),
            flush_at: HashMap::new(),
            allocators: BTreeMap::new(),
            quick_tracker: quick::Tracker::default(),
            forwards: forward::Forwards::default(),
            peers: HashMap::new(),
            surveys: survey::Surveys::default(),
            pending_changes: Vec::new(),
            leaving_vms: HashSet::new(),
            rate_limits: HashMap::new(),
            schedule: Schedule::new(now, digest_rate),
            outage: Outage::default(),
            stop: None,
            last_tick: now,
        })
    }

    /// Begins a graceful shutdown; `done` receives whether it ended cleanly.
    pub fn stop(&mut self, cx: CX![], done: Ret<bool>) {
        self.update_clock(cx);
        self.begin_stop(cx, done);
    }

    /// Updates the cached clocks; called at the start of each handler.
    fn update_clock(&mut self, cx: CX![]) {
        self.shared.now = cx.now();
        let since = cx.systime().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.shared.wall_us = since.as_micros() as u64;
    }

    fn log_event(&self, event: Event, detail: impl std::fmt::Display) {
        emit(&self.log, event, detail);
    }

    /// Runs the periodic work.
    fn tick(&mut self, cx: CX![]) {
        self.update_clock(cx);
        let lag = self.shared.now.saturating_duration_since(self.last_tick);
        self.metrics.record_loop_lag(lag.saturating_sub(TICK_INTERVAL));
        self.last_tick = self.shared.now;
        self.update_validity();
        self.run_due_work(cx);
        self.end_expired_calls(cx);
        self.tick_homes();
        self.tick_racks();
        self.quick_tracker.tick(&mut self.shared);
        self.retry_due(cx);
        self.delete_covered_segments(cx);
        self.continue_releases(cx);
        self.answer_pending_changes();
        self.finish_surveys();
        self.perform_actions(cx);
        self.continue_stop(cx);
        after!(TICK_INTERVAL, [cx], tick());
    }

    fn tick_homes(&mut self) {
        if !self.shared.can_act_as_owner() {
            return;
        }
        for home in self.homes.values_mut() {
            home.tick(&mut self.shared);
        }
    }

    fn tick_racks(&mut self) {
        for allocator in self.allocators.values_mut() {
            allocator.tick(&self.shared);
        }
    }

    // Performing queued actions.

    /// Performs all queued actions, sends the calls to workers and flushes the journals.
    fn perform_actions(&mut self, cx: CX![]) {
        loop {
            let mut actions = self.quick_tracker.take_actions();
            for home in self.homes.values_mut() {
                actions.append(&mut home.take_actions());
            }
            for allocator in self.allocators.values_mut() {
                actions.append(&mut allocator.take_actions());
            }
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.perform_action(cx, action);
            }
        }
        self.send_worker_calls(cx);
        self.flush_journals(cx);
        let waits = std::mem::take(&mut self.quick_tracker.waits_us);
        for wait in waits {
            self.metrics.record_quick_wait(Duration::from_micros(wait));
        }
    }

    fn perform_action(&mut self, cx: CX![], action: Action) {
        match action {
            Action::Answer(to, answer) => self.answer(cx, to, *answer),
            Action::Ack(to, kind, text) => {
                let code = kind.map_or(0, ErrorKind::code);
                self.reply(cx, &to, Body::Ack(wire::Ack { code, text }));
            }
            Action::CallRack(rack, body, purpose) => {
                let owner = self.shared.owner_of(&Scope::Rack(rack));
                self.call_member(cx, owner, body, purpose);
            }
            Action::NotifyRack(rack, body) => {
                if let Some(owner) = self.shared.owner_of(&Scope::Rack(rack)) {
                    self.notify(cx, &owner, body);
                }
            }
            Action::CallHome(partition, body, purpose) => {
                let owner = self.shared.owner_of(&Scope::Partition(partition));
                self.call_member(cx, owner, body, purpose);
            }
            Action::Log(event, detail) => self.log_event(event, detail),
        }
    }

    /// Sends a call; if it cannot be sent, it fails on the next turn of the loop.
    fn call_member(&mut self, cx: CX![], to: Option<Name>, body: Body, purpose: Purpose) {
        let timeout = match (&purpose, &body) {
            (Purpose::Quick { .. } | Purpose::QuickOnce { .. }, Body::Quick(quick)) => {
                Duration::from_millis(quick.remaining_ms) + forward::REPLY_GRACE
            }
            (Purpose::Forward(token), _) => {
                let until = self.forwards.get(*token).map(|forward| forward.deadline);
                let remaining = until.map(|until| until.saturating_duration_since(self.shared.now));
                // Twice the grace: the home itself waits for its own calls.
                remaining.unwrap_or_default() + forward::REPLY_GRACE * 2
            }
            _ => CALL_TIMEOUT,
        };
        let deadline = self.shared.now + timeout;
        let is_known = to.is_some();
        let to = to.unwrap_or_default();
        let number = self.calls.add(Call { to: to.clone(), deadline, purpose });
        let frame = Frame::new_call(number, body);
        let is_sent = is_known && self.send(cx, &to, frame);
        if !is_sent {
            self.failed_calls.push(number);
            call!([cx], end_failed_calls());
        }
    }

    /// Sends a message without reply; it is lost if the peer is not connected.
    fn notify(&mut self, cx: CX![], to: &Name, body: Body) {
        let _ = self.send(cx, to, Frame::new_notice(body));
    }

    /// Replies to a peer's call; does nothing for a caller of this daemon.
    fn reply(&mut self, cx: CX![], to: &Waiter, body: Body) {
        if let Waiter::Peer(peer, call) = to {
            let _ = self.send(cx, peer, Frame::new_reply(*call, body));
        }
    }

    /// Sends a frame; false if not sent. A frame to this daemon arrives on a later turn.
    fn send(&mut self, cx: CX![], to: &Name, frame: Frame) -> bool {
        if *to == *self.shared.own_name() {
            let me = to.clone();
            call!([cx], handle_frame(me, frame));
            return true;
        }
        self.interfaces.mesh.send(to, &frame)
    }

    /// Ends the calls that could not be sent.
    fn end_failed_calls(&mut self, cx: CX![]) {
        self.update_clock(cx);
        for number in std::mem::take(&mut self.failed_calls) {
            if let Some(call) = self.calls.remove(number) {
                self.end_call(cx, call.purpose, None, false);
            }
        }
        self.perform_actions(cx);
    }

    /// Ends the calls past their deadline.
    fn end_expired_calls(&mut self, cx: CX![]) {
        for call in self.calls.take_expired(self.shared.now) {
            self.end_call(cx, call.purpose, None, true);
        }
    }
}

impl Schedule {
    fn new(now: Instant, digest_rate: f64) -> Self {
        Self {
            digest_bytes: border::limit::TokenBucket::new(digest_rate, now),
            renew: now,
            read: now,
            claims_read: now,
            heartbeat: now,
            digest: now,
            usage: now,
            vm_list: now,
            in_flight: BTreeSet::new(),
        }
    }

    fn begin(&mut self, call: TableCall) {
        self.in_flight.insert(call);
    }

    fn end(&mut self, call: TableCall) {
        self.in_flight.remove(&call);
    }

    fn is_in_flight(&self, call: TableCall) -> bool {
        self.in_flight.contains(&call)
    }
}
