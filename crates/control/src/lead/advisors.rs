//! Advice calls, spread over the daemons.
//!
//! The advice service handles the calls of one machine in turn, so a slow call delays all
//! behind it. Calls wait at the leader until a daemon is about to be free. Slow, middling and
//! quick calls go to different daemons, so that quick ones never wait behind slow ones.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use common::Name;
use scheduler::{Ask, Phase, Scheduler};

use crate::action::Action;
use crate::frame::{self, Body};
use crate::lead::peers::Peers;
use crate::meter::Hop;
use crate::node::Port;

/// Expected time from which a call counts as slow.
const SLOW_CALL: Duration = Duration::from_millis(200);

/// Expected time from which a call counts as middling.
const MIDDLING_CALL: Duration = Duration::from_millis(30);

/// Expected time of the calls under way at a daemon up to which it gets another one, so that
/// the service has no gap between two.
const BACKLOG: Duration = Duration::from_millis(20);

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

/// Advice calls that wait or are under way.
#[derive(Debug, Default)]
pub(crate) struct Advisors {
    slow: VecDeque<Ask>,
    middling: VecDeque<Ask>,
    quick: VecDeque<Ask>,
    calls: HashMap<u64, Call>,
}

/// The daemons that make calls, by kind of call.
struct Places {
    slow: Vec<Option<u64>>,
    quick: Vec<Option<u64>>,
}

impl Places {
    /// A third of the daemons for quick calls; all for all where there are fewer than three.
    fn new(peers: &Peers, now: Duration) -> Self {
        let mut all: Vec<Option<u64>> = peers.links(now).map(Some).collect();
        all.push(None);
        if all.len() < 3 {
            return Self { slow: all.clone(), quick: all };
        }
        let quick = all.split_off(all.len() - all.len() / 3);
        Self { slow: all, quick }
    }
}

impl Advisors {
    /// Takes a call that is to be made.
    pub fn ask(&mut self, ask: Ask) {
        let queue = match ask.cost {
            cost if cost >= SLOW_CALL => &mut self.slow,
            cost if cost >= MIDDLING_CALL => &mut self.middling,
            _ => &mut self.quick,
        };
        queue.push_back(ask);
    }

    /// Makes the calls for which a daemon is about to be free.
    pub fn progress(&mut self, port: &mut Port, peers: &Peers, scheduler: &Scheduler) {
        if self.slow.is_empty() && self.middling.is_empty() && self.quick.is_empty() {
            return;
        }
        let places = Places::new(peers, port.now);
        let queues = [
            (std::mem::take(&mut self.quick), &places.quick),
            (std::mem::take(&mut self.middling), &places.slow),
            (std::mem::take(&mut self.slow), &places.slow),
        ];
        let [quick, middling, slow] =
            queues.map(|(queue, places)| self.drain(port, queue, places, scheduler));
        (self.quick, self.middling, self.slow) = (quick, middling, slow);
    }

    /// Makes calls of one kind; returns those that still wait.
    fn drain(
        &mut self,
        port: &mut Port,
        mut queue: VecDeque<Ask>,
        places: &[Option<u64>],
        scheduler: &Scheduler,
    ) -> VecDeque<Ask> {
        while let Some(ask) = queue.pop_front() {
            let job = scheduler.jobs.get(&ask.job);
            if job.is_none_or(|job| job.phase != Phase::Open) {
                continue;
            }
            let free = places.iter().map(|place| (self.backlog(*place), *place)).min();
            match free {
                Some((backlog, place)) if backlog <= BACKLOG => self.call(port, place, ask),
                _ => {
                    queue.push_front(ask);
                    break;
                }
            }
        }
        queue
    }

    fn backlog(&self, link: Option<u64>) -> Duration {
        self.calls.values().filter(|call| call.link == link).map(|call| call.cost).sum()
    }

    fn call(&mut self, port: &mut Port, place: Option<u64>, ask: Ask) {
        let timeout = (self.backlog(place) + ask.cost) * TIMEOUT_FACTOR + TIMEOUT_SLACK;
        let call = port.call();
        let deadline = port.now + timeout + RELAY_SLACK;
        let Ask { job, step, workers, cost } = ask;
        match place {
            None => {
                let job = job.clone();
                port.out.push(Action::Advise { call, job, step, workers, timeout });
            }
            Some(link) => {
                let workers = workers.iter().map(ToString::to_string).collect();
                let timeout_ms = timeout.as_millis() as u32;
                let job = job.to_string();
                port.send(link, Body::Ask(frame::Ask { id: call, job, step, workers, timeout_ms }));
            }
        }
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
        let lost = self.calls.extract_if(|_, call| call.link == Some(link));
        lost.map(|(_, call)| (call.job, call.step)).collect()
    }
}
