//! The measures' program.

use std::process::ExitCode;

use argh::FromArgs;
use measure::bench::Result;
use measure::path;
use measure::setting::Setting;
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
}

/// Nine daemons under quick and patient load together.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "path")]
struct Path {
    /// quick requests a second
    #[argh(option, default = "3100.0")]
    rate: f64,
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
    }
}
