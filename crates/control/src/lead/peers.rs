//! The leader's followers: heartbeats, their requests and answers.

use std::collections::BTreeMap;
use std::time::Duration;

use common::Name;

use crate::entry::{decode, encode_answer};
use crate::frame::{Advice, Beat, Body, Hello, Reply, Welcome};
use crate::input::Advised;
use crate::lead::{Leader, requests::Caller};
use crate::node::Port;

/// Pause between heartbeats.
const BEAT_PAUSE: Duration = Duration::from_millis(250);

/// Silence after which a follower gets no advice calls.
const PEER_SILENCE: Duration = Duration::from_millis(900);

#[derive(Debug)]
struct Peer {
    member: Name,
    heard: Duration,
}

/// The followers that are connected.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<u64, Peer>,
    beat_at: Duration,
    was_serving: bool,
}

impl Peers {
    /// Links of the followers that answer.
    pub fn links(&self, now: Duration) -> impl Iterator<Item = u64> {
        let answers = move |peer: &&Peer| peer.heard + PEER_SILENCE >= now;
        self.peers.iter().filter(move |(_, peer)| answers(peer)).map(|(link, _)| *link)
    }

    /// The follower that answered last.
    pub fn successor(&self) -> Option<Name> {
        let latest = self.peers.values().max_by_key(|peer| peer.heard)?;
        Some(latest.member.clone())
    }

    /// Forgets a link.
    pub fn remove(&mut self, link: u64) {
        self.peers.remove(&link);
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
        self.broadcast(port, &Body::Beat(Beat { epoch, store_age_ms, is_serving }));
    }
}

impl Leader {
    /// Takes a follower's frame.
    pub(super) fn frame(&mut self, port: &mut Port, link: u64, body: Body) {
        match body {
            Body::Hello(hello) => self.welcome(port, link, &hello),
            Body::Beat(_) => {
                if let Some(peer) = self.peers.peers.get_mut(&link) {
                    peer.heard = port.now;
                }
            }
            Body::Request(request) if self.is_serving() => {
                let id = request.id;
                match decode(request) {
                    Some(call) => self.request(port, Caller::Peer { link, id }, call),
                    None => port.send(link, Body::Reply(Reply { id, answer: 8, value: 0 })),
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
        let member = Name::new(&hello.member);
        self.peers.peers.insert(link, Peer { member, heard: port.now });
        let (epoch, is_serving) = (self.epoch, self.is_serving());
        port.send(link, Body::Welcome(Welcome { epoch, is_serving }));
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
