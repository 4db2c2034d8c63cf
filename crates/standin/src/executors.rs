//! Simulated executors: handle quick requests and count calls and violations.

use std::collections::{HashMap, HashSet};

use common::Name;
use settings::Inventory;

common::record! {
    /// Counters over all executors.
    #[derive(Default)]
    pub struct Counts {
        /// Requests that an executor began.
        pub requests: u64,
        /// Requests that exceeded an executor's slots.
        pub over_slots: u64,
        /// Requests to executors that are leaving.
        pub on_leaving: u64,
        /// Repeated runs of work that is not repeatable.
        pub rerun_once: u64,
    }
}

#[derive(Debug)]
struct Executor {
    slots: u32,
    in_progress: u32,
}

/// All executors of a cell.
#[derive(Debug, Default)]
pub struct Executors {
    executors: HashMap<Name, Executor>,
    leaving: HashSet<Name>,
    /// Requests that began and are not repeatable.
    non_repeatable: HashSet<String>,
    /// Requests that began at least once.
    started: HashSet<String>,
    /// Counters over all executors since the start.
    pub counts: Counts,
}

impl Executors {
    /// Creates the idle executors of an inventory.
    pub fn new(inventory: &Inventory) -> Self {
        let configured = inventory.services.values().flat_map(|service| &service.executors);
        let executors =
            configured.map(|one| (one.name.clone(), Executor { slots: one.slots, in_progress: 0 }));
        Self { executors: executors.collect(), ..Self::default() }
    }

    /// Replaces the set of executors that are leaving.
    pub fn set_leaving(&mut self, leaving: HashSet<Name>) {
        self.leaving = leaving;
    }

    /// Ids of the requests that began at least once.
    pub fn started_requests(&self) -> Vec<String> {
        self.started.iter().cloned().collect()
    }

    /// Begins a request; returns whether the executor exists.
    pub fn begin(&mut self, name: &str, request: &str, is_once: bool) -> bool {
        let Some(executor) = self.executors.get_mut(name) else {
            return false;
        };
        executor.in_progress += 1;
        self.counts.requests += 1;
        self.started.insert(request.to_owned());
        if executor.in_progress > executor.slots {
            self.counts.over_slots += 1;
        }
        if self.leaving.contains(name) {
            self.counts.on_leaving += 1;
        }
        if is_once && !self.non_repeatable.insert(request.to_owned()) {
            self.counts.rerun_once += 1;
        }
        true
    }

    /// Ends a request and frees its slot.
    pub fn end(&mut self, name: &str) {
        if let Some(executor) = self.executors.get_mut(name) {
            executor.in_progress = executor.in_progress.saturating_sub(1);
        }
    }
}
