//! Where a measure finds programs and examples, and a cell that is in service.

use std::path::PathBuf;

use crate::bench::{Bench, Result};

/// Programs and example of a measure.
#[derive(Debug, Clone)]
pub struct Setting {
    /// The folder with the programs.
    pub binaries: PathBuf,
    /// The example's folder.
    pub example: PathBuf,
}

impl Setting {
    /// The folder that this program runs from, and es-north.
    ///
    /// # Errors
    ///
    /// Where the folder cannot be told or the daemon is not built.
    pub fn find() -> Result<Self> {
        let program = std::env::current_exe()?;
        let binaries = program.parent().ok_or("the program has no folder")?.to_owned();
        if !binaries.join("bronzeraild").exists() {
            return Err("build the programs first: cargo build --release --bins".into());
        }
        let example = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/es-north");
        Ok(Self { binaries, example })
    }

    /// A cell of so many daemons with the example's files in force.
    ///
    /// # Errors
    ///
    /// Where it does not come into service.
    pub fn cell(&self, size: usize) -> Result<Bench> {
        let bench = Bench::start(&self.binaries, &self.example, size)?;
        for what in ["inventory", "rules"] {
            let text = std::fs::read_to_string(self.example.join(format!("{what}.jsonc")))?;
            let answer = bench.caller(0).put(&format!("/v1/settings/{what}?base=0"), &text)?;
            if answer["version"].is_null() {
                return Err(format!("{what} was refused: {answer}").into());
            }
        }
        bench.wait_for_service()?;
        Ok(bench)
    }
}
