//! Commands on the inventory and the rules.

use std::time::Duration;

use settings::diff::{self, Line};
use settings::{Inventory, Rules};
use snafu::ResultExt;

use crate::args::{Apply, Verb};
use crate::client::{Answer, Client};
use crate::config::Config;
use crate::error::{Error, FileSnafu, SettingsSnafu};
use crate::output::print_json;

/// How long a change may take to spread.
const SPREAD: Duration = Duration::from_secs(10);

pub(super) fn run(config: &Config, what: &str, verb: Verb) -> Result<(), Error> {
    match verb {
        Verb::Get(_) => get(config, what),
        Verb::Check(check) => read(what, &check.file).map(drop),
        Verb::Apply(apply) => put(config, what, &apply),
    }
}

fn get(config: &Config, what: &str) -> Result<(), Error> {
    let answer = fetch(config, what)?;
    if config.is_json {
        print_json(&answer.body);
    } else {
        print!("{}", answer.text("text"));
    }
    Ok(())
}

fn fetch(config: &Config, what: &str) -> Result<Answer, Error> {
    let answer = Client::new(config, SPREAD).get(&format!("/v1/settings/{what}"))?;
    answer.error().map_or(Ok(answer), Err)
}

/// Reads a file and checks it.
fn read(what: &str, path: &str) -> Result<String, Error> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    if what == "inventory" {
        Inventory::parse(&text).context(SettingsSnafu { path })?;
    } else {
        Rules::parse(&text).context(SettingsSnafu { path })?;
    }
    Ok(text)
}

fn put(config: &Config, what: &str, apply: &Apply) -> Result<(), Error> {
    let text = read(what, &apply.file)?;
    let current = fetch(config, what)?;
    let version = current.body["version"].as_u64().unwrap_or(0);
    let lines = diff::lines(current.text("text"), &text);
    if !config.is_json {
        show_difference(&lines);
    }
    if apply.dry_run || (lines.is_empty() && version > 0) {
        return Ok(());
    }
    let base = apply.base.unwrap_or(version);
    let path = format!("/v1/settings/{what}?base={base}");
    let answer = Client::new(config, SPREAD).put(&path, &author(apply), &text)?;
    if config.is_json {
        print_json(&answer.body);
    }
    if let Some(error) = answer.error() {
        return Err(error);
    }
    if !config.is_json {
        show_spread(what, &answer);
    }
    Ok(())
}

fn author(apply: &Apply) -> String {
    let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
    apply.author.clone().or_else(user).unwrap_or_else(|| "unknown".to_owned())
}

fn show_difference(lines: &[Line]) {
    for line in lines {
        match line {
            Line::Gone(text) => println!("- {text}"),
            Line::Added(text) => println!("+ {text}"),
        }
    }
}

fn show_spread(what: &str, answer: &Answer) {
    let count = |field: &str| answer.body[field].as_array().map_or(0, Vec::len);
    let after = answer.body["after_ms"].as_u64().unwrap_or(0);
    let version = answer.body["version"].as_u64().unwrap_or(0);
    let (have, lack) = (count("in_force"), count("not_confirmed"));
    println!(
        "{what} version {version} in force on {have} of {} members after {after} ms",
        have + lack
    );
    if lack > 0 {
        println!("not confirmed: {}", answer.body["not_confirmed"]);
    }
}
