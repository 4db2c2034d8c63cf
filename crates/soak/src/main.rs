//! Command line of the fault soak.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use soak::cell::{Paths, Result};
use soak::plan::{Plan, Spec};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Number of zones of a cell.
const ZONES: usize = 3;

/// Exit code if a run could not be made or judged.
const CANNOT_RUN: u8 = 2;

/// Run real daemons and workers under faults and check their guarantees.
#[derive(Debug, FromArgs)]
struct Args {
    /// what to do
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    /// Prints a plan.
    Plan(PlanArgs),
    /// Runs plans.
    Run(RunArgs),
}

/// Print the faults of a seed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
struct PlanArgs {
    /// plan: leaders, zones or mixed
    #[argh(option, default = "\"mixed\".to_owned()")]
    plan: String,
    /// seed of the plan
    #[argh(option, default = "1")]
    seed: u64,
    /// number of daemons
    #[argh(option, default = "9")]
    daemons: usize,
    /// number of workers
    #[argh(option, default = "24")]
    workers: usize,
    /// length of a run, in seconds
    #[argh(option, default = "45")]
    seconds: u64,
}

/// Run the plans of one or more seeds; exit 0 if all guarantees held, 1 if not, 2 if a run could
/// not be made.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
struct RunArgs {
    /// program of the daemon
    #[argh(option)]
    daemon: PathBuf,
    /// program of the worker
    #[argh(option)]
    worker: PathBuf,
    /// plan: leaders, zones or mixed
    #[argh(option, default = "\"mixed\".to_owned()")]
    plan: String,
    /// seed of the first run
    #[argh(option, default = "1")]
    seed: u64,
    /// number of runs, with one seed after the other
    #[argh(option, default = "1")]
    seeds: u64,
    /// number of daemons
    #[argh(option, default = "9")]
    daemons: usize,
    /// number of workers
    #[argh(option, default = "24")]
    workers: usize,
    /// length of a run, in seconds
    #[argh(option, default = "45")]
    seconds: u64,
    /// folder for the logs of broken runs; default: the system's folder for temporary files
    #[argh(option)]
    keep: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Plan(args) => print_plan(&args),
        Command::Run(args) => run(&args),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::from(CANNOT_RUN)
        }
    }
}

/// Makes the plan with a name.
fn make_plan(name: &str, seed: u64, spec: &Spec) -> Result<Plan> {
    match name {
        "leaders" => Ok(Plan::leaders(seed, spec)),
        "zones" => Ok(Plan::zones(seed)),
        "mixed" => Ok(Plan::draw(seed, spec)),
        _ => Err(format!("no plan is named {name:?}").into()),
    }
}

fn make_spec(daemons: usize, workers: usize, seconds: u64) -> Result<Spec> {
    if !(1..=250).contains(&daemons) || workers == 0 {
        return Err("a cell has 1 to 250 daemons and at least one worker".into());
    }
    Ok(Spec { daemons, workers, zones: ZONES, length: Duration::from_secs(seconds) })
}

fn print_plan(args: &PlanArgs) -> Result<bool> {
    let spec = make_spec(args.daemons, args.workers, args.seconds)?;
    print!("{}", make_plan(&args.plan, args.seed, &spec)?);
    Ok(true)
}

fn run(args: &RunArgs) -> Result<bool> {
    let spec = make_spec(args.daemons, args.workers, args.seconds)?;
    let parent = args.keep.clone().unwrap_or_else(std::env::temp_dir);
    let (mut broken, mut failed) = (0, 0);
    for seed in args.seed..args.seed + args.seeds {
        let plan = make_plan(&args.plan, seed, &spec)?;
        println!("plan {}, seed {seed}:\n{plan}", args.plan);
        let folder = parent.join(format!("soak-{}-{}-{seed}", std::process::id(), args.plan));
        let paths = Paths {
            daemon: args.daemon.clone(),
            worker: args.worker.clone(),
            folder: folder.clone(),
        };
        let outcome = match soak::run::run(&spec, &plan, paths) {
            Ok(outcome) => outcome,
            Err(error) => {
                failed += 1;
                println!("plan {}, seed {seed}: {error}; logs in {}", args.plan, folder.display());
                continue;
            }
        };
        let count = outcome.violations.len();
        let verdict = if count == 0 { "held" } else { "broken" };
        println!(
            "plan {}, seed {seed}: {verdict}, {count} violations; {} jobs accepted, {} ended, \
             {} starts and ends of runs, {} answers of a job not known, {} requests without an \
             answer, daemons that ended by themselves: {:?}; requests with removed keys: {} refused, \
             {} served before the daemons had to know, {} without an answer",
            args.plan,
            outcome.accepted,
            outcome.ended,
            outcome.changes,
            outcome.unknown,
            outcome.unanswered,
            outcome.fallen,
            outcome.probes.refused,
            outcome.probes.served_early,
            outcome.probes.unanswered
        );
        if count == 0 {
            std::fs::remove_dir_all(&folder)?;
        } else {
            broken += 1;
            println!("logs in {}", folder.display());
        }
    }
    println!("{} runs, {broken} broken, {failed} not judged", args.seeds);
    if failed > 0 && broken == 0 {
        return Err("not all runs could be judged".into());
    }
    Ok(broken == 0)
}
