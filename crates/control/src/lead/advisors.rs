//! Advice calls, spread over the daemons.
//!
//! The advice service handles the calls of one machine in turn, so a slow call delays all
//! behind it. Slow calls go to some of the daemons only, and each call goes to the daemon
//! whose calls under way take the least time.

use std::collections::HashMap;
use std::time::Duration;

use common::Name;
use scheduler::Ask;

use crate::action::Action;
use crate::frame::{self, Body};
use crate::lead::peers::Peers;
use crate::meter::Hop;
use crate::node::Port;

/// Expected time from which a call counts as slow.
const SLOW_CALL: Duration = Duration::from_millis(200);

/// Share of the daemons that make slow calls, as numerator and denominator.
const SLOW_SHARE: (usize, usize) = (2, 3);

/// Times of the expected wait after which a call is given up.
const TIMEOUT_FACTOR: u32 = 2;

/// Added to the time after which a call is given up.
const TIMEOUT_SLACK: Duration = Duration::from_millis(600);

/// Added for the way to a follower and back.
const RELAY_SLACK: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Call {
    /// The follower's link; none for the leader itself.
    link: Option<u64>,
    job: Name,
    step: u32,
    cost: Duration,
    sent: Duration,
    deadline: Duration,
}

/// Advice calls under way.
#[derive(Debug, Default)]
pub(crate) struct Advisors {
    calls: HashMap<u64, Call>,
}

impl Advisors {
    fn backlog(&self, link: Option<u64>) -> Duration {
        self.calls.values().filter(|call| call.link == link).map(|call| call.cost).sum()
    }

    /// Makes a call at the daemon that is free the soonest.
    pub fn ask(&mut self, port: &mut Port, peers: &Peers, ask: Ask) {
        let mut places: Vec<Option<u64>> = peers.links(port.now).map(Some).collect();
        if ask.cost >= SLOW_CALL && !places.is_empty() {
            places.truncate((places.len() * SLOW_SHARE.0).div_ceil(SLOW_SHARE.1));
        } else {
            places.push(None);
            places.reverse();
        }
        let place = places.into_iter().min_by_key(|place| self.backlog(*place)).flatten();
        let timeout = (self.backlog(place) + ask.cost) * TIMEOUT_FACTOR + TIMEOUT_SLACK;
        let call = port.call();
        match place {
            None => port.out.push(Action::Advise {
                call,
                job: ask.job.clone(),
                step: ask.step,
                workers: ask.workers.clone(),
                timeout,
            }),
            Some(link) => {
                let workers = ask.workers.iter().map(ToString::to_string).collect();
                let timeout_ms = timeout.as_millis() as u32;
                let job = ask.job.to_string();
                let frame = frame::Ask { id: call, job, step: ask.step, workers, timeout_ms };
                port.send(link, Body::Ask(frame));
            }
        }
        let deadline = port.now + timeout + RELAY_SLACK;
        let Ask { job, step, cost, .. } = ask;
        let state = Call { link: place, job, step, cost, sent: port.now, deadline };
        self.calls.insert(call, state);
    }

    /// Gives up the calls that a follower left unanswered; returns their jobs and steps.
    pub fn expire(&mut self, now: Duration) -> Vec<(Name, u32)> {
        let over = self.calls.extract_if(|_, call| call.deadline <= now);
        over.map(|(_, call)| (call.job, call.step)).collect()
    }

    /// Notes that a call ended; returns its job and step.
    pub fn done(&mut self, port: &Port, call: u64) -> Option<(Name, u32)> {
        let call = self.calls.remove(&call)?;
        port.meter.time(Hop::Advice, port.now.saturating_sub(call.sent));
        Some((call.job, call.step))
    }

    /// Gives up the calls of a follower that left; returns their jobs and steps.
    pub fn drop_link(&mut self, link: u64) -> Vec<(Name, u32)> {
        let lost = self.calls.iter().filter(|(_, call)| call.link == Some(link));
        let lost: Vec<u64> = lost.map(|(id, _)| *id).collect();
        let calls = lost.into_iter().filter_map(|id| self.calls.remove(&id));
        calls.map(|call| (call.job, call.step)).collect()
    }
}
