//! Runs `pool` commands against a bronzerail-platform daemon and a stand-in for its platform.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;
use standin::platform::{Platform, free_ports};

/// Last byte of the daemon's loopback address; no other test uses it.
const HOST: u8 = 81;

/// Timeout for the daemon to become leader; far above the time that takes.
const START_TIMEOUT: Duration = Duration::from_secs(40);

/// A daemon with its platform and a temporary folder.
struct Cell {
    daemon: Child,
    folder: PathBuf,
    operators: SocketAddr,
    _platform: Platform,
}

impl Drop for Cell {
    fn drop(&mut self) {
        // Errors are ignored: the daemon may have ended, and the folder is only temporary.
        drop(self.daemon.kill());
        drop(self.daemon.wait());
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

/// Creates the temporary folder of this process.
fn create_temp_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("bronzerail-pool-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    folder
}

impl Cell {
    fn start() -> Self {
        let platform = Platform::start(2, 4000).expect("the platform starts");
        let folder = create_temp_folder();
        let settings = folder.join("settings.toml");
        let ports = free_ports(HOST).expect("ports are free");
        std::fs::write(&settings, platform.settings("pool", HOST, ports))
            .expect("the settings are written");
        let own = Path::new(env!("CARGO_BIN_EXE_bronzerail"));
        let program = own.with_file_name("bronzerail-platform");
        assert!(program.exists(), "bronzerail-platform is not built; run with --workspace");
        let mut daemon = Command::new(program);
        daemon.arg("--settings").arg(&settings).stdout(Stdio::null());
        let daemon = daemon.spawn().expect("the daemon starts");
        let operators = SocketAddr::from((Ipv4Addr::new(127, 0, 0, HOST), 9464));
        let cell = Self { daemon, folder, operators, _platform: platform };
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
    let cell = Cell::start();
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
    let folder = create_temp_folder();
    let path = folder.join("none.json").display().to_string();
    let mut tool = Command::new(env!("CARGO_BIN_EXE_bronzerail"));
    let output = tool.args(["pool", "submit", "1", &path]).output().expect("the tool runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("none.json"));
}
