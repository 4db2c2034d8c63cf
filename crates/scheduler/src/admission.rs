//! Predicts how long a new job waits for its first start, and refuses jobs that would be of no use.
//!
//! By Little's law a job waits for the number of waiting jobs ahead of it in its queue, divided by
//! the rate at which they start, whatever limits that rate: the pool, the advice service or the
//! leader. Waiting jobs that later ones have overtaken do not count, as they wait for something
//! else. The rate lags behind a load that grows, so a prediction counts only once a quarter of the
//! jobs ahead has waited for longer than the time over which the rate is measured. A queue that
//! refuses jobs still accepts one at intervals, so that it learns when jobs start again.
//!
//! Where workspaces share the pool, a job waits for the jobs of its own workspace, as those of the
//! others do not come before it for long. So each workspace has a backlog and a rate of its own in
//! each queue, which its share or its limit may bound. A rate counts only if jobs have waited all the
//! while that it was measured: where nothing waits, it is small as few jobs arrive.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use common::Name;

/// Time over which the present rate of starts is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Time over which starts are remembered; their rate counts if the present one is lower.
const RATE_MEMORY: Duration = Duration::from_secs(10);

/// Share of the jobs ahead, as a divisor, that must have waited long.
const AGED_DIVISOR: usize = 4;

/// Wait after which a job has waited long; the rate has caught up with a new load by then.
const LONG_WAIT: Duration = RATE_WINDOW;

/// Number of latest starts whose median arrival separates overtaken jobs from those ahead.
const OVERTAKING_STARTS: usize = 16;

/// Interval at which a queue accepts a job whatever the prediction.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// First start of a job.
#[derive(Debug)]
struct Start {
    at: Duration,
    /// When the job arrived.
    arrived: Duration,
}

/// Jobs of one queue that wait for their first start, and the latest starts.
#[derive(Debug, Default)]
struct Flow {
    /// Waiting jobs by their arrival.
    waiting: BTreeSet<(Duration, Name)>,
    /// First starts within the memory, the latest last.
    starts: VecDeque<Start>,
    /// Arrival before which waiting jobs have been overtaken.
    overtaken: Duration,
    /// Arrival of the latest job.
    last_arrival: Duration,
}

/// Fewest jobs ahead that count as the backlog of a workspace.
///
/// The rate is taken as at least one start in the window, which is far too high or too low for the
/// few gangs or long jobs that a small workspace has waiting.
const MIN_WORKSPACE_BACKLOG: usize = 4;

/// What a waiting job belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Origin {
    /// Its queue.
    pub queue: Name,
    /// Its workspace; empty for none.
    pub workspace: Name,
}

/// Waiting jobs and first starts of all queues.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    flows: HashMap<Name, Flow>,
    /// The same for each workspace in each queue, with one for the jobs of none.
    workspace_flows: HashMap<Origin, Flow>,
    /// When idle flows of workspaces are dropped next.
    next_cleanup: Duration,
    /// When the first pass ran; `None` before. Earlier starts are not known.
    since: Option<Duration>,
}

impl Admission {
    /// Records that a pass runs.
    pub fn record_pass(&mut self, now: Duration) {
        self.since.get_or_insert(now);
        if self.next_cleanup <= now {
            self.next_cleanup = now + RATE_MEMORY;
            self.workspace_flows.retain(|_, flow| {
                flow.forget_starts(now);
                !flow.waiting.is_empty() || !flow.starts.is_empty()
            });
        }
    }

    /// The flows that a job belongs to, as far as they exist.
    fn flows_of(&mut self, origin: &Origin) -> impl Iterator<Item = &mut Flow> {
        let own = self.workspace_flows.get_mut(origin);
        self.flows.get_mut(&origin.queue).into_iter().chain(own)
    }

    /// Adds a job that waits for its first start.
    pub fn add(&mut self, origin: Origin, arrived: Duration, id: &Name) {
        let flow = self.flows.entry(origin.queue.clone()).or_default();
        let own = self.workspace_flows.entry(origin).or_default();
        for flow in [flow, own] {
            flow.waiting.insert((arrived, id.clone()));
            flow.last_arrival = flow.last_arrival.max(arrived);
        }
    }

    /// Records the first start of a job.
    pub fn record_start(&mut self, origin: &Origin, arrived: Duration, id: &Name, now: Duration) {
        self.remove(origin, arrived, id);
        for flow in self.flows_of(origin) {
            flow.record_start(Start { at: now, arrived });
        }
    }

    /// Removes a job that no longer waits.
    pub fn remove(&mut self, origin: &Origin, arrived: Duration, id: &Name) {
        for flow in self.flows_of(origin) {
            flow.waiting.remove(&(arrived, id.clone()));
        }
    }

    /// How far beyond its slack a job that arrives now would wait; `None` if it is to be accepted.
    ///
    /// Where workspaces share the pool, that follows from the backlog of the job's own.
    pub fn excess_wait(
        &mut self,
        origin: &Origin,
        is_shared: bool,
        slack: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let has_full_window = self.since.is_some_and(|since| since + RATE_WINDOW <= now);
        let (flow, min_backlog) = if is_shared {
            (self.workspace_flows.get_mut(origin), MIN_WORKSPACE_BACKLOG)
        } else {
            (self.flows.get_mut(&origin.queue), 0)
        };
        let flow = flow.filter(|_| has_full_window)?;
        if flow.last_arrival + PROBE_INTERVAL <= now {
            return None;
        }
        flow.forget_starts(now);
        let ahead = || flow.waiting.range((flow.overtaken, Name::default())..);
        let count = ahead().count();
        if count < min_backlog {
            return None;
        }
        let wait = Duration::from_secs_f64(count as f64 / flow.rate(now));
        let excess = wait.checked_sub(slack)?;
        let has_aged =
            ahead().nth(count / AGED_DIVISOR).is_some_and(|(at, _)| *at + LONG_WAIT <= now);
        has_aged.then_some(excess)
    }
}

impl Flow {
    fn record_start(&mut self, start: Start) {
        self.forget_starts(start.at);
        self.starts.push_back(start);
        let latest = self.starts.iter().rev().take(OVERTAKING_STARTS);
        let mut arrivals: Vec<Duration> = latest.map(|start| start.arrived).collect();
        let middle = arrivals.len() / 2;
        self.overtaken = *arrivals.select_nth_unstable(middle).1;
    }

    fn forget_starts(&mut self, now: Duration) {
        while self.starts.front().is_some_and(|start| start.at + RATE_MEMORY < now) {
            self.starts.pop_front();
        }
    }

    /// Starts a second, at least one in the window.
    fn rate(&self, now: Duration) -> f64 {
        let in_window =
            self.starts.iter().rev().take_while(|start| start.at + RATE_WINDOW >= now).count();
        let present = in_window.max(1) as f64 / RATE_WINDOW.as_secs_f64();
        present.max(self.starts.len() as f64 / RATE_MEMORY.as_secs_f64())
    }
}
