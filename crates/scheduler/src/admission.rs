//! Predicts how long a new job waits for its first start, and refuses jobs that would be late.
//!
//! By Little's law a job waits for the number of waiting jobs of its queue, divided by the rate at
//! which they start, whatever limits that rate: the pool, the advice service or the leader. The
//! rate lags behind a load that grows, so a prediction counts only once a quarter of the waiting
//! jobs has waited for longer than the time over which the rate is measured.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use common::Name;

/// Time over which starts are counted.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Share of the waiting jobs, as a divisor, that must have waited long.
const AGED_DIVISOR: usize = 4;

/// Wait after which a job has waited long; the rate has caught up with a new load by then.
const LONG_WAIT: Duration = RATE_WINDOW;

/// Jobs of one queue that wait for their first start, and the latest starts.
#[derive(Debug, Default)]
struct Flow {
    /// Waiting jobs by their arrival.
    waiting: BTreeSet<(Duration, Name)>,
    /// Times of first starts within the window.
    starts: VecDeque<Duration>,
}

/// Waiting jobs and first starts of all queues.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    flows: HashMap<Name, Flow>,
    /// When the first pass ran; `None` before. Earlier starts are not known.
    since: Option<Duration>,
}

impl Admission {
    /// Records that a pass runs.
    pub fn record_pass(&mut self, now: Duration) {
        self.since.get_or_insert(now);
    }

    /// Adds a job that waits for its first start.
    pub fn add(&mut self, queue: &Name, arrived: Duration, id: &Name) {
        let flow = self.flows.entry(queue.clone()).or_default();
        flow.waiting.insert((arrived, id.clone()));
    }

    /// Records the first start of a job.
    pub fn record_start(&mut self, queue: &Name, arrived: Duration, id: &Name, now: Duration) {
        self.remove(queue, arrived, id);
        let Some(flow) = self.flows.get_mut(queue) else { return };
        flow.starts.push_back(now);
        flow.forget_starts(now);
    }

    /// Removes a job that no longer waits.
    pub fn remove(&mut self, queue: &Name, arrived: Duration, id: &Name) {
        if let Some(flow) = self.flows.get_mut(queue) {
            flow.waiting.remove(&(arrived, id.clone()));
        }
    }

    /// How far beyond its slack a job that arrives now would wait; `None` if it is to be accepted.
    pub fn excess_wait(
        &mut self,
        queue: &Name,
        slack: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let has_full_window = self.since.is_some_and(|since| since + RATE_WINDOW <= now);
        let flow = self.flows.get_mut(queue).filter(|_| has_full_window)?;
        flow.forget_starts(now);
        let rate = flow.starts.len().max(1) as f64 / RATE_WINDOW.as_secs_f64();
        let wait = Duration::from_secs_f64(flow.waiting.len() as f64 / rate);
        let excess = wait.checked_sub(slack)?;
        let aged = flow.waiting.iter().nth(flow.waiting.len() / AGED_DIVISOR);
        let has_aged = aged.is_some_and(|(arrived, _)| *arrived + LONG_WAIT <= now);
        has_aged.then_some(excess)
    }
}

impl Flow {
    fn forget_starts(&mut self, now: Duration) {
        while self.starts.front().is_some_and(|start| *start + RATE_WINDOW < now) {
            self.starts.pop_front();
        }
    }
}
