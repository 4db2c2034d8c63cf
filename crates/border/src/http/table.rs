//! HTTP client of the table: `POST {base}/read` and `POST {base}/commit`.

use std::time::Duration;

use common::Name;
use stakker::{Core, Ret};
use ureq::Agent;

use super::agent::{build_agent, post_json, queue_full};
use super::pool::ThreadPool;
use crate::table::{CommitResult, Query, ReadReply, ReadResult, Transaction};

/// Maximum number of threads of each pool.
const MAX_THREADS: usize = 4;
/// Maximum number of calls waiting for a thread of each pool.
const MAX_QUEUED: usize = 64;
/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// HTTP client of the transactional table.
#[derive(Debug)]
pub struct Table {
    base: Name,
    agent: Agent,
    reads: ThreadPool<ReadResult>,
    commits: ThreadPool<CommitResult>,
}

impl Table {
    /// Creates a client for a base URL.
    pub fn new(core: &mut Core, base: Name) -> Self {
        let reads = ThreadPool::new(core, "table-read", MAX_THREADS, MAX_QUEUED);
        let commits = ThreadPool::new(core, "table-commit", MAX_THREADS, MAX_QUEUED);
        Self { base, agent: build_agent(2 * MAX_THREADS, TIMEOUT), reads, commits }
    }
}

impl crate::Table for Table {
    fn read(&mut self, query: Query, ret: Ret<ReadResult>) {
        let (agent, url) = (self.agent.clone(), format!("{}/read", self.base));
        let call = move || post_json(&agent, &url, &query).map(|reply: ReadReply| reply.rows);
        self.reads.run(ret, queue_full(), call);
    }

    fn commit(&mut self, transaction: Transaction, ret: Ret<CommitResult>) {
        let (agent, url) = (self.agent.clone(), format!("{}/commit", self.base));
        self.commits.run(ret, queue_full(), move || post_json(&agent, &url, &transaction));
    }
}
