//! The `bronzerail` command-line tool, with which operators and callers use a cell.

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

/// Name of the program in usage and error messages.
const PROGRAM: &str = "bronzerail";

/// Runs the tool with the arguments after the program's name.
pub fn run(arguments: &[&str]) -> ExitCode {
    let is_short = arguments.contains(&"-h");
    let expanded: Vec<&str> = arguments
        .iter()
        .map(|argument| if *argument == "-h" { "--help" } else { *argument })
        .collect();
    let args = match Args::from_args(&[PROGRAM], &expanded) {
        Ok(args) => args,
        Err(early_exit) => {
            // There, the code for malformed calls means that a configuration has warnings only.
            let is_check = arguments.contains(&"check-config");
            let malformed = common::ErrorKind::Malformed.exit_code();
            let usage_code = if is_check { error::EXIT_CONFIG_ERRORS } else { malformed };
            return print_early_exit(&early_exit, is_short, usage_code);
        }
    };
    let (config, action) = Config::resolve(args);
    match command::run(&config, action) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            if !error.is_printed(&config) {
                eprintln!("{PROGRAM}: {error}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}

/// Prints help or a usage error; short help omits examples and notes.
fn print_early_exit(early_exit: &argh::EarlyExit, is_short: bool, usage_code: u8) -> ExitCode {
    if early_exit.status.is_err() {
        eprint!("{PROGRAM}: {}", early_exit.output);
        return ExitCode::from(usage_code);
    }
    let long_help = early_exit.output.as_str();
    let end = long_help.find("\nExamples:").or_else(|| long_help.find("\nNotes:"));
    let shown = if is_short { &long_help[..end.unwrap_or(long_help.len())] } else { long_help };
    println!("{}", shown.trim_end());
    ExitCode::SUCCESS
}
