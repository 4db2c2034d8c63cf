//! The record of a run: what was sent, answered and run, with the time since its start.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Ends `done` of all workers, and the starts that came after them.
#[derive(Default)]
pub struct Ledger {
    /// By task: the worker, the number of the end, and whether it was taken note of.
    pub done: HashMap<String, (String, u64, bool)>,
    /// Tasks that were started after they had ended `done`, with the worker of the later run.
    pub started_again: Vec<(String, String)>,
}

impl Ledger {
    /// Tasks that ran again after an end `done` that was taken note of.
    pub fn repeated(&self) -> Vec<&(String, String)> {
        let is_noted = |(task, _): &&(String, String)| self.done.get(task).is_some_and(|end| end.2);
        self.started_again.iter().filter(is_noted).collect()
    }
}

pub struct Record {
    started: Instant,
    file: Mutex<(File, u64)>,
    pub ledger: Mutex<Ledger>,
}

/// Lines of one kind that are written before only each hundredth is.
const SAMPLED_LINES: u64 = 20;

impl Record {
    pub fn create(path: &std::path::Path) -> Self {
        let file = File::create(path).expect("a writable folder");
        Self { started: Instant::now(), file: Mutex::new((file, 0)), ledger: Mutex::default() }
    }

    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        drop(writeln!(file.0, "{:9.3} {line}", self.started.elapsed().as_secs_f64()));
    }

    /// Writes the first lines, then each hundredth.
    pub fn write_sampled(&self, line: &str) {
        let count = {
            let mut file = self.file.lock().unwrap();
            file.1 += 1;
            file.1
        };
        if count <= SAMPLED_LINES || count % 100 == 0 {
            self.write(&format!("{line} (number {count})"));
        }
    }
}
