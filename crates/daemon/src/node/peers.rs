//! Messages between daemons: heartbeats, calls, replies.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use common::{ErrorKind, Name};
use journal::event::RequestKey;
use stakker::CX;
use wire::{Body, Frame};

use super::Node;
use super::action::Waiter;
use super::call::Purpose;
use super::home::from_wire;
use crate::event::Event;
use crate::mesh::Input;

/// Interval between heartbeats to the peers.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between checks for changed digests.
pub(super) const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// A peer whose last heartbeat is older counts as disconnected.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Confirmation age that means "never confirmed", in milliseconds.
const NEVER_CONFIRMED_MS: u64 = u64::MAX / 4;

/// Contents of a peer's last heartbeat.
#[derive(Debug, Clone)]
pub(super) struct PeerState {
    /// When the heartbeat arrived.
    pub at: Instant,
    /// Settings version in force on the peer.
    pub settings: u64,
    /// Whether the table is down for the peer.
    pub is_table_down: bool,
    /// Whether the peer is shutting down gracefully.
    pub is_leaving: bool,
}

impl Node {
    /// Handles an input from the mesh.
    pub fn handle_mesh_input(&mut self, cx: CX![], input: Input) {
        match input {
            Input::Connected(peer) => {
                self.update_clock(cx);
                self.log_event(Event::PeerConnected, &peer);
                self.send_full_state(cx, &peer);
            }
            Input::Disconnected(peer) => {
                self.update_clock(cx);
                self.log_event(Event::PeerDisconnected, &peer);
                self.peers.remove(&peer);
                for call in self.calls.take_calls_to(&peer) {
                    self.end_call(cx, call.purpose, None, true);
                }
                self.perform_actions(cx);
            }
            Input::Frame(peer, frame) => self.handle_frame(cx, peer, frame),
            Input::Rejected(reason) => self.log_event(Event::PeerRejected, reason),
            Input::TimedOut(peer) => self.log_event(Event::PeerTimedOut, peer),
        }
    }

    /// Handles one frame: a reply, call or message.
    pub(super) fn handle_frame(&mut self, cx: CX![], from: Name, frame: Frame) {
        self.update_clock(cx);
        let Some(body) = frame.body else { return };
        if frame.is_reply {
            if let Some(call) = self.calls.take(frame.call, &from) {
                self.end_call(cx, call.purpose, Some(body), true);
            }
        } else {
            self.dispatch(cx, Waiter::Peer(from, frame.call), body);
        }
        self.perform_actions(cx);
    }

    /// Dispatches a call or message of a peer.
    fn dispatch(&mut self, cx: CX![], from: Waiter, body: Body) {
        match body {
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(cx, &from, &heartbeat),
            Body::Submit(submit) => self.handle_submit(cx, from, submit),
            Body::Query(query) => self.handle_query(cx, from, &query),
            Body::Cancel(cancel) => self.handle_cancel(cx, from, &cancel),
            Body::Quick(quick) => self.handle_quick(cx, from, quick),
            Body::Reserve(reserve) => self.handle_reserve(cx, &from, &reserve),
            Body::Release(release) => self.handle_release(&release),
            Body::Start(start) => self.handle_start(cx, &from, &start),
            Body::Probe(probe) => self.handle_probe(cx, &from, &probe),
            Body::Report(report) => self.handle_report(cx, from, report),
            Body::Stop(stop) => self.handle_stop(&stop),
            Body::Changed(_) => self.schedule_table_read(),
            Body::Survey(survey) => self.answer_survey(cx, &from, &survey),
            Body::Greeting(_) | Body::Answer(_) | Body::Grant(_) | Body::Ack(_) | Body::View(_) => {
            }
        }
    }

    /// Ends a call with its reply; `None` if it was lost or never sent.
    pub(super) fn end_call(
        &mut self,
        cx: CX![],
        purpose: Purpose,
        body: Option<Body>,
        is_sent: bool,
    ) {
        match purpose {
            Purpose::Forward(token) => self.on_forward_reply(cx, token, body, is_sent),
            Purpose::Reserve { partition, key, rack } => {
                let grant = body.and_then(into_grant);
                if let Some(digest) = grant.as_ref().and_then(|grant| grant.digest.as_ref())
                    && let Some(owner) = self.shared.rack_owner(&rack)
                {
                    self.shared.digests.update(&owner, digest);
                }
                if let Some(home) = self.homes.get_mut(&partition) {
                    home.handle_grant(&mut self.shared, &key, &rack, grant);
                }
            }
            Purpose::Start { partition, key, task, attempt } => {
                let ack = body.and_then(into_ack);
                if let Some(home) = self.homes.get_mut(&partition) {
                    home.handle_start_ack(&self.shared, &key, task, attempt, ack);
                }
            }
            Purpose::Probe { partition } => {
                if let (Some(home), Some(Body::Report(report))) =
                    (self.homes.get_mut(&partition), body)
                {
                    home.handle_report(&self.shared, report, None);
                }
            }
            Purpose::Report { rack, run } => {
                let ack = body.and_then(into_ack);
                if let Some(allocator) = self.allocators.get_mut(&rack) {
                    allocator.handle_ack(&self.shared, &run, ack);
                }
            }
            Purpose::Quick { key, rack } => {
                let answer = answer_or_not_sent(body, is_sent);
                self.quick_tracker.handle_answer(&mut self.shared, &key, &rack, answer);
            }
            Purpose::QuickOnce { partition, key, attempt } => {
                let answer = answer_or_not_sent(body, is_sent);
                if let Some(home) = self.homes.get_mut(&partition) {
                    home.handle_quick_answer(&self.shared, &key, attempt, answer);
                }
            }
            Purpose::Survey(number) => self.add_survey_part(number, body),
        }
    }

    // Heartbeats.

    /// Sends a heartbeat with the given digests and usages to all peers.
    pub(super) fn send_heartbeats(
        &mut self,
        cx: CX![],
        digests: Vec<wire::Digest>,
        usages: Vec<wire::Usage>,
    ) {
        let heartbeat = self.build_heartbeat(digests, usages);
        for peer in self.shared.membership.peers() {
            self.notify(cx, &peer.name, Body::Heartbeat(heartbeat.clone()));
        }
    }

    fn build_heartbeat(
        &self,
        digests: Vec<wire::Digest>,
        usages: Vec<wire::Usage>,
    ) -> wire::Heartbeat {
        let versions = &self.shared.versions;
        let age = versions.age(self.shared.now);
        wire::Heartbeat {
            settings: versions.head.version,
            confirmed_age_ms: age.map_or(NEVER_CONFIRMED_MS, |age| age.as_millis() as u64),
            leaving: self.shared.membership.own_member().is_leaving,
            digests,
            table_down: self.shared.store.is_down(),
            usages,
        }
    }

    /// Sends a newly connected peer all digests and usage.
    fn send_full_state(&mut self, cx: CX![], peer: &Name) {
        let digests = self.allocators.values().filter_map(super::Allocator::sent_digest).collect();
        let heartbeat = self.build_heartbeat(digests, self.shared.usages.own_usages());
        self.notify(cx, peer, Body::Heartbeat(heartbeat));
    }

    /// Applies a peer's heartbeat.
    fn handle_heartbeat(&mut self, cx: CX![], from: &Waiter, heartbeat: &wire::Heartbeat) {
        let Waiter::Peer(peer, _) = from else { return };
        let now = self.shared.now;
        for digest in &heartbeat.digests {
            self.shared.digests.update(peer, digest);
        }
        self.shared.usages.update(peer, &heartbeat.usages);
        if heartbeat.confirmed_age_ms < NEVER_CONFIRMED_MS {
            let age = Duration::from_millis(heartbeat.confirmed_age_ms);
            self.shared.versions.apply_peer_version(heartbeat.settings, age, now);
        }
        let state = PeerState {
            at: now,
            settings: heartbeat.settings,
            is_table_down: heartbeat.table_down,
            is_leaving: heartbeat.leaving,
        };
        self.peers.insert(peer.clone(), state);
        if self.shared.versions.newest_known > self.shared.versions.head.version {
            self.fetch_settings(cx);
        }
    }

    /// Peers with a recent heartbeat.
    pub(super) fn connected_peers(&self) -> HashMap<&Name, &PeerState> {
        let now = self.shared.now;
        let is_fresh = |state: &PeerState| now.saturating_duration_since(state.at) < PEER_TIMEOUT;
        self.peers.iter().filter(|(_, state)| is_fresh(state)).collect()
    }

    /// Whether this daemon is connected to a majority of the live members, itself counted.
    pub(super) fn has_majority(&self) -> bool {
        let live = self.shared.membership.live();
        let peers = self.connected_peers();
        let connected = live.iter().filter(|name| peers.contains_key(name)).count() + 1;
        connected * 2 > live.len().max(1)
    }

    /// Updates the outage state and logs changes of the lease and of the settings' confirmation.
    pub(super) fn update_validity(&mut self) {
        let all_peers_report_outage =
            self.connected_peers().values().all(|state| state.is_table_down);
        self.outage.is_agreed =
            self.shared.store.is_down() && all_peers_report_outage && self.has_majority();
        self.shared.is_outage_agreed = self.outage.is_agreed;
        let is_valid = self.shared.can_act_as_owner();
        if is_valid != self.outage.was_valid {
            let event = if is_valid { Event::LeaseRenewed } else { Event::LeaseExpired };
            self.log_event(event, self.shared.own_name());
            self.outage.was_valid = is_valid;
        }
        let is_confirmed = self.shared.has_confirmed_settings();
        if is_confirmed != self.outage.was_confirmed {
            let event =
                if is_confirmed { Event::SettingsConfirmed } else { Event::SettingsUnconfirmed };
            self.log_event(event, self.shared.versions.head.version);
            self.outage.was_confirmed = is_confirmed;
        }
    }
}

fn into_grant(body: Body) -> Option<wire::Grant> {
    if let Body::Grant(grant) = body { Some(grant) } else { None }
}

fn into_ack(body: Body) -> Option<wire::Ack> {
    if let Body::Ack(ack) = body { Some(ack) } else { None }
}

/// Answer to a quick call; one that was never sent certainly did not run.
fn answer_or_not_sent(body: Option<Body>, is_sent: bool) -> Option<wire::Answer> {
    match body {
        Some(Body::Answer(answer)) => Some(answer),
        _ if is_sent => None,
        _ => Some(super::action::failure(ErrorKind::NoOwner, "the rack's owner is not connected")),
    }
}

/// Decodes the key of a message; a missing one becomes an empty key, which matches nothing.
pub(super) fn decode_key(key: Option<&wire::Key>) -> RequestKey {
    key.map_or_else(|| RequestKey { customer: Name::default(), id: Name::default() }, from_wire)
}
