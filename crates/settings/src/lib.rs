//! Parsers of the operators' files (daemon settings, inventory, rules) and of requests.
//!
//! The files are JSON with comments. A parser collects all errors with their lines and
//! columns instead of stopping at the first, so that one run shows an operator everything
//! to correct; only a syntax error ends it at once. A file with any error yields no value.

pub mod clock;
pub mod daemon;
pub mod diff;
pub mod inventory;
pub mod quantity;
mod reader;
pub mod rules;
pub mod spec;
pub mod window;

pub use clock::Clock;
pub use daemon::Daemon;
pub use inventory::Inventory;
pub use reader::{ParseError, ParseErrors};
pub use rules::Rules;
pub use spec::RequestSpec;

use sha2::{Digest, Sha256};

/// SHA-256 of a file's text in hex, to detect changed contents.
pub fn sha256_hex(text: &str) -> String {
    use std::fmt::Write;
    Sha256::digest(text.as_bytes()).iter().fold(String::new(), |mut hex, byte| {
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}
