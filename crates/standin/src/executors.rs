//! Executors that answer quick requests, and count what they were asked.

use std::collections::{HashMap, HashSet};

use common::Name;
use settings::Inventory;

common::record! {
    /// What the executors counted.
    #[derive(Default)]
    pub struct Counts {
        /// Requests taken.
        pub requests: u64,
        /// Requests beyond an executor's slots.
        pub over_slots: u64,
        /// Requests to executors that were leaving.
        pub on_leaving: u64,
        /// Second runs of work that is not repeatable.
        pub rerun_once: u64,
    }
}

#[derive(Debug)]
struct Executor {
    slots: u32,
    used: u32,
}

/// All executors.
#[derive(Debug, Default)]
pub struct Executors {
    executors: HashMap<Name, Executor>,
    leaving: HashSet<Name>,
    once: HashSet<String>,
    ran: HashSet<String>,
    /// What was counted.
    pub counts: Counts,
}

impl Executors {
    /// The executors of an inventory.
    pub fn new(inventory: &Inventory) -> Self {
        let listed = inventory.services.values().flat_map(|service| &service.executors);
        let executors =
            listed.map(|one| (one.name.clone(), Executor { slots: one.slots, used: 0 }));
        Self { executors: executors.collect(), ..Self::default() }
    }

    /// Marks executors as leaving.
    pub fn set_leaving(&mut self, leaving: HashSet<Name>) {
        self.leaving = leaving;
    }

    /// Requests that ran at least once.
    pub fn ran(&self) -> Vec<String> {
        self.ran.iter().cloned().collect()
    }

    /// Takes a request; false where there is no such executor.
    pub fn begin(&mut self, name: &str, request: &str, is_once: bool) -> bool {
        let Some(executor) = self.executors.get_mut(name) else {
            return false;
        };
        executor.used += 1;
        self.counts.requests += 1;
        self.ran.insert(request.to_owned());
        if executor.used > executor.slots {
            self.counts.over_slots += 1;
        }
        if self.leaving.contains(name) {
            self.counts.on_leaving += 1;
        }
        if is_once && !self.once.insert(request.to_owned()) {
            self.counts.rerun_once += 1;
        }
        true
    }

    /// Ends a request.
    pub fn end(&mut self, name: &str) {
        if let Some(executor) = self.executors.get_mut(name) {
            executor.used = executor.used.saturating_sub(1);
        }
    }
}
