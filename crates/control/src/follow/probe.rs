//! Finding the leader through peers: asking them, and hearing from it.

use common::Name;

use crate::action::Action;
use crate::event::note;
use crate::follow::{Follower, Stage};
use crate::frame::{Body, Hello, Welcome};
use crate::head::Head;
use crate::input::PeerEvent;
use crate::node::Port;

/// Peers asked at once for the leader while the store does not answer.
const PROBES: usize = 3;

impl Follower {
    /// Whether a link leads to a peer that was asked for the leader.
    pub fn is_probe(&self, link: u64) -> bool {
        self.probes.contains(&link)
    }

    /// Asks some peers for the leader.
    pub(super) fn probe(&mut self, port: &mut Port) {
        if matches!(self.stage, Stage::Joined { .. }) || self.members.is_empty() {
            return;
        }
        for link in std::mem::take(&mut self.probes) {
            port.out.push(Action::Close { link });
        }
        let first = port.random(self.members.len() as u64) as usize;
        let members = self.members.iter().cycle().skip(first);
        let asked: Vec<Name> = members.take(PROBES.min(self.members.len())).cloned().collect();
        for address in asked {
            if address == port.config.address {
                continue;
            }
            let link = port.link();
            self.probes.push(link);
            port.out.push(Action::Connect { link, address });
        }
    }

    /// Takes an event on a link to a peer that was asked for the leader.
    pub fn probed(&mut self, port: &mut Port, link: u64, event: &PeerEvent) {
        match event {
            PeerEvent::Connected => self.hello(port, link),
            PeerEvent::Frame(frame) => {
                if let Some(Body::Welcome(welcome)) = &frame.body {
                    self.directed(port, link, welcome);
                }
            }
            PeerEvent::Refused | PeerEvent::Closed => self.probes.retain(|probe| *probe != link),
            PeerEvent::Accepted => {}
        }
    }

    /// Joins the leader that a peer named, or the peer itself.
    fn directed(&mut self, port: &mut Port, link: u64, welcome: &Welcome) {
        if matches!(self.stage, Stage::Joined { .. }) {
            return;
        }
        let known = self.known.as_ref().map_or(0, |(head, _)| head.epoch);
        if welcome.epoch >= known.max(1) {
            self.probes.retain(|probe| *probe != link);
            note!(port, LeaderFound, "epoch" => welcome.epoch, "by" => "peer");
            self.heard(port, link, welcome.is_serving, 0);
        } else if welcome.known_epoch >= known.max(1) && !welcome.known_leader.is_empty() {
            let address = welcome.known_leader.clone();
            let head = Head { epoch: welcome.known_epoch, address, ..Head::default() };
            self.known = Some((head, 0));
            if !matches!(self.stage, Stage::Joining { .. } | Stage::Claiming { .. }) {
                self.join(port);
            }
        }
    }

    /// Joins a leader that made itself known, if it came later than the known one.
    pub fn announced(&mut self, port: &mut Port, epoch: u64, address: &str) {
        let is_joined = matches!(self.stage, Stage::Joined { .. });
        let known = self.known.as_ref().map_or(0, |(head, _)| head.epoch);
        if epoch < known || (epoch == known && is_joined) {
            return;
        }
        if let Stage::Joined { link, .. } | Stage::Joining { link, .. } = self.stage {
            port.out.push(Action::Close { link });
        }
        let head = Head { epoch, address: address.to_owned(), ..Head::default() };
        self.known = Some((head, 0));
        self.doubt = None;
        self.join(port);
    }

    pub(super) fn hello(&self, port: &mut Port, link: u64) {
        let epoch = self.known.as_ref().map_or(0, |(head, _)| head.epoch);
        let member = port.config.member.to_string();
        let address = port.config.address.to_string();
        port.send(link, Body::Hello(Hello { member, epoch, address }));
    }
}
