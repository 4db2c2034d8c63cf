//! Configuration, resolved from options and environment.

use crate::args::{Action, Args};

/// Address used if neither `--server` nor `BRONZERAIL_SERVER` is set.
const DEFAULT_SERVER: &str = "http://127.0.0.1:8101";

/// Options that apply to every command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Base URL of the daemon, without a trailing slash.
    pub server: String,
    /// Whether to print JSON instead of tables.
    pub is_json: bool,
}

impl Config {
    /// Resolves options and environment; also returns the command to run.
    pub fn resolve(args: Args) -> (Self, Action) {
        let from_environment = || std::env::var("BRONZERAIL_SERVER").ok();
        let server = args.server.or_else(from_environment);
        let server = server.unwrap_or_else(|| DEFAULT_SERVER.to_owned());
        let server = server.trim_end_matches('/').to_owned();
        let server = if server.contains("://") { server } else { format!("http://{server}") };
        (Self { server, is_json: args.json }, args.action)
    }
}
