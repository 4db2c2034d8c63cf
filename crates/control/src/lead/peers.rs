//! The leader's followers: heartbeats, their requests and answers.

use std::collections::BTreeMap;
use std::time::Duration;

use common::Name;

use crate::action::Action;
use crate::entry::{decode, encode_answer};
use crate::frame::{Advice, Announce, Beat, Body, Bounds, Hello, Members, Welcome};
use crate::input::Advised;
use crate::lead::{Leader, requests::Caller};
use crate::node::Port;

/// Pause between heartbeats.
const BEAT_PAUSE: Duration = Duration::from_millis(200);

/// Silence after which a follower gets no advice calls and counts as lost.
const PEER_SILENCE: Duration = Duration::from_millis(650);

/// How long a lost follower counts among those that the leader should hear of.
const LOST_MEMORY: Duration = Duration::from_secs(5);

/// Pause between two announcements to daemons that have not joined.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(500);

/// Followers lost at once from which on the leader may itself be the one that is cut off.
const LEAST_LOST: usize = 2;

/// Time in which former followers may join a new leader.
const JOIN_TIME: Duration = Duration::from_millis(1200);

#[derive(Debug)]
struct Peer {
    member: Name,
    address: Name,
    heard: Duration,
    /// Mean lateness of its timer; none before its first echo.
    lag: Option<Duration>,
}

/// The followers that are connected.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<u64, Peer>,
    /// Addresses of daemons that should be followers and are silent, and since when.
    lost: BTreeMap<Name, Duration>,
    /// Until when those have time to join.
    joining_until: Duration,
    /// Links opened to make the leader known.
    announcing: Vec<u64>,
    announce_at: Duration,
    beat_at: Duration,
    was_serving: bool,
}

impl Peers {
    /// The followers of a new leader that knew some daemons before.
    pub fn expecting(members: &[Name], own: &Name, now: Duration) -> Self {
        let others = members.iter().filter(|address| *address != own);
        let lost = others.map(|address| (address.clone(), now)).collect();
        Self { lost, joining_until: now + JOIN_TIME, ..Self::default() }
    }

    /// Links of the followers that answer.
    pub fn links(&self, now: Duration) -> impl Iterator<Item = u64> {
        let answers = move |peer: &&Peer| peer.heard + PEER_SILENCE >= now;
        self.peers.iter().filter(move |(_, peer)| answers(peer)).map(|(link, _)| *link)
    }

    /// Number of followers.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Name and address of each follower, and how long it has been silent.
    pub fn list(&self, now: Duration) -> impl Iterator<Item = (&str, &str, Duration)> {
        let peers = self.peers.values();
        peers.map(move |peer| (&*peer.member, &*peer.address, now.saturating_sub(peer.heard)))
    }

    /// The follower whose timer is the least late, and how late it is.
    pub fn quickest(&self) -> Option<(&Name, Duration)> {
        let quickest = self.peers.values().filter_map(|peer| Some((&peer.member, peer.lag?)));
        quickest.min_by_key(|(_, lag)| *lag)
    }

    /// Who is to take the leader's place over: the quickest follower that has answered.
    pub fn successor(&self) -> Option<Name> {
        let any = self.peers.values().next().map(|peer| &peer.member);
        self.quickest().map(|(member, _)| member).or(any).cloned()
    }

    /// Forgets a link that was closed or reset.
    pub fn remove(&mut self, link: u64) {
        self.peers.remove(&link);
    }

    /// Drops followers that are silent; returns their links.
    pub fn drop_silent(&mut self, now: Duration) -> Vec<u64> {
        let is_silent = |peer: &Peer| peer.heard + PEER_SILENCE < now;
        let silent: Vec<_> = self.peers.extract_if(.., |_, peer| is_silent(peer)).collect();
        for (_, peer) in &silent {
            self.lost.insert(peer.address.clone(), now);
        }
        self.lost.retain(|_, since| *since + LOST_MEMORY > now);
        silent.into_iter().map(|(link, _)| link).collect()
    }

    /// Opens links to daemons that should be followers and are not, to make the leader known.
    pub fn announce(&mut self, port: &mut Port) {
        if port.now < self.announce_at || self.lost.is_empty() {
            return;
        }
        self.announce_at = port.now + ANNOUNCE_PAUSE;
        for link in std::mem::take(&mut self.announcing) {
            port.out.push(Action::Close { link });
        }
        for address in self.lost.keys().cloned().collect::<Vec<_>>() {
            let link = port.link();
            self.announcing.push(link);
            port.out.push(Action::Connect { link, address });
        }
    }

    /// Makes the leader known on a link that was opened for it.
    pub fn connected(&self, port: &mut Port, link: u64, epoch: u64) {
        if self.announcing.contains(&link) {
            let address = port.config.address.to_string();
            port.send(link, Body::Announce(Announce { epoch, address }));
        }
    }

    /// Whether most of the followers fell silent, so that the leader is cut off from them.
    pub fn is_cut_off(&self, now: Duration) -> bool {
        now >= self.joining_until
            && self.lost.len() >= LEAST_LOST
            && self.lost.len() > self.peers.len()
    }

    /// Sends a frame to all followers.
    pub fn broadcast(&self, port: &mut Port, body: &Body) {
        for link in self.peers.keys() {
            port.send(*link, body.clone());
        }
    }

    /// Sends heartbeats, if they are due.
    pub fn beat(&mut self, port: &mut Port, epoch: u64, store_age: Duration, is_serving: bool) {
        if port.now < self.beat_at && is_serving == self.was_serving {
            return;
        }
        self.beat_at = port.now + BEAT_PAUSE;
        self.was_serving = is_serving;
        let store_age_ms = store_age.as_millis() as u32;
        let beat = Beat { epoch, store_age_ms, is_serving, ..Beat::default() };
        self.broadcast(port, &Body::Beat(beat));
    }
}

impl Leader {
    /// Takes a follower's frame.
    pub(super) fn frame(&mut self, port: &mut Port, link: u64, body: Body) {
        match body {
            Body::Hello(hello) => self.welcome(port, link, &hello),
            Body::Beat(beat) => {
                if let Some(peer) = self.peers.peers.get_mut(&link) {
                    peer.heard = port.now;
                    peer.lag = Some(Duration::from_micros(beat.lag_us.into()));
                }
            }
            Body::Request(request) if self.is_serving() => {
                let id = request.id;
                match decode(request) {
                    Some(call) => self.request(port, Caller::Peer { link, id }, call),
                    None => {
                        port.send(link, Body::Reply(encode_answer(id, &crate::Answer::Unknown)));
                    }
                }
            }
            Body::Advice(advice) => self.advice(port, &advice),
            _ => {}
        }
    }

    fn welcome(&mut self, port: &mut Port, link: u64, hello: &Hello) {
        if hello.epoch > self.epoch {
            self.journal.confirm();
        }
        let (member, address) = (Name::new(&hello.member), Name::new(&hello.address));
        self.peers.lost.remove(&address);
        self.peers.peers.retain(|_, peer| peer.member != member);
        self.peers.peers.insert(link, Peer { member, address, heard: port.now, lag: None });
        let (epoch, is_serving) = (self.epoch, self.is_serving());
        let welcome = Welcome { epoch, is_serving, ..Welcome::default() };
        port.send(link, Body::Welcome(welcome));
        self.tell_members(port);
    }

    /// Tells all followers who else is there, and the bounds on requests.
    pub(super) fn tell_members(&self, port: &mut Port) {
        let mut addresses = vec![port.config.address.to_string()];
        addresses.extend(self.peers.peers.values().map(|peer| peer.address.to_string()));
        let bounds = self.scheduler.rules.as_ref().map(|rules| Bounds::from(&rules.limits));
        self.peers.broadcast(port, &Body::Members(Members { addresses, bounds }));
    }

    fn advice(&mut self, port: &mut Port, advice: &Advice) {
        let advised = advice.is_answered.then(|| Advised {
            allowed: advice
                .allowed
                .iter()
                .map(|ticket| (Name::new(&ticket.worker), Name::new(&ticket.ticket)))
                .collect(),
            validity: Duration::from_millis(advice.validity_ms.into()),
        });
        self.advised(port, advice.id, advised);
    }

    /// Tells a caller, here or at a follower.
    pub(super) fn answer(&mut self, port: &mut Port, caller: &Caller, answer: crate::Answer) {
        match caller {
            Caller::Local(id) => self.local_answers.push((*id, answer)),
            Caller::Peer { link, id } => {
                port.send(*link, Body::Reply(encode_answer(*id, &answer)));
            }
        }
    }
}
