//! What clients, workers and operators write: jobs, workers' rows and a configuration.

use serde_json::{Value, json};

use super::{Workspace, tenants};

/// Service of the queue and of all workers.
const SERVICE: &str = "service";

/// Host of the queue.
pub const HOST: &str = "plain.example";

/// Path prefix of the queue.
pub const PREFIX: &str = "/plain/";

/// Labels of a worker.
const LABELS: [&str; 2] = ["a", "r1"];

/// Memory of a worker, in MB.
const WORKER_MEMORY_MB: u32 = 64_000;

/// Processor share of a task, in thousandths of a core; also what a worker assumes.
pub const TASK_CPU: u32 = 1000;

common::data! {
    /// A step of a job.
    pub struct Step {
        /// Number of tasks.
        pub tasks: u32,
        /// Earlier steps whose tasks must all be done first.
        pub after: Vec<usize>,
        /// Whether the tasks work only together.
        pub is_gang: bool,
    }

    /// A job whose tasks all run for the same time.
    pub struct Job {
        /// Run time of a task, in ms.
        pub run_ms: u64,
        /// Steps in order.
        pub steps: Vec<Step>,
    }

    /// A worker as its row describes it.
    pub struct Entry {
        /// Address at which it takes calls.
        pub address: String,
        /// Its zone.
        pub zone: String,
        /// Processor capacity, in thousandths of a core.
        pub cpu: u32,
        /// When it started, in Unix ms.
        pub born: u64,
        /// Number of this writing of the row.
        pub sequence: u64,
    }
}

impl Job {
    /// Number of tasks in all steps.
    pub fn tasks(&self) -> u32 {
        self.steps.iter().map(|step| step.tasks).sum()
    }

    /// Body of the request that submits the job.
    pub fn body(&self) -> Value {
        let step = |step: &Step| {
            let mut body = json!({"count": step.tasks, "cpu": TASK_CPU, "mem_mb": 64,
                "estimate_ms": self.run_ms});
            if !step.after.is_empty() {
                body["after"] = json!(step.after);
            }
            if step.is_gang {
                body["all_or_nothing"] = json!(true);
            }
            body
        };
        let steps: Vec<Value> = self.steps.iter().map(step).collect();
        json!({"spec": format!("ms={}", self.run_ms), "steps": steps})
    }
}

impl Entry {
    /// Value of the worker's row.
    pub fn row(&self) -> Value {
        json!({
            "service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": WORKER_MEMORY_MB, "gpus": 0},
            "labels": LABELS, "sequence": self.sequence, "born": self.born,
        })
    }
}

/// Configuration with one queue, whose tasks may fail a number of times, and with workspaces.
pub fn config(version: u64, max_attempts: u32, workspaces: &[Workspace<'_>]) -> Value {
    let route = json!({
        "name": "plain", "host": HOST, "path_prefix": PREFIX, "type": "non_idempotent",
        "timeout_ms": 3000, "target_runtime_ms": 1000, "priority": 0, "service": SERVICE,
        "max_attempts": max_attempts, "stretch": 1.5,
    });
    json!({
        "version": version, "routes": [route], "services": [],
        "tenants": tenants(workspaces),
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262_144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
}
