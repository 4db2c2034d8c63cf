//! Entry point of the `bronzeraild` program.

use std::process::ExitCode;

use bronzeraild::args::Args;
use bronzeraild::run;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run::run(&args) {
        Ok(exit) => ExitCode::from(exit.code()),
        Err(error) => {
            eprintln!("bronzeraild: {error}");
            ExitCode::from(error.exit().code())
        }
    }
}
