//! The room of one rack, as its single owner accounts for it.
//!
//! Reservations and tasks take room; a worker whose tasks are not known counts as full.
//! The owner is the only one to say yes, so racing requests cannot overfill a worker.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use common::Name;
use settings::inventory::{Executor, Inventory};
use settings::quantity::Size;

use crate::{Health, Index};

common::data! {
    /// Why there is no room.
    pub enum Refusal {
        /// No worker of the rack has enough free of this resource.
        Full(&'static str),
        /// Room is there, but on workers that are unknown, leaving, in quarantine or avoided.
        Withheld,
        /// No worker of the rack could ever hold it.
        Impossible(&'static str),
        /// No executor of the service has a free slot.
        NoSlot,
    }

    /// Room set aside on a worker.
    pub struct Place {
        /// The reservation's number.
        pub reservation: u64,
        /// The worker.
        pub worker: Name,
    }

    /// Room set aside, until it is used or expires.
    pub struct Reservation {
        /// The worker.
        pub worker: Name,
        /// How much.
        pub size: Size,
        /// When it ends unused.
        pub expires: Instant,
    }
}

#[derive(Debug, Clone, Default)]
struct Worker {
    name: Name,
    room: Size,
    used: Size,
    tasks: usize,
    is_known: bool,
    is_leaving: bool,
    held_until: Option<Instant>,
    health: Health,
}

#[derive(Debug, Clone, Default)]
struct Server {
    service: Name,
    worker: Name,
    slots: u32,
    used: u32,
    is_leaving: bool,
    health: Health,
}

/// What is asked of a rack.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The size of each task.
    pub size: Size,
    /// Most places wanted.
    pub count: usize,
    /// Workers on which the task failed before.
    pub avoid: &'a [Name],
    /// Whether it may use room that is held for urgent work.
    pub is_urgent: bool,
}

impl Demand<'_> {
    /// One place of a size, wherever it fits.
    pub fn one(size: Size) -> Self {
        Self { size, count: 1, avoid: &[], is_urgent: false }
    }
}

/// The room of one rack.
#[derive(Debug, Clone, Default)]
pub struct Rack {
    workers: Vec<Worker>,
    numbers: HashMap<Name, u32>,
    /// Workers in good standing; the others are looked at one by one.
    open: Index,
    guarded: BTreeSet<u32>,
    servers: BTreeMap<Name, Server>,
    reservations: HashMap<u64, Reservation>,
    next: u64,
}

impl Rack {
    /// Takes over the rack's part of an inventory; running work keeps its room.
    pub fn set_inventory(&mut self, rack: &str, inventory: &Inventory) {
        let listed = inventory.racks.get(rack).map_or(&[][..], |rack| &rack.workers);
        for number in 0..self.workers.len() as u32 {
            self.change(number, |worker| worker.room = Size::default());
        }
        for listed in listed {
            let number = self.number(&listed.name);
            self.change(number, |worker| worker.room = listed.room);
        }
        self.set_servers(inventory);
    }

    /// The number of a worker, which is added where it is not there.
    fn number(&mut self, name: &Name) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.workers.len() as u32;
        self.workers.push(Worker { name: name.clone(), ..Worker::default() });
        self.numbers.insert(name.clone(), number);
        self.guarded.insert(number);
        number
    }

    /// Changes a worker and keeps the index in step.
    fn change<T>(&mut self, number: u32, change: impl FnOnce(&mut Worker) -> T) -> T {
        let worker = &mut self.workers[number as usize];
        let (was_plain, before) = (worker.is_plain(), worker.free());
        let result = change(worker);
        let (is_plain, after) = (worker.is_plain(), worker.free());
        if was_plain == is_plain && before == after {
            return result;
        }
        if was_plain {
            self.open.remove(number, &before);
        } else {
            self.guarded.remove(&number);
        }
        if is_plain {
            self.open.insert(number, &after);
        } else {
            self.guarded.insert(number);
        }
        result
    }

    /// Changes a worker by name, where it is there.
    fn change_named(&mut self, name: &str, change: impl FnOnce(&mut Worker)) {
        if let Some(number) = self.numbers.get(name).copied() {
            self.change(number, change);
        }
    }

    fn set_servers(&mut self, inventory: &Inventory) {
        let mut servers = BTreeMap::new();
        for (service, listed) in &inventory.services {
            let here = listed.executors.iter();
            for executor in here.filter(|one| self.numbers.contains_key(&one.worker)) {
                let old = self.servers.remove(&executor.name).unwrap_or_default();
                servers.insert(executor.name.clone(), Server::renewed(old, service, executor));
            }
        }
        // Servers that are gone stay until their requests are answered.
        for (name, mut server) in std::mem::take(&mut self.servers) {
            if server.used > 0 {
                server.slots = 0;
                servers.insert(name, server);
            }
        }
        self.servers = servers;
    }

    /// Names of all workers.
    pub fn workers(&self) -> impl Iterator<Item = &Name> {
        self.workers.iter().map(|worker| &worker.name)
    }

    /// Room, use, number of tasks and a word for the standing of each worker.
    pub fn view(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Name, Size, Size, usize, &'static str)> {
        let shown = self.workers.iter().filter(|worker| worker.is_listed() || worker.tasks > 0);
        shown.map(move |worker| {
            (&worker.name, worker.room, worker.used, worker.tasks, worker.standing(now))
        })
    }

    /// Marks a worker whose tasks are all accounted for, or one that is silent.
    pub fn set_known(&mut self, worker: &str, is_known: bool) {
        self.change_named(worker, |worker| worker.is_known = is_known);
    }

    /// Marks workers and executors that are leaving; all others are not.
    pub fn set_leaving(&mut self, is_leaving: impl Fn(&str) -> bool) {
        for number in 0..self.workers.len() as u32 {
            self.change(number, |worker| worker.is_leaving = is_leaving(&worker.name));
        }
        for (name, server) in &mut self.servers {
            server.is_leaving = is_leaving(name) || is_leaving(&server.worker);
        }
    }

    /// Sets room aside for up to the wanted number of tasks, the tightest fit first.
    ///
    /// Gives fewer places where the rack has room for fewer, but at least one.
    ///
    /// # Errors
    ///
    /// [`Refusal`] where there is room for none.
    pub fn reserve(
        &mut self,
        demand: &Demand<'_>,
        now: Instant,
        expires: Instant,
    ) -> Result<Vec<Place>, Refusal> {
        let mut places = Vec::new();
        while places.len() < demand.count {
            let Some(worker) = self.best_fit(demand, now) else {
                break;
            };
            places.push(self.set_aside(worker, demand.size, now, expires));
        }
        if places.is_empty() { Err(self.refusal(&demand.size)) } else { Ok(places) }
    }

    fn set_aside(&mut self, number: u32, size: Size, now: Instant, expires: Instant) -> Place {
        self.change(number, |worker| {
            worker.take(&size);
            worker.health.sent(now);
            worker.held_until = None;
        });
        self.next += 1;
        let worker = self.workers[number as usize].name.clone();
        let reservation = Reservation { worker: worker.clone(), size, expires };
        self.reservations.insert(self.next, reservation);
        Place { reservation: self.next, worker }
    }

    fn best_fit(&self, demand: &Demand<'_>, now: Instant) -> Option<u32> {
        let worker = |number: u32| &self.workers[number as usize];
        let is_allowed = |number| !demand.avoid.contains(&worker(number).name);
        let found = self.open.tightest(&demand.size, is_allowed);
        found.or_else(|| {
            // Workers on trial or held for urgent work are the last choice.
            let mut guarded = self.guarded.iter().copied();
            guarded.find(|number| {
                let worker = worker(*number);
                let is_held = worker.held_until.is_some() && !demand.is_urgent;
                worker.is_open(now)
                    && !is_held
                    && demand.size.fits(&worker.free())
                    && is_allowed(*number)
            })
        })
    }

    /// Keeps a worker's free room for urgent work until a time.
    pub fn hold(&mut self, worker: &str, until: Instant) {
        self.change_named(worker, |worker| worker.held_until = Some(until));
    }

    fn refusal(&self, size: &Size) -> Refusal {
        let listed = || self.workers.iter().filter(|worker| worker.is_listed());
        let mut nearest = None;
        for worker in listed() {
            if size.fits(&worker.free()) {
                return Refusal::Withheld;
            }
            if size.fits(&worker.room) {
                nearest = size.excess(&worker.free());
            }
        }
        if let Some(dimension) = nearest {
            return Refusal::Full(dimension);
        }
        let excess = listed().find_map(|worker| size.excess(&worker.room));
        Refusal::Impossible(excess.unwrap_or("workers"))
    }

    /// A reservation that still stands.
    pub fn reservation(&self, number: u64) -> Option<&Reservation> {
        self.reservations.get(&number)
    }

    /// Turns a reservation into a task that keeps its room.
    pub fn commit(&mut self, number: u64) -> Option<Reservation> {
        self.reservations.remove(&number)
    }

    /// Gives a reservation's room back.
    pub fn release(&mut self, number: u64) {
        if let Some(reservation) = self.reservations.remove(&number) {
            self.give_back(&reservation.worker, &reservation.size);
        }
    }

    /// Ends reservations whose time has come.
    pub fn expire(&mut self, now: Instant) {
        let is_over = |reservation: &Reservation| reservation.expires <= now;
        let over = self.reservations.iter().filter(|(_, one)| is_over(one));
        let over: Vec<u64> = over.map(|(number, _)| *number).collect();
        for number in over {
            self.release(number);
        }
        let is_over = |worker: &Worker| worker.held_until.is_some_and(|until| until <= now);
        let guarded = self.guarded.iter().copied();
        let ended: Vec<u32> =
            guarded.filter(|number| is_over(&self.workers[*number as usize])).collect();
        for number in ended {
            self.change(number, |worker| worker.held_until = None);
        }
    }

    /// Accounts for a task that was found running.
    pub fn adopt(&mut self, worker: &Name, size: &Size) {
        let number = self.number(worker);
        self.change(number, |worker| worker.take(size));
    }

    /// Gives a task's or reservation's room back.
    pub fn give_back(&mut self, worker: &str, size: &Size) {
        self.change_named(worker, |worker| {
            worker.used = worker.used.minus(size);
            worker.tasks = worker.tasks.saturating_sub(1);
            worker.health.withdrawn();
        });
    }

    /// The free room of a worker that may take work; none where it may not.
    pub fn free_of(&self, worker: &str) -> Option<Size> {
        let number = *self.numbers.get(worker)?;
        let worker = &self.workers[number as usize];
        worker.is_plain().then(|| worker.free())
    }

    /// Notes how a task on a worker ended.
    pub fn note(&mut self, worker: &str, is_ok: bool, now: Instant) {
        self.change_named(worker, |worker| {
            if is_ok {
                worker.health.succeeded();
            } else {
                worker.health.failed(now);
            }
        });
    }

    /// Takes a slot on the service's executor with the most free slots.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoSlot`] where none is free.
    pub fn take_slot(
        &mut self,
        service: &str,
        avoid: &[Name],
        now: Instant,
    ) -> Result<Name, Refusal> {
        let open = self.servers.iter_mut().filter(|(name, server)| {
            &*server.service == service && server.is_open(now) && !avoid.contains(name)
        });
        let best = open.max_by_key(|(_, server)| server.slots - server.used);
        let Some((name, server)) = best else {
            return Err(Refusal::NoSlot);
        };
        server.used += 1;
        server.health.sent(now);
        Ok(name.clone())
    }

    /// Gives a slot back; `verdict` says whether the executor did its part.
    pub fn free_slot(&mut self, executor: &str, verdict: Option<bool>, now: Instant) {
        let Some(server) = self.servers.get_mut(executor) else {
            return;
        };
        server.used = server.used.saturating_sub(1);
        match verdict {
            Some(true) => server.health.succeeded(),
            Some(false) => server.health.failed(now),
            None => server.health.withdrawn(),
        }
    }

    /// Slots in use, over all services.
    pub fn slots_used(&self) -> u32 {
        self.servers.values().map(|server| server.used).sum()
    }

    /// Free slots of each service.
    pub fn free_slots(&self, now: Instant) -> BTreeMap<Name, u32> {
        let mut free = BTreeMap::new();
        for server in self.servers.values() {
            let here = if server.is_open(now) { server.slots - server.used } else { 0 };
            *free.entry(server.service.clone()).or_default() += here;
        }
        free
    }

    /// The free room of the open worker with the most, by processors.
    pub fn largest_free(&self, now: Instant) -> Size {
        let open = self.workers.iter().filter(|worker| worker.is_open(now));
        let free = open.map(Worker::free);
        free.max_by_key(|size| (size.cpu, size.memory, size.accelerators)).unwrap_or_default()
    }
}

impl Worker {
    fn take(&mut self, size: &Size) {
        self.used = self.used.plus(size);
        self.tasks += 1;
    }

    fn free(&self) -> Size {
        self.room.minus(&self.used)
    }

    fn is_listed(&self) -> bool {
        self.room != Size::default()
    }

    /// Whether it may take work whatever the time, so that the index can hold it.
    fn is_plain(&self) -> bool {
        let is_held = self.held_until.is_some();
        self.is_known && !self.is_leaving && !is_held && self.health.is_plain()
    }

    fn is_open(&self, now: Instant) -> bool {
        self.is_known && !self.is_leaving && self.health.allows(now, self.tasks)
    }

    fn standing(&self, now: Instant) -> &'static str {
        if !self.is_known {
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

impl Server {
    fn renewed(old: Self, service: &Name, executor: &Executor) -> Self {
        let (service, worker) = (service.clone(), executor.worker.clone());
        Self { service, worker, slots: executor.slots, ..old }
    }

    fn is_open(&self, now: Instant) -> bool {
        self.used < self.slots && !self.is_leaving && self.health.allows(now, self.used as usize)
    }
}
