//! What the faults of a moment mean for each link and process.

use std::time::Duration;

use standin::platform::Fault;

use crate::link::Mode;
use crate::plan::{Kind, Spec, Target};

common::key! {
    /// A process, or the store.
    pub enum Node {
        /// Daemon by number.
        Daemon(usize),
        /// Worker by number.
        Worker(usize),
        /// The store.
        Store,
    }

    /// State that a process should be in; later variants are worse.
    pub enum State {
        /// It runs.
        Running,
        /// It is stopped by a signal.
        Stopped,
        /// It was asked to end and has ended, or soon does.
        Ending,
        /// It was killed.
        Dead,
    }
}

/// Faults that apply at the same time; targets are resolved.
#[derive(Debug)]
pub struct Effects {
    spec: Spec,
    kinds: Vec<(usize, Kind)>,
}

impl Effects {
    /// Creates the effects of no fault on a cell.
    pub fn new(spec: &Spec) -> Self {
        Self { spec: spec.clone(), kinds: Vec::new() }
    }

    /// Adds a fault under a number; `leader` is the daemon that leads.
    pub fn add(&mut self, number: usize, kind: &Kind, leader: usize) {
        self.kinds.push((number, resolve(kind, leader, &self.spec)));
    }

    /// Removes the fault with a number.
    pub fn remove(&mut self, number: usize) {
        self.kinds.retain(|(other, _)| *other != number);
    }

    /// Removes all faults.
    pub fn clear(&mut self) {
        self.kinds.clear();
    }

    /// State of the link between two nodes, of which the first connects.
    pub fn mode(&self, from: Node, to: Node) -> Mode {
        self.kinds.iter().fold(Mode::Open, |mode, (_, kind)| mode.with(kind_mode(kind, from, to)))
    }

    /// State of a daemon's or worker's process.
    pub fn state(&self, node: Node) -> State {
        let states = self.kinds.iter().map(|(_, kind)| match (kind, node) {
            (Kind::Kill(Target::Daemon(target)), Node::Daemon(daemon)) if *target == daemon => {
                State::Dead
            }
            (Kind::Terminate(Target::Daemon(target)), Node::Daemon(daemon))
                if *target == daemon =>
            {
                State::Ending
            }
            (Kind::Stop(Target::Daemon(target)), Node::Daemon(daemon)) if *target == daemon => {
                State::Stopped
            }
            (Kind::WorkerKill(target), Node::Worker(worker)) if *target == worker => State::Dead,
            (Kind::WorkerStop(target), Node::Worker(worker)) if *target == worker => State::Stopped,
            _ => State::Running,
        });
        states.max().unwrap_or(State::Running)
    }

    /// Fault of the store itself; the latest one if there are several.
    pub fn store_fault(&self) -> Option<Fault> {
        self.kinds.iter().rev().find_map(|(_, kind)| match kind {
            Kind::Store(fault) => Some(*fault),
            _ => None,
        })
    }

    /// Whether a worker reaches the store.
    pub fn reaches_store(&self, worker: usize) -> bool {
        !self.kinds.iter().any(|(_, kind)| match kind {
            Kind::Cut { workers, workers_reach_store, .. } => {
                !workers_reach_store && workers.contains(&worker)
            }
            Kind::WorkerCut(target) => *target == worker,
            _ => false,
        })
    }
}

/// Copy of a fault for the daemon that leads now.
fn resolve(kind: &Kind, leader: usize, spec: &Spec) -> Kind {
    let resolve = |target: &Target| match target {
        Target::Leader => Target::Daemon(leader),
        Target::Daemon(daemon) => Target::Daemon(*daemon),
    };
    match kind {
        Kind::Cut { daemons, workers, workers_reach_store } => Kind::Cut {
            daemons: daemons.iter().map(resolve).collect(),
            workers: workers.clone(),
            workers_reach_store: *workers_reach_store,
        },
        Kind::CutLeaderZone { workers_reach_store } => {
            spec.cut_zone(spec.zone(leader), *workers_reach_store)
        }
        Kind::OneWay { daemon, outbound } => {
            Kind::OneWay { daemon: resolve(daemon), outbound: *outbound }
        }
        Kind::Kill(daemon) => Kind::Kill(resolve(daemon)),
        Kind::Terminate(daemon) => Kind::Terminate(resolve(daemon)),
        Kind::Stop(daemon) => Kind::Stop(resolve(daemon)),
        Kind::Reset(daemon) => Kind::Reset(resolve(daemon)),
        Kind::Delay(daemon, delay) => Kind::Delay(resolve(daemon), *delay),
        other => other.clone(),
    }
}

/// State of a link under one fault.
fn kind_mode(kind: &Kind, from: Node, to: Node) -> Mode {
    let is_of = |target: &Target, node: Node| match (target, node) {
        (Target::Daemon(target), Node::Daemon(daemon)) => *target == daemon,
        _ => false,
    };
    let touches = |target: &Target| is_of(target, from) || is_of(target, to);
    let when = |condition: bool, mode: Mode| if condition { mode } else { Mode::Open };
    let delayed = |delay: &Duration| Mode::Delayed(*delay);
    match kind {
        Kind::Cut { daemons, workers, .. } => {
            let is_inside = |node: Node| match node {
                Node::Daemon(_) => daemons.iter().any(|daemon| is_of(daemon, node)),
                Node::Worker(worker) => workers.contains(&worker),
                Node::Store => false,
            };
            when(is_inside(from) != is_inside(to), Mode::CUT)
        }
        Kind::OneWay { daemon, outbound } => {
            let forward = if *outbound { is_of(daemon, from) } else { is_of(daemon, to) };
            let backward = if *outbound { is_of(daemon, to) } else { is_of(daemon, from) };
            when(forward || backward, Mode::Silent { forward, backward })
        }
        Kind::Reset(daemon) => when(touches(daemon), Mode::Reset),
        Kind::Delay(daemon, delay) => when(touches(daemon), delayed(delay)),
        Kind::StoreSilent => when(to == Node::Store, Mode::CUT),
        Kind::StoreReset => when(to == Node::Store, Mode::Reset),
        Kind::StoreDelay(delay) => when(to == Node::Store, delayed(delay)),
        Kind::StoreMute => when(to == Node::Store, Mode::Silent { forward: false, backward: true }),
        Kind::WorkerCut(worker) => when(to == Node::Worker(*worker), Mode::CUT),
        // A zone is resolved to its members.
        Kind::CutLeaderZone { .. }
        | Kind::Kill(_)
        | Kind::Terminate(_)
        | Kind::Stop(_)
        | Kind::Store(_)
        | Kind::WorkerStop(_)
        | Kind::WorkerKill(_) => Mode::Open,
    }
}
