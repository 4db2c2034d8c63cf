//! Runs `pool check-config` on files; no daemon is there.

use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::Value;

/// A key that must not be shown.
const KEY: &str = "gkcuyj8pjbvk9m68k7b2";

/// A configuration without findings.
const PLAIN: &str = r#"{
  "version": 7,
  "routes": [{"name": "r1", "host": "a.example", "path_prefix": "/p/", "service": "s1",
    "target_runtime_ms": 300, "stretch": 1.5, "max_attempts": 4, "priority": 0}],
  "services": [{"name": "s1", "max_connections": 64}],
  "tenants": [{"name": "kaje80", "api_keys": ["gkcuyj8pjbvk9m68k7b2"], "weight": 59,
    "max_count": {"cpu": 64000, "mem_mb": 128000, "gpus": 0}}]
}
"#;

/// A temporary folder of a test.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // Errors are ignored: the folder is only temporary.
        drop(std::fs::remove_dir_all(&self.0));
    }
}

impl Folder {
    fn new(test: &str) -> Self {
        let name = format!("bronzerail-check-config-{test}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("the folder is created");
        Self(folder)
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).expect("the file is written");
    }

    /// Runs the check in the folder; returns the exit status, stdout and stderr.
    fn check(&self, arguments: &[&str]) -> (i32, String, String) {
        let mut tool = Command::new(env!("CARGO_BIN_EXE_bronzerail"));
        // Nothing listens there: the check must not need a server.
        tool.env("BRONZERAIL_SERVER", "http://127.0.0.1:9");
        tool.current_dir(&self.0).args(["pool", "check-config"]).args(arguments);
        let Output { status, stdout, stderr } = tool.output().expect("the tool runs");
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is text");
        let (stdout, stderr) = (text(stdout), text(stderr));
        assert!(!stdout.contains(KEY) && !stderr.contains(KEY), "{stdout}{stderr}");
        (status.code().expect("the tool exits"), stdout, stderr)
    }
}

/// Guards against a check that needs a server, or stops a script without a reason.
#[test]
fn check_config_plain_exits_with_0() {
    let folder = Folder::new("plain");
    folder.write("new.json", PLAIN);
    let (status, stdout, stderr) = folder.check(&["new.json"]);
    assert_eq!((status, stderr.as_str()), (0, ""));
    assert_eq!(stdout, "errors: 0, warnings: 0, differences: 0\n");
}

/// Differences are no findings: a change is what the file is for.
#[test]
fn check_config_differences_exit_with_0() {
    let folder = Folder::new("differences");
    folder.write("current.json", PLAIN);
    folder.write("new.json", &PLAIN.replace("64000", "32000").replace(": 7", ": 9"));
    let (status, stdout, _) = folder.check(&["new.json", "--against", "current.json"]);
    assert_eq!(
        (status, stdout.as_str()),
        (
            0,
            "difference: workspace `kaje80`: CPU limit falls from 64 cores to 32 cores\n    \
             affects: running tasks are not stopped; none starts until the usage is below the limit\n\
             errors: 0, warnings: 0, differences: 1\n"
        )
    );
}

/// Guards against errors whose place or status is wrong, or that hide the warnings and differences.
#[test]
fn check_config_errors_exit_with_1() {
    let folder = Folder::new("errors");
    folder.write("current.json", PLAIN);
    let new = PLAIN.replace(r#""weight": 59"#, r#""weight": 0"#).replace("\"s1\",\n", "\"s2\",\n");
    folder.write("new.json", &new);
    let (status, stdout, stderr) = folder.check(&["new.json", "--against", "current.json"]);
    assert_eq!((status, stderr.as_str()), (1, ""));
    let lines: Vec<&str> = stdout.lines().collect();
    assert!(lines[0].starts_with("new.json:2:14: error: version: version 7 is not higher than 7"));
    assert_eq!(lines[1], "new.json:3:83: error: routes[0].service: there is no service `s2`");
    assert!(lines[2].starts_with("new.json:6:82: warning: tenants[0].weight: "), "{stdout}");
    assert_eq!(lines.last(), Some(&"errors: 2, warnings: 1, differences: 2"));
}

/// Guards against warnings that look like errors or like nothing to a script.
#[test]
fn check_config_warnings_exit_with_2() {
    let folder = Folder::new("warnings");
    folder.write("new.json", &PLAIN.replace(r#""weight": 59"#, r#""weight": 0"#));
    let (status, stdout, stderr) = folder.check(&["new.json"]);
    assert_eq!((status, stderr.as_str()), (2, ""));
    assert!(stdout.ends_with("errors: 0, warnings: 1, differences: 0\n"), "{stdout}");
}

/// Guards against output that a program cannot read.
#[test]
fn check_config_json_is_one_object() {
    let folder = Folder::new("json");
    folder.write("current.json", PLAIN);
    folder
        .write("new.json", &PLAIN.replace(KEY, "another-key").replace("\"stretch\"", "\"strech\""));
    let arguments = ["new.json", "--against", "current.json", "--json"];
    let (status, stdout, stderr) = folder.check(&arguments);
    assert_eq!((status, stderr.as_str(), stdout.lines().count()), (1, "", 1));
    let report: Value = serde_json::from_str(&stdout).expect("the output is JSON");
    assert_eq!(report["errors"][0]["path"], "version");
    let unknown = &report["errors"][1];
    assert_eq!((&unknown["file"], &unknown["path"]), (&"new".into(), &"routes[0].strech".into()));
    assert_eq!((&unknown["line"], &unknown["column"]), (&4.into(), &31.into()));
    assert_eq!(report["warnings"], Value::Array(Vec::new()));
    let differences = report["differences"].as_array().expect("a list");
    assert_eq!(differences.len(), 3, "{stdout}");
    assert_eq!(differences[1]["text"], "workspace `kaje80`: key 5f0de384 is removed");
    assert!(differences.iter().all(|found| found["effect"].is_string()));
}

/// Guards against a script that takes a file that was not read, or a wrong call, for warnings only.
#[test]
fn check_config_unread_file_or_wrong_call_exits_with_1() {
    let folder = Folder::new("unread");
    folder.write("new.json", PLAIN);
    let (status, stdout, _) = folder.check(&["none.json", "--against", "gone.json"]);
    assert_eq!(status, 1);
    assert!(stdout.contains("none.json:1:1: error: cannot read the file"), "{stdout}");
    assert!(stdout.contains("gone.json:1:1: error: cannot read the file"), "{stdout}");
    let (status, stdout, _) = folder.check(&["new.json", "--against", "gone.json", "--json"]);
    let report: Value = serde_json::from_str(&stdout).expect("the output is JSON");
    assert_eq!((status, &report["errors"][0]["file"]), (1, &"current".into()));
    assert_eq!(folder.check(&["new.json", "--agianst", "x"]).0, 1);
    assert_eq!(folder.check(&[]).0, 1);
    assert_eq!(folder.check(&["--help"]).0, 0);
}

/// Guards against a file that is no JSON and passes.
#[test]
fn check_config_text_that_is_no_json_is_an_error() {
    let folder = Folder::new("syntax");
    folder.write("new.json", "{\n  \"version\": 7,\n}\n");
    let (status, stdout, _) = folder.check(&["new.json"]);
    assert_eq!(status, 1);
    assert!(stdout.starts_with("new.json:2:15: error: the daemon cannot decode"), "{stdout}");
}
