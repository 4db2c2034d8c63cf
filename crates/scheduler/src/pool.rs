//! The workers of a pool, by id.

use std::collections::BTreeMap;

use common::Name;

use crate::job::TaskKey;
use crate::worker::{Assignment, Registration, Worker};

/// Workers by id, including unlisted ones that held runs.
#[derive(Debug, Default)]
pub struct Pool {
    workers: BTreeMap<Name, Worker>,
    /// Workers that may have changed since they were last taken.
    changed: Vec<Name>,
}

impl Pool {
    /// The worker with an id.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// The worker with an id, mutable.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(id)?;
        self.changed.push(worker.registration.id.clone());
        Some(worker)
    }

    /// Takes the ids of the workers that may have changed, in no order and with duplicates.
    pub fn take_changed(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.changed)
    }

    /// All workers, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Adds a worker or replaces its registration by a later one.
    ///
    /// Runs of a previous incarnation stay assigned until the new one lists its runs. The names of
    /// incarnations tell nothing of their order: the list of workers does.
    pub fn register(&mut self, registration: Registration) {
        let Some(worker) = self.workers.get_mut(&registration.id) else {
            self.changed.push(registration.id.clone());
            self.workers.insert(registration.id.clone(), Worker::new(registration));
            return;
        };
        if !worker.is_listed || worker.registration != registration {
            self.changed.push(registration.id.clone());
        }
        worker.is_listed = true;
        let incarnation = registration.incarnation;
        if incarnation != worker.registration.incarnation
            && incarnation != worker.listed_incarnation
        {
            worker.has_current_token = false;
        }
        worker.registration = registration;
    }

    /// Removes a worker; returns its assigned runs.
    pub fn remove(&mut self, id: &str) -> Vec<(TaskKey, Assignment)> {
        let previous = self.workers.remove(id);
        previous.map(|worker| worker.assignments.into_iter().collect()).unwrap_or_default()
    }
}
