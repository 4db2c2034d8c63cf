//! Commands on the settings files, the inventory and the rules.

use std::time::Duration;

use settings::diff::{self, ChangedLine};
use settings::{Inventory, Rules};
use snafu::ResultExt;

use crate::args::{Apply, SettingsVerb};
use crate::client::{Answer, Client};
use crate::config::Config;
use crate::error::{Error, FileSnafu, SettingsSnafu};
use crate::output::print_json;

/// Maximum time for all members to apply a change.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a command on a settings file; `file_kind` is `inventory` or `rules`.
pub(super) fn run(config: &Config, file_kind: &str, verb: SettingsVerb) -> Result<(), Error> {
    match verb {
        SettingsVerb::Get(_) => print_file(config, file_kind),
        SettingsVerb::Check(check) => read_checked(file_kind, &check.file).map(drop),
        SettingsVerb::Apply(apply) => apply_file(config, file_kind, &apply),
    }
}

/// Prints the file in force.
fn print_file(config: &Config, file_kind: &str) -> Result<(), Error> {
    let answer = fetch(config, file_kind)?;
    if config.is_json {
        print_json(&answer.body);
    } else {
        print!("{}", answer.str_field("text"));
    }
    Ok(())
}

/// Fetches the file in force and its version.
fn fetch(config: &Config, file_kind: &str) -> Result<Answer, Error> {
    let answer = Client::new(config, ROLLOUT_TIMEOUT).get(&format!("/v1/settings/{file_kind}"))?;
    answer.error().map_or(Ok(answer), Err)
}

/// Reads a file and checks it; returns its text.
fn read_checked(file_kind: &str, path: &str) -> Result<String, Error> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    if file_kind == "inventory" {
        Inventory::parse(&text).context(SettingsSnafu { path })?;
    } else {
        Rules::parse(&text).context(SettingsSnafu { path })?;
    }
    Ok(text)
}

/// Prints the difference from the file in force, then applies the new file.
fn apply_file(config: &Config, file_kind: &str, apply: &Apply) -> Result<(), Error> {
    let text = read_checked(file_kind, &apply.file)?;
    let current = fetch(config, file_kind)?;
    let version = current.body["version"].as_u64().unwrap_or(0);
    let lines = diff::changed_lines(current.str_field("text"), &text);
    if !config.is_json {
        print_diff(&lines);
    }
    if apply.dry_run || (lines.is_empty() && version > 0) {
        return Ok(());
    }
    let base = apply.base.unwrap_or(version);
    let path = format!("/v1/settings/{file_kind}?base={base}");
    let answer = Client::new(config, ROLLOUT_TIMEOUT).put(&path, &author(apply), &text)?;
    if config.is_json {
        print_json(&answer.body);
    }
    if let Some(error) = answer.error() {
        return Err(error);
    }
    if !config.is_json {
        print_rollout(file_kind, &answer);
    }
    Ok(())
}

/// Author of the change: the option, then `$USER`, then `unknown`.
fn author(apply: &Apply) -> String {
    let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
    apply.author.clone().or_else(user).unwrap_or_else(|| "unknown".to_owned())
}

/// Prints removed lines with `-` and added lines with `+`.
fn print_diff(lines: &[ChangedLine]) {
    for line in lines {
        match line {
            ChangedLine::Removed(text) => println!("- {text}"),
            ChangedLine::Added(text) => println!("+ {text}"),
        }
    }
}

/// Prints how many members have applied the change.
fn print_rollout(file_kind: &str, answer: &Answer) {
    let count = |field: &str| answer.body[field].as_array().map_or(0, Vec::len);
    let elapsed_ms = answer.body["after_ms"].as_u64().unwrap_or(0);
    let version = answer.body["version"].as_u64().unwrap_or(0);
    let (confirmed, unconfirmed) = (count("in_force"), count("not_confirmed"));
    println!(
        "{file_kind} version {version} in force on {confirmed} of {} members after {elapsed_ms} ms",
        confirmed + unconfirmed
    );
    if unconfirmed > 0 {
        println!("not confirmed: {}", answer.body["not_confirmed"]);
    }
}
