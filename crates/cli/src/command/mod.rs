//! The commands.

mod files;
mod history;
mod pool;
mod requests;
mod views;

use std::time::Duration;

use settings::quantity::Span;

use crate::args::{Action, Trace};
use crate::config::Config;
use crate::error::Error;

/// Runs one command.
///
/// # Errors
///
/// [`Error`], with the exit code that it stands for.
pub fn run(config: &Config, action: Action) -> Result<(), Error> {
    match action {
        Action::Submit(submit) => requests::submit(config, &submit),
        Action::Status(on) => requests::status(config, &on.customer, &on.id),
        Action::Wait(on) => requests::wait(config, &on.customer, &on.id, on.length.as_deref()),
        Action::Cancel(on) => requests::cancel(config, &on.customer, &on.id),
        Action::Explain(on) => requests::explain(config, &on.customer, &on.id),
        Action::Trace(on) => trace(config, &on),
        Action::Inventory(file) => files::run(config, "inventory", file.verb),
        Action::Rules(file) => files::run(config, "rules", file.verb),
        Action::Members(_) => views::members(config),
        Action::Workers(_) => views::workers(config),
        Action::Queue(_) => views::queue(config),
        Action::Top(top) => views::top(config, &top),
        Action::Pool(pool) => pool::run(config, &pool),
        Action::Report(report) => history::report(config, &report),
    }
}

/// Shows a request's hops, by its daemon or by logs.
fn trace(config: &Config, on: &Trace) -> Result<(), Error> {
    match &on.id {
        None if !on.logs.is_empty() => history::trace(config, &on.customer, &on.logs),
        Some(id) if on.logs.is_empty() => requests::trace(config, &on.customer, id),
        _ => {
            let text = "give a customer and an id, or a job's id and --logs".to_owned();
            Err(Error::Option { option: "logs", text })
        }
    }
}

/// Reads a length of time such as `30s`.
fn length(option: &'static str, text: &str) -> Result<Duration, Error> {
    let parsed: Result<Span, _> = text.parse();
    parsed.map(|span| span.0).map_err(|text| Error::Option { option, text: text.to_owned() })
}
