//! The truth of a worker: what it runs and has run, whatever its leader knows of it.

use std::collections::BTreeMap;
use std::time::Duration;

use common::Name;
use scheduler::{
    ActiveRun, FinishedRun, Listing, Outcome, Refusal, Registration, Resources, StartOrder, TaskKey,
};

use crate::support::new_registration;

/// A start as it arrives at a worker.
#[derive(Debug, Clone)]
pub struct StartRequest {
    pub start: StartOrder,
    pub token: u64,
    pub lease_end: Duration,
    /// `None` if its queue takes no advice.
    pub ticket: Option<Ticket>,
    /// Version of the rules that its sender knew when it sent the start first.
    pub rules: u64,
}

/// Permission to start tasks of a step in one life of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Ticket {
    pub job: Name,
    pub step: u32,
    pub worker: Name,
    pub incarnation: u64,
    pub expires_ms: u128,
}

impl Ticket {
    pub fn encode(&self) -> Name {
        let Self { job, step, worker, incarnation, expires_ms } = self;
        Name::new(&format!("{job}/{step}/{worker}/{incarnation}/{expires_ms}"))
    }

    pub fn decode(text: &str) -> Self {
        let parts: Vec<&str> = text.split('/').collect();
        Self {
            job: Name::new(parts[0]),
            step: parts[1].parse().expect("it is a number"),
            worker: Name::new(parts[2]),
            incarnation: parts[3].parse().expect("it is a number"),
            expires_ms: parts[4].parse().expect("it is a number"),
        }
    }
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub run: u32,
    pub since: Duration,
    /// Fencing token of its start.
    pub token: u64,
}

/// The truth of a worker.
#[derive(Debug, Default)]
pub struct Truth {
    pub id: Name,
    pub incarnation: u64,
    pub kind: &'static str,
    pub cpu: u32,
    pub refuses_until: Duration,
    pub fails_until: Duration,
    pub cut_until: Duration,
    /// Highest fencing token that it has seen.
    pub token: u64,
    pub lease_end: Duration,
    pub running: BTreeMap<TaskKey, Run>,
    pub ended: Vec<FinishedRun>,
    last_position: u64,
    pub highest_runs: BTreeMap<TaskKey, u32>,
    /// Starts without an answer that still may arrive.
    pub late: Vec<StartRequest>,
}

impl Truth {
    pub fn new(id: Name, kind: &'static str, cpu: u32) -> Self {
        Self { id, incarnation: 1, kind, cpu, ..Self::default() }
    }

    /// Begins the next life. Starts that have not arrived yet may reach it if it is of the same
    /// kind.
    pub fn restart(&mut self, kind: &'static str, cpu: u32) {
        let mut late = std::mem::take(&mut self.late);
        late.retain(|request| {
            let highest = self.highest_runs.get(&request.start.key);
            highest.is_none_or(|highest| request.start.run > *highest)
        });
        if (kind, cpu) != (self.kind, self.cpu) {
            late.clear();
        }
        *self = Self {
            incarnation: self.incarnation + 1,
            refuses_until: self.refuses_until,
            fails_until: self.fails_until,
            cut_until: self.cut_until,
            late,
            ..Self::new(self.id.clone(), kind, cpu)
        };
    }

    pub fn registration(&self) -> Registration {
        Registration {
            incarnation: self.incarnation,
            labels: vec![Name::new(self.kind)],
            capacity: Resources { cpu: self.cpu, mem: 1000, gpus: 0 },
            ..new_registration(&self.id, 0)
        }
    }

    pub fn end(&mut self, key: &TaskKey, outcome: Outcome) {
        let Some(run) = self.running.remove(key) else { return };
        self.last_position += 1;
        self.ended.push(FinishedRun {
            position: self.last_position,
            key: Some(key.clone()),
            run: run.run,
            outcome: Some(outcome),
            checkpoint: Name::default(),
        });
    }

    /// Ends all runs once the lease has expired.
    pub fn expire(&mut self, now: Duration) {
        if now <= self.lease_end {
            return;
        }
        for key in self.running.keys().cloned().collect::<Vec<_>>() {
            self.end(&key, Outcome::LeaseExpired);
        }
    }

    /// Forgets ends up to a position.
    pub fn acknowledge(&mut self, position: u64) {
        self.ended.retain(|ended| ended.position > position);
    }

    /// The lists of its runs, of at most `limit` ends.
    pub fn list(&self, limit: usize) -> Listing {
        let running = self.running.iter().map(|(key, run)| ActiveRun {
            key: Some(key.clone()),
            run: run.run,
            checkpoint: Name::default(),
            percent: 0,
        });
        Listing {
            incarnation: self.incarnation,
            running: running.collect(),
            finished: self.ended.iter().take(limit).cloned().collect(),
            is_complete: self.ended.len() <= limit,
        }
    }

    /// Takes a start; the reason if it is refused. True if it is a new run.
    pub fn start(&mut self, request: &StartRequest, now: Duration) -> Result<bool, Refusal> {
        let start = &request.start;
        if now < self.refuses_until {
            return Err(Refusal::Unhealthy);
        }
        if request.token < self.token {
            return Err(Refusal::StaleToken);
        }
        self.token = request.token;
        self.lease_end = self.lease_end.max(request.lease_end);
        if self.running.get(&start.key).is_some_and(|run| run.run == start.run) {
            return Ok(false);
        }
        let is_old = self.highest_runs.get(&start.key).is_some_and(|highest| start.run <= *highest);
        if is_old || now > request.lease_end {
            return Err(Refusal::StaleRun);
        }
        if let Some(ticket) = &request.ticket
            && (ticket.incarnation != self.incarnation || now.as_millis() >= ticket.expires_ms)
        {
            return Err(Refusal::Ticket);
        }
        self.highest_runs.insert(start.key.clone(), start.run);
        let run = Run { run: start.run, since: now, token: request.token };
        self.running.insert(start.key.clone(), run);
        Ok(true)
    }

    /// Takes a stop; false if its token is too low.
    pub fn stop(&mut self, key: &TaskKey, run: u32, token: u64) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        if self.running.get(key).is_some_and(|own| own.run == run) {
            self.end(key, Outcome::Stopped);
        }
        let highest = self.highest_runs.entry(key.clone()).or_default();
        *highest = run.max(*highest);
        true
    }
}
