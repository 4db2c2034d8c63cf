//! Runs `trace` and `report` on recorded logs; docs/OPERATIONS.md shows their output.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Root folder of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A `--logs` option for each recorded file; `$LOGS` stands for them on the page.
fn log_options() -> Vec<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/day");
    let files = std::fs::read_dir(folder).expect("the folder exists");
    let mut files: Vec<PathBuf> =
        files.map(|file| file.expect("the file can be listed").path()).collect();
    files.sort();
    files.iter().flat_map(|file| ["--logs".to_owned(), file.display().to_string()]).collect()
}

/// Runs the tool with the given arguments and the recorded logs.
fn run(arguments: &[&str]) -> Output {
    let mut all: Vec<String> = arguments.iter().map(|argument| (*argument).to_owned()).collect();
    all.extend(log_options());
    Command::new(env!("CARGO_BIN_EXE_bronzerail")).args(all).output().expect("the tool runs")
}

/// Parses the commands on the page, each with the output shown for it.
fn parse_examples(page: &str) -> Vec<(String, String)> {
    let mut examples: Vec<(String, String)> = Vec::new();
    let mut is_in_example = false;
    for line in page.lines() {
        if let Some(command) = line.strip_prefix("    $ bronzerail ") {
            examples.push((command.to_owned(), String::new()));
            is_in_example = true;
        } else if !line.is_empty() && !line.starts_with("    ") {
            is_in_example = false;
        } else if let Some((_, output)) = examples.last_mut().filter(|_| is_in_example) {
            output.push_str(line.strip_prefix("    ").unwrap_or(line));
            output.push('\n');
        }
    }
    examples
}

#[test]
fn operations_page_matches_command_output() {
    let page = std::fs::read_to_string(root().join("docs/OPERATIONS.md"))
        .expect("docs/OPERATIONS.md is readable");
    let examples = parse_examples(&page);
    assert_eq!(examples.len(), 4, "three kinds of failed request and a report");
    for (command, expected) in examples {
        let arguments: Vec<&str> = command.split(' ').filter(|word| *word != "$LOGS").collect();
        let output = run(&arguments);
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), Some(0), "{command}");
        assert_eq!(printed.trim_end(), expected.trim_end(), "{command}");
    }
}

#[test]
fn trace_unknown_job_not_found() {
    let output = run(&["trace", "ffffffffffffffff"]);
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(text, "bronzerail: no log line found for ffffffffffffffff\n");
}

#[test]
fn trace_with_customer_and_logs_refused() {
    assert_eq!(run(&["trace", "toolroom", "s-1"]).status.code(), Some(2));
}

#[test]
fn report_writes_chart() {
    let path = std::env::temp_dir().join(format!("bronzerail-day-{}.svg", std::process::id()));
    let output = run(&["report", "--out", &path.display().to_string()]);
    assert_eq!(output.status.code(), Some(0));
    let svg = std::fs::read_to_string(&path).expect("the chart is written");
    assert!(svg.starts_with("<svg"));
    std::fs::remove_file(path).expect("the chart is removed");
}

#[test]
fn report_json_counts() {
    let output = run(&["--json", "report"]);
    let report: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    assert_eq!(report["totals"]["accepted"], 2);
    assert_eq!(report["troubles"][0]["what"], "store away");
}
