//! The keeper of one rack: the one place that commits its room.
//!
//! A keeper grants reservations, starts tasks under leases, renews them, and tells each
//! request's home how its attempts end, until the home has made the outcome durable.
//! A start is taken only with a reservation of the same epoch, so one from before a
//! takeover finds nothing; the worker's fence refuses one that an earlier keeper sends.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use common::{Kind, Name};
use journal::event::Key;
use platform::Error;
use platform::workers::{Renew, Run, Start, State, Stop, Task};
use policy::rack::{Demand, Refusal};
use settings::Spec;
use settings::quantity::Size;
use wire::{Body, Fate, Span};

use super::act::{Act, Waiter};
use super::call::Purpose;
use super::claims::Claim;
use super::home::{from_wire, span, to_wire};
use super::membership::MARGIN;
use super::shared::Shared;

/// How long a reservation stands unused.
const RESERVATION_LIFE: Duration = Duration::from_secs(5);

/// Between reports of an outcome that is not acknowledged.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// How long a refused attempt is remembered, against a start that comes late.
const REFUSED_LIFE: Duration = Duration::from_mins(10);

/// How long an attempt with a lost answer is kept on its worker after it ended.
const FORGET_PAUSE: Duration = Duration::from_mins(1);

/// Longest time between two digests of a rack that does not change.
const RETELL_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of a digest that has not been told yet.
const DIGEST_BYTES_GUESS: usize = 80;

/// How long room that was made is kept for urgent work.
const HOLD: Duration = Duration::from_secs(3);

/// Between two rounds of stopping tasks for urgent work.
const YIELD_INTERVAL: Duration = Duration::from_millis(500);

/// Tries of a start whose answers are lost, before the worker's list decides.
const START_TRIES: u32 = 5;

/// What the keeper wants of a worker.
#[derive(Debug)]
pub enum Order {
    /// Start a task.
    Start(Name, Start),
    /// Stop a task.
    Stop(Name, Stop),
    /// Renew all leases.
    Renew(Name, Renew),
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    /// The start is under way.
    Starting { start: Box<Start>, tries: u32, retry_at: Option<Instant> },
    /// It runs, since a time.
    Running { since: Instant },
    /// It ended; the home is told until it acknowledges.
    Ended { fate: Fate, result: String },
}

common::key! {
    /// Whether a task gives its room to urgent work.
    enum Yielding {
        /// It does not.
        Never,
        /// It may be stopped at a checkpoint.
        Possible,
        /// It was stopped for that.
        Done,
    }
}

type Candidate = policy::yielding::Candidate<Run>;

/// One attempt on one of the rack's workers.
#[derive(Debug, Clone)]
struct Held {
    worker: Name,
    size: Size,
    phase: Phase,
    /// Whether any start's answer was lost.
    was_lost: bool,
    /// Whether the home has confirmed an attempt that was found running.
    is_verified: bool,
    report_at: Instant,
    spans: Vec<Span>,
    started_us: u64,
    cpu_ms: u64,
    yielding: Yielding,
}

/// Where the renewals of one worker stand.
#[derive(Debug, Clone)]
struct Line {
    next: Instant,
    is_asked: bool,
    /// When the renewal that is on its way was sent.
    sent_at: Instant,
    last_ok: Option<Instant>,
    /// When the last renewal that may have extended leases came to its end.
    extended_until: Instant,
    forget: Vec<(Run, Instant)>,
    is_silent: bool,
}

/// The keeper of one rack.
#[derive(Debug)]
pub struct Keeper {
    /// The rack.
    pub name: Name,
    claim: Claim,
    claimed_at: Instant,
    /// The rack's room.
    pub rack: policy::Rack,
    runs: BTreeMap<Run, Held>,
    lines: HashMap<Name, Line>,
    /// The lowest epoch of each partition whose starts are taken.
    fences: HashMap<u32, u64>,
    refused: HashMap<Run, Instant>,
    /// Whether it grants nothing new because it is about to be handed over.
    pub is_closing: bool,
    sequence: u64,
    yielded_at: Option<Instant>,
    told: Option<wire::Digest>,
    told_at: Instant,
    acts: Vec<Act>,
    orders: Vec<Order>,
}

impl Keeper {
    /// A keeper that knows none of its workers yet; all count as full.
    pub fn new(name: Name, claim: Claim, shared: &Shared) -> Self {
        let mut keeper = Self {
            name,
            claim,
            claimed_at: shared.now,
            rack: policy::Rack::default(),
            runs: BTreeMap::new(),
            lines: HashMap::new(),
            fences: HashMap::new(),
            refused: HashMap::new(),
            is_closing: false,
            sequence: 0,
            yielded_at: None,
            told: None,
            told_at: shared.now,
            acts: Vec::new(),
            orders: Vec::new(),
        };
        keeper.set_inventory(shared);
        keeper
    }

    /// Takes over the inventory in force.
    pub fn set_inventory(&mut self, shared: &Shared) {
        self.rack.set_inventory(&self.name, &shared.versions.inventory);
        let workers: Vec<Name> = self.rack.workers().cloned().collect();
        for worker in workers {
            self.lines.entry(worker).or_insert_with(|| Line::new(shared.now));
        }
    }

    /// The claim under which the keeper acts.
    pub fn claim(&self) -> Claim {
        self.claim
    }

    /// What the keeper wants done.
    pub fn take_acts(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.acts)
    }

    /// What the keeper wants of its workers.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Whether no start is under way and no slot is in use.
    pub fn is_calm(&self) -> bool {
        let is_starting = |held: &Held| matches!(held.phase, Phase::Starting { .. });
        !self.runs.values().any(is_starting) && self.rack.slots_used() == 0
    }

    /// Attempts that take room.
    pub fn running(&self) -> usize {
        self.runs.values().filter(|held| !held.is_ended()).count()
    }

    // Room.

    /// Sets room aside.
    pub fn reserve(&mut self, shared: &Shared, reserve: &wire::Reserve) -> wire::Grant {
        if self.is_closing {
            return self.refuse(Kind::NoOwner, "the rack moves to another daemon");
        }
        let fence = self.fences.get(&reserve.partition).copied().unwrap_or(0);
        if reserve.partition_epoch < fence {
            return self.refuse(Kind::NoOwner, "the partition has a newer owner");
        }
        let size =
            Size { cpu: reserve.cpu, memory: reserve.memory, accelerators: reserve.accelerators };
        let avoid: Vec<Name> = reserve.avoid.iter().map(|name| Name::new(name)).collect();
        let expires = shared.now + RESERVATION_LIFE;
        let demand = Demand {
            size,
            count: reserve.count.max(1) as usize,
            avoid: &avoid,
            is_urgent: reserve.is_urgent,
        };
        match self.rack.reserve(&demand, shared.now, expires) {
            Ok(places) => wire::Grant {
                rack_epoch: self.claim.epoch,
                places: places.into_iter().map(to_place).collect(),
                digest: Some(self.digest(shared)),
                ..Default::default()
            },
            Err(refusal) => {
                if reserve.is_urgent && matches!(refusal, Refusal::Full(_)) {
                    self.make_room(shared, &size);
                }
                let mut grant = self.refuse(Kind::Overloaded, &describe(&refusal));
                grant.digest = Some(self.digest(shared));
                grant
            }
        }
    }

    /// Stops tasks that may yield, on the worker where that loses the least work.
    fn make_room(&mut self, shared: &Shared, size: &Size) {
        if self.yielded_at.is_some_and(|at| shared.now < at + YIELD_INTERVAL) {
            return;
        }
        let candidates: Vec<Candidate> = self.runs.iter().filter_map(candidate).collect();
        let victims = policy::yielding::victims(&self.rack, &candidates, size);
        if victims.is_empty() {
            return;
        }
        self.yielded_at = Some(shared.now);
        for run in victims {
            if let Some(held) = self.runs.get_mut(&run) {
                held.yielding = Yielding::Done;
                self.rack.hold(&held.worker, shared.now + HOLD);
                let order = Stop { run, fence: self.claim.epoch, checkpoint: true };
                self.orders.push(Order::Stop(held.worker.clone(), order));
            }
        }
    }

    /// Looks at a worker soon, after an order that changed its tasks.
    pub fn look_soon(&mut self, worker: &str, now: Instant) {
        if let Some(line) = self.lines.get_mut(worker) {
            line.next = now;
        }
    }

    fn refuse(&self, kind: Kind, text: &str) -> wire::Grant {
        wire::Grant {
            code: kind.code(),
            text: text.to_owned(),
            rack_epoch: self.claim.epoch,
            ..Default::default()
        }
    }

    /// Gives reservations back.
    pub fn release(&mut self, reservations: &[u64]) {
        for number in reservations {
            self.rack.release(*number);
        }
    }

    fn digest(&mut self, shared: &Shared) -> wire::Digest {
        self.sequence += 1;
        super::digests::digest(&self.name, self.claim.epoch, self.sequence, &self.rack, shared.now)
    }

    /// A digest, where it differs from the last one or that one is old.
    ///
    /// Homes take what they send off the digest, so even an unchanged one must be told
    /// again for their figures to recover.
    pub fn news(&mut self, shared: &Shared) -> Option<wire::Digest> {
        let mut digest = self.digest(shared);
        if self.is_closing {
            digest =
                wire::Digest { cpu: 0, memory: 0, accelerators: 0, slots: Vec::new(), ..digest };
        }
        let is_same = self.told.as_ref().is_some_and(|told| {
            wire::Digest { sequence: told.sequence, ..digest.clone() } == *told
        });
        if is_same && shared.now < self.told_at + RETELL_INTERVAL {
            return None;
        }
        self.told_at = shared.now;
        self.told = Some(digest.clone());
        Some(digest)
    }

    /// Bytes of the digest last told, or a guess before the first.
    pub fn digest_bytes(&self) -> usize {
        use wire::Message;
        self.told.as_ref().map_or(DIGEST_BYTES_GUESS, Message::encoded_len)
    }

    /// The digest last told, for a peer that has just connected.
    pub fn told(&self) -> Option<wire::Digest> {
        self.told.clone()
    }

    // Starts.

    /// Takes a start, or says why no start was sent and none will be.
    ///
    /// # Errors
    ///
    /// The reason; the attempt is remembered as refused.
    pub fn start(&mut self, shared: &Shared, start: &wire::Start) -> Result<(), String> {
        let run = run_of(start.key.as_ref(), start.task, start.attempt);
        if self.runs.contains_key(&run) {
            return Ok(());
        }
        let taken = self.check_start(&run, start);
        if let Err(reason) = taken {
            self.refused.insert(run, shared.now);
            return Err(reason);
        }
        let Some(reservation) = self.rack.commit(start.reservation) else {
            return Err("the reservation expired".to_owned());
        };
        let payload = serde_json::from_slice(&start.spec).map(|spec: Spec| spec.payload);
        let order = Start {
            run: run.clone(),
            fence: self.claim.epoch,
            lease_ms: shared.config.timing.task_lease.as_millis() as u64,
            size: reservation.size,
            payload: payload.unwrap_or_default(),
            trace: start.trace.clone(),
        };
        let phase = Phase::Starting { start: Box::new(order.clone()), tries: 1, retry_at: None };
        let mut held = Held::new(reservation.worker.clone(), reservation.size, phase, shared.now);
        held.started_us = shared.wall_us;
        held.is_verified = true;
        if start.may_yield {
            held.yielding = Yielding::Possible;
        }
        self.runs.insert(run, held);
        self.orders.push(Order::Start(reservation.worker, order));
        Ok(())
    }

    fn check_start(&mut self, run: &Run, start: &wire::Start) -> Result<(), String> {
        if start.rack_epoch != self.claim.epoch {
            return Err("the rack has a newer owner".to_owned());
        }
        let fence = self.fences.entry(start.partition).or_default();
        if start.partition_epoch < *fence {
            return Err("the partition has a newer owner".to_owned());
        }
        *fence = start.partition_epoch;
        if self.refused.contains_key(run) {
            return Err("the attempt was refused before".to_owned());
        }
        let reservation = self.rack.reservation(start.reservation);
        if reservation.is_none_or(|reservation| *reservation.worker != *start.worker) {
            return Err("the reservation expired".to_owned());
        }
        Ok(())
    }

    /// Takes a worker's answer to a start.
    pub fn started(&mut self, shared: &Shared, run: &Run, answer: Result<(), Error>) {
        let Some(held) = self.runs.get_mut(run) else { return };
        let Phase::Starting { tries, retry_at, .. } = &mut held.phase else {
            return;
        };
        match answer {
            Ok(()) => {
                held.phase = Phase::Running { since: shared.now };
                let length = shared.wall_us.saturating_sub(held.started_us);
                held.spans.push(span("worker-start", shared.me(), held.started_us, length));
            }
            Err(Error::Refused { text }) if !held.was_lost => {
                self.end(shared, run, Fate::NotSent, format!("worker refused: {text}"));
            }
            Err(Error::Unsent { text }) if !held.was_lost && *tries >= START_TRIES => {
                self.end(shared, run, Fate::NotSent, format!("worker not reached: {text}"));
            }
            Err(error) => {
                held.was_lost |= error.may_have_happened();
                *retry_at = Some(shared.now + Duration::from_millis(200 * u64::from(*tries)));
                let worker = held.worker.clone();
                self.extended(shared, &worker);
            }
        }
    }

    /// A start or renewal that may have arrived extends what a lease may last.
    fn extended(&mut self, shared: &Shared, worker: &Name) {
        if let Some(line) = self.lines.get_mut(worker) {
            line.extended_until = shared.now;
        }
    }

    // Stops and questions.

    /// Stops an attempt.
    pub fn stop(&mut self, shared: &Shared, stop: &wire::Stop) {
        let run = run_of(stop.key.as_ref(), stop.task, stop.attempt);
        let Some(held) = self.runs.get_mut(&run) else { return };
        match &held.phase {
            Phase::Ended { .. } => held.report_at = shared.now,
            Phase::Starting { .. } | Phase::Running { .. } => {
                let order = Stop { run, fence: self.claim.epoch, checkpoint: stop.checkpoint };
                self.orders.push(Order::Stop(held.worker.clone(), order));
            }
        }
    }

    /// Says what is known of an attempt, and takes no older home's start from now on.
    pub fn probe(&mut self, shared: &Shared, probe: &wire::Probe) -> wire::Report {
        let fence = self.fences.entry(probe.partition).or_default();
        *fence = probe.partition_epoch.max(*fence);
        let run = run_of(probe.key.as_ref(), probe.task, probe.attempt);
        if let Some(held) = self.runs.get(&run) {
            return report(&self.name, &run, held);
        }
        let fate = self.judge_missing(shared, probe);
        if fate == Fate::NotSent {
            self.refused.insert(run.clone(), shared.now);
        }
        wire::Report {
            key: probe.key.clone(),
            task: probe.task,
            attempt: probe.attempt,
            fate: fate.code(),
            text: missing_text(fate).to_owned(),
            rack: self.name.to_string(),
            worker: probe.worker.clone(),
            ..Default::default()
        }
    }

    fn judge_missing(&self, shared: &Shared, probe: &wire::Probe) -> Fate {
        if probe.rack_epoch == self.claim.epoch {
            return Fate::NotSent;
        }
        let line = self.lines.get(probe.worker.as_str());
        if line.is_some_and(|line| line.last_ok.is_some()) {
            return Fate::Absent;
        }
        let no_lease_left = shared.now >= self.claimed_at + shared.leases_gone();
        if no_lease_left { Fate::Lapsed } else { Fate::Unsure }
    }

    // Renewals.

    /// Does what time asks for.
    pub fn tick(&mut self, shared: &Shared) {
        self.rack.expire(shared.now);
        self.refused.retain(|_, at| shared.now < *at + REFUSED_LIFE);
        self.renew_due(shared);
        self.retry_starts(shared);
        self.lapse(shared);
        self.report_due(shared);
    }

    fn renew_due(&mut self, shared: &Shared) {
        let timing = &shared.config.timing;
        for (worker, line) in &mut self.lines {
            if line.is_asked || line.next > shared.now {
                continue;
            }
            line.is_asked = true;
            line.sent_at = shared.now;
            let lease = if line.is_silent { Duration::ZERO } else { timing.task_lease };
            let (due, later): (Vec<_>, Vec<_>) =
                line.forget.drain(..).partition(|(_, at)| *at <= shared.now);
            line.forget = later;
            let forget: Vec<Run> = due.into_iter().map(|(run, _)| run).collect();
            let renew =
                Renew { fence: self.claim.epoch, lease_ms: lease.as_millis() as u64, forget };
            self.orders.push(Order::Renew(worker.clone(), renew));
        }
    }

    /// Takes a worker's answer to a renewal.
    pub fn renewed(
        &mut self,
        shared: &Shared,
        worker: &Name,
        forget: Vec<Run>,
        answer: Result<Vec<Task>, Error>,
    ) {
        let Some(line) = self.lines.get_mut(worker) else { return };
        line.is_asked = false;
        line.next = shared.now + shared.config.timing.task_renew;
        if !line.is_silent {
            line.extended_until = shared.now;
        }
        match answer {
            Ok(tasks) => {
                let sent_at = line.sent_at;
                line.last_ok = Some(shared.now);
                if line.is_silent {
                    line.is_silent = false;
                    let text = worker.to_string();
                    self.acts.push(Act::Log(crate::event::Event::WorkerBack, text));
                }
                self.take_list(shared, worker, sent_at, &tasks);
                self.rack.set_known(worker, true);
            }
            Err(error) => {
                line.forget.extend(forget.into_iter().map(|run| (run, shared.now)));
                self.unanswered(shared, worker, &error);
            }
        }
    }

    fn unanswered(&mut self, shared: &Shared, worker: &Name, error: &Error) {
        let Some(line) = self.lines.get_mut(worker) else { return };
        let patience = shared.config.timing.task_lease / 3;
        let last = line.last_ok.unwrap_or(self.claimed_at);
        if !line.is_silent && shared.now.saturating_duration_since(last) >= patience {
            line.is_silent = true;
            self.rack.set_known(worker, false);
            let text = format!("{worker}: {error}");
            self.acts.push(Act::Log(crate::event::Event::WorkerSilent, text));
        }
    }

    /// Compares a worker's own list with what is held for it.
    fn take_list(&mut self, shared: &Shared, worker: &Name, sent_at: Instant, tasks: &[Task]) {
        for task in tasks {
            self.take_task(shared, worker, task);
        }
        let is_gone = |run: &Run, held: &Held| {
            held.worker == *worker
                && matches!(held.phase, Phase::Running { since } if since < sent_at)
                && !tasks.iter().any(|task| task.run == *run)
        };
        let gone = self.runs.iter().filter(|(run, held)| is_gone(run, held));
        let gone: Vec<Run> = gone.map(|(run, _)| run.clone()).collect();
        for run in gone {
            self.end(shared, &run, Fate::Lapsed, "the worker lost the task".to_owned());
        }
    }

    fn take_task(&mut self, shared: &Shared, worker: &Name, task: &Task) {
        if !self.runs.contains_key(&task.run) {
            let is_forgotten = self
                .lines
                .get(worker)
                .is_some_and(|line| line.forget.iter().any(|(run, _)| *run == task.run));
            if is_forgotten {
                return;
            }
            self.adopt(shared, worker, task);
        }
        let Some(held) = self.runs.get_mut(&task.run) else { return };
        held.cpu_ms = task.cpu_ms;
        if task.state == State::Running {
            if matches!(held.phase, Phase::Starting { .. }) {
                held.phase = Phase::Running { since: shared.now };
            }
            return;
        }
        if !held.is_ended() {
            let fate = fate_of(task.state);
            self.end(shared, &task.run, fate, task.result.clone());
        }
    }

    fn adopt(&mut self, shared: &Shared, worker: &Name, task: &Task) {
        let phase = Phase::Running { since: shared.now };
        let held = Held::new(worker.clone(), task.size, phase, shared.now);
        self.rack.adopt(worker, &task.size);
        self.runs.insert(task.run.clone(), held);
    }

    fn retry_starts(&mut self, shared: &Shared) {
        for held in self.runs.values_mut() {
            if let Phase::Starting { start, tries, retry_at } = &mut held.phase
                && retry_at.is_some_and(|at| at <= shared.now)
            {
                *tries += 1;
                *retry_at = None;
                self.orders.push(Order::Start(held.worker.clone(), (**start).clone()));
            }
        }
    }

    /// Ends attempts on silent workers once no lease of theirs can be left.
    fn lapse(&mut self, shared: &Shared) {
        let life = shared.config.timing.task_lease + MARGIN * 2;
        let silent = self
            .lines
            .iter()
            .filter(|(_, line)| line.is_silent && shared.now >= line.extended_until + life);
        let silent: Vec<Name> = silent.map(|(worker, _)| worker.clone()).collect();
        for worker in silent {
            let on_it =
                self.runs.iter().filter(|(_, held)| held.worker == worker && !held.is_ended());
            let on_it: Vec<Run> = on_it.map(|(run, _)| run.clone()).collect();
            for run in on_it {
                self.acts.push(Act::Log(crate::event::Event::TaskLapsed, run.to_string()));
                self.end(
                    shared,
                    &run,
                    Fate::Lapsed,
                    "the lease lapsed on a silent worker".to_owned(),
                );
            }
        }
    }

    fn end(&mut self, shared: &Shared, run: &Run, fate: Fate, result: String) {
        let Some(held) = self.runs.get_mut(run) else { return };
        let was_running = !held.is_ended();
        held.phase = Phase::Ended { fate, result };
        held.report_at = shared.now;
        if !was_running {
            return;
        }
        let (worker, size) = (held.worker.clone(), held.size);
        if held.started_us > 0 {
            let length = shared.wall_us.saturating_sub(held.started_us);
            held.spans.push(span("task", &worker, held.started_us, length));
        }
        self.rack.give_back(&worker, &size);
        match fate {
            Fate::Done => self.rack.note(&worker, true, shared.now),
            Fate::Failed | Fate::Lapsed | Fate::NotSent => {
                self.rack.note(&worker, false, shared.now);
            }
            Fate::Running | Fate::Stopped | Fate::Absent | Fate::Unsure => {}
        }
    }

    // Reports to the homes.

    fn report_due(&mut self, shared: &Shared) {
        let partitions = shared.config.partitions;
        for (run, held) in &mut self.runs {
            if held.report_at > shared.now || (held.is_verified && !held.is_ended()) {
                continue;
            }
            held.report_at = shared.now + REPORT_INTERVAL;
            let partition = key_of(run).partition(partitions);
            let body = Body::Report(report(&self.name, run, held));
            let purpose = Purpose::Report { rack: self.name.clone(), run: run.clone() };
            self.acts.push(Act::AskHome(partition, body, purpose));
        }
    }

    /// Takes a home's answer to a report; none where it is lost.
    pub fn acknowledged(&mut self, shared: &Shared, run: &Run, ack: Option<wire::Ack>) {
        let Some(ack) = ack else { return };
        let Some(held) = self.runs.get_mut(run) else { return };
        let kind = Kind::from_code(ack.code);
        match (held.is_ended(), kind) {
            (true, None | Some(Kind::NotFound)) => self.forget(shared, run),
            (false, None) => held.is_verified = true,
            (false, Some(Kind::NotFound)) => {
                held.report_at = shared.now + REPORT_INTERVAL;
                let stop = Stop { run: run.clone(), fence: self.claim.epoch, checkpoint: false };
                self.orders.push(Order::Stop(held.worker.clone(), stop));
                self.acts.push(Act::Log(crate::event::Event::OrphanStopped, run.to_string()));
            }
            (_, Some(_)) => {}
        }
    }

    fn forget(&mut self, shared: &Shared, run: &Run) {
        let Some(held) = self.runs.remove(run) else { return };
        // A start whose answer was lost may still arrive; the worker must know it then.
        let pause = if held.was_lost { FORGET_PAUSE } else { Duration::ZERO };
        if let Some(line) = self.lines.get_mut(&held.worker) {
            line.forget.push((run.clone(), shared.now + pause));
        }
    }
}

impl Held {
    fn new(worker: Name, size: Size, phase: Phase, now: Instant) -> Self {
        Self {
            worker,
            size,
            phase,
            was_lost: false,
            is_verified: false,
            report_at: now,
            spans: Vec::new(),
            started_us: 0,
            cpu_ms: 0,
            yielding: Yielding::Never,
        }
    }

    fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    fn fate(&self) -> Fate {
        match &self.phase {
            Phase::Starting { .. } | Phase::Running { .. } => Fate::Running,
            Phase::Ended { fate, .. } => *fate,
        }
    }
}

impl Line {
    fn new(now: Instant) -> Self {
        Self {
            next: now,
            is_asked: false,
            sent_at: now,
            last_ok: None,
            extended_until: now,
            forget: Vec::new(),
            is_silent: false,
        }
    }
}

/// An attempt that may be stopped for urgent work.
fn candidate((run, held): (&Run, &Held)) -> Option<Candidate> {
    let is_running = matches!(held.phase, Phase::Running { .. });
    let may = is_running && held.yielding == Yielding::Possible;
    may.then(|| Candidate {
        run: run.clone(),
        worker: held.worker.clone(),
        size: held.size,
        lost_ms: held.cpu_ms,
    })
}

fn report(rack: &Name, run: &Run, held: &Held) -> wire::Report {
    let result = match &held.phase {
        Phase::Ended { result, .. } => result.as_str(),
        Phase::Starting { .. } | Phase::Running { .. } => "",
    };
    wire::Report {
        key: Some(to_wire(&key_of(run))),
        task: run.task,
        attempt: run.attempt,
        fate: held.fate().code(),
        body: result.as_bytes().to_vec(),
        text: result.to_owned(),
        rack: rack.to_string(),
        worker: held.worker.to_string(),
        spans: held.spans.clone(),
        cpu_ms: held.cpu_ms,
        has_yielded: held.yielding == Yielding::Done,
    }
}

fn fate_of(state: State) -> Fate {
    match state {
        State::Running => Fate::Running,
        State::Done => Fate::Done,
        State::Failed => Fate::Failed,
        State::Stopped => Fate::Stopped,
        State::Lapsed => Fate::Lapsed,
    }
}

fn missing_text(fate: Fate) -> &'static str {
    match fate {
        Fate::NotSent => "the start never reached the rack's owner",
        Fate::Absent => "the worker does not know the attempt",
        Fate::Lapsed => "the worker is silent and every lease is over",
        _ => "",
    }
}

fn describe(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Full(dimension) => format!("not enough free {dimension}"),
        Refusal::Withheld => {
            "room is there, on workers that are unknown, leaving, quarantined or avoided".to_owned()
        }
        Refusal::Impossible(dimension) => format!("no worker has so much {dimension}"),
        Refusal::NoSlot => "no free slot".to_owned(),
    }
}

fn to_place(place: policy::rack::Place) -> wire::Place {
    wire::Place { reservation: place.reservation, worker: place.worker.to_string() }
}

fn run_of(key: Option<&wire::Key>, task: u32, attempt: u32) -> Run {
    let key = key.map(from_wire);
    let (customer, id) = key.map_or_else(Default::default, |key| (key.customer, key.id));
    Run { customer, id, task, attempt }
}

fn key_of(run: &Run) -> Key {
    Key { customer: run.customer.clone(), id: run.id.clone() }
}

/// A waiter for a call from a peer.
pub fn waiter(peer: &Name, call: u64) -> Waiter {
    Waiter::Peer(peer.clone(), call)
}
