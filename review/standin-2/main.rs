//! Stand-ins and cases of the review: `main executor ..` serves one executor, `main CASE RECORD`
//! plays a case and exits with 1 if its rule was broken, 0 if it held, 2 if it could not run.

mod cases;
mod cell;
mod http;
mod json;
mod store;
mod worker;

use std::io::{Error, Result};
use std::time::Duration;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match args.as_slice() {
        ["executor", id, address, clock_ms, max_hold_ms] => {
            run_executor(id, address, clock_ms, max_hold_ms).map(|()| true)
        }
        ["crashes", record] => cases::crashes(record, has_trouble),
        ["gang", record] => cases::gang(record, has_trouble),
        ["hopeless", record] => cases::hopeless(record, has_trouble),
        ["restart", record] => cases::restart(record, has_trouble),
        ["twice", record] => cases::twice(record, has_trouble),
        ["born", record] => cases::born(record, has_trouble),
        _ => Err(Error::other("unknown case")),
    };
    match result {
        Ok(true) => {}
        Ok(false) => std::process::exit(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(cell::COULD_NOT_RUN);
        }
    }
}

fn run_executor(id: &str, address: &str, clock_ms: &str, max_hold_ms: &str) -> Result<()> {
    let address = address.parse().map_err(Error::other)?;
    let max_hold = Duration::from_millis(max_hold_ms.parse().map_err(Error::other)?);
    worker::run(id, address, clock_ms.parse().map_err(Error::other)?, max_hold)
}
