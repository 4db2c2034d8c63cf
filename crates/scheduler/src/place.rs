//! Placement: which waiting tasks go to which workers, and what advice that needs.
//!
//! A pass walks the open jobs by rank over a copy of the workers' room. What a job of
//! higher rank is about to use (a gang that collects room, a step that waits for advice)
//! is taken off the copy, so that jobs behind it do not take it away.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use common::Name;

use crate::job::{Job, TaskKey};
use crate::record::{Need, Step};
use crate::rules::{Hint, Queue};
use crate::scheduler::{Ask, Scheduler, Start};
use crate::worker::{Assignment, Order};

/// Gangs that may hold room back while they collect it.
const COLLECTING_GANGS: usize = 4;

/// Workers named in an advice call at the most, so that its answer is worth the wait.
const MAX_ASKED: usize = 30;

/// Workers named at the least in the first call for a gang, as the base cost dominates.
const GANG_ASKED: usize = 24;

/// Places on allowed workers, busy ones too, that a gang knows before it only waits for room,
/// as a multiple of its size.
const GANG_CHOICE: u32 = 2;

/// How long a gang with so much choice waits for room before it asks about further workers,
/// as those that it knows may be busy for long.
const CHOICE_PATIENCE: Duration = Duration::from_millis(1500);

/// Workers asked about beyond the expected need.
const ASK_SURPLUS: f64 = 1.4;

/// Steps looked at in a pass; those of lower rank wait for a later one.
const STEPS_A_PASS: usize = 150;

/// Smallest free room, in thousandths of a core, worth looking at.
const LEAST_CPU: u32 = 50;

/// A worker's room during a pass.
#[derive(Debug)]
struct Slot {
    id: Name,
    room: Need,
}

/// One pass over the open jobs.
struct Pass<'a> {
    scheduler: &'a mut Scheduler,
    slots: Vec<Slot>,
    now: Duration,
    /// When a start that is decided now reaches its worker.
    lands: Duration,
    collecting: usize,
    /// Steps looked at so far.
    seen: usize,
    /// The most free processors and the most free memory of any slot.
    largest: Need,
}

/// What a step still needs in a pass.
struct Wanted<'a> {
    key: (&'a Name, u32),
    spec: &'a Step,
    queue: &'a Queue,
    waiting: Vec<u32>,
}

impl Scheduler {
    /// Places what can be placed and asks for the advice that is missing.
    ///
    /// `write_delay` is how long a start waits for its job's row.
    pub fn plan(&mut self, now: Duration, write_delay: Duration) {
        let usable = self.pool.iter().filter(|worker| worker.is_usable(now));
        let slots = usable.map(|worker| Slot { id: worker.report.id.clone(), room: worker.free() });
        let slots: Vec<_> = slots.filter(|slot| slot.room.cpu >= LEAST_CPU).collect();
        if slots.is_empty() || self.rules.is_none() {
            return;
        }
        let ranked: Vec<Name> = self.open.iter().map(|(_, _, id)| id.clone()).collect();
        let lands = now + write_delay;
        let largest = Need::default();
        let mut pass = Pass { scheduler: self, slots, now, lands, collecting: 0, seen: 0, largest };
        pass.measure();
        for id in ranked {
            if pass.seen >= STEPS_A_PASS {
                return;
            }
            pass.job(&id);
        }
    }
}

impl Pass<'_> {
    fn job(&mut self, id: &Name) {
        let Some(job) = self.scheduler.jobs.get(id) else { return };
        let ready: Vec<usize> = job.ready().collect();
        if ready.is_empty() {
            return;
        }
        let Some(queue) = self.scheduler.queue(&job.queue).cloned() else { return };
        for number in ready {
            self.step(id, number, &queue);
        }
    }

    /// Notes the most room that a single task could get.
    fn measure(&mut self) {
        let rooms = self.slots.iter().map(|slot| slot.room);
        self.largest = rooms.fold(Need::default(), |most, room| Need {
            cpu: most.cpu.max(room.cpu),
            mem: most.mem.max(room.mem),
            gpus: most.gpus.max(room.gpus),
        });
    }

    fn step(&mut self, id: &Name, number: usize, queue: &Queue) {
        let Some(job) = self.scheduler.jobs.get(id) else { return };
        let spec = &job.submission.steps[number];
        if !spec.is_gang && !spec.need.fits(&self.largest) {
            return;
        }
        self.seen += 1;
        let spec = spec.clone();
        let state = &job.steps[number];
        if spec.is_gang && !state.is_clear() {
            return;
        }
        let waiting = state.tasks.iter().enumerate().filter(|(_, task)| task.is_waiting());
        let waiting = waiting.map(|(index, _)| index as u32).collect();
        let wanted = Wanted { key: (id, number as u32), spec: &spec, queue, waiting };
        if spec.is_gang { self.gang(wanted) } else { self.tasks(wanted) }
    }

    /// Places tasks one by one, where each fits best.
    fn tasks(&mut self, mut wanted: Wanted<'_>) {
        let mut unplaced = Vec::new();
        for index in std::mem::take(&mut wanted.waiting) {
            match self.best_slot(&wanted) {
                Some(slot) => self.place(&wanted, &[(index, slot)]),
                None => unplaced.push(index),
            }
        }
        wanted.waiting = unplaced;
        if !wanted.waiting.is_empty() && wanted.queue.hint.is_some() {
            self.seek_advice(&wanted);
        }
    }

    /// Places all tasks of a gang, or none.
    fn gang(&mut self, wanted: Wanted<'_>) {
        if let Some(chosen) = self.choose_all(&wanted) {
            self.place(&wanted, &chosen);
            return;
        }
        if wanted.queue.hint.is_some() {
            self.seek_advice(&wanted);
        }
        if self.collecting < COLLECTING_GANGS {
            self.collecting += 1;
            self.hold_back(&wanted);
        }
    }

    /// Whether a slot's worker may run a step; `with_ticket` asks for a valid ticket too.
    fn may_run(&self, wanted: &Wanted<'_>, slot: usize, with_ticket: bool) -> bool {
        if !self.is_candidate(wanted, slot) {
            return false;
        }
        if wanted.queue.hint.is_none() {
            return true;
        }
        let id = &self.slots[slot].id;
        let Some(job) = self.scheduler.jobs.get(wanted.key.0) else { return false };
        let step = &job.steps[wanted.key.1 as usize];
        if with_ticket { step.ticket(id, self.lands).is_some() } else { step.is_allowed(id) }
    }

    /// Tasks of a step that its spread bound still admits on a worker.
    fn spread_left(&self, wanted: &Wanted<'_>, slot: usize) -> u32 {
        if wanted.spec.spread == 0 {
            return u32::MAX;
        }
        let held = self.scheduler.pool.get(&self.slots[slot].id).map_or(0, |worker| {
            let same = |key: &&TaskKey| key.job == *wanted.key.0 && key.step == wanted.key.1;
            worker.assigned.keys().filter(same).count() as u32
        });
        wanted.spec.spread.saturating_sub(held)
    }

    /// How many tasks of a step a slot takes.
    fn takes(&self, wanted: &Wanted<'_>, slot: usize) -> u32 {
        wanted.spec.need.times_in(&self.slots[slot].room).min(self.spread_left(wanted, slot))
    }

    /// The slot with the least room that takes a task, near its data if possible.
    fn best_slot(&self, wanted: &Wanted<'_>) -> Option<usize> {
        let fitting = (0..self.slots.len()).filter(|slot| {
            wanted.spec.need.fits(&self.slots[*slot].room)
                && self.may_run(wanted, *slot, true)
                && self.spread_left(wanted, *slot) > 0
        });
        fitting.min_by_key(|slot| (!self.is_near(wanted.spec, *slot), self.slots[*slot].room.cpu))
    }

    fn is_near(&self, spec: &Step, slot: usize) -> bool {
        let worker = self.scheduler.pool.get(&self.slots[slot].id);
        spec.affinity.is_empty() || worker.is_some_and(|worker| worker.has_label(&spec.affinity))
    }

    /// Slots for all waiting tasks of a gang; none where they do not fit together.
    fn choose_all(&self, wanted: &Wanted<'_>) -> Option<Vec<(u32, usize)>> {
        let mut fitting: Vec<usize> =
            (0..self.slots.len()).filter(|slot| self.may_run(wanted, *slot, true)).collect();
        fitting.sort_by_key(|slot| (!self.is_near(wanted.spec, *slot), self.slots[*slot].room.cpu));
        if wanted.spec.same_rack
            && let Some(chosen) = self.choose_in_rack(wanted, &fitting)
        {
            return Some(chosen);
        }
        self.choose_among(wanted, &fitting)
    }

    fn choose_in_rack(&self, wanted: &Wanted<'_>, fitting: &[usize]) -> Option<Vec<(u32, usize)>> {
        let mut racks: HashMap<&Name, Vec<usize>> = HashMap::new();
        for slot in fitting {
            let worker = self.scheduler.pool.get(&self.slots[*slot].id)?;
            if let Some(rack) = worker.report.labels.last() {
                racks.entry(rack).or_default().push(*slot);
            }
        }
        racks.values().find_map(|slots| self.choose_among(wanted, slots))
    }

    fn choose_among(&self, wanted: &Wanted<'_>, fitting: &[usize]) -> Option<Vec<(u32, usize)>> {
        let mut left = wanted.waiting.iter();
        let mut chosen = Vec::with_capacity(wanted.waiting.len());
        for slot in fitting {
            for _ in 0..self.takes(wanted, *slot) {
                let Some(index) = left.next() else { return Some(chosen) };
                chosen.push((*index, *slot));
            }
        }
        left.next().is_none().then_some(chosen)
    }

    /// Assigns tasks to slots; the starts follow once the job's row is durable.
    fn place(&mut self, wanted: &Wanted<'_>, chosen: &[(u32, usize)]) {
        let (id, number) = wanted.key;
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return };
        let step = &mut job.steps[number as usize];
        let gang_run = step.tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1;
        for (index, slot) in chosen {
            let slot = &mut self.slots[*slot];
            let task = &mut step.tasks[*index as usize];
            task.run = if wanted.spec.is_gang { gang_run } else { task.run + 1 };
            task.worker = Some(slot.id.clone());
            slot.room = slot.room.less(&wanted.spec.need);
            let key = TaskKey { job: id.clone(), step: number, index: *index };
            let assignment = Assignment {
                run: task.run,
                need: wanted.spec.need,
                order: Order::Writing,
                since: self.now,
                is_undecided: false,
            };
            if let Some(worker) = self.scheduler.pool.get_mut(&slot.id) {
                worker.assign(key.clone(), assignment);
            }
            let start = Start { key, run: task.run, worker: slot.id.clone() };
            self.scheduler.starts.push(start);
        }
        self.scheduler.dirty.insert(id.clone());
        self.measure();
    }

    /// Keeps room of the slots that may run a gang for it.
    fn hold_back(&mut self, wanted: &Wanted<'_>) {
        let mut left = wanted.waiting.len() as u32;
        for slot in 0..self.slots.len() {
            if left == 0 {
                return;
            }
            if self.may_run(wanted, slot, false) {
                let taken = self.takes(wanted, slot).min(left);
                self.slots[slot].room = self.slots[slot].room.less(&wanted.spec.need.times(taken));
                left -= taken;
            }
        }
    }

    /// Asks for the tickets that the waiting tasks of a step lack.
    fn seek_advice(&mut self, wanted: &Wanted<'_>) {
        let Some(hint) = &wanted.queue.hint else { return };
        let Some(job) = self.scheduler.jobs.get(wanted.key.0) else { return };
        let step = &job.steps[wanted.key.1 as usize];
        let workers = match &step.asking {
            Some(asked) => asked.clone(),
            None if step.ask_after > self.now => return,
            None => self.ask(wanted, hint),
        };
        if !wanted.spec.is_gang {
            self.expect(wanted, &workers);
        }
    }

    /// Takes the room off that a step will use once its advice has come.
    fn expect(&mut self, wanted: &Wanted<'_>, workers: &[Name]) {
        let mut left = wanted.waiting.len() as u32;
        for worker in workers {
            let Some(slot) = self.slots.iter().position(|slot| slot.id == *worker) else {
                continue;
            };
            let taken = self.takes(wanted, slot).min(left);
            self.slots[slot].room = self.slots[slot].room.less(&wanted.spec.need.times(taken));
            left -= taken;
            if left == 0 {
                return;
            }
        }
    }

    fn ask(&mut self, wanted: &Wanted<'_>, hint: &Hint) -> Vec<Name> {
        let (id, number) = wanted.key;
        let workers = self.whom_to_ask(wanted);
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return Vec::new() };
        if workers.is_empty() {
            return workers;
        }
        job.steps[number as usize].asking = Some(workers.clone());
        let cost = hint.base + hint.each * workers.len() as u32;
        let ask = Ask { job: id.clone(), step: number, workers: workers.clone(), cost };
        self.scheduler.asks.push(ask);
        workers
    }

    /// Workers known to be allowed first, then unknown ones by room.
    fn whom_to_ask(&self, wanted: &Wanted<'_>) -> Vec<Name> {
        let Some(job) = self.scheduler.jobs.get(wanted.key.0) else { return Vec::new() };
        let step = &job.steps[wanted.key.1 as usize];
        let count = wanted.waiting.len() as u32;
        let (mut known, mut room) = (Vec::new(), 0);
        let mut unknown = Vec::new();
        for slot in 0..self.slots.len() {
            let takes = self.takes(wanted, slot);
            let id = &self.slots[slot].id;
            if self.may_run(wanted, slot, false) {
                if takes > 0 && (room < count) {
                    room += takes;
                    known.push(id.clone());
                }
            } else if (takes > 0 || wanted.spec.is_gang)
                && !step.fit.contains_key(id)
                && self.is_candidate(wanted, slot)
            {
                // A gang collects room over time, so workers that are full now count too.
                unknown.push((takes, id.clone()));
            }
        }
        if room >= count {
            return known;
        }
        if wanted.spec.is_gang && self.has_choice(wanted) {
            if self.now < step.answered + CHOICE_PATIENCE {
                return Vec::new();
            }
            unknown.retain(|(takes, _)| *takes > 0);
        }
        if unknown.is_empty() {
            return if wanted.spec.is_gang { Vec::new() } else { known };
        }
        unknown.sort_by_key(|(takes, _)| Reverse(*takes));
        let left = f64::from(count - room);
        let each = f64::from(unknown[0].0.clamp(1, count));
        let share = self.scheduler.estimate.fit_share(&wanted.queue.name);
        let mut asked = (left / each / share * ASK_SURPLUS).ceil() as usize + 1;
        if wanted.spec.is_gang {
            asked = asked.max(GANG_ASKED.min(unknown.len()));
        }
        let most = MAX_ASKED.saturating_sub(known.len()).max(1);
        known.extend(unknown.into_iter().take(asked.min(most)).map(|(_, id)| id));
        known
    }

    /// Whether a gang knows enough workers that it may run on, and only lacks room.
    fn has_choice(&self, wanted: &Wanted<'_>) -> bool {
        let Some(job) = self.scheduler.jobs.get(wanted.key.0) else { return false };
        let step = &job.steps[wanted.key.1 as usize];
        let count = wanted.waiting.len() as u32;
        let mut places = 0;
        for id in step.fit.keys().filter(|id| step.is_allowed(id)) {
            let Some(worker) = self.scheduler.pool.get(id) else { continue };
            places += wanted.spec.need.times_in(&worker.report.capacity).min(count);
        }
        places >= count * GANG_CHOICE
    }

    /// Whether a slot's worker is of the right service and has the label that the step asks for.
    fn is_candidate(&self, wanted: &Wanted<'_>, slot: usize) -> bool {
        let worker = self.scheduler.pool.get(&self.slots[slot].id);
        worker.is_some_and(|worker| worker.suits(wanted.queue, wanted.spec))
    }
}

impl Job {
    /// The ticket that a start must carry; empty where the queue needs none.
    pub fn ticket(&self, step: u32, worker: &str, now: Duration) -> Option<Name> {
        self.steps.get(step as usize)?.ticket(worker, now).cloned()
    }
}
