//! A daemon that does not lead: finds the leader, watches it, claims its place.
//!
//! A leader writes the head row at least every quarter of a second. A daemon that lost
//! its leader reads the row twice; only where it did not move, the daemon claims. The
//! claim is conditional on the version that was read, so it fails where the leader is
//! alive after all, and two claims never both succeed.

mod probe;

use std::time::Duration;

use common::Name;
use prost::Message;

use crate::action::Action;
use crate::event::note;
use crate::frame::{Beat, Body};
use crate::head::{HEAD, Head, TABLE, read_head};
use crate::input::PeerEvent;
use crate::node::Port;
use crate::store::{Commit, Key, Page, Row, Transaction, Write};

/// Silence of the leader's heartbeat after which it is doubted.
const BEAT_SILENCE: Duration = Duration::from_millis(650);

/// How long a connection to the leader may take to be welcomed.
const JOIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without the store after which the leader is doubted.
const STORE_SILENCE: u32 = 600;

/// Pause between two reads of the head row while no leader is known.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// Pause before the second look at a head row whose leader is silent.
///
/// Longer than the leader's pause between commits.
const DOUBT_SILENT: Duration = Duration::from_millis(350);

/// Pause before the second look where the leader's address refused the connection.
const DOUBT_REFUSED: Duration = Duration::from_millis(60);

/// Times of the store's answer time that are added to the pause, as commits are as slow.
const DOUBT_FACTOR: u32 = 4;

/// Upper end of the random pause that spreads claims.
const SPREAD_MS: u64 = 80;

/// Pause of others before they claim a place that was given up to a successor.
const SUCCESSOR_LEAD: Duration = Duration::from_millis(300);

/// Pause of a leader that gave its place up before it claims it again.
const RESIGNED_PAUSE: Duration = Duration::from_millis(1500);

/// Time after which the head row is read for a claim that was not answered.
const CLAIM_CHECK: Duration = Duration::from_millis(120);

/// How long a read or a claim may take.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Debug)]
enum Stage {
    /// No leader is known.
    Looking,
    /// A connection to the leader is being made.
    Joining { link: u64, since: Duration },
    /// The leader answers.
    Joined { link: u64, heard: Duration, store_age_ms: u32, is_serving: bool },
    /// A claim is under way.
    Claiming { call: u64, head: Head, since: Duration },
}

/// The head row as it was when the leader could not be reached.
#[derive(Debug)]
struct Doubt {
    version: u64,
    since: Duration,
    pause: Duration,
}

/// What a follower makes of an input.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// Nothing changes.
    Stay,
    /// The claim succeeded.
    Lead { head: Head, version: u64, store_ms: u64 },
}

/// State of a daemon that does not lead.
#[derive(Debug)]
pub(crate) struct Follower {
    stage: Stage,
    read: Option<(u64, Duration)>,
    look_at: Duration,
    known: Option<(Head, u64)>,
    doubt: Option<Doubt>,
    /// Until when others than the successor leave a free place alone.
    hold_off: Duration,
    /// Since when no leader is reached.
    leaderless: Duration,
    /// How long the latest read took.
    store_time: Duration,
    /// Whether the head row was seen to move since its leader was doubted.
    is_leader_alive: bool,
    /// Whether a leader that is alive could not be reached.
    is_cut_off: bool,
    /// Where peers were, as the latest leader told.
    members: Vec<Name>,
    /// Links to peers that were asked for the leader.
    probes: Vec<u64>,
    /// Whether the daemon is about to stop, and claims nothing.
    pub is_leaving: bool,
}

impl Follower {
    /// A daemon that knows no leader.
    pub fn new(now: Duration) -> Self {
        Self {
            stage: Stage::Looking,
            read: None,
            look_at: now,
            known: None,
            doubt: None,
            hold_off: Duration::ZERO,
            leaderless: now,
            store_time: Duration::ZERO,
            is_leader_alive: false,
            is_cut_off: false,
            members: Vec::new(),
            probes: Vec::new(),
            is_leaving: false,
        }
    }

    /// A daemon that has just stopped to lead, and leaves its place to others for a while.
    pub fn after_leading(now: Duration) -> Self {
        Self { hold_off: now + RESIGNED_PAUSE, ..Self::new(now) }
    }

    /// The link to a leader that takes requests.
    pub fn serving_link(&self) -> Option<u64> {
        match self.stage {
            Stage::Joined { link, is_serving: true, .. } => Some(link),
            _ => None,
        }
    }

    /// Where peers were, as the latest leader told.
    pub fn members(&self) -> &[Name] {
        &self.members
    }

    /// How long no leader was reached; none while one is.
    pub fn leaderless(&self, now: Duration) -> Option<Duration> {
        let is_joined = matches!(self.stage, Stage::Joined { .. });
        (!is_joined).then(|| now.saturating_sub(self.leaderless))
    }

    /// Whether a leader is alive and out of reach.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// The epoch and address of the leader that is reached.
    pub fn leader(&self) -> (u64, String) {
        let is_joined = matches!(self.stage, Stage::Joined { .. });
        let known = self.known.as_ref().filter(|_| is_joined);
        known.map_or((0, String::new()), |(head, _)| (head.epoch, head.address.clone()))
    }

    /// Whether a frame on a link comes from the leader.
    pub fn is_leader_link(&self, other: u64) -> bool {
        match self.stage {
            Stage::Joining { link, .. } | Stage::Joined { link, .. } => link == other,
            _ => false,
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, port: &mut Port) {
        match self.stage {
            Stage::Looking => self.look(port),
            Stage::Joining { link, since } if port.now > since + JOIN_TIMEOUT => {
                port.out.push(Action::Close { link });
                self.lose(port, DOUBT_SILENT, "no welcome");
            }
            Stage::Joined { link, heard, .. } if port.now > heard + BEAT_SILENCE => {
                port.out.push(Action::Close { link });
                self.lose(port, DOUBT_SILENT, "no heartbeat");
            }
            Stage::Joined { store_age_ms, .. } if store_age_ms > STORE_SILENCE => self.look(port),
            Stage::Claiming { since, .. } if port.now > since + CLAIM_CHECK => self.look(port),
            _ => {}
        }
    }

    fn look(&mut self, port: &mut Port) {
        if self.read.is_some() || port.now < self.look_at {
            return;
        }
        let call = port.call();
        self.read = Some((call, port.now));
        port.out.push(read_head(call, STORE_TIMEOUT));
    }

    fn lose(&mut self, port: &mut Port, pause: Duration, why: &'static str) {
        let epoch = self.known.as_ref().map_or(0, |(head, _)| head.epoch);
        note!(port, LeaderLost, "epoch" => epoch, "reason" => why);
        if matches!(self.stage, Stage::Joined { .. }) {
            self.leaderless = port.now;
        }
        self.is_cut_off = self.is_leader_alive;
        let pause = self.doubt.as_ref().map_or(pause, |doubt| doubt.pause.min(pause));
        self.stage = Stage::Looking;
        self.look_at = port.now;
        self.doubt = Some(Doubt { version: 0, since: port.now, pause });
    }

    /// Takes rows that were read; none where the store did not answer.
    pub fn read(&mut self, port: &mut Port, call: u64, page: Option<Page>) -> Verdict {
        let Some((_, sent)) = self.read.take_if(|(own, _)| *own == call) else {
            return Verdict::Stay;
        };
        self.look_at = port.now + LOOK_PAUSE;
        let Some(page) = page else {
            self.probe(port);
            return Verdict::Stay;
        };
        if let Stage::Claiming { head, .. } = &self.stage {
            return claimed(head, &page);
        }
        let took = port.now.saturating_sub(sent);
        self.store_time = took;
        if let Some(doubt) = &mut self.doubt
            && doubt.version == 0
        {
            doubt.pause += took * DOUBT_FACTOR;
        }
        self.consider(port, page.rows.into_iter().next());
        Verdict::Stay
    }

    /// Decides what to do about a head row.
    fn consider(&mut self, port: &mut Port, row: Option<Row>) {
        let Some(row) = row else {
            self.claim(port, 0, 0);
            return;
        };
        let head = match Head::decode(&*row.value) {
            Ok(head) => head,
            Err(error) => {
                note!(port, RowIgnored, "key" => HEAD, "reason" => %error);
                return;
            }
        };
        let (epoch, version) = (head.epoch, row.version);
        let is_own = *head.address == *port.config.address;
        let is_released = head.is_released;
        let is_new = self.known.as_ref().is_none_or(|(known, _)| known.epoch != epoch);
        self.known = Some((head, version));
        if (is_own && !is_released) || (is_released && port.now >= self.hold_off) {
            self.claim(port, epoch, version);
        } else if is_released {
            self.look_at = self.hold_off;
        } else if is_new {
            self.doubt = None;
            self.join(port);
        } else {
            self.check_doubt(port, epoch, version);
        }
    }

    /// Claims where the head row has not moved since the leader was doubted.
    fn check_doubt(&mut self, port: &mut Port, epoch: u64, version: u64) {
        let is_joined = matches!(self.stage, Stage::Joined { .. });
        // A leader that is heard and has no store says so itself.
        let least =
            if is_joined { DOUBT_REFUSED + self.store_time * DOUBT_FACTOR } else { DOUBT_SILENT };
        let pause = self.doubt.as_ref().map_or(least, |doubt| doubt.pause);
        match &self.doubt {
            Some(doubt) if doubt.version == version => {
                if port.now >= doubt.since + doubt.pause {
                    self.claim(port, epoch, version);
                } else {
                    self.look_at = doubt.since + doubt.pause;
                }
            }
            Some(doubt) if doubt.version != 0 => {
                note!(port, ClaimSpared, "epoch" => epoch, "version" => version);
                self.doubt = None;
                if !is_joined {
                    self.is_leader_alive = true;
                    self.join(port);
                }
            }
            _ if is_joined || self.doubt.is_some() => {
                let spread = port.random(SPREAD_MS);
                let pause = pause + Duration::from_millis(spread);
                self.doubt = Some(Doubt { version, since: port.now, pause });
                self.look_at = port.now + pause;
            }
            _ => self.join(port),
        }
    }

    fn join(&mut self, port: &mut Port) {
        let Some((head, _)) = &self.known else { return };
        let link = port.link();
        let address = Name::new(&head.address);
        port.out.push(Action::Connect { link, address });
        self.stage = Stage::Joining { link, since: port.now };
    }

    fn claim(&mut self, port: &mut Port, epoch: u64, version: u64) {
        if self.is_leaving || matches!(self.stage, Stage::Claiming { .. }) {
            return;
        }
        if let Stage::Joined { link, .. } | Stage::Joining { link, .. } = self.stage {
            port.out.push(Action::Close { link });
        }
        let former = self.known.as_ref().filter(|(known, _)| known.epoch == epoch);
        let head = Head {
            slow_ms: former.map_or(0, |(known, _)| known.slow_ms),
            epoch: epoch + 1,
            member: port.config.member.to_string(),
            address: port.config.address.to_string(),
            incarnation: port.config.incarnation,
            commit: 0,
            is_released: false,
        };
        note!(port, Claiming, "epoch" => head.epoch, "version" => version);
        let call = port.call();
        let guard = Key { table: TABLE, key: Name::new(HEAD) };
        let write = Write { key: guard.clone(), value: head.encode_to_vec() };
        let transaction = Transaction { guard, version, writes: vec![write], removes: Vec::new() };
        port.out.push(Action::Commit { call, transaction, timeout: STORE_TIMEOUT });
        self.stage = Stage::Claiming { call, head, since: port.now };
        self.doubt = None;
    }

    /// Takes the outcome of a claim.
    pub fn committed(&mut self, port: &mut Port, answered: u64, commit: Commit) -> Verdict {
        let Stage::Claiming { call, head, .. } = &self.stage else { return Verdict::Stay };
        if *call != answered {
            return Verdict::Stay;
        }
        let head = head.clone();
        self.stage = Stage::Looking;
        self.look_at = port.now + LOOK_PAUSE;
        match commit {
            Commit::Done { version, store_ms } => Verdict::Lead { head, version, store_ms },
            Commit::Conflict { row } => {
                note!(port, ClaimFailed, "epoch" => head.epoch, "reason" => "head row moved");
                self.known = None;
                self.consider(port, row);
                Verdict::Stay
            }
            Commit::Refused | Commit::Unknown => {
                note!(port, ClaimFailed, "epoch" => head.epoch, "reason" => "no answer");
                Verdict::Stay
            }
        }
    }

    /// Takes an event on the link to the leader; true where it may take requests now.
    pub fn peer(&mut self, port: &mut Port, from: u64, event: &PeerEvent) -> bool {
        if !self.is_leader_link(from) {
            return false;
        }
        match event {
            PeerEvent::Connected => self.hello(port, from),
            PeerEvent::Refused => self.lose(port, DOUBT_REFUSED, "connection refused"),
            PeerEvent::Closed => {
                // A dead process refuses the next connection; a live one may have dropped this one.
                self.lose(port, DOUBT_SILENT, "connection closed");
                self.join(port);
            }
            PeerEvent::Accepted => {}
            PeerEvent::Frame(frame) => return self.frame(port, from, frame.body.as_ref()),
        }
        false
    }

    fn frame(&mut self, port: &mut Port, from: u64, body: Option<&Body>) -> bool {
        let epoch = self.known.as_ref().map_or(0, |(head, _)| head.epoch);
        match body {
            Some(Body::Welcome(welcome)) if welcome.epoch < epoch || welcome.epoch == 0 => {
                port.out.push(Action::Close { link: from });
                // It was reached, and may not know yet that its claim succeeded.
                self.is_leader_alive = false;
                self.lose(port, DOUBT_REFUSED, "peer does not lead");
            }
            Some(Body::Welcome(welcome)) => {
                note!(port, LeaderFound, "epoch" => welcome.epoch);
                self.heard(port, from, welcome.is_serving, 0);
                return welcome.is_serving;
            }
            Some(Body::Beat(beat)) => {
                self.heard(port, from, beat.is_serving, beat.store_age_ms);
                let lag_us = port.lag.mean().as_micros() as u32;
                let echo = Beat { epoch: beat.epoch, lag_us, ..Beat::default() };
                port.send(from, Body::Beat(echo));
                return beat.is_serving;
            }
            Some(Body::Members(members)) => {
                self.members = members.addresses.iter().map(|address| Name::new(address)).collect();
                if let Some(bounds) = members.bounds {
                    port.out.push(Action::Bound(bounds));
                }
            }
            Some(Body::Resign(resign)) => {
                let is_successor = *resign.successor == *port.config.member;
                port.out.push(Action::Close { link: from });
                self.lose(port, DOUBT_REFUSED, "leader resigned");
                self.hold_off =
                    if is_successor { Duration::ZERO } else { port.now + SUCCESSOR_LEAD };
            }
            _ => {}
        }
        false
    }

    fn heard(&mut self, port: &Port, link: u64, is_serving: bool, store_age_ms: u32) {
        if store_age_ms <= STORE_SILENCE {
            self.doubt = None;
        }
        self.is_leader_alive = false;
        self.is_cut_off = false;
        self.stage = Stage::Joined { link, heard: port.now, store_age_ms, is_serving };
    }
}

/// Whether the head row shows that a claim succeeded, though its answer was lost.
fn claimed(claim: &Head, page: &Page) -> Verdict {
    let Some(row) = page.rows.first() else { return Verdict::Stay };
    match Head::decode(&*row.value) {
        Ok(head) if head == *claim => {
            Verdict::Lead { head, version: row.version, store_ms: page.store_ms }
        }
        _ => Verdict::Stay,
    }
}
