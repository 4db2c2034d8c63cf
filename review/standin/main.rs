//! Scripts of the review: each starts daemons on stand-ins and checks one rule.
//!
//! Usage: `standin CASE RECORD TEMPORARY_FOLDER`, in the root of the repository. With `TROUBLE=0` in
//! the environment, a case leaves its disruption out. Exit code: 0 if the rule held, 1 if it was
//! broken, 2 if the case could not run.

mod cases;
mod cell;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD TEMPORARY_FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(Path::new(record)));
    record.write(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let outcome =
        std::panic::catch_unwind(|| cases::run(case, &record, Path::new(folder), has_trouble));
    let code = match outcome {
        Ok(Some(true)) => 0,
        Ok(Some(false)) => 1,
        Ok(None) | Err(_) => 2,
    };
    let words = ["the rule held", "the rule was broken", "the case could not run"];
    record.write(&format!("exit code {code}: {}", words[code as usize]));
    println!("{}", words[code as usize]);
    ExitCode::from(code)
}
