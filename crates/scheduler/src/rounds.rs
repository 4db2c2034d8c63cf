//! Counts the rounds of advice calls whose tickets run out unused.
//!
//! A round is the calls of a step that are under way at a time. Its tickets are used once a task
//! is placed with one of them, whatever becomes of the start.

use std::collections::HashMap;
use std::time::Duration;

use common::Name;

use crate::scheduler::{AdviceKey, Scheduler};

common::data! {
    /// Rounds that brought tickets, all of which expired unused.
    #[derive(Copy, Default, Eq)]
    pub struct Waste {
        /// Number of the rounds.
        pub rounds: u64,
        /// Number of their tickets.
        pub tickets: u64,
        /// Number of those rounds that were for gangs.
        pub gang_rounds: u64,
        /// Number of the tickets of these.
        pub gang_tickets: u64,
    }

    /// A round of advice calls that brought tickets.
    struct Round {
        /// Index of the step in its job.
        step: u32,
        /// Whether the step is a gang.
        is_gang: bool,
        /// Number of its last call.
        last_call: u32,
        /// Workers that its tickets are for.
        workers: Vec<Name>,
        /// When the last of its tickets expires.
        expires: Duration,
        /// Whether a task was placed with one of its tickets.
        is_used: bool,
    }
}

impl Waste {
    /// Counts a round.
    fn count(&mut self, round: &Round) {
        let tickets = round.workers.len() as u64;
        self.rounds += 1;
        self.tickets += tickets;
        if round.is_gang {
            self.gang_rounds += 1;
            self.gang_tickets += tickets;
        }
    }
}

/// Rounds with tickets that may not have expired, by job and in the order of their calls.
#[derive(Debug, Default)]
pub(crate) struct Rounds(HashMap<Name, Vec<Round>>);

impl Rounds {
    /// Records the tickets that a call brought; `last_call` is that of the calls under way.
    pub(crate) fn record_tickets(
        &mut self,
        key: &AdviceKey,
        is_gang: bool,
        last_call: u32,
        workers: Vec<Name>,
        expires: Duration,
    ) {
        if workers.is_empty() {
            return;
        }
        let rounds = self.0.entry(key.job.clone()).or_default();
        let is_same = |round: &&mut Round| round.step == key.step && key.number <= round.last_call;
        if let Some(round) = rounds.iter_mut().find(is_same) {
            round.workers.extend(workers);
            round.expires = round.expires.max(expires);
        } else {
            let step = key.step;
            rounds.push(Round { step, is_gang, last_call, workers, expires, is_used: false });
        }
    }

    /// Records that a task of a step, given as job id and index, is placed on a worker.
    pub(crate) fn record_use(&mut self, (job, step): (&Name, u32), worker: &Name) {
        let Some(rounds) = self.0.get_mut(job) else { return };
        let has_ticket = |round: &&mut Round| round.step == step && round.workers.contains(worker);
        // The latest ticket for a worker replaces earlier ones.
        if let Some(round) = rounds.iter_mut().rev().find(has_ticket) {
            round.is_used = true;
        }
    }
}

impl Scheduler {
    /// Rounds whose last ticket has expired unused since this was last called.
    ///
    /// A round is over once all of its calls have ended, too.
    pub fn take_wasted_rounds(&mut self, now: Duration) -> Waste {
        let (jobs, mut waste) = (&self.jobs, Waste::default());
        self.rounds.0.retain(|id, rounds| {
            let steps = jobs.get(id).map(|job| job.steps.as_slice()).unwrap_or_default();
            rounds.retain(|round| {
                let step = steps.get(round.step as usize);
                let has_calls = step.is_some_and(|step| {
                    step.pending_advice.range(..=round.last_call).next().is_some()
                });
                let is_over = round.expires <= now && !has_calls;
                if is_over && !round.is_used {
                    waste.count(round);
                }
                !is_over
            });
            !rounds.is_empty()
        });
        waste
    }
}
