//! What is known of the sends of a start, and the proofs that follow from it.
//!
//! A start may be sent several times. Its requests and their answers travel on several
//! connections and overtake each other and the worker's listings, so the answer to one send says
//! nothing about the others. A send without an answer may take effect seconds later. A task may
//! be placed again only with a [`NotStarted`] proof, from the sends of its start, or once its
//! worker no longer lists the run and [`Fate::is_decided`] holds.

use std::time::Duration;

/// Proof that no send of a start has taken effect or can still do so.
///
/// Only [`Fate::not_started`] creates it.
#[derive(Debug)]
pub struct NotStarted(());

common::data! {
    /// Sends of one start, and what the worker said about the run.
    #[derive(Default)]
    pub struct Fate {
        /// Sends whose answer is outstanding.
        open_sends: u32,
        /// Sends that ended without an answer.
        unanswered_sends: u32,
        /// Unanswered sends that a confirmed stop has made ineffective.
        withdrawn_sends: u32,
        /// Whether the worker confirmed the start or listed the run.
        is_seen: bool,
        /// When the latest send ended, with or without an answer.
        last_send_ended: Duration,
    }

    /// Unanswered sends of a start when a stop was sent.
    #[derive(Copy, Eq)]
    pub struct StopMark(u32);
}

impl Fate {
    /// Records a send.
    pub fn record_send(&mut self) {
        self.open_sends += 1;
    }

    /// Records that the worker confirmed the start in answer to a send.
    pub fn record_started(&mut self, now: Duration) {
        self.end_send(now);
        self.is_seen = true;
    }

    /// Records that a send did not take effect: it was refused, or nothing of it was sent.
    pub fn record_without_effect(&mut self, now: Duration) {
        self.end_send(now);
    }

    /// Records that a send got no answer.
    pub fn record_unanswered(&mut self, now: Duration) {
        self.end_send(now);
        self.unanswered_sends += 1;
    }

    /// Records that the worker lists the run.
    pub fn record_listed(&mut self) {
        self.is_seen = true;
    }

    /// The sends that a stop sent now makes ineffective once the worker has confirmed it.
    pub fn mark_stop(&self) -> StopMark {
        StopMark(self.unanswered_sends)
    }

    /// Records that the worker confirmed a stop.
    pub fn record_stopped(&mut self, mark: StopMark) {
        self.withdrawn_sends = self.withdrawn_sends.max(mark.0);
    }

    /// Whether the worker confirmed the start or listed the run.
    pub fn is_seen(&self) -> bool {
        self.is_seen
    }

    /// Whether a send may have taken effect, as far as it is known.
    pub fn may_have_started(&self) -> bool {
        self.is_seen || self.open_sends > 0 || self.unanswered_sends > 0
    }

    /// Whether a send may have taken effect that the worker has not confirmed, so that it is unknown in
    /// which life of the worker.
    pub fn is_unconfirmed(&self) -> bool {
        !self.is_seen && self.may_have_started()
    }

    /// Whether a send without an answer may still take effect.
    pub fn has_unanswered_send(&self) -> bool {
        self.unanswered_sends > self.withdrawn_sends
    }

    /// Proof that the run has not started; none if a send may have taken effect or still may.
    ///
    /// A confirmed stop is no proof: the run may have ended before it.
    pub fn not_started(&self) -> Option<NotStarted> {
        let is_certain = self.open_sends == 0 && self.unanswered_sends == 0 && !self.is_seen;
        is_certain.then_some(NotStarted(()))
    }

    /// Whether no send can take effect after the worker answered a request sent at `sent`.
    pub fn is_decided(&self, sent: Duration) -> bool {
        self.open_sends == 0 && !self.has_unanswered_send() && self.last_send_ended < sent
    }

    fn end_send(&mut self, now: Duration) {
        self.open_sends = self.open_sends.saturating_sub(1);
        self.last_send_ended = now;
    }
}
