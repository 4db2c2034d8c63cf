//! Runs `pool` commands against a bronzerail-platform daemon and a stand-in for its platform.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;
use standin::platform::{Platform, free_ports};

/// Last bytes of the daemons' loopback addresses; no other test uses them.
const HOST: u8 = 81;
const KEYED_HOST: u8 = 82;

/// Timeout for the daemon to become leader; far above the time that takes.
const START_TIMEOUT: Duration = Duration::from_secs(40);

/// A daemon with its platform and a temporary folder.
struct Cell {
    daemon: Child,
    folder: PathBuf,
    operators: SocketAddr,
    platform: Platform,
}

impl Drop for Cell {
    fn drop(&mut self) {
        // Errors are ignored: the daemon may have ended, and the folder is only temporary.
        drop(self.daemon.kill());
        drop(self.daemon.wait());
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

/// Creates a temporary folder of this process.
fn create_temp_folder(name: &str) -> PathBuf {
    let folder = format!("bronzerail-pool-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(folder);
    std::fs::create_dir_all(&folder).expect("the folder is created");
    folder
}

impl Cell {
    fn start(host: u8) -> Self {
        let platform = Platform::start(2, 4000).expect("the platform starts");
        let folder = create_temp_folder(&host.to_string());
        let settings = folder.join("settings.toml");
        let ports = free_ports(host).expect("ports are free");
        std::fs::write(&settings, platform.settings("pool", host, ports))
            .expect("the settings are written");
        let own = Path::new(env!("CARGO_BIN_EXE_bronzerail"));
        let program = own.with_file_name("bronzerail-platform");
        assert!(program.exists(), "bronzerail-platform is not built; run with --workspace");
        let mut daemon = Command::new(program);
        daemon.arg("--settings").arg(&settings).stdout(Stdio::null());
        let daemon = daemon.spawn().expect("the daemon starts");
        let operators = SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), 9464));
        let cell = Self { daemon, folder, operators, platform };
        let end = Instant::now() + START_TIMEOUT;
        while cell.run_tool(&["pool", "queues"]).status.code() != Some(0) {
            assert!(Instant::now() < end, "the daemon did not become leader");
            std::thread::sleep(Duration::from_millis(50));
        }
        cell
    }

    /// Runs the tool against the daemon.
    fn run_tool(&self, arguments: &[&str]) -> Output {
        let address = self.operators;
        let mut tool = Command::new(env!("CARGO_BIN_EXE_bronzerail"));
        tool.args(["--server", &format!("http://{address}")]).args(arguments);
        tool.output().expect("the tool runs")
    }

    /// Runs the tool with `--json` and parses its output.
    fn run_json(&self, arguments: &[&str]) -> Value {
        let output = self.run_tool(&[&["--json"], arguments].concat());
        serde_json::from_slice(&output.stdout).expect("the output is JSON")
    }

    fn submit(&self, id: &str, body: &str, more: &[&str]) -> Output {
        let path = self.folder.join("job.json");
        std::fs::write(&path, body).expect("the job is written");
        let path = path.display().to_string();
        self.run_tool(&[&["pool", "submit", id, &path], more].concat())
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn pool_submit_explain_cancel_and_views() {
    let cell = Cell::start(HOST);
    let (done, large) = ("00000000000000d1", "00000000000000d2");
    let body = r#"{"queue":"plain","payload":"ms=50","steps":[{"tasks":2,"cpu":500}]}"#;
    let output = cell.submit(done, body, &["--wait", "30s"]);
    assert_eq!(text(&output.stdout), format!("{done} completed\n"), "{}", text(&output.stderr));

    let body = r#"{"queue":"plain","steps":[{"cpu":90000},{"cpu":1,"after":[0]}]}"#;
    assert_eq!(cell.submit(large, body, &[]).status.code(), Some(0));
    let explained = text(&cell.run_tool(&["pool", "explain", large]).stdout);
    assert!(explained.contains("in plain is queued") && explained.contains("waits for step 0"));
    let steps = &cell.run_json(&["pool", "explain", large])["steps"];
    assert_eq!(steps[0]["waits"], "no room: a task needs 90000 mcpu, 4000 are free at most");

    let workers = cell.run_json(&["pool", "workers"]);
    assert_eq!(
        (workers[0]["standing"].as_str(), workers[1]["tasks"].as_u64()),
        (Some("open"), Some(0))
    );
    assert_eq!(cell.run_json(&["pool", "members"])[0]["role"], "leader");
    assert_eq!(cell.run_json(&["pool", "queues"])[1]["open"], 1);
    assert_eq!(cell.run_json(&["pool", "workspaces"]), Value::Array(Vec::new()));
    // Two runs are not enough to correct anything.
    let estimates = cell.run_json(&["pool", "estimates"]);
    assert_eq!(estimates["speeds_differ"], false);
    let table = text(&cell.run_tool(&["pool", "estimates"]).stdout);
    assert!(table.contains("HISTORY ERROR") && table.contains("do not differ"), "{table}");

    assert_eq!(
        text(&cell.run_tool(&["pool", "cancel", large]).stdout),
        format!("{large} cancelled\n")
    );
    assert_eq!(
        text(&cell.run_tool(&["pool", "status", large]).stdout),
        format!("{large} cancelled\n")
    );
    assert_eq!(cell.run_tool(&["pool", "status", "00000000000000d3"]).status.code(), Some(3));
}

#[test]
fn pool_submit_missing_file_names_it() {
    let folder = create_temp_folder("missing");
    let path = folder.join("none.json").display().to_string();
    let mut tool = Command::new(env!("CARGO_BIN_EXE_bronzerail"));
    let output = tool.args(["pool", "submit", "1", &path]).output().expect("the tool runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("none.json"));
}

/// Guards against a job without the workspace that its operator names, and against an unclear error.
#[test]
fn pool_submit_workspace_is_checked_and_shown() {
    let cell = Cell::start(KEYED_HOST);
    cell.platform.set_workspaces(4, &[("w1", &["secret"]), ("w2", &[])]);
    let end = Instant::now() + START_TIMEOUT;
    while cell.run_json(&["pool", "queues"])[0]["rules"] != 4 {
        assert!(Instant::now() < end, "the configuration was not read");
        std::thread::sleep(Duration::from_millis(50));
    }
    let body = r#"{"queue":"plain","workspace":"w2","payload":"ms=50","steps":[{"cpu":500}]}"#;
    for (id, options, workspace) in [
        ("00000000000000e1", &["--wait", "30s"][..], "w2"),
        ("00000000000000e2", &["--wait", "30s", "--workspace", "w1"], "w1"),
    ] {
        let output = cell.submit(id, body, options);
        assert_eq!(text(&output.stdout), format!("{id} completed\n"), "{}", text(&output.stderr));
        assert_eq!(cell.run_json(&["pool", "explain", id])["workspace"], workspace);
    }
    let output = cell.submit("00000000000000e3", body, &["--workspace", "w3"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(text(&output.stderr).contains("no workspace of this name"), "{}", text(&output.stderr));
    // The id belongs to the other workspace.
    let output = cell.submit("00000000000000e2", body, &[]);
    assert_eq!(output.status.code(), Some(4), "{}", text(&output.stderr));
    for body in ["[]", "{"] {
        let output = cell.submit("00000000000000e4", body, &["--workspace", "w1"]);
        assert_eq!(output.status.code(), Some(2));
        assert!(text(&output.stderr).contains("job.json"), "{}", text(&output.stderr));
    }
}
