//! The measures' program.

#![expect(clippy::empty_structs_with_brackets, reason = "argh derives from braced structs only")]

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use measure::bench::Result;
use measure::setting::Setting;
use measure::{capacity, decide, faults, path};
use serde_json::Value;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Take one of the brief's measures; the last line is one JSON object.
#[derive(Debug, FromArgs)]
struct Args {
    /// which measure
    #[argh(subcommand)]
    measure: Measure,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Measure {
    /// The whole path.
    Path(Path),
    /// One fault after another.
    Faults(Faults),
    /// The cost of a decision.
    Decide(Decide),
    /// The cost of control.
    Capacity(Capacity),
}

/// Nine daemons under quick and patient load together.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "path")]
struct Path {
    /// quick requests a second
    #[argh(option, default = "3100.0")]
    rate: f64,
}

/// One fault after another on nine daemons under load.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
struct Faults {
    /// only the graceful stops
    #[argh(switch)]
    stops: bool,
}

/// The cost of one placement decision, by index and by scan.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "decide")]
struct Decide {}

/// What control costs, from slopes, worked out for the target size.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {
    /// a folder to draw the slopes into
    #[argh(option)]
    plots: Option<PathBuf>,
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
        Measure::Path(args) => path::run(&Setting::find()?, args.rate),
        Measure::Capacity(args) => capacity::run(&Setting::find()?, args.plots.as_deref()),
        Measure::Decide(_) => decide::run(),
        Measure::Faults(args) => faults::run(&Setting::find()?, args.stops),
    }
}
