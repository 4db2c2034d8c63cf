//! State of a step: its tasks and the advice on workers.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use common::Name;

use crate::crash::Suspicion;
use crate::health::Doubt;
use crate::job::Task;
use crate::placement::GangWait;

common::data! {
    /// Advice on whether a worker may run a step.
    pub enum Eligibility {
        /// Denied; the answer does not change later.
        Denied,
        /// Allowed with a ticket, which may have expired.
        Allowed {
            /// Ticket that a start must carry.
            ticket: Name,
            /// Time after which the ticket must not be used.
            expires: Duration,
        },
    }

    /// State of a step.
    pub struct StepState {
        /// State of each task, by index.
        pub tasks: Vec<Task>,
        /// The latest gang run counted as failed; 0 for none.
        pub failed_run: u32,
        /// Advice received, by worker id.
        pub eligibility: HashMap<Name, Eligibility>,
        /// Workers named in the pending advice calls, by the number of the call.
        pub pending_advice: BTreeMap<u32, Vec<Name>>,
        /// Number of the latest advice call; 0 before the first.
        pub last_advice_call: u32,
        /// Steps that the advice service handles before this one; `None` if it needs no call.
        pub steps_ahead: Option<usize>,
        /// Time until which some ticket may be valid.
        pub tickets_until: Duration,
        /// Failed advice calls since the last advice received.
        pub advice_failures: u32,
        /// Earliest time of the next advice call.
        pub advice_not_before: Duration,
        /// Time of the last advice received; zero before the first.
        pub last_advice_at: Duration,
        /// Places set aside for its advice calls and their tickets, by worker id; zero where it
        /// waits for room.
        pub(crate) holds: BTreeMap<Name, u32>,
        /// Its wait for room, if it is a gang that reserves capacity.
        pub(crate) gang_wait: Option<GangWait>,
        /// Since when it can start nothing under the limit of its workspace; `None` if it can.
        pub(crate) limited_since: Option<Duration>,
        /// What workers said of its starts and runs.
        pub(crate) doubt: Doubt,
        /// Workers that crashed under its tasks; `None` if there are none.
        pub(crate) suspicion: Option<Box<Suspicion>>,
    }
}

impl StepState {
    /// Creates a step without advice.
    pub fn new(tasks: Vec<Task>) -> Self {
        let no_workers = HashMap::new();
        Self {
            tasks,
            failed_run: 0,
            eligibility: no_workers,
            pending_advice: BTreeMap::new(),
            last_advice_call: 0,
            steps_ahead: None,
            tickets_until: Duration::ZERO,
            advice_failures: 0,
            advice_not_before: Duration::ZERO,
            last_advice_at: Duration::ZERO,
            holds: BTreeMap::new(),
            gang_wait: None,
            limited_since: None,
            doubt: Doubt::default(),
            suspicion: None,
        }
    }

    /// Whether all tasks have ended successfully.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.is_done)
    }

    /// Whether any task waits for placement.
    pub fn has_waiting(&self) -> bool {
        self.tasks.iter().any(Task::is_waiting)
    }

    /// Number of tasks that wait for placement.
    pub(crate) fn waiting_tasks(&self) -> u32 {
        self.tasks.iter().filter(|task| task.is_waiting()).count() as u32
    }

    /// Whether every task is waiting, so that a gang can be placed.
    pub fn all_waiting(&self) -> bool {
        self.tasks.iter().all(Task::is_waiting)
    }

    /// Forgets the advice on a worker, also that of calls under way, and its refusals.
    pub(crate) fn forget_worker(&mut self, worker: &Name) {
        self.eligibility.remove(worker);
        self.holds.remove(worker);
        self.doubt.refused_by.retain(|id| id != worker);
        for named in self.pending_advice.values_mut() {
            named.retain(|id| id != worker);
        }
    }

    /// The ticket for a worker, if it expires after `until`.
    pub fn ticket(&self, worker: &str, until: Duration) -> Option<&Name> {
        match self.eligibility.get(worker)? {
            Eligibility::Allowed { ticket, expires } if *expires > until => Some(ticket),
            _ => None,
        }
    }

    /// Whether it received tickets that have all expired before any task was placed.
    pub fn has_unused_tickets(&self, now: Duration) -> bool {
        let mut expiries = self.eligibility.values().filter_map(|eligibility| match eligibility {
            Eligibility::Allowed { expires, .. } => Some(*expires),
            Eligibility::Denied => None,
        });
        self.tasks.iter().all(|task| task.run == 0)
            && expiries.next().is_some_and(|first| first <= now)
            && expiries.all(|expires| expires <= now)
    }

    /// Whether a worker may run the step, with or without a valid ticket.
    pub fn is_allowed(&self, worker: &str) -> bool {
        matches!(self.eligibility.get(worker), Some(Eligibility::Allowed { .. }))
    }
}
