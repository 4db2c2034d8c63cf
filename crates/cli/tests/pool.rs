//! The tool against a real daemon on the stand-in of the platform.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;
use standin::platform::{Platform, free_ports};

/// Loopback address of the daemon; other tests use others.
const HOST: u8 = 81;

/// Longest wait for anything; far above what it takes.
const PATIENCE: Duration = Duration::from_secs(40);

struct Cell {
    daemon: Child,
    folder: PathBuf,
    operators: SocketAddr,
    _platform: Platform,
}

impl Drop for Cell {
    fn drop(&mut self) {
        // It may have ended already, and the folder is of no use any more.
        drop(self.daemon.kill());
        drop(self.daemon.wait());
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

fn scratch() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("bronzerail-pool-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    folder
}

impl Cell {
    fn start() -> Self {
        let platform = Platform::start(2, 4000).expect("ports can be had");
        let folder = scratch();
        let settings = folder.join("settings.toml");
        let ports = free_ports(HOST).expect("ports are free");
        std::fs::write(&settings, platform.settings("pool", HOST, ports)).expect("written");
        let own = Path::new(env!("CARGO_BIN_EXE_bronzerail"));
        let program = own.with_file_name("bronzerail-platform");
        assert!(program.exists(), "bronzerail-platform is not built; run with --workspace");
        let mut daemon = Command::new(program);
        daemon.arg("--settings").arg(&settings).stdout(Stdio::null());
        let daemon = daemon.spawn().expect("the daemon starts");
        let operators = SocketAddr::from((Ipv4Addr::new(127, 0, 0, HOST), 9464));
        let cell = Self { daemon, folder, operators, _platform: platform };
        let end = Instant::now() + PATIENCE;
        while cell.tool(&["pool", "queues"]).status.code() != Some(0) {
            assert!(Instant::now() < end, "the daemon does not lead");
            std::thread::sleep(Duration::from_millis(50));
        }
        cell
    }

    fn tool(&self, words: &[&str]) -> Output {
        let address = self.operators;
        let mut tool = Command::new(env!("CARGO_BIN_EXE_bronzerail"));
        tool.args(["--server", &format!("http://{address}")]).args(words);
        tool.output().expect("the tool runs")
    }

    fn json(&self, words: &[&str]) -> Value {
        let output = self.tool(&[&["--json"], words].concat());
        serde_json::from_slice(&output.stdout).expect("JSON")
    }

    fn submit(&self, id: &str, body: &str, more: &[&str]) -> Output {
        let path = self.folder.join("job.json");
        std::fs::write(&path, body).expect("the job is written");
        let path = path.display().to_string();
        self.tool(&[&["pool", "submit", id, &path], more].concat())
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
    let explained = text(&cell.tool(&["pool", "explain", large]).stdout);
    assert!(explained.contains("in plain is queued") && explained.contains("waits for step 0"));
    let steps = &cell.json(&["pool", "explain", large])["steps"];
    assert_eq!(steps[0]["waits"], "no room: a task needs 90000 mcpu, 4000 are free at most");

    let workers = cell.json(&["pool", "workers"]);
    assert_eq!(
        (workers[0]["standing"].as_str(), workers[1]["tasks"].as_u64()),
        (Some("open"), Some(0))
    );
    assert_eq!(cell.json(&["pool", "members"])[0]["role"], "leader");
    assert_eq!(cell.json(&["pool", "queues"])[1]["open"], 1);

    assert_eq!(text(&cell.tool(&["pool", "cancel", large]).stdout), format!("{large} cancelled\n"));
    assert_eq!(text(&cell.tool(&["pool", "status", large]).stdout), format!("{large} cancelled\n"));
    assert_eq!(cell.tool(&["pool", "status", "00000000000000d3"]).status.code(), Some(3));
}

#[test]
fn pool_submit_bad_job_says_why() {
    let folder = scratch();
    let path = folder.join("none.json").display().to_string();
    let mut tool = Command::new(env!("CARGO_BIN_EXE_bronzerail"));
    let output = tool.args(["pool", "submit", "1", &path]).output().expect("the tool runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("none.json"));
}
