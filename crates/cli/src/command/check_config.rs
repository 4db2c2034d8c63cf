//! Checks a configuration of a pool and prints the findings.

use platform::check::{self, Finding, Report, Source};

use crate::args::PoolCheckConfig;
use crate::config::Config;
use crate::error::Error;
use crate::output::print_json;

/// Checks the files, prints the report and returns an error if there are findings.
pub(super) fn run(config: &Config, args: &PoolCheckConfig) -> Result<(), Error> {
    let report = check_files(args);
    if config.is_json || args.json {
        print_json(&serde_json::json!(report));
    } else {
        print!("{}", format_report(&report, args));
    }
    let has_errors = !report.errors.is_empty();
    if has_errors || !report.warnings.is_empty() {
        return Err(Error::Findings { has_errors });
    }
    Ok(())
}

/// Checks the files; one that cannot be read is an error in the report.
fn check_files(args: &PoolCheckConfig) -> Report {
    let mut unread = Vec::new();
    let mut read = |path: &str, file: Source| {
        std::fs::read(path).map_err(|error| unread.push(to_finding(file, &error))).ok()
    };
    let new = read(&args.new, Source::New);
    let current = args.against.as_ref().and_then(|path| read(path, Source::Current));
    let mut report = new.map(|new| check::check(&new, current.as_deref())).unwrap_or_default();
    report.errors.splice(0..0, unread);
    report
}

fn to_finding(file: Source, error: &std::io::Error) -> Finding {
    let text = format!("cannot read the file: {error}");
    Finding { file, line: 1, column: 1, path: String::new(), text }
}

/// Formats a line for each finding and difference, and one with their numbers.
fn format_report(report: &Report, args: &PoolCheckConfig) -> String {
    let mut lines = Vec::new();
    for (severity, findings) in [("error", &report.errors), ("warning", &report.warnings)] {
        lines.extend(findings.iter().map(|finding| format_finding(severity, finding, args)));
    }
    for difference in &report.differences {
        lines.push(format!("difference: {}", difference.text));
        lines.push(format!("    affects: {}", difference.effect));
    }
    lines.push(format!(
        "errors: {}, warnings: {}, differences: {}",
        report.errors.len(),
        report.warnings.len(),
        report.differences.len()
    ));
    lines.join("\n") + "\n"
}

fn format_finding(severity: &str, finding: &Finding, args: &PoolCheckConfig) -> String {
    let file = match finding.file {
        Source::New => &args.new,
        Source::Current => args.against.as_ref().unwrap_or(&args.new),
    };
    let separator = if finding.path.is_empty() { "" } else { ": " };
    let Finding { line, column, path, text, .. } = finding;
    format!("{file}:{line}:{column}: {severity}: {path}{separator}{text}")
}
