//! The leader's followers: heartbeats, announcements, requests and answers.

use std::collections::BTreeMap;
use std::time::Duration;

use common::Name;

use crate::action::Action;
use crate::config::Capacity;
use crate::event::log_event;
use crate::frame::{Advice, Announcement, Body, Heartbeat, Hello, Members, RequestLimits, Welcome};
use crate::input::AdviceResult;
use crate::lead::{Leader, requests::Caller};
use crate::node::Context;
use crate::request_codec::{decode_request, encode_reply};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Silence after which a follower is lost and gets no advice calls.
const PEER_TIMEOUT: Duration = Duration::from_millis(650);

/// How long a lost follower counts as an expected one.
const LOST_PEER_RETENTION: Duration = Duration::from_secs(5);

/// Interval between announcements to lost followers.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest interval between two lists of members; at a takeover, all followers join at once.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between checks for a follower that is better suited to lead.
const SUCCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Fewest lost followers at which the leader itself may be cut off.
const MIN_LOST_PEERS: usize = 2;

/// Time that the followers of the previous leader have to join a new one.
const JOIN_GRACE: Duration = Duration::from_millis(1200);

/// A connected follower.
#[derive(Debug)]
struct Peer {
    /// Name of the daemon.
    member: Name,
    /// Address at which peers reach it.
    address: Name,
    capacity: Capacity,
    /// When it joined.
    joined_at: Duration,
    /// When its latest heartbeat or hello arrived.
    last_received: Duration,
    /// The same time by the leader's loop clock.
    last_handled: Duration,
    /// Mean lag of its timer; none before its first heartbeat.
    timer_lag: Option<Duration>,
    /// Whether it is stopping and makes no claim.
    is_stopping: bool,
}

/// Connected followers, and those that are lost.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// Connected followers, by link.
    followers: BTreeMap<u64, Peer>,
    /// Addresses of expected followers that are not connected, and when they were lost.
    lost: BTreeMap<Name, Duration>,
    /// Until when the followers of the previous leader may join.
    join_deadline: Duration,
    /// Links that were opened to announce the leader.
    announce_links: Vec<u64>,
    /// When the next announcement is due.
    next_announce: Duration,
    /// When the next heartbeat is due.
    next_heartbeat: Duration,
    /// Whether the followers' list of members is outdated.
    is_list_outdated: bool,
    /// When the next list of members may be sent.
    next_list: Duration,
    /// When the next check for a better suited follower is due.
    next_successor_check: Duration,
    /// Whether the latest heartbeat said that the leader accepts requests.
    was_serving: bool,
}

impl Peers {
    /// Creates a new leader's state, in which the other known daemons are lost.
    pub fn with_expected(members: &[Name], own: &Name, now: Duration) -> Self {
        let others = members.iter().filter(|address| *address != own);
        let lost = others.map(|address| (address.clone(), now)).collect();
        Self { lost, join_deadline: now + JOIN_GRACE, ..Self::default() }
    }

    /// Links of the followers that are not silent.
    pub fn responsive_links(&self, now: Duration) -> impl Iterator<Item = u64> {
        let is_responsive = move |peer: &&Peer| peer.last_received + PEER_TIMEOUT >= now;
        self.followers.iter().filter(move |(_, peer)| is_responsive(peer)).map(|(link, _)| *link)
    }

    /// Number of connected followers.
    pub fn count(&self) -> usize {
        self.followers.len()
    }

    /// Name and address of each follower, and the time since its latest heartbeat.
    pub fn summaries(&self, now: Duration) -> impl Iterator<Item = (&str, &str, Duration)> {
        let peers = self.followers.values();
        peers.map(move |peer| {
            (&*peer.member, &*peer.address, now.saturating_sub(peer.last_received))
        })
    }

    /// The follower to lead instead of a daemon of the given capacity, and its timer's lag.
    ///
    /// It has at least that capacity, and its timer lags by `max_lag` at most.
    pub fn quick_successor(
        &self,
        capacity: Capacity,
        max_lag: Duration,
    ) -> Option<(&Name, Duration)> {
        let suited = self.followers.values().filter(|peer| !capacity.outranks(peer.capacity));
        let peer =
            best_suited(suited.filter(|peer| peer.timer_lag.is_some_and(|lag| lag <= max_lag)))?;
        Some((&peer.member, peer.timer_lag?))
    }

    /// The best follower of larger capacity that joined before `since`, and is responsive and
    /// quick.
    pub fn larger_successor(
        &self,
        capacity: Capacity,
        since: Duration,
        max_lag: Duration,
    ) -> Option<&Name> {
        let larger = self.followers.values().filter(|peer| {
            peer.capacity.outranks(capacity)
                && peer.joined_at <= since
                && peer.timer_lag.is_some_and(|lag| lag <= max_lag)
        });
        best_suited(larger).map(|peer| &peer.member)
    }

    /// The follower that should lead next.
    pub fn successor(&self) -> Option<&Name> {
        best_suited(self.followers.values()).map(|peer| &peer.member)
    }

    /// Whether a member is connected as a follower.
    pub fn has(&self, member: &Name) -> bool {
        self.followers.values().any(|peer| peer.member == *member)
    }

    /// Removes the follower of a closed link.
    pub fn remove(&mut self, link: u64) {
        self.is_list_outdated |= self.followers.remove(&link).is_some();
    }

    /// Requests that a list of members is sent soon.
    pub fn request_list(&mut self) {
        self.is_list_outdated = true;
    }

    /// Whether a list of members is due; the next one then follows after an interval.
    fn take_due_list(&mut self, now: Duration) -> bool {
        let is_due = self.is_list_outdated && now >= self.next_list;
        if is_due {
            self.is_list_outdated = false;
            self.next_list = now + MEMBERS_INTERVAL;
        }
        is_due
    }

    /// Whether a check for a better suited follower is due.
    pub fn take_due_successor_check(&mut self, now: Duration) -> bool {
        let is_due = now >= self.next_successor_check;
        if is_due {
            self.next_successor_check = now + SUCCESSOR_CHECK_INTERVAL;
        }
        is_due
    }

    /// Removes silent followers, which are then lost; returns their links.
    ///
    /// Stalls of the leader do not count as silence, as heartbeats may wait in its queue.
    pub fn drop_silent(&mut self, now: Duration, loop_now: Duration) -> Vec<u64> {
        let is_silent = |peer: &Peer| peer.last_handled + PEER_TIMEOUT < loop_now;
        let silent: Vec<_> = self.followers.extract_if(.., |_, peer| is_silent(peer)).collect();
        for (_, peer) in &silent {
            self.lost.insert(peer.address.clone(), now);
            self.is_list_outdated = true;
        }
        self.lost.retain(|_, since| *since + LOST_PEER_RETENTION > now);
        silent.into_iter().map(|(link, _)| link).collect()
    }

    /// Opens links to lost followers to announce the leader, if that is due.
    pub fn announce(&mut self, ctx: &mut Context) {
        if ctx.now < self.next_announce || self.lost.is_empty() {
            return;
        }
        self.next_announce = ctx.now + ANNOUNCE_INTERVAL;
        for link in std::mem::take(&mut self.announce_links) {
            ctx.actions.push(Action::Close { link });
        }
        for address in self.lost.keys().cloned().collect::<Vec<_>>() {
            let link = ctx.next_link_id();
            self.announce_links.push(link);
            ctx.actions.push(Action::Connect { link, address });
        }
    }

    /// Announces the leader on a link that was opened for this.
    pub fn announce_on(&self, ctx: &mut Context, link: u64, epoch: u64) {
        if self.announce_links.contains(&link) {
            let address = ctx.config.peer_address.to_string();
            ctx.send(link, Body::Announce(Announcement { epoch, address }));
        }
    }

    /// Whether most followers are lost, so the leader is probably cut off.
    pub fn is_cut_off(&self, now: Duration) -> bool {
        now >= self.join_deadline
            && self.lost.len() >= MIN_LOST_PEERS
            && self.lost.len() > self.followers.len()
    }

    /// Sends a frame to all followers.
    pub fn broadcast(&self, ctx: &mut Context, body: &Body) {
        for link in self.followers.keys() {
            ctx.send(*link, body.clone());
        }
    }

    /// Sends a heartbeat to all followers if it is due or `is_serving` changed.
    pub fn send_heartbeat(
        &mut self,
        ctx: &mut Context,
        epoch: u64,
        store_age: Duration,
        is_serving: bool,
    ) {
        if ctx.now < self.next_heartbeat && is_serving == self.was_serving {
            return;
        }
        self.next_heartbeat = ctx.now + HEARTBEAT_INTERVAL;
        self.was_serving = is_serving;
        let store_age_ms = store_age.as_millis() as u32;
        let heartbeat = Heartbeat { epoch, store_age_ms, is_serving, ..Heartbeat::default() };
        self.broadcast(ctx, &Body::Beat(heartbeat));
    }
}

/// The least lagged of the largest daemons that are not stopping.
fn best_suited<'a>(peers: impl Iterator<Item = &'a Peer> + Clone) -> Option<&'a Peer> {
    let staying = peers.filter(|peer| !peer.is_stopping);
    let is_outranked =
        |peer: &&Peer| staying.clone().any(|other| other.capacity.outranks(peer.capacity));
    let largest = staying.clone().filter(|peer| !is_outranked(peer));
    largest.min_by_key(|peer| peer.timer_lag.unwrap_or(Duration::MAX))
}

impl Leader {
    /// Handles a follower's frame.
    pub(super) fn handle_frame(&mut self, ctx: &mut Context, link: u64, body: Body) {
        match body {
            Body::Hello(hello) => self.accept_follower(ctx, link, &hello),
            Body::Beat(heartbeat) => {
                if let Some(peer) = self.peers.followers.get_mut(&link) {
                    peer.last_received = ctx.now;
                    peer.last_handled = ctx.loop_clock.now();
                    peer.timer_lag = Some(Duration::from_micros(heartbeat.lag_us.into()));
                    peer.is_stopping = heartbeat.is_stopping;
                }
            }
            // A copy on a former link may come after the present one was refused.
            Body::Request(request)
                if self.is_serving() && self.peers.followers.contains_key(&link) =>
            {
                let (id, queued) = (request.id, ctx.load.input_age());
                if let Some(call) = decode_request(request) {
                    self.handle_request(ctx, Caller::Peer { link, id, queued }, call);
                } else {
                    log_event!(ctx, RequestRefused, "link" => link,
                        "reason" => "unknown operation or invalid job");
                    let reply = encode_reply(id, &crate::Answer::OutcomeUnknown, queued);
                    ctx.send(link, Body::Reply(reply));
                }
            }
            Body::Advice(advice) => self.handle_advice(ctx, &advice),
            _ => {}
        }
    }

    /// Registers a follower, replacing its earlier link, and welcomes it.
    fn accept_follower(&mut self, ctx: &mut Context, link: u64, hello: &Hello) {
        if hello.epoch > self.epoch {
            self.journal.request_commit();
        }
        let (member, address) = (Name::new(&hello.member), Name::new(&hello.address));
        self.peers.lost.remove(&address);
        self.peers.followers.retain(|_, peer| peer.member != member);
        let capacity = hello.capacity();
        let peer = Peer {
            member,
            address,
            capacity,
            joined_at: ctx.now,
            last_received: ctx.now,
            last_handled: ctx.loop_clock.now(),
            timer_lag: None,
            is_stopping: false,
        };
        self.peers.followers.insert(link, peer);
        let (epoch, is_serving) = (self.epoch, self.is_serving());
        let welcome = Welcome { epoch, is_serving, ..Welcome::default() };
        ctx.send(link, Body::Welcome(welcome));
        self.peers.request_list();
    }

    /// Sends all followers the addresses and capacities of the daemons and the limits on requests,
    /// if that changed.
    pub(super) fn broadcast_members(&mut self, ctx: &mut Context) {
        if !self.peers.take_due_list(ctx.now) {
            return;
        }
        let rules = self.scheduler.rules.as_ref();
        let bounds = rules.map(|rules| RequestLimits::from(&rules.limits));
        let needs_keys = rules.is_some_and(|rules| !rules.workspaces.is_empty());
        let mut members = Members { bounds, needs_keys, ..Members::default() };
        members.push(&ctx.config.peer_address, ctx.config.capacity);
        for peer in self.peers.followers.values() {
            members.push(&peer.address, peer.capacity);
        }
        self.peers.broadcast(ctx, &Body::Members(members));
    }

    /// Applies the answer of an advice call that a follower made.
    fn handle_advice(&mut self, ctx: &mut Context, advice: &Advice) {
        let result = advice.is_answered.then(|| AdviceResult {
            allowed: advice
                .allowed
                .iter()
                .map(|ticket| (Name::new(&ticket.worker), Name::new(&ticket.ticket)))
                .collect(),
            validity: Duration::from_millis(advice.validity_ms.into()),
        });
        self.handle_advice_result(ctx, advice.id, result);
    }

    /// Sends an answer to a caller of this daemon or of a follower.
    pub(super) fn send_answer(
        &mut self,
        ctx: &mut Context,
        caller: &Caller,
        answer: crate::Answer,
    ) {
        match caller {
            Caller::Local(id) => self.local_answers.push((*id, answer)),
            Caller::Peer { link, id, queued } => {
                ctx.send(*link, Body::Reply(encode_reply(*id, &answer, *queued)));
            }
        }
    }
}
