//! HTTP client of the object store: `GET`, `PUT` and `DELETE {base}/{key}`.

use std::time::Duration;

use common::Name;
use stakker::{Core, Ret};
use ureq::Agent;

use super::agent::{build_agent, classify_error, queue_full, read_body};
use super::pool::ThreadPool;
use crate::Error;
use crate::objects::{ReadResult, WriteResult};

/// Maximum number of threads of each pool.
const MAX_THREADS: usize = 2;
/// Maximum number of calls waiting for a thread of each pool.
const MAX_QUEUED: usize = 64;
/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client of the object store.
#[derive(Debug)]
pub struct Objects {
    base: Name,
    agent: Agent,
    reads: ThreadPool<ReadResult>,
    writes: ThreadPool<WriteResult>,
}

impl Objects {
    /// Creates a client for a base URL.
    pub fn new(core: &mut Core, base: Name) -> Self {
        let reads = ThreadPool::new(core, "object-read", MAX_THREADS, MAX_QUEUED);
        let writes = ThreadPool::new(core, "object-write", MAX_THREADS, MAX_QUEUED);
        Self { base, agent: build_agent(2 * MAX_THREADS, TIMEOUT), reads, writes }
    }

    fn url(&self, key: &str) -> String {
        format!("{}/{key}", self.base)
    }
}

fn fetch(agent: &Agent, url: &str) -> ReadResult {
    let response = agent.get(url).call().map_err(|error| classify_error(&error))?;
    if response.status().as_u16() == 404 {
        return Ok(None);
    }
    read_body(response).map(Some)
}

impl crate::Objects for Objects {
    fn get(&mut self, key: Name, ret: Ret<ReadResult>) {
        let (agent, url) = (self.agent.clone(), self.url(&key));
        self.reads.run(ret, queue_full(), move || fetch(&agent, &url));
    }

    fn put(&mut self, key: Name, value: Vec<u8>, ret: Ret<WriteResult>) {
        let (agent, url) = (self.agent.clone(), self.url(&key));
        self.writes.run(ret, queue_full(), move || {
            let response = agent.put(&url).send(&value).map_err(|error| classify_error(&error))?;
            read_body(response).map(drop)
        });
    }

    fn delete(&mut self, key: Name, ret: Ret<WriteResult>) {
        let (agent, url) = (self.agent.clone(), self.url(&key));
        self.writes.run(ret, queue_full(), move || {
            let response = agent.delete(&url).call().map_err(|error| classify_error(&error))?;
            match read_body(response) {
                Ok(_) | Err(Error::Refused { .. }) => Ok(()),
                Err(error) => Err(error),
            }
        });
    }
}
