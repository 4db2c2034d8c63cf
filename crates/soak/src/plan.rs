//! Seeded series of faults; the same seed gives the same plan.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use standin::platform::Fault as StoreFault;

/// Time without faults at the start of a run.
const FIRST_FAULT: Duration = Duration::from_secs(5);

/// Time before the end of a run in which no fault starts.
const LAST_FAULT: Duration = Duration::from_secs(4);

/// Time for which the named plans cut a leader off, in ms; longer than the longest lease
/// and, for the most part, than the time from the cut to the restart of the tasks.
const LEADER_CUT_MS: std::ops::Range<u64> = 11_000..15_000;

/// Longest cut of a drawn plan, in ms.
const MAX_CUT_MS: u64 = 14_000;

/// Shortest cut, in ms, that lasts until tasks on the cut off side start again elsewhere.
const RESTART_CUT_MS: u64 = 11_500;

/// Most faults that a drawn step starts together.
const MAX_BURST: usize = 2;

/// Longest time from one drawn step to the next, in ms.
const MAX_STEP_MS: u64 = 4_000;

common::data! {
    /// Size of a cell and length of a run.
    pub struct Spec {
        /// Number of daemons.
        pub daemons: usize,
        /// Number of workers.
        pub workers: usize,
        /// Number of zones; daemons and workers are in them in turn.
        pub zones: usize,
        /// Time in which clients submit and faults start.
        pub length: Duration,
    }

    /// A daemon that a fault is for.
    pub enum Target {
        /// The daemon that leads when the fault starts.
        Leader,
        /// A daemon by number.
        Daemon(usize),
    }

    /// What a fault does to its targets until it ends.
    pub enum Kind {
        /// Cuts daemons and workers off from the store and from all others.
        Cut {
            /// Daemons on the cut off side.
            daemons: Vec<Target>,
            /// Workers that reach only those daemons.
            workers: Vec<usize>,
            /// Whether these workers reach the store.
            workers_reach_store: bool,
        },
        /// Cuts all daemons and workers of the leader's zone off from the store and all others.
        CutLeaderZone {
            /// Whether the zone's workers reach the store.
            workers_reach_store: bool,
        },
        /// Keeps all bytes from a daemon, or all bytes to it.
        OneWay {
            /// The daemon.
            daemon: Target,
            /// Whether the bytes from the daemon are kept, and not those to it.
            outbound: bool,
        },
        /// Sends SIGKILL to a daemon, which starts again at the end.
        Kill(Target),
        /// Sends SIGTERM to a daemon, which starts again at the end.
        Terminate(Target),
        /// Stops a daemon's process until the end.
        Stop(Target),
        /// Resets all connections of a daemon to others.
        Reset(Target),
        /// Delays all bytes between a daemon and the others.
        Delay(Target, Duration),
        /// Makes the store answer nobody.
        StoreSilent,
        /// Resets all connections to the store.
        StoreReset,
        /// Delays all bytes to and from the store.
        StoreDelay(Duration),
        /// The store performs calls and keeps its answers.
        StoreMute,
        /// A fault of the store itself.
        Store(StoreFault),
        /// Stops a worker's process until the end.
        WorkerStop(usize),
        /// Sends SIGKILL to a worker, which starts again under its id at the end.
        WorkerKill(usize),
        /// Cuts a worker off from all daemons and the store.
        WorkerCut(usize),
    }

    /// A fault and its time.
    pub struct Fault {
        /// Start, from the start of the run.
        pub at: Duration,
        /// Time until it ends.
        pub lasts: Duration,
        /// What it does.
        pub kind: Kind,
    }

    /// All faults of a run, in the order of their starts.
    pub struct Plan {
        /// Seed that the plan was drawn from.
        pub seed: u64,
        /// Whether clients submit long tasks only.
        pub has_long_tasks: bool,
        /// The faults.
        pub faults: Vec<Fault>,
    }
}

impl Spec {
    /// Zone of a daemon or a worker.
    pub fn zone(&self, number: usize) -> usize {
        number % self.zones
    }

    /// Cuts a zone off.
    pub fn cut_zone(&self, zone: usize, workers_reach_store: bool) -> Kind {
        Kind::Cut {
            daemons: self.in_zone(zone, self.daemons).map(Target::Daemon).collect(),
            workers: self.in_zone(zone, self.workers).collect(),
            workers_reach_store,
        }
    }

    /// Numbers below `count` in a zone.
    fn in_zone(&self, zone: usize, count: usize) -> impl Iterator<Item = usize> {
        (0..count).filter(move |number| self.zone(*number) == zone)
    }
}

impl Plan {
    /// Cuts the leader off twice in a row, each time with half of the workers, while tasks run
    /// long.
    pub fn leaders(seed: u64, spec: &Spec) -> Self {
        Self::two_cuts(seed, |random| Kind::Cut {
            daemons: vec![Target::Leader],
            workers: some_workers(random, spec, 0.5),
            workers_reach_store: random.random(),
        })
    }

    /// Cuts the leader's zone off twice in a row, while tasks run long.
    pub fn zones(seed: u64) -> Self {
        Self::two_cuts(seed, |random| Kind::CutLeaderZone { workers_reach_store: random.random() })
    }

    fn two_cuts(seed: u64, mut draw: impl FnMut(&mut StdRng) -> Kind) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = FIRST_FAULT + Duration::from_millis(random.random_range(0..3_000));
        for _ in 0..2 {
            let kind = draw(&mut random);
            let lasts = Duration::from_millis(random.random_range(LEADER_CUT_MS));
            faults.push(Fault { at, lasts, kind });
            at += lasts + Duration::from_millis(random.random_range(0..4_000));
        }
        Self { seed, has_long_tasks: true, faults }
    }

    /// Draws faults of all kinds, which overlap.
    pub fn draw(seed: u64, spec: &Spec) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = FIRST_FAULT;
        while at + LAST_FAULT < spec.length {
            for _ in 0..random.random_range(1..=MAX_BURST) {
                faults.push(draw_fault(&mut random, spec, at));
            }
            at += Duration::from_millis(random.random_range(200..MAX_STEP_MS));
        }
        Self { seed, has_long_tasks: false, faults }
    }
}

/// Draws a share of the workers.
fn some_workers(random: &mut StdRng, spec: &Spec, share: f64) -> Vec<usize> {
    let mut workers: Vec<usize> = (0..spec.workers).collect();
    workers.shuffle(random);
    workers.truncate((spec.workers as f64 * share).round() as usize);
    workers.sort_unstable();
    workers
}

fn draw_fault(random: &mut StdRng, spec: &Spec, at: Duration) -> Fault {
    let daemon = if random.random_bool(0.5) {
        Target::Leader
    } else {
        Target::Daemon(random.random_range(0..spec.daemons))
    };
    let worker = random.random_range(0..spec.workers);
    let long = Duration::from_millis(random.random_range(1_000..=MAX_CUT_MS));
    let shortest = if random.random_bool(0.5) { RESTART_CUT_MS } else { 1_000 };
    let cut = Duration::from_millis(random.random_range(shortest..=MAX_CUT_MS));
    let short = Duration::from_millis(random.random_range(100..=4_000));
    let delay = Duration::from_millis(random.random_range(5..=800));
    let (lasts, kind) = match random.random_range(0..21) {
        0..4 => {
            let share = random.random_range(0.0..0.8);
            let workers = some_workers(random, spec, share);
            let workers_reach_store = random.random();
            (cut, Kind::Cut { daemons: vec![Target::Leader], workers, workers_reach_store })
        }
        4 => {
            let zone = random.random_range(0..spec.zones);
            (cut, spec.cut_zone(zone, false))
        }
        5 | 6 => (long, Kind::OneWay { daemon, outbound: random.random() }),
        7 => (short, Kind::Kill(daemon)),
        8 => (short, Kind::Terminate(daemon)),
        9 => (long, Kind::Stop(daemon)),
        10 => (short, Kind::Reset(daemon)),
        11 => (long, Kind::Delay(daemon, delay)),
        12 => (short, Kind::StoreSilent),
        13 => (short, Kind::StoreReset),
        14 => (long, Kind::StoreDelay(delay)),
        15 => (short, Kind::StoreMute),
        16 => (long, Kind::Store(draw_store_fault(random, delay))),
        17 => (long, Kind::WorkerStop(worker)),
        18 => (long, Kind::WorkerKill(worker)),
        19 => (short, Kind::WorkerKill(worker)),
        _ => (long, Kind::WorkerCut(worker)),
    };
    Fault { at, lasts, kind }
}

fn draw_store_fault(random: &mut StdRng, delay: Duration) -> StoreFault {
    let share = random.random_range(0.05..0.6);
    match random.random_range(0..3) {
        0 => StoreFault::Busy,
        1 => StoreFault::LoseAnswers { share },
        _ => StoreFault::Late { share, delay: 4 * delay },
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.faults.iter().try_for_each(|fault| writeln!(f, "{fault}"))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, lasts) = (self.at.as_secs_f64(), self.lasts.as_secs_f64());
        write!(f, "at {at:.1} s for {lasts:.1} s: {:?}", self.kind)
    }
}
