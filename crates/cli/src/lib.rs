//! The command-line tool: what operators and callers do with a cell.

pub mod args;
pub mod client;
pub mod command;
pub mod config;
pub mod error;
pub mod output;

use std::process::ExitCode;

use argh::FromArgs;

use crate::args::Args;
use crate::config::Config;

const NAME: &str = "bronzerail";

/// Runs the tool on arguments without the program's name.
pub fn run(arguments: &[&str]) -> ExitCode {
    let is_short = arguments.contains(&"-h");
    let expanded: Vec<&str> =
        arguments.iter().map(|one| if *one == "-h" { "--help" } else { *one }).collect();
    let args = match Args::from_args(&[NAME], &expanded) {
        Ok(args) => args,
        Err(early) => return leave(&early, is_short),
    };
    let (config, action) = Config::resolve(args);
    match command::run(&config, action) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            if !error.is_told(&config) {
                eprintln!("{NAME}: {error}");
            }
            ExitCode::from(error.exit())
        }
    }
}

/// Shows help or a usage error; short help leaves examples and notes out.
fn leave(early: &argh::EarlyExit, is_short: bool) -> ExitCode {
    if early.status.is_err() {
        eprint!("{NAME}: {}", early.output);
        return ExitCode::from(common::Kind::Malformed.exit());
    }
    let long = early.output.as_str();
    let end = long.find("\nExamples:").or_else(|| long.find("\nNotes:"));
    let shown = if is_short { &long[..end.unwrap_or(long.len())] } else { long };
    println!("{}", shown.trim_end());
    ExitCode::SUCCESS
}
