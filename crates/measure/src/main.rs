//! Command line of the measurements.

#![expect(clippy::empty_structs_with_brackets, reason = "argh derives from braced structs only")]

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use measure::bench::Result;
use measure::environment::Environment;
use measure::{capacity, decide, estimates, faults, leader, pass, path};
use serde_json::Value;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Run one measurement; the last line of output is one JSON object.
#[derive(Debug, FromArgs)]
struct Args {
    /// measurement to run
    #[argh(subcommand)]
    measure: Measure,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Measure {
    /// Placement of requests under load.
    Path(Path),
    /// Guarantees under one fault after another.
    Faults(Faults),
    /// Cost of one placement decision.
    Decide(Decide),
    /// Cost of the control plane at the target size.
    Capacity(Capacity),
    /// Time of a leader for each kind of input.
    Leader(Leader),
    /// Duration of a placement pass.
    Pass(Pass),
    /// Errors of predicted run times.
    Estimates(Estimates),
}

/// Measure nine daemons under quick and study load together.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "path")]
struct Path {
    /// quick requests per second
    #[argh(option, default = "3100.0")]
    rate: f64,
}

/// Inject one fault after another into nine daemons under load.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
struct Faults {
    /// run only the graceful stops
    #[argh(switch)]
    stops: bool,
}

/// Measure the cost of one placement decision, by index and by scan.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "decide")]
struct Decide {}

/// Measure the errors of predicted run times, and the cost of learning them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "estimates")]
struct Estimates {}

/// Extrapolate the cost of the control plane to the target size.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {
    /// folder to write the plots to
    #[argh(option)]
    plots: Option<PathBuf>,
}

/// Measure the time that a leader takes for each kind of input.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "leader")]
struct Leader {
    /// workers of the pool
    #[argh(option, default = "350")]
    workers: usize,
    /// open jobs of one task each
    #[argh(option, default = "3000")]
    jobs: usize,
    /// followers
    #[argh(option, default = "40")]
    followers: usize,
}

/// Measure the duration of a placement pass.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pass")]
struct Pass {
    /// workers of the pool
    #[argh(option, default = "350")]
    workers: usize,
    /// open jobs
    #[argh(option, default = "3000")]
    jobs: usize,
    /// followers, a third of which make the advice calls of a class
    #[argh(option, default = "40")]
    followers: usize,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args.measure) {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(measure: &Measure) -> Result<Value> {
    match measure {
        Measure::Path(args) => path::run(&Environment::find()?, args.rate),
        Measure::Capacity(args) => capacity::run(&Environment::find()?, args.plots.as_deref()),
        Measure::Decide(_) => decide::run(),
        Measure::Estimates(_) => estimates::run(),
        Measure::Pass(args) => pass::run(leader::PoolSize {
            workers: args.workers,
            jobs: args.jobs,
            followers: args.followers,
        }),
        Measure::Leader(args) => leader::run(leader::PoolSize {
            workers: args.workers,
            jobs: args.jobs,
            followers: args.followers,
        }),
        Measure::Faults(args) => faults::run(&Environment::find()?, args.stops),
    }
}
