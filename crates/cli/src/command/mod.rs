//! The commands.

mod files;
mod requests;
mod views;

use std::time::Duration;

use settings::quantity::Span;

use crate::args::Action;
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
        Action::Trace(on) => requests::trace(config, &on.customer, &on.id),
        Action::Inventory(file) => files::run(config, "inventory", file.verb),
        Action::Rules(file) => files::run(config, "rules", file.verb),
        Action::Members(_) => views::members(config),
        Action::Workers(_) => views::workers(config),
        Action::Queue(_) => views::queue(config),
        Action::Top(top) => views::top(config, &top),
    }
}

/// Reads a length of time such as `30s`.
fn length(option: &'static str, text: &str) -> Result<Duration, Error> {
    let parsed: Result<Span, _> = text.parse();
    parsed.map(|span| span.0).map_err(|text| Error::Option { option, text: text.to_owned() })
}
