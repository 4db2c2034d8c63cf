//! Leader discovery through peers, used while the store does not answer.
//!
//! A probe connects to a peer and sends a hello; the peer's welcome states whether it leads or
//! which leader it knows. New leaders also announce themselves.

use common::Name;

use crate::action::Action;
use crate::config::Capacity;
use crate::event::log_event;
use crate::follow::{Follower, Stage};
use crate::frame::{Body, Hello, Welcome};
use crate::head::Head;
use crate::input::PeerEvent;
use crate::node::Context;

/// Maximum number of peers probed at a time.
const MAX_PROBES: usize = 3;

impl Follower {
    /// Whether a link leads to a probed peer.
    pub fn is_probe_link(&self, link: u64) -> bool {
        self.probes.contains(&link)
    }

    /// Probes peers from a random position of the list on; replaces the previous probes.
    pub(super) fn probe_peers(&mut self, ctx: &mut Context) {
        if matches!(self.stage, Stage::Joined { .. }) || self.peer_addresses.is_empty() {
            return;
        }
        for link in std::mem::take(&mut self.probes) {
            ctx.actions.push(Action::Close { link });
        }
        let first = ctx.random_below(self.peer_addresses.len() as u64) as usize;
        let peers = self.peer_addresses.iter().cycle().skip(first);
        let probed: Vec<Name> =
            peers.take(MAX_PROBES.min(self.peer_addresses.len())).cloned().collect();
        for address in probed {
            if address == ctx.config.peer_address {
                continue;
            }
            let link = ctx.next_link_id();
            self.probes.push(link);
            ctx.actions.push(Action::Connect { link, address });
        }
    }

    /// Handles an event on a link to a probed peer.
    pub fn handle_probe_event(&mut self, ctx: &mut Context, link: u64, event: &PeerEvent) {
        match event {
            PeerEvent::Connected => self.send_hello(ctx, link),
            PeerEvent::Frame(frame) => {
                if let Some(Body::Welcome(welcome)) = &frame.body {
                    self.handle_probe_welcome(ctx, link, welcome);
                }
            }
            PeerEvent::Refused | PeerEvent::Closed => self.probes.retain(|probe| *probe != link),
            PeerEvent::Accepted => {}
        }
    }

    /// Joins the peer if it leads, or connects to the leader that it named.
    fn handle_probe_welcome(&mut self, ctx: &mut Context, link: u64, welcome: &Welcome) {
        if matches!(self.stage, Stage::Joined { .. }) {
            return;
        }
        let last_epoch = self.known_head.as_ref().map_or(0, |(head, _)| head.epoch);
        if welcome.epoch >= last_epoch.max(1) {
            self.probes.retain(|probe| *probe != link);
            log_event!(ctx, LeaderFound, "epoch" => welcome.epoch, "by" => "peer");
            self.mark_joined(ctx, link, welcome.is_serving, 0);
        } else if welcome.known_epoch >= last_epoch.max(1) && !welcome.known_leader.is_empty() {
            let address = welcome.known_leader.clone();
            let head = Head { epoch: welcome.known_epoch, address, ..Head::default() };
            self.known_head = Some((head, 0));
            if !matches!(self.stage, Stage::Joining { .. } | Stage::Claiming { .. }) {
                self.connect_to_leader(ctx);
            }
        }
    }

    /// Connects to a leader that announced itself, unless it is outdated or already joined.
    pub fn handle_announce(&mut self, ctx: &mut Context, epoch: u64, address: &str) {
        let is_joined = matches!(self.stage, Stage::Joined { .. });
        let last_epoch = self.known_head.as_ref().map_or(0, |(head, _)| head.epoch);
        if epoch < last_epoch || (epoch == last_epoch && is_joined) {
            return;
        }
        self.leave_leader(ctx, "another leader announced itself");
        let head = Head { epoch, address: address.to_owned(), ..Head::default() };
        self.known_head = Some((head, 0));
        self.suspicion = None;
        self.connect_to_leader(ctx);
    }

    /// Introduces this daemon on a new link.
    pub(super) fn send_hello(&self, ctx: &mut Context, link: u64) {
        let epoch = self.known_head.as_ref().map_or(0, |(head, _)| head.epoch);
        let member = ctx.config.member.to_string();
        let address = ctx.config.peer_address.to_string();
        let Capacity { cpu_millis, link_kbps } = ctx.config.capacity;
        let hello = Hello { member, epoch, address, cpu_millis, link_kbps };
        ctx.send(link, Body::Hello(hello));
    }
}
