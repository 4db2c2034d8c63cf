//! Files that operators write: daemon settings, inventory, rules.
//!
//! All three are JSON with comments. A reader collects every fault with its line and
//! column instead of stopping at the first, so one run shows an operator all that is
//! wrong. A file with any fault yields no value.

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
pub use reader::{Fault, Faults};
pub use rules::Rules;
pub use spec::Spec;

use sha2::{Digest, Sha256};

/// Hex SHA-256 of a file's text, to tell contents apart.
pub fn digest(text: &str) -> String {
    use std::fmt::Write;
    Sha256::digest(text.as_bytes()).iter().fold(String::new(), |mut hex, byte| {
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}
