//! The table over HTTP: `POST {base}/read` and `POST {base}/commit`.

use std::time::Duration;

use common::Name;
use stakker::{Core, Ret};
use ureq::Agent;

use super::agent::{agent, busy, post};
use super::pool::Pool;
use crate::table::{Committed, Page, Query, Rows, Transaction};

const THREADS: usize = 4;
const QUEUE: usize = 64;
const TIMEOUT: Duration = Duration::from_millis(1500);

/// Client of the table.
#[derive(Debug)]
pub struct Table {
    base: Name,
    agent: Agent,
    reads: Pool<Rows>,
    commits: Pool<Committed>,
}

impl Table {
    /// A client for a base URL.
    pub fn new(core: &mut Core, base: Name) -> Self {
        let reads = Pool::new(core, "table-read", THREADS, QUEUE);
        let commits = Pool::new(core, "table-commit", THREADS, QUEUE);
        Self { base, agent: agent(2 * THREADS, TIMEOUT), reads, commits }
    }
}

impl crate::Table for Table {
    fn read(&mut self, query: Query, ret: Ret<Rows>) {
        let (agent, url) = (self.agent.clone(), format!("{}/read", self.base));
        let call = move || post(&agent, &url, &query).map(|page: Page| page.rows);
        self.reads.run(ret, busy(), call);
    }

    fn commit(&mut self, transaction: Transaction, ret: Ret<Committed>) {
        let (agent, url) = (self.agent.clone(), format!("{}/commit", self.base));
        self.commits.run(ret, busy(), move || post(&agent, &url, &transaction));
    }
}
