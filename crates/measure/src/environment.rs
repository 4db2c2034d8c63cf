//! Finds the programs and example files of a measurement and starts cells from them.

use std::path::PathBuf;

use crate::bench::{Result, TestCell};

/// Folders that a measurement uses.
#[derive(Debug, Clone)]
pub struct Environment {
    /// Folder with the programs.
    pub binaries: PathBuf,
    /// Folder with the example's settings files.
    pub example: PathBuf,
}

impl Environment {
    /// Uses the folder of the running program and the example es-north.
    ///
    /// # Errors
    ///
    /// If the program's folder is unknown or the daemon is not built.
    pub fn find() -> Result<Self> {
        let program = std::env::current_exe()?;
        let binaries = program.parent().ok_or("the program has no folder")?.to_owned();
        if !binaries.join("bronzeraild").exists() {
            return Err("build the programs first: cargo build --release --bins".into());
        }
        let example = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/es-north");
        Ok(Self { binaries, example })
    }

    /// Starts a cell of `size` daemons and applies the example's inventory and rules.
    ///
    /// # Errors
    ///
    /// If a process does not start, a file is rejected or a timeout passes.
    pub fn start_cell(&self, size: usize) -> Result<TestCell> {
        let bench = TestCell::start(&self.binaries, &self.example, size)?;
        for what in ["inventory", "rules"] {
            let text = std::fs::read_to_string(self.example.join(format!("{what}.jsonc")))?;
            let answer = bench.caller(0).put(&format!("/v1/settings/{what}?base=0"), &text)?;
            if answer["version"].is_null() {
                return Err(format!("{what} was rejected: {answer}").into());
            }
        }
        bench.wait_for_service()?;
        Ok(bench)
    }
}
