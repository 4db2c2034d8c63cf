//! Options, resolved once.

use crate::args::{Action, Args};

const DEFAULT_SERVER: &str = "http://127.0.0.1:8101";

/// What every command needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// base URL of the daemon, without a slash at the end
    pub server: String,
    /// whether to print JSON
    pub is_json: bool,
}

impl Config {
    /// Resolves options and environment; gives the command besides.
    pub fn resolve(args: Args) -> (Self, Action) {
        let from_environment = || std::env::var("BRONZERAIL_SERVER").ok();
        let server = args.server.or_else(from_environment);
        let server = server.unwrap_or_else(|| DEFAULT_SERVER.to_owned());
        let server = server.trim_end_matches('/').to_owned();
        let server = if server.contains("://") { server } else { format!("http://{server}") };
        (Self { server, is_json: args.json }, args.action)
    }
}
