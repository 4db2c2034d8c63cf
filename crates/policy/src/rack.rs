//! Capacity accounting for one rack.
//!
//! Reservations and running tasks use capacity. A worker whose running tasks are not yet
//! known gets no work. Only the rack's owner grants reservations, so concurrent requests
//! cannot overcommit a worker.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use common::Name;
use settings::inventory::{Executor, Inventory};
use settings::quantity::Resources;

use crate::{CapacityIndex, Health};

common::data! {
    /// Why a reservation or a slot was refused.
    pub enum ReserveError {
        /// No sufficiently large worker has enough free capacity; names a resource that is short.
        Full(&'static str),
        /// Only workers that may not be used have enough free capacity: unreconciled, leaving,
        /// quarantined, excluded by the request or held for urgent work.
        Unavailable,
        /// No worker is large enough; names a resource that is exceeded.
        Infeasible(&'static str),
        /// No executor of the service has a free slot.
        NoSlot,
    }

    /// Reserved capacity on one worker.
    pub struct Placement {
        /// Number of the reservation, unique within the rack.
        pub reservation: u64,
        /// Name of the worker.
        pub worker: Name,
    }

    /// Capacity held for a task until it is committed, released or expires.
    pub struct Reservation {
        /// Name of the worker that holds the capacity.
        pub worker: Name,
        /// Amount of each resource.
        pub size: Resources,
        /// When it expires unless it is committed first.
        pub expires: Instant,
    }
}

/// Capacity, use and health of one worker.
#[derive(Debug, Clone, Default)]
struct Worker {
    name: Name,
    /// Total capacity; zero if the worker is not in the inventory.
    capacity: Resources,
    /// Capacity used by reservations and tasks.
    used: Resources,
    /// Number of reservations and tasks.
    task_count: usize,
    /// Whether all tasks running on the worker are accounted for.
    is_reconciled: bool,
    is_leaving: bool,
    /// Until when only urgent work may use the free capacity.
    urgent_only_until: Option<Instant>,
    health: Health,
}

/// Slots and health of one executor.
#[derive(Debug, Clone, Default)]
struct ExecutorState {
    service: Name,
    worker: Name,
    slots: u32,
    used: u32,
    is_leaving: bool,
    health: Health,
}

/// A request for capacity on a rack.
#[derive(Debug, Clone, Copy)]
pub struct ReserveRequest<'a> {
    /// The size of each task.
    pub size: Resources,
    /// Maximum number of placements.
    pub count: usize,
    /// Workers that must not be chosen because the task failed on them.
    pub avoid: &'a [Name],
    /// Whether it may use capacity held for urgent work.
    pub is_urgent: bool,
}

impl ReserveRequest<'_> {
    /// A request for one placement of `size` on any worker.
    pub fn single(size: Resources) -> Self {
        Self { size, count: 1, avoid: &[], is_urgent: false }
    }
}

/// Workers, executors and reservations of one rack.
#[derive(Debug, Clone, Default)]
pub struct Rack {
    workers: Vec<Worker>,
    /// Position of each worker in `workers`.
    worker_numbers: HashMap<Name, u32>,
    /// Free capacity of the workers without a quarantine, a hold or another restriction.
    unrestricted: CapacityIndex,
    /// All other workers; each one is checked in turn.
    restricted: BTreeSet<u32>,
    executors: BTreeMap<Name, ExecutorState>,
    reservations: HashMap<u64, Reservation>,
    last_reservation: u64,
}

impl Rack {
    /// Updates workers and executors from an inventory; running work keeps its capacity.
    pub fn set_inventory(&mut self, rack: &str, inventory: &Inventory) {
        let listed = inventory.racks.get(rack).map_or(&[][..], |rack| &rack.workers);
        for number in 0..self.workers.len() as u32 {
            self.update(number, |worker| worker.capacity = Resources::default());
        }
        for listed in listed {
            let number = self.find_or_add_worker(&listed.name);
            self.update(number, |worker| worker.capacity = listed.task_capacity);
        }
        self.set_executors(inventory);
    }

    /// Returns the position of a worker in `workers`, adding the worker if needed.
    fn find_or_add_worker(&mut self, name: &Name) -> u32 {
        if let Some(number) = self.worker_numbers.get(name) {
            return *number;
        }
        let number = self.workers.len() as u32;
        self.workers.push(Worker { name: name.clone(), ..Worker::default() });
        self.worker_numbers.insert(name.clone(), number);
        self.restricted.insert(number);
        number
    }

    /// Updates a worker and its entry in the capacity index.
    fn update<T>(&mut self, number: u32, update: impl FnOnce(&mut Worker) -> T) -> T {
        let worker = &mut self.workers[number as usize];
        let (was_unrestricted, before) = (worker.is_unrestricted(), worker.free());
        let result = update(worker);
        let (is_unrestricted, after) = (worker.is_unrestricted(), worker.free());
        if was_unrestricted == is_unrestricted && before == after {
            return result;
        }
        if was_unrestricted {
            self.unrestricted.remove(number, &before);
        } else {
            self.restricted.remove(&number);
        }
        if is_unrestricted {
            self.unrestricted.insert(number, &after);
        } else {
            self.restricted.insert(number);
        }
        result
    }

    /// Updates a worker by name; does nothing if it does not exist.
    fn update_named(&mut self, name: &str, update: impl FnOnce(&mut Worker)) {
        if let Some(number) = self.worker_numbers.get(name).copied() {
            self.update(number, update);
        }
    }

    fn set_executors(&mut self, inventory: &Inventory) {
        let mut executors = BTreeMap::new();
        for (service, listed) in &inventory.services {
            let entries = listed.executors.iter();
            for executor in entries.filter(|entry| self.worker_numbers.contains_key(&entry.worker))
            {
                let previous = self.executors.remove(&executor.name).unwrap_or_default();
                executors.insert(
                    executor.name.clone(),
                    ExecutorState::update_from(previous, service, executor),
                );
            }
        }
        // Executors that left the inventory stay until their requests are answered.
        for (name, mut state) in std::mem::take(&mut self.executors) {
            if state.used > 0 {
                state.slots = 0;
                executors.insert(name, state);
            }
        }
        self.executors = executors;
    }

    /// Names of all workers, including those that left the inventory.
    pub fn workers(&self) -> impl Iterator<Item = &Name> {
        self.workers.iter().map(|worker| &worker.name)
    }

    /// Name, capacity, used capacity, number of tasks and status of each worker.
    pub fn worker_statuses(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Name, Resources, Resources, usize, &'static str)> {
        let visible =
            self.workers.iter().filter(|worker| worker.is_listed() || worker.task_count > 0);
        visible.map(move |worker| {
            (&worker.name, worker.capacity, worker.used, worker.task_count, worker.status(now))
        })
    }

    /// Sets whether all tasks running on a worker are accounted for.
    pub fn set_reconciled(&mut self, worker: &str, is_reconciled: bool) {
        self.update_named(worker, |worker| worker.is_reconciled = is_reconciled);
    }

    /// Sets for each worker and executor whether it is leaving.
    pub fn set_leaving(&mut self, is_leaving: impl Fn(&str) -> bool) {
        for number in 0..self.workers.len() as u32 {
            self.update(number, |worker| worker.is_leaving = is_leaving(&worker.name));
        }
        for (name, state) in &mut self.executors {
            state.is_leaving = is_leaving(name) || is_leaving(&state.worker);
        }
    }

    /// Reserves capacity for up to `request.count` tasks, by best fit among unrestricted workers.
    ///
    /// Returns at least one placement, and fewer than requested if the capacity runs out.
    ///
    /// # Errors
    ///
    /// [`ReserveError`] if no worker can hold even one task.
    pub fn reserve(
        &mut self,
        request: &ReserveRequest<'_>,
        now: Instant,
        expires: Instant,
    ) -> Result<Vec<Placement>, ReserveError> {
        let mut placements = Vec::new();
        while placements.len() < request.count {
            let Some(worker) = self.best_fit(request, now) else {
                break;
            };
            placements.push(self.reserve_on(worker, request.size, now, expires));
        }
        if placements.is_empty() {
            Err(self.explain_refusal(&request.size))
        } else {
            Ok(placements)
        }
    }

    fn reserve_on(
        &mut self,
        number: u32,
        size: Resources,
        now: Instant,
        expires: Instant,
    ) -> Placement {
        self.update(number, |worker| {
            worker.allocate(&size);
            worker.health.record_dispatch(now);
            worker.urgent_only_until = None;
        });
        self.last_reservation += 1;
        let worker = self.workers[number as usize].name.clone();
        let reservation = Reservation { worker: worker.clone(), size, expires };
        self.reservations.insert(self.last_reservation, reservation);
        Placement { reservation: self.last_reservation, worker }
    }

    /// Finds the worker for the next placement of a request.
    fn best_fit(&self, request: &ReserveRequest<'_>, now: Instant) -> Option<u32> {
        let worker = |number: u32| &self.workers[number as usize];
        let is_allowed = |number| !request.avoid.contains(&worker(number).name);
        let first_choice = self.unrestricted.best_fit(&request.size, is_allowed);
        first_choice.or_else(|| {
            // Workers on trial or held for urgent work are used only if no other fits.
            let mut restricted = self.restricted.iter().copied();
            restricted.find(|number| {
                let worker = worker(*number);
                let is_urgent_only = worker.urgent_only_until.is_some() && !request.is_urgent;
                worker.accepts_work(now)
                    && !is_urgent_only
                    && request.size.fits_in(&worker.free())
                    && is_allowed(*number)
            })
        })
    }

    /// Holds a worker's free capacity for urgent work until a time.
    pub fn hold_for_urgent(&mut self, worker: &str, until: Instant) {
        self.update_named(worker, |worker| worker.urgent_only_until = Some(until));
    }

    /// Reason why no worker can hold `size` at the moment.
    fn explain_refusal(&self, size: &Resources) -> ReserveError {
        let listed = || self.workers.iter().filter(|worker| worker.is_listed());
        let mut exceeded = None;
        for worker in listed() {
            if size.fits_in(&worker.free()) {
                return ReserveError::Unavailable;
            }
            if size.fits_in(&worker.capacity) {
                exceeded = size.first_exceeded(&worker.free());
            }
        }
        if let Some(dimension) = exceeded {
            return ReserveError::Full(dimension);
        }
        let excess = listed().find_map(|worker| size.first_exceeded(&worker.capacity));
        ReserveError::Infeasible(excess.unwrap_or("workers"))
    }

    /// Looks up a reservation that is neither committed, released nor expired.
    pub fn reservation(&self, number: u64) -> Option<&Reservation> {
        self.reservations.get(&number)
    }

    /// Converts a reservation into a task, which keeps the capacity.
    pub fn commit(&mut self, number: u64) -> Option<Reservation> {
        self.reservations.remove(&number)
    }

    /// Cancels a reservation, if it exists, and frees its capacity.
    pub fn release(&mut self, number: u64) {
        if let Some(reservation) = self.reservations.remove(&number) {
            self.release_capacity(&reservation.worker, &reservation.size);
        }
    }

    /// Releases expired reservations and ends expired holds for urgent work.
    pub fn expire(&mut self, now: Instant) {
        let is_expired = |reservation: &Reservation| reservation.expires <= now;
        let expired = self.reservations.iter().filter(|(_, reservation)| is_expired(reservation));
        let expired: Vec<u64> = expired.map(|(number, _)| *number).collect();
        for number in expired {
            self.release(number);
        }
        let is_expired =
            |worker: &Worker| worker.urgent_only_until.is_some_and(|until| until <= now);
        let restricted = self.restricted.iter().copied();
        let expired_holds: Vec<u32> =
            restricted.filter(|number| is_expired(&self.workers[*number as usize])).collect();
        for number in expired_holds {
            self.update(number, |worker| worker.urgent_only_until = None);
        }
    }

    /// Accounts for a task that the worker reports as running.
    pub fn add_running_task(&mut self, worker: &Name, size: &Resources) {
        let number = self.find_or_add_worker(worker);
        self.update(number, |worker| worker.allocate(size));
    }

    /// Frees the capacity of a task or reservation.
    pub fn release_capacity(&mut self, worker: &str, size: &Resources) {
        self.update_named(worker, |worker| {
            worker.used = worker.used.minus(size);
            worker.task_count = worker.task_count.saturating_sub(1);
            worker.health.record_inconclusive();
        });
    }

    /// Free capacity of an unrestricted worker; `None` for any other.
    pub fn free_capacity(&self, worker: &str) -> Option<Resources> {
        let number = *self.worker_numbers.get(worker)?;
        let worker = &self.workers[number as usize];
        worker.is_unrestricted().then(|| worker.free())
    }

    /// Records in a worker's health whether a task succeeded.
    pub fn record_result(&mut self, worker: &str, is_ok: bool, now: Instant) {
        self.update_named(worker, |worker| {
            if is_ok {
                worker.health.record_success();
            } else {
                worker.health.record_failure(now);
            }
        });
    }

    /// Allocates a slot on the service's executor with the most free slots.
    ///
    /// # Errors
    ///
    /// [`ReserveError::NoSlot`] if no slot is free.
    pub fn allocate_slot(
        &mut self,
        service: &str,
        avoid: &[Name],
        now: Instant,
    ) -> Result<Name, ReserveError> {
        let candidates = self.executors.iter_mut().filter(|(name, state)| {
            &*state.service == service && state.accepts_work(now) && !avoid.contains(name)
        });
        let best = candidates.max_by_key(|(_, state)| state.slots - state.used);
        let Some((name, state)) = best else {
            return Err(ReserveError::NoSlot);
        };
        state.used += 1;
        state.health.record_dispatch(now);
        Ok(name.clone())
    }

    /// Frees a slot; `success` is `None` if the executor's health should not change.
    pub fn release_slot(&mut self, executor: &str, success: Option<bool>, now: Instant) {
        let Some(state) = self.executors.get_mut(executor) else {
            return;
        };
        state.used = state.used.saturating_sub(1);
        match success {
            Some(true) => state.health.record_success(),
            Some(false) => state.health.record_failure(now),
            None => state.health.record_inconclusive(),
        }
    }

    /// Number of slots in use, over all services.
    pub fn used_slots(&self) -> u32 {
        self.executors.values().map(|state| state.used).sum()
    }

    /// Number of free slots by service.
    pub fn free_slots(&self, now: Instant) -> BTreeMap<Name, u32> {
        let mut free = BTreeMap::new();
        for state in self.executors.values() {
            let available = if state.accepts_work(now) { state.slots - state.used } else { 0 };
            *free.entry(state.service.clone()).or_default() += available;
        }
        free
    }

    /// Largest free capacity of a worker that accepts work; CPU is compared first.
    pub fn largest_free_capacity(&self, now: Instant) -> Resources {
        let accepting = self.workers.iter().filter(|worker| worker.accepts_work(now));
        let free = accepting.map(Worker::free);
        free.max_by_key(|size| (size.cpu, size.memory, size.accelerators)).unwrap_or_default()
    }
}

impl Worker {
    fn allocate(&mut self, size: &Resources) {
        self.used = self.used.plus(size);
        self.task_count += 1;
    }

    fn free(&self) -> Resources {
        self.capacity.minus(&self.used)
    }

    fn is_listed(&self) -> bool {
        self.capacity != Resources::default()
    }

    /// Whether it accepts work now and later, so that the capacity index can hold it.
    fn is_unrestricted(&self) -> bool {
        let is_urgent_only = self.urgent_only_until.is_some();
        self.is_reconciled && !self.is_leaving && !is_urgent_only && self.health.is_unrestricted()
    }

    fn accepts_work(&self, now: Instant) -> bool {
        self.is_reconciled && !self.is_leaving && self.health.allows(now, self.task_count)
    }

    fn status(&self, now: Instant) -> &'static str {
        if !self.is_reconciled {
            "unknown"
        } else if self.is_leaving {
            "leaving"
        } else if self.health.is_quarantined(now) {
            "quarantined"
        } else {
            "open"
        }
    }
}

impl ExecutorState {
    fn update_from(previous: Self, service: &Name, executor: &Executor) -> Self {
        let (service, worker) = (service.clone(), executor.worker.clone());
        Self { service, worker, slots: executor.slots, ..previous }
    }

    fn accepts_work(&self, now: Instant) -> bool {
        self.used < self.slots && !self.is_leaving && self.health.allows(now, self.used as usize)
    }
}
