//! Renewals of leases, and what they show of the tasks.

use std::time::{Duration, Instant};

use border::Error;
use border::workers::{Renew, Run, State, Task};
use common::Name;
use wire::Fate;

use super::{Allocator, Held, Order, Phase};
use crate::event::Event;
use crate::node::action::Action;
use crate::node::home::span;
use crate::node::membership::MARGIN;
use crate::node::shared::Shared;

/// How long a refused attempt is remembered, against a start that comes late.
const REFUSED_LIFE: Duration = Duration::from_mins(10);

impl Allocator {
    /// Does what time asks for.
    pub fn tick(&mut self, shared: &Shared) {
        self.rack.expire(shared.now);
        self.refused.retain(|_, at| shared.now < *at + REFUSED_LIFE);
        self.renew_due(shared);
        self.retry_starts(shared);
        self.lapse(shared);
        self.report_due(shared);
    }

    pub(super) fn renew_due(&mut self, shared: &Shared) {
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
                    self.actions.push(Action::Log(Event::WorkerBack, text));
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

    pub(super) fn unanswered(&mut self, shared: &Shared, worker: &Name, error: &Error) {
        let Some(line) = self.lines.get_mut(worker) else { return };
        let patience = shared.config.timing.task_lease / 3;
        let last = line.last_ok.unwrap_or(self.claimed_at);
        if !line.is_silent && shared.now.saturating_duration_since(last) >= patience {
            line.is_silent = true;
            self.rack.set_known(worker, false);
            let text = format!("{worker}: {error}");
            self.actions.push(Action::Log(Event::WorkerSilent, text));
        }
    }

    /// Compares a worker's own list with what is held for it.
    pub(super) fn take_list(
        &mut self,
        shared: &Shared,
        worker: &Name,
        sent_at: Instant,
        tasks: &[Task],
    ) {
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

    pub(super) fn take_task(&mut self, shared: &Shared, worker: &Name, task: &Task) {
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

    pub(super) fn adopt(&mut self, shared: &Shared, worker: &Name, task: &Task) {
        let phase = Phase::Running { since: shared.now };
        let held = Held::new(worker.clone(), task.size, phase, shared.now);
        self.rack.adopt(worker, &task.size);
        self.runs.insert(task.run.clone(), held);
    }

    pub(super) fn retry_starts(&mut self, shared: &Shared) {
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
    pub(super) fn lapse(&mut self, shared: &Shared) {
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
                self.actions.push(Action::Log(Event::TaskLapsed, run.to_string()));
                self.end(
                    shared,
                    &run,
                    Fate::Lapsed,
                    "the lease lapsed on a silent worker".to_owned(),
                );
            }
        }
    }

    pub(super) fn end(&mut self, shared: &Shared, run: &Run, fate: Fate, result: String) {
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
