//! The commands of docs/OPERATIONS.md on the stored lines of a played day.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// One option for each stored file, as `$LOGS` in the page.
fn logs() -> Vec<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/day");
    let files = std::fs::read_dir(folder).expect("the folder is there");
    let mut files: Vec<PathBuf> =
        files.map(|file| file.expect("it can be listed").path()).collect();
    files.sort();
    files.iter().flat_map(|file| ["--logs".to_owned(), file.display().to_string()]).collect()
}

fn run(words: &[&str]) -> Output {
    let mut all: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    all.extend(logs());
    Command::new(env!("CARGO_BIN_EXE_bronzerail")).args(all).output().expect("the tool runs")
}

/// Commands of the page with the output that it shows.
fn examples(page: &str) -> Vec<(String, String)> {
    let mut examples: Vec<(String, String)> = Vec::new();
    let mut is_open = false;
    for line in page.lines() {
        if let Some(command) = line.strip_prefix("    $ bronzerail ") {
            examples.push((command.to_owned(), String::new()));
            is_open = true;
        } else if !line.is_empty() && !line.starts_with("    ") {
            is_open = false;
        } else if let Some((_, output)) = examples.last_mut().filter(|_| is_open) {
            output.push_str(line.strip_prefix("    ").unwrap_or(line));
            output.push('\n');
        }
    }
    examples
}

#[test]
fn operations_page_shows_what_commands_print() {
    let page = std::fs::read_to_string(root().join("docs/OPERATIONS.md")).expect("the page");
    let examples = examples(&page);
    assert_eq!(examples.len(), 4, "three kinds of failed request and a day");
    for (command, shown) in examples {
        let words: Vec<&str> = command.split(' ').filter(|word| *word != "$LOGS").collect();
        let output = run(&words);
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), Some(0), "{command}");
        assert_eq!(printed.trim_end(), shown.trim_end(), "{command}");
    }
}

#[test]
fn trace_of_unknown_job_not_found() {
    let output = run(&["trace", "ffffffffffffffff"]);
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(text, "bronzerail: no log line tells of ffffffffffffffff\n");
}

#[test]
fn trace_with_customer_and_logs_refused() {
    assert_eq!(run(&["trace", "toolroom", "s-1"]).status.code(), Some(2));
}

#[test]
fn report_draws_picture() {
    let path = std::env::temp_dir().join(format!("bronzerail-day-{}.svg", std::process::id()));
    let output = run(&["report", "--out", &path.display().to_string()]);
    assert_eq!(output.status.code(), Some(0));
    let svg = std::fs::read_to_string(&path).expect("the picture is there");
    assert!(svg.starts_with("<svg"));
    std::fs::remove_file(path).expect("it was written");
}

#[test]
fn report_json_counts() {
    let output = run(&["--json", "report"]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["totals"]["accepted"], 2);
    assert_eq!(report["troubles"][0]["what"], "store away");
}
