//! Schedules of requests and faults, drawn from a seed, and how failing ones are shortened.

use std::fmt;

use common::Name;
use scheduler::Step;

use crate::support::step;

/// Turns with faults.
const FAULT_TURNS: u64 = 250;
/// Most turns that a fault lasts.
const MAX_FAULT_TURNS: u64 = 120;
/// Workers of the pool.
pub const WORKERS: u64 = 5;
/// Sum of the weights of the faults, with that of none.
const IDLE_WEIGHT: u64 = 80;
/// Latest jobs of which one may be cancelled.
const RECENT_JOBS: u64 = 8;
/// Workspaces; some jobs belong to none.
pub const WORKSPACES: [&str; 2] = ["red", "blue"];
/// Limits on the `cpu` of a workspace; 0 is none.
const LIMITS: [u32; 7] = [0, 500, 1000, 2000, 3000, 5000, 8000];
/// Turns in a hundred in which the limit of a workspace changes.
const LIMIT_PERCENT: u64 = 5;
/// `cpu` of a task, and of a task of a wide gang.
const USUAL_CPU: u32 = 1000;
const SMALL_CPU: u32 = 100;

/// What happens in a turn besides the course of the runs and calls.
#[derive(Debug, Clone)]
pub enum Action {
    Idle,
    Submit {
        job: u64,
        with_advice: bool,
        steps: Vec<Step>,
    },
    Cancel {
        job: u64,
    },
    /// A worker restarts; its row follows at some time.
    Restart {
        worker: Name,
        kind: &'static str,
        cpu: u32,
    },
    /// A worker's row is read.
    ReadRow {
        worker: Name,
    },
    /// A worker refuses starts for some turns.
    Refuse {
        worker: Name,
        turns: u32,
    },
    /// The runs of a worker fail for some turns.
    Fail {
        worker: Name,
        turns: u32,
    },
    /// A worker is cut off for some turns.
    Cut {
        worker: Name,
        turns: u32,
    },
    /// Starts that were sent long ago take effect.
    DeliverLate {
        worker: Name,
    },
    StopStore {
        turns: u32,
    },
    StopAdvice {
        turns: u32,
    },
    /// The leader dies; another one starts from the rows.
    KillLeader,
    /// The leader leaves after a last commit.
    StopLeader,
}

/// Kinds of faults and other disturbances.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Cancel,
    Restart,
    Refuse,
    Fail,
    Cut,
    Late,
    Store,
    Advice,
    Kill,
    Stop,
}

impl Fault {
    const ALL: [Self; 10] = [
        Self::Cancel,
        Self::Restart,
        Self::Refuse,
        Self::Fail,
        Self::Cut,
        Self::Late,
        Self::Store,
        Self::Advice,
        Self::Kill,
        Self::Stop,
    ];
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self::Submit { job, with_advice, steps } = self else { return write!(f, "{self:?}") };
        write!(f, "Submit j{job}, with advice: {with_advice}")?;
        for Step { count, need, after, is_gang, requirement, spread, .. } in steps {
            let gang = if *is_gang { " as a gang" } else { "" };
            write!(f, "; {count} tasks of {} cpu{gang}", need.cpu)?;
            write!(f, ", kind {requirement:?}, spread {spread}, after {after:?}")?;
        }
        Ok(())
    }
}

/// A new version of the rules: another limit for a workspace.
#[derive(Debug, Clone)]
pub struct LimitChange {
    pub workspace: Name,
    /// The limit on its `cpu`; `None` if the rules do not list it any more.
    pub limit: Option<u32>,
}

/// A turn: its action, and a number that decides all chances of the turn.
///
/// Turns do not share a sequence of random numbers, so that the others stay as they are when one
/// is taken out.
#[derive(Debug, Clone)]
pub struct Turn {
    pub salt: u64,
    pub action: Action,
    pub limit: Option<LimitChange>,
}

/// What a seed decides.
#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    /// The rule that is checked; `None` for all.
    pub rule: Option<String>,
    pub turns: Vec<Turn>,
}

/// A sequence of random numbers.
struct Random {
    seed: u64,
    draws: u64,
}

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        hash(&format!("{}.{}", self.seed, self.draws)) % bound
    }

    fn worker(&mut self) -> Name {
        worker_id(self.below(WORKERS))
    }

    fn kind(&mut self) -> &'static str {
        ["a", "b"][self.below(2) as usize]
    }

    fn steps(&mut self) -> Vec<Step> {
        let requirement = ["", "", "", "a", "a", "b", "b", "none"][self.below(8) as usize];
        let first = match self.below(8) {
            0 | 1 => Step { is_gang: true, ..step(2 + self.below(3) as u32) },
            2 => Step { is_gang: true, ..step(8 + self.below(8) as u32) },
            3 => {
                let mut wide = step(20 + self.below(30) as u32);
                wide.need.cpu = SMALL_CPU;
                wide.need.mem = 1;
                Step { is_gang: true, ..wide }
            }
            4 => Step { spread: 1, ..step(1 + self.below(4) as u32) },
            _ => step(1 + self.below(3) as u32),
        };
        let mut steps = vec![Step { requirement: requirement.to_owned(), ..first }];
        if self.below(100) < 30 {
            steps.push(Step { after: vec![0], ..step(1) });
        }
        steps
    }

    /// How often each fault occurs in a schedule; some do not.
    fn weights(&mut self) -> Vec<(Fault, u64)> {
        let faults = Fault::ALL.into_iter();
        faults.map(|fault| (fault, [0, 0, 2, 4, 8][self.below(5) as usize])).collect()
    }

    fn action(&mut self, weights: &[(Fault, u64)], jobs: &mut u64) -> Action {
        let worker = self.worker();
        match self.below(40) {
            0..=6 => {
                *jobs += 1;
                let with_advice = self.below(2) == 0;
                return Action::Submit { job: *jobs, with_advice, steps: self.steps() };
            }
            7 | 8 => return Action::ReadRow { worker },
            _ => {}
        }
        let mut draw = self.below(IDLE_WEIGHT);
        let fault = weights.iter().find(|(_, weight)| {
            let is_drawn = draw < *weight;
            draw = draw.saturating_sub(*weight);
            is_drawn
        });
        match fault.map(|(fault, _)| fault) {
            None => Action::Idle,
            Some(Fault::Cancel) if *jobs == 0 => Action::Idle,
            Some(Fault::Cancel) => {
                Action::Cancel { job: *jobs - self.below(RECENT_JOBS.min(*jobs)) }
            }
            Some(Fault::Restart) => Action::Restart { worker, kind: self.kind(), cpu: self.cpu() },
            Some(Fault::Refuse) => Action::Refuse { worker, turns: self.turns() },
            Some(Fault::Fail) => Action::Fail { worker, turns: self.turns() },
            Some(Fault::Cut) => Action::Cut { worker, turns: self.turns() },
            Some(Fault::Late) => Action::DeliverLate { worker },
            Some(Fault::Store) => Action::StopStore { turns: self.turns() },
            Some(Fault::Advice) => Action::StopAdvice { turns: self.turns() },
            Some(Fault::Kill) => Action::KillLeader,
            Some(Fault::Stop) => Action::StopLeader,
        }
    }

    /// The length of a fault, more often a short one.
    fn turns(&mut self) -> u32 {
        let most = [10, 40, MAX_FAULT_TURNS][self.below(3) as usize];
        1 + self.below(most) as u32
    }

    fn cpu(&mut self) -> u32 {
        [1, 2, 2, 3][self.below(4) as usize] * USUAL_CPU
    }
}

impl Schedule {
    pub fn new(seed: u64, rule: Option<String>) -> Self {
        let mut random = Random { seed, draws: 0 };
        let mut jobs = 0;
        let weights = random.weights();
        let turns = (0..FAULT_TURNS).map(|number| {
            let action = random.action(&weights, &mut jobs);
            let limit = limit_change(seed, number);
            Turn { salt: hash(&format!("turn {seed}.{number}")), action, limit }
        });
        let turns = turns.collect();
        Self { seed, rule, turns }
    }

    /// Takes out turns, and then actions, for as long as `fails` holds of what is left.
    pub fn shrink(mut self, fails: impl Fn(&Self) -> bool) -> Self {
        let mut size = self.turns.len().div_ceil(2);
        loop {
            let mut start = 0;
            let mut has_shrunk = false;
            while start < self.turns.len() {
                let mut shorter = self.clone();
                shorter.turns.drain(start..(start + size).min(self.turns.len()));
                if fails(&shorter) {
                    self = shorter;
                    has_shrunk = true;
                } else {
                    start += size;
                }
            }
            if size == 1 && !has_shrunk {
                break;
            }
            size = if has_shrunk { size } else { size.div_ceil(2) };
            size = size.min(self.turns.len().max(1));
        }
        for index in 0..self.turns.len() {
            let mut calmer = self.clone();
            calmer.turns[index].action = Action::Idle;
            if fails(&calmer) {
                self = calmer;
            }
            let mut calmer = self.clone();
            calmer.turns[index].limit = None;
            if fails(&calmer) {
                self = calmer;
            }
        }
        self
    }
}

pub fn hash(text: &str) -> u64 {
    common::stable_hash(text.as_bytes())
}

/// Whether the jobs of a seed belong to workspaces; without, its course is that before them.
pub fn has_workspaces(seed: u64) -> bool {
    !seed.is_multiple_of(3)
}

/// The workspace of a job; empty for none.
pub fn workspace_of(seed: u64, job: u64) -> &'static str {
    let draw = hash(&format!("workspace {seed}.{job}")) as usize % 3;
    if has_workspaces(seed) { WORKSPACES.get(draw).copied().unwrap_or_default() } else { "" }
}

/// The limit that a workspace has first.
pub fn first_limit(seed: u64, workspace: &str) -> u32 {
    LIMITS[hash(&format!("limit {seed}.{workspace}")) as usize % LIMITS.len()]
}

/// What a turn changes in the limits; its number decides it apart from the other actions.
fn limit_change(seed: u64, turn: u64) -> Option<LimitChange> {
    let draw = |topic: &str| hash(&format!("limit {topic} {seed}.{turn}"));
    if !has_workspaces(seed) || draw("change") % 100 >= LIMIT_PERCENT {
        return None;
    }
    let workspace = Name::new(WORKSPACES[draw("workspace") as usize % WORKSPACES.len()]);
    let limit = LIMITS.get(draw("size") as usize % (LIMITS.len() + 1)).copied();
    Some(LimitChange { workspace, limit })
}

pub fn worker_id(number: u64) -> Name {
    Name::new(&format!("w{number}"))
}
