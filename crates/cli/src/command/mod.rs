//! Dispatches subcommands to the modules that implement them.

mod check_config;
mod files;
mod history;
mod pool;
mod requests;
mod views;

use std::time::Duration;

use settings::quantity::DurationText;

use crate::args::{Action, Trace};
use crate::config::Config;
use crate::error::Error;

/// Runs one subcommand.
///
/// # Errors
///
/// [`Error`] of the subcommand; [`Error::exit_code`] gives the exit code for it.
pub fn run(config: &Config, action: Action) -> Result<(), Error> {
    match action {
        Action::Submit(submit) => requests::submit(config, &submit),
        Action::Status(args) => requests::status(config, &args.customer, &args.id),
        Action::Wait(args) => {
            requests::wait(config, &args.customer, &args.id, args.timeout.as_deref())
        }
        Action::Cancel(args) => requests::cancel(config, &args.customer, &args.id),
        Action::Explain(args) => requests::explain(config, &args.customer, &args.id),
        Action::Trace(args) => trace(config, &args),
        Action::Inventory(inventory) => files::run(config, "inventory", inventory.verb),
        Action::Rules(rules) => files::run(config, "rules", rules.verb),
        Action::Members(_) => views::members(config),
        Action::Workers(_) => views::workers(config),
        Action::Queue(_) => views::queue(config),
        Action::Top(top) => views::top(config, &top),
        Action::Pool(pool) => pool::run(config, &pool),
        Action::Report(report) => history::report(config, &report),
    }
}

/// Shows the hops of a request, or the lines about a job in collected logs.
fn trace(config: &Config, args: &Trace) -> Result<(), Error> {
    match &args.id {
        None if !args.logs.is_empty() => history::trace(config, &args.customer, &args.logs),
        Some(id) if args.logs.is_empty() => requests::trace(config, &args.customer, id),
        _ => {
            let text = "give a customer and an id, or a job's id and --logs".to_owned();
            Err(Error::Option { option: "logs", text })
        }
    }
}

/// Parses a duration such as `30s`; `option` names the option in the error.
fn parse_duration(option: &'static str, text: &str) -> Result<Duration, Error> {
    let parsed: Result<DurationText, _> = text.parse();
    parsed.map(|span| span.0).map_err(|text| Error::Option { option, text: text.to_owned() })
}
